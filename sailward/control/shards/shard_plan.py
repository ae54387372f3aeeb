"""Placement of keys on workers: ranges are split by load, and few keys move."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, replace

from sailward import constants
from sailward.routing.shards import KEYS

BUCKETS = constants.KEY_LOAD_BUCKETS
WIDTH = KEYS // BUCKETS
FLOOR = 0.2


@dataclass(frozen=True, kw_only=True)
class Span:
    """Keys from `start` to `end`, both inclusive, and their owner's key; "" if they have no owner."""

    start: int
    end: int
    owner: str


class Spread:
    """The distribution of load over the keys, as fractions of the total, from the requests/s of each bucket.

    Ranges are split only between buckets.
    """

    def __init__(self, *, loads: dict) -> None:
        total = sum(loads.values())
        self.total = total if total >= constants.REBALANCE_MIN_RATE else 0.0
        self._floor = FLOOR if self.total else 1.0
        self._buckets = sorted(loads) if self.total else []
        self._sums = [0.0]
        for bucket in self._buckets:
            self._sums.append(self._sums[-1] + (1 - FLOOR) * loads[bucket] / total)

    def of(self, *, span: Span) -> float:
        """The fraction of the total load on these keys."""
        return self._load_below(key=span.end + 1) - self._load_below(key=span.start)

    def split_point(self, *, start: int, part: float) -> int:
        """The key such that about the fraction `part` of the total load lies between `start` and it."""
        wanted = self._load_below(key=start) + part
        at = bisect.bisect_left(range(BUCKETS + 1), wanted, key=lambda bucket: self._load_below(key=bucket * WIDTH))
        before, after = (
            wanted - self._load_below(key=max(0, at - 1) * WIDTH),
            self._load_below(key=min(BUCKETS, at) * WIDTH) - wanted,
        )
        return min(KEYS, WIDTH * (max(0, at - 1) if before < after else at))

    def _load_below(self, *, key: int) -> float:
        bucket, rest = divmod(key, WIDTH)
        at = bisect.bisect_left(self._buckets, bucket)
        below = self._sums[at] + self._floor * key / KEYS
        if rest and at < len(self._buckets) and self._buckets[at] == bucket:
            below += (self._sums[at + 1] - self._sums[at]) * rest / WIDTH
        return below


def place(*, spans: list[Span], able: dict, loads: dict, is_balancing: bool) -> list[Span]:
    """The target owners of all keys.

    `able` has the requests/s that each eligible worker can serve, `loads` the requests/s of each bucket.

    Spans with an eligible owner stay, except for what `is_balancing` moves: from workers that are well over their share
    and busy, or that are slower than others with capacity to spare, to workers well under their share. All other spans
    go to the workers furthest below their share.
    """
    if not able:
        return _merge_adjacent(spans=[replace(span, owner="") for span in spans])
    parts = _load_shares(spans=spans, able=able, loads=loads)
    if not any(span.owner in able for span in spans):
        return _divide(spread=parts.spread, fair=parts.fair)
    placed: list[Span] = []
    for span in spans:
        placed += (
            [span]
            if span.owner in able
            else _assign(span=span, spread=parts.spread, fair=parts.fair, assigned=parts.assigned)
        )
    if is_balancing:
        for _ in range(constants.REBALANCE_MAX_MOVES):
            moved = _balance(spans=placed, parts=parts)
            if moved is None:
                break
            placed = moved
    return _merge_adjacent(spans=placed)


def strain(*, spans: list[Span], able: dict, loads: dict) -> float:
    """The load of the most loaded owner, as a multiple of its share."""
    parts = _load_shares(spans=spans, able=able, loads=loads)
    return max((parts.ratio(name=name) for name in able), default=0.0)


def weigh(*, capacities: dict, paces: dict) -> dict:
    """The requests/s that each worker can serve, from its capacity and its time per request.

    A time from few samples counts less, and none may be far from the median.
    """
    sorted_times = sorted(paces[key][0] for key in capacities if key in paces)
    median = (
        sorted_times[len(sorted_times) // 2]
        if sorted_times
        else constants.DEFAULT_WORKER_LATENCY * constants.LATENCY_LOWER_HALF_RATIO
    )
    able = {}
    for key, capacity in capacities.items():
        pace, count = paces.get(key, (median, 0))
        pace = (pace * count + median * constants.LATENCY_PRIOR_SAMPLES) / (count + constants.LATENCY_PRIOR_SAMPLES)
        pace = min(max(pace, median / constants.LATENCY_MAX_RATIO), median * constants.LATENCY_MAX_RATIO)
        able[key] = capacity * constants.LATENCY_LOWER_HALF_RATIO / pace
    return able


@dataclass(kw_only=True)
class Parts:
    """The workers' shares of the load, as fractions of the total.

    `even` is proportional to what each worker can serve, `fair` is the target, `assigned` is what it has.
    """

    able: dict
    spread: Spread
    even: dict
    fair: dict
    assigned: dict

    def ratio(self, *, name: str) -> float:
        """The assigned load as a multiple of the share; a slow worker with a small target may keep its even share."""
        return self.assigned[name] / max(self.fair[name], self.even[name])

    def is_over(self, *, name: str) -> bool:
        """Is the worker overloaded enough to give keys away?"""
        ratio, use = self.ratio(name=name), self.assigned[name] * self.spread.total / self.able[name]
        is_slow = (
            self.assigned[name] - self.fair[name] > constants.REBALANCE_SLOW_WORKER_RATIO * self.even[name]
            and self.fair[name] < self.even[name]
        )
        return (
            ratio > constants.REBALANCE_URGENT_RATIO
            or (ratio > constants.REBALANCE_HIGH_RATIO and use > constants.REBALANCE_MIN_UTILIZATION)
            or is_slow
        )

    def is_under(self, *, name: str) -> bool:
        """Is the worker idle although its share says it should not be?"""
        return (
            self.assigned[name] < constants.REBALANCE_LOW_RATIO * min(self.fair[name], self.even[name])
            and self.fair[name] > 0.5 * self.even[name]
        )


def _load_shares(*, spans: list[Span], able: dict, loads: dict) -> Parts:
    spread, total_capacity, assigned = Spread(loads=loads), sum(able.values()), dict.fromkeys(able, 0.0)
    for span in spans:
        if span.owner in assigned:
            assigned[span.owner] += spread.of(span=span)
    even = {name: weight / total_capacity for name, weight in able.items()}
    return Parts(
        able=able, spread=spread, even=even, assigned=assigned, fair=_target_shares(able=able, total=spread.total)
    )


def _target_shares(*, able: dict, total: float) -> dict:
    """The target share of each worker.

    The lower the total load, the larger the share of the fast workers.
    """
    total_capacity = sum(able.values())
    exponent = (
        1
        + constants.REBALANCE_SKEW_EXPONENT
        * max(0.0, 1 - total / total_capacity / constants.REBALANCE_SATURATION_RATIO)
        if total
        else 1.0
    )
    weighted = {name: weight**exponent for name, weight in able.items()}
    return {name: weight / sum(weighted.values()) for name, weight in weighted.items()}


def _divide(*, spread: Spread, fair: dict) -> list[Span]:
    spans, start, cumulative = [], 0, 0.0
    names = sorted(fair)
    for name in names:
        cumulative += fair[name]
        end = KEYS if name == names[-1] else spread.split_point(start=0, part=cumulative)
        if end > start:
            spans.append(Span(start=start, end=end - 1, owner=name))
            start = end
    return spans


def _assign(*, span: Span, spread: Spread, fair: dict, assigned: dict) -> list[Span]:
    least = constants.REBALANCE_MIN_PIECE_RATIO / len(fair)
    assigned_spans, start = [], span.start
    while start <= span.end:
        taker = max(sorted(fair), key=lambda name: fair[name] - assigned[name])
        deficit = max(fair[taker] - assigned[taker], least)
        rest = Span(start=start, end=span.end, owner=taker)
        end = spread.split_point(start=start, part=deficit) - 1
        if spread.of(span=rest) > deficit + least and start <= end < span.end:
            rest = replace(rest, end=end)
        assigned[taker] += spread.of(span=rest)
        assigned_spans.append(rest)
        start = rest.end + 1
    return assigned_spans


def _balance(*, spans: list[Span], parts: Parts) -> list[Span] | None:
    """Move one chunk from the most loaded worker that can be relieved; None if nothing needs to move."""
    fair, assigned = parts.fair, parts.assigned
    names = sorted(fair)
    taker = min(
        names,
        key=lambda name: (
            assigned[name] / fair[name]
            if fair[name] > 0.5 * parts.even[name]
            else assigned[name] / parts.even[name] + 0.5
        ),
    )
    is_idle = parts.is_under(name=taker)
    givers = sorted(
        names, key=lambda name: -max(parts.ratio(name=name), (assigned[name] - fair[name]) / parts.even[name])
    )
    for giver in givers:
        if giver == taker or not (is_idle or parts.is_over(name=giver)):
            continue
        part = min(assigned[giver] - fair[giver], fair[taker] - assigned[taker])
        if is_idle:
            part = min(
                max(part, constants.REBALANCE_MIN_PIECE_RATIO * fair[taker]), assigned[giver] - 0.7 * fair[giver]
            )
        moved = (
            _move(spans=spans, spread=parts.spread, giver=giver, taker=taker, part=part, assigned=assigned)
            if part >= 0.1 / len(fair)
            else None
        )
        if moved is not None:
            return moved
    return None


def _move(
    *, spans: list[Span], spread: Spread, giver: str, taker: str, part: float, assigned: dict
) -> list[Span] | None:
    """Move a chunk with about this fraction of the load: the one with the fewest keys per load."""
    best = None
    for span in spans:
        for chunk in _end_chunks(span=span, spread=spread, part=part) if span.owner == giver else ():
            load = spread.of(span=chunk)
            cost = (chunk.end - chunk.start + 1) / load
            if 0.3 * part <= load <= 1.2 * part and (best is None or cost < best[0]):
                best = cost, span, chunk, load
    if best is None:
        return None
    _, span, chunk, load = best
    assigned[giver] -= load
    assigned[taker] += load
    at = spans.index(span)
    parts = [
        Span(start=span.start, end=chunk.start - 1, owner=giver),
        replace(chunk, owner=taker),
        Span(start=chunk.end + 1, end=span.end, owner=giver),
    ]
    return [*spans[:at], *(span_part for span_part in parts if span_part.start <= span_part.end), *spans[at + 1 :]]


def _end_chunks(*, span: Span, spread: Spread, part: float) -> list[Span]:
    load = spread.of(span=span)
    if load <= part:
        return [span]
    left = spread.split_point(start=span.start, part=part)
    right = spread.split_point(start=span.start, part=load - part)
    return [
        replace(span, end=min(max(left - 1, span.start), span.end)),
        replace(span, start=min(max(right, span.start), span.end)),
    ]


def _merge_adjacent(*, spans: list[Span]) -> list[Span]:
    joined: list[Span] = []
    for span in spans:
        if joined and joined[-1].owner == span.owner:
            joined[-1] = replace(joined[-1], end=span.end)
        else:
            joined.append(span)
    return joined
