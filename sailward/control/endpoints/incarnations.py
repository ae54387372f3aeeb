"""The list of workers as a controller tells it where the platform's has no numbers."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.wire_types import RegisterValue


@dataclass(kw_only=True)
class Incarnations:
    """Owner of this controller's own numbers of the list. `step` takes a whole pass and says whether it is news.

    A cold time counts down by itself, which is no news; but who asks later gets it as it stands. A rise is news.
    """

    post: str
    number: int
    value: RegisterValue | None = None
    rows: dict = field(default_factory=dict)
    slow_start_until: dict = field(default_factory=dict)

    def step(self, *, now: float, rows: list) -> bool:
        """Take the rows of a pass; is something new?"""
        fresh = {row["id"]: {**row, "cold_s": 0.0} for row in rows}
        risen = any(
            row["cold_s"]
            > max(0.0, self.slow_start_until.get(row["id"], now) - now) + constants.SLOW_START_REPORT_THRESHOLD
            for row in rows
        )
        is_new = self.value is None or fresh != self.rows or risen
        if is_new:
            self.number, self.rows = self.number + 1, fresh
        was_in_slow_start = any(
            until > now - constants.ENDPOINT_LIST_MAX_BACKOFF for until in self.slow_start_until.values()
        )
        if is_new or was_in_slow_start:
            self.slow_start_until = {row["id"]: now + row["cold_s"] for row in rows if row["cold_s"] > 0}
            listed_rows = [
                {**row, "cold_s": round(row["cold_s"], 2)} for row in sorted(rows, key=lambda row: row["id"])
            ]
            self.value = {
                "number": self.number,
                "mark": self.post,
                "trail": [],
                "text": json.dumps(listed_rows, separators=(",", ":")),
            }
        return is_new
