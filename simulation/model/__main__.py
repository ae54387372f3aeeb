"""Search the interleavings of a case; exit code 1 if an invariant is violated.

Run as `python -m simulation.model`.

Usage:
  model [options] [<case>...]
  model --list

Options:
  --most=N         Most states to visit in each case, 0 for no bound [default: 0].
  --depth=N        Most actions in a history, 0 for no bound [default: 0].
  --walks=N        Number of random histories to run instead of a search of all states [default: 0].
  --seed=N         Seed of the random histories [default: 1].
  --without=FAULT  Plant this fault before the search.
  --list           List the cases and the faults.
"""

from __future__ import annotations

import contextlib
import sys
import time

from docopt import docopt

from simulation.model.cases import CASES
from simulation.model.explore import SearchResult, explore, shorten, walk
from simulation.model.faults import FAULTS


def main(argv: list[str] | None = None) -> int:
    """Search each case and print the results."""
    flags = docopt(__doc__, argv=argv)
    if flags["--list"]:
        print("cases: " + " ".join(CASES), "faults: " + " ".join(FAULTS), sep="\n")
        return 0
    with contextlib.ExitStack() as stack:
        if flags["--without"]:
            for patch in FAULTS[flags["--without"]]():
                stack.enter_context(patch)
        results = [_search(name=name, flags=flags) for name in flags["<case>"] or CASES]
    return 1 if any(result.violation for result in results) else 0


def _search(*, name: str, flags: dict) -> SearchResult:
    started_at, bounds = time.process_time(), CASES[name]

    def report_progress(states: int, queued: int, depth: int) -> None:
        print(f"  {name}: {states} states, {queued} in line, depth {depth}", file=sys.stderr, flush=True)

    if int(flags["--walks"]):
        result = walk(
            bounds=bounds, walks=int(flags["--walks"]), seed=int(flags["--seed"]), report_progress=report_progress
        )
    else:
        result = explore(
            bounds=bounds,
            max_states=int(flags["--most"]),
            max_depth=int(flags["--depth"]),
            report_progress=report_progress,
        )
    extent = "all" if result.is_complete else "not all"
    print(
        f"{name}: {result.states} states ({extent}), {result.steps} steps, depth {result.depth}, "
        f"{time.process_time() - started_at:.1f} s of a core: {result.violation or 'nothing broken'}",
        flush=True,
    )
    for action in shorten(bounds=bounds, trace=result.trace) if result.violation else ():
        print(f"    {action}")
    return result


if __name__ == "__main__":
    sys.exit(main())
