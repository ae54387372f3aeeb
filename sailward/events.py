"""Events that owners are given and commands that they answer with."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Never


@dataclass(frozen=True, kw_only=True)
class TimerFired:
    """Time went on; `wall` is the machine's clock, which may jump."""

    wall: float = 0.0


@dataclass(frozen=True, kw_only=True)
class MessageReceived:
    """A message came from the daemon that listens at `sender`."""

    sender: str
    body: dict


@dataclass(frozen=True, kw_only=True)
class RecordsSynced:
    """All records up to the one with this number are on the disk."""

    seq: int


@dataclass(frozen=True, kw_only=True)
class DiskWriteFailed:
    """Records could not be stored; `full` if for want of room."""

    seq: int
    full: bool
    reason: str


@dataclass(frozen=True, kw_only=True)
class RequestReceived:
    """An HTTP exchange arrived; `body` is None if it is over the bound.

    `target` is the request target as the caller wrote it, where the edge keeps it.
    """

    token: str
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes | None
    target: str = ""


@dataclass(frozen=True, kw_only=True)
class ClientDisconnected:
    """The caller's connection ended before this exchange's answer was given."""

    token: str


@dataclass(frozen=True, kw_only=True)
class CallFinished:
    """An HTTP call ended: `code` 0 with a `fault`, or the result whole.

    `sent` says whether a byte of the exchange may have left.
    """

    token: str
    code: int
    headers: dict
    body: bytes
    fault: str
    sent: bool


@dataclass(frozen=True, kw_only=True)
class ConfigValidated:
    """A configuration was checked: ValidConfig or InvalidConfig."""

    token: str
    verdict: object


@dataclass(frozen=True, kw_only=True)
class ShutdownRequested:
    """The platform wants this process to stop within its grace."""


@dataclass(frozen=True, kw_only=True)
class SendMessage:
    """Send a message to the daemon that listens at `to`; it may be lost."""

    to: str
    body: dict


@dataclass(frozen=True, kw_only=True)
class AppendRecords:
    """Append records, sync, then report `seq`."""

    seq: int
    records: tuple


@dataclass(frozen=True, kw_only=True)
class RewriteRecords:
    """Replace the whole file by these records, synced, then report `seq`."""

    seq: int
    records: tuple


@dataclass(frozen=True, kw_only=True)
class Respond:
    """Give an HTTP exchange its result; `close` ends its connection behind it."""

    token: str
    code: int
    body: bytes
    headers: dict = field(default_factory=dict)
    close: bool = False


@dataclass(frozen=True, kw_only=True)
class StartCall:
    """Make an HTTP call. `owner` names whose connection it is; `fresh` asks for one of its own.

    It is not begun after `begin_by`. `dial` is how long its connection may take to come up, in s; 0 for the usual
    bound.
    """

    token: str
    owner: str
    address: str
    method: str
    path: str
    headers: dict
    body: bytes
    timeout: float
    fresh: bool
    begin_by: float = float("inf")
    dial: float = 0.0


@dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Give up a call: its connection is closed, and no CallFinished follows."""

    token: str


@dataclass(frozen=True, kw_only=True)
class WithdrawCall:
    """Give up a call of which no byte has left: its CallFinished says `withdrawn`. Any other call goes on."""

    token: str


@dataclass(frozen=True, kw_only=True)
class ValidateConfig:
    """Check a configuration, beside the owner: a large one takes seconds."""

    token: str
    config: dict


@dataclass(frozen=True, kw_only=True)
class CloseConnections:
    """Close every connection that belongs to `owner`."""

    owner: str


@dataclass(frozen=True, kw_only=True)
class DrainConnections:
    """End each caller's connection behind its next answer; with `shut`, take no new connections either."""

    shut: bool = False


@dataclass(frozen=True, kw_only=True)
class LogEvent:
    """Write one line to the log."""

    event: str
    fields: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ExitProcess:
    """End the process with this exit code."""

    code: int


Event = (
    TimerFired
    | MessageReceived
    | RecordsSynced
    | DiskWriteFailed
    | RequestReceived
    | ClientDisconnected
    | CallFinished
    | ConfigValidated
    | ShutdownRequested
)
"""All that an edge can tell an owner. An owner's `step` matches each of them; the type checker finds one that is left
out."""

Command = (
    SendMessage
    | AppendRecords
    | RewriteRecords
    | Respond
    | StartCall
    | CancelCall
    | WithdrawCall
    | ValidateConfig
    | CloseConnections
    | DrainConnections
    | LogEvent
    | ExitProcess
)
"""All that an owner can answer with."""


@dataclass(kw_only=True)
class RefusedInput:
    """Counts what came from outside and could not be read, by its kind. It is dropped whole."""

    counts: Counter = field(default_factory=Counter)

    def add(self, *, kind: str, reason: str, **fields: object) -> list[Command]:
        """Count one and write it to the log with the reason."""
        self.counts[kind] += 1
        return [
            LogEvent(
                event="input-refused", fields={"kind": kind, "reason": reason, "count": self.counts[kind], **fields}
            )
        ]


@dataclass(kw_only=True)
class UnexpectedEvents:
    """Counts the events that reached an owner which has no use for them.

    A mistake in the program, but none to die of.
    """

    counts: Counter = field(default_factory=Counter)

    def add(self, *, event: object) -> list[Command]:
        """Count an event and write it to the log; the owner's state stays as it is."""
        name = type(event).__name__
        self.counts[name] += 1
        return [LogEvent(event="event-unexpected", fields={"type": name, "count": self.counts[name]})]

    def add_unknown(self, *, event: Never) -> list[Command]:
        """The same at the end of a match over all events: `Never` lets the type checker prove that none is left out."""
        return self.add(event=event)
