"""Rules on workers, zones and keys: who may receive which requests, where, and at what rate."""

from __future__ import annotations

import bisect
import collections
import itertools

from simulation.history import History
from simulation.rules import TRANSIT_SLACK, Violation

MIN_ABSENCE = 2.5
"""s for which a worker that keeps its process must be unreachable before its return counts as a cold start."""


def check_departed_workers(*, history: History, runs: list):
    """A worker that is leaving or gone still receives requests 2.5 s after a controller learned of it."""
    reads = history.of(k="list-read")
    departed_at: dict = {}
    for row in [*history.of(k="leaving"), *history.of(k="gone")]:
        learned = next(
            (read["t"] for read in reads if read["revision"] >= row["revision"] and read["t"] >= row["t"]), None
        )
        if learned is not None:
            departed_at[row["worker"]] = min(learned, departed_at.get(row["worker"], learned))
    for run in [*runs, *history.of(k="reached")]:
        if run["worker"] in departed_at and run["t"] > departed_at[run["worker"]] + 2.5 + TRANSIT_SLACK:
            yield Violation(
                rule="left-worker-served",
                t=run["t"],
                detail=f"{run['worker']} {run['t'] - departed_at[run['worker']]:.2f} s after it was learned",
            )


def check_home_regions(*, history: History, runs: list, zones: dict):
    """A tenant with home regions is served, or its results are stored, outside them."""
    rows = history.of(k="homes")
    homes = rows[-1]["homes"] if rows else {}
    for run in runs:
        bound = homes.get(run["tenant"])
        if bound and zones.get(run["hall"]) not in bound:
            yield Violation(
                rule="served-abroad", t=run["t"], detail=f"{run['tenant']} at {run['worker']} in {run['hall']}"
            )
    for row in history.of(k="stored"):
        bound = homes.get(row["tenant"])
        if bound and row["region"] not in bound:
            yield Violation(rule="stored-abroad", t=row["t"], detail=f"{row['tenant']} on {row['where']}")


def check_slow_start(*, history: History, runs: list, proxies: int):
    """A cold worker exceeds its slow-start rate within a second; one more per proxy is allowed."""
    bounds = _find_bounds(history=history)
    starts = _find_cold_starts(history=history)
    by_worker: dict = collections.defaultdict(list)
    for run in runs:
        by_worker[run["worker"]].append(run)
    for worker, started_at in starts.items():
        rows = by_worker.get(worker, [])
        times = [run["t"] for run in rows]
        for began, end in itertools.zip_longest(started_at, started_at[1:], fillvalue=float("inf")):
            if not rows:
                continue
            for index in range(bisect.bisect_left(times, began), len(times)):
                t = times[index]
                bound = _bound_at(bounds=bounds, service=rows[index]["service"], t=t)
                if bound is None or t > min(began + bound["ramp"], end):
                    break
                count = index + 1 - max(bisect.bisect_right(times, t - 1.0), bisect.bisect_left(times, began))
                limit = bound["cold"] + (bound["rate"] - bound["cold"]) * min(1.0, (t - began) / bound["ramp"])
                if count > limit + proxies:
                    yield Violation(
                        rule="cold-flooded",
                        t=t,
                        detail=f"{worker} got {count} in a second, {t - began:.2f} s after it "
                        f"came back; its bound is {limit:.1f}",
                    )
                    break


def _find_cold_starts(*, history: History) -> dict:
    """{worker: times of its cold starts}: a new process, or one that no proxy could reach for long enough."""
    starts: dict = collections.defaultdict(list)
    for row in history.of(k="worker-started"):
        starts[row["worker"]].append(row["t"])
    for row in history.of(k="worker-back"):
        if row["away"] >= MIN_ABSENCE:
            starts[row["worker"]].append(row["t"])
    return {worker: sorted(times) for worker, times in starts.items()}


def check_rate_bounds(*, history: History, runs: list, proxies: int):
    """A worker exceeds the rate bound of its service over 2 s; 0.25 s of that rate and one per proxy may be added."""
    bounds = _find_bounds(history=history)
    by_worker: dict = collections.defaultdict(list)
    for run in runs:
        by_worker[(run["worker"], run["service"])].append(run["t"])
    for (worker, service), times in by_worker.items():
        for index, t in enumerate(times):
            count = index + 1 - bisect.bisect_right(times, t - 2.0)
            bounds_in_force = [_bound_at(bounds=bounds, service=service, t=time) for time in (t - 2.0, t)]
            rate = max((bound["rate"] for bound in bounds_in_force if bound), default=float("inf"))
            if all(bounds_in_force) and count > 2.25 * rate + proxies:
                yield Violation(
                    rule="bound-exceeded", t=t, detail=f"{worker} got {count} in 2 s, its bound is {rate}/s"
                )
                break


def _find_bounds(*, history: History) -> dict:
    bounds: dict = collections.defaultdict(list)
    for row in history.of(k="cold-bound"):
        bounds[row["service"]].append(row)
    return bounds


def _bound_at(*, bounds: dict, service: str, t: float) -> dict | None:
    """The loosest bound that may be in force at `t`.

    A new bound counts from when it was sent, the previous one until 2.5 s after the new one was accepted.
    """
    rows = bounds.get(service, [])
    in_force = [
        row
        for row, next_row in itertools.zip_longest(rows, rows[1:])
        if row["begun"] <= t and (next_row is None or t <= next_row["t"] + 2.5 + TRANSIT_SLACK)
    ]
    if not in_force:
        return None
    return {
        "cold": max(row["cold"] for row in in_force),
        "rate": max(row["rate"] for row in in_force),
        "ramp": min(row["ramp"] for row in in_force),
    }


def check_shard_keys(*, history: History, runs: list):
    """Two workers act on one key of a sharded service at once; tenants with other home regions have other keys."""
    open_runs: dict = {}
    homes = (history.of(k="homes") or [{"homes": {}}])[-1]["homes"]
    for run in runs:
        slot = run.get("slot_key")
        if not slot:
            continue
        name = (run["service"], tuple(homes.get(run["tenant"], ())), slot)
        for other in open_runs.get(name, []):
            if other["worker"] != run["worker"] and other["until"] > run["t"]:
                yield Violation(
                    rule="two-on-one-key",
                    t=run["t"],
                    detail=f"{name}: {other['worker']} until {other['until']:.3f} and {run['worker']}",
                )
        open_runs[name] = [other for other in open_runs.get(name, []) if other["until"] > run["t"]] + [run]
