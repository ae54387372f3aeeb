"""The HTTP client on real sockets: connections, their owners, and how they end."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from sailward import constants
from tests.http_client_peer import OK, WAIT, Edge, PeerConnection, make_call

RESEND_WAIT = 0.3


@pytest.fixture
def edge() -> Iterator[Edge]:
    edge = Edge()
    yield edge
    assert edge.finished.empty()
    edge.stop()


def test_a_call_arrives_as_given_and_its_answer_comes_back(edge: Edge) -> None:
    peer = edge.answering_peer(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Made\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 3\r\n\r\nabc"
    )
    result = edge.ask(
        address=peer.address, method="POST", path="/p?q=%20", headers={"x-one": "1", "x-none": ""}, body=b"hello"
    )
    assert (result.code, result.body, result.fault, result.sent) == (201, b"abc", "", True)
    assert result.headers == {"x-a": "1, 2", "content-length": "3"}
    head, _, body = peer.get()[1].partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /p?q=%20 HTTP/1.1" and body == b"hello"
    assert sorted(lines[1:]) == sorted([b"host: " + peer.address.encode(), b"x-one: 1", b"content-length: 5"])


@pytest.mark.parametrize(
    ("method", "body", "length"),
    [("GET", b"", None), ("DELETE", b"", None), ("DELETE", b"x", b"1"), ("POST", b"", b"0"), ("PUT", b"", b"0")],
)
def test_content_length_is_sent_where_a_body_is_expected(
    edge: Edge, method: str, body: bytes, length: bytes | None
) -> None:
    peer = edge.answering_peer(OK)
    edge.ask(
        address=peer.address, method=method, body=body, headers={"host": "h.example", "transfer-encoding": "chunked"}
    )
    head = peer.get()[1].partition(b"\r\n\r\n")[0]
    assert b"\r\nhost: h.example" in head and b"transfer-encoding" not in head
    assert (b"content-length: " + length in head) if length else (b"content-length" not in head)


def test_an_owners_connection_is_used_again_and_never_anothers(edge: Edge) -> None:
    peer = edge.answering_peer(OK)
    for _ in range(3):
        assert edge.ask(address=peer.address, owner="a").code == 200
    assert edge.ask(address=peer.address, owner="b").code == 200
    assert [peer.get()[0] for _ in range(4)] == [0, 0, 0, 1]
    assert edge.counts() == {"opened": 2, "reused": 2, "stale": 0, "surplus": 0, "idle": 2, "busy": 0, "calls": 0}


def test_the_last_used_connection_goes_first_and_the_idle_are_bounded(edge: Edge) -> None:
    gates = [threading.Event() for _ in range(constants.HTTP_CLIENT_MAX_IDLE_CONNECTIONS + 2)]

    def serve(connection: PeerConnection) -> None:
        while connection.read() not in (b"", b"reset"):
            peer.seen.put(connection.number)
            gates[connection.number].wait(WAIT)
            connection.send(OK)

    peer = edge.peer(serve=serve)
    for _ in gates:
        edge.start(address=peer.address)
    assert sorted(peer.get() for _ in gates) == list(range(len(gates)))
    for gate in [*gates[1:], gates[0]]:
        gate.set()
        assert edge.finished.get(timeout=WAIT).code == 200
    assert edge.counts()["idle"] == constants.HTTP_CLIENT_MAX_IDLE_CONNECTIONS
    assert edge.ask(address=peer.address).code == 200
    assert peer.get() == 0


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_dead_kept_connection_is_found_before_it_is_used(edge: Edge, is_reset: bool) -> None:
    gate = threading.Event()

    def serve(connection: PeerConnection) -> None:
        connection.read()
        connection.send(OK)
        gate.wait(WAIT)
        if connection.number == 0 and is_reset:
            connection.reset()
        elif connection.number == 0:
            connection.sock.close()

    peer = edge.peer(serve=serve)
    edge.ask(address=peer.address)
    assert edge.counts()["idle"] == 1
    gate.set()
    edge.wait_until(idle=0, stale=1)
    assert edge.ask(address=peer.address).code == 200
    assert edge.counts()["opened"] == 2


def test_a_kept_connection_that_ended_unnoticed_is_detected_before_its_use(edge: Edge) -> None:
    peer = edge.answering_peer(OK)
    edge.ask(address=peer.address)

    def end_and_give() -> None:
        peer.connections[0].sock.shutdown(socket.SHUT_RDWR)
        time.sleep(0.05)
        edge.http_client.start(call=make_call(token="late", address=peer.address, method="POST", body=b"x"))

    edge.on_reactor(end_and_give)
    assert edge.finished.get(timeout=WAIT).code == 200
    assert edge.counts()["opened"] == 2 and edge.counts()["reused"] == 0


def test_a_kept_connection_that_refuses_every_byte_is_replaced_once(edge: Edge) -> None:
    peer = edge.answering_peer(OK)
    edge.ask(address=peer.address)

    class BrokenSocket:
        """A kept socket whose sending side broke between the check and the send."""

        def __init__(self, sock: socket.socket) -> None:
            self._sock = sock

        def send(self, _: object) -> int:
            raise BrokenPipeError

        def __getattr__(self, name: str) -> object:
            return getattr(self._sock, name)

    def break_idle_connection() -> None:
        kept = edge.http_client._idle["w"][0]
        kept.sock = BrokenSocket(kept.sock)

    edge.on_reactor(break_idle_connection)
    result = edge.ask(address=peer.address, method="POST", body=b"x")
    assert (result.code, result.sent) == (200, True)
    assert edge.counts()["opened"] == 2


def test_a_request_taken_by_a_kept_connection_is_never_sent_again(edge: Edge) -> None:
    def serve(connection: PeerConnection) -> None:
        peer.seen.put(connection.read())
        connection.send(OK)
        peer.seen.put(connection.read())
        connection.sock.close()

    peer = edge.peer(serve=serve)
    assert edge.ask(address=peer.address).code == 200
    result = edge.ask(address=peer.address, method="POST", path="/once", body=b"x")
    assert (result.code, result.fault, result.sent) == (0, "connection-lost", True)
    assert peer.get().startswith(b"GET /a") and peer.get().startswith(b"POST /once")
    time.sleep(RESEND_WAIT)
    assert peer.seen.empty() and len(peer.connections) == 1


def test_a_refused_connection_has_sent_nothing(edge: Edge) -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        result = edge.ask(address=f"127.0.0.1:{closed.getsockname()[1]}")
    assert (result.code, result.fault, result.sent) == (0, "refused", False)


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"])
def test_an_address_that_is_none_is_no_connection(edge: Edge, address: str) -> None:
    result = edge.ask(address=address)
    assert (result.fault, result.sent) == ("no-connection", False)


def test_a_listener_with_a_full_backlog_times_the_connecting_out(edge: Edge) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            fillers.append(filler)
        time.sleep(0.05)
        result = edge.ask(address=f"127.0.0.1:{listener.getsockname()[1]}")
        assert (result.code, result.fault, result.sent) == (0, "connect-timeout", False)
        soon = time.monotonic() + 0.05
        result = edge.ask(address=f"127.0.0.1:{listener.getsockname()[1]}", begin_by=soon)
        assert (result.code, result.fault, result.sent) == (0, "too-late", False)
        for filler in fillers:
            filler.close()


def test_a_call_whose_time_to_begin_has_passed_opens_nothing(edge: Edge) -> None:
    peer = edge.answering_peer(OK)
    result = edge.ask(address=peer.address, begin_by=time.monotonic() - 1)
    assert (result.code, result.fault, result.sent) == (0, "too-late", False)
    assert edge.counts()["opened"] == 0


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_a_connection_that_closes_is_not_kept(edge: Edge, answer: bytes) -> None:
    peer = edge.answering_peer(answer)
    assert edge.ask(address=peer.address).code == 200
    assert edge.counts()["idle"] == 0
    assert [peer.get() for _ in range(2)][1] == (0, b"")


def test_the_workers_own_idle_time_is_kept(edge: Edge) -> None:
    peer = edge.answering_peer(b"HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 0\r\n\r\n", OK)
    edge.ask(address=peer.address)
    assert edge.counts()["idle"] == 1
    edge.wait_until(idle=0)
    assert edge.counts()["stale"] == 0
    edge.ask(address=peer.address)
    time.sleep(2 * constants.HTTP_CLIENT_MIN_IDLE_TIMEOUT)
    assert edge.counts()["idle"] == 1


def test_a_cancelled_call_resets_its_connection_and_delivers_nothing(edge: Edge) -> None:
    def serve(connection: PeerConnection) -> None:
        peer.seen.put(connection.read())
        peer.seen.put(connection.read())

    peer = edge.peer(serve=serve)
    token = edge.start(address=peer.address)
    assert peer.get().startswith(b"GET")
    edge.on_reactor(lambda: edge.http_client.cancel(token=token))
    assert peer.get() == b"reset"
    edge.on_reactor(lambda: edge.http_client.cancel(token=token))
    assert edge.counts()["calls"] == 0


def test_a_call_cancelled_at_once_is_never_begun(edge: Edge) -> None:
    peer = edge.answering_peer(OK)

    def give_and_cancel() -> None:
        edge.http_client.start(call=make_call(token="x", address=peer.address))
        edge.http_client.cancel(token="x")

    edge.on_reactor(give_and_cancel)
    assert edge.counts()["calls"] == 0
    assert edge.ask(address=peer.address, path="/next").code == 200
    assert peer.get()[1].startswith(b"GET /next")


def test_a_call_withdrawn_before_a_byte_has_left_is_never_begun(edge: Edge) -> None:
    peer = edge.answering_peer(OK)

    def give_and_withdraw() -> None:
        edge.http_client.start(call=make_call(token="x", address=peer.address))
        edge.http_client.withdraw(token="x")

    edge.on_reactor(give_and_withdraw)
    result = edge.finished.get(timeout=WAIT)
    assert (result.token, result.code, result.fault, result.sent) == ("x", 0, "withdrawn", False)
    assert edge.counts()["calls"] == 0
    assert edge.ask(address=peer.address, path="/next").code == 200
    assert peer.get()[1].startswith(b"GET /next")


def test_a_call_that_has_left_is_not_withdrawn(edge: Edge) -> None:
    is_withdrawn = threading.Event()

    def serve(connection: PeerConnection) -> None:
        peer.seen.put(connection.read())
        assert is_withdrawn.wait(WAIT)
        connection.send(OK)

    peer = edge.peer(serve=serve)
    token = edge.start(address=peer.address)
    peer.get()
    edge.on_reactor(lambda: edge.http_client.withdraw(token=token))
    edge.on_reactor(lambda: edge.http_client.withdraw(token="never given"))
    is_withdrawn.set()
    result = edge.finished.get(timeout=WAIT)
    assert (result.token, result.code) == (token, 200)


@pytest.mark.parametrize("wait", [0.1, 0.4])
def test_a_call_that_takes_too_long_is_aborted(edge: Edge, wait: float) -> None:
    def serve(connection: PeerConnection) -> None:
        try:
            received = connection.read()
            if received != b"reset":  # a peer that is scheduled after the abort meets the reset in place of the request
                connection.send(b"HTTP/1.1 200 OK\r\n")
                received = connection.read()
        except ConnectionError:
            received = b"reset"
        peer.seen.put(received)

    peer = edge.peer(serve=serve)
    result = edge.ask(address=peer.address, wait=wait)
    assert (result.code, result.fault, result.sent) == (0, "timed-out", True)
    assert peer.get() == b"reset"


def test_a_fresh_call_takes_no_kept_connection_but_may_leave_one(edge: Edge) -> None:
    peer = edge.answering_peer(OK)
    edge.ask(address=peer.address)
    edge.ask(address=peer.address, fresh=True)
    edge.ask(address=peer.address, fresh=True)
    edge.ask(address=peer.address)
    assert [peer.get()[0] for _ in range(4)] == [0, 1, 2, 2]


def test_close_connections_closes_idle_ones_now_and_busy_ones_after_their_responses(edge: Edge) -> None:
    gate = threading.Event()

    def serve(connection: PeerConnection) -> None:
        while (request := connection.read()) not in (b"", b"reset"):
            peer.seen.put((connection.number, request[:6]))
            if connection.number == 1:
                gate.wait(WAIT)
            connection.send(OK)
        peer.seen.put((connection.number, request))

    peer = edge.peer(serve=serve)
    edge.ask(address=peer.address)
    assert peer.get() == (0, b"GET /a")
    edge.start(address=peer.address, fresh=True)
    assert peer.get() == (1, b"GET /a")
    edge.on_reactor(lambda: edge.http_client.close_connections(owner="w"))
    assert peer.get() == (0, b"")
    gate.set()
    assert edge.finished.get(timeout=WAIT).code == 200
    assert peer.get() == (1, b"")
    assert edge.counts()["idle"] == 0


@pytest.mark.parametrize(
    "given", [{"path": "/a b"}, {"path": "/\u20ac"}, {"headers": {"x": "a\r\nb: c"}}, {"headers": {"x y": "1"}}]
)
def test_a_call_that_can_be_no_request_is_not_sent(edge: Edge, given: dict) -> None:
    peer = edge.answering_peer(OK)
    result = edge.ask(address=peer.address, **given)
    assert (result.code, result.fault, result.sent) == (0, "malformed", False)
    assert edge.counts()["opened"] == 0


def test_many_calls_run_at_once(edge: Edge) -> None:
    barrier = threading.Barrier(50)

    def serve(connection: PeerConnection) -> None:
        connection.read()
        barrier.wait(WAIT)
        connection.send(OK)
        connection.read()

    peer = edge.peer(serve=serve)
    tokens = {edge.start(address=peer.address) for _ in range(50)}
    results = [edge.finished.get(timeout=WAIT) for _ in range(50)]
    assert {result.token for result in results} == tokens and {result.code for result in results} == {200}
    assert edge.counts()["idle"] == constants.HTTP_CLIENT_MAX_IDLE_CONNECTIONS
