"""One exchange of a client or operator with a listener of a daemon: connection, request, response and closing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sailward import constants
from sailward.events import RequestReceived, Respond
from simulation.hosted.environment import Environment
from simulation.hosted.network import Node

if TYPE_CHECKING:
    from simulation.hosted.process import Process

CONNECT_TIMEOUT = 1.0
"""Time-out in s for a new connection, and for a response of the directory."""
HELD_BACK_TIME = 15.0
"""s for which a response, or an operator's order, is held back by a cut before it is lost."""


@dataclass(kw_only=True)
class Exchange:
    """One exchange with a listener of a daemon: a new connection, the request, and its response.

    `on_done` is called once with the response, or with None if the connection ended without one; `on_read` when the
    daemon has read the request; `on_response` with each response as the daemon gives it, whether or not it arrives.
    `connect_timeout` in s.
    """

    world: Environment
    node: Node
    process: Process | None
    edge: str
    path: str
    method: str
    headers: dict
    body: bytes
    query: dict
    on_done: Callable
    on_read: Callable | None = None
    connect_timeout: float = CONNECT_TIMEOUT
    on_response: Callable | None = None
    token: str = ""
    is_over: bool = False

    def begin(self) -> Callable[[], None]:
        """Connect; returns a function by which the client closes the connection."""
        self.token = f"{self.edge} {next(self.world.numbers)}"
        clock, process = self.world.clock, self.process
        network = self.world.network
        if process is not None and network.is_refused(a=self.node, b=process.machine.node):
            clock.after(network.delay(a=self.node, b=process.machine.node), lambda: self._end(None))
            return self._close
        if process is None or process.machine.is_powered_off or self._is_cut():
            clock.after(self.connect_timeout, lambda: self._end(None))
            return self._close
        round_trip = 2 * self.world.network.delay(a=self.node, b=process.machine.node)
        if process.owner is None or (process.is_listener_closed and self.edge == "front"):
            clock.after(round_trip, lambda: self._end(None))
        else:
            clock.after(round_trip, self._send_request)
        return self._close

    def _is_cut(self) -> bool:
        return self.world.network.is_severed(a=self.node, b=self.process.machine.node)

    def _end(self, answer: object) -> None:
        if answer == "silent" or self.is_over:
            return
        self.is_over = True
        self.on_done(answer)

    def _send_response(self, answer: object) -> None:
        if self.on_response is not None and isinstance(answer, Respond):
            self.on_response(answer)
        if answer != "silent" and self.process is not None:
            self.world.network.send(
                a=self.process.machine.node, b=self.node, act=lambda: self._end(answer), wait=HELD_BACK_TIME
            )

    def _send_request(self) -> None:
        # an operator's order is still delivered long after the operator gave up; the close of its connection follows it
        wait = HELD_BACK_TIME if self.edge == "desk" else constants.LEASE_DURATION
        self.world.network.send(a=self.node, b=self.process.machine.node, act=self._arrive, wait=wait)

    def _is_dropped(self) -> bool:
        # an operator's order arrives even if the operator gave up meanwhile; the close of its connection follows it
        return self.is_over and self.edge != "desk"

    def _arrive(self) -> None:
        if self._is_dropped():
            return
        process, incarnation = self.process, self.process.incarnation
        if process.held_events is not None:
            process.held_events.append(lambda: self._hand_over(incarnation=incarnation))
        elif process.owner is None:
            self._send_response("silent" if process.machine.is_powered_off else None)
        else:
            self._hand_over(incarnation=incarnation)

    def _hand_over(self, *, incarnation: int) -> None:
        if self._is_dropped() or self.process.incarnation != incarnation:
            return
        if self.on_read:
            self.on_read()
        event = RequestReceived(
            token=self.token,
            method=self.method,
            path=self.path,
            query=self.query,
            headers=self.headers,
            body=self.body,
            target=self.path,
        )
        self.process.receive_request(event=event, respond=self._send_response)
        if self.is_over:
            self.process.disconnect_client(token=self.token)

    def _close(self) -> None:
        self.is_over = True
        if self.process is not None:
            process, token = self.process, self.token
            self.world.network.send(
                a=self.node, b=process.machine.node, act=lambda: process.disconnect_client(token=token), wait=0.0
            )
