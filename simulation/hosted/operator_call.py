"""One call of an operator, sent to one controller after another until it gets a definite response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sailward.events import Respond
from simulation.hosted.environment import OperatorView

if TYPE_CHECKING:
    from simulation.hosted.process import Process

ENDS = (400, 409, 412, 413, 422)
"""Statuses on which an operator ends a call at once."""
COME_BACK = (408, 429)
"""Statuses of 4xx that ask for a retry."""
ODD_ANSWERS = 3
"""Number of other 4xx responses after which the call ends."""
MOVED, REDIRECTS = 307, 2
"""The status that redirects to another controller, and the number of redirects followed without a pause."""
LARGE = 100_000
"""Bytes of a body above which the operator waits twice as long for a response."""
FIRST_PAUSE, PAUSE_GROWTH, LONGEST_PAUSE = 0.1, 1.6, 1.0
"""Backoff: s before the first retry, growth factor per turn, and s at most."""


@dataclass(kw_only=True)
class OperatorCall:
    """What is sent, and what is done with the response.

    `until`: when the call is given up. `first`: the machine asked first; `only`: no other machine is asked. `pause`: s
    between two attempts instead of the usual backoff; `again`: s before the second attempt, as the first
    acknowledgement is lost. `made` is called with each response as a controller gives it, `lost` for each
    acknowledgement that does not reach the operator, `arrived` for each attempt that reaches a controller before the
    operator has closed the connection.
    """

    operator: OperatorView
    method: str
    path: str
    headers: dict
    body: bytes
    until: float
    done: Callable
    first: str = ""
    wants_body: bool = False
    pause: float = 0.0
    again: float = 0.0
    only: bool = False
    made: Callable | None = None
    lost: Callable[[], None] | None = None
    arrived: Callable[[], None] | None = None
    turn: int = 0
    odd: int = 0
    moves: int = 0

    def begin(self) -> None:
        """Send the call to the machine `first`, or to any controller."""
        self._send(process=self.operator.named(machine=self.first) or self.operator.pick(avoid=None))

    def _send(self, *, process: Process | None) -> None:
        _Sending(call=self, process=process).begin()

    def take(self, *, answer: Respond | None, process: Process | None) -> None:
        """Handle the response to one attempt, None if there was none: end the call, or retry."""
        code = answer.code if answer is not None else 0
        if code == MOVED and self.moves < REDIRECTS:
            self.moves += 1
            self._send(process=self.operator.world.redirect_target(location=answer.headers["Location"]))
            return
        self.odd += 400 <= code < 500 and code not in (*ENDS, *COME_BACK)
        if 200 <= code < 300 or code in ENDS or self.odd >= ODD_ANSWERS:
            self.done(code, answer.body) if self.wants_body else self.done(code)
            return
        self.turn += 1
        clock, end = self.operator.world.clock, self.operator.world.end
        is_late = self.again and self.turn == 1
        after = self.again if is_late else self.pause or min(LONGEST_PAUSE, FIRST_PAUSE * PAUSE_GROWTH**self.turn)
        if clock.now + after >= min(self.until, end):
            self.done(0)
            return
        clock.after(after, lambda: self._send(process=process if self.only else self.operator.pick(avoid=process)))

    def patience(self) -> float:
        """The time in s that the operator waits for a response before it closes the connection."""
        return self.operator.patience * (2 if len(self.body) > LARGE else 1)

    def is_lost(self, *, answer: Respond | None) -> bool:
        """Is this an acknowledgement that is lost on its way to the operator?"""
        if answer is None or answer.code != 200 or self.wants_body:
            return False
        is_late = bool(self.again) and self.turn == 0
        self.operator.world.count["late-orders"] += is_late
        if not is_late and not self.operator.loses():
            return False
        if self.lost:
            self.lost()
        return True


@dataclass(kw_only=True)
class _Sending:
    """One attempt, on its own connection."""

    call: OperatorCall
    process: Process | None
    is_settled: bool = False
    leave: Callable[[], None] | None = None

    def begin(self) -> None:
        call, world = self.call, self.call.operator.world
        self.leave = world.exchange(
            node=call.operator.node,
            process=self.process,
            edge="desk",
            path=call.path,
            method=call.method,
            headers=call.headers,
            body=call.body,
            query={},
            done=self._take,
            read=self._note_read,
            made=call.made,
        )
        world.clock.after(call.patience(), self._give_up)

    def _note_read(self) -> None:
        # a request read after the operator closed its connection must be dropped by the controller
        if self.call.arrived and not self.is_settled:
            self.call.arrived()

    def _give_up(self) -> None:
        if self.is_settled:
            return
        world = self.call.operator.world
        world.history.add(t=world.clock.now, k="operator-left", method=self.call.method, path=self.call.path)
        self.leave()
        self._take(None)

    def _take(self, answer: Respond | None) -> None:
        if self.is_settled or self.call.is_lost(answer=answer):
            return
        self.is_settled = True
        self.call.take(answer=answer, process=self.process)
