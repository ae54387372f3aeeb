"""Events that owners receive, and commands that they return."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Never


@dataclass(frozen=True, kw_only=True)
class TimerFired:
    """A timer tick; `wall` is the machine's wall clock, which may jump."""

    wall: float = 0.0


@dataclass(frozen=True, kw_only=True)
class MessageReceived:
    """A message arrived from the daemon that listens at `sender`."""

    sender: str
    body: dict


@dataclass(frozen=True, kw_only=True)
class RecordsSynced:
    """All records up to the one with this number are on the disk."""

    seq: int


@dataclass(frozen=True, kw_only=True)
class DiskWriteFailed:
    """Records could not be stored; `full` if the disk has no room."""

    seq: int
    full: bool
    reason: str


@dataclass(frozen=True, kw_only=True)
class RequestReceived:
    """An HTTP request arrived; `body` is None if it is over the limit.

    `target` is the request target as the client wrote it, where the edge keeps it.
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
    """The client's connection ended before this request was answered."""

    token: str


@dataclass(frozen=True, kw_only=True)
class CallFinished:
    """An HTTP call ended: `code` 0 with a `fault`, or the complete response.

    `sent` says whether a byte of the request may have been sent.
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
    """The platform asks this process to stop within its grace period."""


@dataclass(frozen=True, kw_only=True)
class SendMessage:
    """Send a message to the daemon that listens at `to`; it may be lost."""

    to: str
    body: dict


@dataclass(frozen=True, kw_only=True)
class AppendRecords:
    """Append records and sync them, then report `seq`."""

    seq: int
    records: tuple


@dataclass(frozen=True, kw_only=True)
class RewriteRecords:
    """Replace the whole file by these records and sync it, then report `seq`."""

    seq: int
    records: tuple


@dataclass(frozen=True, kw_only=True)
class Respond:
    """Answer an HTTP request; `close` ends its connection after the answer."""

    token: str
    code: int
    body: bytes
    headers: dict = field(default_factory=dict)
    close: bool = False


@dataclass(frozen=True, kw_only=True)
class StartCall:
    """Make an HTTP call. `owner` names whose connection it uses; `fresh` asks for a new connection.

    The call does not start after `begin_by`. `dial` is the time-out for opening its connection, in s; 0 for the
    default.
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
    """Cancel a call: its connection is closed, and no CallFinished follows."""

    token: str


@dataclass(frozen=True, kw_only=True)
class WithdrawCall:
    """Cancel a call if no byte of it has been sent: its CallFinished says `withdrawn`. Any other call goes on."""

    token: str


@dataclass(frozen=True, kw_only=True)
class ValidateConfig:
    """Check a configuration outside the owner's thread: a large one takes seconds."""

    token: str
    config: dict


@dataclass(frozen=True, kw_only=True)
class CloseConnections:
    """Close every connection that belongs to `owner`."""

    owner: str


@dataclass(frozen=True, kw_only=True)
class DrainConnections:
    """End each client connection after its next answer.

    With `shut`, also close idle ones, accept no new ones, and answer 503 to each request that becomes complete.
    """

    shut: bool = False


@dataclass(frozen=True, kw_only=True)
class LogEvent:
    """Write one line to the log."""

    event: str
    fields: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ExitProcess:
    """End the process with this exit code; clients may go on sending what they have begun for `drain_timeout` s."""

    code: int
    drain_timeout: float = 0.0


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
"""All events that an edge can give an owner. An owner's `step` matches each of them; the type checker finds one that is
left out."""

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
"""All commands that an owner can return."""


@dataclass(kw_only=True)
class RefusedInput:
    """Counts input from outside that could not be read, by its kind. Such input is dropped as a whole."""

    counts: Counter = field(default_factory=Counter)

    def add(self, *, kind: str, reason: str, **fields: object) -> list[Command]:
        """Count an input and log it with the reason."""
        self.counts[kind] += 1
        return [
            LogEvent(
                event="input-refused", fields={"kind": kind, "reason": reason, "count": self.counts[kind], **fields}
            )
        ]


@dataclass(kw_only=True)
class UnexpectedEvents:
    """Counts events that an owner received but does not handle.

    This is a mistake in the program, but not one that ends the process.
    """

    counts: Counter = field(default_factory=Counter)

    def add(self, *, event: object) -> list[Command]:
        """Count an event and log it; the owner's state does not change."""
        name = type(event).__name__
        self.counts[name] += 1
        return [LogEvent(event="event-unexpected", fields={"type": name, "count": self.counts[name]})]

    def add_unknown(self, *, event: Never) -> list[Command]:
        """The same at the end of a match over all events: `Never` lets the type checker prove that none is left out."""
        return self.add(event=event)
