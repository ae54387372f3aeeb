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
    idle_since: float = float("inf")


class Call:
    """One call in flight, from a process to whatever listens at an address."""

    def __init__(self, *, calls: Calls, process: Process, command: StartCall) -> None:
        self.calls, self.process, self.command = calls, process, command
        self.headers = {name.lower(): value for name, value in command.headers.items()}
        self.incarnation = process.incarnation
        self.is_sent = False
        self.is_over = False
        self.sent_at = 0.0
        self.deadline_at, self.key = float("inf"), -1
        self.worker: Worker | None = None
        self.connection: Connection | None = None
        self.failure_mode = ""

    def respond(self, *, code: int = 0, headers: dict | None = None, body: bytes = b"", fault: str = "") -> None:
        """The worker responds, or the call fails with `fault`. Surplus responses of earlier calls are read first."""
        if self.is_over or self.worker is None:
            return
        worker, surplus = self.worker, self.connection.surplus
        response = (code, dict(headers or {}), body, fault)
        if surplus:
            surplus.append(response)
            response = surplus.popleft()
        self.calls.world.network.send(
            a=worker.node, b=self.process.machine.node, act=lambda: self._on_response(*response), wait=15.0
        )

    def _on_response(self, code: int, headers: dict, body: bytes, fault: str) -> None:
        """Take a response as the product's HTTP client does: one that names another request fails the call."""
        if self.is_over:
            return
        sent_id, received_id = self.headers.get("attempt-id", ""), headers.get("attempt-id", "")
        if code and has_other_exchange_id(request_id=sent_id, response_id=received_id):
            self.calls.world.count["misnamed"] += 1
            code, headers, body, fault = 0, {}, b"", "another-exchange"
        if self.calls.may_keep(code=code, has_own_id=sent_id == received_id):
            self.calls.return_to_pool(call=self)
        self.finish(
            result=CallFinished(token=self.command.token, code=code, headers=headers, body=body, fault=fault, sent=True)
        )

    def send_surplus(self, *, code: int, headers: dict, body: bytes) -> None:
        """The worker sends a surplus response, which is read only when the connection is used again."""
        if self.connection is not None:
            self.calls.world.count["surplus"] += 1
            self.connection.surplus.append((code, headers, body, ""))

    def fail(self, *, fault: str) -> None:
        """End the call on the caller's side."""
        self.finish(
            result=CallFinished(
                token=self.command.token,
                code=0,
                headers={},
                body=b"",
                fault=fault,
                sent=self.is_sent,
            ),
            is_aborted=True,
        )

    def finish(self, *, result: CallFinished | None, is_aborted: bool = False) -> None:
        """End the call; `result` is passed to the owner, None if the owner itself cancelled the call."""
        if self.is_over:
            return
        self.is_over = True
        self.calls.in_flight.pop((self.process, self.command.token), None)
        if is_aborted and self.worker is not None:
            worker = self.worker
            self.calls.world.network.send(
                a=self.process.machine.node,
                b=worker.node,
                act=lambda: worker.on_connection_closed(call=self),
                stream=self,
                wait=0.0,
            )
        if result is not None and self.process.incarnation == self.incarnation:
            self.process.deliver(event=result)


class Calls:
    """Owner of all calls in flight and of the pooled connections."""

    def __init__(self, *, world: Environment) -> None:
        self.world = world
        self.in_flight: dict = {}
        self._pool: dict = {}

    def start(self, *, process: Process, command: StartCall) -> None:
        """Start a call."""
        call = Call(calls=self, process=process, command=command)
        self.in_flight[(process, command.token)] = call
        clock = self.world.clock
        if process.now() > command.begin_by:
            clock.after(0.0, lambda: call.fail(fault="too-late"))
            return
        clock.after(command.timeout, lambda: call.fail(fault="timed-out"))
        if command.address == self.world.list_address:
            self._ask_list(call=call)
            return
        connection = self._take_from_pool(call=call) if not command.fresh else None
        if connection is not None:
            self._send(call=call, connection=connection)
        else:
            self._dial(call=call)

    def cancel(self, *, process: Process, token: str) -> None:
        """Cancel a call: the owner gets no event for it."""
        call = self.in_flight.get((process, token))
        if call is not None:
            call.finish(result=None, is_aborted=True)

    def withdraw(self, *, process: Process, token: str) -> None:
        """Cancel a call if none of its bytes has been sent; the owner is told that it was withdrawn."""
        call = self.in_flight.get((process, token))
        if call is not None and not call.is_sent:
            call.fail(fault="withdrawn")

    def end(self, *, process: Process, is_powered_off: bool) -> None:
        """The process has ended: close its connections, which workers do not notice if its machine lost power."""
        self._pool = {key: connection for key, connection in self._pool.items() if key[0] is not process}
        for (owner, _), call in list(self.in_flight.items()):
            if owner is process:
                call.finish(result=None, is_aborted=not is_powered_off)

    def close_connections(self, *, process: Process, owner: str) -> None:
        """Close the pooled connections of an owner."""
        self._pool = {
            key: connection for key, connection in self._pool.items() if key[0] is not process or key[1] != owner
        }

    def reset(self, *, process: Process, share: float) -> None:
        """Reset a share of a process's connections to workers, in use or pooled."""
        rng = self.world.rng
        self._pool = {
            key: connection for key, connection in self._pool.items() if key[0] is not process or rng.random() >= share
        }
        for (owner, _), call in list(self.in_flight.items()):
            if owner is process and call.worker is not None and rng.random() < share:
                self.world.count["lines-reset"] += 1
                call.fail(fault="connection-lost")

    def reset_across_cuts(self) -> None:
        """Reset the calls that cross a cut which resets connections."""
        network = self.world.network
        for (process, _), call in list(self.in_flight.items()):
            if call.worker is not None and network.is_refused(a=process.machine.node, b=call.worker.node):
                self.world.count["lines-reset"] += 1
                call.fail(fault="connection-lost")

    def may_keep(self, *, code: int, has_own_id: bool) -> bool:
        """May the connection of a call with this result be used again?"""
        return code > 0 and has_own_id

    def return_to_pool(self, *, call: Call) -> None:
        """Return the connection of a call to the pool."""
        worker = call.connection.worker
        if worker.is_up and not worker.is_draining:
            call.connection.idle_since = self.world.clock.now
            self._pool[(call.process, call.command.owner, call.command.address)] = call.connection

    def _take_from_pool(self, *, call: Call) -> Connection | None:
        connection = self._pool.pop((call.process, call.command.owner, call.command.address), None)
        if connection is None or (not connection.worker.is_up and not connection.worker.is_silent):
            return None
        return connection

    def _dial(self, *, call: Call) -> None:
        world, node = self.world, call.process.machine.node
        worker = world.by_address.get(call.command.address)
        if worker is None or worker.is_silent or world.network.is_severed(a=node, b=worker.node):
            # no answer: the address is unassigned, its machine has no power, or a cut is in the way
            is_refused = worker is None or world.network.is_refused(a=node, b=worker.node)
            world.clock.after(
                0.002 if is_refused else constants.CONNECT_TIMEOUT,
                lambda: call.fail(fault="refused" if is_refused else "connect-timeout"),
            )
            return
        round_trip = 2 * world.network.delay(a=node, b=worker.node)

        def on_connected() -> None:
            current = world.by_address.get(call.command.address)
            if call.is_over:
                return
            if call.process.now() > call.command.begin_by:
                call.fail(fault="too-late")
            elif current is None or not current.is_up:
                call.fail(fault="refused" if current is None or not current.is_silent else "connect-timeout")
            else:
                world.count["dials"] += 1
                self._send(call=call, connection=Connection(worker=current))

        world.clock.after(round_trip, on_connected)

    def _send(self, *, call: Call, connection: Connection) -> None:
        worker = call.worker = connection.worker
        call.connection, call.is_sent, call.sent_at = connection, True, self.world.clock.now
        node, network = call.process.machine.node, self.world.network
        is_cut = network.is_cut(a=node, b=worker.node)
        if network.is_refused(a=node, b=worker.node):
            self.world.clock.after(0.001, lambda: call.fail(fault="connection-lost"))
            return
        now = self.world.clock.now
        if now < worker.drops_idle_until and now - connection.idle_since > worker.idle_limit:
            self.world.count["idle-races"] += 1
            round_trip = 2 * network.delay(a=node, b=worker.node)
            self.world.clock.after(round_trip, lambda: call.fail(fault="connection-lost"))
            return
        if network.is_severed(a=node, b=worker.node) or worker.is_silent:
            # data that stays unacknowledged for this long ends the connection
            self.world.clock.after(constants.LEASE_DURATION, lambda: call.fail(fault="connection-lost"))
        # bytes held back by a cut are lost if the connection is closed; bytes already on their way arrive
        network.send(
            a=node,
            b=worker.node,
            act=lambda: None if call.is_over and is_cut else worker.receive(call=call),
            stream=call,
        )

    def _ask_list(self, *, call: Call) -> None:
        world = self.world
        world.count["list-calls"] += 1
        world.reader = call.process.machine.node.name
        if world.network.is_severed(a=call.process.machine.node, b=world.list_node):
            return
        query = parse_qs(urlsplit(call.command.path).query)
        code, body = world.listing.page(now=world.clock.now, token=query.get("page_token", [""])[0])
        call.is_sent = True
        _after(
            world=world,
            delay=world.rng.uniform(0.005, 0.03),
            action=lambda: call.finish(
                result=CallFinished(token=call.command.token, code=code, headers={}, body=body, fault="", sent=True)
            ),
        )


def _after(*, world: Environment, delay: float, action: Callable[[], None]) -> None:
    world.clock.after(delay, action)
