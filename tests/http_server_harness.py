"""The HTTP server on loopback sockets, with the reactor on its own thread, for the tests of the server."""

from __future__ import annotations

import socket
import threading
import time

from sailward.events import RequestReceived, Respond
from sailward.routing.plan import Limits
from sailward.runtime.reactor import Reactor
from sailward.transport.http_server import HttpServer

WAIT_TIMEOUT = 10.0


class Harness:
    """A server whose events are recorded, and that answers immediately if a test sets `answer_immediately`."""

    def __init__(self) -> None:
        self.limits = Limits()
        self.clock_offset = 0.0
        self.delivered: list = []
        self.changed = threading.Condition()
        self.answer_immediately = None
        self.reactor = Reactor(clock=lambda: time.monotonic() + self.clock_offset)
        self.server = HttpServer(
            reactor=self.reactor, address="127.0.0.1:0", name="edge", deliver=self.deliver, limits=lambda: self.limits
        )
        self.thread = threading.Thread(target=self.reactor.run, daemon=True)
        self.thread.start()
        self.sockets: list = []

    def deliver(self, event) -> None:
        with self.changed:
            self.delivered.append(event)
            self.changed.notify_all()
        if self.answer_immediately and isinstance(event, RequestReceived):
            self.server.answer(command=self.answer_immediately(event))

    def on_reactor(self, call):
        done, results = threading.Event(), []

        def run():
            results.append(call())
            done.set()

        self.reactor.call_from_thread(callback=run)
        assert done.wait(WAIT_TIMEOUT)
        return results[0]

    def pass_time(self, *, seconds: float) -> None:
        """Advance the reactor's clock and let the alarms run that are then due."""

        def jump() -> None:
            self.clock_offset += seconds

        self.on_reactor(jump)
        self.settle()

    def answer(self, event, *, code=200, body=b"", headers=None, close=False) -> bool:
        command = Respond(token=event.token, code=code, body=body, headers=headers or {}, close=close)
        return self.on_reactor(lambda: self.server.answer(command=command))

    def connect(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.server.port), timeout=WAIT_TIMEOUT)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.append(sock)
        return sock

    def wait(self, kind, count: int) -> list:
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.delivered_of(kind)) >= count, WAIT_TIMEOUT)
            return self.delivered_of(kind)

    def delivered_of(self, kind) -> list:
        return [event for event in self.delivered if isinstance(event, kind)]

    def wait_until(self, condition) -> None:
        end = time.monotonic() + WAIT_TIMEOUT
        while not self.on_reactor(condition):
            assert time.monotonic() < end
            time.sleep(0.005)

    def settle(self) -> None:
        """Let the reactor process what has arrived."""
        for _ in range(3):
            time.sleep(0.01)
            self.on_reactor(lambda: None)

    def end(self) -> None:
        for sock in self.sockets:
            sock.close()
        self.reactor.call_from_thread(callback=self.reactor.stop)
        self.thread.join(WAIT_TIMEOUT)


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
        assert data, "the connection closed in the middle of a response"
        self.raw += data

    def is_ended(self) -> bool:
        return not self.raw and self.sock.recv(65536) == b""
