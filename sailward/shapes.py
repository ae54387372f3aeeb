"""Shapes of decoded data from outside: small checks that are put together into the check of a whole message or record.

Each check takes any value and says whether it fits. None raises, whatever it is given.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

Check = Callable[[object], bool]

INTEGER_MAX = 1 << 62
"""The largest whole number that is taken: two of them can be added in the 64 bits of a message."""


def is_text(value: object) -> bool:
    """Is it a string?"""
    return isinstance(value, str)


def is_flag(value: object) -> bool:
    """Is it true or false?"""
    return isinstance(value, bool)


def is_bytes(value: object) -> bool:
    """Is it a string of bytes?"""
    return isinstance(value, (bytes, bytearray))


def is_integer(value: object) -> bool:
    """Is it a whole number of a size that can be reckoned with?"""
    return isinstance(value, int) and not isinstance(value, bool) and -INTEGER_MAX <= value <= INTEGER_MAX


def is_count(value: object) -> bool:
    """Is it a whole number, at least 0?"""
    return is_integer(value) and value >= 0  # type: ignore[operator]


def is_number(value: object) -> bool:
    """Is it a finite number?"""
    return is_integer(value) or (isinstance(value, float) and math.isfinite(value))


def is_amount(value: object) -> bool:
    """Is it a finite number, at least 0?"""
    return is_number(value) and value >= 0  # type: ignore[operator]


def is_anything(value: object) -> bool:
    """Nothing is asked of it: it is carried along, or ignored."""
    return True


def list_of(check: Check, *, min_length: int = 0) -> Check:
    """A list of at least so many, each of which fits."""
    return lambda value: isinstance(value, list) and len(value) >= min_length and all(map(check, value))


def row_of(*checks: Check) -> Check:
    """A list of just these."""
    return lambda value: (
        isinstance(value, list)
        and len(value) == len(checks)
        and all(check(item) for check, item in zip(checks, value, strict=True))
    )


def map_of(check: Check, *, keys: Check = is_text) -> Check:
    """A map whose names and values all fit."""
    return lambda value: isinstance(value, dict) and all(map(keys, value)) and all(map(check, value.values()))


def record_of(*, required: Mapping[str, Check], optional: Mapping[str, Check] | None = None) -> Check:
    """A map with all the required fields, and optional ones that fit where they are there; others are ignored."""
    allowed = optional or {}

    def check(value: object) -> bool:
        return (
            isinstance(value, dict)
            and all(name in value and fits(value[name]) for name, fits in required.items())
            and all(fits(value[name]) for name, fits in allowed.items() if name in value)
        )

    return check


def either_of(*checks: Check) -> Check:
    """What fits one of them."""
    return lambda value: any(check(value) for check in checks)


is_proxy_row = row_of(is_text, is_text, is_text, is_text, is_flag)
"""A proxy as controllers tell it: [name, address, zone, region, is it fit]."""
