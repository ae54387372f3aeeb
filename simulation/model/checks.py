"""The invariants, checked against the outcomes of operations."""

from __future__ import annotations

from sailward.consensus.proposer import Accepted
from simulation.model.space import DATA, State, Violation


def record_outcome(*, state: State, op: str, register: str, outcome: object) -> State:
    """Records the outcome of an operation; the returned state holds a violation if the outcome breaks an invariant."""
    if state.violation is not None or not isinstance(outcome, Accepted):
        return state
    state = _record_chosen(state=state, register=register, value=outcome.value)
    if register != DATA or state.violation is not None:
        return state
    floor = dict(state.read_floors).get(op, 0)
    if outcome.value["number"] < floor:
        detail = f"{op} gave number {outcome.value['number']}; {floor} was confirmed before it began"
        return state.replace(violation=Violation(rule="old-read", detail=detail))
    if op.startswith("put"):
        mark = mark_at(value=outcome.value, number=outcome.number)
        return state.replace(confirmed=tuple(sorted({*state.confirmed, (outcome.number, mark)})))
    return state


def mark_at(*, value: dict, number: int) -> str:
    """The mark of an earlier number, taken from the value's trail of previous marks."""
    return [value["mark"], *value["trail"]][value["number"] - number]


def _record_chosen(*, state: State, register: str, value: dict) -> State:
    """Checks that each number of a register has a single value, including the numbers that the trail lists."""
    known = {(name, number): mark for name, number, mark in state.chosen}
    for number in range(max(1, value["number"] - len(value["trail"])), value["number"] + 1):
        mark = mark_at(value=value, number=number)
        other_mark = known.setdefault((register, number), mark)
        if other_mark != mark:
            detail = f"{register} number {number} is both {other_mark} and {mark}"
            return state.replace(violation=Violation(rule="two-chosen", detail=detail))
    return state.replace(chosen=tuple(sorted((name, number, mark) for (name, number), mark in known.items())))
