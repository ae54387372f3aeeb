"""HTTP calls to workers and the platform by libcurl: one task that owns all their sockets."""

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
from sailward.events import CallFinished, CancelCall, StartCall
from sailward.wire_names import WireNames, has_other_exchange_id

NAMES = WireNames()
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close resets the connection and discards its unsent bytes."""
FAULTS = {
    pycurl.E_COULDNT_CONNECT: "no-connection",
    pycurl.E_OPERATION_TIMEDOUT: "timed-out",
    pycurl.E_PARTIAL_FILE: "cut-short",
    pycurl.E_GOT_NOTHING: "connection-lost",
    pycurl.E_RECV_ERROR: "connection-lost",
    pycurl.E_SEND_ERROR: "connection-lost",
    pycurl.E_WRITE_ERROR: "too-large",
}
"""Faults of calls by libcurl's error code; a write error means that `take_body` refused the data."""


@dataclass(kw_only=True)
class ActiveCall:
    """One call in flight, and the part of its response received so far."""

    call: StartCall
    handle: pycurl.Curl
    body: io.BytesIO = field(default_factory=io.BytesIO)
    headers: dict = field(default_factory=dict)
    fault: str = ""
    is_dialled: bool = False
    is_head_read: bool = False
    is_interim: bool = False

    def take_header(self, *, line: bytes) -> int | None:
        """Read one line of a response head, also of an interim response; 0 ends the call and its connection."""
        if self.is_head_read and not self.is_interim:
            return None  # trailers are ignored: they may not decide what became of the exchange
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers.clear()
            self.is_head_read, self.is_interim = False, text.partition(" ")[2].startswith("1")
        elif not text:
            self.is_head_read = True
            return self._check_name()
        else:
            name, _, value = (part.strip() for part in text.partition(":"))
            name = name.lower()
            self.headers[name] = f"{self.headers[name]}, {value}" if name in self.headers else value
        return None

    def take_body(self, *, data: bytes) -> int | None:
        """Read a piece of the body; 0 ends a call whose body is too large."""
        if self.body.tell() + len(data) > constants.MAX_RESULT_BYTES:
            self.fault = "too-large"
            return 0
        self.body.write(data)
        return None

    def find_fault(self, *, errno: int) -> str:
        """Why a response that the library reports as finished is incomplete, "" if it is complete."""
        if self.fault or errno:
            return self.fault or FAULTS.get(errno, f"call:{errno}")
        if not self.is_head_read:
            return "cut-short"
        code = self.handle.getinfo(pycurl.RESPONSE_CODE)
        has_body = self.call.method != "HEAD" and code not in (204, 304)
        is_framed = "content-length" in self.headers or "transfer-encoding" in self.headers
        # delimited only by the end of the connection: a truncated response would look complete
        return "cut-short" if has_body and not is_framed else ""

    def may_be_sent(self, *, errno: int) -> bool:
        """Whether a byte of the request may have been sent."""
        if self.handle.getinfo(pycurl.REQUEST_SIZE):
            return True
        # the library also reports a connect time of 0 for a reused connection: it is conclusive only for one that this
        # call opened
        is_unconnected = self.is_dialled and self.handle.getinfo(pycurl.CONNECT_TIME) == 0
        return errno != pycurl.E_COULDNT_CONNECT and not (errno == pycurl.E_OPERATION_TIMEDOUT and is_unconnected)

    def _check_name(self) -> int | None:
        exchange = NAMES.exchange_id
        asked = {name.lower(): value for name, value in self.call.headers.items()}.get(exchange, "")
        if has_other_exchange_id(request_id=asked, response_id=self.headers.get(exchange, "")):
            self.fault = "another-exchange"
            return 0
        return None


class CurlClient:
    """Task that makes the calls. `start` queues one, `cancel` ends one; `run` carries them out forever."""

    def __init__(self, *, deliver: Callable[[object], None]) -> None:
        self._deliver = deliver
        self._queue: collections.deque = collections.deque()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._multi = pycurl.CurlMulti()
        self._active: dict = {}
        self._free_handles: list[pycurl.Curl] = []
        self._openers: dict[int, ActiveCall] = {}
        self._completed_sockets: dict[int, str] = {}

    def start(self, *, call: StartCall) -> None:
        """Queue a call."""
        self._enqueue(command=call)

    def cancel(self, *, token: str) -> None:
        """Abort a call's connection; no CallFinished follows, unless it is already being delivered."""
        self._enqueue(command=CancelCall(token=token))

    def _enqueue(self, *, command: StartCall | CancelCall) -> None:
        self._queue.append(command)
        with contextlib.suppress(BlockingIOError):
            self._wake_out.send(b"x")

    def run(self) -> None:
        """Carry out the queued calls forever."""
        while True:
            while self._queue:
                self._carry_out(command=self._queue.popleft())
            while self._multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
                pass
            self._collect()
            if self._queue:
                continue
            reads, writes, others = self._multi.fdset()
            wait = min(1.0, max(0.0, self._multi.timeout() / 1000)) if self._active else 1.0
            ready, _, _ = select.select(
                [self._wake_in, *reads], writes, others, wait if self._multi.timeout() >= 0 else 1.0
            )
            if self._wake_in in ready:
                self._wake_in.recv(4096)

    def _carry_out(self, *, command: StartCall | CancelCall) -> None:
        if isinstance(command, StartCall):
            self._begin_or_refuse(call=command)
            return
        for active in list(self._active.values()):
            if active.call.token == command.token:
                self._release(handle=active.handle)

    def _release(self, *, handle: pycurl.Curl) -> ActiveCall:
        """Take a handle out of use; its connection is aborted if its call has not ended."""
        active: ActiveCall = self._active.pop(handle)
        self._multi.remove_handle(handle)
        handle.reset()
        if len(self._free_handles) < constants.HTTP_CLIENT_THREADS:
            self._free_handles.append(handle)
        return active

    def _begin_or_refuse(self, *, call: StartCall) -> None:
        """Start a call, or fail it at once as malformed: its address and headers are not validated before."""
        try:
            self._begin(call=call)
        except (ValueError, TypeError, pycurl.error):
            self._deliver(CallFinished(token=call.token, code=0, headers={}, body=b"", fault="malformed", sent=False))

    def _begin(self, *, call: StartCall) -> None:
        if time.monotonic() > call.begin_by:
            self._deliver(CallFinished(token=call.token, code=0, headers={}, body=b"", fault="too-late", sent=False))
            return
        handle = self._free_handles.pop() if self._free_handles else pycurl.Curl()
        active = ActiveCall(call=call, handle=handle)
        self._completed_sockets = {fd: owner for fd, owner in self._completed_sockets.items() if owner != call.owner}
        handle.setopt(pycurl.SOCKOPTFUNCTION, lambda fd, _: self._open_socket(fd=fd, active=active))
        handle.setopt(pycurl.CLOSESOCKETFUNCTION, lambda fd: self._close_socket(fd=fd))
        _set_connection(handle=handle, call=call)
        _set_request(handle=handle, call=call)
        handle.setopt(pycurl.HEADERFUNCTION, lambda line: active.take_header(line=line))
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: active.take_body(data=data))
        self._active[handle] = active
        self._multi.add_handle(handle)

    def _open_socket(self, *, fd: int, active: ActiveCall) -> int:
        with _borrow_socket(fd=fd) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.LEASE_DURATION * 1000))
        self._openers[fd] = active
        active.is_dialled = True
        return pycurl.SOCKOPT_OK

    def _close_socket(self, *, fd: int) -> int:
        """Close a socket and discard an aborted call's unsent bytes: they must not arrive after a partition heals."""
        opener = self._openers.pop(fd, None)
        has_completed = self._completed_sockets.pop(fd, None) is not None or (
            opener is not None and opener.call.fresh and bool(opener.headers)
        )
        if not has_completed:
            with _borrow_socket(fd=fd) as connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        os.close(fd)
        return 0

    def _collect(self) -> None:
        while True:
            queued_messages, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._finish(handle=handle, errno=0)
            for handle, errno, _ in failed:
                self._finish(handle=handle, errno=errno)
            if not queued_messages:
                return

    def _finish(self, *, handle: pycurl.Curl, errno: int) -> None:
        active = self._active[handle]
        token = active.call.token
        fault = active.find_fault(errno=errno)
        if fault:
            is_sent = active.may_be_sent(errno=errno)
            result = CallFinished(token=token, code=0, headers={}, body=b"", sent=is_sent, fault=fault)
        else:
            if not active.call.fresh:
                self._completed_sockets[handle.getinfo(pycurl.LASTSOCKET)] = active.call.owner
            result = CallFinished(
                token=token,
                code=handle.getinfo(pycurl.RESPONSE_CODE),
                headers=active.headers,
                body=active.body.getvalue(),
                fault="",
                sent=True,
            )
        self._release(handle=handle)
        self._deliver(result)


@contextlib.contextmanager
def _borrow_socket(*, fd: int) -> Iterator[socket.socket]:
    """A socket object for a descriptor that the library continues to own."""
    connection = socket.socket(fileno=fd)
    try:
        yield connection
    finally:
        connection.detach()


def _set_connection(*, handle: pycurl.Curl, call: StartCall) -> None:
    """Set the destination, the choice of connection and the time-outs."""
    host, port = call.address.rsplit(":", 1)
    # a connection belongs to its owner: a host name per owner separates them in the connection cache
    name = hashlib.blake2b(call.owner.encode(), digest_size=12).hexdigest()
    handle.setopt(pycurl.URL, f"http://{name}:{port}{call.path}")
    handle.setopt(pycurl.CONNECT_TO, [f"{name}:{port}:{host}:{port}"])
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.PATH_AS_IS, 1)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.MAXAGE_CONN, constants.HTTP_CLIENT_IDLE_TIMEOUT)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout * 1000)))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(min(call.timeout, constants.CONNECT_TIMEOUT) * 1000)))
    if call.fresh:
        # the library retries when a reused connection dies, which is never allowed for an unsafe exchange
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)


def _set_request(*, handle: pycurl.Curl, call: StartCall) -> None:
    """Set the request. The library adds no headers of its own."""
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
