"""Calls of daemons to workers and to the endpoint list, simulating the product's HTTP client.

They use pooled or new connections, and may be refused or get no response.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from sailward import constants
from sailward.events import CallFinished, StartCall
from sailward.wire_names import has_other_exchange_id
from simulation.hosted.environment import Environment

if TYPE_CHECKING:
    from simulation.hosted.process import Process
    from simulation.hosted.workers import Worker


@dataclass(kw_only=True, eq=False)
class Connection:
    """A connection to a worker, with the surplus responses on it that belong to no request.

    A surplus response is read in place of the response to the next request.
    """

    worker: Worker
    surplus: deque = field(default_factory=deque)
    rested_since: float = float("inf")


class Line:
    """One call in flight, from a process to whatever listens at an address."""

    def __init__(self, *, calls: Calls, process: Process, command: StartCall) -> None:
        self.calls, self.process, self.command = calls, process, command
        self.headers = {name.lower(): value for name, value in command.headers.items()}
        self.incarnation = process.incarnation
        self.is_sent = False
        self.is_over = False
        self.sent_at = 0.0
        self.due, self.key = float("inf"), -1
        self.worker: Worker | None = None
        self.connection: Connection | None = None
        self.grey = ""

    def answer(self, *, code: int = 0, headers: dict | None = None, body: bytes = b"", fault: str = "") -> None:
        """The worker responds, or the call fails with `fault`. Surplus responses of earlier calls are read first."""
        if self.is_over or self.worker is None:
            return
        worker, surplus = self.worker, self.connection.surplus
        told = (code, dict(headers or {}), body, fault)
        if surplus:
            surplus.append(told)
            told = surplus.popleft()
        self.calls.world.network.send(
            a=worker.node, b=self.process.machine.node, act=lambda: self._take_answer(*told), wait=15.0
        )

    def _take_answer(self, code: int, headers: dict, body: bytes, fault: str) -> None:
        """Take a response as the product's HTTP client does: one that names another request fails the call."""
        if self.is_over:
            return
        asked, echoed = self.headers.get("attempt-id", ""), headers.get("attempt-id", "")
        if code and has_other_exchange_id(request_id=asked, response_id=echoed):
            self.calls.world.count["misnamed"] += 1
            code, headers, body, fault = 0, {}, b"", "another-exchange"
        if self.calls.may_keep(code=code, is_named=asked == echoed):
            self.calls.keep(line=self)
        self.finish(
            called=CallFinished(token=self.command.token, code=code, headers=headers, body=body, fault=fault, sent=True)
        )

    def leave_surplus(self, *, code: int, headers: dict, body: bytes) -> None:
        """The worker sends a surplus response, which is read only when the connection is used again."""
        if self.connection is not None:
            self.calls.world.count["surplus"] += 1
            self.connection.surplus.append((code, headers, body, ""))

    def fail(self, *, fault: str) -> None:
        """End the call on the caller's side."""
        self.finish(
            called=CallFinished(
                token=self.command.token,
                code=0,
                headers={},
                body=b"",
                fault=fault,
                sent=self.is_sent,
            ),
            is_aborted=True,
        )

    def finish(self, *, called: CallFinished | None, is_aborted: bool = False) -> None:
        """End the call; `called` is passed to the owner, None if the owner itself cancelled the call."""
        if self.is_over:
            return
        self.is_over = True
        self.calls.lines.pop((self.process, self.command.token), None)
        if is_aborted and self.worker is not None:
            worker = self.worker
            self.calls.world.network.send(
                a=self.process.machine.node, b=worker.node, act=lambda: worker.closed(line=self), line=self, wait=0.0
            )
        if called is not None and self.process.incarnation == self.incarnation:
            self.process.deliver(event=called)


class Calls:
    """Owner of all calls in flight and of the pooled connections."""

    def __init__(self, *, world: Environment) -> None:
        self.world = world
        self.lines: dict = {}
        self._kept: dict = {}

    def give(self, *, process: Process, command: StartCall) -> None:
        """Start a call."""
        line = Line(calls=self, process=process, command=command)
        self.lines[(process, command.token)] = line
        clock = self.world.clock
        if process.now() > command.begin_by:
            clock.after(0.0, lambda: line.fail(fault="too-late"))
            return
        clock.after(command.timeout, lambda: line.fail(fault="timed-out"))
        if command.address == self.world.list_address:
            self._ask_list(line=line)
            return
        connection = self._take_kept(line=line) if not command.fresh else None
        if connection is not None:
            self._send(line=line, connection=connection)
        else:
            self._dial(line=line)

    def cancel(self, *, process: Process, token: str) -> None:
        """Cancel a call: the owner gets no event for it."""
        line = self.lines.get((process, token))
        if line is not None:
            line.finish(called=None, is_aborted=True)

    def withdraw(self, *, process: Process, token: str) -> None:
        """Cancel a call if none of its bytes has been sent; the owner is told that it was withdrawn."""
        line = self.lines.get((process, token))
        if line is not None and not line.is_sent:
            line.fail(fault="withdrawn")

    def end(self, *, process: Process, is_powered_off: bool) -> None:
        """The process has ended: close its connections, which workers do not notice if its machine lost power."""
        self._kept = {key: worker for key, worker in self._kept.items() if key[0] is not process}
        for (owner, _), line in list(self.lines.items()):
            if owner is process:
                line.finish(called=None, is_aborted=not is_powered_off)

    def close_connections(self, *, process: Process, owner: str) -> None:
        """Close the pooled connections of an owner."""
        self._kept = {key: worker for key, worker in self._kept.items() if key[0] is not process or key[1] != owner}

    def reset(self, *, process: Process, share: float) -> None:
        """Reset a share of a process's connections to workers, in use or pooled."""
        rng = self.world.rng
        self._kept = {key: one for key, one in self._kept.items() if key[0] is not process or rng.random() >= share}
        for (owner, _), line in list(self.lines.items()):
            if owner is process and line.worker is not None and rng.random() < share:
                self.world.count["lines-reset"] += 1
                line.fail(fault="connection-lost")

    def sever(self) -> None:
        """Reset the calls that cross a cut which resets connections."""
        network = self.world.network
        for (process, _), line in list(self.lines.items()):
            if line.worker is not None and network.is_refused(a=process.machine.node, b=line.worker.node):
                self.world.count["lines-reset"] += 1
                line.fail(fault="connection-lost")

    def may_keep(self, *, code: int, is_named: bool) -> bool:
        """May the connection of a call with this result be used again?"""
        return code > 0 and is_named

    def keep(self, *, line: Line) -> None:
        """Return the connection of a call to the pool."""
        worker = line.connection.worker
        if worker.is_up and not worker.is_draining:
            line.connection.rested_since = self.world.clock.now
            self._kept[(line.process, line.command.owner, line.command.address)] = line.connection

    def _take_kept(self, *, line: Line) -> Connection | None:
        connection = self._kept.pop((line.process, line.command.owner, line.command.address), None)
        if connection is None or (not connection.worker.is_up and not connection.worker.is_silent):
            return None
        return connection

    def _dial(self, *, line: Line) -> None:
        world, here = self.world, line.process.machine.node
        worker = world.by_address.get(line.command.address)
        if worker is None or worker.is_silent or world.network.is_severed(a=here, b=worker.node):
            # no answer: the address is unassigned, its machine has no power, or a cut is in the way
            is_dead = worker is None or world.network.is_refused(a=here, b=worker.node)
            world.clock.after(
                0.002 if is_dead else constants.CONNECT_TIMEOUT,
                lambda: line.fail(fault="refused" if is_dead else "connect-timeout"),
            )
            return
        trip = 2 * world.network.delay(a=here, b=worker.node)

        def up() -> None:
            now = world.by_address.get(line.command.address)
            if line.is_over:
                return
            if line.process.now() > line.command.begin_by:
                line.fail(fault="too-late")
            elif now is None or not now.is_up:
                line.fail(fault="refused" if now is None or not now.is_silent else "connect-timeout")
            else:
                world.count["dials"] += 1
                self._send(line=line, connection=Connection(worker=now))

        world.clock.after(trip, up)

    def _send(self, *, line: Line, connection: Connection) -> None:
        worker = line.worker = connection.worker
        line.connection, line.is_sent, line.sent_at = connection, True, self.world.clock.now
        here, network = line.process.machine.node, self.world.network
        is_valid = network.is_cut(a=here, b=worker.node)
        if network.is_refused(a=here, b=worker.node):
            self.world.clock.after(0.001, lambda: line.fail(fault="connection-lost"))
            return
        now = self.world.clock.now
        if now < worker.forgets and now - connection.rested_since > worker.forgets_after:
            self.world.count["idle-races"] += 1
            trip = 2 * network.delay(a=here, b=worker.node)
            self.world.clock.after(trip, lambda: line.fail(fault="connection-lost"))
            return
        if network.is_severed(a=here, b=worker.node) or worker.is_silent:
            # data that stays unacknowledged for this long ends the connection
            self.world.clock.after(constants.LEASE_DURATION, lambda: line.fail(fault="connection-lost"))
        # bytes held back by a cut are lost if the connection is closed; bytes already on their way arrive
        network.send(
            a=here,
            b=worker.node,
            act=lambda: None if line.is_over and is_valid else worker.arrive(line=line),
            line=line,
        )

    def _ask_list(self, *, line: Line) -> None:
        world = self.world
        world.count["list-calls"] += 1
        world.reader = line.process.machine.node.name
        if world.network.is_severed(a=line.process.machine.node, b=world.list_node):
            return
        query = parse_qs(urlsplit(line.command.path).query)
        code, body = world.listing.page(now=world.clock.now, token=query.get("page_token", [""])[0])
        line.is_sent = True
        _after(
            world=world,
            delay=world.rng.uniform(0.005, 0.03),
            act=lambda: line.finish(
                called=CallFinished(token=line.command.token, code=code, headers={}, body=body, fault="", sent=True)
            ),
        )


def _after(*, world: Environment, delay: float, act: Callable[[], None]) -> None:
    world.clock.after(delay, act)
