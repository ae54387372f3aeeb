"""One thread that owns a process's sockets and alarms: runs callbacks when a socket is ready or a time is reached."""

from __future__ import annotations

import collections
import contextlib
import heapq
import itertools
import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Alarm:
    """A callback scheduled for a time; `cancel` prevents it."""

    callback: Callable | None

    def cancel(self) -> None:
        """Prevent the callback."""
        self.callback = None


@dataclass(kw_only=True)
class Watch:
    """The callbacks of one socket; writability is polled only while its callback is set."""

    readable: Callable | None = None
    writable: Callable | None = None


@dataclass(kw_only=True)
class Reactor:
    """Task that waits for sockets and alarms. All callbacks run on the thread that calls `run`."""

    clock: Callable[[], float] = time.monotonic
    _selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    _alarms: list = field(default_factory=list)
    _count: itertools.count = field(default_factory=itertools.count)
    _callbacks_from_threads: collections.deque = field(default_factory=collections.deque)
    _pending_callbacks: collections.deque = field(default_factory=collections.deque)
    _stopped: bool = False

    def __post_init__(self) -> None:
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self.watch(sock=self._wake_in, readable=self._drain_wakes)

    def watch(self, *, sock: socket.socket, readable: Callable | None = None, writable: Callable | None = None) -> None:
        """Call `readable` or `writable`, without arguments, when the socket is; with both None, unregister it."""
        events = (selectors.EVENT_READ if readable else 0) | (selectors.EVENT_WRITE if writable else 0)
        known = sock.fileno() >= 0 and sock in self._selector.get_map()
        if not events:
            if known:
                self._selector.unregister(sock)
            return
        watch = Watch(readable=readable, writable=writable)
        if known:
            self._selector.modify(sock, events, watch)
        else:
            self._selector.register(sock, events, watch)

    def call_later(self, *, delay: float, callback: Callable) -> Alarm:
        """Run the callback once, `delay` seconds from now."""
        alarm = Alarm(callback=callback)
        heapq.heappush(self._alarms, (self.clock() + delay, next(self._count), alarm))
        return alarm

    def call_soon(self, *, callback: Callable) -> None:
        """Run the callback before the next wait; only from the reactor's own thread."""
        self._pending_callbacks.append(callback)

    def call_from_thread(self, *, callback: Callable) -> None:
        """Run the callback on the reactor's thread; may be used from any thread."""
        self._callbacks_from_threads.append(callback)
        with contextlib.suppress(BlockingIOError):
            self._wake_out.send(b"x")

    def stop(self) -> None:
        """Make `run` return."""
        self._stopped = True

    def run(self) -> None:
        """Run callbacks until `stop`."""
        while not self._stopped:
            self._run_due_alarms()
            while self._pending_callbacks:
                self._pending_callbacks.popleft()()
            if self._stopped:
                return
            wait = max(0.0, self._alarms[0][0] - self.clock()) if self._alarms else 1.0
            for key, events in self._selector.select(wait):
                watch = key.data
                # an earlier callback may have closed the socket
                if events & selectors.EVENT_READ and self._is_watched(key=key):
                    watch.readable()
                if events & selectors.EVENT_WRITE and self._is_watched(key=key) and watch.writable:
                    watch.writable()

    def _is_watched(self, *, key: selectors.SelectorKey) -> bool:
        current = self._selector.get_map().get(key.fd)
        return current is not None and current.data is key.data

    def _run_due_alarms(self) -> None:
        now = self.clock()
        while self._alarms and self._alarms[0][0] <= now:
            _, _, alarm = heapq.heappop(self._alarms)
            callback, alarm.callback = alarm.callback, None
            if callback is not None:
                callback()

    def _drain_wakes(self) -> None:
        try:
            while self._wake_in.recv(4096):
                pass
        except BlockingIOError:
            pass
        while self._callbacks_from_threads:
            self._callbacks_from_threads.popleft()()
