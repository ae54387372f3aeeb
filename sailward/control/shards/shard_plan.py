"""Placement of keys on workers: ranges are split by load, and few keys move."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, replace

from sailward import constants
from sailward.routing.shards import KEYS

BUCKETS = constants.KEY_LOAD_BUCKETS
BUCKET_WIDTH = KEYS // BUCKETS
UNIFORM_FRACTION = 0.2
"""Fraction of the load that is assumed to be spread evenly over all keys."""


@dataclass(frozen=True, kw_only=True)
class Span:
    """Keys from `start` to `end`, both inclusive, and the worker that owns them; "" if they have no owner."""

    start: int
    end: int
    owner: str


class LoadDistribution:
    """The distribution of load over the keys, as fractions of the total, from the requests/s of each bucket.

    Ranges are split only between buckets.
    """

    def __init__(self, *, loads: dict) -> None:
        total = sum(loads.values())
        self.total = total if total >= constants.REBALANCE_MIN_RATE else 0.0
        self._uniform_fraction = UNIFORM_FRACTION if self.total else 1.0
        self._buckets = sorted(loads) if self.total else []
        self._sums = [0.0]
        for bucket in self._buckets:
            self._sums.append(self._sums[-1] + (1 - UNIFORM_FRACTION) * loads[bucket] / total)

    def load_of(self, *, span: Span) -> float:
        """The fraction of the total load on these keys."""
        return self._load_below(key=span.end + 1) - self._load_below(key=span.start)

    def split_point(self, *, start: int, fraction: float) -> int:
        """The key such that about the given `fraction` of the total load lies between `start` and it."""
        target_load = self._load_below(key=start) + fraction
        at = bisect.bisect_left(
            range(BUCKETS + 1), target_load, key=lambda bucket: self._load_below(key=bucket * BUCKET_WIDTH)
        )
        before, after = (
            target_load - self._load_below(key=max(0, at - 1) * BUCKET_WIDTH),
            self._load_below(key=min(BUCKETS, at) * BUCKET_WIDTH) - target_load,
        )
        return min(KEYS, BUCKET_WIDTH * (max(0, at - 1) if before < after else at))

    def _load_below(self, *, key: int) -> float:
        bucket, remainder = divmod(key, BUCKET_WIDTH)
        at = bisect.bisect_left(self._buckets, bucket)
        below = self._sums[at] + self._uniform_fraction * key / KEYS
        if remainder and at < len(self._buckets) and self._buckets[at] == bucket:
            below += (self._sums[at + 1] - self._sums[at]) * remainder / BUCKET_WIDTH
        return below


def place_spans(*, spans: list[Span], throughputs: dict, loads: dict, is_balancing: bool) -> list[Span]:
    """The target owners of all keys.

    `throughputs` has the requests/s that each eligible worker can serve, `loads` the requests/s of each bucket.

    Spans with an eligible owner stay, except for what `is_balancing` moves: from workers that are well over their share
    and busy, or that are slower than others with capacity to spare, to workers well under their share. All other spans
    go to the workers furthest below their share.
    """
    if not throughputs:
        return _merge_adjacent(spans=[replace(span, owner="") for span in spans])
    shares = _load_shares(spans=spans, throughputs=throughputs, loads=loads)
    if not any(span.owner in throughputs for span in spans):
        return _divide(distribution=shares.distribution, target=shares.target)
    placed: list[Span] = []
    for span in spans:
        placed += (
            [span]
            if span.owner in throughputs
            else _assign(span=span, distribution=shares.distribution, target=shares.target, assigned=shares.assigned)
        )
    if is_balancing:
        for _ in range(constants.REBALANCE_MAX_MOVES):
            moved = _balance(spans=placed, shares=shares)
            if moved is None:
                break
            placed = moved
    return _merge_adjacent(spans=placed)


def max_load_ratio(*, spans: list[Span], throughputs: dict, loads: dict) -> float:
    """The load of the most loaded owner, as a multiple of its share."""
    shares = _load_shares(spans=spans, throughputs=throughputs, loads=loads)
    return max((shares.load_ratio(name=name) for name in throughputs), default=0.0)


def estimate_throughputs(*, capacities: dict, latencies: dict) -> dict:
    """The requests/s that each worker can serve, from its capacity and its time per request.

    A time from few samples counts less, and none may be far from the median.
    """
    sorted_times = sorted(latencies[key][0] for key in capacities if key in latencies)
    median = (
        sorted_times[len(sorted_times) // 2]
        if sorted_times
        else constants.DEFAULT_WORKER_LATENCY * constants.LATENCY_LOWER_HALF_RATIO
    )
    throughputs = {}
    for key, capacity in capacities.items():
        latency, count = latencies.get(key, (median, 0))
        latency = (latency * count + median * constants.LATENCY_PRIOR_SAMPLES) / (
            count + constants.LATENCY_PRIOR_SAMPLES
        )
        latency = min(max(latency, median / constants.LATENCY_MAX_RATIO), median * constants.LATENCY_MAX_RATIO)
        throughputs[key] = capacity * constants.LATENCY_LOWER_HALF_RATIO / latency
    return throughputs


@dataclass(kw_only=True)
class LoadShares:
    """The workers' shares of the load, as fractions of the total.

    `proportional` follows what each worker can serve, `target` is what it should have, `assigned` is what it has.
    """

    throughputs: dict
    distribution: LoadDistribution
    proportional: dict
    target: dict
    assigned: dict

    def load_ratio(self, *, name: str) -> float:
        """The assigned load as a multiple of the share; a slow worker with a low target may keep `proportional`."""
        return self.assigned[name] / max(self.target[name], self.proportional[name])

    def is_overloaded(self, *, name: str) -> bool:
        """Is the worker overloaded enough to give keys away?"""
        load_ratio, utilization = (
            self.load_ratio(name=name),
            self.assigned[name] * self.distribution.total / self.throughputs[name],
        )
        is_slow = (
            self.assigned[name] - self.target[name] > constants.REBALANCE_SLOW_WORKER_RATIO * self.proportional[name]
            and self.target[name] < self.proportional[name]
        )
        return (
            load_ratio > constants.REBALANCE_URGENT_RATIO
            or (load_ratio > constants.REBALANCE_HIGH_RATIO and utilization > constants.REBALANCE_MIN_UTILIZATION)
            or is_slow
        )

    def is_underloaded(self, *, name: str) -> bool:
        """Is the worker nearly idle although its target share is not small?"""
        return (
            self.assigned[name] < constants.REBALANCE_LOW_RATIO * min(self.target[name], self.proportional[name])
            and self.target[name] > 0.5 * self.proportional[name]
        )


def _load_shares(*, spans: list[Span], throughputs: dict, loads: dict) -> LoadShares:
    distribution, total_throughput, assigned = (
        LoadDistribution(loads=loads),
        sum(throughputs.values()),
        dict.fromkeys(throughputs, 0.0),
    )
    for span in spans:
        if span.owner in assigned:
            assigned[span.owner] += distribution.load_of(span=span)
    proportional = {name: weight / total_throughput for name, weight in throughputs.items()}
    return LoadShares(
        throughputs=throughputs,
        distribution=distribution,
        proportional=proportional,
        assigned=assigned,
        target=_target_shares(throughputs=throughputs, total=distribution.total),
    )


def _target_shares(*, throughputs: dict, total: float) -> dict:
    """The target share of each worker.

    The lower the total load, the larger the share of the fast workers.
    """
    total_throughput = sum(throughputs.values())
    exponent = (
        1
        + constants.REBALANCE_SKEW_EXPONENT
        * max(0.0, 1 - total / total_throughput / constants.REBALANCE_SATURATION_RATIO)
        if total
        else 1.0
    )
    weighted = {name: weight**exponent for name, weight in throughputs.items()}
    return {name: weight / sum(weighted.values()) for name, weight in weighted.items()}


def _divide(*, distribution: LoadDistribution, target: dict) -> list[Span]:
    spans, start, cumulative = [], 0, 0.0
    names = sorted(target)
    for name in names:
        cumulative += target[name]
        end = KEYS if name == names[-1] else distribution.split_point(start=0, fraction=cumulative)
        if end > start:
            spans.append(Span(start=start, end=end - 1, owner=name))
            start = end
    return spans


def _assign(*, span: Span, distribution: LoadDistribution, target: dict, assigned: dict) -> list[Span]:
    min_load = constants.REBALANCE_MIN_PIECE_RATIO / len(target)
    assigned_spans, start = [], span.start
    while start <= span.end:
        destination = max(sorted(target), key=lambda name: target[name] - assigned[name])
        deficit = max(target[destination] - assigned[destination], min_load)
        remainder = Span(start=start, end=span.end, owner=destination)
        end = distribution.split_point(start=start, fraction=deficit) - 1
        if distribution.load_of(span=remainder) > deficit + min_load and start <= end < span.end:
            remainder = replace(remainder, end=end)
        assigned[destination] += distribution.load_of(span=remainder)
        assigned_spans.append(remainder)
        start = remainder.end + 1
    return assigned_spans


def _balance(*, spans: list[Span], shares: LoadShares) -> list[Span] | None:
    """Move one chunk from the most loaded worker that can be relieved; None if nothing needs to move."""
    target, assigned = shares.target, shares.assigned
    names = sorted(target)
    destination = min(
        names,
        key=lambda name: (
            assigned[name] / target[name]
            if target[name] > 0.5 * shares.proportional[name]
            else assigned[name] / shares.proportional[name] + 0.5
        ),
    )
    is_idle = shares.is_underloaded(name=destination)
    sources = sorted(
        names,
        key=lambda name: (
            -max(shares.load_ratio(name=name), (assigned[name] - target[name]) / shares.proportional[name])
        ),
    )
    for source in sources:
        if source == destination or not (is_idle or shares.is_overloaded(name=source)):
            continue
        fraction = min(assigned[source] - target[source], target[destination] - assigned[destination])
        if is_idle:
            fraction = min(
                max(fraction, constants.REBALANCE_MIN_PIECE_RATIO * target[destination]),
                assigned[source] - 0.7 * target[source],
            )
        moved = (
            _move(
                spans=spans,
                distribution=shares.distribution,
                source=source,
                destination=destination,
                fraction=fraction,
                assigned=assigned,
            )
            if fraction >= 0.1 / len(target)
            else None
        )
        if moved is not None:
            return moved
    return None


def _move(
    *, spans: list[Span], distribution: LoadDistribution, source: str, destination: str, fraction: float, assigned: dict
) -> list[Span] | None:
    """Move a chunk with about this fraction of the load, chosen for the fewest keys per unit of load."""
    best = None
    for span in spans:
        for chunk in (
            _end_chunks(span=span, distribution=distribution, fraction=fraction) if span.owner == source else ()
        ):
            load = distribution.load_of(span=chunk)
            cost = (chunk.end - chunk.start + 1) / load
            if 0.3 * fraction <= load <= 1.2 * fraction and (best is None or cost < best[0]):
                best = cost, span, chunk, load
    if best is None:
        return None
    _, span, chunk, load = best
    assigned[source] -= load
    assigned[destination] += load
    at = spans.index(span)
    pieces = [
        Span(start=span.start, end=chunk.start - 1, owner=source),
        replace(chunk, owner=destination),
        Span(start=chunk.end + 1, end=span.end, owner=source),
    ]
    return [*spans[:at], *(piece for piece in pieces if piece.start <= piece.end), *spans[at + 1 :]]


def _end_chunks(*, span: Span, distribution: LoadDistribution, fraction: float) -> list[Span]:
    load = distribution.load_of(span=span)
    if load <= fraction:
        return [span]
    left = distribution.split_point(start=span.start, fraction=fraction)
    right = distribution.split_point(start=span.start, fraction=load - fraction)
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
