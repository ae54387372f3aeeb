"""Validation of decoded data from outside: small checks that are combined into the check of a message or record.

Each check takes any value and says whether it is valid. None raises, whatever it is given.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

Check = Callable[[object], bool]

INTEGER_MAX = 1 << 62
"""The largest integer that is accepted: the sum of two fits into the 64 bits of a message."""


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
    """Is it an integer from -INTEGER_MAX to INTEGER_MAX?"""
    return isinstance(value, int) and not isinstance(value, bool) and -INTEGER_MAX <= value <= INTEGER_MAX


def is_count(value: object) -> bool:
    """Is it such an integer, at least 0?"""
    return is_integer(value) and value >= 0  # type: ignore[operator]


def is_number(value: object) -> bool:
    """Is it a finite number?"""
    return is_integer(value) or (isinstance(value, float) and math.isfinite(value))


def is_amount(value: object) -> bool:
    """Is it a finite number, at least 0?"""
    return is_number(value) and value >= 0  # type: ignore[operator]


def is_anything(value: object) -> bool:
    """Accept any value: it is passed on unchecked, or ignored."""
    return True


def list_of(check: Check, *, min_length: int = 0) -> Check:
    """A list of at least `min_length` items, all of them valid."""
    return lambda value: isinstance(value, list) and len(value) >= min_length and all(map(check, value))


def row_of(*checks: Check) -> Check:
    """A list with exactly one item for each check, in their order."""
    return lambda value: (
        isinstance(value, list)
        and len(value) == len(checks)
        and all(check(item) for check, item in zip(checks, value, strict=True))
    )


def map_of(check: Check, *, keys: Check = is_text) -> Check:
    """A map whose keys and values are all valid."""
    return lambda value: isinstance(value, dict) and all(map(keys, value)) and all(map(check, value.values()))


def record_of(*, required: Mapping[str, Check], optional: Mapping[str, Check] | None = None) -> Check:
    """A map with all the required fields, and valid optional ones where present; other fields are ignored."""
    allowed = optional or {}

    def check(value: object) -> bool:
        return (
            isinstance(value, dict)
            and all(name in value and fits(value[name]) for name, fits in required.items())
            and all(fits(value[name]) for name, fits in allowed.items() if name in value)
        )

    return check


def either_of(*checks: Check) -> Check:
    """A value that one of these checks accepts."""
    return lambda value: any(check(value) for check in checks)


is_proxy_row = row_of(is_text, is_text, is_text, is_text, is_flag)
"""A proxy as controllers report it: [name, address, zone, region, is it ready]."""
