"""Search the interleavings of a case; exit code 1 if an invariant is broken.

Run as `python -m simulation.model`.

Usage:
  model [options] [<case>...]
  model --list

Options:
  --most=N         States to visit in each case, 0 for no bound [default: 0].
  --depth=N        Actions in a history, 0 for no bound [default: 0].
  --walks=N        So many random histories instead of a search of all states [default: 0].
  --seed=N         Where the random histories begin [default: 1].
  --without=FAULT  Plant a fault first.
  --list           Show the cases and the faults.
"""

from __future__ import annotations

import contextlib
import sys
import time

from docopt import docopt

from simulation.model.cases import CASES
from simulation.model.explore import Found, explore, shorten, walk
from simulation.model.faults import FAULTS


def main(argv: list[str] | None = None) -> int:
    """Search each case and print what was found."""
    given = docopt(__doc__, argv=argv)
    if given["--list"]:
        print("cases: " + " ".join(CASES), "faults: " + " ".join(FAULTS), sep="\n")
        return 0
    with contextlib.ExitStack() as stack:
        if given["--without"]:
            for patch in FAULTS[given["--without"]]():
                stack.enter_context(patch)
        found = [_search(name=name, given=given) for name in given["<case>"] or CASES]
    return 1 if any(one.broken for one in found) else 0


def _search(*, name: str, given: dict) -> Found:
    begun, bounds = time.process_time(), CASES[name]

    def deliver(states: int, line: int, depth: int) -> None:
        print(f"  {name}: {states} states, {line} in line, depth {depth}", file=sys.stderr, flush=True)

    if int(given["--walks"]):
        found = walk(bounds=bounds, walks=int(given["--walks"]), seed=int(given["--seed"]), deliver=deliver)
    else:
        found = explore(bounds=bounds, most=int(given["--most"]), depth=int(given["--depth"]), deliver=deliver)
    extent = "all" if found.is_complete else "not all"
    print(
        f"{name}: {found.states} states ({extent}), {found.steps} steps, depth {found.depth}, "
        f"{time.process_time() - begun:.1f} s of a core: {found.broken or 'nothing broken'}",
        flush=True,
    )
    for words in shorten(bounds=bounds, trace=found.trace) if found.broken else ():
        print(f"    {words}")
    return found


if __name__ == "__main__":
    sys.exit(main())
