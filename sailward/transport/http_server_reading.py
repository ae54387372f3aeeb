"""Parsing successive requests from the bytes of one connection, without sockets."""

from __future__ import annotations

from sailward.routing.plan import Limits
from sailward.transport.http_server_head import HEAD_END, ChunkedBody, Head, Refused, check_bytes, read_head


class RequestReader:
    """Holds the bytes of one connection that are not yet parsed.

    A request is read by `read_head`, `begin_body`, then `read_body` until that returns the body. All raise Refused for
    an invalid request; no further request is then read from the connection.
    """

    def __init__(self) -> None:
        self._raw = bytearray()
        self._scanned = 0
        self._has_skipped_line = False
        self._length = 0
        self._chunks: ChunkedBody | None = None

    @property
    def has_bytes(self) -> bool:
        """Whether unparsed bytes are buffered."""
        return bool(self._raw)

    @property
    def byte_count(self) -> int:
        """Number of unparsed bytes."""
        return len(self._raw)

    def feed(self, *, data: bytes) -> None:
        """Add received bytes."""
        self._raw += data

    def clear(self) -> None:
        """Discard the unparsed bytes and a partly read body."""
        self._raw.clear()
        self._chunks = None

    def read_head(self, *, limits: Limits) -> Head | None:
        """The next request's head, or None while it is incomplete."""
        raw = self._raw
        if not self._skip_empty_line():
            return None
        found = raw.find(HEAD_END, max(0, self._scanned - len(HEAD_END) + 1))
        end = len(raw) if found < 0 else found + len(HEAD_END)
        check_bytes(raw=raw, start=self._scanned, end=end)
        if end > limits.head_bytes:
            raise Refused(code=431, reason="head too long")
        if found < 0:
            self._scanned = end
            return None
        head = read_head(raw=bytes(raw[:end]), head_bytes=limits.head_bytes)
        del raw[:end]
        self._scanned, self._has_skipped_line = 0, False
        return head

    def begin_body(self, *, head: Head, limits: Limits) -> None:
        """Begin to read the body that belongs to this head."""
        self._length, self._chunks = head.length or 0, None
        if head.length is None:
            self._chunks = ChunkedBody(parser=head.parser, max_bytes=limits.body_bytes, tail_bytes=limits.head_bytes)
        elif head.length > limits.body_bytes:
            raise Refused(code=413, reason="body too long")

    def read_body(self) -> bytes | None:
        """The complete body, or None while it is incomplete."""
        if self._chunks is not None:
            return self._read_chunks(chunks=self._chunks)
        if len(self._raw) < self._length:
            return None
        body = bytes(self._raw[: self._length])
        del self._raw[: self._length]
        return body

    def _read_chunks(self, *, chunks: ChunkedBody) -> bytes | None:
        if not self._raw:
            return None
        data = bytes(self._raw)
        self._raw.clear()
        complete = chunks.feed(data=data)
        if complete is None:
            return None
        body, rest = complete
        self._raw += rest
        self._chunks = None
        return body

    def _skip_empty_line(self) -> bool:
        """Skip one empty line before a request; False while there are too few bytes to tell."""
        raw = self._raw
        if raw[:1] != b"\r" or self._scanned:
            return bool(raw)
        if self._has_skipped_line or (len(raw) > 1 and raw[1:2] != b"\n"):
            raise Refused(code=400, reason="malformed head")
        if len(raw) == 1:
            return False
        del raw[:2]
        self._has_skipped_line = True
        return self._skip_empty_line()
