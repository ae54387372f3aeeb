"""The explorer: small cases are searched completely; recorded histories violate an invariant only with their fault."""

from __future__ import annotations

import contextlib

import pytest

from simulation.model.cases import CASES
from simulation.model.explore import explore, replay, shorten, walk
from simulation.model.faults import FAULTS
from simulation.model.histories import HISTORIES, History
from simulation.model.space import Bounds, State


def replay_with(history: History, *, fault: str) -> State | None:
    """The final state of a history; None if one of its steps is not possible."""
    with contextlib.ExitStack() as stack:
        for patch in FAULTS[fault]() if fault else []:
            stack.enter_context(patch)
        try:
            return replay(bounds=history.bounds, trace=history.trace)
        except ValueError:
            return None


@pytest.mark.parametrize("name", HISTORIES)
def test_a_history_violates_an_invariant_only_with_its_planted_fault(name: str) -> None:
    history = HISTORIES[name]
    with_fault = replay_with(history, fault=history.fault)
    assert with_fault is not None
    assert with_fault.violation is not None
    assert with_fault.violation.rule == history.rule
    without = replay_with(history, fault="")
    assert without is None or without.violation is None


def test_every_planted_fault_has_a_history() -> None:
    assert {history.fault for history in HISTORIES.values()} == set(FAULTS)


@pytest.mark.parametrize("name", ["small-crash", "small-larger", "small-smaller", "small-changes"])
def test_a_small_case_is_searched_completely_without_a_violation(name: str) -> None:
    result = explore(bounds=CASES[name])
    assert result.is_complete
    assert result.violation is None


def test_a_search_detects_an_answer_before_the_sync_and_shortens_its_history() -> None:
    with contextlib.ExitStack() as stack:
        for patch in FAULTS["early-answer"]():
            stack.enter_context(patch)
        result = explore(bounds=CASES["small-crash"])
        assert result.violation is not None
        trace = shorten(bounds=CASES["small-crash"], trace=result.trace)
        assert len(trace) <= len(result.trace)
        assert replay(bounds=CASES["small-crash"], trace=trace).violation == result.violation


def test_random_histories_are_the_same_for_the_same_seed() -> None:
    bounds = Bounds(members=("a", "b", "c"), puts=("a",), reads=("b",))
    first, again = (walk(bounds=bounds, walks=20, seed=3) for _ in range(2))
    assert (first.states, first.steps) == (again.states, again.steps)
    assert first.violation is None


def test_replay_names_the_step_that_is_not_possible() -> None:
    with pytest.raises(ValueError, match="step 1"):
        replay(bounds=CASES["race"], trace=("copy a 9 b",))
