"""Ways to make a configuration invalid, in its document or in its bytes."""

from __future__ import annotations

import copy


def _rule(written: dict) -> dict:
    return written["listeners"][0]["ruleset"][0]


def _verdict(written: dict) -> dict:
    return _rule(written)["verdict"]


def _spoil_weight(written: dict) -> None:
    _verdict(written).pop("service", None)
    _verdict(written)["split_to"] = [{"service": "notes", "weight": -1}, {"service": "orders", "weight": 2}]


def _spoil_sum(written: dict) -> None:
    _verdict(written).pop("service", None)
    _verdict(written)["split_to"] = [{"service": "notes", "weight": 0}]


def _spoil_place(written: dict) -> None:
    rules = written["listeners"][0]["ruleset"]
    rules.append({**copy.deepcopy(rules[0]), "name": "same-place"})


def _cut_short(body: bytes) -> bytes:
    return body[: len(body) * 2 // 3]


def _name_twice(body: bytes) -> bytes:
    return body.replace(b'"deadline_s":', b'"deadline_s": 0.001, "deadline_s":', 1)


DOCUMENT_FAULTS = {
    "weight": _spoil_weight,
    "sum": _spoil_sum,
    "service": lambda written: _verdict(written).update({"service": "nobody"}),
    "tries": lambda written: _verdict(written).update({"max_tries": 0}),
    "timeout": lambda written: _verdict(written).update({"deadline_s": 0}),
    "kind": lambda written: _rule(written).update({"route_kind": "sometimes"}),
    "host": lambda written: written["listeners"][0].update({"hostname": ""}),
    "place": _spoil_place,
    "older": lambda written: written.update({"generation": "r1", "limits": {"max_header_bytes": 9000}}),
    "same": lambda written: written["limits"].update({"max_header_bytes": 9000}),
}
"""Kind -> function that makes the document invalid. `same` is sent under the current number."""
BODY_FAULTS = {"cut-short": _cut_short, "shared-key": _name_twice}
"""Kind -> function that makes the bytes of a valid document invalid."""
