"""Callers' exchanges: run once, promises kept, results whole, answered at once, retries bounded, stops clean."""

from __future__ import annotations

import bisect
import collections

from simulation.history import History
from simulation.rules import Violation

ANSWER_LIMIT = 4.0
"""s: longest wait of a line (0.5), longest expiry of the deployments (2), a claim (1), and the way."""
STOP_GRACE = 6.0
"""s of the platform's grace for a planned stop."""
REFUSALS = (409, 429, 502, 503, 504)


def check_runs_once(*, runs: list):
    """An order, booking or cancellation runs twice."""
    seen: dict = {}
    for run in runs:
        if not run["unsafe"]:
            continue
        request = (run["tenant"], run["key"])
        if request in seen:
            yield Violation(
                rule="runs-twice",
                t=run["t"],
                detail=f"{request} at {seen[request]['worker']} "
                f"(try {seen[request]['turn']}) and {run['worker']} (try {run['turn']})",
            )
        seen[request] = run


def check_promises(*, history: History, runs: list):
    """A refusal that promised `not run` turns out to have run, now or later."""
    ran: dict = {}
    for run in runs:
        request = (run["tenant"], run["key"] if run["unsafe"] else run["nonce"])
        ran[request] = min(run["turn"], ran.get(request, run["turn"]))
    safe = {(run["tenant"], run["nonce"], run["turn"]) for run in runs if not run["unsafe"]}
    for got in history.of(k="got"):
        if got["ran"] != "not-run":
            continue
        request = (got["tenant"], got["key"] if got["unsafe"] else got["nonce"])
        has_run = request in ran and ran[request] <= got["turn"] if got["unsafe"] else (*request, got["turn"]) in safe
        if has_run:
            yield Violation(
                rule="not-run-ran",
                t=got["t"],
                detail=f"{request}: try {got['turn']} was refused with {got['reason']}, try {ran[request]} ran",
            )


def check_results(*, history: History):
    """A result that is not the worker's own, not whole or another's; a refusal without its word or its time."""
    for got in history.of(k="got"):
        if got["verdict"] in ("not-json", "not-mine"):
            yield Violation(rule="wrong-result", t=got["t"], detail=f"{got['nonce']} got {got['verdict']}")
        if got["code"] in REFUSALS and (got["ran"] not in ("not-run", "unknown") or not got["retry_after"]):
            yield Violation(
                rule="refusal-without-word", t=got["t"], detail=f"{got['nonce']} {got['code']} {got['reason']}"
            )


def check_answered(*, history: History):
    """A caller is left without a final answer, or is held, by a proxy that was not lost or frozen meanwhile."""
    interruptions: dict = collections.defaultdict(list)
    for kind in ("daemon-down", "daemon-frozen", "daemon-thawed"):
        for row in history.of(k=kind):
            interruptions[row["daemon"]].append(row["t"])
    begun = {(row["nonce"], row["turn"], row["proxy"]): row["t"] for row in history.of(k="sent")}
    ended = set()
    last = max((row["t"] for row in history.rows), default=0.0)
    for got in history.of(k="got"):
        request = (got["nonce"], got["turn"], got["proxy"])
        ended.add(request)
        sent_at = begun.get(request, got["t"])
        is_excused = any(sent_at - 8.0 <= t <= got["t"] for t in interruptions[got["proxy"]])
        if not is_excused:
            yield from _judge_ending(got=got, sent_at=sent_at)
    for request, t in begun.items():
        if request not in ended and t < last - 9.0:
            yield Violation(rule="unanswered", t=t, detail=f"{request[0]} try {request[1]} at {request[2]}")


def _judge_ending(*, got: dict, sent_at: float):
    if got["held"]:
        yield Violation(rule="held", t=got["t"], detail=f"{got['nonce']} at {got['proxy']} was never answered")
    elif got["code"] == 0:
        if got.get("taken", True):
            yield Violation(
                rule="unanswered", t=got["t"], detail=f"{got['nonce']} at {got['proxy']}, which was not lost"
            )
    elif got["t"] - sent_at > ANSWER_LIMIT:
        yield Violation(
            rule="held",
            t=got["t"],
            detail=f"{got['nonce']} at {got['proxy']} for {got['t'] - sent_at:.2f} s: {got['code']} {got['reason']}",
        )


def check_retries(*, history: History, runs: list, proxies: int):
    """Retries swell past a fifth of the traffic over any 10 s: what reaches workers of what had reached one before.

    In small traffic one more for each proxy, which must be able to retry at all.
    """
    seen, times, retries = set(), [], []
    for row in sorted([*runs, *history.of(k="reached")], key=lambda run: run["t"]):
        times.append(row["t"])
        if row["nonce"] in seen:
            retries.append(row["t"])
        seen.add(row["nonce"])
    for index, end in enumerate(retries):
        count = index + 1 - bisect.bisect_right(retries, end - 10.0)
        total = bisect.bisect_right(times, end) - bisect.bisect_right(times, end - 10.0)
        if count > 0.2 * total + (proxies if total < 100 else 0):
            yield Violation(
                rule="retries", t=end, detail=f"{count} of {total} that reached workers in 10 s were retries"
            )
            return


def check_stops(*, history: History):
    """A planned stop drops exchanges that were taken, or lasts over its grace."""
    sent = {(row["nonce"], row["turn"]): row["t"] for row in history.of(k="sent")}
    for stop in history.of(k="planned-stop"):
        ended = next(
            (row["t"] for row in history.of(k="stopped") if row["daemon"] == stop["daemon"] and row["t"] >= stop["t"]),
            None,
        )
        last = ended if ended is not None else max(row["t"] for row in history.rows)
        if last - stop["t"] > STOP_GRACE:
            yield Violation(
                rule="stop-too-long",
                t=last,
                detail=f"{stop['daemon']} took {last - stop['t']:.2f} s{'' if ended else ' and more'}",
            )
        for got in history.of(k="got"):
            begun = sent.get((got["nonce"], got["turn"]))
            if (
                got["proxy"] == stop["daemon"]
                and got["code"] == 0
                and not got["held"]
                and got.get("taken", True)
                and stop["t"] <= got["t"] <= stop["t"] + STOP_GRACE + 0.5
                and begun is not None
                and (ended is None or begun < ended - (0.02 if "took" in got else 0.0))
            ):
                yield Violation(rule="stop-dropped", t=got["t"], detail=f"{got['nonce']} at {got['proxy']}")


def check_crashes(*, history: History):
    """A daemon ends by a fault of its own."""
    for row in history.of(k="crash"):
        yield Violation(rule="crash", t=row["t"], detail=f"{row['daemon']}: {row['fault']}")
