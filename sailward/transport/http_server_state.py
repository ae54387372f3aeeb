"""What the front knows of each caller's connection and its requests."""

from __future__ import annotations

import collections
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import Respond
from sailward.transport.http_server_head import Head
from sailward.transport.http_server_reading import RequestReader


@dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """One request and, once given, its answer; the connection ends behind it if `is_last`.

    `is_reported`: the owner was told that its caller has left.
    """

    head: Head | None = None
    token: str = ""
    answer: Respond | None = None
    is_last: bool = False
    is_reported: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class Connection:
    """One caller's connection; moments in s of the reactor's clock.

    `exchanges` holds the requests whose answers are not written, in order; `reading` is the last of them while its body
    is missing. `out` holds (bytes, answers that end with them). `idle_promise` is the idle time in force at the last
    answer. `is_held`: no further request is begun until an answer has left.
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
    may_continue: bool = False
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
        """Whether no further request may be read."""
        return len(self.exchanges) + len(self.outgoing) >= constants.HTTP_SERVER_PIPELINE_DEPTH

    def may_read(self) -> bool:
        """Whether bytes are read.

        A held connection is read on for a while, so that its caller's close is seen behind requests that wait.
        """
        return not self.is_eof and (
            not self.is_paused or self.reader.byte_count < constants.HTTP_SERVER_READ_AHEAD_BYTES
        )

    def is_idle(self) -> bool:
        """Whether nothing is read, unanswered or unwritten."""
        return not (self.exchanges or self.outgoing or self.reader.has_bytes or self.is_ending)

    def may_advance(self) -> bool:
        """Whether bytes wait that may begin a further request."""
        return self.reader.has_bytes and self.reading is None and not (self.is_advancing or self.is_ending)
