"""Checks that the history of operators' orders on the hosted platform is linearizable."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from simulation.hosted.judge_config import normal_form
from simulation.linearizability import Operation
from simulation.operator_models import (
    LabelledChange,
    LabelledConflict,
    LabelledRead,
    LabelledRegister,
    Zone,
    ZoneOrder,
    ZoneRead,
    digest,
)
from simulation.rules import Violation
from simulation.rules.operator_orders import judge_operations

if TYPE_CHECKING:
    from simulation.hosted.operators import Version
    from simulation.hosted.world import World

RULE = "LINEAR"
PRECONDITION_FAILED = 412


def judge_orders(*, world: World) -> Iterator[Violation]:
    """LINEAR: no sequence of the operators' calls explains all answers and reads."""
    changes = [operation for operation in map(_change, world.operator.versions.values()) if operation is not None]
    operations = [*changes, *_reads(world=world)]
    yield from judge_operations(rule=RULE, what="config", operations=operations, model=LabelledRegister())
    for zone, calls in _zone_operations(world=world).items():
        yield from judge_operations(rule=RULE, what=zone, operations=calls, model=Zone())


def _change(version: Version) -> Operation | None:
    name = f"r{version.number} on r{version.base}: {version.outcome}"
    if version.outcome == "refused":
        if version.code != PRECONDITION_FAILED or not version.is_valid:
            return None
        call = LabelledConflict(base=version.base)
        return Operation(name=name, begun=version.sent_at, ended=version.ended_at, call=call)
    if not version.is_valid and version.outcome != "acked":
        return None
    is_certain = version.outcome == "acked"
    content = digest(content=normal_form(written=version.written))
    return Operation(
        name=name,
        begun=version.sent_at,
        ended=version.ended_at if is_certain else math.inf,
        call=LabelledChange(base=version.base, label=version.number, content=content),
        is_certain=is_certain,
    )


def _reads(*, world: World) -> Iterator[Operation]:
    rows = [(row, row["written"]) for row in world.history.of(k="read-back") if row["code"] == 200]
    rows += [(row, row["body"]) for row in world.history.of(k="config-read")]
    for row, written in rows:
        label = int(written["generation"][1:])
        call = LabelledRead(label=label, content=digest(content=normal_form(written=written)))
        yield Operation(name=f"read of r{label}", begun=row["begun"], ended=row["t"], call=call)


def _zone_operations(*, world: World) -> dict[str, list[Operation]]:
    zones: dict[str, list[Operation]] = {}
    for row in world.history.of(k="ordered"):
        if 400 <= row["code"] < 500:
            continue
        zones.setdefault(row["zone"], []).extend(_zone_orders(row=row, begin=world.begin))
    for row in world.history.of(k="orders-read"):
        for zone, operations in zones.items():
            call = ZoneRead(is_emptied=zone in row["body"]["orders"].get("emptied", ()))
            name = f"read at {row['t'] - world.begin:.2f}: {call.is_emptied}"
            operations.append(Operation(name=name, begun=row["begun"], ended=row["t"], call=call))
    return zones


def _zone_orders(*, row: dict, begin: float) -> Iterator[Operation]:
    """One order and its copies.

    A copy can't be told from another order of the same content, so each that arrived in time may take effect by itself,
    but not after the order was acknowledged. One that arrived after the operator had disconnected has no effect.
    """
    name, call = (
        f"{row['kind']} of {row['begun'] - begin:.2f}: {row['code']}",
        ZoneOrder(is_emptied=row["kind"] == "empty"),
    )
    is_certain = row["code"] == 200
    for arrival in row["arrivals"][:-1] if is_certain else row["arrivals"]:
        ended = row["t"] if is_certain else math.inf
        yield Operation(name=name, begun=arrival, ended=ended, call=call, is_certain=False)
    if is_certain:
        yield Operation(name=name, begun=row["begun"], ended=row["t"], call=call)
