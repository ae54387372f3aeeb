"""Shrinking a failing run: on made-up runs, and on a planted fault in the hosted simulation."""

from __future__ import annotations

import pytest

from simulation.hosted.scenario import explicit_scenario, read_scenario, run_scenario
from simulation.hosted.shrink import rules_broken, shrink, write_scenario
from simulation.scenarios import Scenario

PLANTED = """
title a planted fault
fleet drawn-2
at 4 load 9 0.4
at 4.2 hup all
at 4.5 evacuate ens-z1
at 5 slow notes@gdl-z0 4 2
at 6 list-down 0.5
end 14
"""
DRAWN = """
fleet drawn-2
draw 1
"""


def _steps(count: int) -> list:
    return [(float(at), "chill", [f"notes@zone{at}"]) for at in range(count)]


@pytest.mark.parametrize("needed", [{3}, {0, 39}, {7, 8, 21}, {1, 11, 30, 38}])
def test_only_the_steps_that_matter_are_left(needed: set) -> None:
    def run_all(candidates: list) -> list:
        return [
            frozenset({"TWICE"}) if needed <= {int(when) for when, _, _ in candidate.steps} else frozenset()
            for candidate in candidates
        ]

    found = shrink(scenario=Scenario(steps=_steps(40), end=60.0), seed=1, run_all=run_all)
    assert found is not None
    assert {int(when) for when, _, _ in found.scenario.steps} == needed
    assert found.rules == {"TWICE"}


def test_steps_that_break_another_rule_are_dropped() -> None:
    def run_all(candidates: list) -> list:
        return [
            frozenset({"TWICE"} if {4, 5} <= {int(step[0]) for step in candidate.steps} else {"HOME"})
            for candidate in candidates
        ]

    found = shrink(scenario=Scenario(steps=_steps(12), end=20.0), seed=1, run_all=run_all)
    assert found is not None
    assert {int(step[0]) for step in found.scenario.steps} == {4, 5}


def test_a_run_that_breaks_nothing_is_not_shrunk() -> None:
    assert shrink(scenario=Scenario(steps=_steps(5)), seed=1, run_all=lambda all: [frozenset() for _ in all]) is None


def test_a_planted_fault_is_shrunk_to_a_small_scenario_that_shows_it_again() -> None:
    """Evacuations that reach no proxy: traffic and one evacuation are enough to show the fault."""

    def run_all(candidates: list) -> list:
        return [rules_broken(scenario=candidate, seed=1, without="evacuation") for candidate in candidates]

    found = shrink(scenario=read_scenario(text=PLANTED), seed=1, run_all=run_all)
    assert found is not None
    assert found.rules == {"EVAC"}
    assert sorted(verb for _, verb, _ in found.scenario.steps) == ["evacuate", "load"]
    again = read_scenario(text=write_scenario(scenario=found.scenario, title="planted", rule="EVAC"))
    assert rules_broken(scenario=again, seed=1, without="evacuation") == {"EVAC"}
    assert not rules_broken(scenario=again, seed=1)


def test_a_drawn_day_written_out_is_the_same_run() -> None:
    drawn = read_scenario(text=DRAWN)
    written = write_scenario(scenario=explicit_scenario(scenario=drawn, seed=2), title="drawn", rule="none")
    first, second = run_scenario(scenario=drawn, seed=2), run_scenario(scenario=read_scenario(text=written), seed=2)
    assert first.world.history.rows == second.world.history.rows
