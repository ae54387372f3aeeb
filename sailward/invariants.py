"""Invariants that are checked at run time: a violation is counted and logged, and does not stop the process.

The counts are per process. Tests fail on any that they did not expect (tests/conftest.py).
"""

from __future__ import annotations

import enum
from collections import Counter

from sailward.events import LogEvent


class Invariant(enum.Enum):
    """The invariants that are checked, by their name in the log."""

    DEPARTURES_REPORTED = "departures-reported"
    """If a client's connection has ended, its unanswered requests have been reported to the owner as disconnected."""

    CALLERS_WATCHED = "callers-watched"
    """A connection with unanswered requests is read from, so that its end is noticed, unless its buffer is full."""

    DEPARTED_NOT_SERVED = "departed-not-served"
    """No attempt starts for a request whose client has disconnected."""

    DEPARTED_NOT_RUNNING = "departed-not-running"
    """No attempt is in flight for a repeatable request that has ended, or whose client has disconnected."""


violations: Counter[str] = Counter()
"""Violations in this process, by name."""


def check(*, invariant: Invariant, holds: bool, **fields: object) -> list[LogEvent]:
    """Count a violation if the invariant doesn't hold. Returns the log event for it, if any."""
    if holds:
        return []
    violations[invariant.value] += 1
    return [LogEvent(event="invariant-violated", fields={"invariant": invariant.value, **fields})]
