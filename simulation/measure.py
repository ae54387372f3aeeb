"""Measure a real fleet: added time over a direct call, cost of the claim, CPU by program.

Usage:
  measure [--count=N] [--rounds=N] [--python=PATH]

Options:
  --count=N      Exchanges of each kind in a round [default: 400].
  --rounds=N     Rounds; kinds alternate within each [default: 5].
  --python=PATH  Interpreter for the daemons, as of another commit's own environment.
"""

from __future__ import annotations

import collections
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from docopt import docopt

from simulation.deployments import make_arriaga
from simulation.real.callers import ask
from simulation.real.fleet import Fleet
from simulation.run_fleet import bring_up


def cpu_of(*, fleet: Fleet) -> dict[str, float]:
    """CPU seconds so far, by program."""
    tick = os.sysconf("SC_CLK_TCK")
    seconds: dict[str, float] = collections.defaultdict(float)
    for name, process in fleet.processes.items():
        fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        seconds[fleet.kinds.get(name, "worker")] += (int(fields[11]) + int(fields[12])) / tick
    return dict(seconds)


def time_kind(*, fleet: Fleet, kind: str, count: int, start: int) -> list[float]:
    """Seconds of each of `count` exchanges, one after the other."""
    worker = fleet.workers["orders-gdl-a-0"]
    proxy = fleet.https["proxy-0"]
    times = []
    for number in range(start, start + count):
        headers = {"Sailward-Tenant": "hotels", "X-Caller": f"m{number}", "Sailward-Try": "1"}
        began = time.perf_counter()
        if kind == "direct":
            code, _, _ = ask(address=worker["address"], method="GET", path="/orders/", headers=headers)
        elif kind == "safe":
            code, _, _ = ask(address=proxy, method="GET", path="/orders/", headers=headers)
        else:
            code, _, _ = ask(
                address=proxy,
                method="POST",
                path="/orders/",
                body=b"{}",
                headers={**headers, "Idempotency-Key": f"{kind}{number}"},
            )
        times.append(time.perf_counter() - began)
        if code != 200:
            raise RuntimeError(f"{kind} {number}: {code}")
        time.sleep(0.004)
    return times


def main() -> None:
    """Measure and print."""
    flags = docopt(__doc__)
    count, rounds = int(flags["--count"]), int(flags["--rounds"])
    whole = make_arriaga()
    fleet = Fleet(
        deployment=whole,
        folder=Path(tempfile.mkdtemp(prefix="sailward-measure-")),
        python=flags["--python"] or sys.executable,
    )
    try:
        bring_up(fleet=fleet)
        time.sleep(12)  # past the cold ramp, so that no bound speaks
        idle = cpu_of(fleet=fleet)
        time.sleep(5)
        rest = {name: (cpu - idle[name]) / 5 for name, cpu in cpu_of(fleet=fleet).items()}
        print("at rest, CPU s/s: " + ", ".join(f"{name} {cpu:.3f}" for name, cpu in sorted(rest.items())))
        medians: dict = collections.defaultdict(list)
        used: dict = collections.defaultdict(lambda: collections.defaultdict(float))
        for turn in range(rounds):
            for kind in ("direct", "safe", "unsafe"):
                before, began = cpu_of(fleet=fleet), time.monotonic()
                times = time_kind(fleet=fleet, kind=kind, count=count, start=turn * count)
                took = time.monotonic() - began
                medians[kind].append(statistics.median(times) * 1000)
                for name, cpu in cpu_of(fleet=fleet).items():
                    used[kind][name] += cpu - before[name] - rest[name] * took
        for kind, values in medians.items():
            cpu = ", ".join(
                f"{name} {seconds / rounds / count * 1000:.2f}" for name, seconds in sorted(used[kind].items())
            )
            print(
                f"{kind}: median ms {min(values):.1f} to {max(values):.1f} "
                f"(middle {statistics.median(values):.1f}); CPU ms each: {cpu}"
            )
    finally:
        fleet.end()


if __name__ == "__main__":
    main()
