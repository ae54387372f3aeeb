"""The HTTP client on libcurl, as the product's own programs use it.

A call gets no response but its own, and a request that may not be repeated is sent once.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable, Iterator

import pytest

from sailward.events import CallFinished, StartCall
from sailward.transport.curl_client import CurlClient
from tests.http_client_peer import WAIT, Peer, PeerConnection


def answer_to(name: str, body: bytes, *, more: str = "") -> bytes:
    """A complete response that carries its exchange id."""
    head = f"HTTP/1.1 200 OK\r\nSailward-Exchange: {name}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Client:
    """A CurlClient on its own thread, and the peers that it calls."""

    def __init__(self) -> None:
        self.finished: queue.Queue = queue.Queue()
        self.calls = CurlClient(deliver=self.finished.put)
        self.peers: list[Peer] = []
        self._count = 0
        threading.Thread(target=self.calls.run, daemon=True).start()

    def peer(self, serve: Callable[[PeerConnection], None]) -> Peer:
        self.peers.append(Peer(serve=serve))
        return self.peers[-1]

    def ask(
        self, *, address: str, name: str, method: str = "GET", fresh: bool = False, wait: float = 5.0, body: bytes = b""
    ) -> CallFinished:
        self._count += 1
        call = StartCall(
            token=f"t{self._count}",
            owner="w",
            address=address,
            method=method,
            path=f"/{name}",
            headers={"sailward-exchange": name},
            body=body,
            timeout=wait,
            fresh=fresh,
        )
        self.calls.start(call=call)
        result = self.finished.get(timeout=WAIT)
        assert result.token == call.token
        return result


@pytest.fixture
def client() -> Iterator[Client]:
    client = Client()
    yield client
    assert client.finished.empty()
    for peer in client.peers:
        peer.listener.close()


def name_of(request: bytes) -> str:
    return request.split(b" ")[1][1:].decode()


def test_a_late_answer_at_the_point_of_the_next_goes_to_nobody_and_ends_its_connection(client: Client) -> None:
    """The second call reads a surplus response to the first; the third must not get the response to the second."""

    def serve(connection: PeerConnection) -> None:
        first = name_of(connection.read())
        connection.send(answer_to(first, first.encode()))
        if connection.number == 0:
            second = name_of(connection.read())
            connection.send(answer_to(first, b"late") + answer_to(second, second.encode()))
            connection.read()

    peer = client.peer(serve)
    assert client.ask(address=peer.address, name="a").body == b"a"
    result = client.ask(address=peer.address, name="b")
    assert (result.code, result.body, result.fault, result.sent) == (0, b"", "another-exchange", True)
    assert client.ask(address=peer.address, name="c").body == b"c"
    assert len(peer.connections) == 2


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "answer",
    [b"", b"HTTP/1.1 200 OK\r\nConte", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", b"\x00\x01nonsense\r\n\r\n"],
)
@pytest.mark.parametrize("is_reset", [False, True])
def test_an_unsafe_exchange_goes_out_once_however_its_answer_ends(
    client: Client, method: str, answer: bytes, is_reset: bool
) -> None:
    seen: list = []

    def serve(connection: PeerConnection) -> None:
        while (request := connection.read()) not in (b"", b"reset"):
            seen.append(name_of(request))
            if seen[-1] == "warm":
                connection.send(answer_to("warm", b"w"))
                continue
            if answer:
                connection.send(answer)
            connection.reset() if is_reset else connection.sock.shutdown(socket.SHUT_WR)
            return

    peer = client.peer(serve)
    assert client.ask(address=peer.address, name="warm").code == 200
    result = client.ask(address=peer.address, name="once", method=method, fresh=True, body=b"{}")
    assert (result.code, result.body, result.sent) == (0, b"", True)
    assert seen.count("once") == 1


def test_silence_on_a_kept_connection_is_no_proof_that_nothing_was_sent(client: Client) -> None:
    def serve(connection: PeerConnection) -> None:
        request = connection.read()
        connection.send(answer_to(name_of(request), b"x"))
        peer.seen.put(connection.read())
        connection.read()

    peer = client.peer(serve)
    client.ask(address=peer.address, name="a")
    result = client.ask(address=peer.address, name="b", wait=0.3)
    assert name_of(peer.get()) == "b"
    assert (result.code, result.fault, result.sent) == (0, "timed-out", True)


@pytest.mark.parametrize("early", [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"])
def test_interim_answers_are_passed_over(client: Client, early: bytes) -> None:
    def serve(connection: PeerConnection) -> None:
        while (request := connection.read()) not in (b"", b"reset"):
            connection.send(early + early + answer_to(name_of(request), b"whole"))

    peer = client.peer(serve)
    for name in ("a", "b"):
        result = client.ask(address=peer.address, name=name)
        assert (result.code, result.body) == (200, b"whole") and "link" not in result.headers
    assert len(peer.connections) == 1


def test_a_trailer_is_no_header(client: Client) -> None:
    """A worker's trailers must not be able to say that the exchange did not run."""

    def serve(connection: PeerConnection) -> None:
        connection.read()
        connection.send(
            b"HTTP/1.1 200 OK\r\nSailward-Exchange: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nSailward-Ran: not-run\r\nSailward-Exchange: b\r\n\r\n"
        )

    result = client.ask(address=client.peer(serve).address, name="a")
    assert (result.code, result.body) == (200, b"ok")
    assert result.headers == {"sailward-exchange": "a", "transfer-encoding": "chunked"}


def test_surplus_bytes_behind_an_answer_reach_nobody(client: Client) -> None:
    def serve(connection: PeerConnection) -> None:
        request = connection.read()
        connection.send(answer_to(name_of(request), b"own") + answer_to("x", b"surplus"))
        peer.seen.put(connection.read())

    peer = client.peer(serve)
    for name in ("a", "b"):
        assert client.ask(address=peer.address, name=name).body == b"own"
    assert len(peer.connections) == 2
