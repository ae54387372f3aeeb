"""What an owner was given last, and how its commands reach the edges: alike for threads and for the reactor."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Mapping

from sailward import constants
from sailward.events import LogEvent, MessageReceived, TimerFired
from sailward.runtime.logs import write_log

LOGGED_FIELDS = ("token", "method", "seq", "code", "fault")
"""Fields of events that the journal shows: kinds and names, nothing of a tenant's or caller's."""


class Journal:
    """The last events of an owner; `shown` of them are written to the log if it ends by a fault."""

    def __init__(self, *, dump_length: int = constants.EVENT_JOURNAL_LENGTH) -> None:
        self._dump_length = dump_length
        self._rows: deque[tuple[float, object]] = deque(maxlen=constants.EVENT_JOURNAL_LENGTH)

    def add(self, *, now: float, event: object) -> None:
        """Note that the owner is given this event."""
        self._rows.append((now, event))

    def write_fault(self, *, event: object) -> None:
        """Log the exception that is being handled, which this event led to, and the last events, oldest first."""
        fields = {"on": type(event).__name__, "trace": traceback.format_exc()}
        write_log(event="fault", fields=fields, level="error")
        for at, row in list(self._rows)[-self._dump_length :]:
            if not isinstance(row, TimerFired):
                fields = {"at": f"{at:.3f}", "event": type(row).__name__, **_describe(event=row)}
                write_log(event="journal", fields=fields, level="error")


def _describe(*, event: object) -> dict:
    if isinstance(event, MessageReceived):
        return {"from": event.sender, "kind": event.body["kind"]}
    return {name: getattr(event, name) for name in LOGGED_FIELDS if hasattr(event, name)}


def carry_out(*, command: object, handlers: Mapping[type, Callable]) -> None:
    """Log, or hand the command to the edge that is there for its type."""
    if isinstance(command, LogEvent):
        write_log(event=command.event, fields=command.fields)
        return
    handler = handlers.get(type(command))
    if handler is None:
        # a mistake in the program, but none to die of
        write_log(event="command-unexpected", fields={"type": type(command).__name__}, level="error")
        return
    handler(command)
