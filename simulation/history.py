"""The history of a run: what callers, workers, operators and the platform observed. The checker reads nothing else."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class History:
    """Rows in the order in which they were added; each has `t` (s, monotonic) and `k` (its kind)."""

    rows: list = field(default_factory=list)

    def add(self, *, t: float, k: str, **fields: object) -> None:
        """Add one row of kind `k`."""
        self.rows.append({"t": t, "k": k, **fields})

    def of(self, *, k: str) -> list[dict]:
        """The rows of one kind, by time."""
        return sorted((row for row in self.rows if row["k"] == k), key=lambda row: row["t"])

    def write(self, *, path: str) -> None:
        """Write the rows to a file of JSON lines."""
        with open(path, "w", encoding="utf-8") as file:
            for row in self.rows:
                file.write(json.dumps(row) + "\n")


def read_history(*, paths: list) -> History:
    """Read the rows of several files; an unfinished last line, left by a kill, is ignored."""
    history = History()
    for path in paths:
        with open(path, encoding="utf-8") as file:
            for line in file:
                if line.endswith("\n"):
                    history.rows.append(json.loads(line))
    return history
