"""Each scenario file passes with all of its seeds, and fails without each safeguard that it tests."""

from __future__ import annotations

from pathlib import Path

import pytest

from simulation.sim.scenario import read_scenario, run_scenario

FILES = sorted(Path(__file__).parent.joinpath("scenarios").glob("*.txt"))
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
    [(name, *pair) for name, scenario in SCENARIOS.items() for pair in scenario.must_fail_without],
)
def test_fails_without_its_safeguard(name: str, safeguard: str, rule: str) -> None:
    broken_rules = set()
    for seed in SCENARIOS[name].seeds:
        outcome = run_scenario(scenario=SCENARIOS[name], seed=seed, without=safeguard)
        broken_rules |= {violation.rule for violation in outcome.violations} | {
            failure.split()[0] for failure in outcome.failed
        }
        if rule in broken_rules:
            return
    raise AssertionError(f"without {safeguard} the scenario shows {sorted(broken_rules)}, not {rule}")
