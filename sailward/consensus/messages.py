"""The messages between sailward's processes: their fields, encoding and check."""

from __future__ import annotations

from dataclasses import dataclass

from flatbuffers import flexbuffers

BALLOT = list
FIELDS: dict[str, dict[str, type]] = {
    "prepare": {"op": str, "register": str, "ballot": BALLOT, "voters": int},
    "promise": {"op": str, "register": str, "ballot": BALLOT, "vote": list},
    "accept": {"op": str, "register": str, "ballot": BALLOT, "voters": int, "value": dict},
    "first": {"op": str, "register": str, "voters": int, "value": dict},
    "voted": {"op": str, "register": str, "ballot": BALLOT},
    "nack": {"op": str, "register": str, "ballot": BALLOT, "reason": str, "round": int, "voters": list},
    "read": {"op": str, "register": str, "voters": int},
    "told": {"op": str, "register": str, "vote": list},
    "chosen": {"register": str, "ballot": BALLOT, "value": dict},
    "want": {"register": str},
    "ask": {"seq": int, "have": dict, "report": dict, "daemon": dict},
    "grant": {"seq": int, "newest": dict, "identity": str, "voting": bool, "proxies": int, "view": dict},
    "push": {"seq": int, "name": str, "number": int, "ballot": BALLOT, "value": dict},
    "ack": {"seq": int, "name": str, "number": int},
    "gossip": {"entries": list, "reply": bool},
    "peek": {"token": str, "key": str, "number": int, "region": str},
    "peeked": {"token": str, "state": str, "code": int, "headers": dict, "body": bytes},
    "keep": {"key": str, "number": int, "print": str, "homes": list, "code": int, "headers": dict, "body": bytes},
    "list": {"number": int, "rows": str},
    "beat": {"id": str, "start": int, "beat": int, "fit": bool, "identity": str},
    "confirm": {"seq": int, "voters": int, "registers": list},
    "confirmed": {"seq": int, "identity": str, "newest": dict},
    "fleet": {"number": int, "rows": list, "loads": dict, "down": dict},
    "copy": {"after": str, "ballot": BALLOT, "value": dict},
    "copied": {"after": str, "voters": int, "slots": list, "next": str},
}
VALUE = {"number": int, "mark": str, "trail": list, "text": str}


@dataclass(frozen=True, kw_only=True)
class BadMessage:
    """What came is not a message of ours."""

    reason: str


def pack_message(*, body: dict) -> bytes:
    """The bytes of a message."""
    return bytes(flexbuffers.Dumps(body))


def read_message(*, payload: bytes) -> dict | BadMessage:
    """The message in these bytes, or what is wrong with them."""
    try:
        body = flexbuffers.Loads(payload)
    except Exception as fault:  # noqa: BLE001 - the decoder raises many kinds on foreign bytes
        return BadMessage(reason=f"undecodable:{type(fault).__name__}")
    return check_message(body=body)


def check_message(*, body: object) -> dict | BadMessage:
    """The message itself if its fields are all there and of their types."""
    if not isinstance(body, dict):
        return BadMessage(reason="not-a-map")
    fields = FIELDS.get(body.get("kind", ""))
    if fields is None:
        return BadMessage(reason="unknown-kind")
    for name, kind in fields.items():
        if not _fits(given=body.get(name), kind=kind):
            return BadMessage(reason=f"field:{body['kind']}.{name}")
    wrong = _find_wrong_part(body=body, fields=fields)
    return BadMessage(reason=f"field:{body['kind']}.{wrong}") if wrong else body


def _find_wrong_part(*, body: dict, fields: dict) -> str:
    """The name of the first field whose type is right but whose parts are not, or ""."""
    if "ballot" in fields and not is_ballot(given=body["ballot"]):
        return "ballot"
    if "value" in fields and not is_value(given=body["value"]):
        return "value"
    if "slots" in fields and not all(_is_slot(given=row) for row in body["slots"]):
        return "slots"
    if "voters" in fields and fields["voters"] is list and body["voters"] and not is_vote(given=body["voters"]):
        return "voters"
    if body.get("vote") and not is_vote(given=body["vote"]):
        return "vote"
    return ""


def _is_slot(*, given: object) -> bool:
    """Is it [name, ballot, value]?"""
    return isinstance(given, list) and len(given) == 3 and isinstance(given[0], str) and is_vote(given=given[1:])


def is_ballot(*, given: object) -> bool:
    """Is it [round, proposer]?"""
    return isinstance(given, list) and len(given) == 2 and _fits(given=given[0], kind=int) and isinstance(given[1], str)


def is_value(*, given: object) -> bool:
    """Is it a register's value?"""
    return isinstance(given, dict) and all(_fits(given=given.get(n), kind=k) for n, k in VALUE.items())


def is_vote(*, given: object) -> bool:
    """Is it [ballot, value]?"""
    return isinstance(given, list) and len(given) == 2 and is_ballot(given=given[0]) and is_value(given=given[1])


def _fits(*, given: object, kind: type) -> bool:
    if kind is int:
        return isinstance(given, int) and not isinstance(given, bool)
    return isinstance(given, kind)
