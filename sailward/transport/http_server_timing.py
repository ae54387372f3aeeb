"""Time-outs of client connections, decided from their timestamps alone."""

from __future__ import annotations

import enum

from sailward import constants
from sailward.routing.plan import Limits
from sailward.transport.http_server_state import Connection


class TimeoutVerdict(enum.Enum):
    """What to do with a connection according to its time-outs."""

    KEEP = enum.auto()
    CLOSE = enum.auto()
    CLOSE_IDLE = enum.auto()
    HEAD_TOO_SLOW = enum.auto()
    BODY_TOO_SLOW = enum.auto()


SLOW_REQUEST_REASONS = {TimeoutVerdict.HEAD_TOO_SLOW: "head too slow", TimeoutVerdict.BODY_TOO_SLOW: "body too slow"}
"""The error text of a 408 response, by the part of the request that came too slowly."""


def check_timeouts(*, connection: Connection, now: float, limits: Limits, is_draining: bool) -> TimeoutVerdict:
    """Check a connection's time-outs; `now` is a time on the reactor's clock."""
    silent_seconds = now - connection.active_at
    if connection.linger_until is not None:
        return TimeoutVerdict.CLOSE if now >= connection.linger_until else TimeoutVerdict.KEEP
    if connection.outgoing and now - connection.written_at > constants.HTTP_SERVER_WRITE_IDLE_TIMEOUT:
        return TimeoutVerdict.CLOSE
    if connection.is_idle():
        return _check_idle_timeout(connection=connection, now=now, limits=limits, is_draining=is_draining)
    if connection.reading is not None:
        is_slow = silent_seconds > max(limits.head_wait, constants.HTTP_SERVER_BODY_IDLE_TIMEOUT)
        return TimeoutVerdict.BODY_TOO_SLOW if is_slow else TimeoutVerdict.KEEP
    is_in_head = connection.reader.has_bytes and not connection.is_paused
    return TimeoutVerdict.HEAD_TOO_SLOW if is_in_head and silent_seconds > limits.head_wait else TimeoutVerdict.KEEP


def _check_idle_timeout(*, connection: Connection, now: float, limits: Limits, is_draining: bool) -> TimeoutVerdict:
    if is_draining and (
        connection.has_requested or now - connection.accepted_at > constants.HTTP_SERVER_FIRST_REQUEST_GRACE
    ):
        return TimeoutVerdict.CLOSE_IDLE
    # the client applies the idle time announced with its last answer, counted from when that answer reached it
    max_idle = max(limits.idle_wait, connection.announced_idle_wait) + constants.HTTP_SERVER_IDLE_GRACE
    return TimeoutVerdict.CLOSE_IDLE if now - connection.active_at > max_idle else TimeoutVerdict.KEEP
