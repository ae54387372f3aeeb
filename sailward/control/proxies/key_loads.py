"""How busy the keys of divided services are, and how quick their workers.

Counted by one controller, told in few bytes, added up.
"""

from __future__ import annotations

import itertools
import math
from collections import deque
from dataclasses import dataclass, field

from sailward import constants

COARSE = 16


@dataclass(kw_only=True)
class Counts:
    """Requests by bucket.

    Those of later moments are weighted by e to the time since `base`, so that nothing has to be aged.
    """

    base: float
    since: float
    masses: dict = field(default_factory=dict)


class KeyLoads:
    """Owner of one controller's counts.

    `step` folds the {bucket: requests} that a proxy reports; the rates are of those of late.
    """

    def __init__(self) -> None:
        self._counts: dict[str, Counts] = {}

    def step(self, *, now: float, service: str, buckets: dict) -> None:
        """Fold one report."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = Counts(base=now, since=now)
        if now - counts.base > constants.KEY_LOAD_WINDOW:
            self._age(now=now, counts=counts)
        if not counts.masses:
            counts.since = now
        weight = math.exp((now - counts.base) / constants.KEY_LOAD_WINDOW)
        for bucket, count in buckets.items():
            counts.masses[int(bucket)] = counts.masses.get(int(bucket), 0.0) + count * weight

    def rates(self, *, now: float) -> dict:
        """{service: {bucket: requests/s}}; a short time of counting is taken for what it is, not for a slight load."""
        rates = {}
        for service, counts in self._counts.items():
            total = 1.0 - math.exp(-(now - counts.since + constants.POLL_INTERVAL) / constants.KEY_LOAD_WINDOW)
            scale = math.exp(-(now - counts.base) / constants.KEY_LOAD_WINDOW) / constants.KEY_LOAD_WINDOW / total
            rates[service] = {bucket: mass * scale for bucket, mass in counts.masses.items()}
        return rates

    def _age(self, *, now: float, counts: Counts) -> None:
        scale = math.exp(-(now - counts.base) / constants.KEY_LOAD_WINDOW)
        counts.base = now
        counts.masses = {
            bucket: mass * scale
            for bucket, mass in counts.masses.items()
            if mass * scale >= constants.KEY_LOAD_MIN_COUNT
        }


class WorkerPaces:
    """Owner of the times that workers of one region took.

    A pace is the mean of the lower half: what queued is in the upper one.
    """

    def __init__(self) -> None:
        self._times: dict[str, deque] = {}
        self._at: dict[str, float] = {}

    def step(self, *, now: float, times: dict) -> None:
        """Fold one proxy's {worker: [ms, ...]}."""
        for key, took in times.items():
            self._times.setdefault(key, deque(maxlen=constants.LATENCY_SAMPLES_KEPT)).extend(took)
            self._at[key] = now

    def paces(self, *, now: float) -> dict:
        """{worker: [ms, number of times]}."""
        for key in [key for key, at in self._at.items() if now - at > constants.LATENCY_TTL]:
            del self._times[key], self._at[key]
        paces = {}
        for key, times in self._times.items():
            lower = sorted(times)[: (len(times) + 1) // 2]
            paces[key] = [round(sum(lower) / len(lower)), len(times)]
        return paces


def write_rates(*, rates: dict) -> list:
    """Rates in few numbers.

    The whole in tenths, the first bucket, and the buckets in which each further part of the load ends.
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
    """{bucket: requests/s} of what was told; within a part the load is taken as even."""
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
    """Has a third of the load come, gone or moved? Looked at in coarse parts, as each bucket alone is never at rest."""
    parts = [0.0] * COARSE
    for rates, sign in ((before, -1), (after, 1)):
        for bucket, rate in rates.items():
            parts[bucket * COARSE // constants.KEY_LOAD_BUCKETS] += sign * rate
    return sum(map(abs, parts)) > constants.KEY_LOAD_SHIFT_RATIO * max(sum(before.values()), sum(after.values()))
