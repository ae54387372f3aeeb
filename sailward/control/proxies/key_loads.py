"""Request rates of the keys of sharded services, and latencies of their workers.

Each controller counts the requests of its own proxies and sends the rates to the other controllers in a compact
encoding; the receivers add them up.
"""

from __future__ import annotations

import itertools
import math
from collections import deque
from dataclasses import dataclass, field

from sailward import constants

COARSE_RANGES = 16


@dataclass(kw_only=True)
class DecayedCounts:
    """Exponentially decayed request counts by bucket.

    A request's weight grows by a factor of e for each KEY_LOAD_WINDOW between `base` and its arrival, so earlier counts
    need no update when time passes.
    """

    base: float
    started_at: float
    weighted: dict = field(default_factory=dict)


class KeyLoads:
    """The request counts of one controller's proxies.

    `step` adds the {bucket: requests} that a proxy reports; `rates` returns the recent rates.
    """

    def __init__(self) -> None:
        self._counts: dict[str, DecayedCounts] = {}

    def step(self, *, now: float, service: str, buckets: dict) -> None:
        """Add one report."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = DecayedCounts(base=now, started_at=now)
        if now - counts.base > constants.KEY_LOAD_WINDOW:
            self._rebase(now=now, counts=counts)
        if not counts.weighted:
            counts.started_at = now
        weight = math.exp((now - counts.base) / constants.KEY_LOAD_WINDOW)
        for bucket, count in buckets.items():
            counts.weighted[int(bucket)] = counts.weighted.get(int(bucket), 0.0) + count * weight

    def rates(self, *, now: float) -> dict:
        """{service: {bucket: requests/s}}, corrected for services that have been counted for only a short time."""
        rates = {}
        for service, counts in self._counts.items():
            total = 1.0 - math.exp(-(now - counts.started_at + constants.POLL_INTERVAL) / constants.KEY_LOAD_WINDOW)
            scale = math.exp(-(now - counts.base) / constants.KEY_LOAD_WINDOW) / constants.KEY_LOAD_WINDOW / total
            rates[service] = {bucket: count * scale for bucket, count in counts.weighted.items()}
        return rates

    def _rebase(self, *, now: float, counts: DecayedCounts) -> None:
        scale = math.exp(-(now - counts.base) / constants.KEY_LOAD_WINDOW)
        counts.base = now
        counts.weighted = {
            bucket: count * scale
            for bucket, count in counts.weighted.items()
            if count * scale >= constants.KEY_LOAD_MIN_COUNT
        }


class WorkerLatencies:
    """The latencies of the workers of one region.

    A worker's latency is the mean of the lower half of its samples: requests that queued are in the upper half.
    """

    def __init__(self) -> None:
        self._times: dict[str, deque] = {}
        self._updated_at: dict[str, float] = {}

    def step(self, *, now: float, times: dict) -> None:
        """Add one proxy's {worker: [ms, ...]}."""
        for key, durations in times.items():
            self._times.setdefault(key, deque(maxlen=constants.LATENCY_SAMPLES_KEPT)).extend(durations)
            self._updated_at[key] = now

    def latencies(self, *, now: float) -> dict:
        """{worker: [ms, number of samples]}."""
        for key in [key for key, at in self._updated_at.items() if now - at > constants.LATENCY_TTL]:
            del self._times[key], self._updated_at[key]
        latencies = {}
        for key, times in self._times.items():
            lower = sorted(times)[: (len(times) + 1) // 2]
            latencies[key] = [round(sum(lower) / len(lower)), len(times)]
        return latencies


def write_rates(*, rates: dict) -> list:
    """Encode rates compactly.

    The total in tenths, the first bucket, and the buckets in which each of KEY_LOAD_QUANTILES equal parts of the load
    ends.
    """
    total = sum(rates.values())
    if total < 0.1:
        return []
    buckets = sorted(rates)
    ends, below, at = [buckets[0]], 0.0, 0
    for bucket in buckets:
        below += rates[bucket]
        while at + 1 < constants.KEY_LOAD_QUANTILES and below >= total * (at + 1) / constants.KEY_LOAD_QUANTILES:
            at += 1
            ends.append(bucket)
    return [round(total * 10), *ends, buckets[-1]]


def read_rates(*, row: list) -> dict:
    """Decode rates as {bucket: requests/s}; the load within one part is assumed to be uniform."""
    rates: dict = {}
    if not row:
        return rates
    part = row[0] / 10 / (len(row) - 2)
    for first, last in itertools.pairwise(row[1:]):
        inside = range(first + 1, last + 1) if last > first else (last,)
        for bucket in inside:
            rates[bucket] = rates.get(bucket, 0.0) + part / len(inside)
    return rates


def has_shifted(*, before: dict, after: dict) -> bool:
    """Has a large part of the load appeared, gone or moved? Compared by coarse ranges, as buckets always fluctuate."""
    parts = [0.0] * COARSE_RANGES
    for rates, sign in ((before, -1), (after, 1)):
        for bucket, rate in rates.items():
            parts[bucket * COARSE_RANGES // constants.KEY_LOAD_BUCKETS] += sign * rate
    return sum(map(abs, parts)) > constants.KEY_LOAD_SHIFT_RATIO * max(sum(before.values()), sum(after.values()))
