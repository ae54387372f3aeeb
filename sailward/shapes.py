"""Shapes of decoded data from outside: small checks that are put together into the check of a whole message or record.

Each check takes any value and says whether it fits. None raises, whatever it is given.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

Check = Callable[[object], bool]

INTEGER_MAX = 1 << 62
"""The largest whole number that is taken: two of them can be added in the 64 bits of a message."""


def is_text(given: object) -> bool:
    """Is it a string?"""
    return isinstance(given, str)


def is_flag(given: object) -> bool:
    """Is it true or false?"""
    return isinstance(given, bool)


def is_bytes(given: object) -> bool:
    """Is it a string of bytes?"""
    return isinstance(given, (bytes, bytearray))


def is_complete(given: object) -> bool:
    """Is it a whole number of a size that can be reckoned with?"""
    return isinstance(given, int) and not isinstance(given, bool) and -INTEGER_MAX <= given <= INTEGER_MAX


def is_count(given: object) -> bool:
    """Is it a whole number, at least 0?"""
    return is_complete(given) and given >= 0  # type: ignore[operator]


def is_number(given: object) -> bool:
    """Is it a finite number?"""
    return is_complete(given) or (isinstance(given, float) and math.isfinite(given))


def is_amount(given: object) -> bool:
    """Is it a finite number, at least 0?"""
    return is_number(given) and given >= 0  # type: ignore[operator]


def is_anything(given: object) -> bool:
    """Nothing is asked of it: it is carried along, or ignored."""
    return True


def list_of(check: Check, *, least: int = 0) -> Check:
    """A list of at least so many, each of which fits."""
    return lambda given: isinstance(given, list) and len(given) >= least and all(map(check, given))


def row_of(*checks: Check) -> Check:
    """A list of just these."""
    return lambda given: (
        isinstance(given, list)
        and len(given) == len(checks)
        and all(check(item) for check, item in zip(checks, given, strict=True))
    )


def map_of(check: Check, *, names: Check = is_text) -> Check:
    """A map whose names and values all fit."""
    return lambda given: isinstance(given, dict) and all(map(names, given)) and all(map(check, given.values()))


def record_of(*, needed: Mapping[str, Check], optional: Mapping[str, Check] | None = None) -> Check:
    """A map with all the needed fields, and optional ones that fit where they are there; others are ignored."""
    allowed = optional or {}

    def check(given: object) -> bool:
        return (
            isinstance(given, dict)
            and all(name in given and fits(given[name]) for name, fits in needed.items())
            and all(fits(given[name]) for name, fits in allowed.items() if name in given)
        )

    return check


def either_of(*checks: Check) -> Check:
    """What fits one of them."""
    return lambda given: any(check(given) for check in checks)


is_proxy_row = row_of(is_text, is_text, is_text, is_text, is_flag)
"""A proxy as controllers tell it: [name, address, zone, region, is it fit]."""
