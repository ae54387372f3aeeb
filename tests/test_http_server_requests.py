"""Requests read by the HTTP server: valid, malformed, too large and too slow ones."""

from __future__ import annotations

import pytest

from sailward import constants
from sailward.events import RequestReceived, Respond
from sailward.routing.plan import Limits
from tests.http_server_harness import Harness, Reader, get


@pytest.fixture
def edge():
    harness = Harness()
    yield harness
    harness.end()


HOST = b"Host: a\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_delivered_request_has_every_part(edge):
    sock = edge.connect()
    sock.sendall(b"\r\n" + get("/a%20b/c?x=1&y=&z=%41", more="X-One: 1\r\nx-one: 2\r\n"))
    (event,) = edge.wait(RequestReceived, 1)
    assert event.token.startswith("edge ")
    assert (event.method, event.path, event.target) == ("GET", "/a%20b/c", "/a%20b/c?x=1&y=&z=%41")
    assert event.query == {"x": "1", "y": "", "z": "A"}
    assert event.headers == {"host": "a.example", "x-one": "1, 2"} and event.body == b""
    assert edge.on_reactor(edge.server.open_count) == 1
    assert edge.answer(
        event, body=b"hello", headers={"X-Seal": "s", "Content-Length": "9", "connection": "x", "Bad": "a\r\nb"}
    )
    code, headers, body = Reader(sock).response()
    assert (code, body) == (200, b"hello")
    assert headers == {"x-seal": "s", "content-length": "5", "keep-alive": "timeout=14"}
    assert edge.on_reactor(edge.server.open_count) == 0
    assert not edge.answer(event)


def test_bytes_one_by_one(edge):
    edge.answer_immediately = lambda event: Respond(token=event.token, code=200, body=event.body)
    sock = edge.connect()
    chunks = (
        get("/", method="POST", more="Transfer-Encoding: chunked\r\n")
        + b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"
    )
    raw = get("/", method="POST", more="Content-Length: 4\r\n") + b"body" + b"\r\n" + chunks + get("/")
    for index in range(len(raw)):
        sock.sendall(raw[index : index + 1])
    reader = Reader(sock)
    assert [reader.response()[2] for _ in range(3)] == [b"body", b"abcde", b""]
    sock.sendall(chunks + chunks)
    assert [reader.response()[2] for _ in range(2)] == [b"abcde", b"abcde"]


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\nHost: a\n\n",
        b"GET / HTTP/1.1\r\nHost: a\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: 1\rY: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1, 1\r\n\r\nx",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +1\r\n\r\nx",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length:\r\n\r\nx",
        b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: identity\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: \x0bchunked\r\n\r\n",
        b"POST / HTTP/1.0\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + b"X: 1\r\n  2\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + b"X : 1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding : chunked\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + b": 1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + b"no colon\r\n\r\n",
        b"GET / HTTP/1.1\r\nX: 1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n",
        b"GET / HTTP/2.0\r\n" + HOST + b"\r\n",
        b"GET / HTTP/1.2\r\n" + HOST + b"\r\n",
        b"GET /\r\n\r\n",
        b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET / x HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET a HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET http://a/ HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET * HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET /\xc3\xa9 HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET /\x01 HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + b"X: a\x00b\r\n\r\n",
        b"G(T / HTTP/1.1\r\n" + HOST + b"\r\n",
        b"\r\n\r\nGET / HTTP/1.1\r\n" + HOST + b"\r\n",
        b"\nGET / HTTP/1.1\r\n" + HOST + b"\r\n",
        b" GET / HTTP/1.1\r\n" + HOST + b"\r\n",
        CHUNKED + b"x\r\n",
        CHUNKED + b"1\nab\r\n",
        CHUNKED + b"1\r\nab\r\n0\r\n\r\n",
        CHUNKED + b"-1\r\n\r\n",
        CHUNKED + b"0\r\n\n",
        CHUNKED + b"0\r\nX: 1\n\n",
        CHUNKED + b"0\r\nX: 1\nY: 1\r\n\r\n",
        CHUNKED + b"0\r\nX: 1\r\n 2\r\n\r\n",
        CHUNKED + b"1;a\nb\r\na\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("is_split", [False, True])
def test_malformed_is_400_behind_earlier_answers(edge, raw, is_split):
    sock = edge.connect()
    sock.sendall(get("/first"))
    (event,) = edge.wait(RequestReceived, 1)
    if is_split:
        for index in range(len(raw)):
            try:
                sock.sendall(raw[index : index + 1])
            except OSError:
                break
    else:
        sock.sendall(raw + get("/smuggled"))
    edge.wait_until(lambda: edge.server.open_count() == 2)
    edge.answer(event, body=b"first")
    reader = Reader(sock)
    code, headers, body = reader.response()
    assert (code, body) == (200, b"first") and "connection" not in headers
    code, headers, body = reader.response()
    assert code == 400 and headers["connection"] == "close" and b"error" in body
    assert reader.is_ended() and edge.delivered_of(RequestReceived) == [event]


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (get("/", more=f"X: {'a' * 2000}\r\n"), 431),
        (b"GET /" + b"a" * 2000, 431),
        (get("/", method="POST", more="Content-Length: 101\r\nExpect: 100-continue\r\n"), 413),
        (get("/", method="POST", more="Transfer-Encoding: chunked\r\n") + b"65\r\n" + b"a" * 101, 413),
    ],
)
def test_over_the_limits(edge, raw, code):
    edge.limits = Limits(head_bytes=1000, body_bytes=100)
    sock = edge.connect()
    sock.sendall(raw)
    reader = Reader(sock)
    assert reader.response()[0] == code
    assert reader.is_ended() and not edge.delivered


@pytest.mark.parametrize("raw", [b"G", get("/", method="POST", more="Content-Length: 2\r\n") + b"a"])
def test_slow_request_is_408(edge, raw, monkeypatch):
    monkeypatch.setattr(constants, "HTTP_SERVER_BODY_IDLE_TIMEOUT", 0.1)
    edge.limits = Limits(head_wait=0.1)
    sock = edge.connect()
    sock.sendall(raw)
    reader = Reader(sock)
    code, headers, _ = reader.response()
    assert code == 408 and headers["retry-after"] == "0.2" and headers["connection"] == "close"
    assert reader.is_ended() and not edge.delivered


def test_continue_is_sent_when_its_turn_comes(edge):
    sock = edge.connect()
    sock.sendall(get("/first") + get("/", method="POST", more="Content-Length: 2\r\nExpect: 100-continue\r\n"))
    (event,) = edge.wait(RequestReceived, 1)
    edge.answer(event, body=b"first")
    reader = Reader(sock)
    assert reader.response()[2] == b"first"
    assert reader.response()[0] == 100
    sock.sendall(b"ab")
    event = edge.wait(RequestReceived, 2)[1]
    assert event.body == b"ab"
    edge.answer(event, code=204)
    code, headers, _ = reader.response()
    assert code == 204 and "content-length" not in headers


def test_refusal_survives_unread_bytes(edge):
    edge.limits = Limits(body_bytes=10)
    sock = edge.connect()
    sock.sendall(get(method="POST", more="Content-Length: 300000\r\n") + b"a" * 300000)
    reader = Reader(sock)
    assert reader.response()[0] == 413 and reader.is_ended()
