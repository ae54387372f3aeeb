"""Rules on requests: run at most once, `not-run` true, results intact, answers prompt, retries bounded, stops clean."""

from __future__ import annotations

import bisect
import collections

from simulation.history import History
from simulation.rules import Violation

ANSWER_LIMIT = 4.0
"""s: the longest wait in a queue (0.5), the longest `expiry_s` of the deployments (2), a claim (1), and transit."""
STOP_GRACE = 6.0
"""s that the platform allows for a graceful shutdown."""
REFUSALS = (409, 429, 502, 503, 504)


def check_runs_once(*, runs: list):
    """An unsafe request (an order, booking or cancellation) runs twice."""
    first_runs: dict = {}
    for run in runs:
        if not run["unsafe"]:
            continue
        request = (run["tenant"], run["key"])
        if request in first_runs:
            yield Violation(
                rule="runs-twice",
                t=run["t"],
                detail=f"{request} at {first_runs[request]['worker']} "
                f"(try {first_runs[request]['turn']}) and {run['worker']} (try {run['turn']})",
            )
        first_runs[request] = run


def check_promises(*, history: History, runs: list):
    """A request that was refused with `not-run` ran, before or after the refusal."""
    first_try_run: dict = {}
    for run in runs:
        request = (run["tenant"], run["key"] if run["unsafe"] else run["nonce"])
        first_try_run[request] = min(run["turn"], first_try_run.get(request, run["turn"]))
    safe = {(run["tenant"], run["nonce"], run["turn"]) for run in runs if not run["unsafe"]}
    for answer in history.of(k="got"):
        if answer["ran"] != "not-run":
            continue
        request = (answer["tenant"], answer["key"] if answer["unsafe"] else answer["nonce"])
        has_run = (
            request in first_try_run and first_try_run[request] <= answer["turn"]
            if answer["unsafe"]
            else (*request, answer["turn"]) in safe
        )
        if has_run:
            yield Violation(
                rule="not-run-ran",
                t=answer["t"],
                detail=f"{request}: try {answer['turn']} was refused with {answer['reason']}, "
                f"try {first_try_run[request]} ran",
            )


def check_results(*, history: History):
    """A result is altered, truncated or another request's, or a refusal lacks `Sailward-Ran` or `Retry-After`."""
    for answer in history.of(k="got"):
        if answer["verdict"] in ("not-json", "not-mine"):
            yield Violation(rule="wrong-result", t=answer["t"], detail=f"{answer['nonce']} got {answer['verdict']}")
        if answer["code"] in REFUSALS and (answer["ran"] not in ("not-run", "unknown") or not answer["retry_after"]):
            yield Violation(
                rule="refusal-without-word",
                t=answer["t"],
                detail=f"{answer['nonce']} {answer['code']} {answer['reason']}",
            )


def check_answered(*, history: History):
    """A caller gets no final answer, or a late one, from a proxy that was neither lost nor frozen meanwhile."""
    interruptions: dict = collections.defaultdict(list)
    for kind in ("daemon-down", "daemon-frozen", "daemon-thawed"):
        for row in history.of(k=kind):
            interruptions[row["daemon"]].append(row["t"])
    begun = {(row["nonce"], row["turn"], row["proxy"]): row["t"] for row in history.of(k="sent")}
    ended = set()
    last = max((row["t"] for row in history.rows), default=0.0)
    for answer in history.of(k="got"):
        request = (answer["nonce"], answer["turn"], answer["proxy"])
        ended.add(request)
        sent_at = begun.get(request, answer["t"])
        is_excused = any(sent_at - 8.0 <= t <= answer["t"] for t in interruptions[answer["proxy"]])
        if not is_excused:
            yield from _judge_ending(answer=answer, sent_at=sent_at)
    for request, t in begun.items():
        if request not in ended and t < last - 9.0:
            yield Violation(rule="unanswered", t=t, detail=f"{request[0]} try {request[1]} at {request[2]}")


def _judge_ending(*, answer: dict, sent_at: float):
    if answer["held"]:
        yield Violation(rule="held", t=answer["t"], detail=f"{answer['nonce']} at {answer['proxy']} was never answered")
    elif answer["code"] == 0:
        if answer.get("taken", True):
            yield Violation(
                rule="unanswered", t=answer["t"], detail=f"{answer['nonce']} at {answer['proxy']}, which was not lost"
            )
    elif answer["t"] - sent_at > ANSWER_LIMIT:
        yield Violation(
            rule="held",
            t=answer["t"],
            detail=f"{answer['nonce']} at {answer['proxy']} for {answer['t'] - sent_at:.2f} s: "
            f"{answer['code']} {answer['reason']}",
        )


def check_retries(*, history: History, runs: list, proxies: int):
    """Retries exceed a fifth of the traffic over any 10 s, counted by what reaches workers a second time.

    In light traffic one more per proxy is allowed, so that each is able to retry at all.
    """
    reached_nonces, times, retries = set(), [], []
    for row in sorted([*runs, *history.of(k="reached")], key=lambda run: run["t"]):
        times.append(row["t"])
        if row["nonce"] in reached_nonces:
            retries.append(row["t"])
        reached_nonces.add(row["nonce"])
    for index, end in enumerate(retries):
        count = index + 1 - bisect.bisect_right(retries, end - 10.0)
        total = bisect.bisect_right(times, end) - bisect.bisect_right(times, end - 10.0)
        if count > 0.2 * total + (proxies if total < 100 else 0):
            yield Violation(
                rule="retries", t=end, detail=f"{count} of {total} that reached workers in 10 s were retries"
            )
            return


def check_stops(*, history: History):
    """A graceful shutdown drops accepted requests, or exceeds its grace period."""
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
        for answer in history.of(k="got"):
            begun = sent.get((answer["nonce"], answer["turn"]))
            if (
                answer["proxy"] == stop["daemon"]
                and answer["code"] == 0
                and not answer["held"]
                and answer.get("taken", True)
                and stop["t"] <= answer["t"] <= stop["t"] + STOP_GRACE + 0.5
                and begun is not None
                and (ended is None or begun < ended - (0.02 if "took" in answer else 0.0))
            ):
                yield Violation(rule="stop-dropped", t=answer["t"], detail=f"{answer['nonce']} at {answer['proxy']}")


def check_crashes(*, history: History):
    """A daemon crashes."""
    for row in history.of(k="crash"):
        yield Violation(rule="crash", t=row["t"], detail=f"{row['daemon']}: {row['fault']}")
