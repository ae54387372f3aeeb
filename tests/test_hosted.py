"""Runs each scenario of the users' platform with each of its seeds, and without each safeguard that it tests."""

from __future__ import annotations

from pathlib import Path

import pytest

from simulation.hosted.scenario import read_scenario, run_scenario

FILES = sorted(Path(__file__).parent.joinpath("hosted").glob("*.txt"))
SCENARIOS = {path.stem: read_scenario(text=path.read_text("utf-8")) for path in FILES}


@pytest.mark.parametrize(
    ("name", "seed"), [(name, seed) for name, scenario in SCENARIOS.items() for seed in scenario.seeds]
)
def test_no_rule_is_broken(name: str, seed: int) -> None:
    outcome = run_scenario(scenario=SCENARIOS[name], seed=seed)
    assert not outcome.violations, outcome.violations[:5]
    assert not outcome.failed, outcome.failed


@pytest.mark.plants_faults
@pytest.mark.parametrize(
    ("name", "safeguard", "rule"),
    [(name, *fail) for name, scenario in SCENARIOS.items() for fail in scenario.must_fail_without],
)
def test_fails_without_its_safeguard(name: str, safeguard: str, rule: str) -> None:
    found_rules = set()
    for seed in SCENARIOS[name].seeds:
        outcome = run_scenario(scenario=SCENARIOS[name], seed=seed, without=safeguard)
        found_rules |= {violation.rule for violation in outcome.violations} | {
            fault.split()[0] for fault in outcome.failed
        }
        if rule in found_rules:
            return
    raise AssertionError(f"without {safeguard} the scenario shows {sorted(found_rules)}, not {rule}")


@pytest.mark.parametrize(
    "text",
    [
        "at 1 dance",
        "at 1 kill",
        "at 1 kill waiter@all",
        "at 1 on-ack stop waiter@all",
        "at 1 cut a b",
        "fails without nothing by TWICE",
        "sing",
        "with NOTHING 3",
        "every 1 from 0 to 3 kill",
    ],
)
def test_a_scenario_that_is_wrong_is_refused_by_its_line(text: str) -> None:
    with pytest.raises(ValueError, match="line 2"):
        read_scenario(text="title x\n" + text)
