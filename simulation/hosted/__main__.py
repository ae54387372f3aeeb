"""Run scenarios of the users' platform in virtual time.

Usage:
  hosted [options] FILE...

Options:
  --seeds RANGE        As in 1-50; by default those that the file names.
  --without SAFEGUARD  Take a safeguard out first.
  --logs               Show the daemons' logs.
  --jobs N             Seeds run at once [default: 4].
"""

from __future__ import annotations

import collections

from docopt import docopt

from simulation.hosted.scenario import read_scenario, run_scenario
from simulation.hosted.world import World
from simulation.scenarios import Sweep, show_logs


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


SWEEP = Sweep(read=read_scenario, run=run_scenario, begin_of=_begin_of, logs_of=_logs_of)


def main() -> None:
    """Run all files with all their seeds."""
    SWEEP.run_all(flags=docopt(__doc__))


if __name__ == "__main__":
    main()
