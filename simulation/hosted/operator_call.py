"""One call of an operator, sent to one controller after another until it gets a definite response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sailward.events import Respond
from simulation.hosted.environment import OperatorView

if TYPE_CHECKING:
    from simulation.hosted.process import Process

FINAL_STATUSES = (400, 409, 412, 413, 422)
"""Statuses on which an operator ends a call at once."""
RETRY_STATUSES = (408, 429)
"""Statuses of 4xx that ask for a retry."""
MAX_ODD_RESPONSES = 3
"""Number of other 4xx responses after which the call ends."""
REDIRECT, MAX_REDIRECTS = 307, 2
"""The status that redirects to another controller, and the number of redirects followed without a pause."""
LARGE_BODY = 100_000
"""Bytes of a body above which the operator waits twice as long for a response."""
FIRST_BACKOFF, BACKOFF_GROWTH, MAX_BACKOFF = 0.1, 1.6, 1.0
"""Backoff: s before the first retry, growth factor per attempt, and s at most."""


@dataclass(kw_only=True)
class OperatorCall:
    """What is sent, and what is done with the response.

    `until`: when the call is given up. `is_pinned`: no machine other than the first is asked. `retry_pause`: s between
    two attempts instead of the usual backoff; `resend_after`: s before the second attempt, as the first acknowledgement
    is lost. `on_response` is called with each response as a controller gives it, `on_lost` for each acknowledgement
    that does not reach the operator, `on_arrived` for each attempt that reaches a controller before the operator has
    closed the connection.
    """

    operator: OperatorView
    method: str
    path: str
    headers: dict
    body: bytes
    until: float
    on_done: Callable
    first_machine: str = ""
    wants_body: bool = False
    retry_pause: float = 0.0
    resend_after: float = 0.0
    is_pinned: bool = False
    on_response: Callable | None = None
    on_lost: Callable[[], None] | None = None
    on_arrived: Callable[[], None] | None = None
    attempts: int = 0
    odd_responses: int = 0
    redirects: int = 0

    def begin(self) -> None:
        """Send the call to `first_machine`, or to any controller."""
        self._send(
            process=self.operator.controller_on(machine=self.first_machine) or self.operator.pick_controller(avoid=None)
        )

    def _send(self, *, process: Process | None) -> None:
        _Attempt(call=self, process=process).begin()

    def on_result(self, *, answer: Respond | None, process: Process | None) -> None:
        """Handle the response to one attempt, None if there was none: end the call, or retry."""
        code = answer.code if answer is not None else 0
        if code == REDIRECT and self.redirects < MAX_REDIRECTS:
            self.redirects += 1
            self._send(process=self.operator.world.redirect_target(location=answer.headers["Location"]))
            return
        self.odd_responses += 400 <= code < 500 and code not in (*FINAL_STATUSES, *RETRY_STATUSES)
        if 200 <= code < 300 or code in FINAL_STATUSES or self.odd_responses >= MAX_ODD_RESPONSES:
            self.on_done(code, answer.body) if self.wants_body else self.on_done(code)
            return
        self.attempts += 1
        clock, end = self.operator.world.clock, self.operator.world.end
        is_resent = self.resend_after and self.attempts == 1
        pause = (
            self.resend_after
            if is_resent
            else self.retry_pause or min(MAX_BACKOFF, FIRST_BACKOFF * BACKOFF_GROWTH**self.attempts)
        )
        if clock.now + pause >= min(self.until, end):
            self.on_done(0)
            return
        clock.after(
            pause,
            lambda: self._send(process=process if self.is_pinned else self.operator.pick_controller(avoid=process)),
        )

    def answer_timeout(self) -> float:
        """The time in s that the operator waits for a response before it closes the connection."""
        return self.operator.answer_timeout * (2 if len(self.body) > LARGE_BODY else 1)

    def is_lost(self, *, answer: Respond | None) -> bool:
        """Is this an acknowledgement that is lost on its way to the operator?"""
        if answer is None or answer.code != 200 or self.wants_body:
            return False
        is_resent = bool(self.resend_after) and self.attempts == 0
        self.operator.world.count["late-orders"] += is_resent
        if not is_resent and not self.operator.draw_lost_ack():
            return False
        if self.on_lost:
            self.on_lost()
        return True


@dataclass(kw_only=True)
class _Attempt:
    """One attempt, on its own connection."""

    call: OperatorCall
    process: Process | None
    is_settled: bool = False
    close: Callable[[], None] | None = None

    def begin(self) -> None:
        call, world = self.call, self.call.operator.world
        self.close = world.exchange(
            node=call.operator.node,
            process=self.process,
            edge="desk",
            path=call.path,
            method=call.method,
            headers=call.headers,
            body=call.body,
            query={},
            on_done=self._settle,
            on_read=self._on_read,
            on_response=call.on_response,
        )
        world.clock.after(call.answer_timeout(), self._on_timeout)

    def _on_read(self) -> None:
        # a request read after the operator closed its connection must be dropped by the controller
        if self.call.on_arrived and not self.is_settled:
            self.call.on_arrived()

    def _on_timeout(self) -> None:
        if self.is_settled:
            return
        world = self.call.operator.world
        world.history.add(t=world.clock.now, k="operator-left", method=self.call.method, path=self.call.path)
        self.close()
        self._settle(None)

    def _settle(self, answer: Respond | None) -> None:
        if self.is_settled or self.call.is_lost(answer=answer):
            return
        self.is_settled = True
        self.call.on_result(answer=answer, process=self.process)
