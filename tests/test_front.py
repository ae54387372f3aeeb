"""The HTTP server edge, over loopback sockets with the reactor on a thread of its own."""

from __future__ import annotations

import socket
import struct
import threading
import time

import pytest

from sailward import constants
from sailward.events import Answer, Asked, CallerLeft
from sailward.routing.plan import Limits
from sailward.runtime.reactor import Reactor
from sailward.transport.front import Front

PATIENCE = 10.0


class Harness:
    """A front whose told events are kept, and that tests may order to answer at once."""

    def __init__(self) -> None:
        self.limits = Limits()
        self.told: list = []
        self.changed = threading.Condition()
        self.at_once = None
        self.reactor = Reactor()
        self.front = Front(
            reactor=self.reactor, address="127.0.0.1:0", name="edge", tell=self.tell, limits=lambda: self.limits
        )
        self.thread = threading.Thread(target=self.reactor.run, daemon=True)
        self.thread.start()
        self.sockets: list = []

    def tell(self, event) -> None:
        with self.changed:
            self.told.append(event)
            self.changed.notify_all()
        if self.at_once and isinstance(event, Asked):
            self.front.answer(command=self.at_once(event))

    def on_reactor(self, call):
        done, results = threading.Event(), []

        def run():
            results.append(call())
            done.set()

        self.reactor.give(call=run)
        assert done.wait(PATIENCE)
        return results[0]

    def answer(self, event, *, code=200, body=b"", headers=None, close=False) -> bool:
        command = Answer(token=event.token, code=code, body=body, headers=headers or {}, close=close)
        return self.on_reactor(lambda: self.front.answer(command=command))

    def connect(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.front.port), timeout=PATIENCE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.append(sock)
        return sock

    def wait(self, kind, count: int) -> list:
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.of(kind)) >= count, PATIENCE)
            return self.of(kind)

    def of(self, kind) -> list:
        return [event for event in self.told if isinstance(event, kind)]

    def until(self, question) -> None:
        end = time.monotonic() + PATIENCE
        while not self.on_reactor(question):
            assert time.monotonic() < end
            time.sleep(0.005)

    def settle(self) -> None:
        """Let the reactor pass through what has arrived."""
        for _ in range(3):
            time.sleep(0.01)
            self.on_reactor(lambda: None)

    def end(self) -> None:
        for sock in self.sockets:
            sock.close()
        self.reactor.give(call=self.reactor.stop)
        self.thread.join(PATIENCE)


@pytest.fixture
def edge():
    harness = Harness()
    yield harness
    harness.end()


def get(path: str = "/", *, more: str = "", method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{more}\r\n".encode()


class Reader:
    def __init__(self, sock) -> None:
        self.sock = sock
        self.raw = b""

    def response(self, *, is_head: bool = False) -> tuple[int, dict, bytes]:
        while b"\r\n\r\n" not in self.raw:
            self._more()
        head, _, self.raw = self.raw.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        length = 0 if is_head else int(headers.get("content-length", 0))
        while len(self.raw) < length:
            self._more()
        body, self.raw = self.raw[:length], self.raw[length:]
        return int(first.split()[1]), headers, body

    def _more(self) -> None:
        data = self.sock.recv(65536)
        assert data, "closed in the midst of a response"
        self.raw += data

    def is_ended(self) -> bool:
        return not self.raw and self.sock.recv(65536) == b""


def test_asked_has_every_part(edge):
    sock = edge.connect()
    sock.sendall(b"\r\n" + get("/a%20b/c?x=1&y=&z=%41", more="X-One: 1\r\nx-one: 2\r\n"))
    (event,) = edge.wait(Asked, 1)
    assert event.token.startswith("edge ")
    assert (event.method, event.path, event.target) == ("GET", "/a%20b/c", "/a%20b/c?x=1&y=&z=%41")
    assert event.query == {"x": "1", "y": "", "z": "A"}
    assert event.headers == {"host": "a.example", "x-one": "1, 2"} and event.body == b""
    assert edge.on_reactor(edge.front.open_count) == 1
    assert edge.answer(
        event, body=b"hello", headers={"X-Seal": "s", "Content-Length": "9", "connection": "x", "Bad": "a\r\nb"}
    )
    code, headers, body = Reader(sock).response()
    assert (code, body) == (200, b"hello")
    assert headers == {"x-seal": "s", "content-length": "5", "keep-alive": "timeout=14"}
    assert edge.on_reactor(edge.front.open_count) == 0
    assert not edge.answer(event)


def test_pipelined_answers_keep_the_order(edge):
    sock = edge.connect()
    sock.sendall(b"".join(get(f"/{number}") for number in range(5)))
    events = edge.wait(Asked, 5)
    for event in reversed(events):
        assert edge.answer(event, body=event.path.encode())
    reader = Reader(sock)
    assert [reader.response()[2] for _ in range(5)] == [b"/0", b"/1", b"/2", b"/3", b"/4"]


def test_depth_is_bounded_and_goes_on(edge):
    sock = edge.connect()
    count = 3 * constants.FRONT_DEPTH
    sock.sendall(b"".join(get(f"/{number}") for number in range(count)))
    edge.wait(Asked, constants.FRONT_DEPTH)
    edge.settle()
    assert len(edge.of(Asked)) == constants.FRONT_DEPTH
    reader = Reader(sock)
    for number in range(count):
        event = edge.wait(Asked, number + 1)[number]
        edge.answer(event, body=event.path.encode())
        assert reader.response()[2] == f"/{number}".encode()


def test_answers_from_within_tell(edge):
    edge.at_once = lambda event: Answer(token=event.token, code=404, body=event.path.encode())
    sock = edge.connect()
    sock.sendall(b"".join(get(f"/{number}") for number in range(40)))
    reader = Reader(sock)
    assert [reader.response()[2] for _ in range(40)] == [f"/{number}".encode() for number in range(40)]


def test_bytes_one_by_one(edge):
    edge.at_once = lambda event: Answer(token=event.token, code=200, body=event.body)
    sock = edge.connect()
    chunks = (
        get("/", method="POST", more="Transfer-Encoding: chunked\r\n")
        + b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"
    )
    raw = get("/", method="POST", more="Content-Length: 4\r\n") + b"body" + b"\r\n" + chunks + get("/")
    for place in range(len(raw)):
        sock.sendall(raw[place : place + 1])
    reader = Reader(sock)
    assert [reader.response()[2] for _ in range(3)] == [b"body", b"abcde", b""]
    sock.sendall(chunks + chunks)
    assert [reader.response()[2] for _ in range(2)] == [b"abcde", b"abcde"]


HOST = b"Host: a\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


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
    (event,) = edge.wait(Asked, 1)
    if is_split:
        for place in range(len(raw)):
            try:
                sock.sendall(raw[place : place + 1])
            except OSError:
                break
    else:
        sock.sendall(raw + get("/smuggled"))
    edge.until(lambda: edge.front.open_count() == 2)
    edge.answer(event, body=b"first")
    reader = Reader(sock)
    code, headers, body = reader.response()
    assert (code, body) == (200, b"first") and "connection" not in headers
    code, headers, body = reader.response()
    assert code == 400 and headers["connection"] == "close" and b"error" in body
    assert reader.is_ended() and edge.of(Asked) == [event]


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
    assert reader.is_ended() and not edge.told


@pytest.mark.parametrize("raw", [b"G", get("/", method="POST", more="Content-Length: 2\r\n") + b"a"])
def test_slow_request_is_408(edge, raw, monkeypatch):
    monkeypatch.setattr(constants, "FRONT_BODY_IDLE", 0.1)
    edge.limits = Limits(head_wait=0.1)
    sock = edge.connect()
    sock.sendall(raw)
    reader = Reader(sock)
    code, headers, _ = reader.response()
    assert code == 408 and headers["retry-after"] == "0.2" and headers["connection"] == "close"
    assert reader.is_ended() and not edge.told


def test_idle_connection_ends_silently(edge):
    edge.limits = Limits(idle_wait=0.1)
    edge.at_once = lambda event: Answer(token=event.token, code=200, body=b"")
    sock = edge.connect()
    sock.sendall(get())
    reader = Reader(sock)
    code, headers, _ = reader.response()
    assert code == 200 and "keep-alive" not in headers and "connection" not in headers
    assert reader.is_ended()
    edge.until(lambda: edge.front.connection_count() == 0)


def test_unanswered_connection_is_not_idle(edge):
    edge.limits = Limits(idle_wait=0.05, head_wait=0.05)
    sock = edge.connect()
    sock.sendall(get())
    (event,) = edge.wait(Asked, 1)
    time.sleep(2 * constants.FRONT_SWEEP)
    assert edge.answer(event, body=b"late") and Reader(sock).response()[2] == b"late"


def test_continue_is_sent_when_its_turn_comes(edge):
    sock = edge.connect()
    sock.sendall(get("/first") + get("/", method="POST", more="Content-Length: 2\r\nExpect: 100-continue\r\n"))
    (event,) = edge.wait(Asked, 1)
    edge.answer(event, body=b"first")
    reader = Reader(sock)
    assert reader.response()[2] == b"first"
    assert reader.response()[0] == 100
    sock.sendall(b"ab")
    event = edge.wait(Asked, 2)[1]
    assert event.body == b"ab"
    edge.answer(event, code=204)
    code, headers, _ = reader.response()
    assert code == 204 and "content-length" not in headers


def test_reset_tells_caller_left(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b"))
    events = edge.wait(Asked, 2)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    left = edge.wait(CallerLeft, 2)
    assert {event.token for event in left} == {event.token for event in events}
    assert not edge.answer(events[0], body=b"nobody")
    assert edge.on_reactor(edge.front.open_count) == 0 and edge.on_reactor(edge.front.connection_count) == 0


def test_half_closed_caller_is_answered(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b") + b"GET /c")
    sock.shutdown(socket.SHUT_WR)
    events = edge.wait(Asked, 2)
    edge.settle()
    for event in events:
        edge.answer(event, body=event.path.encode())
    reader = Reader(sock)
    assert reader.response()[2] == b"/a"
    _, headers, body = reader.response()
    assert body == b"/b" and headers["connection"] == "close"
    assert reader.is_ended() and not edge.of(CallerLeft)


def test_where_it_is_wanted_a_half_closed_caller_counts_as_left_and_is_answered(edge):
    edge.front._tells_half_close = True
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b"))
    first, second = edge.wait(Asked, 2)
    edge.answer(first, body=b"a")
    sock.shutdown(socket.SHUT_WR)
    assert edge.wait(CallerLeft, 1) == [CallerLeft(token=second.token)]
    edge.answer(second, body=b"b")
    reader = Reader(sock)
    assert reader.response()[2] == b"a" and reader.response()[2] == b"b"
    assert reader.is_ended() and len(edge.of(CallerLeft)) == 1


@pytest.mark.parametrize("raw", [get("/", more="Connection: foo, Close\r\n"), b"GET / HTTP/1.0\r\n\r\n"])
def test_callers_close_ends_reading(edge, raw):
    sock = edge.connect()
    sock.sendall(raw + get("/behind"))
    (event,) = edge.wait(Asked, 1)
    sock.sendall(get("/behind"))
    edge.settle()
    edge.answer(event, body=b"last")
    reader = Reader(sock)
    _, headers, body = reader.response()
    assert body == b"last" and headers["connection"] == "close"
    assert reader.is_ended() and edge.of(Asked) == [event] and not edge.of(CallerLeft)


def test_closing_answer_drops_what_is_behind(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b") + get("/c"))
    first, second, third = edge.wait(Asked, 3)
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
    assert reader.is_ended() and len(edge.of(Asked)) == 3


def test_told_behind_a_closing_answer_is_left(edge):
    sock = edge.connect()
    sock.sendall(get("/a") + get("/b"))
    first, second = edge.wait(Asked, 2)
    edge.answer(first, close=True)
    assert edge.wait(CallerLeft, 1) == [CallerLeft(token=second.token)]
    assert not edge.answer(second)
    reader = Reader(sock)
    assert reader.response()[0] == 200 and reader.is_ended()


def test_leaving_ends_each_connection_behind_what_was_told(edge, monkeypatch):
    # a connection that is fresh stays so however slow the machine is
    monkeypatch.setattr(constants, "FRONT_FRESH", 60.0)
    idle, fresh, busy, new = edge.connect(), edge.connect(), edge.connect(), None
    idle.sendall(get("/idle"))
    edge.answer(edge.wait(Asked, 1)[0])
    reader = Reader(idle)
    reader.response()
    busy.sendall(get("/a") + get("/b") + b"POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
    first, second = edge.wait(Asked, 3)[1:]
    edge.until(lambda: edge.front.open_count() == 3)
    edge.answer(second, body=b"b")
    edge.on_reactor(edge.front.leave)
    assert reader.is_ended()
    busy.sendall(b"123456789")
    edge.settle()
    edge.answer(first, body=b"a")
    reader = Reader(busy)
    _, headers, body = reader.response()
    assert body == b"a" and "connection" not in headers
    _, headers, body = reader.response()
    assert body == b"b" and headers["connection"] == "close"
    assert reader.is_ended() and not edge.of(CallerLeft)
    new = edge.connect()
    for sock in (fresh, new):
        sock.sendall(get("/last"))
        edge.answer(edge.wait(Asked, len(edge.of(Asked)) + 1)[-1], body=b"last")
        reader = Reader(sock)
        _, headers, body = reader.response()
        assert body == b"last" and headers["connection"] == "close" and reader.is_ended()


def test_leaving_ends_connections_that_ask_nothing(edge, monkeypatch):
    monkeypatch.setattr(constants, "FRONT_FRESH", 0.05)
    sock = edge.connect()
    edge.on_reactor(edge.front.leave)
    assert Reader(sock).is_ended()


def test_closed_listener_takes_no_more(edge):
    sock = edge.connect()
    edge.until(lambda: edge.front.connection_count() == 1)
    edge.on_reactor(edge.front.close_listener)
    with pytest.raises(OSError):
        edge.connect()
    sock.sendall(get())
    assert edge.answer(edge.wait(Asked, 1)[0]) and Reader(sock).response()[0] == 200


def test_large_answer_to_a_slow_reader(edge):
    sock = edge.connect()
    sock.sendall(get("/", more="Connection: close\r\n"))
    (event,) = edge.wait(Asked, 1)
    body = bytes(range(256)) * (1 << 15)
    edge.answer(event, body=body)
    assert edge.on_reactor(edge.front.open_count) == 1
    sock.sendall(b"x" * 1000)
    time.sleep(0.05)
    reader = Reader(sock)
    assert reader.response()[2] == body and reader.is_ended()
    edge.until(lambda: edge.front.open_count() == 0)


def test_caller_that_never_reads_is_dropped(edge, monkeypatch):
    monkeypatch.setattr(constants, "FRONT_WRITE_IDLE", 0.1)
    sock = edge.connect()
    sock.sendall(get())
    edge.answer(edge.wait(Asked, 1)[0], body=b"a" * (16 << 20))
    edge.until(lambda: edge.front.connection_count() == 0)
    assert edge.on_reactor(edge.front.open_count) == 0


def test_head_has_a_length_and_no_body(edge):
    sock = edge.connect()
    sock.sendall(get(method="HEAD") + get("/next"))
    first, second = edge.wait(Asked, 2)
    edge.answer(first, body=b"12345")
    edge.answer(second, code=799, body=b"next")
    reader = Reader(sock)
    assert reader.response(is_head=True)[1]["content-length"] == "5"
    assert reader.response() == (799, {"content-length": "4", "keep-alive": "timeout=14"}, b"next")


def test_refusal_survives_unread_bytes(edge):
    edge.limits = Limits(body_bytes=10)
    sock = edge.connect()
    sock.sendall(get(method="POST", more="Content-Length: 300000\r\n") + b"a" * 300000)
    reader = Reader(sock)
    assert reader.response()[0] == 413 and reader.is_ended()


def test_connections_are_bounded(edge, monkeypatch):
    monkeypatch.setattr(constants, "FRONT_CONNECTIONS", 1)
    kept = edge.connect()
    edge.until(lambda: edge.front.connection_count() == 1)
    assert Reader(edge.connect()).is_ended()
    kept.sendall(get())
    edge.wait(Asked, 1)
