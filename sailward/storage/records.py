"""The schema of the records on a controller's disk."""

from __future__ import annotations

from sailward.consensus.acceptor import KNOWN_VOTERS_RECORD
from sailward.consensus.messages import is_ballot, is_readable, is_value
from sailward.shapes import Check, is_count, is_text, record_of

RECORD_CHECKS: dict[str, Check] = {
    "identity": record_of(required={"id": is_text}),
    "copied": record_of(required={}),
    "opened": record_of(required={"n": is_count}),
    "left": record_of(required={"id": is_text}),
    "promise": record_of(required={"r": is_text, "b": is_ballot}, optional={"v": is_value}),
    "vote": record_of(required={"r": is_text, "b": is_ballot, "v": is_value}),
    "drop": record_of(required={"r": is_text}),
}
"""The check of the fields, by kind of record."""


def is_record(record: object) -> bool:
    """Is it a valid record? A record of a kind unknown to this version counts as one."""
    if not isinstance(record, dict) or not isinstance(record.get("k"), str):
        return False
    check = RECORD_CHECKS.get(record["k"])
    if check is None:
        return True
    if not check(record):
        return False
    register = "voters" if record.get("r") == KNOWN_VOTERS_RECORD else record.get("r", "")
    return "v" not in record or is_readable(register=register, text=record["v"]["text"])
