"""Strict parsing of HTTP/1.1 requests and serialization of responses, without sockets."""

from __future__ import annotations

import http
import json
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

import h11

from sailward import constants
from sailward.events import Respond

HEAD_END = b"\r\n\r\n"
"""The end of a request's head."""

_FORBIDDEN = re.compile(rb"(?<!\r)\n|\r(?!\n|\Z)|\r\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_FRAMING = re.compile(rb"\r\n(content-length|transfer-encoding|host)[ \t]*:[ \t]*([^\r]*)", re.IGNORECASE)
_LENGTH = re.compile(rb"[0-9]{1,18}")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_LAST_CHUNK = re.compile(rb"0+[ \t]*(;[^\r\n]*)?")
_CONNECTION_ONLY = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer", "te")
)
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class Refused(Exception):
    """A request that is rejected: `code` is the status of the response, `reason` its error text."""

    def __init__(self, *, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


@dataclass(kw_only=True, slots=True)
class Head:
    """A request line and headers; `length` is the body's in bytes, None for a chunked body."""

    method: str
    target: str
    path: str
    query: dict
    headers: dict
    length: int | None
    is_last: bool
    awaits_continue: bool
    parser: h11.Connection


def check_bytes(*, raw: bytearray, start: int, end: int) -> None:
    """Raise Refused for bare line ends, folded lines or control characters between the two offsets."""
    if _FORBIDDEN.search(raw, max(0, start - 2), end):
        raise Refused(code=400, reason="malformed head")


def read_head(*, raw: bytes, head_bytes: int) -> Head:
    """Parse a complete head, including its empty line; raises Refused."""
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=max(head_bytes, len(raw)))
    try:
        parser.receive_data(raw)
        event = parser.next_event()
    except h11.RemoteProtocolError as error:
        raise Refused(code=400, reason="malformed head") from error
    if type(event) is not h11.Request:
        raise Refused(code=400, reason="malformed head")
    version, target = event.http_version, event.target
    if version not in (b"1.0", b"1.1"):
        raise Refused(code=400, reason="unknown version")
    if not _TARGET.fullmatch(target) or not (target[:1] == b"/" or (target == b"*" and event.method == b"OPTIONS")):
        raise Refused(code=400, reason="malformed target")
    length = _parse_framing(raw=raw, version=version)
    headers: dict = {}
    for name, value in event.headers:
        key, text = name.decode("latin-1"), value.decode("latin-1")
        headers[key] = f"{headers[key]}, {text}" if key in headers else text
    text = target.decode("ascii")
    path, _, query = text.partition("?")
    connection = headers.get("connection")
    is_closing = connection is not None and "close" in [part.strip() for part in connection.lower().split(",")]
    return Head(
        method=event.method.decode("ascii"),
        target=text,
        path=path,
        query=dict(parse_qsl(query, keep_blank_values=True)) if query else {},
        headers=headers,
        length=length,
        is_last=version == b"1.0" or is_closing,
        awaits_continue=version == b"1.1" and headers.get("expect", "").lower() == "100-continue",
        parser=parser,
    )


def _parse_framing(*, raw: bytes, version: bytes) -> int | None:
    lengths, codings, hosts = [], [], 0
    for name, value in _FRAMING.findall(raw):
        kind = name.lower()
        if kind == b"host":
            hosts += 1
        else:
            (lengths if kind == b"content-length" else codings).append(value.strip(b" \t"))
    if hosts > 1 or (hosts == 0 and version == b"1.1"):
        raise Refused(code=400, reason="not exactly one Host")
    if codings:
        if lengths or version == b"1.0" or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise Refused(code=400, reason="malformed Transfer-Encoding")
        return None
    if not lengths:
        return 0
    if len(lengths) > 1 or not _LENGTH.fullmatch(lengths[0]):
        raise Refused(code=400, reason="malformed Content-Length")
    return int(lengths[0])


class ChunkedBody:
    """A chunked request body of at most `max_bytes` bytes; a longer one raises Refused with 413."""

    def __init__(self, *, parser: h11.Connection, max_bytes: int, tail_bytes: int) -> None:
        self._parser = parser
        self._max_bytes = max_bytes
        self._tail_bytes = tail_bytes
        self._tail = b""
        self._parts: list = []
        self._size = 0

    def feed(self, *, data: bytes) -> tuple[bytes, bytes] | None:
        """Add bytes; gives the complete body and the bytes after it, or None while it is incomplete. Raises Refused."""
        self._tail = self._tail[-self._tail_bytes :] + data
        try:
            self._parser.receive_data(data)
            while True:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    return None
                if type(event) is h11.Data:
                    self._size += len(event.data)
                    if self._size > self._max_bytes:
                        raise Refused(code=413, reason="body too long")
                    self._parts.append(bytes(event.data))
                    continue
                rest = bytes(self._parser.trailing_data[0])
                self._check_end(trailer_count=len(event.headers), rest_bytes=len(rest))
                return b"".join(self._parts), rest
        except h11.RemoteProtocolError as error:
            raise Refused(code=400, reason="malformed chunk") from error

    def _check_end(self, *, trailer_count: int, rest_bytes: int) -> None:
        section = self._tail[: len(self._tail) - rest_bytes]
        lines = section[: -len(HEAD_END)].split(b"\r\n")
        trailers = lines[len(lines) - trailer_count :]
        is_sound = (
            section.endswith(HEAD_END)
            and len(lines) > trailer_count
            and _LAST_CHUNK.fullmatch(lines[-trailer_count - 1])
        )
        if not is_sound or any(
            _FORBIDDEN.search(line) or line[:1] in b" \t" or line[-1:] == b"\r" for line in trailers
        ):
            raise Refused(code=400, reason="malformed trailer")


STOPPING = Refused(code=503, reason="stopping")
"""The refusal of a request that becomes complete after the server has stopped taking requests."""
ABANDONED = Refused(code=502, reason="stopping")
"""The refusal of a request that the owner has not answered at its end: it may have run."""


def refusal_answer(*, refused: Refused) -> Respond:
    """The server's own answer to a request that does not reach the owner; some say when to come back."""
    headers = {"Content-Type": "application/json"}
    if refused.code in (408, 503):
        headers["Retry-After"] = str(constants.HTTP_SERVER_RETRY_AFTER)
    return Respond(token="", code=refused.code, headers=headers, body=json.dumps({"error": refused.reason}).encode())


def write_response(
    *, code: int, headers: dict, body: bytes, is_closing: bool, is_head: bool, idle_wait: float
) -> bytes:
    """A complete response; a code below 200, which would not end the exchange, becomes 502."""
    if code < 200:
        code, headers, body = 502, {}, b""
    has_body = code not in (204, 304)
    lines = [f"HTTP/1.1 {code} {_REASONS.get(code, 'Unknown')}"]
    for name, value in headers.items():
        line = f"{name}: {value}"
        if name.lower() not in _CONNECTION_ONLY and "\n" not in line and "\r" not in line:
            lines.append(line)
    if has_body:
        lines.append(f"Content-Length: {len(body)}")
    if is_closing:
        lines.append("Connection: close")
    elif idle_wait >= 2:
        lines.append(f"Keep-Alive: timeout={max(1, int(idle_wait) - 1)}")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1", "replace")
    return head + body if has_body and not is_head else head
