"""Rules on configurations and orders: accepted once, in force in time, never lost, never reverted."""

from __future__ import annotations

import bisect
import collections
import itertools
import math

from simulation.history import History
from simulation.rules import TRANSIT_SLACK, Violation
from simulation.rules.meaning import find_match, interpret, merge_patch, permits

OLD_CONFIG_IN_FLIGHT = 2.5 + TRANSIT_SLACK
"""s for which a request forwarded under an older configuration may still reach a worker, until it expires."""
FAULT_FREE_BEFORE = 65.0
"""s without faults before weights are judged: a zone's hold-down and the slow start of its workers."""


class ConfigChanges:
    """The changes of the configuration with the outcomes that operators saw, and the content of each number.

    `uncertain` are the changes of unknown outcome: (begin, meaning, or None for a patch).
    """

    def __init__(self, *, history: History) -> None:
        self.rows = history.of(k="put")
        self.accepted = sorted(
            (row for row in self.rows if row["outcome"] == "accepted"), key=lambda row: row["number"]
        )
        self.contents = self._apply_accepted()
        self.meanings = {number: interpret(config=config) for number, config in self.contents.items()}
        # these may be in force although no operator learned it; the result of a patch is not known
        self.uncertain = [
            (row["begun"], None if row["patch"] else interpret(config=row["given"]))
            for row in self.rows
            if row["outcome"] == "unknown" and not row["invalid"]
        ]

    def _apply_accepted(self) -> dict:
        contents: dict = {}
        for row in self.accepted:
            if not row["patch"]:
                contents[row["number"]] = row["given"]
            elif row["number"] - 1 in contents:
                contents[row["number"]] = merge_patch(target=contents[row["number"] - 1], patch=row["given"])
        return contents


def check_in_force(*, changes: ConfigChanges, runs: list):
    """A configuration is not in force 2.5 s after its acceptance, or a proxy reverts to an older one."""
    floors = sorted((row["t"] + 2.5 + TRANSIT_SLACK, row["number"]) for row in changes.accepted)
    times, newest_by = [t for t, _ in floors], []
    for _, number in floors:
        newest_by.append(max(number, newest_by[-1] if newest_by else 0))
    begun = {row["number"]: row["begun"] for row in changes.accepted}
    acted_numbers: dict = collections.defaultdict(list)
    for run in runs:
        numbers = _matching_numbers(changes=changes, begun=begun, run=run)
        if numbers is None:
            continue
        index = bisect.bisect_left(times, run["t"])
        if index and not any(number >= newest_by[index - 1] for number in numbers):
            yield Violation(
                rule="config-not-in-force",
                t=run["t"],
                detail=f"{run['tenant']} {run['path']} ran at {run['worker']} in "
                f"{run['hall']} by {run['proxy']}, after number {newest_by[index - 1]}; it fits numbers {numbers}",
            )
        if not run["proxy"] or not numbers:
            continue
        acted_before = acted_numbers[run["proxy"]]
        newest = max((number for t, number in acted_before if t <= run["t"] - OLD_CONFIG_IN_FLIGHT), default=0)
        if max(numbers) < newest:
            yield Violation(
                rule="slipped-back", t=run["t"], detail=f"{run['proxy']} had acted on number {newest}, now on {numbers}"
            )
        if not acted_before or min(numbers) > acted_before[-1][1]:
            acted_before.append((run["t"], min(numbers)))


def _matching_numbers(*, changes: ConfigChanges, begun: dict, run: dict) -> list | None:
    """The configuration numbers that permit a run; None if a change of uncertain outcome may explain it."""
    for begun_at, meaning in changes.uncertain:
        if begun_at <= run["t"] and (meaning is None or permits(meaning=meaning, run=run)):
            return None
    numbers = []
    for number, begun_at in begun.items():
        if begun_at <= run["t"]:
            meaning = changes.meanings.get(number)
            if meaning is None:
                return None
            if permits(meaning=meaning, run=run):
                numbers.append(number)
    return numbers


def check_weights(*, history: History, changes: ConfigChanges, runs: list, zones: dict):
    """The split of the traffic differs from the configured weights while no fault is present."""
    faults = [row["t"] for row in history.of(k="trouble")]
    starts = [row["t"] for row in [*history.of(k="worker-started"), *history.of(k="refilled")]]
    orders = [row["t"] for row in history.of(k="emptied")]
    end = max((run["t"] for run in runs), default=0.0)
    for row, next_row in itertools.zip_longest(changes.accepted, changes.accepted[1:]):
        meaning = changes.meanings.get(row["number"])
        begin = row["t"] + 2.5 + TRANSIT_SLACK
        until = min(
            [next_row["begun"] if next_row else end, *[t for t in faults if t > begin - FAULT_FREE_BEFORE], *orders]
        )
        begin = max([begin, *[t + 12.0 for t in starts if t < until]])
        if meaning is None or any(begun_at < until for begun_at, _ in changes.uncertain):
            continue
        counts: dict = collections.defaultdict(collections.Counter)
        for run in runs:
            match = (
                find_match(meaning=meaning, tenant=run["tenant"], path=run["path"].split("?")[0])
                if begin <= run["t"] < until
                else None
            )
            if match and not meaning["slots"].get(match["service"]) and run["tenant"] not in meaning["homes"]:
                counts[(match["path"], tuple(match["tenants"]))][run["hall"]] += 1
        # workers at their rate bounds shift the split, as intended
        overloaded_paths = {
            row["path"]
            for row in history.of(k="got")
            if row["reason"] == "no-room" and begin - 2.0 <= row["t"] <= until + 2.0
        }
        for match in meaning["matches"]:
            if match["path"] in overloaded_paths:
                continue
            yield from _judge_split(
                match=match, count=counts[(match["path"], tuple(match["tenants"]))], zones=zones, t=until
            )


def _judge_split(*, match: dict, count: collections.Counter, zones: dict, t: float):
    total, weights = sum(count.values()), sum(weight for weight, _, _ in match["weights"])
    if not weights:
        return
    for region in set(zones.values()):
        expected_share = sum(
            weight / weights * sum(zones.get(zone) == region for zone in preferred) / len(preferred)
            for weight, preferred, _ in match["weights"]
        )
        count_in_region = sum(number for zone, number in count.items() if zones.get(zone) == region)
        # five standard deviations: one false alarm in a million; at least 3 requests for shares near 0 or 1
        if total >= 50 and abs(count_in_region - expected_share * total) > max(
            3.0, 5 * math.sqrt(total * expected_share * (1 - expected_share))
        ):
            yield Violation(
                rule="weights-not-in-force",
                t=t,
                detail=f"{match['path']}: {count_in_region} of {total} in {region}, "
                f"the weights say {expected_share:.2f}",
            )


def check_config_register(*, history: History, changes: ConfigChanges):
    """An invalid change is accepted, two get one number, a refused one is in force, one is lost, or a read is stale."""
    for row in changes.accepted:
        if row["invalid"]:
            yield Violation(rule="invalid-accepted", t=row["t"], detail=f"number {row['number']}")
    for number, count in collections.Counter(row["number"] for row in changes.accepted).items():
        if count > 1:
            yield Violation(rule="two-winners", t=0.0, detail=f"number {number} was accepted {count} times")
    may_be_in_force = {row["digest"] for row in changes.rows if row["outcome"] != "refused"}
    refused_only = {
        row["digest"] for row in changes.rows if row["outcome"] == "refused" and not row["patch"]
    } - may_be_in_force
    has_patches = any(row["patch"] for row in changes.rows)
    reads = history.of(k="read-back")
    for read in reads:
        newest = max((row["number"] for row in changes.accepted if row["t"] <= read["begun"]), default=0)
        newest_read = max((other["number"] for other in reads if other["t"] <= read["begun"]), default=0)
        if read["number"] < newest:
            yield Violation(
                rule="accepted-missing", t=read["t"], detail=f"read {read['number']} after {newest} was accepted"
            )
        if read["number"] < newest_read:
            yield Violation(
                rule="slipped-back", t=read["t"], detail=f"read {read['number']} after {newest_read} had been read"
            )
        if read["digest"] in refused_only and not has_patches:
            yield Violation(rule="loser-in-force", t=read["t"], detail=f"number {read['number']} had been refused")
        content = changes.contents.get(read["number"])
        if content is not None and content != read["config"]:
            yield Violation(
                rule="change-lost",
                t=read["t"],
                detail=f"number {read['number']} has other content than the accepted changes make",
            )


def check_emptied_zones(*, history: History, runs: list):
    """An emptied zone still receives requests 5 s after the order."""
    spans: dict = {}
    for row in sorted([*history.of(k="emptied"), *history.of(k="refilled")], key=lambda row: row["t"]):
        if row["k"] == "emptied":
            spans.setdefault(row["hall"], []).append([row["t"], float("inf")])
        elif spans.get(row["hall"]):
            spans[row["hall"]][-1][1] = row["begun"]
    for run in runs:
        for begin, end in spans.get(run["hall"], []):
            if begin + 5.0 < run["t"] < end:
                yield Violation(
                    rule="emptied-hall-served",
                    t=run["t"],
                    detail=f"{run['hall']} {run['t'] - begin:.2f} s after the order, by {run['proxy']}",
                )
