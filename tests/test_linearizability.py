"""The linearizability check: histories written by hand, good and bad, and a search by brute force beside it."""

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
    LabelledLoss,
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


def loss(begun: float, ended: float, base: int) -> Operation:
    return Operation(name="412", begun=begun, ended=ended, call=LabelledLoss(base=base))


def read(begun: float, ended: float, label: int, content: str = "") -> Operation:
    call = LabelledRead(label=label, content=content or (f"c{label}" if label else ""))
    return Operation(name="read", begun=begun, ended=ended, call=call)


def order(begun: float, ended: float, is_emptied: bool) -> Operation:
    call = ZoneOrder(is_emptied=is_emptied)
    return Operation(name="order", begun=begun, ended=ended, call=call, is_certain=ended != NEVER)


def look(begun: float, ended: float, is_emptied: bool) -> Operation:
    return Operation(name="look", begun=begun, ended=ended, call=ZoneRead(is_emptied=is_emptied))


GOOD = {
    "nothing": [],
    "a chain": [change(0, 1, 0, 1), change(2, 3, 1, 4), read(4, 5, 4)],
    "one of two wins": [change(0, 1, 0, 1), change(2, 4, 1, 3), loss(2, 5, 1), read(6, 7, 3)],
    "one number, the loser refused": [change(0, 1, 0, 1), change(2, 4, 1, 3, "a"), loss(2, 5, 1), read(6, 7, 3, "a")],
    "unclear, and in force": [change(0, 1, 0, 1), change(2, NEVER, 1, 3), read(9, 10, 3), change(11, 12, 3, 5)],
    "unclear, and not in force": [change(0, 1, 0, 1), change(2, NEVER, 1, 3), change(4, 5, 1, 7), read(9, 10, 7)],
    "unclear, and in force late": [change(0, 1, 0, 1), change(2, NEVER, 1, 3), read(4, 5, 1), read(9, 10, 3)],
    "a read at the same time sees either": [change(0, 1, 0, 1), change(2, 9, 1, 3), read(3, 4, 1), read(5, 6, 3)],
    "acknowledged late, others on top of it": [
        change(0, 50, 0, 1),
        *(change(n, n + 1, n, n + 1) for n in range(1, 40)),
    ],
    "refused by a loss that was over then": [change(0, 1, 0, 1), change(2, 3, 1, 2), change(4, 5, 2, 3), loss(6, 7, 1)],
}
BAD = {
    "two confirmed on one version": [change(0, 1, 0, 1), change(2, 3, 1, 3), change(2, 4, 1, 5)],
    "two confirmed under one number": [change(0, 1, 0, 1), change(2, 4, 1, 3, "a"), change(2, 4, 1, 3, "b")],
    "a resend judged by its number alone": [change(0, 1, 0, 1), change(2, 3, 1, 3, "a"), change(4, 5, 1, 3, "b")],
    "taken, and refused as sent again": [change(0, 1, 0, 1), loss(2, 9, 1), read(3, 4, 3), change(5, 6, 3, 5)],
    "refused with no other change since": [change(0, 1, 0, 1), loss(2, 3, 1), read(4, 5, 1)],
    "put in force twice": [change(0, 1, 0, 1), change(2, 3, 1, 2), read(4, 5, 2), read(6, 7, 1)],
    "an old value is read": [change(0, 1, 0, 1), change(2, 3, 1, 2), read(4, 5, 1)],
    "a read goes back": [change(0, 1, 0, 1), change(2, NEVER, 1, 2), read(4, 5, 2), read(6, 7, 1)],
    "nobody sent what is read": [change(0, 1, 0, 1), read(2, 3, 1, "other")],
    "in force before it was sent": [change(0, 1, 0, 1), read(2, 3, 2), change(4, 5, 1, 2)],
    "an acknowledged one is lost": [change(0, 1, 0, 1), change(2, 3, 1, 2), change(4, 5, 1, 3)],
    "a version that does not grow": [change(0, 1, 0, 3), change(2, 3, 3, 2)],
}
ZONES_GOOD = {
    "emptied and taken back": [order(0, 1, True), look(2, 3, True), order(4, 5, False), look(6, 7, False)],
    "a copy during the first": [order(0, 5, True), order(1, 2, False), look(6, 7, True)],
    "unclear, in force late": [order(0, NEVER, True), look(1, 2, False), look(3, 4, True)],
    "unclear once, two orders": [order(0, NEVER, True), order(1, 2, True), order(3, 4, False), look(5, 6, True)],
}
ZONES_BAD = {
    "a late copy is put in force": [order(0, 1, True), order(2, 3, False), look(4, 5, True)],
    "acknowledged and not in force": [order(0, 1, True), look(2, 3, False)],
    "unclear once, in force twice": [
        order(0, NEVER, True),
        order(1, 2, False),
        look(3, 4, True),
        order(5, 6, False),
        look(7, 8, True),
    ],
}


@pytest.mark.parametrize("name", GOOD)
def test_a_good_history_is_explained(name: str) -> None:
    assert find_violation(operations=GOOD[name], model=LabelledRegister()) is None


@pytest.mark.parametrize("name", BAD)
def test_a_bad_history_is_found(name: str) -> None:
    found = find_violation(operations=BAD[name], model=LabelledRegister())
    assert found is not None and found.stuck


@pytest.mark.parametrize(("name", "is_good"), [*((n, True) for n in ZONES_GOOD), *((n, False) for n in ZONES_BAD)])
def test_orders_on_a_zone(name: str, is_good: bool) -> None:
    found = find_violation(operations={**ZONES_GOOD, **ZONES_BAD}[name], model=Zone())
    assert (found is None) == is_good


def test_a_register_that_the_product_numbers() -> None:
    def put(begun: float, ended: float, given: str, *, expected=None, number=None, is_patch=False) -> Operation:
        call = NumberedChange(given=given, is_patch=is_patch, expected=expected, number=number)
        return Operation(name=given, begun=begun, ended=ended, call=call, is_certain=ended != NEVER)

    def seen(begun: float, number: int, content: str) -> Operation:
        return Operation(name="read", begun=begun, ended=begun + 1, call=NumberedRead(number=number, content=content))

    whole, patch = put(0, 1, '{"a":1}', number=1), put(2, 3, '{"b":2}', number=2, is_patch=True)
    late = put(2, NEVER, '{"c":3}', is_patch=True)
    model = NumberedRegister()
    assert find_violation(operations=[whole, patch, seen(4, 2, '{"a":1,"b":2}')], model=model) is None
    assert find_violation(operations=[whole, late, seen(4, 2, '{"a":1,"c":3}')], model=model) is None
    assert find_violation(operations=[whole, late, seen(4, 1, '{"a":1}')], model=model) is None
    assert find_violation(operations=[whole, patch, seen(4, 2, '{"a":1}')], model=model) is not None
    assert find_violation(operations=[whole, put(2, 3, "{}", number=1)], model=model) is not None
    assert find_violation(operations=[whole, put(2, 3, "{}", expected=0, number=2)], model=model) is not None


def test_histories_of_the_products_own_world_are_read() -> None:
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
    assert [order.detail.split(":")[0] for order in check_operator_orders(history=history)] == ["config", "x"]


def test_a_search_that_takes_too_long_says_so(monkeypatch) -> None:
    monkeypatch.setattr(linearizability, "MOST_STEPS", 3)
    with pytest.raises(Undecided):
        find_violation(operations=GOOD["acknowledged late, others on top of it"], model=LabelledRegister())


def is_explained(*, operations: list[Operation], model) -> bool:
    """By brute force: every order of every choice of the uncertain ones."""
    certain = [one for one in operations if one.is_certain]
    uncertain = [one for one in operations if not one.is_certain]
    for count in range(len(uncertain) + 1):
        for chosen in itertools.combinations(uncertain, count):
            for line in itertools.permutations([*certain, *chosen]):
                if any(b.ended < a.begun for at, a in enumerate(line) for b in line[at + 1 :]):
                    continue
                state = model.initial
                for operation in line:
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
    st.builds(lambda span, base: loss(*span, base), SPAN, st.integers(0, 2)),
    st.builds(lambda span, label: read(*span, label), SPAN, st.integers(0, 3)),
)
ZONED = st.one_of(
    st.builds(lambda span, kind: order(*span, kind), SPAN, st.booleans()),
    st.builds(lambda span, kind: order(span[0], NEVER, kind), SPAN, st.booleans()),
    st.builds(lambda span, kind: dataclasses.replace(order(*span, kind), is_certain=False), SPAN, st.booleans()),
    st.builds(lambda span, kind: look(*span, kind), SPAN, st.booleans()),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(LABELLED, max_size=5))
def test_the_search_agrees_with_brute_force(operations: list) -> None:
    model = LabelledRegister()
    found = find_violation(operations=operations, model=model)
    assert (found is None) == is_explained(operations=operations, model=model)


@settings(max_examples=300, deadline=None)
@given(st.lists(ZONED, max_size=5))
@example(
    [
        dataclasses.replace(order(0, 1.5, True), is_certain=False),
        order(0, 2.5, False),
        look(0, 2.5, True),
        look(2, 3.5, False),
    ]
)
def test_the_search_agrees_with_brute_force_on_zones(operations: list) -> None:
    found = find_violation(operations=operations, model=Zone())
    assert (found is None) == is_explained(operations=operations, model=Zone())
