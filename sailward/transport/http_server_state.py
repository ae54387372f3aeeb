"""The HTTP server's state of each client connection and its requests."""

from __future__ import annotations

import collections
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import RequestReceived, Respond
from sailward.transport.http_server_head import Head
from sailward.transport.http_server_reading import RequestReader


@dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """One request and, once known, its answer; the connection is closed after it if `is_last`.

    `is_reported`: the owner has been notified that the client disconnected.
    """

    head: Head | None = None
    token: str = ""
    answer: Respond | None = None
    is_last: bool = False
    is_reported: bool = False

    def received(self, *, head: Head, body: bytes) -> RequestReceived:
        """The event that delivers this request to the owner."""
        return RequestReceived(
            token=self.token,
            method=head.method,
            path=head.path,
            query=head.query,
            headers=head.headers,
            body=body,
            target=head.target,
        )


@dataclass(kw_only=True, slots=True, eq=False)
class Connection:
    """One client connection; times in s on the reactor's clock.

    `exchanges` holds, in order, the requests whose answers have not been queued for writing; `reading` is the last of
    them while its body is incomplete. `outgoing` holds (bytes, number of answers that end with them).
    `announced_idle_wait` is the idle time in force at the last answer. `is_paused`: no further request is started until
    an answer has been written.
    """

    sock: socket.socket
    accepted_at: float
    reader: RequestReader = field(default_factory=RequestReader)
    active_at: float = 0.0
    written_at: float = 0.0
    announced_idle_wait: float = 0.0
    exchanges: collections.deque = field(default_factory=collections.deque)
    reading: Exchange | None = None
    outgoing: collections.deque = field(default_factory=collections.deque)
    awaits_continue: bool = False
    is_paused: bool = False
    is_ending: bool = False
    is_eof: bool = False
    is_closed: bool = False
    is_advancing: bool = False
    has_requested: bool = False
    linger_until: float | None = None
    watched_events: tuple = (False, False)
    readable: Callable | None = None
    writable: Callable | None = None

    def is_full(self) -> bool:
        """Whether the pipeline is full, so that no further request may be read."""
        return len(self.exchanges) + len(self.outgoing) >= constants.HTTP_SERVER_PIPELINE_DEPTH

    def may_read(self) -> bool:
        """Whether bytes are read from the socket.

        A paused connection is read up to a limit, so that the client's close is noticed even behind waiting requests.
        """
        return not self.is_eof and (
            not self.is_paused or self.reader.byte_count < constants.HTTP_SERVER_READ_AHEAD_BYTES
        )

    def is_idle(self) -> bool:
        """Whether nothing is buffered, unanswered or unwritten."""
        return not (self.exchanges or self.outgoing or self.reader.has_bytes or self.is_ending)

    def is_receiving(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.reading is not None or self.reader.has_bytes

    def may_advance(self) -> bool:
        """Whether there are buffered bytes that may begin a further request."""
        return self.reader.has_bytes and self.reading is None and not (self.is_advancing or self.is_ending)
