"""Configurations and orders: accepted once, in force in time, kept, never slipped back."""

from __future__ import annotations

import bisect
import collections
import itertools
import math

from simulation.history import History
from simulation.rules import SLACK, Broken
from simulation.rules.meaning import find_match, lay_over, mean, permits

RUN_ON = 2.5 + SLACK
"""s: the longest that what was sent on under one configuration may reach a worker after another's (an expiry)."""
QUIET = 65.0
"""s without trouble before weights are judged: a zone's hold, and its workers' ramps."""


class Changes:
    """The changes of the configuration as their operators saw them end, and what each number held."""

    def __init__(self, *, history: History) -> None:
        self.rows = history.of(k="put")
        self.accepted = sorted(
            (row for row in self.rows if row["outcome"] == "accepted"), key=lambda row: row["number"]
        )
        self.contents = self._fold()
        self.meanings = {number: mean(config=config) for number, config in self.contents.items()}
        # what may have become in force though nobody was told: whole ones by content, small ones may be anything
        self.unknown = [
            (row["begun"], None if row["patch"] else mean(config=row["given"]))
            for row in self.rows
            if row["outcome"] == "unknown" and not row["invalid"]
        ]

    def _fold(self) -> dict:
        contents: dict = {}
        for row in self.accepted:
            if not row["patch"]:
                contents[row["number"]] = row["given"]
            elif row["number"] - 1 in contents:
                contents[row["number"]] = lay_over(target=contents[row["number"] - 1], patch=row["given"])
        return contents


def check_in_force(*, changes: Changes, runs: list):
    """A configuration is not in force 2.5 s after it was accepted, or a machine slips back to an older one."""
    floors = sorted((row["t"] + 2.5 + SLACK, row["number"]) for row in changes.accepted)
    times, top = [t for t, _ in floors], []
    for _, number in floors:
        top.append(max(number, top[-1] if top else 0))
    begun = {row["number"]: row["begun"] for row in changes.accepted}
    seen: dict = collections.defaultdict(list)
    for run in runs:
        fits = _fits(changes=changes, begun=begun, run=run)
        if fits is None:
            continue
        at = bisect.bisect_left(times, run["t"])
        if at and not any(number >= top[at - 1] for number in fits):
            yield Broken(
                rule="config-not-in-force",
                t=run["t"],
                detail=f"{run['tenant']} {run['path']} ran at {run['worker']} in "
                f"{run['hall']} by {run['proxy']}, after number {top[at - 1]}; it fits numbers {fits}",
            )
        if not run["proxy"] or not fits:
            continue
        before = seen[run["proxy"]]
        newest = max((number for t, number in before if t <= run["t"] - RUN_ON), default=0)
        if max(fits) < newest:
            yield Broken(
                rule="slipped-back", t=run["t"], detail=f"{run['proxy']} had acted on number {newest}, now on {fits}"
            )
        if not before or min(fits) > before[-1][1]:
            before.append((run["t"], min(fits)))


def _fits(*, changes: Changes, begun: dict, run: dict) -> list | None:
    """The numbers under which a run may be; None if something unknown may explain it."""
    for since, meaning in changes.unknown:
        if since <= run["t"] and (meaning is None or permits(meaning=meaning, run=run)):
            return None
    fits = []
    for number, since in begun.items():
        if since <= run["t"]:
            meaning = changes.meanings.get(number)
            if meaning is None:
                return None
            if permits(meaning=meaning, run=run):
                fits.append(number)
    return fits


def check_weights(*, history: History, changes: Changes, runs: list, zones: dict):
    """The split of a configuration in force is not that of its weights, while nothing troubles the fleet."""
    troubles = [row["t"] for row in history.of(k="trouble")]
    starts = [row["t"] for row in [*history.of(k="worker-started"), *history.of(k="refilled")]]
    orders = [row["t"] for row in history.of(k="emptied")]
    end = max((run["t"] for run in runs), default=0.0)
    for row, following in itertools.zip_longest(changes.accepted, changes.accepted[1:]):
        meaning = changes.meanings.get(row["number"])
        begin = row["t"] + 2.5 + SLACK
        until = min([following["begun"] if following else end, *[t for t in troubles if t > begin - QUIET], *orders])
        begin = max([begin, *[t + 12.0 for t in starts if t < until]])
        if meaning is None or any(since < until for since, _ in changes.unknown):
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
        # where workers are at their bounds, these move the split, as they must
        full = {
            row["path"]
            for row in history.of(k="got")
            if row["reason"] == "no-room" and begin - 2.0 <= row["t"] <= until + 2.0
        }
        for match in meaning["matches"]:
            if match["path"] in full:
                continue
            yield from _judge_split(
                match=match, count=counts[(match["path"], tuple(match["tenants"]))], zones=zones, t=until
            )


def _judge_split(*, match: dict, count: collections.Counter, zones: dict, t: float):
    total, weights = sum(count.values()), sum(weight for weight, _, _ in match["weights"])
    if not weights:
        return
    for region in set(zones.values()):
        part = sum(
            weight / weights * sum(zones.get(zone) == region for zone in preferred) / len(preferred)
            for weight, preferred, _ in match["weights"]
        )
        got = sum(number for zone, number in count.items() if zones.get(zone) == region)
        # five deviations of so many draws: one false alarm in a million; at least 3 for shares next to 0 or 1
        if total >= 50 and abs(got - part * total) > max(3.0, 5 * math.sqrt(total * part * (1 - part))):
            yield Broken(
                rule="weights-not-in-force",
                t=t,
                detail=f"{match['path']}: {got} of {total} in {region}, the weights say {part:.2f}",
            )


def check_registers(*, history: History, changes: Changes):
    """An invalid or losing configuration is accepted, a change is lost, or the newest is missing on reading back."""
    for row in changes.accepted:
        if row["invalid"]:
            yield Broken(rule="invalid-accepted", t=row["t"], detail=f"number {row['number']}")
    for number, count in collections.Counter(row["number"] for row in changes.accepted).items():
        if count > 1:
            yield Broken(rule="two-winners", t=0.0, detail=f"number {number} was accepted {count} times")
    maybe = {row["digest"] for row in changes.rows if row["outcome"] != "refused"}
    lost = {row["digest"] for row in changes.rows if row["outcome"] == "refused" and not row["patch"]} - maybe
    small = any(row["patch"] for row in changes.rows)
    reads = history.of(k="read-back")
    for read in reads:
        newest = max((row["number"] for row in changes.accepted if row["t"] <= read["begun"]), default=0)
        seen = max((other["number"] for other in reads if other["t"] <= read["begun"]), default=0)
        if read["number"] < newest:
            yield Broken(
                rule="accepted-missing", t=read["t"], detail=f"read {read['number']} after {newest} was accepted"
            )
        if read["number"] < seen:
            yield Broken(rule="slipped-back", t=read["t"], detail=f"read {read['number']} after {seen} had been read")
        if read["digest"] in lost and not small:
            yield Broken(rule="loser-in-force", t=read["t"], detail=f"number {read['number']} had been refused")
        content = changes.contents.get(read["number"])
        if content is not None and content != read["config"]:
            yield Broken(
                rule="change-lost",
                t=read["t"],
                detail=f"number {read['number']} has other content than the accepted changes make",
            )


def check_emptied(*, history: History, runs: list):
    """An emptied zone still gets exchanges 5 s after the order."""
    spans: dict = {}
    for row in sorted([*history.of(k="emptied"), *history.of(k="refilled")], key=lambda one: one["t"]):
        if row["k"] == "emptied":
            spans.setdefault(row["hall"], []).append([row["t"], float("inf")])
        elif spans.get(row["hall"]):
            spans[row["hall"]][-1][1] = row["begun"]
    for run in runs:
        for begin, end in spans.get(run["hall"], []):
            if begin + 5.0 < run["t"] < end:
                yield Broken(
                    rule="emptied-hall-served",
                    t=run["t"],
                    detail=f"{run['hall']} {run['t'] - begin:.2f} s after the order, by {run['proxy']}",
                )
