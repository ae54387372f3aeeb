"""Run the soak test: the platform's daemons as real processes on loopback, under random faults.

Usage:
  soak [--stops] [--seeds LIST] [--seconds S] [--proxies N] [--keep FOLDER]

Options:
  --stops          Planned stops of proxies in series (SIGTERM, once more, SIGHUP) in place of random faults.
  --proxies N      How many proxies run, with --stops [default: 5].
  --seeds LIST     A seed, or the first and last of a range, as in 3-7 [default: 1].
  --seconds S      How long faults are injected in each run [default: 15].
  --keep FOLDER    Where the logs of failed runs are kept [default: /tmp/sailward-soak].

Exit codes: 0 no violation; 1 at least one violation.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from simulation.soak.run import Soak
from simulation.soak.stop_run import StopSoak


def _make_soak(*, flags: dict, seed: int, folder: Path) -> Soak | StopSoak:
    seconds = float(flags["--seconds"])
    if flags["--stops"]:
        return StopSoak(seed=seed, seconds=seconds, folder=folder, proxies=int(flags["--proxies"]))
    return Soak(seed=seed, seconds=seconds, folder=folder)


def main() -> None:
    """Run the soak test with each seed, one after the other."""
    flags = docopt(__doc__)
    first, _, last = flags["--seeds"].partition("-")
    has_violations = False
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            verdict = asyncio.run(_make_soak(flags=flags, seed=seed, folder=Path(folder)).run())
            print(seed, "BROKEN" if verdict.violations else "sound", verdict.figures, flush=True)
            for violation in verdict.violations[:10]:
                print("   ", violation, flush=True)
            if verdict.violations:
                has_violations = True
                shutil.copytree(folder, Path(flags["--keep"], f"seed-{seed}"), dirs_exist_ok=True)
    sys.exit(int(has_violations))


if __name__ == "__main__":
    main()
