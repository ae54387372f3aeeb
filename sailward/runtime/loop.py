"""The event loop of a process: passes events to its owner, and the owner's commands to the edges."""

from __future__ import annotations

import os
import queue
import signal
import time
import traceback
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Protocol

from sailward import constants
from sailward.events import (
    AppendRecords,
    CancelCall,
    CloseConnections,
    ExitProcess,
    Respond,
    RewriteRecords,
    SendMessage,
    ShutdownRequested,
    StartCall,
    TimerFired,
    ValidateConfig,
)
from sailward.runtime.config_validation import validate_config
from sailward.runtime.journal import Journal, carry_out
from sailward.runtime.logs import write_log


@dataclass(kw_only=True)
class Loop:
    """Task that runs the owner: the only thread that touches its state."""

    handlers: dict[type, Callable] = field(default_factory=dict)
    events: queue.SimpleQueue = field(default_factory=queue.SimpleQueue)
    journal: Journal = field(default_factory=Journal)

    def deliver(self, event: object) -> None:
        """Queue an event for the owner."""
        self.events.put(event)

    def run(self, *, step: Callable) -> ExitProcess:
        """Run the owner until it stops; returns its last command."""
        signal.signal(signal.SIGTERM, lambda *_: self.deliver(ShutdownRequested()))
        signal.signal(signal.SIGINT, lambda *_: self.deliver(ShutdownRequested()))
        tick_at = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= tick_at:
                event: object = TimerFired(wall=time.time())
                tick_at = now + constants.TICK_INTERVAL
            else:
                try:
                    event = self.events.get(timeout=tick_at - now)
                except queue.Empty:
                    continue
            self.journal.add(now=now, event=event)
            try:
                commands = step(now=time.monotonic(), event=event)
                for command in commands:
                    if isinstance(command, ExitProcess):
                        write_log(event="stopped", fields={"code": command.code})
                        return command
                    carry_out(command=command, handlers=self.handlers)
            except Exception:  # noqa: BLE001 - any exception of the owner is logged and ends the process
                self.journal.write_fault(event=event)
                return ExitProcess(code=constants.EXIT_FAULT)


class CallMaker(Protocol):
    """An edge that makes calls."""

    def start(self, *, call: StartCall) -> None:
        """Start a call."""

    def cancel(self, *, token: str) -> None:
        """Cancel a call."""


class RequestServer(Protocol):
    """An edge that receives requests, and serves them to their end when the owner has ended."""

    def answer(self, *, command: Respond) -> None:
        """Answer a request."""

    def refuse_requests(self) -> None:
        """Answer what becomes complete from now on without the owner."""

    def abandon_requests(self) -> None:
        """Answer what waits for the owner."""

    def open_count(self) -> int:
        """Requests that are not answered."""


@dataclass(kw_only=True)
class Edges:
    """The edges of one process."""

    loop: Loop
    message_transport: object
    http_server: RequestServer
    calls: CallMaker | None = None
    disk: object | None = None
    checks: ThreadPoolExecutor | None = None

    def connect(self) -> None:
        """Register the handler of each command with the loop."""
        self.loop.handlers = {
            SendMessage: lambda command: self.message_transport.send(to=command.to, body=command.body),
            Respond: lambda command: self.http_server.answer(command=command),
            ValidateConfig: lambda command: self.checks.submit(self._check, command),
            CloseConnections: lambda _: None,
            AppendRecords: lambda command: self.disk.submit(command=command),
            RewriteRecords: lambda command: self.disk.submit(command=command),
        }
        calls = self.calls
        if calls is not None:
            self.loop.handlers[StartCall] = lambda command: calls.start(call=command)
            self.loop.handlers[CancelCall] = lambda command: calls.cancel(token=command.token)

    def _check(self, command: ValidateConfig) -> None:
        self.loop.deliver(validate_config(command=command))


def run_guarded(*, threads: ThreadPoolExecutor, loop: Loop, name: str, run: Callable) -> None:
    """Run a task on a thread; an exception in it ends the process."""

    def guard() -> None:
        try:
            run()
        except Exception:  # noqa: BLE001 - any exception of a thread is logged and ends the process
            write_log(event="task-fault", fields={"task": name, "trace": traceback.format_exc()}, level="error")
            os._exit(constants.EXIT_FAULT)

    threads.submit(guard)


def end_process(*, last: ExitProcess, http_server: RequestServer) -> None:
    """Wait until the HTTP server's requests are answered, for the time that the owner's last command allows.

    Then end the process.
    """
    end = time.monotonic() + last.drain_timeout + constants.FLUSH_TIMEOUT
    http_server.refuse_requests()
    while http_server.open_count() and time.monotonic() < end:
        http_server.abandon_requests()
        time.sleep(0.01)
    time.sleep(0.05)
    os._exit(last.code)
