"""Choosing the worker: pool by weight, hall by share, worker by two random choices."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.routing.concurrency_limits import Bounds
from sailward.routing.proxied_request import Exchange, Refusal
from sailward.routing.routing_state import World
from sailward.routing.shard_owners import pool_at, slot_of, space_of
from sailward.routing.weighted_draw import draw_hall, draw_pool, share_halls


@dataclass(kw_only=True)
class Chooser:
    """Owner of the open counts and bounds by worker. `step` gives a worker or a refusal."""

    rng: random.Random
    world: World
    bounds: Bounds = field(default_factory=Bounds)
    open: dict = field(default_factory=dict)

    def step(self, *, now: float, exchange: Exchange) -> Worker | Refusal:
        """The worker that is to run this exchange; takes its place in the bound."""
        if exchange.service.slots:
            return self._find_owner(now=now, exchange=exchange)
        if not exchange.pool:
            exchange.pool = draw_pool(match=exchange.match, rng=self.rng)
        pool = self.world.plan.pools[exchange.pool]
        views = self.world.views_of(now=now, service=pool.service, tenant=exchange.tenant)
        shares = share_halls(pool=pool, views=views)
        if not shares:
            return Refusal(code=503, reason="no-hall", detail="no hall that may serve this tenant has a healthy worker")
        first = draw_hall(shares=shares, rng=self.rng)
        others = [
            hall
            for hall in (*pool.preferred, *pool.fallback)
            if hall != first and hall in views and views[hall].allowed and views[hall].healthy
        ]
        others.sort(key=lambda hall: (hall not in shares, views[hall].drained))
        for hall in (first, *others):
            worker = self._choose(now=now, exchange=exchange, hall=hall)
            if worker is not None:
                return worker
        return Refusal(code=503, reason="no-room", detail="every worker that may serve is at its bound")

    def _find_owner(self, *, now: float, exchange: Exchange) -> Worker | Refusal:
        world, service = self.world, exchange.service
        exchange.slot = slot_of(key=exchange.part, slots=service.slots)
        exchange.pool = pool_at(shares=exchange.match.shares, slot=exchange.slot, slots=service.slots)
        homes = exchange.tenant.homes
        exchange.space = space_of(homes=homes, service=service)
        owned = world.slots.find(service=service.name, space=exchange.space, slot=exchange.slot)
        if owned is None or not owned.owner:
            return Refusal(code=503, reason="key-unowned", detail="no worker that may serve owns this key yet")
        if not owned.is_open:
            return Refusal(code=503, reason="key-moving", detail="this key is on its way to another worker")
        worker, probed = world.book.workers.get(owned.owner), world.prober.probed.get(owned.owner)
        if (
            worker is None
            or worker.leaving
            or worker.hall in world.emptied
            or probed is None
            or not probed.healthy
            or (homes and world.plan.regions.get(worker.hall) not in homes)
            or owned.owner in exchange.tried
        ):
            return Refusal(code=503, reason="owner-lost", detail="this key's worker can't be used; it will move")
        hot = replace(service, rate=service.rate * constants.HOT_KEY_SHARE)
        if not self.bounds.step(
            now=now,
            key=f"key {service.name} {exchange.part}",
            service=hot,
            warm=service.cold_ramp,
            proxies=world.proxies,
        ):
            return Refusal(code=503, reason="hot-key", detail="this key has taken its part of its worker's bound")
        if not self.bounds.step(
            now=now, key=owned.owner, service=service, warm=now - probed.warm_since, proxies=world.proxies
        ):
            return Refusal(code=503, reason="owner-full", detail="this key's worker is at its bound")
        exchange.term = owned.term
        return worker

    def stands(self, *, exchange: Exchange) -> bool:
        """May the worker chosen a moment ago still be sent this exchange?"""
        world, worker = self.world, exchange.chosen
        probed = world.prober.probed.get(worker.key)
        if (
            worker.key not in world.book.workers
            or world.book.workers[worker.key].leaving
            or worker.hall in world.emptied
            or probed is None
            or not probed.healthy
        ):
            return False
        if exchange.slot < 0:
            return True
        owned = world.slots.find(service=exchange.service.name, space=exchange.space, slot=exchange.slot)
        return owned is not None and owned.is_open and (owned.owner, owned.term) == (worker.key, exchange.term)

    def took(self, *, key: str) -> None:
        """An exchange was sent on to this worker."""
        self.open[key] = self.open.get(key, 0) + 1

    def left(self, *, key: str) -> None:
        """An exchange ended at this worker."""
        count = self.open.get(key, 1) - 1
        if count > 0:
            self.open[key] = count
        else:
            self.open.pop(key, None)

    def _choose(self, *, now: float, exchange: Exchange, hall: str) -> Worker | None:
        world, service = self.world, exchange.service
        able = []
        for key, worker in world.book.workers.items():
            if (
                worker.service == service.name
                and worker.hall == hall
                and not worker.leaving
                and key not in exchange.tried
            ):
                probed = world.prober.probed.get(key)
                if probed is not None and probed.healthy:
                    able.append((worker, now - probed.warm_since))
        while able:
            picks = self.rng.sample(able, min(2, len(able)))
            pick = min(picks, key=lambda one: self.open.get(one[0].key, 0))
            if self.bounds.step(now=now, key=pick[0].key, service=service, warm=pick[1], proxies=world.proxies):
                return pick[0]
            able.remove(pick)
        return None
