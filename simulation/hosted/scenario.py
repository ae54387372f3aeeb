"""Scenarios of the users' platform: small text files that are read and run on the simulated platform."""

from __future__ import annotations

from dataclasses import replace

from simulation.hosted.deployment import DEPLOYMENTS, Deployment
from simulation.hosted.draw import draw_day
from simulation.hosted.draw_others import ALL_KINDS
from simulation.hosted.drawn_deployment import draw_deployment
from simulation.hosted.expect import judge_expectation
from simulation.hosted.judge import judge
from simulation.hosted.sabotage import SAFEGUARD_PATCHES
from simulation.hosted.verbs import Verbs, find_fault
from simulation.hosted.world import World
from simulation.scenarios import Grammar, Outcome, Scenario

WARM_UP = (("start", 0.5, []), ("put", 2.0, ["1"]))
"""The steps that every run begins with unless its file says otherwise: (verb, s, words)."""
DRAWN_FLEET = "drawn"
"""The name of a fleet that is drawn by the run's seed; `drawn-N` is the fleet that seed N draws."""


FINAL_READ_BEFORE_END = 1.5
"""s before the end of a run at which operators read which zones are evacuated, if they gave orders on zones."""
GRAMMAR = Grammar(
    fleet="small", seeds=range(1, 3), comment="#!", find_fault=find_fault, safeguards=SAFEGUARD_PATCHES, can_draw=True
)


def read_scenario(*, text: str) -> Scenario:
    """Read a scenario from text; a ValueError names the line and word that is wrong."""
    return GRAMMAR.read(text=text)


def run_scenario(*, scenario: Scenario, seed: int, without: str = "") -> Outcome:
    """Run once with this seed; `without` names a safeguard to switch off."""
    return GRAMMAR.run(scenario=scenario, seed=seed, without=without, play=_play)


def explicit_scenario(*, scenario: Scenario, seed: int) -> Scenario:
    """The same scenario with the steps and the fleet that this seed draws written out."""
    if not scenario.drawn:
        return scenario
    kinds = {name: draw for name, draw in ALL_KINDS.items() if not scenario.kinds or name.split()[0] in scenario.kinds}
    deployment = _deployment_of(fleet=scenario.fleet, seed=seed)
    steps, end = draw_day(deployment=deployment, seed=seed, seconds=scenario.drawn, kinds=kinds)
    fleet = f"{DRAWN_FLEET}-{seed}" if scenario.fleet == DRAWN_FLEET else scenario.fleet
    return replace(scenario, steps=[*scenario.steps, *steps], end=end, drawn=0.0, fleet=fleet)


def _deployment_of(*, fleet: str, seed: int) -> Deployment:
    name, _, number = fleet.partition("-")
    return draw_deployment(seed=int(number or seed)) if name == DRAWN_FLEET else DEPLOYMENTS[fleet]()


def _read_orders_at_end(*, world: World) -> None:
    if world.history.of(k="ordered"):
        world.operator.read_orders()


def _play(*, scenario: Scenario, seed: int) -> Outcome:
    scenario = explicit_scenario(scenario=scenario, seed=seed)
    world = World(deployment=_deployment_of(fleet=scenario.fleet, seed=seed), seed=seed, end=scenario.end)
    verbs = Verbs(world=world)
    given_verbs = {verb for _, verb, _ in scenario.steps}
    steps = [
        *((when, verb, words) for verb, when, words in WARM_UP if verb not in given_verbs or verb == "put"),
        *scenario.steps,
    ]
    for when, verb, words in steps:
        world.clock.at(world.begin + when, lambda verb=verb, words=words: verbs.do(verb, words))
    world.clock.at(world.end - FINAL_READ_BEFORE_END, lambda: _read_orders_at_end(world=world))
    world.clock.run(until=world.end)
    world.finish()
    failed, figures = [], {}
    for words in scenario.expects:
        fault, figure = judge_expectation(words=words, world=world)
        figures[" ".join(words)] = figure
        if fault:
            failed.append(fault)
    return Outcome(violations=judge(world=world), failed=failed, figures=figures, world=world)
