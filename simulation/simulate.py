"""Run scenarios on the simulator.

Usage:
  simulate [options] FILE...

Options:
  --seeds RANGE        As in 1-50; by default those that the file names.
  --without SAFEGUARD  Disable a safeguard first.
  --logs               Show the daemons' logs.
  --jobs N             Seeds run at once [default: 4].
"""

from __future__ import annotations

from docopt import docopt

from simulation.scenarios import Sweep, show_logs
from simulation.sim.scenario import BEGIN, read_scenario, run_scenario
from simulation.sim.world import World


def _logs_of(world: World) -> list[str]:
    rows = [(moment, node.location.name, *rest) for node in world.nodes.values() for moment, *rest in node.logs]
    return [*show_logs(rows=rows, begin=BEGIN), f"  messages {dict(world.messages)}"]


def _begin_of(world: World) -> float:
    return BEGIN


SWEEP = Sweep(read=read_scenario, run=run_scenario, begin_of=_begin_of, logs_of=_logs_of)


def main() -> None:
    """Run all files with all their seeds."""
    SWEEP.run_all(flags=docopt(__doc__))


if __name__ == "__main__":
    main()
