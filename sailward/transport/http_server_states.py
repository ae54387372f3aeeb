"""What the connections of an HTTP server are doing: counted when the process stops and when it ends."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable

from sailward.transport.http_server_state import Connection


class ConnectionState(enum.Enum):
    """What one connection is doing; the value is its name in the log.

    `UNWRITTEN` holds answers that are not completely written, `LINGERING` only waits for the client's close.
    """

    FRESH = "fresh"
    IDLE = "idle"
    READING_HEAD = "reading-head"
    READING_BODY = "reading-body"
    UNANSWERED = "unanswered"
    UNWRITTEN = "unwritten"
    LINGERING = "lingering"


def state_of(*, connection: Connection) -> ConnectionState:
    """The state of a connection; of several that hold, the one that is nearest to an answer to the client."""
    if connection.linger_until is not None:
        return ConnectionState.LINGERING
    if connection.outgoing:
        return ConnectionState.UNWRITTEN
    if any(exchange is not connection.reading for exchange in connection.exchanges):
        return ConnectionState.UNANSWERED
    if connection.reading is not None:
        return ConnectionState.READING_BODY
    if connection.reader.has_bytes:
        return ConnectionState.READING_HEAD
    return ConnectionState.IDLE if connection.has_requested else ConnectionState.FRESH


def count_states(*, connections: Iterable[Connection]) -> dict[str, int]:
    """The number of connections in each state, without the states that none is in."""
    return dict(Counter(state_of(connection=connection).value for connection in connections))
