"""What the front knows of each caller's connection and its requests."""

from __future__ import annotations

import collections
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import Answer
from sailward.transport.front_head import ChunkedBody, Head


@dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """One request and, once given, its answer; the connection ends behind it if `is_last`."""

    head: Head | None = None
    token: str = ""
    answer: Answer | None = None
    is_last: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class Connection:
    """One caller's connection; moments in s of the reactor's clock."""

    sock: socket.socket
    since: float
    raw: bytearray = field(default_factory=bytearray)
    scanned: int = 0
    has_skipped: bool = False
    moved: float = 0.0
    wrote: float = 0.0
    exchanges: collections.deque = field(default_factory=collections.deque)
    reading: Exchange | None = None
    chunks: ChunkedBody | None = None
    out: collections.deque = field(default_factory=collections.deque)
    may_continue: bool = False
    is_ending: bool = False
    is_eof: bool = False
    is_gone: bool = False
    is_busy: bool = False
    has_asked: bool = False
    linger: float | None = None
    watched: tuple = (False, False)
    readable: Callable | None = None
    writable: Callable | None = None

    def is_full(self) -> bool:
        """Whether no further request may be read."""
        return len(self.exchanges) + len(self.out) >= constants.FRONT_DEPTH

    def is_idle(self) -> bool:
        """Whether nothing is read, unanswered or unwritten."""
        return not (self.exchanges or self.out or self.raw or self.is_ending)
