"""The way of a request over loopback sockets: the proxy's server edge, its forwarder and its client edge, and a worker.

The edges are opened as a hosted proxy opens them; the worker is played by the test.
"""

from __future__ import annotations

import dataclasses
import queue
import socket
import threading
import time

from sailward import constants
from sailward.discovery.peer_table import Location
from sailward.events import CancelCall, StartCall, TimerFired, WithdrawCall
from sailward.programs.hosted import Hosted, answer_handlers, open_front
from sailward.routing.plan import Limits
from sailward.runtime.host import Host
from sailward.runtime.reactor import Reactor
from sailward.transport.http_client import HttpClient
from tests.http_server_harness import WAIT_TIMEOUT
from tests.proxy_kit import NAMES, Bench, make_plan, make_worker


class WorkerCall:
    """One connection that reached the worker: what came on it, and whether it has ended."""

    def __init__(self, *, sock: socket.socket) -> None:
        self.sock, self.raw, self.has_ended = sock, b"", threading.Event()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        try:
            while data := self.sock.recv(65536):
                self.raw += data
        except OSError:
            pass
        self.has_ended.set()

    def path(self) -> str:
        """The path of the request that came, once it is complete."""
        end = time.monotonic() + WAIT_TIMEOUT
        while b"\r\n\r\n" not in self.raw:
            assert time.monotonic() < end, "no request came"
            time.sleep(0.002)
        return self.raw.split()[1].decode()

    def answer(self, *, body: bytes) -> None:
        """Answer as the worker that was meant."""
        name = next(line for line in self.raw.split(b"\r\n") if line.lower().startswith(b"x-id: "))
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\n%s\r\nx-seal: s\r\nContent-Length: %d\r\n\r\n" % (name, len(body)) + body
        )


class ProxyPath:
    """A proxy's edges round a forwarder, on a thread of their own, and workers that listen at one address.

    `end` must be called.
    """

    def __init__(self, *, workers: int = 1, **match: object) -> None:
        self._worker = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._worker.getsockname()[1]}"
        listed = [dataclasses.replace(make_worker(f"w{at}"), address=self.address) for at in range(workers)]
        self.bench = Bench(workers=listed, plan=make_plan(**{"expiry_s": 30.0, "target_s": 20.0, **match}))
        self.reactor = Reactor()
        self.host = Host(reactor=self.reactor)
        self.calls: queue.Queue[WorkerCall] = queue.Queue()
        location = Location(name="p0", kind="proxy", zone="north-a", region="north", post="", http="")
        hosted = Hosted(location=location, names=NAMES, listen={"front": "127.0.0.1:0"})
        self.front = open_front(hosted=hosted, edge="front", reactor=self.reactor, host=self.host, limits=Limits)
        self.client = HttpClient(reactor=self.reactor, deliver=self.host.deliver, names=NAMES)
        self.host.handlers = {
            StartCall: lambda command: self.client.start(call=command),
            CancelCall: lambda command: self.client.cancel(token=command.token),
            WithdrawCall: lambda command: self.client.withdraw(token=command.token),
            **answer_handlers(hosted=hosted, fronts={"front": self.front}),
        }
        self.host.step = self._step
        self._tick()
        threading.Thread(target=self._accept, daemon=True).start()
        self._thread = threading.Thread(target=self.reactor.run, daemon=True)
        self._thread.start()
        self._callers: list[socket.socket] = []

    def send(self, *requests: bytes) -> socket.socket:
        """A caller connects and sends these."""
        caller = socket.create_connection(("127.0.0.1", self.front.port), timeout=WAIT_TIMEOUT)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller.sendall(b"".join(requests))
        self._callers.append(caller)
        return caller

    def next_call(self) -> WorkerCall:
        """The next connection at the worker, once its request has come."""
        call = self.calls.get(timeout=WAIT_TIMEOUT)
        call.path()
        return call

    def on_reactor(self, question):
        """What this gives on the reactor's thread."""
        given: queue.Queue = queue.Queue()
        self.reactor.call_from_thread(callback=lambda: given.put(question()))
        return given.get(timeout=WAIT_TIMEOUT)

    def until(self, question) -> None:
        """Wait until this holds on the reactor's thread."""
        end = time.monotonic() + WAIT_TIMEOUT
        while not self.on_reactor(question):
            assert time.monotonic() < end, "it never came"
            time.sleep(0.005)

    def settle(self) -> None:
        """Let the reactor pass through what has arrived, and through a few ticks."""
        for _ in range(4):
            time.sleep(constants.TICK_INTERVAL)
            self.on_reactor(lambda: None)

    def end(self) -> None:
        """Close all that was opened."""
        self.reactor.call_from_thread(callback=self.reactor.stop)
        self._thread.join(WAIT_TIMEOUT)
        for sock in (*self._callers, self._worker):
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._worker.accept()
            except OSError:
                return
            self.calls.put(WorkerCall(sock=sock))

    def _tick(self) -> None:
        self.reactor.call_later(delay=constants.TICK_INTERVAL, callback=self._tick)
        self.host.deliver(TimerFired(wall=time.time()))

    def _step(self, *, now: float, event: object) -> list:
        return self.bench.forwarder.step(now=now, event=None if isinstance(event, TimerFired) else event)


def request(path: str, *, method: str = "GET") -> bytes:
    """The bytes of a caller's request that may take 20 s."""
    return f"{method} /a/{path} HTTP/1.1\r\nHost: shop\r\nx-id: id-{path}\r\nx-left: 20000\r\n\r\n".encode()
