"""Selects the worker for a request: zone of its pool by tier and health, worker by two random choices."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from toolz import groupby

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.rendezvous import choose_names
from sailward.routing.passive_health import PassiveHealth, WorkerHealth
from sailward.routing.plan import Plan, Pool
from sailward.routing.proxied_request import Refusal
from sailward.routing.rate_limits import Bucket
from sailward.routing.request import Request
from sailward.routing.shards import ShardTables
from sailward.routing.weighted_draw import ZoneView, draw_zone, share_zones
from sailward.routing.zone_health import ZoneHealthTable


@dataclass(kw_only=True)
class SelectionContext:
    """The routing data that a proxy has received from controllers; endpoint selection reads it.

    `regions` maps zones to regions, and `peers` the proxies that are fit to serve to their regions. A worker that owns
    keys gets no more requests once it has been listed as leaving for `drain_timeout` (s).
    """

    name: str
    zone: str
    region: str
    regions: dict
    passive_health: PassiveHealth
    zone_health: ZoneHealthTable
    plan: Plan = field(default_factory=Plan)
    evacuated_zones: frozenset = frozenset()
    shards: ShardTables = field(default_factory=ShardTables)
    workers_by_service: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)
    proxy_count: int = 1
    drain_timeout: float = constants.LEASE_DURATION

    def update_workers(self, *, workers: dict[str, Worker]) -> None:
        """Replace the worker list with the newest one."""
        self.workers_by_service = groupby(lambda worker: worker.service, workers.values())

    def counts(self) -> dict:
        """{(service, zone): (listed, healthy, known)}; a leaving worker counts as listed and unhealthy."""
        counts: dict = {}
        for health in self.passive_health.workers.values():
            zone_key = (health.worker.service, health.worker.zone)
            listed, healthy, known = counts.get(zone_key, (0, 0, 0))
            counts[zone_key] = (listed + 1, healthy + (health.is_healthy and not health.worker.leaving), known + 1)
        return counts


@dataclass(kw_only=True)
class EndpointSelector:
    """Keeps the counts of open requests and the rate limits of workers in slow start.

    `step` returns a worker, or the reason why there is none.
    """

    context: SelectionContext
    rng: random.Random
    open_requests: dict = field(default_factory=dict)
    slow_start_buckets: dict = field(default_factory=dict)

    def step(self, *, now: float, request: Request) -> Worker | Refusal:
        """Select the worker that runs this request now, or return why none can; some reasons pass within moments."""
        if request.service.is_ranged:
            return self._find_owner(now=now, request=request)
        pool = self._resolve_tiers(pool=request.pool, homes=request.match.homes)
        eligible = self._eligible_by_zone(now=now, request=request)
        views = self._views(now=now, service=request.service.name, homes=request.match.homes)
        shares = share_zones(pool=pool, views=views)
        if not shares:
            return Refusal(code=503, reason="no-worker")
        first_zone = draw_zone(shares=shares, rng=self.rng)
        other_zones = sorted(
            (zone for zone in views if zone != first_zone and views[zone].is_allowed),
            key=lambda zone: (zone not in shares, zone not in pool.preferred, zone),
        )
        for zone in (first_zone, *other_zones):
            worker = self._choose_worker(now=now, request=request, eligible=eligible.get(zone, []))
            if worker is not None:
                return worker
        return Refusal(code=503, reason="no-room" if any(eligible.values()) else "no-worker")

    def record_sent(self, *, key: str) -> None:
        """Count a request that was forwarded to this worker."""
        self.open_requests[key] = self.open_requests.get(key, 0) + 1

    def record_ended(self, *, key: str) -> None:
        """Stop counting a request that has ended at this worker."""
        count = self.open_requests.get(key, 1) - 1
        if count > 0:
            self.open_requests[key] = count
        else:
            self.open_requests.pop(key, None)

    def _resolve_tiers(self, *, pool: Pool, homes: frozenset) -> Pool:
        """The pool with its tiers relative to this region, or to a home region if this is not one."""
        if not pool.is_near:
            return pool
        region = self.context.region if not homes or self.context.region in homes else sorted(homes)[0]
        zones = sorted(self.context.regions)
        return Pool(
            name=pool.name,
            service=pool.service,
            is_near=True,
            preferred=tuple(zone for zone in zones if self.context.regions[zone] == region),
            fallback=tuple(zone for zone in zones if self.context.regions[zone] != region),
        )

    def _may_serve(self, *, zone: str, homes: frozenset) -> bool:
        return zone not in self.context.evacuated_zones and (not homes or self.context.regions.get(zone) in homes)

    def _views(self, *, now: float, service: str, homes: frozenset) -> dict[str, ZoneView]:
        views = {}
        capacity_by_zone = self._ready_capacity_by_zone(now=now, service=service)
        for (name, zone), state in self.context.zone_health.zones.items():
            if name == service:
                views[zone] = ZoneView(
                    healthy_fraction=state.healthy_fraction,
                    healthy=state.healthy,
                    listed=state.listed,
                    is_drained=state.is_drained,
                    is_allowed=self._may_serve(zone=zone, homes=homes),
                    weight=max(0.1, capacity_by_zone.get(zone, 0)),
                )
        return views

    def _mean_unloaded_time(self, *, service: str) -> float:
        observed = [
            self.context.passive_health.workers.get(worker.key)
            for worker in self.context.workers_by_service.get(service, ())
        ]
        unloaded_times = [
            candidate.unloaded_response_time
            for candidate in observed
            if candidate is not None and candidate.unloaded_response_time
        ]
        return sum(unloaded_times) / len(unloaded_times) if unloaded_times else 0.0

    def _ready_capacity_by_zone(self, *, now: float, service: str) -> dict[str, float]:
        """The relative capacity of each zone: the sum of the speeds of its workers that are not in slow start."""
        capacity_by_zone: dict[str, float] = {}
        mean = self._mean_unloaded_time(service=service)
        for worker in self.context.workers_by_service.get(service, ()):
            health = self.context.passive_health.workers.get(worker.key)
            if (
                health is not None
                and health.is_healthy
                and not worker.leaving
                and now >= max(health.slow_start_until, health.avoided_until)
            ):
                capacity_by_zone[worker.zone] = capacity_by_zone.get(worker.zone, 0.0) + health.relative_speed(
                    mean=mean
                )
        return capacity_by_zone

    def _eligible_by_zone(self, *, now: float, request: Request) -> dict[str, list[WorkerHealth]]:
        eligible: dict[str, list[WorkerHealth]] = {}
        for worker in self.context.workers_by_service.get(request.service.name, ()):
            health = self.context.passive_health.workers.get(worker.key)
            if (
                health is not None
                and health.is_healthy
                and not worker.leaving
                and worker.key not in request.tried_workers
                and self._may_serve(zone=worker.zone, homes=request.match.homes)
            ):
                eligible.setdefault(worker.zone, []).append(health)
        return eligible

    def _choose_worker(self, *, now: float, request: Request, eligible: list[WorkerHealth]) -> Worker | None:
        available = [health for health in eligible if now >= health.busy_until and self._has_capacity(health=health)]
        ready = [health for health in available if now >= health.slow_start_until]
        ready = [health for health in ready if now >= health.avoided_until] or ready
        if ready:
            mean = self._mean_unloaded_time(service=request.service.name)
            first = self.rng.choices(ready, weights=[health.relative_speed(mean=mean) for health in ready])[0]
            others = [health for health in ready if health is not first]
            second = (
                self.rng.choices(others, weights=[health.relative_speed(mean=mean) for health in others])[0]
                if others
                else first
            )
            return min((first, second), key=self._load).worker
        in_slow_start = [health for health in available if now < health.slow_start_until]
        self.rng.shuffle(in_slow_start)
        for health in in_slow_start:
            if self._take_slow_start_token(now=now, health=health, request=request):
                return health.worker
        return None

    def _load(self, health: WorkerHealth) -> float:
        return (self.open_requests.get(health.worker.key, 0) + 1) * (
            health.mean_response_time or constants.DEFAULT_WORKER_LATENCY
        )

    def _has_capacity(self, *, health: WorkerHealth) -> bool:
        """May this proxy have one more request open at the worker?

        The limit is this proxy's even share of the worker's total, scaled, but at most the concurrency window
        that the worker's response times allow.
        """
        total_capacity = (health.worker.capacity or constants.DEFAULT_WORKER_CAPACITY) * constants.WORKER_QUEUE_DEPTH
        share = -(-total_capacity // max(1, self.context.proxy_count))
        limit = min(max(constants.CONCURRENCY_WINDOW_MIN, constants.CONCURRENCY_SHARE_FACTOR * share), health.window)
        return self.open_requests.get(health.worker.key, 0) < max(1.0, limit)

    def _take_slow_start_token(self, *, now: float, health: WorkerHealth, request: Request) -> bool:
        """Does the rate limit of a worker in slow start admit a request from this proxy?

        Only the few proxies that rendezvous hashing chooses send requests to such a worker.
        """
        context, key = self.context, health.worker.key
        names = [
            name for name, region in context.peers.items() if region == context.regions.get(health.worker.zone)
        ] or list(context.peers)
        if names and context.name not in choose_names(key=key, names=names, count=constants.SLOW_START_PROXIES):
            return False
        rate = request.service.slow_start_rate / constants.SLOW_START_PROXIES
        bucket = self.slow_start_buckets.get(key)
        if bucket is None:
            bucket = self.slow_start_buckets[key] = Bucket(tokens=1.0, updated_at=now)
        bucket.tokens, bucket.updated_at = min(1.0, bucket.tokens + rate * (now - bucket.updated_at)), now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _find_owner(self, *, now: float, request: Request) -> Worker | Refusal:
        context = self.context
        if request.key < 0:
            return Refusal(code=400, reason="part-missing", detail="this service is divided: give the key")
        shard = context.shards.find(service=request.service.name, key=request.key)
        if shard is None or not shard.owner:
            return Refusal(code=503, reason="key-unowned")
        if shard.state != "open":
            return Refusal(code=503, reason="key-moving")
        health = context.passive_health.workers.get(shard.owner)
        if (
            health is None
            or not health.is_healthy
            or not self._may_serve(zone=health.worker.zone, homes=request.match.homes)
        ):
            return Refusal(code=503, reason="owner-lost")
        worker = health.worker
        if now - health.leaving_since > context.drain_timeout:
            # its keys should have moved by now: it must not be sent any more requests
            return Refusal(code=503, reason="owner-lost")
        if (
            request.rejected_by
            and worker.key in request.rejected_by
            and now - request.waiting_since < constants.KEY_OWNER_BACKOFF
        ):
            return Refusal(code=503, reason="key-moving")
        if not self._has_capacity(health=health) or now < health.busy_until:
            return Refusal(code=503, reason="no-room")
        if now < health.slow_start_until and not self._take_slow_start_token(now=now, health=health, request=request):
            return Refusal(code=503, reason="owner-cold")
        return worker
