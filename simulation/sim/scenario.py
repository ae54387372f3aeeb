"""Scenarios: small text files, read and run on the simulator."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from unittest import mock

from sailward import constants
from simulation.checker import Broken, check_history
from simulation.deployments import DEPLOYMENTS
from simulation.sim.expect import judge_expectation
from simulation.sim.faults import Faults, find_fault
from simulation.sim.sabotage import SABOTAGE
from simulation.sim.world import World

BEGIN = 1000.0


LAST_LOOK = 1.5
"""s before the end of a run at which operators read which halls are emptied, if they gave orders on halls."""


@dataclass(kw_only=True)
class Scenario:
    """One scenario as its file tells it."""

    title: str = ""
    rule: str = ""
    fleet: str = "arriaga"
    seeds: range = range(1, 4)
    steps: list = field(default_factory=list)
    expects: list = field(default_factory=list)
    constants: dict = field(default_factory=dict)
    fails: list = field(default_factory=list)
    end: float = 30.0


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a run showed."""

    broken: list
    failed: list
    figures: dict
    world: World


def read_scenario(*, text: str) -> Scenario:
    """The scenario in a text; a ValueError names the line and word that is wrong."""
    scenario = Scenario()
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split("#")[0].split()
        if not words:
            continue
        head, rest = words[0], words[1:]
        if head in ("title", "rule"):
            setattr(scenario, head, " ".join(rest))
        elif head == "fleet":
            scenario.fleet = rest[0]
        elif head == "seeds":
            low, _, high = rest[0].partition("-")
            scenario.seeds = range(int(low), int(high or low) + 1)
        elif head == "at":
            scenario.steps.append((float(rest[0]), rest[1], rest[2:]))
            _check_step(number=number, step=scenario.steps[-1])
        elif head == "every":
            step, begin, end = float(rest[0]), float(rest[2]), float(rest[4])
            count = int(round((end - begin) / step))
            scenario.steps += [(begin + step * i, rest[5], rest[6:]) for i in range(count)]
            _check_step(number=number, step=scenario.steps[-1])
        elif head == "with":
            # with CONSTANT VALUE: another value for this run, as of a life too long to simulate
            if not hasattr(constants, rest[0]):
                raise ValueError(f"line {number}: no constant {rest[0]!r}")
            scenario.constants[rest[0]] = float(rest[1])
        elif head == "end":
            scenario.end = float(rest[0])
        elif head == "expect":
            scenario.expects.append(rest)
        elif head == "fails":
            # fails without SAFEGUARD by RULE
            scenario.fails.append((rest[1], rest[3]))
        else:
            raise ValueError(f"line {number}: unknown word {head!r}")
    return scenario


def _check_step(*, number: int, step: tuple) -> None:
    fault = find_fault(verb=step[1], words=step[2])
    if fault:
        raise ValueError(f"line {number}: {fault}")


def run_scenario(*, scenario: Scenario, seed: int, without: str = "") -> Outcome:
    """Run once with this seed; `without` takes a safeguard out first."""
    with contextlib.ExitStack() as stack:
        for name, value in scenario.constants.items():
            stack.enter_context(mock.patch.object(constants, name, value))
        if without:
            stack.enter_context(SABOTAGE[without]())
        return _run(scenario=scenario, seed=seed)


def _look_last(*, world: World, faults: Faults) -> None:
    if any(world.history.of(k=kind) for kind in ("emptied", "refilled")):
        faults.step(verb="read-orders", words=[])


def _run(*, scenario: Scenario, seed: int) -> Outcome:
    world = World(deployment=DEPLOYMENTS[scenario.fleet](), seed=seed)
    faults = Faults(world=world)
    for when, verb, words in scenario.steps:
        world.clock.at(BEGIN + when, lambda verb=verb, words=words: faults.step(verb=verb, words=words))
    world.clock.at(BEGIN + scenario.end - LAST_LOOK, lambda: _look_last(world=world, faults=faults))
    world.clock.run(until=BEGIN + scenario.end)
    faults.note_stored()
    broken: list[Broken] = check_history(history=world.history, deployment=world.deployment)
    failed, figures = [], {}
    for words in scenario.expects:
        fault, figure = judge_expectation(words=words, world=world, begin=BEGIN)
        figures[" ".join(words)] = figure
        if fault:
            failed.append(fault)
    return Outcome(broken=broken, failed=failed, figures=figures, world=world)
