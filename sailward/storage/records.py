"""The shapes of the records on a controller's disk."""

from __future__ import annotations

from sailward.consensus.acceptor import KNOWN_VOTERS_RECORD
from sailward.consensus.messages import is_ballot, is_readable, is_value
from sailward.shapes import Check, is_count, is_text, record_of

RECORDS: dict[str, Check] = {
    "identity": record_of(required={"id": is_text}),
    "copied": record_of(required={}),
    "opened": record_of(required={"n": is_count}),
    "left": record_of(required={"id": is_text}),
    "promise": record_of(required={"r": is_text, "b": is_ballot}, optional={"v": is_value}),
    "vote": record_of(required={"r": is_text, "b": is_ballot, "v": is_value}),
    "drop": record_of(required={"r": is_text}),
}
"""Each kind of record with the check of its fields."""


def is_record(given: object) -> bool:
    """Is it a record, of a kind that this version knows or of another?"""
    if not isinstance(given, dict) or not isinstance(given.get("k"), str):
        return False
    fits = RECORDS.get(given["k"])
    if fits is None:
        return True
    if not fits(given):
        return False
    register = "voters" if given.get("r") == KNOWN_VOTERS_RECORD else given.get("r", "")
    return "v" not in given or is_readable(register=register, text=given["v"]["text"])
