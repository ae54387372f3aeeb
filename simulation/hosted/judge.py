"""Names each broken rule of the users' platform, from what clients, workers and operators saw."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from simulation.hosted.judge_config import judge_config, judge_reads
from simulation.hosted.judge_contact import judge_contact
from simulation.hosted.judge_departures import judge_departures
from simulation.hosted.judge_orders import judge_orders
from simulation.hosted.judge_places import (
    judge_budget,
    judge_cold,
    judge_drain,
    judge_evacuations,
    judge_homes,
    judge_owners,
)
from simulation.hosted.touch import Touch
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.world import World

PROMISES = (408, 421, 429, 503)


def judge(*, world: World) -> list[Violation]:
    """Every breach, in the order of the rules."""
    touch = Touch(world=world)
    runs, arrivals, attempts = (
        world.history.of(k="run"),
        world.history.of(k="arrival"),
        {row["id"]: row for row in world.history.of(k="try")},
    )
    got = {row["id"]: row for row in world.history.of(k="got")}
    return [
        *judge_answers(world=world, runs=runs, got=got),
        *judge_asked(world=world, runs=runs, attempts=attempts),
        *judge_stops(world=world, touch=touch, got=got),
        *judge_drain(world=world, arrivals=arrivals, touch=touch),
        *judge_config(world=world, runs=runs, attempts=attempts, got=got, touch=touch),
        *judge_reads(world=world, touch=touch),
        *judge_orders(world=world),
        *judge_budget(world=world, arrivals=arrivals, attempts=attempts),
        *judge_cold(world=world, arrivals=arrivals),
        *judge_homes(world=world, arrivals=arrivals, attempts=attempts),
        *judge_evacuations(world=world, arrivals=arrivals, touch=touch),
        *judge_owners(world=world, runs=runs),
        *judge_contact(world=world),
        *judge_departures(world=world, touch=touch),
        *judge_recovery(world=world),
        *judge_faults(world=world),
    ]


def judge_answers(*, world: World, runs: list, got: dict):
    """TWICE, REFUSED and MIXED."""
    counts = collections.Counter(row["id"] for row in runs)
    once = {row["id"] for row in world.history.of(k="try") if row["once"]}
    for row in runs:
        if row["id"] in once and counts[row["id"]] > 1:
            yield Violation(
                rule="TWICE",
                t=row["t"],
                detail=f"{row['id']} ran {counts[row['id']]} times, at {row['worker']} by {row['proxy']}",
            )
    for row in got.values():
        if row["id"] in once and row["code"] in PROMISES and counts[row["id"]]:
            yield Violation(rule="REFUSED", t=row["t"], detail=f"{row['id']} got {row['code']} {row['reason']} and ran")
    done = {row["seal"]: row for row in world.history.of(k="done")}
    for row in got.values():
        if not 200 <= row["code"] < 300:
            continue
        made = done.get(row["seal"])
        if (
            made is None
            or made["id"] != row["id"]
            or made["code"] != row["code"]
            or row["body"] != f"body of {row['id']}".encode()
        ):
            yield Violation(
                rule="MIXED",
                t=row["t"],
                detail=f"{row['id']} got {row['code']} with seal {row['seal']!r} and {row['body'][:30]!r}",
            )


def judge_asked(*, world: World, runs: list, attempts: dict):
    """UNASKED, and DENIED as far as a single refusal of a proper request is one too many."""
    for row in runs:
        attempt = world.attempts.get(row["id"])
        if attempt is None:
            yield Violation(rule="UNASKED", t=row["t"], detail=f"{row['worker']} ran {row['id']!r}, which nobody sent")
            continue
        request = attempt.request
        if (row["method"], row["target"], row["body"]) != (request.method, request.path, request.body):
            yield Violation(
                rule="UNASKED",
                t=row["t"],
                detail=f"{row['id']} was changed on its way: {row['method']} {row['target']}",
            )
    denied = [
        row for row in world.history.of(k="got") if 300 <= row["code"] < 500 and row["code"] not in (404, *PROMISES)
    ]
    if len(denied) > 5 + len(attempts) / 500:
        yield Violation(
            rule="DENIED",
            t=denied[0]["t"],
            detail=f"{len(denied)} of {len(attempts)}, the first with {denied[0]['code']}",
        )


def judge_stops(*, world: World, touch: Touch, got: dict):
    """LOST: a request that was read is broken off by a planned stop."""
    bounds = world.deployment.bounds
    terms = {(row["machine"], row["life"]): row["t"] for row in world.history.of(k="term") if row["role"] == "proxy"}
    reads = {row["id"]: row for row in world.history.of(k="read")}
    arrived = {row["id"]: row["t"] for row in world.history.of(k="arrival")}
    for row in got.values():
        read = reads.get(row["id"])
        if row["code"] or row["why"] != "closed" or read is None:
            continue
        term = terms.get((read["proxy"], read["life"]))
        if term is None or row["t"] < term:
            continue
        is_long = row["id"] in arrived and row["t"] > term + bounds["grace_s"] / 2
        is_quick = row["id"] not in arrived and row["t"] - read["t"] <= bounds["loss_slack_s"]
        names = world.machines[read["proxy"]].spot.names - {"core", "plain"}
        if (
            not is_long
            and not is_quick
            and touch.is_calm(names=frozenset(names), begin=read["t"] - bounds["contact_s"], end=row["t"])
        ):
            yield Violation(
                rule="LOST",
                t=row["t"],
                detail=f"{row['id']} was broken off {row['t'] - term:.2f} s after SIGTERM of {read['proxy']}",
            )


def judge_recovery(*, world: World):
    """RECOVER: once machines are back, a quarter is served again."""
    backs = world.history.of(k="back")
    if not backs:
        return
    since = backs[-1]["t"] + world.deployment.bounds["recovery_s"]
    ends = [row for row in world.history.of(k="end") if row["begun"] > since]
    if len(ends) >= 20 and sum(row["good"] for row in ends) < 0.25 * len(ends):
        yield Violation(rule="RECOVER", t=since, detail=f"{sum(row['good'] for row in ends)} of {len(ends)} served")


def judge_faults(*, world: World):
    """FAULT: a process ends by itself."""
    for row in world.history.of(k="crash"):
        yield Violation(rule="FAULT", t=row["t"], detail=f"{row['daemon']}: {row['fault']}")
