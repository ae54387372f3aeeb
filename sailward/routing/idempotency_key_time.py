"""Idempotency keys with a timestamp (UUIDv7, RFC 9562): a retry after its claim has expired is recognized."""

from __future__ import annotations

import re

from sailward import constants

UUID7 = re.compile(r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", re.IGNORECASE)


def read_time(*, key: str) -> float | None:
    """When the key was made, in s of wall-clock time; None if it has no timestamp."""
    match = UUID7.fullmatch(key)
    return int(match[1] + match[2], 16) / 1000 if match else None


def judge_key(*, key: str, wall_time: float | None, is_required: bool) -> tuple[int, str, str] | None:
    """(code, reason, detail) if the key can't be accepted now. `wall_time` is None while it is unknown."""
    made_at = read_time(key=key)
    if made_at is None:
        return (400, "key-untimed", "this service needs keys that tell their time: UUIDv7") if is_required else None
    if wall_time is None:
        return (503, "clock-unknown", "the core's clocks are not known yet") if is_required else None
    if made_at > wall_time + constants.KEY_MAX_CLOCK_SKEW:
        return 400, "key-of-the-future", f"made {made_at - wall_time:.0f} s after now: set your clock"
    if wall_time - made_at > constants.CLAIM_TTL - constants.KEY_EXPIRY_MARGIN:
        return 410, "key-too-old", f"made {wall_time - made_at:.0f} s ago: what became of it is not remembered any more"
    return None
