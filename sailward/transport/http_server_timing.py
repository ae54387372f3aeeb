"""How long a caller's connection may take or rest: judged from its times alone."""

from __future__ import annotations

import enum

from sailward import constants
from sailward.routing.plan import Limits
from sailward.transport.http_server_state import Connection


class Verdict(enum.Enum):
    """What becomes of a connection by its times."""

    STAYS = enum.auto()
    ENDS = enum.auto()
    IDLE_ENDS = enum.auto()
    HEAD_TOO_SLOW = enum.auto()
    BODY_TOO_SLOW = enum.auto()


def judge_time(*, connection: Connection, now: float, limits: Limits, is_leaving: bool) -> Verdict:
    """Judge a connection at a moment of the reactor's clock."""
    quiet = now - connection.moved
    if connection.linger is not None:
        return Verdict.ENDS if now >= connection.linger else Verdict.STAYS
    if connection.out and now - connection.wrote > constants.HTTP_SERVER_WRITE_IDLE_TIMEOUT:
        return Verdict.ENDS
    if connection.is_idle():
        return _judge_idle(connection=connection, now=now, limits=limits, is_leaving=is_leaving)
    if connection.reading is not None:
        is_slow = quiet > max(limits.head_wait, constants.HTTP_SERVER_BODY_IDLE_TIMEOUT)
        return Verdict.BODY_TOO_SLOW if is_slow else Verdict.STAYS
    is_in_head = connection.reader.has_bytes and not connection.is_held
    return Verdict.HEAD_TOO_SLOW if is_in_head and quiet > limits.head_wait else Verdict.STAYS


def _judge_idle(*, connection: Connection, now: float, limits: Limits, is_leaving: bool) -> Verdict:
    if is_leaving and (connection.has_requested or now - connection.since > constants.HTTP_SERVER_FIRST_REQUEST_GRACE):
        return Verdict.IDLE_ENDS
    # the caller counts from the time that it was told with its last answer, and from when that answer reached it
    allowed = max(limits.idle_wait, connection.idle_promise) + constants.HTTP_SERVER_IDLE_GRACE
    return Verdict.IDLE_ENDS if now - connection.moved > allowed else Verdict.STAYS
