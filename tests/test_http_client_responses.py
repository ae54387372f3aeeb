"""The HTTP client on real sockets: complete, truncated, malformed, late and surplus responses."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from sailward import constants
from tests.http_client_peer import OK, WAIT, Edge, PeerConnection, make_call


@pytest.fixture
def edge() -> Iterator[Edge]:
    edge = Edge()
    yield edge
    assert edge.finished.empty()
    edge.stop()


@pytest.mark.parametrize(
    ("answer", "fault"),
    [
        (b"", "connection-lost"),
        (b"HTTP/1.1 200 OK\r\nConte", "cut-short"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "cut-short"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", "cut-short"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "cut-short"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "cut-short"),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", "cut-short"),
        (b"HTTP/1.0 200 OK\r\n\r\nabc", "cut-short"),
        (b"nonsense\r\n\r\n", "malformed"),
        (b"\x00\x01\x02\x03", "malformed"),
        (b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "malformed"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde", "malformed"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "malformed",
        ),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "malformed"),
        (
            b"HTTP/1.1 200 OK\r\nX: " + b"y" * constants.HTTP_CLIENT_MAX_HEAD_BYTES + b"\r\nContent-Length: 0\r\n\r\n",
            "malformed",
        ),
        (b"HTTP/1.1 200 OK\r\nSailward-Exchange: other\r\nContent-Length: 2\r\n\r\n{}", "another-exchange"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (constants.MAX_RESULT_BYTES + 1), "too-large"),
    ],
)
def test_an_incomplete_response_is_a_fault(edge: Edge, answer: bytes, fault: str) -> None:
    def serve(connection: PeerConnection) -> None:
        connection.read()
        connection.send(answer)
        connection.sock.shutdown(socket.SHUT_WR)

    peer = edge.peer(serve=serve)
    result = edge.ask(address=peer.address, headers={"sailward-exchange": "mine"})
    assert (result.code, result.headers, result.body, result.fault, result.sent) == (0, {}, b"", fault, True)
    assert edge.counts()["idle"] == 0


def test_an_answer_too_large_in_chunks_is_given_up(edge: Edge) -> None:
    piece = b"x" * (1 << 20)

    def serve(connection: PeerConnection) -> None:
        connection.read()
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            connection.send(b"100000\r\n" + piece + b"\r\n")

    result = edge.ask(address=edge.peer(serve=serve).address)
    assert (result.code, result.fault) == (0, "too-large")


def test_large_bodies_go_both_ways_whole(edge: Edge) -> None:
    answer = b"y" * constants.MAX_RESULT_BYTES
    peer = edge.answering_peer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
    body = b"z" * (3 << 20)
    result = edge.ask(address=peer.address, method="PUT", body=body)
    assert result.code == 200 and result.body == answer
    assert peer.get()[1].endswith(b"\r\n\r\n" + body)
    assert edge.counts()["idle"] == 1


def test_an_answer_in_chunks_and_pieces_is_whole(edge: Edge) -> None:
    answer = (
        b"HTTP/1.1 200 OK\r\nSailward-Exchange: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n"
    )

    def serve(connection: PeerConnection) -> None:
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while connection.read() not in (b"", b"reset"):
            for at in range(0, len(answer), 7):
                connection.send(answer[at : at + 7])
                time.sleep(0.001)

    peer = edge.peer(serve=serve)
    for _ in range(2):
        result = edge.ask(address=peer.address, headers={"sailward-exchange": "mine"})
        assert (result.code, result.body, result.fault) == (200, b"abcde", "")
    assert len(peer.connections) == 1


@pytest.mark.parametrize(
    ("method", "answer"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
        ("GET", b"HTTP/1.1 204 None\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 Same\r\n\r\n"),
    ],
)
def test_answers_without_bodies_are_whole(edge: Edge, method: str, answer: bytes) -> None:
    peer = edge.answering_peer(answer)
    for _ in range(2):
        result = edge.ask(address=peer.address, method=method)
        assert result.code == int(answer[9:12]) and result.body == b""
    assert len(peer.connections) == 1


def test_surplus_bytes_behind_an_answer_close_its_connection(edge: Edge) -> None:
    peer = edge.answering_peer(OK + OK)
    for _ in range(2):
        result = edge.ask(address=peer.address)
        assert (result.code, result.body) == (200, b"{}")
    assert len(peer.connections) == 2 and edge.counts()["idle"] == 0


def test_a_late_answer_on_an_idle_connection_closes_it(edge: Edge) -> None:
    peer = edge.answering_peer(OK)
    edge.ask(address=peer.address)
    peer.connections[0].send(OK)
    edge.wait_until(idle=0, surplus=1)
    assert edge.ask(address=peer.address).code == 200
    assert len(peer.connections) == 2


def test_bytes_that_come_before_a_request_belong_to_none(edge: Edge) -> None:
    def serve(connection: PeerConnection) -> None:
        peer.seen.put(connection.read())
        connection.send(OK)
        connection.read()

    peer = edge.peer(serve=serve)
    edge.ask(address=peer.address)
    peer.get()

    def speak_and_give() -> None:
        peer.connections[0].send(b"HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n")
        time.sleep(0.05)
        edge.http_client.start(call=make_call(token="next", address=peer.address))

    edge.on_reactor(speak_and_give)
    assert edge.finished.get(timeout=WAIT).code == 200
    assert edge.counts()["surplus"] == 1


def test_an_echoed_id_is_good_and_a_wrong_one_ends_the_connection(edge: Edge) -> None:
    peer = edge.answering_peer(b"HTTP/1.1 200 OK\r\nSailward-Exchange: e1\r\nContent-Length: 0\r\n\r\n")
    assert edge.ask(address=peer.address, headers={"sailward-exchange": "e1"}).code == 200
    result = edge.ask(address=peer.address, headers={"sailward-exchange": "e2"})
    assert (result.code, result.fault, result.sent) == (0, "another-exchange", True)
    assert edge.counts()["idle"] == 0


def test_an_early_answer_is_good_but_its_connection_is_not(edge: Edge) -> None:
    def serve(connection: PeerConnection) -> None:
        connection.sock.recv(1000)
        connection.send(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")
        peer.seen.get(timeout=WAIT)

    peer = edge.peer(serve=serve)
    result = edge.ask(address=peer.address, method="POST", body=b"x" * (32 << 20))
    assert (result.code, result.sent) == (413, True)
    assert edge.counts()["idle"] == 0
    peer.seen.put("end")
