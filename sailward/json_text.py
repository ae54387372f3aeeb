"""Strict reading of JSON from outside: what is accepted can be traversed, compared and written again without errors."""

from __future__ import annotations

import json
import math
import re
from typing import Any

from sailward import constants

_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")


class BadJson(ValueError):
    """The text is not JSON that is accepted here; the message says why."""


def load_json(*, text: bytes | str, duplicates: list[str] | None = None) -> Any:
    """The value in a text (UTF-8). Raises BadJson, and nothing else, whatever the text is.

    Besides text that is not JSON, it refuses nesting deeper than MAX_JSON_DEPTH, numbers of more than MAX_JSON_DIGITS
    digits or outside the range of a float, and unpaired surrogates. Names that occur twice in one object are added to
    `duplicates`.
    """
    try:
        decoded = text.decode("utf-8-sig") if isinstance(text, bytes) else text
        value = json.loads(
            decoded,
            object_pairs_hook=None
            if duplicates is None
            else lambda pairs: _report_duplicates(pairs=pairs, duplicates=duplicates),
            parse_constant=_refuse_constant,
            parse_int=_read_integer,
            parse_float=_read_float,
        )
    except (ValueError, RecursionError) as fault:
        raise BadJson(f"not JSON: {fault}") from fault
    _check_depth(value=value)
    if _SURROGATE.search(decoded):
        _check_unicode(value=value)
    return value


def _report_duplicates(*, pairs: list, duplicates: list[str]) -> dict:
    names = [name for name, _ in pairs]
    if len(set(names)) < len(names):
        duplicates += sorted({name for name in names if names.count(name) > 1})
    return dict(pairs)


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _read_integer(digits: str) -> int:
    if len(digits) > constants.MAX_JSON_DIGITS:
        raise ValueError(f"a number of {len(digits)} digits")
    return int(digits)


def _read_float(digits: str) -> float:
    number = float(digits)
    if not math.isfinite(number):
        raise ValueError(f"a number out of range: {digits[:20]}")
    return number


def _check_depth(*, value: Any) -> None:
    level = [value]
    for _ in range(constants.MAX_JSON_DEPTH + 1):
        level = (
            [
                child
                for item in level
                for child in (item.values() if isinstance(item, dict) else item)
                if isinstance(child, (dict, list))
            ]
            if isinstance(value, (dict, list))
            else []
        )
        if not level:
            return
    raise BadJson(f"nested deeper than {constants.MAX_JSON_DEPTH}")


def _check_unicode(*, value: object) -> None:
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError as fault:
        raise BadJson("half of a surrogate pair stands alone") from fault
