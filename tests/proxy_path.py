"""A proxy's HTTP server, forwarder and HTTP client on loopback sockets, with workers that the test plays.

The server and the client are opened as a hosted proxy opens them.
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
from sailward.programs.hosted import HostedDaemon, open_listener, response_handlers
from sailward.routing.plan import Limits
from sailward.runtime.host import Host
from sailward.runtime.reactor import Reactor
from sailward.transport.http_client import HttpClient
from tests.http_server_harness import WAIT_TIMEOUT
from tests.proxy_kit import NAMES, ForwarderHarness, make_plan, make_worker


class WorkerCall:
    """One connection to the worker: the bytes received on it, and whether it has ended."""

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
        """The path of the request, once its head is complete."""
        deadline = time.monotonic() + WAIT_TIMEOUT
        while b"\r\n\r\n" not in self.raw:
            assert time.monotonic() < deadline, "no request arrived"
            time.sleep(0.002)
        return self.raw.split()[1].decode()

    def answer(self, *, body: bytes) -> None:
        """Answer as the intended worker."""
        name = next(line for line in self.raw.split(b"\r\n") if line.lower().startswith(b"x-id: "))
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\n%s\r\nx-seal: s\r\nContent-Length: %d\r\n\r\n" % (name, len(body)) + body
        )


class ProxyPath:
    """A proxy's server, forwarder and client on a thread of their own, and workers that listen at one address.

    `end` must be called.
    """

    def __init__(self, *, workers: int = 1, **match: object) -> None:
        self._worker = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._worker.getsockname()[1]}"
        listed = [dataclasses.replace(make_worker(f"w{index}"), address=self.address) for index in range(workers)]
        self.bench = ForwarderHarness(workers=listed, plan=make_plan(**{"expiry_s": 30.0, "target_s": 20.0, **match}))
        self.reactor = Reactor()
        self.host = Host(reactor=self.reactor)
        self.calls: queue.Queue[WorkerCall] = queue.Queue()
        location = Location(name="p0", kind="proxy", zone="north-a", region="north", post="", http="")
        hosted = HostedDaemon(location=location, names=NAMES, listen={"front": "127.0.0.1:0"})
        self.front = open_listener(hosted=hosted, edge="front", reactor=self.reactor, host=self.host, limits=Limits)
        self.client = HttpClient(reactor=self.reactor, deliver=self.host.deliver, names=NAMES)
        self.host.handlers = {
            StartCall: lambda command: self.client.start(call=command),
            CancelCall: lambda command: self.client.cancel(token=command.token),
            WithdrawCall: lambda command: self.client.withdraw(token=command.token),
            **response_handlers(hosted=hosted, listeners={"front": self.front}),
        }
        self.host.step = self._step
        self._tick()
        threading.Thread(target=self._accept, daemon=True).start()
        self._thread = threading.Thread(target=self.reactor.run, daemon=True)
        self._thread.start()
        self._client_sockets: list[socket.socket] = []

    def send(self, *requests: bytes) -> socket.socket:
        """Connect as a client and send these requests."""
        client_socket = socket.create_connection(("127.0.0.1", self.front.port), timeout=WAIT_TIMEOUT)
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client_socket.sendall(b"".join(requests))
        self._client_sockets.append(client_socket)
        return client_socket

    def next_call(self) -> WorkerCall:
        """The next connection at the worker, once its request has arrived."""
        call = self.calls.get(timeout=WAIT_TIMEOUT)
        call.path()
        return call

    def on_reactor(self, function):
        """Call the function on the reactor's thread and return its result."""
        results: queue.Queue = queue.Queue()
        self.reactor.call_from_thread(callback=lambda: results.put(function()))
        return results.get(timeout=WAIT_TIMEOUT)

    def until(self, function) -> None:
        """Wait until the function returns true on the reactor's thread."""
        deadline = time.monotonic() + WAIT_TIMEOUT
        while not self.on_reactor(function):
            assert time.monotonic() < deadline, "the condition never became true"
            time.sleep(0.005)

    def settle(self) -> None:
        """Let the reactor process what has arrived, and run a few ticks."""
        for _ in range(4):
            time.sleep(constants.TICK_INTERVAL)
            self.on_reactor(lambda: None)

    def end(self) -> None:
        """Stop the reactor and close the sockets."""
        self.reactor.call_from_thread(callback=self.reactor.stop)
        self._thread.join(WAIT_TIMEOUT)
        for sock in (*self._client_sockets, self._worker):
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
    """The bytes of a client's request that may take 20 s."""
    return f"{method} /a/{path} HTTP/1.1\r\nHost: shop\r\nx-id: id-{path}\r\nx-left: 20000\r\n\r\n".encode()
