"""Runs one owner on the reactor: passes events to its step, and its commands to the edges."""

from __future__ import annotations

import signal
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import ExitProcess, ShutdownRequested, TimerFired
from sailward.runtime.connection_drain import ConnectionDrain, DrainableServer
from sailward.runtime.journal import Journal, carry_out
from sailward.runtime.logs import write_log
from sailward.runtime.reactor import Reactor


@dataclass(kw_only=True)
class Host:
    """Task that runs the owner on the reactor's thread. `deliver` passes it an event; `run` returns when it stops.

    The connections of `servers` are served to their end after the owner has stopped.
    """

    reactor: Reactor
    servers: Sequence[DrainableServer] = ()
    handlers: dict[type, Callable] = field(default_factory=dict)
    step: Callable | None = None
    code: int = 0
    on_reload: Callable | None = None
    _queue: deque = field(default_factory=deque)
    _is_busy: bool = False
    _journal: Journal = field(default_factory=lambda: Journal(dump_length=constants.EVENT_JOURNAL_DUMP_LENGTH))

    def deliver(self, event: object) -> None:
        """Pass the owner an event, after those already queued. Only from the reactor's thread."""
        self._queue.append(event)
        if self._is_busy or self.step is None:
            return
        self._is_busy = True
        try:
            while self._queue:
                self._run_step(event=self._queue.popleft())
        finally:
            self._is_busy = False

    def deliver_from_thread(self, event: object) -> None:
        """Like `deliver`, from any other thread."""
        self.reactor.call_from_thread(callback=lambda: self.deliver(event))

    def run(self, *, step: Callable) -> int:
        """Run the owner until it stops; returns the exit code."""
        self.step = step
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self.deliver_from_thread(ShutdownRequested()))
        signal.signal(
            signal.SIGHUP,
            lambda *_: self.reactor.call_from_thread(callback=lambda: self.on_reload() if self.on_reload else None),
        )
        self._tick()
        self.reactor.run()
        return self.code

    def _tick(self) -> None:
        self.reactor.call_later(delay=constants.TICK_INTERVAL, callback=self._tick)
        self.deliver(TimerFired(wall=time.time()))

    def _drain_connections(self, *, timeout: float) -> None:
        ConnectionDrain(
            reactor=self.reactor, servers=self.servers, timeout=timeout, on_drained=self.reactor.stop
        ).begin()

    def _run_step(self, *, event: object) -> None:
        now = self.reactor.clock()
        self._journal.add(now=now, event=event)
        try:
            for command in self.step(now=now, event=event):
                if isinstance(command, ExitProcess):
                    write_log(event="stopped", fields={"code": command.code})
                    self.code = command.code
                    self.step = None
                    self._queue.clear()
                    self._drain_connections(timeout=command.drain_timeout)
                    return
                carry_out(command=command, handlers=self.handlers)
        except Exception:  # noqa: BLE001 - any exception of the owner is logged and ends the process
            self._journal.write_fault(event=event)
            self.code = constants.EXIT_FAULT
            self.reactor.stop()
