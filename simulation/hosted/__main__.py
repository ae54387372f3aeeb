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
import sys
import time
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from docopt import docopt

from simulation.hosted.scenario import Outcome, read_scenario, run_scenario


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
    lines += [f"  broken {one.rule} at {one.t - outcome.world.begin:.2f}: {one.detail}" for one in outcome.broken[:8]]
    lines += [f"  failed {one}" for one in outcome.failed]
    lines += [f"  {name}: {figure}" for name, figure in outcome.figures.items()]
    if logs:
        lines += _show_logs(outcome=outcome)
    return not outcome.broken and not outcome.failed, "\n".join(lines)


def _show_logs(*, outcome: Outcome) -> list[str]:
    world = outcome.world
    rows = [
        (t, process.name, event, fields)
        for machine in world.machines.values()
        for process in machine.processes.values()
        for t, event, fields in process.logs
    ]
    ends = collections.Counter((row["kind"], row["why"]) for row in world.history.of(k="end") if not row["good"])
    codes = collections.Counter((row["code"], row["reason"] or row["why"]) for row in world.history.of(k="got"))
    lines = [
        f"  {t - world.begin:8.3f} {name} {event} {fields}"
        for t, name, event, fields in sorted(rows, key=lambda row: row[0])
    ]
    return [*lines, f"  not served {dict(ends)}", f"  answers {dict(codes)}", f"  counts {dict(world.count)}"]


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
