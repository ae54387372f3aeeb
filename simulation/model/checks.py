"""The invariants, judged by what operations end with."""

from __future__ import annotations

from sailward.consensus.proposer import Accepted
from simulation.model.space import DATA, Broken, State


def note_outcome(*, state: State, op: str, register: str, outcome: object) -> State:
    """Fold the end of an operation; the state may be broken by it."""
    if state.broken is not None or not isinstance(outcome, Accepted):
        return state
    state = _note_chosen(state=state, register=register, value=outcome.value)
    if register != DATA or state.broken is not None:
        return state
    wanted = dict(state.wanted)
    if outcome.value["number"] < wanted.get(op, 0):
        detail = f"{op} gave number {outcome.value['number']}; {wanted[op]} was confirmed before it began"
        return state.but(broken=Broken(rule="old-read", detail=detail))
    if op.startswith("put"):
        mark = mark_at(value=outcome.value, number=outcome.number)
        return state.but(confirmed=tuple(sorted({*state.confirmed, (outcome.number, mark)})))
    return state


def mark_at(*, value: dict, number: int) -> str:
    """The mark of an earlier number, by the trail of a value."""
    return [value["mark"], *value["trail"]][value["number"] - number]


def _note_chosen(*, state: State, register: str, value: dict) -> State:
    """Every number of a register has one value, also those that the trail tells of."""
    known = {(name, number): mark for name, number, mark in state.chosen}
    for number in range(max(1, value["number"] - len(value["trail"])), value["number"] + 1):
        mark = mark_at(value=value, number=number)
        before = known.setdefault((register, number), mark)
        if before != mark:
            detail = f"{register} number {number} is both {before} and {mark}"
            return state.but(broken=Broken(rule="two-chosen", detail=detail))
    return state.but(chosen=tuple(sorted((name, number, mark) for (name, number), mark in known.items())))
