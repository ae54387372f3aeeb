"""What must hold while the code runs, checked there: a violation is counted and logged, and ends nothing.

The counts are the process's. Tests fail on any that they did not expect (tests/conftest.py).
"""

from __future__ import annotations

import enum
from collections import Counter

from sailward.events import LogEvent


class Invariant(enum.Enum):
    """The statements that are checked, by the name that the log gives."""

    DEPARTURES_REPORTED = "departures-reported"
    """A request without an answer whose caller's connection has ended has been reported to the owner."""

    CALLERS_WATCHED = "callers-watched"
    """A connection with unanswered requests is read from, so that its end is seen, unless its buffer is full."""

    DEPARTED_NOT_SERVED = "departed-not-served"
    """No attempt is begun for a request whose caller has left."""

    DEPARTED_NOT_RUNNING = "departed-not-running"
    """No attempt is under way for a repeatable request that is over, or whose caller has left."""


violations: Counter[str] = Counter()
"""Violations in this process, by name."""


def check(*, invariant: Invariant, holds: bool, **fields: object) -> list[LogEvent]:
    """Count a violation if it doesn't hold; the line for the log, if any."""
    if holds:
        return []
    violations[invariant.value] += 1
    return [LogEvent(event="invariant-violated", fields={"invariant": invariant.value, **fields})]
