"""The records that callers and workers of a soak test keep."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass, field


class ConnectionEnd(enum.Enum):
    """What a caller saw at the end of a request."""

    OPEN = "open"
    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    REFUSED = "connection refused"


class RunEnd(enum.Enum):
    """How the run of a request ended at its worker."""

    OPEN = "open"
    ANSWERED = "answered"
    LOST = "answer lost"
    CLOSED = "connection closed"


@dataclass(kw_only=True)
class Run:
    """One run of a request at a worker; times in s of the monotonic clock, `ended_at` 0 while it runs."""

    worker: str
    end: RunEnd = RunEnd.OPEN
    began_at: float = field(default_factory=time.monotonic)
    ended_at: float = 0.0

    def finish(self, *, end: RunEnd) -> None:
        """Record how the run ended."""
        self.end, self.ended_at = end, time.monotonic()


@dataclass(kw_only=True)
class Attempt:
    """One request of a caller: whether it disconnected early, and the answer; `code` 0 if it was incomplete.

    Times are in s of the monotonic clock. `sent_at` is when the last byte was sent, 0 until then; `ended_at` is when
    the answer was complete or the connection over. `is_behind`: it was sent behind an unanswered request.
    """

    name: str
    is_nonidempotent: bool
    has_disconnected: bool = False
    code: int = 0
    body: bytes = b""
    kind: str = ""
    front: str = ""
    size: int = 0
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: ConnectionEnd = ConnectionEnd.OPEN
    is_behind: bool = False
    runs: list[Run] = field(default_factory=list)


@dataclass(kw_only=True)
class Records:
    """All requests by their id, and the ids that ran although no caller sent them."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    unknown_names: list[str] = field(default_factory=list)

    def begin(self, *, name: str, is_nonidempotent: bool) -> Attempt:
        """Record a request that is about to be sent."""
        self.attempts[name] = Attempt(name=name, is_nonidempotent=is_nonidempotent)
        return self.attempts[name]

    def run(self, *, name: str, worker: str) -> Run:
        """Record that a worker starts to run a request."""
        run = Run(worker=worker)
        if name in self.attempts:
            self.attempts[name].runs.append(run)
        else:
            self.unknown_names.append(name)
        return run

    def running_for_departed(self) -> list[str]:
        """Repeatable requests that still run at a worker although their callers have disconnected."""
        return [
            attempt.name
            for attempt in self.attempts.values()
            if attempt.has_disconnected
            and not attempt.is_nonidempotent
            and any(run.end is RunEnd.OPEN for run in attempt.runs)
        ]
