"""Decodes and checks lists that one daemon sends to another: the workers, and the fleet."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from sailward.shapes import (
    Check,
    is_amount,
    is_count,
    is_flag,
    is_integer,
    is_proxy_row,
    is_text,
    list_of,
    record_of,
    row_of,
)

UNREADABLE_LIST = "rows of a received list can't be read"
"""Reason that is given when a list of workers or of the fleet from another daemon is dropped."""


def is_address(given: object) -> bool:
    """Is this of the form HOST:PORT?"""
    if not isinstance(given, str):
        return False
    host, _, port = given.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536
    return (
        is_port
        and bool(host)
        and host.isascii()
        and host.isprintable()
        and not any(character in host for character in " /@#?")
    )


_ROW_CHECKS: dict[str, Check] = {
    "id": is_text,
    "service": is_text,
    "address": is_address,
    "hall": is_text,
    "leaving": is_flag,
    "generation": is_integer,
}
is_generation_row = record_of(required=_ROW_CHECKS)
"""Check of a worker in a list that has generations."""
is_incarnation_row = record_of(required={**_ROW_CHECKS, "capacity": is_count, "cold_s": is_amount})
"""Check of a worker in a list in which each start of a worker (incarnation) has its own id."""
_is_fleet = record_of(
    required={"proxies": list_of(is_proxy_row), "cellars": list_of(row_of(is_text, is_text, is_text))},
    optional={"down": list_of(is_text)},
)


@dataclass(frozen=True, kw_only=True)
class FleetRows:
    """The fleet as received: proxies, controllers as [post, zone, region], workers that several proxies can't reach."""

    proxies: list
    controllers: list
    down: list


def read_workers(*, text: str, check: Check) -> list[dict] | None:
    """The rows of a list of workers; None if the text is not a list or a row fails the check."""
    rows = _load(text=text)
    return rows if isinstance(rows, list) and all(map(check, rows)) else None


def read_fleet(*, text: str) -> FleetRows | None:
    """Decode the fleet; None if the text is not valid."""
    decoded = _load(text=text)
    if not _is_fleet(decoded):
        return None
    return FleetRows(proxies=decoded["proxies"], controllers=decoded["cellars"], down=decoded.get("down", []))


def _load(*, text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None
