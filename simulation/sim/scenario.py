"""Reads scenario files and runs them on the simulator."""

from __future__ import annotations

from simulation.checker import Violation, check_history
from simulation.deployments import DEPLOYMENTS
from simulation.scenarios import Grammar, Outcome, Scenario
from simulation.sim.expect import judge_expectation
from simulation.sim.faults import FaultInjector, find_fault
from simulation.sim.sabotage import SAFEGUARD_PATCHES
from simulation.sim.world import World

BEGIN = 1000.0
"""s on the virtual clock at which a run begins."""
FINAL_READ_BEFORE_END = 1.5
"""s before the end of a run at which operators read which zones are emptied, if any zone order was given."""
GRAMMAR = Grammar(
    fleet="arriaga",
    seeds=range(1, 4),
    comment="#",
    find_fault=find_fault,
    safeguards={name: lambda make=make: [make()] for name, make in SAFEGUARD_PATCHES.items()},
)


def read_scenario(*, text: str) -> Scenario:
    """Parse a scenario; a ValueError names the line and the error."""
    return GRAMMAR.read(text=text)


def run_scenario(*, scenario: Scenario, seed: int, without: str = "") -> Outcome:
    """Run once with this seed; `without` names a safeguard to disable."""
    return GRAMMAR.run(scenario=scenario, seed=seed, without=without, play=_play)


def _read_orders_at_end(*, world: World, injector: FaultInjector) -> None:
    if any(world.history.of(k=kind) for kind in ("emptied", "refilled")):
        injector.step(verb="read-orders", words=[])


def _play(*, scenario: Scenario, seed: int) -> Outcome:
    world = World(deployment=DEPLOYMENTS[scenario.fleet](), seed=seed)
    injector = FaultInjector(world=world)
    for second, verb, words in scenario.steps:
        world.clock.at(BEGIN + second, lambda verb=verb, words=words: injector.step(verb=verb, words=words))
    world.clock.at(
        BEGIN + scenario.end - FINAL_READ_BEFORE_END, lambda: _read_orders_at_end(world=world, injector=injector)
    )
    world.clock.run(until=BEGIN + scenario.end)
    injector.record_stored_results()
    violations: list[Violation] = check_history(history=world.history, deployment=world.deployment)
    failed, figures = [], {}
    for words in scenario.expects:
        failure, figure = judge_expectation(words=words, world=world, begin=BEGIN)
        figures[" ".join(words)] = figure
        if failure:
            failed.append(failure)
    return Outcome(violations=violations, failed=failed, figures=figures, world=world)
