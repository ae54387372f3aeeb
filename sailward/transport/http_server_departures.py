"""Callers whose connection ended before their answers: what one server edge saw, and what it reported."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True)
class DepartureCounts:
    """Requests without an answer whose caller's connection ended, since the start.

    `closed` by the caller's end of its bytes, `reset` by a reset or by an end from here; `reported` of them to the
    owner.
    """

    closed: int = 0
    reset: int = 0
    reported: int = 0

    def take_changes(self, *, logged: DepartureCounts) -> dict[str, int]:
        """What has grown since `logged`, which is brought up to date; empty if nothing has."""
        now = {"closed": self.closed, "reset": self.reset, "reported": self.reported}
        before = {name: getattr(logged, name) for name in now}
        if now == before:
            return {}
        logged.closed, logged.reset, logged.reported = self.closed, self.reset, self.reported
        return {name: count - before[name] for name, count in now.items()}
