"""A quick check that finds matches that are certainly valid, so that the slow shape check can skip them."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

from sailward.config.schema import HOST, MATCH, MATCH_KINDS, METHOD, NAME, PATH

_IS_PATH, _IS_HOST, _IS_METHOD, _IS_NAME = (
    re.compile(pattern).match for pattern in (PATH, HOST, METHOD, NAME["regex"])
)
_POOL_FIELDS = {"pool", "weight"}


def split_matches(*, matches: object) -> tuple[dict[int, dict], list[int]]:
    """({index: match with its defaults} of those that are certainly valid, the indexes of all others)."""
    if not isinstance(matches, list):
        return {}, []
    plain = {
        index: {**match, "methods": match.get("methods", []), "tenants": match.get("tenants", [])}
        for index, match in enumerate(matches)
        if _is_plain(match=match)
    }
    return plain, [index for index in range(len(matches)) if index not in plain]


def _is_plain(*, match: Any) -> bool:
    return (
        type(match) is dict
        and MATCH.keys() >= match.keys()
        and _is_text(given=match.get("path"), pattern=_IS_PATH)
        and _are_pools(pools=match.get("pools"))
        and all(_FIELD_CHECKS[name](match[name]) for name in match if name in _FIELD_CHECKS)
    )


def _are_pools(*, pools: Any) -> bool:
    return (
        type(pools) is list
        and 0 < len(pools) <= MATCH["pools"]["maxlength"]
        and all(
            type(pool) is dict
            and pool.keys() == _POOL_FIELDS
            and _is_text(given=pool["pool"], pattern=_IS_NAME)
            and type(pool["weight"]) is int
            and 0 <= pool["weight"] <= 1000000
            for pool in pools
        )
    )


def _is_text(*, given: object, pattern: Callable[[str], re.Match[str] | None]) -> bool:
    # `$` also matches before a newline at the end: texts that end in one are left to the slow check
    return type(given) is str and not given.endswith("\n") and pattern(given) is not None


def _are_texts(*, given: object, pattern: Callable[[str], re.Match[str] | None]) -> bool:
    return type(given) is list and all(_is_text(given=item, pattern=pattern) for item in given)


def _is_number(*, given: Any, low: float, high: float) -> bool:
    return type(given) in (int, float) and math.isfinite(given) and low <= given <= high


_FIELD_CHECKS: dict[str, Callable[[Any], bool]] = {
    "methods": lambda given: _are_texts(given=given, pattern=_IS_METHOD),
    "tenants": lambda given: _are_texts(given=given, pattern=_IS_NAME),
    "homes": lambda given: _are_texts(given=given, pattern=_IS_NAME),
    "host": lambda given: _is_text(given=given, pattern=_IS_HOST),
    "name": lambda given: type(given) is str and len(given) <= MATCH["name"]["maxlength"],
    "kind": lambda given: type(given) is str and given in MATCH_KINDS,
    "expiry_s": lambda given: _is_number(given=given, low=0.05, high=3600),
    "target_s": lambda given: _is_number(given=given, low=0, high=1e6),
    "tries": lambda given: type(given) is int and 1 <= given <= 10,
    "rank": lambda given: type(given) is int and given >= 0,
    "across": lambda given: type(given) is bool,
}
