"""Responses written by the HTTP server: each to its own request, in the order of the requests."""

from __future__ import annotations

import time

import pytest

from sailward import constants
from sailward.events import ClientDisconnected, RequestReceived, Respond
from tests.http_server_harness import Harness, Reader, get


@pytest.fixture
def edge():
    harness = Harness()
    yield harness
    harness.end()


def test_pipelined_answers_keep_the_order(edge):
    sock = edge.connect()
    sock.sendall(b"".join(get(f"/{number}") for number in range(5)))
    events = edge.wait(RequestReceived, 5)
    for event in reversed(events):
        assert edge.answer(event, body=event.path.encode())
    reader = Reader(sock)
    assert [reader.response()[2] for _ in range(5)] == [b"/0", b"/1", b"/2", b"/3", b"/4"]


def test_depth_is_bounded_and_goes_on(edge):
    sock = edge.connect()
    count = 3 * constants.HTTP_SERVER_PIPELINE_DEPTH
    sock.sendall(b"".join(get(f"/{number}") for number in range(count)))
    edge.wait(RequestReceived, constants.HTTP_SERVER_PIPELINE_DEPTH)
    edge.settle()
    assert len(edge.delivered_of(RequestReceived)) == constants.HTTP_SERVER_PIPELINE_DEPTH
    reader = Reader(sock)
    for number in range(count):
        event = edge.wait(RequestReceived, number + 1)[number]
        edge.answer(event, body=event.path.encode())
        assert reader.response()[2] == f"/{number}".encode()


def test_answers_given_during_delivery(edge):
    edge.answer_immediately = lambda event: Respond(token=event.token, code=404, body=event.path.encode())
    sock = edge.connect()
    sock.sendall(b"".join(get(f"/{number}") for number in range(40)))
    reader = Reader(sock)
    assert [reader.response()[2] for _ in range(40)] == [f"/{number}".encode() for number in range(40)]


def test_closing_answer_drops_what_is_behind(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b") + get("/c"))
    first, second, third = edge.wait(RequestReceived, 3)
    edge.answer(third, body=b"never")
    edge.answer(second, body=b"b", close=True)
    sock.sendall(get("/d"))
    edge.settle()
    edge.answer(first, body=b"a")
    reader = Reader(sock)
    _, headers, body = reader.response()
    assert body == b"a" and "connection" not in headers
    _, headers, body = reader.response()
    assert body == b"b" and headers["connection"] == "close"
    assert reader.is_ended() and len(edge.delivered_of(RequestReceived)) == 3


def test_requests_after_a_closing_answer_are_reported_as_disconnected(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b"))
    first, second = edge.wait(RequestReceived, 2)
    edge.answer(first, close=True)
    assert edge.wait(ClientDisconnected, 1) == [ClientDisconnected(token=second.token)]
    assert not edge.answer(second)
    reader = Reader(sock)
    assert reader.response()[0] == 200 and reader.is_ended()


def test_large_answer_to_a_slow_reader(edge):
    sock = edge.connect()
    sock.sendall(get("/", more="Connection: close\r\n"))
    (event,) = edge.wait(RequestReceived, 1)
    body = bytes(range(256)) * (1 << 15)
    edge.answer(event, body=body)
    assert edge.on_reactor(edge.server.open_count) == 1
    sock.sendall(b"x" * 1000)
    time.sleep(0.05)
    reader = Reader(sock)
    assert reader.response()[2] == body and reader.is_ended()
    edge.wait_until(lambda: edge.server.open_count() == 0)


def test_head_has_a_length_and_no_body(edge):
    sock = edge.connect()
    sock.sendall(get(method="HEAD") + get("/next"))
    first, second = edge.wait(RequestReceived, 2)
    edge.answer(first, body=b"12345")
    edge.answer(second, code=799, body=b"next")
    reader = Reader(sock)
    assert reader.response(is_head=True)[1]["content-length"] == "5"
    assert reader.response() == (799, {"content-length": "4", "keep-alive": "timeout=14"}, b"next")
