"""Linearizability of operators' calls, judged on their whole history."""

from __future__ import annotations

import math
from collections.abc import Iterator

from simulation.history import History
from simulation.linearizability import Model, Operation, find_violation
from simulation.operator_models import (
    NumberedChange,
    NumberedRead,
    NumberedRegister,
    Zone,
    ZoneOrder,
    ZoneRead,
    canonical,
)
from simulation.rules import Violation

RULE = "not-linearizable"


def check_operator_orders(*, history: History) -> Iterator[Violation]:
    """No sequential order explains the answers on configurations or on zone orders."""
    yield from judge_operations(
        rule=RULE, what="config", operations=list(_config_operations(history=history)), model=NumberedRegister()
    )
    for zone, operations in _zone_operations(history=history).items():
        yield from judge_operations(rule=RULE, what=zone, operations=operations, model=Zone())


def judge_operations(*, rule: str, what: str, operations: list[Operation], model: Model) -> Iterator[Violation]:
    """A violation if the history of one object is not linearizable."""
    found = find_violation(operations=operations, model=model)
    if found is not None:
        detail = (
            f"{what}: after {found.placed} of {len(operations)} calls, with {found.state}: {', '.join(found.stuck)}"
        )
        yield Violation(rule=rule, t=found.t, detail=detail[:600])


def _config_operations(*, history: History) -> Iterator[Operation]:
    for row in history.of(k="put"):
        if row["outcome"] == "refused" or (row["invalid"] and row["outcome"] != "accepted"):
            continue
        is_certain = row["outcome"] == "accepted"
        call = NumberedChange(
            given=canonical(config=row["given"]),
            is_patch=row["patch"],
            expected=row.get("expected"),
            number=row["number"] if is_certain else None,
        )
        yield Operation(
            name=f"{'patch' if row['patch'] else 'put'} of {row['begun']:.2f}: {row['outcome']} {row['number']}",
            begun=row["begun"],
            ended=row["t"] if is_certain else math.inf,
            call=call,
            is_certain=is_certain,
        )
    for row in history.of(k="read-back"):
        call = NumberedRead(number=row["number"], content=canonical(config=row["config"]))
        yield Operation(name=f"read of {row['number']}", begun=row["begun"], ended=row["t"], call=call)


def _zone_operations(*, history: History) -> dict[str, list[Operation]]:
    zones: dict[str, list[Operation]] = {}
    for kind, is_emptied in (("emptied", True), ("refilled", False)):
        for row in history.of(k=kind):
            zones.setdefault(row["hall"], []).append(
                Operation(
                    name=f"{kind} at {row['t']:.2f}",
                    begun=row["begun"],
                    ended=row["t"],
                    call=ZoneOrder(is_emptied=is_emptied),
                )
            )
    for row in history.of(k="order-refused"):
        # a 4xx refusal is final; after any other answer the order may be in force, now or later
        if not 400 <= row["code"] < 500 and "begun" in row:
            zones.setdefault(row["hall"], []).append(
                Operation(
                    name=f"order of {row['begun']:.2f}: {row['code']}",
                    begun=row["begun"],
                    ended=math.inf,
                    call=ZoneOrder(is_emptied=row["empty"]),
                    is_certain=False,
                )
            )
    for row in history.of(k="orders-read"):
        for zone, operations in zones.items():
            call = ZoneRead(is_emptied=zone in row["emptied"])
            name = f"read at {row['t']:.2f}: {call.is_emptied}"
            operations.append(Operation(name=name, begun=row["begun"], ended=row["t"], call=call))
    return zones
