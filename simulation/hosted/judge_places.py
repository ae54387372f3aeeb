"""Rules on who is sent what: leaving, cold, homes, evacuations, keys, retries."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING

from simulation.hosted.touch import Touch
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.world import World


KNOWN = 1.3
"""s beyond the list's lag after which who goes cold while it is up can be known to all: a pass over the list and its
push."""
SENT_AGAIN = 0.2
"""s added to an order that got no acknowledgement at all: it counts as late."""


def judge_drain(*, world: World, arrivals: list, touch: Touch):
    """DRAIN: a worker is sent requests more than `drain_s` after the list shows that it leaves."""
    shown = {row["worker"]: row["shown"] for row in world.history.of(k="draining")}
    slack = world.deployment.bounds["drain_s"]
    downs = [(row["t"], row["until"]) for row in world.history.of(k="list-down")]
    for row in arrivals:
        since = shown.get(row["worker"], float("inf"))
        # the time is not counted while the list is down
        since += sum(max(0.0, min(end, row["t"]) - max(begin, since)) for begin, end in downs)
        if (
            row["code"] != 421
            and row["t"] > since + slack
            and touch.holds(machine=row["proxy"], t=row["t"])
            and touch.holds(machine=row["proxy"], t=since)
        ):
            yield Violation(
                rule="DRAIN",
                t=row["t"],
                detail=f"{row['worker']} {row['t'] - since:.2f} s after it was shown, by {row['proxy']}",
            )


def judge_cold(*, world: World, arrivals: list):
    """FAILBACK: a cold worker gets more in one second than it bears."""
    bounds = world.deployment.bounds
    rates = {service.name: service.slow_start_rate for service in world.deployment.services}
    slow_start = collections.defaultdict(list)
    chilled = collections.defaultdict(list)
    for row in world.history.of(k="chilled"):
        chilled[row["worker"]].append(row["t"])
    known = KNOWN + world.deployment.list_lag
    for row in arrivals:
        is_newer = any(t <= row["sent"] < t + known for t in chilled[row["worker"]])
        if row["is_cold"] and row["code"] != 421 and not is_newer:
            slow_start[row["worker"]].append(row)
    for worker, rows in slow_start.items():
        most = rates[rows[0]["service"]] * bounds["cold_excess"] + bounds["cold_slack"]
        for at, row in enumerate(rows):
            count = sum(
                row["t"] - 1.0 < one["t"] and row["t"] - 1.0 < one["sent"] for one in rows[max(0, at - 200) : at + 1]
            )
            if count > most:
                yield Violation(
                    rule="FAILBACK", t=row["t"], detail=f"{worker}: {count} in a second, {most:.0f} at most"
                )
                break


def judge_homes(*, world: World, arrivals: list, attempts: dict):
    """HOME: a request of a route with homes arrives at a worker elsewhere."""
    homes = {kind.name: kind.homes for kind in world.deployment.kinds if kind.homes}
    for row in arrivals:
        sent = attempts.get(row["id"])
        if sent is not None and sent["kind"] in homes and row["region"] not in homes[sent["kind"]]:
            yield Violation(
                rule="HOME", t=row["t"], detail=f"{row['id']} at {row['worker']} in {row['region']}, by {row['proxy']}"
            )


def judge_evacuations(*, world: World, arrivals: list, touch: Touch):
    """EVAC: an emptied zone is still sent requests after `evacuate_s`. ACK: the order isn't acknowledged in time."""
    bounds = world.deployment.bounds
    spans: dict = collections.defaultdict(list)
    for row in sorted([*world.history.of(k="ordered"), *world.history.of(k="refilling")], key=lambda one: one["t"]):
        if row["k"] == "refilling":
            for span in spans[row["zone"]]:
                span[1] = min(span[1], row["t"])
        else:
            if row["kind"] == "empty" and row["code"] == 200:
                spans[row["zone"]].append([row["t"], float("inf")])
            ended = row["t"] if row["code"] == 200 else max(row["t"], row["begun"] + bounds["ack_s"] + SENT_AGAIN)
            if touch.is_acked_late(begun=row["begun"], ended=ended, patience=bounds["ack_s"]):
                yield Violation(
                    rule="ACK",
                    t=row["t"],
                    detail=f"{row['kind']} {row['zone']}: {row['code']} after {row['t'] - row['begun']:.2f} s",
                )
    for row in arrivals:
        for begin, end in spans.get(row["zone"], ()):
            if (
                row["code"] != 421
                and begin + bounds["evacuate_s"] < row["t"] < end
                and touch.holds(machine=row["proxy"], t=row["t"])
            ):
                yield Violation(
                    rule="EVAC",
                    t=row["t"],
                    detail=f"{row['worker']} in {row['zone']} {row['t'] - begin:.2f} s after the order, "
                    f"by {row['proxy']}",
                )


def judge_owners(*, world: World, runs: list):
    """OWNER: two workers hold the same keys at one time, and each begins requests on them."""
    holds = collections.defaultdict(list)
    for row in world.history.of(k="hold"):
        holds[row["service"]].append(row)
    for service, rows in holds.items():
        for at, one in enumerate(rows):
            for other in rows[at + 1 :]:
                if other["t"] >= one["until"]:
                    break
                if other["worker"] == one["worker"] or one["end"] < other["start"] or other["end"] < one["start"]:
                    continue
                low, high = max(one["start"], other["start"]), min(one["end"], other["end"])
                begin, end = max(one["t"], other["t"]), min(one["until"], other["until"])
                began = {
                    run["worker"]
                    for run in runs
                    if run["service"] == service and low <= run["key"] <= high and begin <= run["t"] < end
                }
                if {one["worker"], other["worker"]} <= began:
                    yield Violation(
                        rule="OWNER",
                        t=begin,
                        detail=f"{one['worker']} and {other['worker']} held {low}-{high} for {end - begin:.2f} s",
                    )


def judge_budget(*, world: World, arrivals: list, attempts: dict):
    """BUDGET: a service gets more retries than its share in some window."""
    bounds = world.deployment.bounds
    window = bounds["retry_window_s"]
    seen: set = set()
    more = collections.defaultdict(list)
    for row in arrivals:
        if row["id"] in seen:
            more[row["service"]].append(row["t"])
        seen.add(row["id"])
    asked = collections.defaultdict(list)
    for row in sorted(attempts.values(), key=lambda attempt: attempt["t"]):
        for service in _services(world=world, kind=row["kind"]):
            asked[service].append(row["t"])
    for service, times in more.items():
        for at, t in enumerate(times):
            count = at + 1 - bisect.bisect_right(times, t - window)
            most = max(_between(asked[service], t - shift - window, t - shift) for shift in (0.0, window / 2, window))
            if count > bounds["retry_ratio"] * most + bounds["retry_slack"]:
                yield Violation(
                    rule="BUDGET", t=t, detail=f"{service}: {count} further arrivals for {most} requests in {window} s"
                )
                break


def _services(*, world: World, kind: str) -> set:
    one = next(one for one in world.deployment.kinds if one.name == kind)
    found = {one.service}
    for version in world.operator.versions.values():
        found |= version.routes().get((one.host, one.prefix), (frozenset(), None))[0]
    return found


def _between(times: list, low: float, high: float) -> int:
    return bisect.bisect_right(times, high) - bisect.bisect_right(times, low)
