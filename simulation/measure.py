"""Measure a real fleet: latency added to a direct call, cost of claiming a key, CPU time by program.

Usage:
  measure [--count=N] [--rounds=N] [--python=PATH]

Options:
  --count=N      Requests of each kind in a round [default: 400].
  --rounds=N     Rounds; kinds alternate within each [default: 5].
  --python=PATH  Interpreter for the daemons, for instance from another commit's environment.
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
from simulation.real.callers import send_request
from simulation.real.fleet import Fleet
from simulation.run_fleet import start_and_configure


def cpu_seconds(*, fleet: Fleet) -> dict[str, float]:
    """CPU seconds so far, by program."""
    tick = os.sysconf("SC_CLK_TCK")
    seconds: dict[str, float] = collections.defaultdict(float)
    for name, process in fleet.processes.items():
        fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        seconds[fleet.kinds.get(name, "worker")] += (int(fields[11]) + int(fields[12])) / tick
    return dict(seconds)


def time_exchanges(*, fleet: Fleet, kind: str, count: int, start: int) -> list[float]:
    """Latency in s of each of `count` sequential requests."""
    worker = fleet.workers["orders-gdl-a-0"]
    proxy = fleet.http_addresses["proxy-0"]
    times = []
    for number in range(start, start + count):
        headers = {"Sailward-Tenant": "hotels", "X-Caller": f"m{number}", "Sailward-Try": "1"}
        started_at = time.perf_counter()
        if kind == "direct":
            code, _, _ = send_request(address=worker["address"], method="GET", path="/orders/", headers=headers)
        elif kind == "safe":
            code, _, _ = send_request(address=proxy, method="GET", path="/orders/", headers=headers)
        else:
            code, _, _ = send_request(
                address=proxy,
                method="POST",
                path="/orders/",
                body=b"{}",
                headers={**headers, "Idempotency-Key": f"{kind}{number}"},
            )
        times.append(time.perf_counter() - started_at)
        if code != 200:
            raise RuntimeError(f"{kind} {number}: {code}")
        time.sleep(0.004)
    return times


def main() -> None:
    """Measure and print."""
    flags = docopt(__doc__)
    count, rounds = int(flags["--count"]), int(flags["--rounds"])
    fleet = Fleet(
        deployment=make_arriaga(),
        folder=Path(tempfile.mkdtemp(prefix="sailward-measure-")),
        python=flags["--python"] or sys.executable,
    )
    try:
        start_and_configure(fleet=fleet)
        time.sleep(12)  # past slow start, so that no rate bound applies
        idle = cpu_seconds(fleet=fleet)
        time.sleep(5)
        idle_rates = {name: (cpu - idle[name]) / 5 for name, cpu in cpu_seconds(fleet=fleet).items()}
        print("at rest, CPU s/s: " + ", ".join(f"{name} {cpu:.3f}" for name, cpu in sorted(idle_rates.items())))
        medians: dict = collections.defaultdict(list)
        used_cpu: dict = collections.defaultdict(lambda: collections.defaultdict(float))
        for turn in range(rounds):
            for kind in ("direct", "safe", "unsafe"):
                before, started_at = cpu_seconds(fleet=fleet), time.monotonic()
                times = time_exchanges(fleet=fleet, kind=kind, count=count, start=turn * count)
                elapsed = time.monotonic() - started_at
                medians[kind].append(statistics.median(times) * 1000)
                for name, cpu in cpu_seconds(fleet=fleet).items():
                    used_cpu[kind][name] += cpu - before[name] - idle_rates[name] * elapsed
        for kind, values in medians.items():
            cpu = ", ".join(
                f"{name} {seconds / rounds / count * 1000:.2f}" for name, seconds in sorted(used_cpu[kind].items())
            )
            print(
                f"{kind}: median ms {min(values):.1f} to {max(values):.1f} "
                f"(middle {statistics.median(values):.1f}); CPU ms each: {cpu}"
            )
    finally:
        fleet.end()


if __name__ == "__main__":
    main()
