"""The host of one owner on the reactor: events to its step, its commands to the edges."""

from __future__ import annotations

import signal
import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import Command, Heard, Log, Stop, StopAsked, Ticked
from sailward.runtime.logs import write_log
from sailward.runtime.reactor import Reactor


@dataclass(kw_only=True)
class Host:
    """Task that runs the owner on the reactor's thread. `tell` gives it an event; `run` serves until it stops."""

    reactor: Reactor
    handlers: dict[type, Callable] = field(default_factory=dict)
    step: Callable | None = None
    code: int = 0
    changed: Callable | None = None
    _line: deque = field(default_factory=deque)
    _is_busy: bool = False
    _journal: deque = field(default_factory=lambda: deque(maxlen=constants.JOURNAL))

    def tell(self, event: object) -> None:
        """Give the owner an event, after those already in line. Only from the reactor's thread."""
        self._line.append(event)
        if self._is_busy or self.step is None:
            return
        self._is_busy = True
        try:
            while self._line:
                self._take(event=self._line.popleft())
        finally:
            self._is_busy = False

    def tell_from_thread(self, event: object) -> None:
        """The same from any other thread."""
        self.reactor.give(call=lambda: self.tell(event))

    def run(self, *, step: Callable) -> int:
        """Run the owner until it stops; gives the exit code."""
        self.step = step
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.tell_from_thread(StopAsked()))
        signal.signal(
            signal.SIGHUP, lambda *_: self.reactor.give(call=lambda: self.changed() if self.changed else None)
        )
        self._tick()
        self.reactor.run()
        return self.code

    def _tick(self) -> None:
        self.reactor.later(delay=constants.TICK, call=self._tick)
        self.tell(Ticked(wall=time.time()))

    def _take(self, *, event: object) -> None:
        now = self.reactor.clock()
        self._journal.append((now, event))
        try:
            for command in self.step(now=now, event=event):
                if isinstance(command, Stop):
                    write_log(event="stopped", fields={"code": command.code})
                    self.code = command.code
                    self.step = None
                    self._line.clear()
                    self.reactor.later(delay=constants.FLUSH_WAIT, call=self.reactor.stop)
                    return
                self._carry_out(command=command)
        except Exception:  # noqa: BLE001 - any fault of the owner is logged, and ends the process
            write_log(
                event="fault", fields={"on": type(event).__name__, "trace": traceback.format_exc()}, level="error"
            )
            self._write_journal()
            self.code = constants.EXIT_FAULT
            self.reactor.stop()

    def _carry_out(self, *, command: Command) -> None:
        if isinstance(command, Log):
            write_log(event=command.event, fields=command.fields)
            return
        handler = self.handlers.get(type(command))
        if handler is None:
            # a mistake in the program, but none to die of
            write_log(event="command-unexpected", fields={"type": type(command).__name__}, level="error")
            return
        handler(command)

    def _write_journal(self) -> None:
        """What the owner was given last, oldest first: kinds and names, nothing of a caller's."""
        for at, event in list(self._journal)[-constants.JOURNAL_SHOWN :]:
            told = (
                {"from": event.sender, "kind": event.body["kind"]}
                if isinstance(event, Heard)
                else {
                    name: getattr(event, name)
                    for name in ("token", "method", "seq", "code", "fault")
                    if hasattr(event, name)
                }
            )
            if not isinstance(event, Ticked):
                write_log(
                    event="journal", fields={"at": f"{at:.3f}", "event": type(event).__name__, **told}, level="error"
                )
