"""Which worker serves a request: pool by weight, hall by tier and health, worker by two random choices."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from toolz import groupby

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.rendezvous import choose_names
from sailward.routing.concurrency_limits import Bucket
from sailward.routing.passive_health import Evidence, Shown
from sailward.routing.plan import Plan, Pool
from sailward.routing.proxied_request import Refusal
from sailward.routing.request import Request
from sailward.routing.shards import ShardBook
from sailward.routing.weighted_draw import HallView, draw_hall, draw_pool, share_halls
from sailward.routing.zone_health import HallBook


@dataclass(kw_only=True)
class Scene:
    """What a proxy knows, folded from what it heard; placing reads it."""

    name: str
    hall: str
    region: str
    regions: dict
    evidence: Evidence
    halls: HallBook
    plan: Plan = field(default_factory=Plan)
    emptied: frozenset = frozenset()
    shards: ShardBook = field(default_factory=ShardBook)
    by_service: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)
    proxies: int = 1
    leave_after: float = constants.LEASE

    def follow(self, *, workers: dict[str, Worker]) -> None:
        """Take the newest list."""
        self.by_service = groupby(lambda worker: worker.service, workers.values())

    def counts(self) -> dict:
        """{(service, hall): (listed, healthy, known)}; a leaving worker is listed and unhealthy."""
        counts: dict = {}
        for shown in self.evidence.shown.values():
            place = (shown.worker.service, shown.worker.hall)
            listed, healthy, known = counts.get(place, (0, 0, 0))
            counts[place] = (listed + 1, healthy + (shown.is_healthy and not shown.worker.leaving), known + 1)
        return counts


@dataclass(kw_only=True)
class Placer:
    """Owner of the open counts and cold bounds. `step` gives a worker, or why there is none."""

    scene: Scene
    rng: random.Random
    open: dict = field(default_factory=dict)
    cold: dict = field(default_factory=dict)

    def step(self, *, now: float, request: Request) -> Worker | Refusal:
        """The worker that is to run this request now; a refusal with `line` may be asked again shortly."""
        scene = self.scene
        if not request.is_drawn:
            # by weight, before any health is looked at; further tries stay with it
            request.service, request.is_drawn = self._draw_service(request=request), True
        if request.service.ranged:
            return self._find_owner(now=now, request=request)
        pool = next(
            pool
            for pool in (scene.plan.pools.get(name) for name, _ in request.match.shares)
            if pool is not None and pool.service == request.service.name
        )
        pool = self._near(pool=pool, homes=request.match.homes)
        able = self._able(now=now, request=request)
        views = self._views(now=now, service=request.service.name, homes=request.match.homes)
        shares = share_halls(pool=pool, views=views)
        if not shares:
            return Refusal(code=503, reason="no-worker")
        first = draw_hall(shares=shares, rng=self.rng)
        others = sorted(
            (hall for hall in views if hall != first and views[hall].allowed),
            key=lambda hall: (hall not in shares, hall not in pool.preferred, hall),
        )
        for hall in (first, *others):
            worker = self._choose(now=now, request=request, able=able.get(hall, []))
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
        plan = self.scene.plan
        shares = [share for share in request.match.shares if share[0] in plan.pools]
        name = draw_pool(match=request.match, rng=self.rng) if len(shares) > 1 else shares[0][0] if shares else ""
        pool = plan.pools.get(name)
        return plan.services[pool.service] if pool is not None else request.service

    def _near(self, *, pool: Pool, homes: frozenset) -> Pool:
        """The pool with its tiers as they stand from here, or from home where that is elsewhere."""
        if not pool.near:
            return pool
        region = self.scene.region if not homes or self.scene.region in homes else sorted(homes)[0]
        halls = sorted(self.scene.regions)
        return Pool(
            name=pool.name,
            service=pool.service,
            near=True,
            preferred=tuple(hall for hall in halls if self.scene.regions[hall] == region),
            fallback=tuple(hall for hall in halls if self.scene.regions[hall] != region),
        )

    def _may_serve(self, *, hall: str, homes: frozenset) -> bool:
        return hall not in self.scene.emptied and (not homes or self.scene.regions.get(hall) in homes)

    def _views(self, *, now: float, service: str, homes: frozenset) -> dict[str, HallView]:
        views = {}
        warm = self._warm(now=now, service=service)
        for (name, hall), state in self.scene.halls.halls.items():
            if name == service:
                views[hall] = HallView(
                    fraction=state.fraction,
                    healthy=state.healthy,
                    listed=state.listed,
                    drained=state.drained,
                    allowed=self._may_serve(hall=hall, homes=homes),
                    weight=max(0.1, warm.get(hall, 0)),
                )
        return views

    def _mean(self, *, service: str) -> float:
        shown = [self.scene.evidence.shown.get(worker.key) for worker in self.scene.by_service.get(service, ())]
        calms = [one.calm for one in shown if one is not None and one.calm]
        return sum(calms) / len(calms) if calms else 0.0

    def _warm(self, *, now: float, service: str) -> dict[str, float]:
        """What the warm workers of each hall bear beside each other: their number, by their speeds."""
        warm: dict[str, float] = {}
        mean = self._mean(service=service)
        for worker in self.scene.by_service.get(service, ()):
            shown = self.scene.evidence.shown.get(worker.key)
            if (
                shown is not None
                and shown.is_healthy
                and not worker.leaving
                and now >= max(shown.cold_until, shown.shunned_until)
            ):
                warm[worker.hall] = warm.get(worker.hall, 0.0) + shown.speed(mean=mean)
        return warm

    def _able(self, *, now: float, request: Request) -> dict[str, list[Shown]]:
        able: dict[str, list[Shown]] = {}
        for worker in self.scene.by_service.get(request.service.name, ()):
            shown = self.scene.evidence.shown.get(worker.key)
            if (
                shown is not None
                and shown.is_healthy
                and not worker.leaving
                and worker.key not in request.tried
                and self._may_serve(hall=worker.hall, homes=request.match.homes)
            ):
                able.setdefault(worker.hall, []).append(shown)
        return able

    def _choose(self, *, now: float, request: Request, able: list[Shown]) -> Worker | None:
        free = [shown for shown in able if now >= shown.busy_until and self._has_room(shown=shown)]
        warm = [shown for shown in free if now >= shown.cold_until]
        warm = [shown for shown in warm if now >= shown.shunned_until] or warm
        if warm:
            mean = self._mean(service=request.service.name)
            first = self.rng.choices(warm, weights=[shown.speed(mean=mean) for shown in warm])[0]
            others = [shown for shown in warm if shown is not first]
            second = (
                self.rng.choices(others, weights=[shown.speed(mean=mean) for shown in others])[0] if others else first
            )
            return min((first, second), key=self._load).worker
        cold = [shown for shown in free if now < shown.cold_until]
        self.rng.shuffle(cold)
        for shown in cold:
            if self._bears(now=now, shown=shown, request=request):
                return shown.worker
        return None

    def _load(self, shown: Shown) -> float:
        return (self.open.get(shown.worker.key, 0) + 1) * (shown.pace or constants.PACE_START)

    def _has_room(self, *, shown: Shown) -> bool:
        """May this proxy have one more open at the worker?

        Its even part of what all may, or the window that the worker's pace allows.
        """
        whole = (shown.worker.capacity or constants.WORKER_CAPACITY) * constants.QUEUE_DEPTH
        part = -(-whole // max(1, self.scene.proxies))
        most = min(max(constants.WINDOW_LEAST, constants.WINDOW_PARTS * part), shown.window)
        return self.open.get(shown.worker.key, 0) < max(1.0, most)

    def _bears(self, *, now: float, shown: Shown, request: Request) -> bool:
        """Has the cold worker's bound room for one from here? Only the few proxies that hashing names send to it."""
        scene, key = self.scene, shown.worker.key
        names = [
            name for name, region in scene.peers.items() if region == scene.regions.get(shown.worker.hall)
        ] or list(scene.peers)
        if names and scene.name not in choose_names(key=key, names=names, count=constants.COLD_SENDERS):
            return False
        rate = request.service.cold_rate / constants.COLD_SENDERS
        bucket = self.cold.get(key)
        if bucket is None:
            bucket = self.cold[key] = Bucket(level=1.0, at=now)
        bucket.level, bucket.at = min(1.0, bucket.level + rate * (now - bucket.at)), now
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        return True

    def _find_owner(self, *, now: float, request: Request) -> Worker | Refusal:
        scene = self.scene
        if request.key < 0:
            return Refusal(code=400, reason="part-missing", detail="this service is divided: give the key")
        shard = scene.shards.find(service=request.service.name, key=request.key)
        if shard is None or not shard.owner:
            return Refusal(code=503, reason="key-unowned")
        if shard.state != "open":
            return Refusal(code=503, reason="key-moving")
        shown = scene.evidence.shown.get(shard.owner)
        if (
            shown is None
            or not shown.is_healthy
            or not self._may_serve(hall=shown.worker.hall, homes=request.match.homes)
        ):
            return Refusal(code=503, reason="owner-lost")
        worker = shown.worker
        if now - shown.leaving_since > scene.leave_after:
            # its keys should have moved by now: it must not be sent anything any more
            return Refusal(code=503, reason="owner-lost")
        if (
            request.turned_away
            and worker.key in request.turned_away
            and now - request.waits_since < constants.OWNER_PAUSE
        ):
            return Refusal(code=503, reason="key-moving")
        if not self._has_room(shown=shown) or now < shown.busy_until:
            return Refusal(code=503, reason="no-room")
        if now < shown.cold_until and not self._bears(now=now, shown=shown, request=request):
            return Refusal(code=503, reason="owner-cold")
        return worker
