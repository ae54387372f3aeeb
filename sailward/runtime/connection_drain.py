"""The last phase of a process: its owner has ended, and its HTTP servers serve their connections to the end."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from sailward import constants
from sailward.runtime.reactor import Reactor


class DrainableServer(Protocol):
    """An HTTP server that can be drained."""

    def drain(self) -> None:
        """Close each connection after its answers."""

    def close_listener(self) -> None:
        """Stop accepting connections."""

    def refuse_requests(self) -> None:
        """Refuse each request that becomes complete from now on."""

    def abandon_requests(self) -> None:
        """Answer what the owner has not answered."""

    def refuse_unfinished(self) -> None:
        """Answer each request that is not complete."""

    def connection_count(self) -> int:
        """Open connections."""


@dataclass(kw_only=True)
class ConnectionDrain:
    """Task that calls `on_drained` once no server has a connection, or when the time is over.

    Clients may finish sending for `timeout` s; what is incomplete is refused then. FLUSH_TIMEOUT later, the last
    answers are taken for written. It never ends before FLUSH_TIMEOUT, as messages to other daemons leave too.
    """

    reactor: Reactor
    servers: Sequence[DrainableServer]
    timeout: float
    on_drained: Callable[[], None]

    def begin(self) -> None:
        """Take over from the owner."""
        now = self.reactor.clock()
        self._earliest_end = now + constants.FLUSH_TIMEOUT
        self._refuse_at: float | None = now + self.timeout
        self._latest_end = self._refuse_at + constants.FLUSH_TIMEOUT
        for server in self.servers:
            server.close_listener()
            server.refuse_requests()
            server.drain()
            server.abandon_requests()
        self._check()

    def _check(self) -> None:
        now = self.reactor.clock()
        if self._refuse_at is not None and now >= self._refuse_at:
            self._refuse_at = None
            for server in self.servers:
                server.refuse_unfinished()
        is_drained = not any(server.connection_count() for server in self.servers)
        if now >= (self._earliest_end if is_drained else self._latest_end):
            self.on_drained()
            return
        self.reactor.call_later(delay=constants.TICK_INTERVAL, callback=self._check)
