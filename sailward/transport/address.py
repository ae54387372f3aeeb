"""Persistent TCP connections between daemons, one in each direction for each pair, served by threads."""

from __future__ import annotations

import collections
import contextlib
import queue
import socket
import struct
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sailward import constants
from sailward.consensus.messages import BadMessage, pack_message, read_message
from sailward.events import MessageReceived
from sailward.runtime.logs import write_log

LENGTH = struct.Struct(">I")
"""Header of a frame: length of the payload in bytes."""
GREETING = b"sailward/1 "
"""Begins the first frame of a connection; the sender's address follows."""


class ThreadedMessageTransport:
    """Task that owns the message sockets. `send` puts a message in its peer's send queue."""

    def __init__(self, *, address: str, deliver: Callable[[object], None], threads: ThreadPoolExecutor) -> None:
        self._address, self._deliver, self._threads = address, deliver, threads
        self._send_queues: dict[str, queue.Queue] = {}
        self.counts: collections.Counter = collections.Counter()
        host, port = split_address(address=address)
        self._listener = socket.create_server((host, port), backlog=64, reuse_port=False)

    def start(self) -> None:
        """Start to accept connections."""
        self._threads.submit(self._accept)

    def send(self, *, to: str, body: dict) -> None:
        """Send a message, or drop it if the peer's queue is full."""
        if to == self._address:
            self._deliver(MessageReceived(sender=to, body=body))
            return
        send_queue = self._send_queues.get(to)
        if send_queue is None:
            send_queue = self._send_queues[to] = queue.Queue(maxsize=constants.SEND_QUEUE_LENGTH)
            self._threads.submit(self._send_queued, to, send_queue)
        try:
            send_queue.put_nowait(body)
        except queue.Full:
            self.counts["dropped"] += 1

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._threads.submit(self._receive, connection)

    def _receive(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as stream:
            sender = _read_greeting(stream=stream)
            if sender is None:
                self._report_bad_message(sender="unknown", reason="greeting")
                return
            while True:
                head = stream.read(LENGTH.size)
                if len(head) < LENGTH.size:
                    return
                (length,) = LENGTH.unpack(head)
                if length > constants.MAX_FRAME_BYTES:
                    self._report_bad_message(sender=sender, reason="too-long")
                    return
                payload = stream.read(length)
                if len(payload) < length:
                    return
                body = read_message(payload=payload)
                if isinstance(body, BadMessage):
                    self._report_bad_message(sender=sender, reason=body.reason)
                    return
                self.counts["heard"] += 1
                self.counts["heard-bytes"] += length
                self._deliver(MessageReceived(sender=sender, body=body))

    def _report_bad_message(self, *, sender: str, reason: str) -> None:
        self.counts["bad"] += 1
        write_log(
            event="bad-message", fields={"from": sender, "reason": reason, "count": self.counts["bad"]}, level="warning"
        )

    def _send_queued(self, to: str, send_queue: queue.Queue) -> None:
        connection = None
        while True:
            body = send_queue.get()
            if connection is not None and _is_closed(connection=connection):
                connection.close()
                connection = None
            if connection is None:
                connection = self._dial(to=to, send_queue=send_queue)
                if connection is None:
                    continue
            try:
                payload = pack_message(body=body)
                connection.sendall(LENGTH.pack(len(payload)) + payload)
                self.counts["sent"] += 1
                self.counts["sent-bytes"] += len(payload)
            except OSError:
                connection.close()
                connection = None

    def _dial(self, *, to: str, send_queue: queue.Queue) -> socket.socket | None:
        try:
            connection = socket.create_connection(split_address(address=to), timeout=constants.CONNECT_TIMEOUT)
            connection.settimeout(constants.LEASE_DURATION)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # bytes that a partition held back for longer than a lease must not be delivered after it heals
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.LEASE_DURATION * 1000))
            greeting = GREETING + self._address.encode()
            connection.sendall(LENGTH.pack(len(greeting)) + greeting)
            return connection
        except (OSError, ValueError):
            # messages queued during the pause are out of date, and the owners retry by themselves
            time.sleep(constants.CONNECT_BACKOFF)
            with contextlib.suppress(queue.Empty):
                while True:
                    send_queue.get_nowait()
            return None


def split_address(*, address: str) -> tuple[str, int]:
    """Split `host:port` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _read_greeting(*, stream) -> str | None:
    head = stream.read(LENGTH.size)
    if len(head) < LENGTH.size:
        return None
    (length,) = LENGTH.unpack(head)
    greeting = stream.read(length) if length < 200 else b""
    if not greeting.startswith(GREETING):
        return None
    return greeting[len(GREETING) :].decode("ascii", "replace")


def _is_closed(*, connection: socket.socket) -> bool:
    try:
        connection.setblocking(False)
        return connection.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        with contextlib.suppress(OSError):
            connection.settimeout(constants.LEASE_DURATION)
