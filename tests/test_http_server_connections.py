"""When the HTTP server opens and closes connections: idle ones, client disconnects, draining, and the limit."""

from __future__ import annotations

import socket
import struct
import time

import pytest

from sailward import constants
from sailward.events import ClientDisconnected, RequestReceived, Respond
from sailward.routing.plan import Limits
from tests.http_server_harness import Harness, Reader, get


@pytest.fixture
def edge():
    harness = Harness()
    yield harness
    harness.end()


def test_idle_connection_is_closed_without_a_response(edge):
    edge.limits = Limits(idle_wait=0.1)
    edge.answer_immediately = lambda event: Respond(token=event.token, code=200, body=b"")
    sock = edge.connect()
    sock.sendall(get())
    reader = Reader(sock)
    code, headers, _ = reader.response()
    assert code == 200 and "keep-alive" not in headers and "connection" not in headers
    assert reader.is_ended()
    edge.wait_until(lambda: edge.server.connection_count() == 0)


def test_unanswered_connection_is_not_idle(edge):
    edge.limits = Limits(idle_wait=0.05, head_wait=0.05)
    sock = edge.connect()
    sock.sendall(get())
    (event,) = edge.wait(RequestReceived, 1)
    time.sleep(2 * constants.HTTP_SERVER_SWEEP_INTERVAL)
    assert edge.answer(event, body=b"late") and Reader(sock).response()[2] == b"late"


def test_reset_reports_client_disconnects(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b"))
    events = edge.wait(RequestReceived, 2)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    disconnects = edge.wait(ClientDisconnected, 2)
    assert {event.token for event in disconnects} == {event.token for event in events}
    assert not edge.answer(events[0], body=b"nobody")
    assert edge.on_reactor(edge.server.open_count) == 0 and edge.on_reactor(edge.server.connection_count) == 0


def test_half_closed_client_counts_as_disconnected_and_is_answered(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b") + b"GET /c")
    sock.shutdown(socket.SHUT_WR)
    events = edge.wait(RequestReceived, 2)
    disconnects = [ClientDisconnected(token=event.token) for event in events]
    assert edge.wait(ClientDisconnected, 2) == disconnects
    for event in events:
        edge.answer(event, body=event.path.encode())
    reader = Reader(sock)
    assert reader.response()[2] == b"/a"
    _, headers, body = reader.response()
    assert body == b"/b" and headers["connection"] == "close"
    assert reader.is_ended() and edge.delivered_of(ClientDisconnected) == disconnects
    edge.wait_until(lambda: edge.server.connection_count() == 0)


def test_only_unanswered_requests_are_reported_when_the_client_closes(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b"))
    first, second = edge.wait(RequestReceived, 2)
    edge.answer(first, body=b"a")
    sock.shutdown(socket.SHUT_WR)
    assert edge.wait(ClientDisconnected, 1) == [ClientDisconnected(token=second.token)]
    edge.answer(second, body=b"b")
    reader = Reader(sock)
    assert reader.response()[2] == b"a" and reader.response()[2] == b"b"
    assert reader.is_ended() and len(edge.delivered_of(ClientDisconnected)) == 1


def test_a_close_and_then_a_reset_are_reported_once(edge):
    sock = edge.connect()
    sock.sendall(get("/a"))
    (event,) = edge.wait(RequestReceived, 1)
    sock.shutdown(socket.SHUT_WR)
    edge.wait(ClientDisconnected, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    edge.answer(event, body=b"nobody")
    edge.wait_until(lambda: edge.server.connection_count() == 0)
    assert edge.delivered_of(ClientDisconnected) == [ClientDisconnected(token=event.token)]


@pytest.mark.parametrize("raw", [get("/", more="Connection: foo, Close\r\n"), b"GET / HTTP/1.0\r\n\r\n"])
def test_callers_close_ends_reading(edge, raw):
    sock = edge.connect()
    sock.sendall(raw + get("/behind"))
    (event,) = edge.wait(RequestReceived, 1)
    sock.sendall(get("/behind"))
    edge.settle()
    edge.answer(event, body=b"last")
    reader = Reader(sock)
    _, headers, body = reader.response()
    assert body == b"last" and headers["connection"] == "close"
    assert (
        reader.is_ended()
        and edge.delivered_of(RequestReceived) == [event]
        and not edge.delivered_of(ClientDisconnected)
    )


def test_draining_closes_each_connection_after_its_delivered_requests(edge, monkeypatch):
    # a new connection keeps its grace for a first request, however slow the machine is
    monkeypatch.setattr(constants, "HTTP_SERVER_FIRST_REQUEST_GRACE", 60.0)
    idle, fresh, busy, new = edge.connect(), edge.connect(), edge.connect(), None
    idle.sendall(get("/idle"))
    edge.answer(edge.wait(RequestReceived, 1)[0])
    reader = Reader(idle)
    reader.response()
    busy.sendall(get("/a") + get("/b") + b"POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
    first, second = edge.wait(RequestReceived, 3)[1:]
    edge.wait_until(lambda: edge.server.open_count() == 3)
    edge.answer(second, body=b"b")
    edge.on_reactor(edge.server.drain)
    assert reader.is_ended()
    busy.sendall(b"123456789")
    edge.settle()
    edge.answer(first, body=b"a")
    reader = Reader(busy)
    _, headers, body = reader.response()
    assert body == b"a" and "connection" not in headers
    _, headers, body = reader.response()
    assert body == b"b" and headers["connection"] == "close"
    assert reader.is_ended() and not edge.delivered_of(ClientDisconnected)
    new = edge.connect()
    for sock in (fresh, new):
        request_count = len(edge.delivered_of(RequestReceived))
        sock.sendall(get("/last"))
        edge.answer(edge.wait(RequestReceived, request_count + 1)[-1], body=b"last")
        reader = Reader(sock)
        _, headers, body = reader.response()
        assert body == b"last" and headers["connection"] == "close" and reader.is_ended()


def test_draining_closes_connections_without_requests(edge, monkeypatch):
    monkeypatch.setattr(constants, "HTTP_SERVER_FIRST_REQUEST_GRACE", 0.05)
    sock = edge.connect()
    edge.on_reactor(edge.server.drain)
    assert Reader(sock).is_ended()


def test_draining_may_leave_idle_connections_to_their_next_answer(edge):
    sock = edge.connect()
    reader = Reader(sock)
    sock.sendall(get())
    edge.answer(edge.wait(RequestReceived, 1)[0])
    reader.response()
    edge.on_reactor(lambda: edge.server.drain(close_idle=False))
    edge.pass_time(seconds=constants.HTTP_SERVER_FIRST_REQUEST_GRACE + constants.HTTP_SERVER_SWEEP_INTERVAL)
    sock.sendall(get())
    edge.answer(edge.wait(RequestReceived, 2)[1])
    assert reader.response()[1]["connection"] == "close" and reader.is_ended()


def test_closed_listener_takes_no_more(edge):
    sock = edge.connect()
    edge.wait_until(lambda: edge.server.connection_count() == 1)
    edge.on_reactor(edge.server.close_listener)
    with pytest.raises(OSError):
        edge.connect()
    sock.sendall(get())
    assert edge.answer(edge.wait(RequestReceived, 1)[0]) and Reader(sock).response()[0] == 200


def test_requests_that_become_complete_after_the_owner_has_stopped_are_refused(edge):
    early, partial = edge.connect(), edge.connect()
    early.sendall(get())
    [received] = edge.wait(RequestReceived, 1)
    partial.sendall(get(more="Content-Length: 2\r\n", method="POST") + b"a")
    edge.wait_until(lambda: edge.server.open_count() == 2)
    edge.on_reactor(edge.server.refuse_requests)
    partial.sendall(b"b")
    code, headers, _ = Reader(partial).response()
    assert (code, headers["connection"]) == (503, "close") and float(headers["retry-after"]) > 0
    assert edge.answer(received) and Reader(early).response()[0] == 200
    assert len(edge.wait(RequestReceived, 1)) == 1


@pytest.mark.parametrize("sent", [b"GET /", get(more="Content-Length: 2\r\n", method="POST")], ids=["head", "body"])
def test_requests_that_stay_incomplete_are_refused_at_the_end(edge, sent: bytes):
    partial, fresh = edge.connect(), edge.connect()
    partial.sendall(sent)
    edge.wait_until(lambda: edge.server.connection_count() == 2)
    edge.settle()
    edge.on_reactor(edge.server.refuse_unfinished)
    assert Reader(partial).response()[0] == 503
    assert Reader(fresh).is_ended()


def test_an_unwritten_answer_is_the_last_thing_on_its_connection(edge):
    sock = edge.connect()
    sock.sendall(get())
    edge.answer(edge.wait(RequestReceived, 1)[0], body=b"a" * (16 << 20))
    edge.on_reactor(edge.server.refuse_unfinished)
    reader = Reader(sock)
    assert len(reader.response()[2]) == 16 << 20 and reader.is_ended()


def test_requests_that_the_owner_has_abandoned_get_no_promise(edge):
    sock = edge.connect()
    sock.sendall(get())
    [received] = edge.wait(RequestReceived, 1)
    edge.on_reactor(edge.server.abandon_requests)
    assert Reader(sock).response()[0] == 502
    assert not edge.answer(received)


def test_connections_that_wait_to_be_accepted_are_accepted_before_the_listener_closes(edge):
    def connect_and_close() -> socket.socket:
        # the reactor is busy here, so that the connection waits in the operating system's queue
        sock = edge.connect()
        edge.server.close_listener()
        return sock

    sock = edge.on_reactor(connect_and_close)
    sock.sendall(get())
    assert edge.answer(edge.wait(RequestReceived, 1)[0]) and Reader(sock).response()[0] == 200


def test_caller_that_never_reads_is_dropped(edge, monkeypatch):
    monkeypatch.setattr(constants, "HTTP_SERVER_WRITE_IDLE_TIMEOUT", 0.1)
    sock = edge.connect()
    sock.sendall(get())
    edge.answer(edge.wait(RequestReceived, 1)[0], body=b"a" * (16 << 20))
    edge.wait_until(lambda: edge.server.connection_count() == 0)
    assert edge.on_reactor(edge.server.open_count) == 0


def test_connections_are_bounded(edge, monkeypatch):
    monkeypatch.setattr(constants, "HTTP_SERVER_MAX_CONNECTIONS", 1)
    open_sock = edge.connect()
    edge.wait_until(lambda: edge.server.connection_count() == 1)
    assert Reader(edge.connect()).is_ended()
    open_sock.sendall(get())
    edge.wait(RequestReceived, 1)
