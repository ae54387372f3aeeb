"""Run scenarios of the users' platform in virtual time.

Usage:
  hosted shrink [options] FILE
  hosted draw [options] FILE
  hosted [options] FILE...

`shrink` reduces a failing run to the fewest steps that still break one of the same rules, shows its progress, and
writes them as a scenario. `draw` prints the steps that a seed generates.

Options:
  --seeds RANGE        For example 1-50; by default those that the file names.
  --without SAFEGUARD  Disable a safeguard first.
  --logs               Show the daemons' logs.
  --jobs N             Seeds run at once [default: 4].
  --seed N             The seed of the run.
  --out PATH           File for the reduced scenario; by default it is printed.
"""

from __future__ import annotations

import collections
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from pathlib import Path

from docopt import docopt

from simulation.hosted.scenario import explicit_scenario, read_scenario, run_scenario
from simulation.hosted.shrink import rules_broken, shrink, write_scenario
from simulation.hosted.world import World
from simulation.scenarios import Scenario, Sweep, show_logs


def _logs_of(world: World) -> list[str]:
    rows = [
        (moment, process.name, *rest)
        for machine in world.machines.values()
        for process in machine.processes.values()
        for moment, *rest in process.logs
    ]
    ends = collections.Counter((row["kind"], row["why"]) for row in world.history.of(k="end") if not row["good"])
    codes = collections.Counter((row["code"], row["reason"] or row["why"]) for row in world.history.of(k="got"))
    return [
        *show_logs(rows=rows, begin=world.begin),
        f"  not served {dict(ends)}",
        f"  answers {dict(codes)}",
        f"  counts {dict(world.count)}",
    ]


def _begin_of(world: World) -> float:
    return world.begin


def _kinds_of(world: World) -> collections.Counter:
    return collections.Counter(row["kind"] for row in world.history.of(k="chaos"))


def _rules_of(scenario: Scenario, seed: int, without: str) -> frozenset:
    return rules_broken(scenario=scenario, seed=seed, without=without)


def shrink_file(*, path: str, seed: int, without: str, workers: int, out: str) -> int:
    """Shrink a failing run; returns the exit code."""
    scenario = read_scenario(text=Path(path).read_text("utf-8"))
    with ProcessPoolExecutor(max_workers=workers) as pool:
        run = partial(_rules_of, seed=seed, without=without)
        reduced = shrink(
            scenario=scenario,
            seed=seed,
            run_all=lambda candidates: list(pool.map(run, candidates)),
            report=lambda text: print(text, file=sys.stderr, flush=True),
        )
    if reduced is None:
        print(f"{path} seed {seed}: no rule is broken")
        return 1
    rule = " ".join(sorted(reduced.rules))
    text = write_scenario(scenario=reduced.scenario, title=f"Shrunk from seed {seed} of {Path(path).stem}", rule=rule)
    if out:
        Path(out).write_text(text, "utf-8")
    else:
        print(text, end="")
    print(f"{len(reduced.scenario.steps)} steps, {reduced.runs} runs", file=sys.stderr)
    return 0


def draw_file(*, path: str, seed: int) -> None:
    """Print the steps that a seed generates, as a scenario."""
    scenario = read_scenario(text=Path(path).read_text("utf-8"))
    explicit = replace(explicit_scenario(scenario=scenario, seed=seed), seeds=range(seed, seed + 1))
    print(write_scenario(scenario=explicit, title=scenario.title, rule=scenario.rule), end="")


SWEEP = Sweep(read=read_scenario, run=run_scenario, begin_of=_begin_of, logs_of=_logs_of, kinds_of=_kinds_of)


def main() -> None:
    """Run all files with all their seeds, or shrink or print one run."""
    flags = docopt(__doc__)
    if flags["draw"]:
        draw_file(path=flags["FILE"][0], seed=int(flags["--seed"]))
    elif flags["shrink"]:
        code = shrink_file(
            path=flags["FILE"][0],
            seed=int(flags["--seed"]),
            without=flags["--without"] or "",
            workers=int(flags["--jobs"]),
            out=flags["--out"] or "",
        )
        sys.exit(code)
    else:
        SWEEP.run_all(flags=flags)


if __name__ == "__main__":
    main()
