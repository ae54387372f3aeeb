"""Numbering of the list of workers by the controller, for platforms whose list has no revision numbers."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.wire_types import RegisterValue


@dataclass(kw_only=True)
class Incarnations:
    """Numbers the versions of the list. `step` takes a complete pass and returns whether the list has changed.

    A remaining slow-start time that merely counts down is no change, but the value is updated for later readers. A rise
    of it is a change.
    """

    post: str
    number: int
    value: RegisterValue | None = None
    rows: dict = field(default_factory=dict)
    slow_start_until: dict = field(default_factory=dict)

    def step(self, *, now: float, rows: list) -> bool:
        """Adopt the rows of a pass; returns whether the list has changed."""
        rows_without_slow_start = {row["id"]: {**row, "cold_s": 0.0} for row in rows}
        has_risen = any(
            row["cold_s"]
            > max(0.0, self.slow_start_until.get(row["id"], now) - now) + constants.SLOW_START_REPORT_THRESHOLD
            for row in rows
        )
        is_new = self.value is None or rows_without_slow_start != self.rows or has_risen
        if is_new:
            self.number, self.rows = self.number + 1, rows_without_slow_start
        was_in_slow_start = any(
            until > now - constants.ENDPOINT_LIST_MAX_BACKOFF for until in self.slow_start_until.values()
        )
        if is_new or was_in_slow_start:
            self.slow_start_until = {row["id"]: now + row["cold_s"] for row in rows if row["cold_s"] > 0}
            published_rows = [
                {**row, "cold_s": round(row["cold_s"], 2)} for row in sorted(rows, key=lambda row: row["id"])
            ]
            self.value = {
                "number": self.number,
                "mark": self.post,
                "trail": [],
                "text": json.dumps(published_rows, separators=(",", ":")),
            }
        return is_new
