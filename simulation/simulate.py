"""Run scenarios on the simulator.

Usage:
  simulate [options] FILE...

Options:
  --seeds RANGE        As in 1-50; by default those that the file names.
  --without SAFEGUARD  Take a safeguard out first.
  --logs               Show the daemons' logs.
  --jobs N             Seeds run at once [default: 4].
"""

from __future__ import annotations

import sys
import time
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from docopt import docopt

from simulation.sim.scenario import read_scenario, run_scenario


def run_one(*, path: str, seed: int, without: str, logs: bool) -> tuple[bool, str]:
    """Run one seed of one file: (is it sound, what to print)."""
    scenario = read_scenario(text=Path(path).read_text("utf-8"))
    began = time.perf_counter()
    try:
        outcome = run_scenario(scenario=scenario, seed=seed, without=without)
    except Exception:  # a fault of the stand-ins is no sound run, and must not end the sweep
        return False, f"{Path(path).stem} seed {seed}: fault\n{traceback.format_exc()}"
    lines = [
        f"{Path(path).stem} seed {seed}: {len(outcome.broken)} broken, {len(outcome.failed)} failed, "
        f"{scenario.end / (time.perf_counter() - began):.1f} times real time"
    ]
    lines += [f"  broken {one.rule} at {one.t - 1000:.2f}: {one.detail}" for one in outcome.broken[:8]]
    lines += [f"  failed {one}" for one in outcome.failed]
    lines += [f"  {name}: {figure}" for name, figure in outcome.figures.items()]
    if logs:
        rows = [
            (t, node.place.name, event, fields)
            for node in outcome.world.nodes.values()
            for t, event, fields in node.logs
        ]
        lines += [
            f"  {t - 1000:8.3f} {name} {event} {fields}"
            for t, name, event, fields in sorted(rows, key=lambda row: row[0])
        ]
        lines.append(f"  messages {dict(outcome.world.messages)}")
    return not outcome.broken and not outcome.failed, "\n".join(lines)


def main() -> None:
    """Run all files with all their seeds."""
    flags = docopt(__doc__)
    jobs = []
    for path in flags["FILE"]:
        seeds = read_scenario(text=Path(path).read_text("utf-8")).seeds
        if flags["--seeds"]:
            low, _, high = flags["--seeds"].partition("-")
            seeds = range(int(low), int(high or low) + 1)
        jobs += [(path, seed) for seed in seeds]
    bad = 0
    with ProcessPoolExecutor(max_workers=int(flags["--jobs"])) as pool:
        futures = [
            pool.submit(run_one, path=path, seed=seed, without=flags["--without"] or "", logs=flags["--logs"])
            for path, seed in jobs
        ]
        for future in futures:
            sound, text = future.result()
            bad += not sound
            print(text, flush=True)
    print(f"{len(jobs)} runs, {bad} not sound")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
