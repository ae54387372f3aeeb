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
from sailward.config.check import Fault, InvalidConfig, check_config
from sailward.events import (
    AppendRecords,
    CancelCall,
    CloseConnections,
    ConfigValidated,
    ExitProcess,
    Respond,
    RewriteRecords,
    SendMessage,
    ShutdownRequested,
    StartCall,
    TimerFired,
    ValidateConfig,
)
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

    def run(self, *, step: Callable) -> int:
        """Run the owner until it stops; returns the exit code."""
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
                        return command.code
                    carry_out(command=command, handlers=self.handlers)
            except Exception:  # noqa: BLE001 - any exception of the owner is logged and ends the process
                self.journal.write_fault(event=event)
                return constants.EXIT_FAULT


class CallMaker(Protocol):
    """An edge that makes calls."""

    def start(self, *, call: StartCall) -> None:
        """Start a call."""

    def cancel(self, *, token: str) -> None:
        """Cancel a call."""


@dataclass(kw_only=True)
class Edges:
    """The edges of one process."""

    loop: Loop
    message_transport: object
    http_server: object
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
        try:
            verdict = check_config(config=command.config)
        except Exception as fault:  # noqa: BLE001 - a configuration that can't be checked is rejected
            write_log(event="check-fault", fields={"trace": traceback.format_exc()}, level="error")
            verdict = InvalidConfig(faults=(Fault(path="", reason=f"can't be checked: {fault}"),))
        self.loop.deliver(ConfigValidated(token=command.token, verdict=verdict))


def run_guarded(*, threads: ThreadPoolExecutor, loop: Loop, name: str, run: Callable) -> None:
    """Run a task on a thread; an exception in it ends the process."""

    def guard() -> None:
        try:
            run()
        except Exception:  # noqa: BLE001 - any exception of a thread is logged and ends the process
            write_log(event="task-fault", fields={"task": name, "trace": traceback.format_exc()}, level="error")
            os._exit(constants.EXIT_FAULT)

    threads.submit(guard)


def end_process(*, code: int, http_server: object) -> None:
    """Wait until the last answers are written, then end the process."""
    end = time.monotonic() + constants.FLUSH_TIMEOUT
    http_server.close_after_answers()
    while http_server.open_count() and time.monotonic() < end:
        time.sleep(0.01)
    time.sleep(0.05)
    os._exit(code)
