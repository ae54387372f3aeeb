"""Checks the rules of the hosted platform against what clients, workers and operators observed."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from simulation.hosted.contact_history import ContactHistory
from simulation.hosted.judge_config import judge_config, judge_reads
from simulation.hosted.judge_contact import judge_contact
from simulation.hosted.judge_departures import judge_departures
from simulation.hosted.judge_orders import judge_orders
from simulation.hosted.judge_placement import (
    judge_budget,
    judge_cold,
    judge_drain,
    judge_evacuations,
    judge_homes,
    judge_owners,
)
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.world import World

NOT_RUN_CODES = (408, 421, 429, 503)
"""Codes that promise the client that its request did not run."""


def judge(*, world: World) -> list[Violation]:
    """All breaches, in the order of the rules."""
    contact = ContactHistory(world=world)
    runs, arrivals, attempts = (
        world.history.of(k="run"),
        world.history.of(k="arrival"),
        {row["id"]: row for row in world.history.of(k="try")},
    )
    answers = {row["id"]: row for row in world.history.of(k="got")}
    return [
        *judge_answers(world=world, runs=runs, answers=answers),
        *judge_unasked(world=world, runs=runs, attempts=attempts),
        *judge_stops(world=world, contact=contact, answers=answers),
        *judge_drain(world=world, arrivals=arrivals, contact=contact),
        *judge_config(world=world, runs=runs, attempts=attempts, answers=answers, contact=contact),
        *judge_reads(world=world, contact=contact),
        *judge_orders(world=world),
        *judge_budget(world=world, arrivals=arrivals, attempts=attempts),
        *judge_cold(world=world, arrivals=arrivals),
        *judge_homes(world=world, arrivals=arrivals, attempts=attempts),
        *judge_evacuations(world=world, arrivals=arrivals, contact=contact),
        *judge_owners(world=world, runs=runs),
        *judge_contact(world=world),
        *judge_departures(world=world, contact=contact),
        *judge_recovery(world=world),
        *judge_faults(world=world),
    ]


def judge_answers(*, world: World, runs: list, answers: dict):
    """Check the rules on answers.

    TWICE: a request that may run once at most ran more often. REFUSED: a request ran although its answer promised that
    it had not. MIXED: an answer is not the one that a worker gave to this request.
    """
    counts = collections.Counter(row["id"] for row in runs)
    once = {row["id"] for row in world.history.of(k="try") if row["once"]}
    for row in runs:
        if row["id"] in once and counts[row["id"]] > 1:
            yield Violation(
                rule="TWICE",
                t=row["t"],
                detail=f"{row['id']} ran {counts[row['id']]} times, at {row['worker']} by {row['proxy']}",
            )
    for row in answers.values():
        if row["id"] in once and row["code"] in NOT_RUN_CODES and counts[row["id"]]:
            yield Violation(rule="REFUSED", t=row["t"], detail=f"{row['id']} got {row['code']} {row['reason']} and ran")
    done = {row["seal"]: row for row in world.history.of(k="done")}
    for row in answers.values():
        if not 200 <= row["code"] < 300:
            continue
        produced = done.get(row["seal"])
        if (
            produced is None
            or produced["id"] != row["id"]
            or produced["code"] != row["code"]
            or row["body"] != f"body of {row['id']}".encode()
        ):
            yield Violation(
                rule="MIXED",
                t=row["t"],
                detail=f"{row['id']} got {row['code']} with seal {row['seal']!r} and {row['body'][:30]!r}",
            )


def judge_unasked(*, world: World, runs: list, attempts: dict):
    """Check what workers ran and what was refused.

    UNASKED: a worker ran a request that no client sent, or one that was altered on its way. DENIED: more valid requests
    were refused than 5 and one in 500.
    """
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
        row
        for row in world.history.of(k="got")
        if 300 <= row["code"] < 500 and row["code"] not in (404, *NOT_RUN_CODES)
    ]
    if len(denied) > 5 + len(attempts) / 500:
        yield Violation(
            rule="DENIED",
            t=denied[0]["t"],
            detail=f"{len(denied)} of {len(attempts)}, the first with {denied[0]['code']}",
        )


def judge_stops(*, world: World, contact: ContactHistory, answers: dict):
    """LOST: a planned stop broke off a request that a proxy had read."""
    bounds = world.deployment.bounds
    sigterms = {(row["machine"], row["life"]): row["t"] for row in world.history.of(k="term") if row["role"] == "proxy"}
    reads = {row["id"]: row for row in world.history.of(k="read")}
    arrived = {row["id"]: row["t"] for row in world.history.of(k="arrival")}
    for row in answers.values():
        read = reads.get(row["id"])
        if row["code"] or row["why"] != "closed" or read is None:
            continue
        sigterm = sigterms.get((read["proxy"], read["life"]))
        if sigterm is None or row["t"] < sigterm:
            continue
        is_long = row["id"] in arrived and row["t"] > sigterm + bounds["grace_s"] / 2
        is_quick = row["id"] not in arrived and row["t"] - read["t"] <= bounds["loss_slack_s"]
        names = world.machines[read["proxy"]].node.names - {"core", "plain"}
        if (
            not is_long
            and not is_quick
            and contact.is_undisturbed(names=frozenset(names), begin=read["t"] - bounds["contact_s"], end=row["t"])
        ):
            yield Violation(
                rule="LOST",
                t=row["t"],
                detail=f"{row['id']} was broken off {row['t'] - sigterm:.2f} s after SIGTERM of {read['proxy']}",
            )


def judge_recovery(*, world: World):
    """RECOVER: from `recovery_s` after the last return of machines on, at least a quarter of the requests is served."""
    returns = world.history.of(k="back")
    if not returns:
        return
    due_from = returns[-1]["t"] + world.deployment.bounds["recovery_s"]
    ends = [row for row in world.history.of(k="end") if row["begun"] > due_from]
    if len(ends) >= 20 and sum(row["good"] for row in ends) < 0.25 * len(ends):
        yield Violation(rule="RECOVER", t=due_from, detail=f"{sum(row['good'] for row in ends)} of {len(ends)} served")


def judge_faults(*, world: World):
    """FAULT: a process ended by a fault of its own."""
    for row in world.history.of(k="crash"):
        yield Violation(rule="FAULT", t=row["t"], detail=f"{row['daemon']}: {row['fault']}")
