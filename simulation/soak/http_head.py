"""Minimal reading and writing of HTTP/1.1 messages for the callers and workers of the soak test."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, kw_only=True)
class HttpMessage:
    """A message: the fields of its start line, its headers by lower-case name, its body."""

    start_line: tuple[str, ...]
    headers: dict[str, str]
    body: bytes


async def read_message(*, reader: asyncio.StreamReader) -> HttpMessage:
    """Read the next message. Raises IncompleteReadError if the stream ends first, OSError on a reset."""
    start, *lines = (await reader.readuntil(HEAD_END)).decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(start_line=tuple(start.split()), headers=headers, body=body)


def write_message(*, start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + HEAD_END + body
