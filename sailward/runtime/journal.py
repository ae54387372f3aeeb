"""The last events of an owner, and the dispatch of its commands to the edges, for the threaded loop and the reactor."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Mapping

from sailward import constants
from sailward.events import LogEvent, MessageReceived, TimerFired
from sailward.runtime.logs import write_log

LOGGED_FIELDS = ("token", "method", "seq", "code", "fault")
"""Fields of events that the journal logs: kinds and names, but no data of tenants or clients."""


class Journal:
    """The last events of an owner; up to `dump_length` of them are logged if it ends by an exception."""

    def __init__(self, *, dump_length: int = constants.EVENT_JOURNAL_LENGTH) -> None:
        self._dump_length = dump_length
        self._rows: deque[tuple[float, object]] = deque(maxlen=constants.EVENT_JOURNAL_LENGTH)

    def add(self, *, now: float, event: object) -> None:
        """Record an event that is passed to the owner."""
        self._rows.append((now, event))

    def write_fault(self, *, event: object) -> None:
        """Log the exception being handled, which this event caused, and the last events, oldest first."""
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
    """Carry out a command: write a log event, or call the handler for the command's type."""
    if isinstance(command, LogEvent):
        write_log(event=command.event, fields=command.fields)
        return
    handler = handlers.get(type(command))
    if handler is None:
        # a programming error, but not one that has to end the process
        write_log(event="command-unexpected", fields={"type": type(command).__name__}, level="error")
        return
    handler(command)
