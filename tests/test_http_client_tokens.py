"""The HTTP client's table of calls.

A response belongs to the call that requested it, whatever its token and its owner.
"""

from __future__ import annotations

import queue
from collections.abc import Iterator

import pytest

from tests.http_client_peer import OK, WAIT, Edge, PeerConnection


@pytest.fixture
def edge() -> Iterator[Edge]:
    edge = Edge()
    yield edge
    assert edge.finished.empty()
    edge.stop()


def answer_with(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_a_token_given_twice_gets_the_later_calls_answer_only(edge: Edge) -> None:
    may_answer: queue.Queue = queue.Queue()

    def serve(connection: PeerConnection) -> None:
        request = connection.read()
        peer.seen.put(request)
        if b"/second" in request:
            may_answer.get(timeout=WAIT)
            connection.send(answer_with(b"second"))
        else:
            may_answer.get(timeout=WAIT)
            connection.send(answer_with(b"first"))
            may_answer.put(None)
        connection.read()

    peer = edge.peer(serve=serve)
    edge.start(address=peer.address, path="/first", token="same")
    assert b"/first" in peer.get()
    edge.start(address=peer.address, path="/second", token="same")
    assert b"/second" in peer.get()
    may_answer.put(None)
    may_answer.put(None)
    result = edge.finished.get(timeout=WAIT)
    assert (result.token, result.code, result.body) == ("same", 200, b"second")
    assert edge.counts()["calls"] == 0
    assert edge.ask(address=edge.answering_peer(OK).address).code == 200


def test_a_call_whose_token_is_given_again_is_aborted(edge: Edge) -> None:
    def serve(connection: PeerConnection) -> None:
        request = connection.read()
        if b"/second" in request:
            connection.send(OK)
        else:
            peer.seen.put(request)
        peer.seen.put(connection.read())

    peer = edge.peer(serve=serve)
    edge.start(address=peer.address, path="/first", token="same")
    assert b"/first" in peer.get()
    edge.start(address=peer.address, path="/second", token="same")
    assert peer.get() == b"reset"
    assert edge.finished.get(timeout=WAIT).code == 200


def test_two_calls_with_one_id_at_once_get_their_own_answers(edge: Edge) -> None:
    """Two calls that share an exchange id are distinguished by their connections: each has its own while it runs."""
    may_answer_slow: queue.Queue = queue.Queue()

    def serve(connection: PeerConnection) -> None:
        request = connection.read()
        if b"/slow" in request:
            may_answer_slow.get(timeout=WAIT)
        connection.send(
            b"HTTP/1.1 200 OK\r\nSailward-Exchange: shared\r\nContent-Length: 5\r\n\r\n"
            + (b"slow " if b"/slow" in request else b"quick")
        )
        connection.read()

    peer = edge.peer(serve=serve)
    slow = edge.start(address=peer.address, path="/slow", headers={"sailward-exchange": "shared"})
    quick = edge.start(address=peer.address, path="/quick", headers={"sailward-exchange": "shared"})
    first = edge.finished.get(timeout=WAIT)
    assert (first.token, first.body) == (quick, b"quick")
    may_answer_slow.put(None)
    second = edge.finished.get(timeout=WAIT)
    assert (second.token, second.body) == (slow, b"slow ")


def test_an_answer_after_a_cancel_reaches_nobody_on_a_later_call(edge: Edge) -> None:
    may_answer: queue.Queue = queue.Queue()

    def serve(connection: PeerConnection) -> None:
        request = connection.read()
        peer.seen.put(request)
        if b"/given-up" in request:
            may_answer.get(timeout=WAIT)
        connection.send(OK if b"/given-up" in request else answer_with(b"next"))
        connection.read()

    peer = edge.peer(serve=serve)
    token = edge.start(address=peer.address, path="/given-up")
    assert b"/given-up" in peer.get()
    edge.on_reactor(lambda: edge.http_client.cancel(token=token))
    may_answer.put(None)
    assert edge.ask(address=peer.address, path="/next").body == b"next"
    assert len(peer.connections) == 2


def test_an_answer_that_names_a_request_is_not_taken_for_a_call_without_a_name(edge: Edge) -> None:
    """A health probe has no exchange id: a late response to another request must not be taken for its own."""
    peer = edge.answering_peer(b"HTTP/1.1 200 OK\r\nSailward-Exchange: e1\r\nContent-Length: 0\r\n\r\n")
    result = edge.ask(address=peer.address, path="/health")
    assert (result.code, result.fault) == (0, "another-exchange")
    assert edge.counts()["idle"] == 0


def test_a_connection_is_kept_only_behind_an_answer_that_names_its_request(edge: Edge) -> None:
    """Without the id the response may have been a surplus one, with the real one still to come."""
    peer = edge.answering_peer(OK)
    for _ in range(2):
        assert edge.ask(address=peer.address, headers={"sailward-exchange": "e1"}).code == 200
    assert len(peer.connections) == 2 and edge.counts()["idle"] == 0
