"""The messages between sailward's processes: their fields, encoding and validation.

A message that passes the check can be handed to any owner: owners don't check the types of fields again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from flatbuffers import flexbuffers

from sailward import constants
from sailward.consensus.acceptor import KNOWN_VOTERS_RECORD
from sailward.shapes import (
    Check,
    either_of,
    is_amount,
    is_anything,
    is_bytes,
    is_count,
    is_flag,
    is_integer,
    is_number,
    is_proxy_row,
    is_text,
    list_of,
    map_of,
    record_of,
    row_of,
)
from sailward.wire_types import Message

SLOTS_PREFIX = "slots/"
"""Prefix of the name of a sharded service's register."""
PER_SENDER_LISTS = ("workers", "fleet")
"""Lists whose numbers are assigned by each sender for itself; their versions therefore carry the sender's name."""


def is_ballot(value: object) -> bool:
    """Is this a ballot, [round, proposer]?"""
    return isinstance(value, list) and len(value) == 2 and is_integer(value[0]) and isinstance(value[1], str)


VALUE_CHECKS: dict[str, Check] = {"number": is_count, "mark": is_text, "trail": list_of(is_text), "text": is_text}
"""The fields of a register's value. No others are accepted, as a vote is written to the disk as it was received."""


def is_value(value: object) -> bool:
    """Is this a register's value?"""
    return (
        isinstance(value, dict)
        and value.keys() == VALUE_CHECKS.keys()
        and all(check(value[name]) for name, check in VALUE_CHECKS.items())
    )


def is_vote(value: object) -> bool:
    """Is this a vote, [ballot, value]?"""
    return isinstance(value, list) and len(value) == 2 and is_ballot(value[0]) and is_value(value[1])


def is_vote_or_none(value: object) -> bool:
    """Is this a vote, or an empty list for none?"""
    return value == [] or is_vote(value)


def is_register(value: object) -> bool:
    """Is this a register's name? One name is reserved for a record in the data file."""
    return isinstance(value, str) and value != KNOWN_VOTERS_RECORD


def is_bucket(value: object) -> bool:
    """Is this the number of a bucket of keys?"""
    return is_count(value) and value < constants.KEY_LOAD_BUCKETS  # type: ignore[operator]


def is_bucket_name(value: object) -> bool:
    """Is this the number of a bucket of keys in decimal digits, as used for field names?"""
    is_digits = isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 10
    return is_digits and is_bucket(int(value))  # type: ignore[call-overload]


def is_location(value: object) -> bool:
    """Is this of the form SERVICE|ZONE?"""
    return isinstance(value, str) and "|" in value


def is_load_summary(value: object) -> bool:
    """Is this a total in tenths followed by at least two boundaries of parts, or an empty list?"""
    return value == [] or (
        isinstance(value, list) and len(value) >= 3 and is_count(value[0]) and all(map(is_bucket, value[1:]))
    )


_is_pace = row_of(is_amount, is_count)


def is_pace(value: Any) -> bool:
    """Is this a pace followed by the number of samples behind it, at least one?"""
    return _is_pace(value) and value[1] > 0


_is_digest = row_of(is_integer, is_text, is_ballot)
"""Number, change id and ballot of a value."""
_is_known_version = either_of(row_of(is_integer), row_of(is_integer, is_text), _is_digest)
"""The version of a register that a requester has: its number, optionally with more."""
_is_health = row_of(is_count, is_count, is_text)
"""The numbers of listed and of healthy workers, and the state of a zone."""


def is_known_versions(value: object) -> bool:
    """Is this a map of the versions that a requester has, by register or list name?"""
    return (
        isinstance(value, dict)
        and all(isinstance(name, str) and _is_known_version(version) for name, version in value.items())
        and all(len(value[name]) > 1 for name in PER_SENDER_LISTS if name in value)
    )


is_report = record_of(
    required={},
    optional={
        "halls": map_of(_is_health, keys=is_location),
        "warm": map_of(is_amount),
        "suspect": is_flag,
        "busy": list_of(is_text),
        "rates": map_of(is_amount),
        "down": list_of(is_text),
        "turn": is_integer,
        "lead": is_text,
        "loads": map_of(map_of(is_amount, keys=is_bucket_name)),
        "paces": map_of(list_of(is_amount)),
    },
)
is_daemon = record_of(
    required={"id": is_text, "kind": is_text, "hall": is_text, "region": is_text, "http": is_text, "fit": is_flag},
    optional={
        "start": is_integer,
        "post": is_text,
        "beat": is_integer,
        "version": is_text,
        "identity": is_text,
        "asks": is_text,
        "disk": is_flag,
    },
)
is_view = record_of(
    required={},
    optional={
        "place": row_of(is_text, is_text),
        "drained": list_of(is_text),
        "warm": map_of(is_amount),
        "doubt": is_flag,
        "wall": is_number,
    },
)
is_loads = record_of(
    required={},
    optional={
        "rates": map_of(is_load_summary),
        "paces": map_of(is_pace),
    },
)

MESSAGE_CHECKS: dict[str, dict[str, Check]] = {
    "prepare": {"op": is_text, "register": is_register, "ballot": is_ballot, "voters": is_integer},
    "promise": {"op": is_text, "register": is_register, "ballot": is_ballot, "vote": is_vote_or_none},
    "accept": {"op": is_text, "register": is_register, "ballot": is_ballot, "voters": is_integer, "value": is_value},
    "first": {"op": is_text, "register": is_register, "voters": is_integer, "value": is_value},
    "voted": {"op": is_text, "register": is_register, "ballot": is_ballot},
    "nack": {
        "op": is_text,
        "register": is_register,
        "ballot": is_ballot,
        "reason": is_text,
        "round": is_integer,
        "voters": is_vote_or_none,
    },
    "read": {"op": is_text, "register": is_register, "voters": is_integer},
    "told": {"op": is_text, "register": is_register, "vote": is_vote_or_none},
    "chosen": {"register": is_register, "ballot": is_ballot, "value": is_value},
    "want": {"register": is_text},
    "ask": {"seq": is_integer, "have": is_known_versions, "report": is_report, "daemon": is_daemon},
    "grant": {
        "seq": is_integer,
        "newest": map_of(_is_digest),
        "identity": is_text,
        "voting": is_flag,
        "proxies": is_count,
        "view": is_view,
    },
    "push": {"seq": is_integer, "name": is_register, "number": is_integer, "ballot": is_ballot, "value": is_value},
    "ack": {"seq": is_integer, "name": is_text, "number": is_integer},
    "gossip": {"entries": list_of(is_anything), "reply": is_flag},
    "peek": {"token": is_text, "key": is_text, "number": is_integer, "region": is_text},
    "peeked": {"token": is_text, "state": is_text, "code": is_count, "headers": map_of(is_text), "body": is_bytes},
    "keep": {
        "key": is_text,
        "number": is_integer,
        "print": is_text,
        "homes": list_of(is_text),
        "code": is_count,
        "headers": map_of(is_text),
        "body": is_bytes,
    },
    "list": {"number": is_integer, "rows": is_text},
    "beat": {"id": is_text, "start": is_integer, "beat": is_integer, "fit": is_flag, "identity": is_text},
    "confirm": {"seq": is_integer, "voters": is_integer, "registers": list_of(is_text)},
    "confirmed": {"seq": is_integer, "identity": is_text, "newest": map_of(_is_digest)},
    "fleet": {
        "number": is_integer,
        "rows": either_of(lambda value: value == ["same"], list_of(is_proxy_row)),
        "loads": is_loads,
        "down": map_of(is_count),
    },
    "copy": {"after": is_text, "ballot": is_ballot, "value": is_value},
    "copied": {
        "after": is_text,
        "voters": is_integer,
        "slots": list_of(row_of(is_register, is_ballot, is_value)),
        "next": is_text,
    },
}
"""The fields of each kind of message, in the order in which a frame carries them, with the check of each field."""
FIELDS: dict[str, tuple[str, ...]] = {kind: tuple(fields) for kind, fields in MESSAGE_CHECKS.items()}


@dataclass(frozen=True, kw_only=True)
class BadMessage:
    """The received data is not a valid message."""

    reason: str


def pack_message(*, body: Message) -> bytes:
    """Encode a message."""
    return bytes(flexbuffers.Dumps(body))


def read_message(*, payload: bytes) -> dict | BadMessage:
    """Decode and check a message; BadMessage gives the reason if it is not valid."""
    try:
        body = flexbuffers.Loads(payload)
    except Exception as fault:  # noqa: BLE001 - the decoder raises many kinds on foreign bytes
        return BadMessage(reason=f"undecodable:{type(fault).__name__}")
    return check_message(body=body)


def check_message(*, body: object) -> dict | BadMessage:
    """The message itself if all its fields are present and valid; else a BadMessage that names the first bad field."""
    if not isinstance(body, dict):
        return BadMessage(reason="not-a-map")
    kind = body.get("kind")
    fields = MESSAGE_CHECKS.get(kind) if isinstance(kind, str) else None
    if fields is None:
        return BadMessage(reason="unknown-kind")
    for name, check in fields.items():
        if name not in body or not check(body[name]):
            return BadMessage(reason=f"field:{kind}.{name}")
    for register, value in _values_in(body=body):
        if not is_readable(register=register, text=value["text"]):
            return BadMessage(reason=f"text:{kind}.{register}"[:200])
    return body


def _values_in(*, body: Message) -> list[tuple[str, dict]]:
    """Each register value that the message carries, as (register, value)."""
    match body["kind"]:
        case "accept" | "first" | "chosen":
            return [(body["register"], body["value"])]
        case "push":
            return [(body["name"], body["value"])]
        case "copy":
            return [("voters", body["value"])]
        case "nack":
            return [("voters", body["voters"][1])] if body["voters"] else []
        case "promise" | "told":
            return [(body["register"], body["vote"][1])] if body["vote"] else []
        case "copied":
            return [(register, value) for register, _, value in body["slots"]]
    return []


def is_readable(*, register: str, text: str) -> bool:
    """Can a control register's text be parsed? The configuration is large and is checked where it is read."""
    if register in ("voters", "orders") or register.startswith(SLOTS_PREFIX):
        return text == "" or _is_readable(register=register.split("/", maxsplit=1)[0], text=text)
    return True


@lru_cache(maxsize=64)
def _is_readable(*, register: str, text: str) -> bool:
    try:
        decoded = json.loads(text)
    except (ValueError, RecursionError):
        return False
    return _TEXT_CHECKS[register](decoded)


_TEXT_CHECKS: dict[str, Check] = {
    "voters": record_of(
        required={"members": map_of(is_text)},
        optional={
            "size": is_count,
            "anew": either_of(
                lambda value: value is None,
                record_of(
                    required={
                        "number": is_count,
                        "survivors": list_of(is_text),
                        "doubt": is_flag,
                        "base": map_of(is_text),
                    }
                ),
            ),
        },
    ),
    "orders": record_of(required={"emptied": list_of(is_text)}),
    "slots": either_of(
        record_of(
            required={
                "granter": is_text,
                "since": is_integer,
                "fence": is_integer,
                "ranges": list_of(
                    either_of(
                        row_of(is_count, is_count, is_text, is_integer, is_text),
                        row_of(is_count, is_count, is_text, is_integer, is_text, is_text),
                    )
                ),
            }
        ),
        record_of(required={"spaces": map_of(list_of(row_of(is_text, is_integer, is_integer)))}),
    ),
}
