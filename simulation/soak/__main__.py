"""Run the soak test: the platform's daemons as real processes on loopback, under random faults.

Usage:
  soak [--seeds LIST] [--seconds S] [--keep FOLDER]

Options:
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


def main() -> None:
    """Run the soak test with each seed, one after the other."""
    flags = docopt(__doc__)
    first, _, last = flags["--seeds"].partition("-")
    has_violations = False
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            verdict = asyncio.run(Soak(seed=seed, seconds=float(flags["--seconds"]), folder=Path(folder)).run())
            print(seed, "BROKEN" if verdict.violations else "sound", verdict.figures, flush=True)
            for violation in verdict.violations[:10]:
                print("   ", violation, flush=True)
            if verdict.violations:
                has_violations = True
                shutil.copytree(folder, Path(flags["--keep"], f"seed-{seed}"), dirs_exist_ok=True)
    sys.exit(int(has_violations))


if __name__ == "__main__":
    main()
