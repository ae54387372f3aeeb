"""Callers that leave the product's own proxies: what runs for them ends, if it may be repeated."""

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
from simulation.sim.faults import Faults
from simulation.sim.scenario import BEGIN
from simulation.sim.world import World

WAIT = 10.0
READY = 8.0
"""s after which a simulated fleet serves."""


def test_a_caller_that_closes_its_connection_is_reported_once() -> None:
    told: queue.Queue = queue.Queue()
    [address] = free_addresses(count=1)
    web = WsgiServer(address=address, max_body_bytes=1000, deliver=told.put, threads=ThreadPoolExecutor(max_workers=4))
    threading.Thread(target=web.run, daemon=True).start()
    host, port = address.split(":")
    caller = socket.create_connection((host, int(port)), timeout=WAIT)
    # what waits behind the request must not hide the close
    caller.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
    asked = told.get(timeout=WAIT)
    assert isinstance(asked, RequestReceived) and asked.path == "/a"
    caller.close()
    assert told.get(timeout=WAIT) == ClientDisconnected(token=asked.token)
    web.answer(command=Respond(token=asked.token, code=200, body=b""))


def test_a_cancelled_call_ends_its_connection_and_tells_nothing() -> None:
    told: queue.Queue = queue.Queue()
    client = CurlClient(deliver=told.put)
    threading.Thread(target=client.run, daemon=True).start()
    with socket.create_server(("127.0.0.1", 0)) as worker:
        worker.settimeout(WAIT)
        address = f"127.0.0.1:{worker.getsockname()[1]}"
        client.start(call=make_call(token="first", address=address))
        connection, _ = worker.accept()
        connection.settimeout(WAIT)
        assert connection.recv(65536).startswith(b"GET /")
        client.cancel(token="first")
        client.cancel(token="never given")
        with pytest.raises(ConnectionResetError):
            connection.recv(65536)
        client.start(call=make_call(token="second", address=address))
        other, _ = worker.accept()
        other.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        called = told.get(timeout=WAIT)
        assert (called.token, called.code) == ("second", 200) and told.empty()


def make_call(*, token: str, address: str) -> StartCall:
    return StartCall(
        token=token, owner="w/1", address=address, method="GET", path="/", headers={}, body=b"", timeout=20, fresh=False
    )


class ProxyInWorld:
    """A proxy of a simulated fleet that serves, and the calls that its workers never answer."""

    def __init__(self) -> None:
        self.world = World(deployment=make_arriaga(), seed=1)
        faults = Faults(world=self.world)
        self.world.clock.at(BEGIN, lambda: faults.step(verb="ready", words=["0"]))
        self.world.clock.run(until=BEGIN + READY)
        self.node = next(node for node in self.world.nodes.values() if node.location.kind == "proxy")
        self.commands: list = []
        carry_out = self.node._carry_out

        def record(*, command: object) -> None:
            self.commands.append(command)
            if not (isinstance(command, StartCall) and command.token.startswith("x ")):
                carry_out(command=command)

        self.node._carry_out = record

    def ask(self, *, path: str, method: str = "GET", key: str = "") -> str:
        """A caller's request of a tenant; its token."""
        token = f"http {path} {len(self.commands)}"
        headers = {"sailward-tenant": "restaurants", "sailward-try": "1"} | ({"idempotency-key": key} if key else {})
        event = RequestReceived(token=token, method=method, path=path, query={}, headers=headers, body=b"")
        self.node.ask(event=event, answer=lambda answer: None)
        return token

    def leave(self, *, token: str) -> None:
        """The caller closes its connection."""
        self.node.give(event=ClientDisconnected(token=token))

    def run(self, *, seconds: float) -> None:
        """Time goes on."""
        self.world.clock.run(until=self.world.clock.now + seconds)

    def calls(self) -> list[str]:
        """The calls to workers for callers' requests."""
        return [one.token for one in self.commands if isinstance(one, StartCall) and one.token.startswith("x ")]

    def answers(self, *, token: str) -> list[int]:
        """The codes that a request was answered with."""
        return [one.code for one in self.commands if isinstance(one, Respond) and one.token == token]


@pytest.fixture(scope="module")
def proxy() -> ProxyInWorld:
    return ProxyInWorld()


def test_a_safe_request_ends_with_its_caller(proxy: ProxyInWorld) -> None:
    before = len(proxy.calls())
    token = proxy.ask(path="/stock/1")
    [call] = proxy.calls()[before:]
    proxy.leave(token=token)
    assert [one.token for one in proxy.commands if isinstance(one, CancelCall)][-1:] == [call]
    assert proxy.answers(token=token) == [503]
    requests = proxy.node.owner.exchanges
    assert call not in requests.sent and call not in requests.calls and token not in requests.live
    proxy.run(seconds=4.0)
    assert proxy.answers(token=token) == [503] and len(proxy.calls()) == before + 1


def test_an_unsafe_request_that_was_sent_goes_on(proxy: ProxyInWorld) -> None:
    before, cancelled = len(proxy.calls()), sum(isinstance(one, CancelCall) for one in proxy.commands)
    token = proxy.ask(path="/orders/1", method="POST", key="k-goes-on")
    proxy.run(seconds=0.5)
    [call] = proxy.calls()[before:]
    proxy.leave(token=token)
    assert sum(isinstance(one, CancelCall) for one in proxy.commands) == cancelled
    assert call in proxy.node.owner.exchanges.sent and not proxy.answers(token=token)


def test_an_unsafe_request_that_was_not_sent_never_is(proxy: ProxyInWorld) -> None:
    before = len(proxy.calls())
    token = proxy.ask(path="/orders/2", method="POST", key="k-never-sent")
    assert len(proxy.calls()) == before, "its claim is under way"
    proxy.leave(token=token)
    proxy.run(seconds=1.0)
    assert len(proxy.calls()) == before and proxy.answers(token=token) == [503]
