"""Client disconnects at tenant proxies: safe or unsent requests end, unsafe ones that were sent continue."""

from __future__ import annotations

import queue
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from sailward.events import CancelCall, ClientDisconnected, RequestReceived, Respond, StartCall
from sailward.transport.curl_client import CurlClient
from sailward.transport.wsgi_server import WsgiServer
from simulation.deployments import make_arriaga
from simulation.real.fleet import free_addresses
from simulation.sim.faults import FaultInjector
from simulation.sim.scenario import BEGIN
from simulation.sim.world import World

TIMEOUT = 10.0
READY_AFTER = 8.0
"""s until a simulated fleet serves requests."""


def test_a_client_disconnect_is_reported_once() -> None:
    events: queue.Queue = queue.Queue()
    [address] = free_addresses(count=1)
    server = WsgiServer(
        address=address, max_body_bytes=1000, deliver=events.put, threads=ThreadPoolExecutor(max_workers=4)
    )
    threading.Thread(target=server.run, daemon=True).start()
    host, port = address.split(":")
    client_socket = socket.create_connection((host, int(port)), timeout=TIMEOUT)
    # a pipelined request behind the first must not hide the close
    client_socket.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
    received = events.get(timeout=TIMEOUT)
    assert isinstance(received, RequestReceived) and received.path == "/a"
    client_socket.close()
    assert events.get(timeout=TIMEOUT) == ClientDisconnected(token=received.token)
    server.answer(command=Respond(token=received.token, code=200, body=b""))


def test_a_cancelled_call_ends_its_connection_and_reports_no_outcome() -> None:
    events: queue.Queue = queue.Queue()
    client = CurlClient(deliver=events.put)
    threading.Thread(target=client.run, daemon=True).start()
    with socket.create_server(("127.0.0.1", 0)) as worker:
        worker.settimeout(TIMEOUT)
        address = f"127.0.0.1:{worker.getsockname()[1]}"
        client.start(call=make_call(token="first", address=address))
        connection, _ = worker.accept()
        connection.settimeout(TIMEOUT)
        assert connection.recv(65536).startswith(b"GET /")
        client.cancel(token="first")
        client.cancel(token="never given")
        with pytest.raises(ConnectionResetError):
            connection.recv(65536)
        client.start(call=make_call(token="second", address=address))
        other, _ = worker.accept()
        other.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        finished = events.get(timeout=TIMEOUT)
        assert (finished.token, finished.code) == ("second", 200) and events.empty()


def make_call(*, token: str, address: str) -> StartCall:
    return StartCall(
        token=token, owner="w/1", address=address, method="GET", path="/", headers={}, body=b"", timeout=20, fresh=False
    )


class ProxyInWorld:
    """A proxy of a simulated fleet that serves requests; its calls to workers are recorded and never answered."""

    def __init__(self) -> None:
        self.world = World(deployment=make_arriaga(), seed=1)
        injector = FaultInjector(world=self.world)
        self.world.clock.at(BEGIN, lambda: injector.step(verb="ready", words=["0"]))
        self.world.clock.run(until=BEGIN + READY_AFTER)
        self.node = next(node for node in self.world.nodes.values() if node.location.kind == "proxy")
        self.commands: list = []
        carry_out = self.node._carry_out

        def record(*, command: object) -> None:
            self.commands.append(command)
            if not (isinstance(command, StartCall) and command.token.startswith("x ")):
                carry_out(command=command)

        self.node._carry_out = record

    def ask(self, *, path: str, method: str = "GET", key: str = "") -> str:
        """Send a client's request of a tenant; returns its token."""
        token = f"http {path} {len(self.commands)}"
        headers = {"sailward-tenant": "restaurants", "sailward-try": "1"} | ({"idempotency-key": key} if key else {})
        event = RequestReceived(token=token, method=method, path=path, query={}, headers=headers, body=b"")
        self.node.receive_request(event=event, answer=lambda answer: None)
        return token

    def disconnect(self, *, token: str) -> None:
        """The client closes its connection."""
        self.node.deliver(event=ClientDisconnected(token=token))

    def run(self, *, seconds: float) -> None:
        """Advance the simulated time."""
        self.world.clock.run(until=self.world.clock.now + seconds)

    def calls(self) -> list[str]:
        """The tokens of the calls to workers for clients' requests."""
        return [
            command.token
            for command in self.commands
            if isinstance(command, StartCall) and command.token.startswith("x ")
        ]

    def answers(self, *, token: str) -> list[int]:
        """The status codes with which a request was answered."""
        return [command.code for command in self.commands if isinstance(command, Respond) and command.token == token]


@pytest.fixture(scope="module")
def proxy() -> ProxyInWorld:
    return ProxyInWorld()


def test_a_safe_request_ends_when_its_client_disconnects(proxy: ProxyInWorld) -> None:
    before = len(proxy.calls())
    token = proxy.ask(path="/stock/1")
    [call] = proxy.calls()[before:]
    proxy.disconnect(token=token)
    assert [command.token for command in proxy.commands if isinstance(command, CancelCall)][-1:] == [call]
    assert proxy.answers(token=token) == [503]
    requests = proxy.node.owner.proxied_requests
    assert call not in requests.in_flight and call not in requests.call_deadlines and token not in requests.live
    proxy.run(seconds=4.0)
    assert proxy.answers(token=token) == [503] and len(proxy.calls()) == before + 1


def test_an_unsafe_request_that_was_sent_continues_after_a_disconnect(proxy: ProxyInWorld) -> None:
    before, cancelled = len(proxy.calls()), sum(isinstance(command, CancelCall) for command in proxy.commands)
    token = proxy.ask(path="/orders/1", method="POST", key="k-goes-on")
    proxy.run(seconds=0.5)
    [call] = proxy.calls()[before:]
    proxy.disconnect(token=token)
    assert sum(isinstance(command, CancelCall) for command in proxy.commands) == cancelled
    assert call in proxy.node.owner.proxied_requests.in_flight and not proxy.answers(token=token)


def test_an_unsafe_request_that_was_not_sent_is_never_sent_after_a_disconnect(proxy: ProxyInWorld) -> None:
    before = len(proxy.calls())
    token = proxy.ask(path="/orders/2", method="POST", key="k-never-sent")
    assert len(proxy.calls()) == before, "its claim is still in progress"
    proxy.disconnect(token=token)
    proxy.run(seconds=1.0)
    assert len(proxy.calls()) == before and proxy.answers(token=token) == [503]
