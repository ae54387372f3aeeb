"""Reads histories and names each broken rule. It never asks the product."""
from __future__ import annotations

import bisect
import collections
from dataclasses import dataclass

from tasting.history import History

SLACK = 0.15


@dataclass(frozen=True, kw_only=True)
class Broken:
    """One breach of one rule."""

    rule: str
    t: float
    detail: str


def check_history(*, history: History, halls: dict[str, str]) -> list[Broken]:
    """Every breach of what must never happen."""
    runs = history.of(k="run")
    return [*check_runs_once(history=history, runs=runs), *check_promises(history=history, runs=runs),
            *check_results(history=history), *check_left(history=history, runs=runs),
            *check_configs(history=history, runs=runs, halls=halls), *check_readbacks(history=history),
            *check_emptied(history=history, runs=runs), *check_homes(history=history, runs=runs, halls=halls),
            *check_retries(runs=runs), *check_flood(history=history, runs=runs),
            *check_keys(history=history, runs=runs), *check_crashes(history=history), *check_stops(history=history)]


def check_runs_once(*, history: History, runs: list):
    """An order, booking or cancellation runs twice."""
    seen: dict = {}
    for run in runs:
        if not run["unsafe"]:
            continue
        name = (run["tenant"], run["key"])
        if name in seen:
            yield Broken(rule="runs-twice", t=run["t"], detail=f"{name} at {seen[name]['worker']} "
                         f"(try {seen[name]['turn']}) and {run['worker']} (try {run['turn']})")
        seen[name] = run


def check_promises(*, history: History, runs: list):
    """A refusal that promised `not run` turns out to have run, now or later."""
    ran: dict = {}
    for run in runs:
        if run["unsafe"]:
            name = (run["tenant"], run["key"])
            ran[name] = min(run["turn"], ran.get(name, run["turn"]))
    for got in history.of(k="got"):
        name = (got["tenant"], got["key"])
        if got["unsafe"] and got["ran"] == "not-run" and name in ran and ran[name] <= got["turn"]:
            yield Broken(rule="not-run-ran", t=got["t"], detail=f"{name}: try {got['turn']} was refused with "
                         f"{got['reason']}, try {ran[name]} ran")


def check_results(*, history: History):
    """A result that is not the worker's own, not whole or another's; a refusal without its word; a held one."""
    for got in history.of(k="got"):
        if got["verdict"] in ("not-json", "not-mine"):
            yield Broken(rule="wrong-result", t=got["t"], detail=f"{got['nonce']} got {got['verdict']}")
        if got["code"] in (409, 429, 502, 503, 504) and (not got["ran"] or not got["retry_after"]):
            yield Broken(rule="refusal-without-word", t=got["t"], detail=f"{got['nonce']} {got['code']} {got['reason']}")
        if got["held"]:
            yield Broken(rule="held", t=got["t"], detail=f"{got['nonce']} at {got['proxy']} was never answered")


def check_left(*, history: History, runs: list):
    """A worker that is leaving or gone still receives exchanges 2.5 s after a cellar learned of it."""
    reads = history.of(k="list-read")
    ends = {}
    for row in [*history.of(k="leaving"), *history.of(k="gone")]:
        learned = next((read["t"] for read in reads if read["revision"] >= row["revision"] and read["t"] >= row["t"]), None)
        if learned is not None:
            ends[row["worker"]] = min(learned, ends.get(row["worker"], learned))
    for run in runs:
        if run["worker"] in ends and run["t"] > ends[run["worker"]] + 2.5 + SLACK:
            yield Broken(rule="left-worker-served", t=run["t"],
                         detail=f"{run['worker']} {run['t'] - ends[run['worker']]:.2f} s after it was learned")


def check_configs(*, history: History, runs: list, halls: dict):
    """A configuration is not in force 2.5 s after it was accepted, or a machine slips back to an older one."""
    puts = [row for row in history.of(k="put") if row["outcome"] != "refused" and row["allows"] is not None]
    accepted = [row for row in puts if row["outcome"] == "accepted"]
    for run in runs:
        floor = [row for row in accepted if row["t"] + 2.5 + SLACK <= run["t"]]
        if not floor:
            continue
        least = max(floor, key=lambda row: row["number"])
        open_ones = [row for row in puts if row["begun"] <= run["t"]
                     and (row["outcome"] == "unknown" or row["number"] >= least["number"])]
        path = "/" + run["path"].split("?")[0].split("/")[1]
        if not any(run["hall"] in _halls_for(allows=row["allows"].get(path, {}), tenant=run["tenant"]) for row in open_ones):
            yield Broken(rule="config-not-in-force", t=run["t"], detail=f"{run['path']} ran in {run['hall']} by "
                         f"{run['proxy']}, {run['t'] - least['t']:.2f} s after number {least['number']} was accepted")


def _halls_for(*, allows: dict, tenant: str) -> list:
    return allows.get(tenant, allows.get("*", []))


def check_readbacks(*, history: History):
    """An invalid or losing configuration is accepted, or the newest accepted one is missing on reading back."""
    accepted = [row for row in history.of(k="put") if row["outcome"] == "accepted"]
    for row in accepted:
        if row["invalid"]:
            yield Broken(rule="invalid-accepted", t=row["t"], detail=f"number {row['number']}")
    numbers = collections.Counter(row["number"] for row in accepted)
    for number, count in numbers.items():
        if count > 1:
            yield Broken(rule="two-winners", t=0.0, detail=f"number {number} was accepted {count} times")
    for read in history.of(k="read-back"):
        before = [row for row in accepted if row["t"] <= read["begun"]]
        if not before:
            continue
        newest = max(before, key=lambda row: row["number"])
        if read["number"] < newest["number"]:
            yield Broken(rule="accepted-missing", t=read["t"],
                         detail=f"read {read['number']} after {newest['number']} was accepted")
        for row in accepted:
            if row["number"] == read["number"] and row["digest"] != read["digest"]:
                yield Broken(rule="accepted-missing", t=read["t"], detail=f"number {row['number']} has other content")
        losers = [row for row in history.of(k="put") if row["outcome"] == "refused" and row["digest"] == read["digest"]]
        if losers and not any(row["digest"] == read["digest"] for row in history.of(k="put") if row["outcome"] != "refused"):
            yield Broken(rule="loser-in-force", t=read["t"], detail=f"number {read['number']} had been refused")


def check_emptied(*, history: History, runs: list):
    """An emptied hall still gets exchanges 5 s after the order."""
    spans: dict = {}
    for row in sorted([*history.of(k="emptied"), *history.of(k="refilled")], key=lambda one: one["t"]):
        if row["k"] == "emptied":
            spans.setdefault(row["hall"], []).append([row["t"], float("inf")])
        elif spans.get(row["hall"]):
            spans[row["hall"]][-1][1] = row["begun"]
    for run in runs:
        for begin, end in spans.get(run["hall"], []):
            if begin + 5.0 < run["t"] < end:
                yield Broken(rule="emptied-hall-served", t=run["t"],
                             detail=f"{run['hall']} {run['t'] - begin:.2f} s after the order, by {run['proxy']}")


def check_homes(*, history: History, runs: list, halls: dict):
    """A bound tenant is served outside its home regions."""
    rows = history.of(k="homes")
    if not rows:
        return
    homes = rows[-1]["homes"]
    for run in runs:
        bound = homes.get(run["tenant"])
        if bound and halls.get(run["hall"]) not in bound:
            yield Broken(rule="served-abroad", t=run["t"], detail=f"{run['tenant']} at {run['worker']} in {run['hall']}")
    for row in history.of(k="stored"):
        bound = homes.get(row["tenant"])
        if bound and row["region"] not in bound:
            yield Broken(rule="stored-abroad", t=row["t"], detail=f"{row['tenant']} on {row['where']}")


def check_retries(*, runs: list):
    """Retries swell past a fifth of the traffic over any 10 s: runs of what had run before."""
    seen, times, again = set(), [], []
    for run in runs:
        times.append(run["t"])
        if run["nonce"] in seen:
            again.append(run["t"])
        seen.add(run["nonce"])
    for at, end in enumerate(again):
        begin = end - 10.0
        count = at + 1 - bisect.bisect_right(again, begin)
        total = bisect.bisect_right(times, end) - bisect.bisect_right(times, begin)
        if total >= 100 and count > 0.2 * total:
            yield Broken(rule="retries", t=end, detail=f"{count} of {total} runs in 10 s were retries")
            return


def check_flood(*, history: History, runs: list):
    """A worker that has just come back cold is flooded beyond its bound."""
    bounds = {row["service"]: row for row in history.of(k="cold-bound")}
    starts = collections.defaultdict(list)
    for row in history.of(k="worker-started"):
        starts[row["worker"]].append(row["t"])
    counts: collections.Counter = collections.Counter()
    for run in runs:
        bound = bounds.get(run["service"])
        began = [t for t in starts.get(run["worker"], []) if t <= run["t"]]
        if bound is None or not began or bound.get("after", 0.0) > began[-1]:
            continue
        age = int(run["t"] - began[-1])
        if age < bound["ramp"]:
            counts[(run["worker"], began[-1], age)] += 1
    for (worker, began, age), count in counts.items():
        service = worker.split("-")[0]
        bound = bounds[service]
        most = bound["cold"] + (bound["rate"] - bound["cold"]) * (age + 1) / bound["ramp"]
        if count > most + 3:
            yield Broken(rule="cold-flooded", t=began + age,
                         detail=f"{worker} got {count} in second {age}, its bound is {most:.1f}")


def check_keys(*, history: History, runs: list):
    """Two workers act on the same key of a divided service at once; tenants of other homes have other keys."""
    open_runs: dict = {}
    homes = (history.of(k="homes") or [{"homes": {}}])[-1]["homes"]
    for run in runs:
        slot = run.get("slot_key")
        if not slot:
            continue
        name = (run["service"], tuple(homes.get(run["tenant"], ())), slot)
        for other in open_runs.get(name, []):
            if other["worker"] != run["worker"] and other["until"] > run["t"]:
                yield Broken(rule="two-on-one-key", t=run["t"],
                             detail=f"{name}: {other['worker']} until {other['until']:.3f} and {run['worker']}")
        open_runs[name] = [one for one in open_runs.get(name, []) if one["until"] > run["t"]] + [run]


def check_crashes(*, history: History):
    """A daemon ends by a fault of its own."""
    for row in history.of(k="crash"):
        yield Broken(rule="crash", t=row["t"], detail=f"{row['daemon']}: {row['fault']}")


def check_stops(*, history: History):
    """A planned stop drops exchanges that were taken, or lasts over its grace."""
    stops = history.of(k="planned-stop")
    for stop in stops:
        for got in history.of(k="got"):
            if got["proxy"] == stop["daemon"] and got["code"] == 0 and stop["t"] <= got["t"] <= stop["t"] + 6.5 \
                    and got.get("taken", True) and not got["held"]:
                sent = [row for row in history.of(k="sent") if row["nonce"] == got["nonce"] and row["turn"] == got["turn"]]
                ended = [row["t"] for row in history.of(k="stopped") if row["daemon"] == stop["daemon"] and row["t"] >= stop["t"]]
                if sent and (not ended or sent[-1]["t"] < ended[0] - 0.02):
                    yield Broken(rule="stop-dropped", t=got["t"], detail=f"{got['nonce']} at {got['proxy']}")
    for stop in stops:
        ended = [row["t"] for row in history.of(k="stopped") if row["daemon"] == stop["daemon"] and row["t"] >= stop["t"]]
        if ended and ended[0] - stop["t"] > 6.0:
            yield Broken(rule="stop-too-long", t=ended[0], detail=f"{stop['daemon']} took {ended[0] - stop['t']:.2f} s")
