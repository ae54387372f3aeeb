"""Clients that disconnected before their responses: how many one server saw, and how many it reported."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from sailward.events import LogEvent
from sailward.invariants import Invariant, check
from sailward.transport.http_server_state import Connection


@dataclass(kw_only=True)
class DepartureCounts:
    """Unanswered requests whose client's connection ended, counted since the start.

    `closed` counts those ended by EOF from the client, `reset` those ended by a reset or by this server; `reported`
    counts those reported to the owner.
    """

    closed: int = 0
    reset: int = 0
    reported: int = 0

    def take_changes(self, *, logged: DepartureCounts) -> dict[str, int]:
        """The increases since `logged`, which is then updated; empty if there are none."""
        now = {"closed": self.closed, "reset": self.reset, "reported": self.reported}
        before = {name: getattr(logged, name) for name in now}
        if now == before:
            return {}
        logged.closed, logged.reset, logged.reported = self.closed, self.reset, self.reported
        return {name: count - before[name] for name, count in now.items()}


def check_departures(*, connection: Connection, pending: Collection[str]) -> list[LogEvent]:
    """Check the invariants of a connection; `pending` holds the tokens of unanswered requests."""
    unanswered = [exchange for exchange in connection.exchanges if exchange.token in pending]
    if not unanswered:
        return []
    if connection.is_eof:
        is_reported = all(exchange.is_reported for exchange in unanswered)
        return check(invariant=Invariant.DEPARTURES_REPORTED, holds=is_reported, unanswered=len(unanswered))
    is_watched = connection.watched_events[0] or not connection.may_read()
    return check(invariant=Invariant.CALLERS_WATCHED, holds=is_watched, unanswered=len(unanswered))
