"""Rules on which workers get requests: draining and cold workers, home regions, evacuations, keys and retries."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING

from simulation.hosted.contact_history import ContactHistory
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.world import World


COLD_KNOWN_AFTER = 1.3
"""s beyond the list's lag after which all proxies can know that a running worker has gone cold: a pass over the list,
and its push."""
NO_ACK_EXTRA = 0.2
"""s beyond `ack_s` at which an order without any acknowledgement counts as ended, so that it counts as late."""


def judge_drain(*, world: World, arrivals: list, contact: ContactHistory):
    """DRAIN: a worker got requests more than `drain_s` after the list showed that it drains."""
    shown = {row["worker"]: row["shown"] for row in world.history.of(k="draining")}
    drain_time = world.deployment.bounds["drain_s"]
    list_outages = [(row["t"], row["until"]) for row in world.history.of(k="list-down")]
    for row in arrivals:
        shown_at = shown.get(row["worker"], float("inf"))
        # time during which the list is down does not count
        shown_at += sum(max(0.0, min(end, row["t"]) - max(begin, shown_at)) for begin, end in list_outages)
        if (
            row["code"] != 421
            and row["t"] > shown_at + drain_time
            and contact.is_in_contact(machine=row["proxy"], t=row["t"])
            and contact.is_in_contact(machine=row["proxy"], t=shown_at)
        ):
            yield Violation(
                rule="DRAIN",
                t=row["t"],
                detail=f"{row['worker']} {row['t'] - shown_at:.2f} s after its drain was listed, by {row['proxy']}",
            )


def judge_cold(*, world: World, arrivals: list):
    """FAILBACK: a cold worker got more requests in one second than its slow start allows."""
    bounds = world.deployment.bounds
    rates = {service.name: service.slow_start_rate for service in world.deployment.services}
    slow_start = collections.defaultdict(list)
    chilled = collections.defaultdict(list)
    for row in world.history.of(k="chilled"):
        chilled[row["worker"]].append(row["t"])
    known_after = COLD_KNOWN_AFTER + world.deployment.list_lag
    for row in arrivals:
        is_unknown_yet = any(t <= row["sent"] < t + known_after for t in chilled[row["worker"]])
        if row["is_cold"] and row["code"] != 421 and not is_unknown_yet:
            slow_start[row["worker"]].append(row)
    for worker, rows in slow_start.items():
        limit = rates[rows[0]["service"]] * bounds["cold_excess"] + bounds["cold_slack"]
        for at, row in enumerate(rows):
            count = sum(
                row["t"] - 1.0 < earlier["t"] and row["t"] - 1.0 < earlier["sent"]
                for earlier in rows[max(0, at - 200) : at + 1]
            )
            if count > limit:
                yield Violation(
                    rule="FAILBACK", t=row["t"], detail=f"{worker}: {count} in a second, {limit:.0f} at most"
                )
                break


def judge_homes(*, world: World, arrivals: list, attempts: dict):
    """HOME: a request of a route with home regions arrived at a worker in another region."""
    homes = {kind.name: kind.home_regions for kind in world.deployment.kinds if kind.home_regions}
    for row in arrivals:
        attempt = attempts.get(row["id"])
        if attempt is not None and attempt["kind"] in homes and row["region"] not in homes[attempt["kind"]]:
            yield Violation(
                rule="HOME", t=row["t"], detail=f"{row['id']} at {row['worker']} in {row['region']}, by {row['proxy']}"
            )


def judge_evacuations(*, world: World, arrivals: list, contact: ContactHistory):
    """EVAC: an evacuated zone got requests after `evacuate_s`. ACK: the order was not acknowledged in time."""
    bounds = world.deployment.bounds
    spans: dict = collections.defaultdict(list)
    for row in sorted([*world.history.of(k="ordered"), *world.history.of(k="refilling")], key=lambda row: row["t"]):
        if row["k"] == "refilling":
            for span in spans[row["zone"]]:
                span[1] = min(span[1], row["t"])
        else:
            if row["kind"] == "empty" and row["code"] == 200:
                spans[row["zone"]].append([row["t"], float("inf")])
            ended = row["t"] if row["code"] == 200 else max(row["t"], row["begun"] + bounds["ack_s"] + NO_ACK_EXTRA)
            if contact.is_acknowledged_late(begun=row["begun"], ended=ended, limit=bounds["ack_s"]):
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
                and contact.is_in_contact(machine=row["proxy"], t=row["t"])
            ):
                yield Violation(
                    rule="EVAC",
                    t=row["t"],
                    detail=f"{row['worker']} in {row['zone']} {row['t'] - begin:.2f} s after the evacuation, "
                    f"by {row['proxy']}",
                )


def judge_owners(*, world: World, runs: list):
    """OWNER: two workers held the same keys at the same time, and both began requests on them."""
    holds = collections.defaultdict(list)
    for row in world.history.of(k="hold"):
        holds[row["service"]].append(row)
    for service, rows in holds.items():
        for at, first in enumerate(rows):
            for second in rows[at + 1 :]:
                if second["t"] >= first["until"]:
                    break
                if (
                    second["worker"] == first["worker"]
                    or first["end"] < second["start"]
                    or second["end"] < first["start"]
                ):
                    continue
                low, high = max(first["start"], second["start"]), min(first["end"], second["end"])
                begin, end = max(first["t"], second["t"]), min(first["until"], second["until"])
                began = {
                    run["worker"]
                    for run in runs
                    if run["service"] == service and low <= run["key"] <= high and begin <= run["t"] < end
                }
                if {first["worker"], second["worker"]} <= began:
                    yield Violation(
                        rule="OWNER",
                        t=begin,
                        detail=f"{first['worker']} and {second['worker']} held {low}-{high} for {end - begin:.2f} s",
                    )


def judge_budget(*, world: World, arrivals: list, attempts: dict):
    """BUDGET: a service got more retries in some window than the retry budget allows."""
    bounds = world.deployment.bounds
    window = bounds["retry_window_s"]
    arrived: set = set()
    retries = collections.defaultdict(list)
    for row in arrivals:
        if row["id"] in arrived:
            retries[row["service"]].append(row["t"])
        arrived.add(row["id"])
    requests = collections.defaultdict(list)
    for row in sorted(attempts.values(), key=lambda attempt: attempt["t"]):
        for service in _services_of_kind(world=world, kind=row["kind"]):
            requests[service].append(row["t"])
    for service, times in retries.items():
        for at, t in enumerate(times):
            count = at + 1 - bisect.bisect_right(times, t - window)
            most_requests = max(
                _count_between(requests[service], t - shift - window, t - shift) for shift in (0.0, window / 2, window)
            )
            if count > bounds["retry_ratio"] * most_requests + bounds["retry_slack"]:
                yield Violation(
                    rule="BUDGET", t=t, detail=f"{service}: {count} retries for {most_requests} requests in {window} s"
                )
                break


def _services_of_kind(*, world: World, kind: str) -> set:
    definition = next(definition for definition in world.deployment.kinds if definition.name == kind)
    services = {definition.service}
    for version in world.operator.versions.values():
        services |= version.routes().get((definition.host, definition.prefix), (frozenset(), None))[0]
    return services


def _count_between(times: list, low: float, high: float) -> int:
    return bisect.bisect_right(times, high) - bisect.bisect_right(times, low)
