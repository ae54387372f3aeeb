"""Which worker serves a request: pool by weight, zone by tier and health, worker by two random choices."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from toolz import groupby

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.rendezvous import choose_names
from sailward.routing.concurrency_limits import Bucket
from sailward.routing.passive_health import PassiveHealth, Shown
from sailward.routing.plan import Plan, Pool
from sailward.routing.proxied_request import Refusal
from sailward.routing.request import Request
from sailward.routing.shards import ShardTables
from sailward.routing.weighted_draw import ZoneView, draw_pool, draw_zone, share_zones
from sailward.routing.zone_health import ZoneHealthTable


@dataclass(kw_only=True)
class SelectionContext:
    """What a proxy knows, folded from what it heard; placing reads it."""

    name: str
    zone: str
    region: str
    regions: dict
    passive_health: PassiveHealth
    zones: ZoneHealthTable
    plan: Plan = field(default_factory=Plan)
    emptied: frozenset = frozenset()
    shards: ShardTables = field(default_factory=ShardTables)
    by_service: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)
    proxies: int = 1
    leave_after: float = constants.LEASE_DURATION

    def follow(self, *, workers: dict[str, Worker]) -> None:
        """Take the newest list."""
        self.by_service = groupby(lambda worker: worker.service, workers.values())

    def counts(self) -> dict:
        """{(service, zone): (listed, healthy, known)}; a leaving worker is listed and unhealthy."""
        counts: dict = {}
        for shown in self.passive_health.shown.values():
            zone_key = (shown.worker.service, shown.worker.zone)
            listed, healthy, known = counts.get(zone_key, (0, 0, 0))
            counts[zone_key] = (listed + 1, healthy + (shown.is_healthy and not shown.worker.leaving), known + 1)
        return counts


@dataclass(kw_only=True)
class EndpointSelector:
    """Owner of the open counts and cold bounds. `step` gives a worker, or why there is none."""

    context: SelectionContext
    rng: random.Random
    open: dict = field(default_factory=dict)
    slow_start: dict = field(default_factory=dict)

    def step(self, *, now: float, request: Request) -> Worker | Refusal:
        """The worker that is to run this request now; a refusal with `line` may be asked again shortly."""
        context = self.context
        if not request.is_service_drawn:
            # by weight, before any health is looked at; retries stay with it
            request.service, request.is_service_drawn = self._draw_service(request=request), True
        if request.service.ranged:
            return self._find_owner(now=now, request=request)
        pool = next(
            pool
            for pool in (context.plan.pools.get(name) for name, _ in request.match.shares)
            if pool is not None and pool.service == request.service.name
        )
        pool = self._near(pool=pool, homes=request.match.homes)
        able = self._eligible(now=now, request=request)
        views = self._views(now=now, service=request.service.name, homes=request.match.homes)
        shares = share_zones(pool=pool, views=views)
        if not shares:
            return Refusal(code=503, reason="no-worker")
        first = draw_zone(shares=shares, rng=self.rng)
        others = sorted(
            (zone for zone in views if zone != first and views[zone].allowed),
            key=lambda zone: (zone not in shares, zone not in pool.preferred, zone),
        )
        for zone in (first, *others):
            worker = self._choose(now=now, request=request, able=able.get(zone, []))
            if worker is not None:
                return worker
        return Refusal(code=503, reason="no-room" if any(able.values()) else "no-worker")

    def took(self, *, key: str) -> None:
        """A request was sent on to this worker."""
        self.open[key] = self.open.get(key, 0) + 1

    def left(self, *, key: str) -> None:
        """A request ended at this worker."""
        count = self.open.get(key, 1) - 1
        if count > 0:
            self.open[key] = count
        else:
            self.open.pop(key, None)

    def _draw_service(self, *, request: Request):
        plan = self.context.plan
        shares = [share for share in request.match.shares if share[0] in plan.pools]
        name = draw_pool(match=request.match, rng=self.rng) if len(shares) > 1 else shares[0][0] if shares else ""
        pool = plan.pools.get(name)
        return plan.services[pool.service] if pool is not None else request.service

    def _near(self, *, pool: Pool, homes: frozenset) -> Pool:
        """The pool with its tiers as they stand from here, or from home where that is elsewhere."""
        if not pool.near:
            return pool
        region = self.context.region if not homes or self.context.region in homes else sorted(homes)[0]
        zones = sorted(self.context.regions)
        return Pool(
            name=pool.name,
            service=pool.service,
            near=True,
            preferred=tuple(zone for zone in zones if self.context.regions[zone] == region),
            fallback=tuple(zone for zone in zones if self.context.regions[zone] != region),
        )

    def _may_serve(self, *, zone: str, homes: frozenset) -> bool:
        return zone not in self.context.emptied and (not homes or self.context.regions.get(zone) in homes)

    def _views(self, *, now: float, service: str, homes: frozenset) -> dict[str, ZoneView]:
        views = {}
        past_slow_start = self._slow_start_ages(now=now, service=service)
        for (name, zone), state in self.context.zones.zones.items():
            if name == service:
                views[zone] = ZoneView(
                    fraction=state.fraction,
                    healthy=state.healthy,
                    listed=state.listed,
                    drained=state.drained,
                    allowed=self._may_serve(zone=zone, homes=homes),
                    weight=max(0.1, past_slow_start.get(zone, 0)),
                )
        return views

    def _mean(self, *, service: str) -> float:
        shown = [
            self.context.passive_health.shown.get(worker.key) for worker in self.context.by_service.get(service, ())
        ]
        calms = [candidate.calm for candidate in shown if candidate is not None and candidate.calm]
        return sum(calms) / len(calms) if calms else 0.0

    def _slow_start_ages(self, *, now: float, service: str) -> dict[str, float]:
        """What the warm workers of each zone bear beside each other: their number, by their speeds."""
        past_slow_start: dict[str, float] = {}
        mean = self._mean(service=service)
        for worker in self.context.by_service.get(service, ()):
            shown = self.context.passive_health.shown.get(worker.key)
            if (
                shown is not None
                and shown.is_healthy
                and not worker.leaving
                and now >= max(shown.slow_start_until, shown.shunned_until)
            ):
                past_slow_start[worker.zone] = past_slow_start.get(worker.zone, 0.0) + shown.speed(mean=mean)
        return past_slow_start

    def _eligible(self, *, now: float, request: Request) -> dict[str, list[Shown]]:
        able: dict[str, list[Shown]] = {}
        for worker in self.context.by_service.get(request.service.name, ()):
            shown = self.context.passive_health.shown.get(worker.key)
            if (
                shown is not None
                and shown.is_healthy
                and not worker.leaving
                and worker.key not in request.tried_workers
                and self._may_serve(zone=worker.zone, homes=request.match.homes)
            ):
                able.setdefault(worker.zone, []).append(shown)
        return able

    def _choose(self, *, now: float, request: Request, able: list[Shown]) -> Worker | None:
        free = [shown for shown in able if now >= shown.busy_until and self._has_capacity(shown=shown)]
        past_slow_start = [shown for shown in free if now >= shown.slow_start_until]
        past_slow_start = [shown for shown in past_slow_start if now >= shown.shunned_until] or past_slow_start
        if past_slow_start:
            mean = self._mean(service=request.service.name)
            first = self.rng.choices(past_slow_start, weights=[shown.speed(mean=mean) for shown in past_slow_start])[0]
            others = [shown for shown in past_slow_start if shown is not first]
            second = (
                self.rng.choices(others, weights=[shown.speed(mean=mean) for shown in others])[0] if others else first
            )
            return min((first, second), key=self._load).worker
        slow_start = [shown for shown in free if now < shown.slow_start_until]
        self.rng.shuffle(slow_start)
        for shown in slow_start:
            if self._is_within_limits(now=now, shown=shown, request=request):
                return shown.worker
        return None

    def _load(self, shown: Shown) -> float:
        return (self.open.get(shown.worker.key, 0) + 1) * (shown.pace or constants.DEFAULT_WORKER_LATENCY)

    def _has_capacity(self, *, shown: Shown) -> bool:
        """May this proxy have one more open at the worker?

        Its even part of what all may, or the window that the worker's pace allows.
        """
        total_capacity = (shown.worker.capacity or constants.DEFAULT_WORKER_CAPACITY) * constants.WORKER_QUEUE_DEPTH
        part = -(-total_capacity // max(1, self.context.proxies))
        most = min(max(constants.CONCURRENCY_WINDOW_MIN, constants.CONCURRENCY_SHARE_FACTOR * part), shown.window)
        return self.open.get(shown.worker.key, 0) < max(1.0, most)

    def _is_within_limits(self, *, now: float, shown: Shown, request: Request) -> bool:
        """Has the cold worker's bound room for one from here? Only the few proxies that hashing names send to it."""
        context, key = self.context, shown.worker.key
        names = [
            name for name, region in context.peers.items() if region == context.regions.get(shown.worker.zone)
        ] or list(context.peers)
        if names and context.name not in choose_names(key=key, names=names, count=constants.SLOW_START_PROXIES):
            return False
        rate = request.service.slow_start_rate / constants.SLOW_START_PROXIES
        bucket = self.slow_start.get(key)
        if bucket is None:
            bucket = self.slow_start[key] = Bucket(level=1.0, at=now)
        bucket.level, bucket.at = min(1.0, bucket.level + rate * (now - bucket.at)), now
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
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
        shown = context.passive_health.shown.get(shard.owner)
        if (
            shown is None
            or not shown.is_healthy
            or not self._may_serve(zone=shown.worker.zone, homes=request.match.homes)
        ):
            return Refusal(code=503, reason="owner-lost")
        worker = shown.worker
        if now - shown.leaving_since > context.leave_after:
            # its keys should have moved by now: it must not be sent anything any more
            return Refusal(code=503, reason="owner-lost")
        if (
            request.rejected_by
            and worker.key in request.rejected_by
            and now - request.waiting_since < constants.KEY_OWNER_BACKOFF
        ):
            return Refusal(code=503, reason="key-moving")
        if not self._has_capacity(shown=shown) or now < shown.busy_until:
            return Refusal(code=503, reason="no-room")
        if now < shown.slow_start_until and not self._is_within_limits(now=now, shown=shown, request=request):
            return Refusal(code=503, reason="owner-cold")
        return worker
