"""HTTP calls to workers and the platform, on a reactor.

Every connection belongs to one owner and carries one call at a time.
"""

from __future__ import annotations

import errno
import functools
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import CallFinished, StartCall
from sailward.runtime.reactor import Alarm, Reactor
from sailward.transport.http_exchange import Broken, CompleteResponse, Exchange
from sailward.wire_names import WireNames

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close resets the connection and discards its unsent bytes."""
CLEAN, SURPLUS, GONE = "clean", "surplus", "gone"
"""States of a connection without a request: nothing to read, unexpected bytes, closed by the peer."""

CONNECT_FAULTS = {errno.ECONNREFUSED: "refused", errno.ETIMEDOUT: "connect-timeout"}
"""Faults of failed connects by errno: `refused` is the reply of a running machine with no listener on the port."""


@dataclass(kw_only=True, eq=False)
class Connection:
    """An owner's connection. `is_last`: it is closed after its current call."""

    owner: str
    address: str
    sock: socket.socket
    running: ActiveCall | None = None
    is_open: bool = False
    is_kept_alive: bool = False
    is_last: bool = False
    idle_until: float = 0.0


@dataclass(kw_only=True, eq=False)
class ActiveCall:
    """A call in flight. `is_sent`: the operating system has accepted at least one byte of it."""

    call: StartCall
    deadline: float
    connect_by: float = float("inf")
    exchange: Exchange | None = None
    connection: Connection | None = None
    unsent: memoryview = field(default_factory=lambda: memoryview(b""))
    is_sent: bool = False
    is_broken: bool = False
    alarm: Alarm | None = None


class HttpClient:
    """Makes the calls on the reactor's thread.

    Delivers one CallFinished for each call that isn't cancelled, never from within `start`.

    The client never resends a request of which the operating system has accepted a byte.
    """

    def __init__(self, *, reactor: Reactor, deliver: Callable[[object], None], names: WireNames) -> None:
        self._reactor = reactor
        self._deliver = deliver
        self._names = names
        self._running: dict[str, ActiveCall] = {}
        self._idle: dict[str, list[Connection]] = {}
        self._alarm: Alarm | None = None
        self._opened = 0
        self._reused = 0
        self._stale = 0
        self._surplus = 0

    def start(self, *, call: StartCall) -> None:
        """Start a call. A call in flight with the same token is cancelled first: a token identifies one call."""
        self.cancel(token=call.token)
        running = ActiveCall(call=call, deadline=self._reactor.clock() + call.timeout)
        self._running[call.token] = running
        if call.timeout < constants.HTTP_CLIENT_SHORT_TIMEOUT:
            running.alarm = self._reactor.call_later(
                delay=call.timeout, callback=functools.partial(self._check_deadlines, running=running)
            )
        self._schedule_sweep()
        self._reactor.call_soon(callback=functools.partial(self._begin, running=running))

    def cancel(self, *, token: str) -> None:
        """Abort a call's connection; no CallFinished follows. Does nothing for a call that has ended."""
        running = self._running.get(token)
        if running is not None:
            self._end_call(running=running, is_aborted=True)

    def withdraw(self, *, token: str) -> None:
        """Fail a call with `withdrawn` if the operating system has accepted no byte of it; otherwise it continues."""
        running = self._running.get(token)
        if running is not None and not running.is_sent:
            self._fail(running=running, fault="withdrawn")

    def close_connections(self, *, owner: str) -> None:
        """Close the owner's idle connections now and its busy ones after their responses."""
        for connection in self._idle.pop(owner, []):
            self._close(connection=connection, is_aborted=False)
        for running in self._running.values():
            if running.connection is not None and running.connection.owner == owner:
                running.connection.is_last = True

    def counts(self) -> dict:
        """Counts of connections: opened, reused, kept ones found dead (`stale`), idle ones closed for surplus bytes.

        Also how many connections are idle or busy now, and how many calls are in flight.
        """
        return {
            "opened": self._opened,
            "reused": self._reused,
            "stale": self._stale,
            "surplus": self._surplus,
            "idle": sum(len(pool) for pool in self._idle.values()),
            "busy": sum(1 for running in self._running.values() if running.connection is not None),
            "calls": len(self._running),
        }

    def _is_running(self, *, running: ActiveCall) -> bool:
        return self._running.get(running.call.token) is running

    def _begin(self, *, running: ActiveCall) -> None:
        if not self._is_running(running=running):
            return
        call, now = running.call, self._reactor.clock()
        if now > call.begin_by:
            self._fail(running=running, fault="too-late")
            return
        if now >= running.deadline:
            self._fail(running=running, fault="timed-out")
            return
        try:
            running.exchange = Exchange(call=call, exchange_name=self._names.exchange_id)
        except ValueError:
            self._fail(running=running, fault="malformed")
            return
        running.unsent = memoryview(running.exchange.request)
        connection = None if call.fresh else self._take_idle(owner=call.owner, address=call.address)
        if connection is None:
            self._dial(running=running)
            return
        connection.running, running.connection = running, connection
        self._reused += 1
        self._send(running=running)

    def _take_idle(self, *, owner: str, address: str) -> Connection | None:
        now = self._reactor.clock()
        for connection in reversed(self._idle.get(owner, [])[:]):
            if connection.address != address:
                continue
            self._remove_from_pool(connection=connection)
            state = _peek(sock=connection.sock)
            if now < connection.idle_until and state == CLEAN:
                return connection
            self._count_unusable(state=state)
            self._close(connection=connection, is_aborted=False)
        return None

    def _count_unusable(self, *, state: str) -> None:
        self._stale += state == GONE
        self._surplus += state == SURPLUS

    def _dial(self, *, running: ActiveCall) -> None:
        call = running.call
        sock = None
        try:
            family, socket_address = _resolve(address=call.address)
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.LEASE_DURATION * 1000))
            code = sock.connect_ex(socket_address)
        except (OSError, ValueError, OverflowError):
            code = errno.EADDRNOTAVAIL
        if code not in (0, errno.EINPROGRESS):
            if sock is not None:
                sock.close()
            self._fail(running=running, fault=CONNECT_FAULTS.get(code, "no-connection"))
            return
        connection = Connection(owner=call.owner, address=call.address, sock=sock, running=running)
        running.connection = connection
        running.connect_by = self._reactor.clock() + (call.dial or constants.CONNECT_TIMEOUT)
        self._reactor.watch(sock=sock, writable=functools.partial(self._on_dialled, connection=connection))

    def _on_dialled(self, *, connection: Connection) -> None:
        running = connection.running
        code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(running=running, fault=CONNECT_FAULTS.get(code, "no-connection"))
            return
        connection.is_open = True
        self._opened += 1
        self._reactor.watch(sock=connection.sock, readable=functools.partial(self._on_readable, connection=connection))
        now = self._reactor.clock()
        state = _peek(sock=connection.sock)
        if state != CLEAN:
            self._fail(running=running, fault="surplus" if state == SURPLUS else "connection-lost")
        elif now > running.call.begin_by or now >= running.deadline:
            running.connection = connection.running = None
            self._return_to_pool(connection=connection, idle=constants.HTTP_CLIENT_IDLE_TIMEOUT)
            self._fail(running=running, fault="too-late" if now > running.call.begin_by else "timed-out")
        else:
            self._send(running=running)

    def _send(self, *, running: ActiveCall) -> None:
        connection = running.connection
        try:
            while running.unsent:
                count = connection.sock.send(running.unsent)
                running.is_sent = True
                running.unsent = running.unsent[count:]
        except BlockingIOError:
            self._reactor.watch(
                sock=connection.sock,
                readable=functools.partial(self._on_readable, connection=connection),
                writable=functools.partial(self._on_writable, connection=connection),
            )
        except OSError:
            self._on_send_failed(running=running)

    def _on_writable(self, *, connection: Connection) -> None:
        running = connection.running
        self._send(running=running)
        if running.connection is connection and not running.unsent:
            self._reactor.watch(
                sock=connection.sock, readable=functools.partial(self._on_readable, connection=connection)
            )

    def _on_send_failed(self, *, running: ActiveCall) -> None:
        connection = running.connection
        if running.is_sent:
            # a response may have arrived before the connection broke: continue reading
            running.is_broken = True
            running.unsent = memoryview(b"")
            self._reactor.watch(
                sock=connection.sock, readable=functools.partial(self._on_readable, connection=connection)
            )
        elif connection.is_kept_alive:
            self._stale += 1
            running.connection = None
            self._close(connection=connection, is_aborted=True)
            self._dial(running=running)
        else:
            self._fail(running=running, fault="connection-lost")

    def _on_readable(self, *, connection: Connection) -> None:
        running = connection.running
        if running is None:
            state = _peek(sock=connection.sock)
            if state != CLEAN:
                self._count_unusable(state=state)
                self._remove_from_pool(connection=connection)
                self._close(connection=connection, is_aborted=False)
            return
        try:
            data = connection.sock.recv(constants.HTTP_CLIENT_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data and not running.is_sent:
            self._fail(running=running, fault="surplus")
            return
        result = running.exchange.feed(data=data) if data else running.exchange.end()
        if isinstance(result, Broken):
            self._fail(running=running, fault=result.fault)
        elif isinstance(result, CompleteResponse):
            self._finish(running=running, response=result)

    def _finish(self, *, running: ActiveCall, response: CompleteResponse) -> None:
        connection = running.connection
        if running.unsent or running.is_broken:
            self._end_call(running=running, is_aborted=True)
        else:
            running.connection = connection.running = None
            self._end_call(running=running, is_aborted=False)
            self._return_to_pool(connection=connection, idle=response.idle)
        self._deliver(
            CallFinished(
                token=running.call.token,
                code=response.code,
                headers=response.headers,
                body=response.body,
                fault="",
                sent=True,
            )
        )

    def _fail(self, *, running: ActiveCall, fault: str) -> None:
        self._end_call(running=running, is_aborted=True)
        self._deliver(
            CallFinished(
                token=running.call.token,
                code=0,
                headers={},
                body=b"",
                fault=fault,
                sent=running.is_sent,
            )
        )

    def _end_call(self, *, running: ActiveCall, is_aborted: bool) -> None:
        del self._running[running.call.token]
        if running.alarm is not None:
            running.alarm.cancel()
        connection, running.connection = running.connection, None
        if connection is not None:
            connection.running = None
            self._close(connection=connection, is_aborted=is_aborted)

    def _return_to_pool(self, *, connection: Connection, idle: float) -> None:
        if connection.is_last or idle <= 0:
            self._close(connection=connection, is_aborted=False)
            return
        connection.is_kept_alive = True
        connection.idle_until = self._reactor.clock() + idle
        pool = self._idle.setdefault(connection.owner, [])
        pool.append(connection)
        if len(pool) > constants.HTTP_CLIENT_MAX_IDLE_CONNECTIONS:
            self._close(connection=pool.pop(0), is_aborted=False)
        self._schedule_sweep()

    def _remove_from_pool(self, *, connection: Connection) -> None:
        pool = self._idle[connection.owner]
        pool.remove(connection)
        if not pool:
            del self._idle[connection.owner]

    def _close(self, *, connection: Connection, is_aborted: bool) -> None:
        """Close it. An abort also discards unsent bytes: they must not arrive after a network partition heals."""
        self._reactor.watch(sock=connection.sock)
        if is_aborted:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.sock.close()

    def _schedule_sweep(self) -> None:
        if self._alarm is None and (self._running or self._idle):
            self._alarm = self._reactor.call_later(delay=constants.HTTP_CLIENT_SWEEP_INTERVAL, callback=self._sweep)

    def _sweep(self) -> None:
        self._alarm = None
        for running in list(self._running.values()):
            self._check_deadlines(running=running)
        now = self._reactor.clock()
        for connection in [pooled for pool in self._idle.values() for pooled in pool if pooled.idle_until <= now]:
            self._remove_from_pool(connection=connection)
            self._close(connection=connection, is_aborted=False)
        self._schedule_sweep()

    def _check_deadlines(self, *, running: ActiveCall) -> None:
        if not self._is_running(running=running):
            return
        now, connection = self._reactor.clock(), running.connection
        if connection is not None and connection.is_open:
            if now >= running.deadline:
                # a response may be waiting in the socket: read it before giving up
                self._on_readable(connection=connection)
                if self._is_running(running=running):
                    self._fail(running=running, fault="timed-out")
        elif now > running.call.begin_by:
            self._fail(running=running, fault="too-late")
        elif now >= min(running.deadline, running.connect_by):
            self._fail(running=running, fault="connect-timeout" if connection is not None else "timed-out")


def _peek(*, sock: socket.socket) -> str:
    try:
        return SURPLUS if sock.recv(1, socket.MSG_PEEK) else GONE
    except BlockingIOError:
        return CLEAN
    except OSError:
        return GONE


def _resolve(*, address: str) -> tuple[int, tuple]:
    """The address family and socket address of `host:port`. A host name is resolved, which may block."""
    host, _, port = address.rpartition(":")
    if not 0 < int(port) < 1 << 16:
        raise ValueError(port)
    family, _, _, _, socket_address = socket.getaddrinfo(host.strip("[]"), int(port), type=socket.SOCK_STREAM)[0]
    return family, socket_address
