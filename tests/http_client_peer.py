"""A scriptable loopback peer, and an HttpClient on a reactor with its own thread, for the tests of the client."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
import threading
import time
from collections.abc import Callable

from sailward.events import CallFinished, StartCall
from sailward.runtime.reactor import Reactor
from sailward.transport.http_client import HttpClient
from sailward.wire_names import WireNames

WAIT = 8.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def make_call(
    *,
    token: str,
    address: str,
    owner: str = "w",
    method: str = "GET",
    path: str = "/",
    headers: dict | None = None,
    body: bytes = b"",
    timeout: float = 5.0,
    fresh: bool = False,
    begin_by: float = float("inf"),
) -> StartCall:
    """A call as an owner starts it, with plain defaults."""
    return StartCall(
        token=token,
        owner=owner,
        address=address,
        method=method,
        path=path,
        headers=headers or {},
        body=body,
        timeout=timeout,
        fresh=fresh,
        begin_by=begin_by,
    )


class PeerConnection:
    """One connection as the peer sees it."""

    def __init__(self, *, sock: socket.socket, number: int) -> None:
        self.sock = sock
        self.number = number
        self.unread = b""

    def read(self) -> bytes:
        """Read one request, head and body; b"" at EOF, b"reset" at a reset."""
        try:
            while b"\r\n\r\n" not in self.unread:
                if not self._more():
                    return b""
            head, _, _ = self.unread.partition(b"\r\n\r\n")
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                ),
                0,
            )
            size = len(head) + 4 + length
            while len(self.unread) < size:
                if not self._more():
                    return b""
        except ConnectionResetError:
            return b"reset"
        request, self.unread = self.unread[:size], self.unread[size:]
        return request

    def send(self, answer: bytes) -> None:
        self.sock.sendall(answer)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def _more(self) -> bool:
        data = self.sock.recv(1 << 20)
        self.unread += data
        return bool(data)


class Peer:
    """A listener that runs `serve` for each connection on its own thread."""

    def __init__(self, *, serve: Callable[[PeerConnection], None]) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.seen: queue.Queue = queue.Queue()
        self.connections: list[PeerConnection] = []
        self._serve = serve
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            connection = PeerConnection(sock=sock, number=len(self.connections))
            self.connections.append(connection)
            threading.Thread(target=self._serve_connection, args=(connection,), daemon=True).start()

    def _serve_connection(self, connection: PeerConnection) -> None:
        with contextlib.suppress(OSError):
            self._serve(connection)

    def get(self) -> object:
        return self.seen.get(timeout=WAIT)


class Edge:
    """An HttpClient on a reactor with its own thread."""

    def __init__(self) -> None:
        self.finished: queue.Queue = queue.Queue()
        self.reactor = Reactor()
        self.http_client = HttpClient(reactor=self.reactor, deliver=self.finished.put, names=WireNames())
        self._peers: list[Peer] = []
        self._count = 0
        self._thread = threading.Thread(target=self.reactor.run, daemon=True)
        self._thread.start()

    def peer(self, *, serve: Callable[[PeerConnection], None]) -> Peer:
        self._peers.append(Peer(serve=serve))
        return self._peers[-1]

    def answering_peer(self, *answers: bytes) -> Peer:
        """A peer that sends the answers in order across all connections, then repeats the last forever.

        Records (connection number, request) in `seen`.
        """
        remaining = list(answers)

        def serve(connection: PeerConnection) -> None:
            while (request := connection.read()) not in (b"", b"reset"):
                answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
                peer.seen.put((connection.number, request))
                connection.send(answer)
            peer.seen.put((connection.number, request))

        peer = self.peer(serve=serve)
        return peer

    def on_reactor(self, function: Callable) -> object:
        done: queue.Queue = queue.Queue()
        self.reactor.call_from_thread(callback=lambda: done.put(function()))
        return done.get(timeout=WAIT)

    def start(
        self,
        *,
        address: str,
        owner: str = "w",
        method: str = "GET",
        path: str = "/a",
        headers: dict | None = None,
        body: bytes = b"",
        wait: float = 5.0,
        fresh: bool = False,
        begin_by: float = float("inf"),
        token: str = "",
    ) -> str:
        self._count += 1
        token = token or f"t{self._count}"
        call = make_call(
            token=token,
            owner=owner,
            address=address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            timeout=wait,
            fresh=fresh,
            begin_by=begin_by,
        )
        self.on_reactor(lambda: self.http_client.start(call=call))
        return token

    def ask(self, **given: object) -> CallFinished:
        token = self.start(**given)
        result = self.finished.get(timeout=WAIT)
        assert result.token == token
        return result

    def counts(self) -> dict:
        return self.on_reactor(self.http_client.counts)

    def wait_until(self, **wanted: int) -> None:
        end = time.monotonic() + WAIT
        while not wanted.items() <= self.counts().items():
            assert time.monotonic() < end, (wanted, self.counts())
            time.sleep(0.01)

    def stop(self) -> None:
        self.reactor.call_from_thread(callback=self.reactor.stop)
        self._thread.join(timeout=WAIT)
        for peer in self._peers:
            peer.listener.close()
