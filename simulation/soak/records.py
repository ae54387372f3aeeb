"""What callers and workers of a soak wrote down."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class RunEnd(enum.Enum):
    """How the run of a request ended at its worker."""

    OPEN = "open"
    ANSWERED = "answered"
    LOST = "answer lost"
    CLOSED = "connection closed"


@dataclass(kw_only=True)
class Run:
    """One run of a request at a worker."""

    worker: str
    end: RunEnd = RunEnd.OPEN


@dataclass(kw_only=True)
class Attempt:
    """One request of a caller: whether it left before the answer, and the answer; `code` 0 if none came whole."""

    name: str
    is_nonidempotent: bool
    has_disconnected: bool = False
    code: int = 0
    body: bytes = b""
    runs: list[Run] = field(default_factory=list)


@dataclass(kw_only=True)
class Records:
    """All requests of a soak by their id, and the ids that ran though nobody sent them."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    unknown_names: list[str] = field(default_factory=list)

    def begin(self, *, name: str, is_nonidempotent: bool) -> Attempt:
        """Write down a request that is about to be sent."""
        self.attempts[name] = Attempt(name=name, is_nonidempotent=is_nonidempotent)
        return self.attempts[name]

    def run(self, *, name: str, worker: str) -> Run:
        """Write down that a worker begins to run a request."""
        run = Run(worker=worker)
        if name in self.attempts:
            self.attempts[name].runs.append(run)
        else:
            self.unknown_names.append(name)
        return run

    def running_for_departed(self) -> list[str]:
        """Repeatable requests whose callers have left and that are still at a worker."""
        return [
            attempt.name
            for attempt in self.attempts.values()
            if attempt.has_disconnected
            and not attempt.is_nonidempotent
            and any(run.end is RunEnd.OPEN for run in attempt.runs)
        ]
