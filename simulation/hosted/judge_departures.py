"""GONE: work that continues or starts for clients that have disconnected."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from simulation.hosted.contact_history import ContactHistory
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.world import World

CLOSE_SLACK = 0.5
"""s for which work may continue after a client's close has reached the machine."""
MAX_DELIVERY_TIME = 0.2
"""s that a close takes at most to reach a machine, and a reset from there to reach a worker."""
MAX_LATE_ARRIVALS = 3
"""Requests that may still reach a worker after that."""
MAX_OVERRUN_SHARE = 0.25
"""Share of the repeatable runs that may continue after that, among those due to end later."""
NEVER = float("inf")
CLOSED_BY_CLIENT = ("left", "deadline", "unread")
"""Reasons of an end of a try for which the client closed its connection."""


def judge_departures(*, world: World, contact: ContactHistory) -> Iterator[Violation]:
    """Check all tries whose clients closed their connections, at undisturbed machines; sharded services are exempt."""
    tries = {row["id"]: row for row in world.history.of(k="try")}
    must_end_at = {}
    for row in world.history.of(k="got"):
        if not row["code"] and row["why"] in CLOSED_BY_CLIENT:
            must_end_at[row["id"]] = _work_must_end_at(world=world, contact=contact, row=tries[row["id"]], t=row["t"])
    late = [row for row in world.history.of(k="arrival") if row["sent"] > must_end_at.get(row["id"], NEVER)]
    if len(late) > MAX_LATE_ARRIVALS:
        detail = f"{len(late)} requests reached workers after their clients had disconnected"
        yield Violation(rule="GONE", t=late[0]["t"], detail=detail)
    sharded = {service.name for service in world.deployment.services if service.is_sharded}
    runs = [
        row
        for row in world.history.of(k="run")
        if row["due"] > must_end_at.get(row["id"], NEVER)
        and row["service"] not in sharded
        and not tries[row["id"]]["once"]
    ]
    done = {row["id"]: row["t"] for row in world.history.of(k="done")}
    overruns = [row for row in runs if done.get(row["id"], 0.0) > must_end_at[row["id"]]]
    if len(overruns) > MAX_OVERRUN_SHARE * len(runs):
        detail = f"{len(overruns)} of {len(runs)} runs continued after their clients had disconnected"
        yield Violation(rule="GONE", t=overruns[0]["t"], detail=detail)


def _work_must_end_at(*, world: World, contact: ContactHistory, row: dict, t: float) -> float:
    """When the work for a try that its client closed at `t` must have ended; NEVER if its machine was disturbed."""
    machine = world.machines.get(row["proxy"])
    if machine is None:
        return NEVER
    names = machine.node.names - {"core", "plain"}
    begin, end = t - world.deployment.bounds["contact_s"], t + CLOSE_SLACK
    if not contact.is_undisturbed(names=frozenset(names), begin=begin, end=end):
        return NEVER
    return end + MAX_DELIVERY_TIME
