"""HTTP calls to workers and the platform: one task that owns all their sockets."""

from __future__ import annotations

import collections
import contextlib
import hashlib
import io
import os
import select
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pycurl

from sailward import constants
from sailward.events import Call, Called

ABORT = struct.pack("ii", 1, 0)
FAULTS = {
    pycurl.E_COULDNT_CONNECT: "no-connection",
    pycurl.E_OPERATION_TIMEDOUT: "timed-out",
    pycurl.E_PARTIAL_FILE: "cut-short",
    pycurl.E_GOT_NOTHING: "connection-lost",
    pycurl.E_RECV_ERROR: "connection-lost",
    pycurl.E_SEND_ERROR: "connection-lost",
    pycurl.E_WRITE_ERROR: "too-large",
}


@dataclass(kw_only=True)
class Live:
    """One call under way."""

    call: Call
    handle: pycurl.Curl
    body: io.BytesIO = field(default_factory=io.BytesIO)
    headers: dict = field(default_factory=dict)


class Calls:
    """Task that makes the calls. `give` puts one in line; `run` makes them for ever."""

    def __init__(self, *, tell: Callable[[object], None]) -> None:
        self._tell = tell
        self._line: collections.deque = collections.deque()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._multi = pycurl.CurlMulti()
        self._live: dict = {}
        self._spare: list[pycurl.Curl] = []
        self._openers: dict[int, Live] = {}
        self._clean: dict[int, str] = {}

    def give(self, *, call: Call) -> None:
        """Put a call in line."""
        self._line.append(call)
        with contextlib.suppress(BlockingIOError):
            self._wake_out.send(b"x")

    def run(self) -> None:
        """Make calls for ever."""
        while True:
            while self._line:
                self._begin(call=self._line.popleft())
            while self._multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
                pass
            self._collect()
            if self._line:
                continue
            reads, writes, others = self._multi.fdset()
            wait = min(1.0, max(0.0, self._multi.timeout() / 1000)) if self._live else 1.0
            ready, _, _ = select.select(
                [self._wake_in, *reads], writes, others, wait if self._multi.timeout() >= 0 else 1.0
            )
            if self._wake_in in ready:
                self._wake_in.recv(4096)

    def _begin(self, *, call: Call) -> None:
        if time.monotonic() > call.begin_by:
            self._tell(Called(token=call.token, code=0, headers={}, body=b"", fault="too-late", sent=False))
            return
        handle = self._spare.pop() if self._spare else pycurl.Curl()
        live = Live(call=call, handle=handle)
        self._clean = {fd: owner for fd, owner in self._clean.items() if owner != call.owner}
        handle.setopt(pycurl.SOCKOPTFUNCTION, lambda fd, _: self._open_socket(fd=fd, live=live))
        handle.setopt(pycurl.CLOSESOCKETFUNCTION, lambda fd: self._close_socket(fd=fd))
        host, port = call.address.rsplit(":", 1)
        # a connection belongs to its owner: a name of its own keeps it apart in the cache
        name = hashlib.blake2b(call.owner.encode(), digest_size=12).hexdigest()
        handle.setopt(pycurl.URL, f"http://{name}:{port}{call.path}")
        handle.setopt(pycurl.CONNECT_TO, [f"{name}:{port}:{host}:{port}"])
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.PATH_AS_IS, 1)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.MAXAGE_CONN, constants.IDLE_CALL)
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(call.wait * 1000)))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(min(call.wait, constants.DIAL_WAIT) * 1000)))
        if call.fresh:
            # a kept connection that dies is tried again by the library: never for an unsafe exchange
            handle.setopt(pycurl.FRESH_CONNECT, 1)
            handle.setopt(pycurl.FORBID_REUSE, 1)
        headers = {
            "host": call.address,
            "expect": "",
            "accept": "",
            "user-agent": "sailward",
            "content-type": "",
            **call.headers,
        }
        handle.setopt(pycurl.HTTPHEADER, [f"{n}: {v}" if v != "" else f"{n}:" for n, v in headers.items()])
        if call.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        elif call.body or call.method in ("POST", "PUT", "PATCH"):
            handle.setopt(pycurl.POSTFIELDS, call.body)
        if call.method not in ("GET", "HEAD"):
            handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(pycurl.HEADERFUNCTION, lambda line: _take_header(live=live, line=line))
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: _take_body(live=live, data=data))
        self._live[handle] = live
        self._multi.add_handle(handle)

    def _open_socket(self, *, fd: int, live: Live) -> int:
        with _borrow(fd=fd) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.LEASE * 1000))
        self._openers[fd] = live
        return pycurl.SOCKOPT_OK

    def _close_socket(self, *, fd: int) -> int:
        """A call given up takes its bytes along: what the socket still holds must not arrive after a cut heals."""
        opener = self._openers.pop(fd, None)
        is_clean = self._clean.pop(fd, None) is not None or (
            opener is not None and opener.call.fresh and bool(opener.headers)
        )
        if not is_clean:
            with _borrow(fd=fd) as connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
        os.close(fd)
        return 0

    def _collect(self) -> None:
        while True:
            left, good, bad = self._multi.info_read()
            for handle in good:
                self._finish(handle=handle, errno=0)
            for handle, errno, _ in bad:
                self._finish(handle=handle, errno=errno)
            if not left:
                return

    def _finish(self, *, handle: pycurl.Curl, errno: int) -> None:
        live = self._live.pop(handle)
        token = live.call.token
        if errno:
            unsent = errno == pycurl.E_COULDNT_CONNECT or (
                errno == pycurl.E_OPERATION_TIMEDOUT and handle.getinfo(pycurl.CONNECT_TIME) == 0
            )
            called = Called(
                token=token, code=0, headers={}, body=b"", sent=not unsent, fault=FAULTS.get(errno, f"call:{errno}")
            )
        else:
            if not live.call.fresh:
                self._clean[handle.getinfo(pycurl.LASTSOCKET)] = live.call.owner
            called = Called(
                token=token,
                code=handle.getinfo(pycurl.RESPONSE_CODE),
                headers=live.headers,
                body=live.body.getvalue(),
                fault="",
                sent=True,
            )
        self._multi.remove_handle(handle)
        handle.reset()
        if len(self._spare) < constants.CALL_THREADS:
            self._spare.append(handle)
        self._tell(called)


@contextlib.contextmanager
def _borrow(*, fd: int) -> Iterator[socket.socket]:
    """The socket of a descriptor that stays the library's."""
    connection = socket.socket(fileno=fd)
    try:
        yield connection
    finally:
        connection.detach()


def _take_header(*, live: Live, line: bytes) -> None:
    text = line.decode("latin-1").strip()
    if text.startswith("HTTP/"):
        live.headers.clear()
        return
    name, colon, value = text.partition(":")
    if colon:
        name = name.strip().lower()
        live.headers[name] = f"{live.headers[name]}, {value.strip()}" if name in live.headers else value.strip()


def _take_body(*, live: Live, data: bytes) -> int | None:
    if live.body.tell() + len(data) > constants.RESULT_BYTES:
        return 0
    live.body.write(data)
    return None
