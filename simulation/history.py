"""What callers, workers, operators and the platform saw. The checker reads nothing else."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class History:
    """Rows in the order of their making; each has `t` (s, monotonic) and `k`."""

    rows: list = field(default_factory=list)

    def add(self, *, t: float, k: str, **fields: object) -> None:
        """Add one row."""
        self.rows.append({"t": t, "k": k, **fields})

    def of(self, *, k: str) -> list[dict]:
        """The rows of one kind, by time."""
        return sorted((row for row in self.rows if row["k"] == k), key=lambda row: row["t"])

    def write(self, *, path: str) -> None:
        """Keep the rows in a file of JSON lines."""
        with open(path, "w", encoding="utf-8") as file:
            for row in self.rows:
                file.write(json.dumps(row) + "\n")


def read_history(*, paths: list) -> History:
    """The rows of several files; a last line that a kill cut short is left out."""
    history = History()
    for path in paths:
        with open(path, encoding="utf-8") as file:
            for line in file:
                if line.endswith("\n"):
                    history.rows.append(json.loads(line))
    return history
