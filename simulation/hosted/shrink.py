"""Shrinks a failing run to a few explicit steps that still break the same rule.

Delta debugging: Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from simulation.hosted.scenario import explicit_scenario, run_scenario
from simulation.scenarios import Scenario

HISTORY_ONLY_VERBS = ("mark",)
"""Verbs that only write to the history: dropped before shrinking."""
TAIL = 12.0
"""s of a run that are kept after its last step."""


@dataclass(frozen=True, kw_only=True)
class Shrunk:
    """The result: the scenario with its remaining steps, the rules that it breaks, and the number of runs needed."""

    scenario: Scenario
    rules: frozenset
    runs: int


def rules_broken(*, scenario: Scenario, seed: int, without: str = "") -> frozenset:
    """The names of the rules that a run breaks; `simulator: ...` for a run that ends by a fault of the simulator."""
    try:
        outcome = run_scenario(scenario=scenario, seed=seed, without=without)
    except Exception as fault:  # noqa: BLE001 any fault of the simulator is a finding of its own
        return frozenset({f"simulator: {type(fault).__name__}"})
    return frozenset(violation.rule for violation in outcome.violations)


def shrink(
    *,
    scenario: Scenario,
    seed: int,
    run_all: Callable,
    report: Callable[[str], None] = lambda text: None,
) -> Shrunk | None:
    """The smallest set of steps found that breaks the same rule; None if the run breaks none.

    `run_all` maps a list of scenarios to the rules that each breaks, and may run several at once; `report` gets lines
    about the progress.
    """
    base = replace(explicit_scenario(scenario=scenario, seed=seed), expects=[], must_fail_without=[])
    [rules] = run_all([base])
    if not rules:
        return None
    steps = [step for step in base.steps if step[1] not in HISTORY_ONLY_VERBS]
    wanted = rules
    runs = 1

    def first_failing(candidates: list[list]) -> int | None:
        """The first of these sets of steps that still breaks a wanted rule."""
        nonlocal runs
        runs += len(candidates)
        found = run_all([replace(base, steps=candidate) for candidate in candidates])
        return next((at for at, rules in enumerate(found) if rules & wanted), None)

    steps = _cut_end_by_halves(steps=steps, first_failing=first_failing)
    parts = 2
    while len(steps) > 1:
        pieces = list(_split(steps=steps, parts=min(parts, len(steps))))
        others = [[step for piece in pieces if piece is not left_out for step in piece] for left_out in pieces]
        at = first_failing(others)
        report(f"{len(steps)} steps, {len(pieces)} parts, {runs} runs")
        if at is not None:
            steps, parts = others[at], max(len(pieces) - 1, 2)
        elif len(pieces) >= len(steps):
            break
        else:
            parts = 2 * len(pieces)
    end = max((when for when, _, _ in steps), default=0.0) + TAIL
    if end < base.end and first_failing([steps]) is not None:
        trimmed = replace(base, steps=steps, end=round(end, 1))
        base = trimmed if run_all([trimmed])[0] & wanted else base
    minimal = replace(base, steps=steps, seeds=range(seed, seed + 1))
    return Shrunk(scenario=minimal, rules=run_all([minimal])[0] & wanted, runs=runs)


def _cut_end_by_halves(*, steps: list, first_failing: Callable) -> list:
    """Drop the later half of the steps repeatedly, which takes few runs and makes the following ones short."""
    while len(steps) > 8:
        half = steps[: len(steps) // 2]
        load = [step for step in steps if step[1] == "load" and step not in half]
        if first_failing([[*half, *load]]) is None:
            return steps
        steps = [*half, *load]
    return steps


def _split(*, steps: list, parts: int) -> Iterator[list]:
    size, remainder = divmod(len(steps), parts)
    start = 0
    for at in range(parts):
        end = start + size + (at < remainder)
        yield steps[start:end]
        start = end


def write_scenario(*, scenario: Scenario, title: str, rule: str) -> str:
    """The text of a scenario with explicit steps; reading it again gives the same run."""
    seeds = scenario.seeds
    lines = [
        f"title {title}",
        f"rule {rule}",
        f"fleet {scenario.fleet}",
        f"seeds {seeds.start}-{seeds.stop - 1}",
        *(f"with {name} {value}" for name, value in scenario.constants.items()),
        *(
            " ".join(["at", str(when), verb, *words])
            for when, verb, words in sorted(scenario.steps, key=lambda step: step[0])
        ),
        f"end {scenario.end}",
    ]
    return "\n".join(lines) + "\n"
