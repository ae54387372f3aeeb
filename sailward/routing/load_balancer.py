"""Selects the worker for a request: pool by weight, zone by share, worker by two random choices."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.routing.proxied_request import ProxiedRequest, Refusal
from sailward.routing.rate_limits import RateLimits
from sailward.routing.routing_state import RoutingState
from sailward.routing.shard_owners import pool_of_slot, slot_of, space_of
from sailward.routing.weighted_draw import draw_pool, draw_zone, share_zones


@dataclass(kw_only=True)
class LoadBalancer:
    """Keeps the counts of open requests and the rate limits by worker. `step` returns a worker or a refusal."""

    rng: random.Random
    routing_state: RoutingState
    rate_limits: RateLimits = field(default_factory=RateLimits)
    open_requests: dict = field(default_factory=dict)

    def step(self, *, now: float, request: ProxiedRequest) -> Worker | Refusal:
        """Select the worker that runs this request, and count the request against its rate limit."""
        if request.service.slots:
            return self._find_owner(now=now, request=request)
        if not request.pool:
            request.pool = draw_pool(match=request.match, rng=self.rng)
        pool = self.routing_state.plan.pools[request.pool]
        views = self.routing_state.zone_views(now=now, service=pool.service, tenant=request.tenant)
        shares = share_zones(pool=pool, views=views)
        if not shares:
            return Refusal(code=503, reason="no-hall", detail="no hall that may serve this tenant has a healthy worker")
        first_zone = draw_zone(shares=shares, rng=self.rng)
        other_zones = [
            zone
            for zone in (*pool.preferred, *pool.fallback)
            if zone != first_zone and zone in views and views[zone].is_allowed and views[zone].healthy
        ]
        other_zones.sort(key=lambda zone: (zone not in shares, views[zone].is_drained))
        for zone in (first_zone, *other_zones):
            worker = self._choose_worker(now=now, request=request, zone=zone)
            if worker is not None:
                return worker
        return Refusal(code=503, reason="no-room", detail="every worker that may serve is at its bound")

    def _find_owner(self, *, now: float, request: ProxiedRequest) -> Worker | Refusal:
        routing_state, service = self.routing_state, request.service
        request.slot = slot_of(key=request.shard_key, slots=service.slots)
        request.pool = pool_of_slot(shares=request.match.shares, slot=request.slot, slots=service.slots)
        homes = request.tenant.homes
        request.space = space_of(homes=homes, service=service)
        owned = routing_state.shard_owners.find(service=service.name, space=request.space, slot=request.slot)
        if owned is None or not owned.owner:
            return Refusal(code=503, reason="key-unowned", detail="no worker that may serve owns this key yet")
        if not owned.is_open:
            return Refusal(code=503, reason="key-moving", detail="this key is on its way to another worker")
        worker = routing_state.endpoint_table.workers.get(owned.owner)
        if worker is None or owned.owner in request.tried_workers or not self._may_serve(worker=worker, homes=homes):
            return Refusal(code=503, reason="owner-lost", detail="this key's worker can't be used; it will move")
        refusal = self._refuse_over_limit(now=now, request=request, owner=owned.owner)
        if refusal is not None:
            return refusal
        request.term = owned.term
        return worker

    def _may_serve(self, *, worker: Worker, homes: frozenset[str]) -> bool:
        """Is the owner of a key healthy, and in a zone that may serve the request's tenant?"""
        routing_state = self.routing_state
        probed = routing_state.prober.probed.get(worker.key)
        return (
            not worker.leaving
            and worker.zone not in routing_state.evacuated_zones
            and probed is not None
            and probed.is_healthy
            and (not homes or routing_state.plan.regions.get(worker.zone) in homes)
        )

    def _refuse_over_limit(self, *, now: float, request: ProxiedRequest, owner: str) -> Refusal | None:
        """A refusal if the rate limit of the key or of its owner is reached; None if the request may be sent."""
        routing_state, service = self.routing_state, request.service
        key_limit = replace(service, rate=service.rate * constants.HOT_KEY_SHARE)
        if not self.rate_limits.step(
            now=now,
            key=f"key {service.name} {request.shard_key}",
            service=key_limit,
            healthy_s=service.slow_start_ramp,
            proxies=routing_state.proxy_count,
        ):
            return Refusal(code=503, reason="hot-key", detail="this key has taken its part of its worker's bound")
        if not self.rate_limits.step(
            now=now,
            key=owner,
            service=service,
            healthy_s=now - routing_state.prober.probed[owner].slow_start_began_at,
            proxies=routing_state.proxy_count,
        ):
            return Refusal(code=503, reason="owner-full", detail="this key's worker is at its bound")
        return None

    def is_choice_valid(self, *, request: ProxiedRequest) -> bool:
        """May this request still be sent to the worker that was chosen for it earlier?"""
        routing_state, worker = self.routing_state, request.selected_worker
        probed = routing_state.prober.probed.get(worker.key)
        if (
            worker.key not in routing_state.endpoint_table.workers
            or routing_state.endpoint_table.workers[worker.key].leaving
            or worker.zone in routing_state.evacuated_zones
            or probed is None
            or not probed.is_healthy
        ):
            return False
        if request.slot < 0:
            return True
        owned = routing_state.shard_owners.find(service=request.service.name, space=request.space, slot=request.slot)
        return owned is not None and owned.is_open and (owned.owner, owned.term) == (worker.key, request.term)

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

    def _choose_worker(self, *, now: float, request: ProxiedRequest, zone: str) -> Worker | None:
        routing_state, service = self.routing_state, request.service
        eligible = []
        for key, worker in routing_state.endpoint_table.workers.items():
            if (
                worker.service == service.name
                and worker.zone == zone
                and not worker.leaving
                and key not in request.tried_workers
            ):
                probed = routing_state.prober.probed.get(key)
                if probed is not None and probed.is_healthy:
                    eligible.append((worker, now - probed.slow_start_began_at))
        while eligible:
            candidates = self.rng.sample(eligible, min(2, len(eligible)))
            choice = min(candidates, key=lambda candidate: self.open_requests.get(candidate[0].key, 0))
            if self.rate_limits.step(
                now=now, key=choice[0].key, service=service, healthy_s=choice[1], proxies=routing_state.proxy_count
            ):
                return choice[0]
            eligible.remove(choice)
        return None
