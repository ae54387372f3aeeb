"""The schema of the records on a controller's disk."""

from __future__ import annotations

from sailward.consensus.acceptor import KNOWN
from sailward.consensus.messages import is_ballot, is_readable, is_value
from sailward.shapes import Check, is_count, is_text, record_of

RECORD_CHECKS: dict[str, Check] = {
    "identity": record_of(needed={"id": is_text}),
    "copied": record_of(needed={}),
    "opened": record_of(needed={"n": is_count}),
    "left": record_of(needed={"id": is_text}),
    "promise": record_of(needed={"r": is_text, "b": is_ballot}, optional={"v": is_value}),
    "vote": record_of(needed={"r": is_text, "b": is_ballot, "v": is_value}),
    "drop": record_of(needed={"r": is_text}),
}
"""The check of the fields, by kind of record."""


def is_record(given: object) -> bool:
    """Is it a valid record? A record of a kind unknown to this version counts as one."""
    if not isinstance(given, dict) or not isinstance(given.get("k"), str):
        return False
    check = RECORD_CHECKS.get(given["k"])
    if check is None:
        return True
    if not check(given):
        return False
    register = "voters" if given.get("r") == KNOWN else given.get("r", "")
    return "v" not in given or is_readable(register=register, text=given["v"]["text"])
