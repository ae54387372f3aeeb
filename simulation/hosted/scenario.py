"""Scenarios of the users' platform: small text files, read and run on the simulated one."""

from __future__ import annotations

from simulation.hosted.deployment import DEPLOYMENTS
from simulation.hosted.expect import judge_expectation
from simulation.hosted.judge import judge
from simulation.hosted.sabotage import SABOTAGE
from simulation.hosted.verbs import PARTS, find_fault, name_of
from simulation.hosted.world import World
from simulation.scenarios import Grammar, Outcome, Scenario

WARM_UP = (("start", 0.5, []), ("put", 2.0, ["1"]))
"""What every day begins with unless its file says otherwise: (verb, s, words)."""


LAST_LOOK = 1.5
"""s before the end of a day at which operators read which zones are emptied, if they gave orders on zones."""
GRAMMAR = Grammar(fleet="small", seeds=range(1, 3), comment="#!", find_fault=find_fault, safeguards=SABOTAGE)


def read_scenario(*, text: str) -> Scenario:
    """The scenario in a text; a ValueError names the line and word that is wrong."""
    return GRAMMAR.read(text=text)


def run_scenario(*, scenario: Scenario, seed: int, without: str = "") -> Outcome:
    """Run once with this seed; `without` takes a safeguard out first."""
    return GRAMMAR.run(scenario=scenario, seed=seed, without=without, play=_play)


def _look_last(*, world: World) -> None:
    if world.history.of(k="ordered"):
        world.operator.read_orders()


def _play(*, scenario: Scenario, seed: int) -> Outcome:
    world = World(deployment=DEPLOYMENTS[scenario.fleet](), seed=seed, end=scenario.end)
    parts = [part(world=world) for part in PARTS]
    given = {verb for _, verb, _ in scenario.steps}
    steps = [
        *((when, verb, words) for verb, when, words in WARM_UP if verb not in given or verb == "put"),
        *scenario.steps,
    ]
    for when, verb, words in steps:
        method = next(getattr(part, name_of(verb=verb)) for part in parts if hasattr(part, name_of(verb=verb)))
        world.clock.at(world.begin + when, lambda method=method, words=words: method(*words))
    world.clock.at(world.end - LAST_LOOK, lambda: _look_last(world=world))
    world.clock.run(until=world.end)
    world.close()
    failed, figures = [], {}
    for words in scenario.expects:
        fault, figure = judge_expectation(words=words, world=world)
        figures[" ".join(words)] = figure
        if fault:
            failed.append(fault)
    return Outcome(broken=judge(world=world), failed=failed, figures=figures, world=world)
