"""The linearizability check: on hand-written histories, and compared with a brute-force search on random ones."""

from __future__ import annotations

import dataclasses
import itertools
import math

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from simulation import linearizability
from simulation.history import History
from simulation.linearizability import Operation, Undecided, find_violation
from simulation.operator_models import (
    LabelledChange,
    LabelledConflict,
    LabelledRead,
    LabelledRegister,
    NumberedChange,
    NumberedRead,
    NumberedRegister,
    Zone,
    ZoneOrder,
    ZoneRead,
)
from simulation.rules.operator_orders import check_operator_orders

NEVER = math.inf


def change(begun: float, ended: float, base: int, label: int, content: str = "") -> Operation:
    call = LabelledChange(base=base, label=label, content=content or f"c{label}")
    return Operation(name=f"r{label}", begun=begun, ended=ended, call=call, is_certain=ended != NEVER)


def conflict(begun: float, ended: float, base: int) -> Operation:
    return Operation(name="412", begun=begun, ended=ended, call=LabelledConflict(base=base))


def read(begun: float, ended: float, label: int, content: str = "") -> Operation:
    call = LabelledRead(label=label, content=content or (f"c{label}" if label else ""))
    return Operation(name="read", begun=begun, ended=ended, call=call)


def zone_order(begun: float, ended: float, is_emptied: bool) -> Operation:
    call = ZoneOrder(is_emptied=is_emptied)
    return Operation(name="order", begun=begun, ended=ended, call=call, is_certain=ended != NEVER)


def zone_read(begun: float, ended: float, is_emptied: bool) -> Operation:
    return Operation(name="zone read", begun=begun, ended=ended, call=ZoneRead(is_emptied=is_emptied))


LINEARIZABLE = {
    "nothing": [],
    "a chain": [change(0, 1, 0, 1), change(2, 3, 1, 4), read(4, 5, 4)],
    "one of two wins": [change(0, 1, 0, 1), change(2, 4, 1, 3), conflict(2, 5, 1), read(6, 7, 3)],
    "two changes with one number, the loser refused": [
        change(0, 1, 0, 1),
        change(2, 4, 1, 3, "a"),
        conflict(2, 5, 1),
        read(6, 7, 3, "a"),
    ],
    "unanswered, and in force": [change(0, 1, 0, 1), change(2, NEVER, 1, 3), read(9, 10, 3), change(11, 12, 3, 5)],
    "unanswered, and not in force": [change(0, 1, 0, 1), change(2, NEVER, 1, 3), change(4, 5, 1, 7), read(9, 10, 7)],
    "unanswered, and in force late": [change(0, 1, 0, 1), change(2, NEVER, 1, 3), read(4, 5, 1), read(9, 10, 3)],
    "a concurrent read sees either version": [change(0, 1, 0, 1), change(2, 9, 1, 3), read(3, 4, 1), read(5, 6, 3)],
    "acknowledged late, others on top of it": [
        change(0, 50, 0, 1),
        *(change(n, n + 1, n, n + 1) for n in range(1, 40)),
    ],
    "refused, its base replaced long before": [
        change(0, 1, 0, 1),
        change(2, 3, 1, 2),
        change(4, 5, 2, 3),
        conflict(6, 7, 1),
    ],
}
NOT_LINEARIZABLE = {
    "two confirmed on one version": [change(0, 1, 0, 1), change(2, 3, 1, 3), change(2, 4, 1, 5)],
    "two confirmed under one number": [change(0, 1, 0, 1), change(2, 4, 1, 3, "a"), change(2, 4, 1, 3, "b")],
    "a resend judged by its number alone": [change(0, 1, 0, 1), change(2, 3, 1, 3, "a"), change(4, 5, 1, 3, "b")],
    "accepted, and refused when sent again": [change(0, 1, 0, 1), conflict(2, 9, 1), read(3, 4, 3), change(5, 6, 3, 5)],
    "refused with no other change since": [change(0, 1, 0, 1), conflict(2, 3, 1), read(4, 5, 1)],
    "put in force twice": [change(0, 1, 0, 1), change(2, 3, 1, 2), read(4, 5, 2), read(6, 7, 1)],
    "an old value is read": [change(0, 1, 0, 1), change(2, 3, 1, 2), read(4, 5, 1)],
    "a read goes back": [change(0, 1, 0, 1), change(2, NEVER, 1, 2), read(4, 5, 2), read(6, 7, 1)],
    "nobody sent what is read": [change(0, 1, 0, 1), read(2, 3, 1, "other")],
    "in force before it was sent": [change(0, 1, 0, 1), read(2, 3, 2), change(4, 5, 1, 2)],
    "an acknowledged one is lost": [change(0, 1, 0, 1), change(2, 3, 1, 2), change(4, 5, 1, 3)],
    "a version that does not grow": [change(0, 1, 0, 3), change(2, 3, 3, 2)],
}
ZONES_LINEARIZABLE = {
    "emptied and taken back": [
        zone_order(0, 1, True),
        zone_read(2, 3, True),
        zone_order(4, 5, False),
        zone_read(6, 7, False),
    ],
    "a copy arrives during the first": [zone_order(0, 5, True), zone_order(1, 2, False), zone_read(6, 7, True)],
    "unanswered, in force late": [zone_order(0, NEVER, True), zone_read(1, 2, False), zone_read(3, 4, True)],
    "unanswered once, two orders": [
        zone_order(0, NEVER, True),
        zone_order(1, 2, True),
        zone_order(3, 4, False),
        zone_read(5, 6, True),
    ],
}
ZONES_NOT_LINEARIZABLE = {
    "a late copy is put in force": [zone_order(0, 1, True), zone_order(2, 3, False), zone_read(4, 5, True)],
    "acknowledged and not in force": [zone_order(0, 1, True), zone_read(2, 3, False)],
    "unanswered once, in force twice": [
        zone_order(0, NEVER, True),
        zone_order(1, 2, False),
        zone_read(3, 4, True),
        zone_order(5, 6, False),
        zone_read(7, 8, True),
    ],
}


@pytest.mark.parametrize("name", LINEARIZABLE)
def test_a_linearizable_history_passes(name: str) -> None:
    assert find_violation(operations=LINEARIZABLE[name], model=LabelledRegister()) is None


@pytest.mark.parametrize("name", NOT_LINEARIZABLE)
def test_a_history_that_is_not_linearizable_is_found(name: str) -> None:
    found = find_violation(operations=NOT_LINEARIZABLE[name], model=LabelledRegister())
    assert found is not None and found.stuck


@pytest.mark.parametrize(
    ("name", "is_good"), [*((n, True) for n in ZONES_LINEARIZABLE), *((n, False) for n in ZONES_NOT_LINEARIZABLE)]
)
def test_orders_on_a_zone(name: str, is_good: bool) -> None:
    found = find_violation(operations={**ZONES_LINEARIZABLE, **ZONES_NOT_LINEARIZABLE}[name], model=Zone())
    assert (found is None) == is_good


def test_a_register_that_the_product_numbers() -> None:
    def put(begun: float, ended: float, given: str, *, expected=None, number=None, is_patch=False) -> Operation:
        call = NumberedChange(given=given, is_patch=is_patch, expected=expected, number=number)
        return Operation(name=given, begun=begun, ended=ended, call=call, is_certain=ended != NEVER)

    def read_of(begun: float, number: int, content: str) -> Operation:
        return Operation(name="read", begun=begun, ended=begun + 1, call=NumberedRead(number=number, content=content))

    full, patch = put(0, 1, '{"a":1}', number=1), put(2, 3, '{"b":2}', number=2, is_patch=True)
    late = put(2, NEVER, '{"c":3}', is_patch=True)
    model = NumberedRegister()
    assert find_violation(operations=[full, patch, read_of(4, 2, '{"a":1,"b":2}')], model=model) is None
    assert find_violation(operations=[full, late, read_of(4, 2, '{"a":1,"c":3}')], model=model) is None
    assert find_violation(operations=[full, late, read_of(4, 1, '{"a":1}')], model=model) is None
    assert find_violation(operations=[full, patch, read_of(4, 2, '{"a":1}')], model=model) is not None
    assert find_violation(operations=[full, put(2, 3, "{}", number=1)], model=model) is not None
    assert find_violation(operations=[full, put(2, 3, "{}", expected=0, number=2)], model=model) is not None


def test_histories_of_the_product_simulation_are_checked() -> None:
    history = History()
    common = {"k": "put", "code": 200, "invalid": False, "patch": False, "outcome": "accepted"}
    history.add(t=1, begun=0, number=1, given={"a": 1}, **common)
    history.add(t=3, begun=2, number=2, given={"a": 2}, **common)
    history.add(t=5, k="read-back", begun=4, number=2, config={"a": 2})
    history.add(t=2, k="emptied", begun=1, hall="x")
    history.add(t=4, k="orders-read", begun=3, emptied=["x"])
    assert list(check_operator_orders(history=history)) == []
    history.add(t=7, k="read-back", begun=6, number=1, config={"a": 1})
    history.add(t=7, k="orders-read", begun=6, emptied=[])
    assert [zone_order.detail.split(":")[0] for zone_order in check_operator_orders(history=history)] == ["config", "x"]


def test_a_search_with_too_many_states_raises_undecided(monkeypatch) -> None:
    monkeypatch.setattr(linearizability, "MAX_STATES", 3)
    with pytest.raises(Undecided):
        find_violation(operations=LINEARIZABLE["acknowledged late, others on top of it"], model=LabelledRegister())


def is_linearizable(*, operations: list[Operation], model) -> bool:
    """Brute force: tries every permutation with every subset of the uncertain operations."""
    certain = [operation for operation in operations if operation.is_certain]
    uncertain = [operation for operation in operations if not operation.is_certain]
    for count in range(len(uncertain) + 1):
        for chosen in itertools.combinations(uncertain, count):
            for sequence in itertools.permutations([*certain, *chosen]):
                if any(b.ended < a.begun for at, a in enumerate(sequence) for b in sequence[at + 1 :]):
                    continue
                state = model.initial
                for operation in sequence:
                    state = None if state is None else model.step(state=state, call=operation.call)
                if state is not None:
                    return True
    return False


SPAN = st.tuples(st.integers(0, 6), st.integers(1, 6)).map(lambda span: (span[0], span[0] + span[1] + 0.5))
LABELLED = st.one_of(
    st.builds(lambda span, base, label: change(*span, base, label), SPAN, st.integers(0, 2), st.integers(1, 3)),
    st.builds(
        lambda span, base, label: change(span[0], NEVER, base, label), SPAN, st.integers(0, 2), st.integers(1, 3)
    ),
    st.builds(lambda span, base: conflict(*span, base), SPAN, st.integers(0, 2)),
    st.builds(lambda span, label: read(*span, label), SPAN, st.integers(0, 3)),
)
ZONED = st.one_of(
    st.builds(lambda span, kind: zone_order(*span, kind), SPAN, st.booleans()),
    st.builds(lambda span, kind: zone_order(span[0], NEVER, kind), SPAN, st.booleans()),
    st.builds(lambda span, kind: dataclasses.replace(zone_order(*span, kind), is_certain=False), SPAN, st.booleans()),
    st.builds(lambda span, kind: zone_read(*span, kind), SPAN, st.booleans()),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(LABELLED, max_size=5))
def test_the_search_agrees_with_brute_force(operations: list) -> None:
    model = LabelledRegister()
    found = find_violation(operations=operations, model=model)
    assert (found is None) == is_linearizable(operations=operations, model=model)


@settings(max_examples=300, deadline=None)
@given(st.lists(ZONED, max_size=5))
@example(
    [
        dataclasses.replace(zone_order(0, 1.5, True), is_certain=False),
        zone_order(0, 2.5, False),
        zone_read(0, 2.5, True),
        zone_read(2, 3.5, False),
    ]
)
def test_the_search_agrees_with_brute_force_on_zones(operations: list) -> None:
    found = find_violation(operations=operations, model=Zone())
    assert (found is None) == is_linearizable(operations=operations, model=Zone())
