"""Rate limits of workers, shared by all pools; in slow start a worker's limit rises from a small rate."""

from __future__ import annotations

from dataclasses import dataclass

from sailward import constants
from sailward.routing.plan import Service


@dataclass(kw_only=True)
class Bucket:
    """Token bucket: the number of requests that may be sent to a worker now, as of `updated_at`."""

    tokens: float
    updated_at: float


class RateLimits:
    """Keeps this proxy's share of each worker's rate limit. `step` takes one token for a request."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}

    def step(self, *, now: float, key: str, service: Service, healthy_s: float, proxies: int) -> bool:
        """Take one token from the worker's bucket; False if it has none."""
        bucket = self._refill(now=now, key=key, service=service, healthy_s=healthy_s, proxies=proxies)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def drop_unused(self, *, now: float, listed: set[str]) -> None:
        """Drop the buckets of workers that are no longer listed, and of keys unused for RETRY_BUDGET_WINDOW."""
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if key in listed or (key.startswith("key ") and now - bucket.updated_at < constants.RETRY_BUDGET_WINDOW)
        }

    def _refill(self, *, now: float, key: str, service: Service, healthy_s: float, proxies: int) -> Bucket:
        rate = rate_of(service=service, healthy_s=healthy_s) * constants.RATE_LIMIT_UTILIZATION / max(1, proxies)
        burst = max(1.0, rate * constants.RATE_LIMIT_BURST)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = Bucket(tokens=1.0, updated_at=now)
        bucket.tokens = min(burst, bucket.tokens + rate * (now - bucket.updated_at))
        bucket.updated_at = now
        return bucket


def rate_of(*, service: Service, healthy_s: float) -> float:
    """The rate limit (requests per s) of a worker that has been in good status for `healthy_s` seconds."""
    if service.slow_start_ramp <= 0 or healthy_s >= service.slow_start_ramp:
        return service.rate
    slow_start = min(service.slow_start_rate, service.rate)
    return slow_start + (service.rate - slow_start) * max(0.0, healthy_s) / service.slow_start_ramp
