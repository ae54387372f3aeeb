"""The data that a proxy routes by: configuration, orders, workers, their status, the views of controllers."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.endpoint_table import EndpointTable
from sailward.routing.active_health import Prober
from sailward.routing.plan import Plan, Tenant
from sailward.routing.shard_owners import ShardOwners
from sailward.routing.weighted_draw import ZoneView
from sailward.routing.zone_health import ZoneHealthTable
from sailward.wire_types import RegisterValue


@dataclass(kw_only=True)
class RoutingState:
    """The routing data that this proxy has received; the load balancer reads it and never changes it."""

    prober: Prober
    endpoint_table: EndpointTable = field(default_factory=EndpointTable)
    zone_health: ZoneHealthTable = field(default_factory=ZoneHealthTable)
    plan: Plan = field(default_factory=Plan)
    evacuated_zones: frozenset = frozenset()
    controller_views: dict = field(default_factory=dict)
    clock_offsets: dict = field(default_factory=dict)
    proxy_count: int = 1
    shard_owners: ShardOwners = field(default_factory=ShardOwners)

    def counts(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        """{(service, zone): (listed, healthy, known)}; a leaving worker counts as listed and unhealthy."""
        counts: dict = {}
        for key, worker in self.endpoint_table.workers.items():
            probed = self.prober.probed.get(key)
            zone_key = (worker.service, worker.zone)
            listed, healthy, known = counts.get(zone_key, (0, 0, 0))
            is_healthy = probed is not None and probed.is_healthy and not worker.leaving
            is_known = worker.leaving or (probed is not None and probed.is_known)
            counts[zone_key] = (listed + 1, healthy + is_healthy, known + is_known)
        return counts

    def store_view(self, *, now: float, identity: str, view: dict) -> None:
        """Store the newest view of one controller."""
        self.controller_views[identity] = (now, view)
        if isinstance(view.get("wall"), float):
            self.clock_offsets[identity] = (now, view["wall"] - now)

    def is_drained_by_majority(self, *, now: float, service: str, zone: str) -> bool:
        """Do most of the controllers with a recent view report this zone as drained?"""
        recent_views = [view for at, view in self.controller_views.values() if now - at < constants.HEALTH_REPORT_TTL]
        name = f"{service}|{zone}"
        return bool(recent_views) and 2 * sum(name in view.get("drained", ()) for view in recent_views) > len(
            recent_views
        )

    def wall_time(self, *, now: float) -> float | None:
        """The wall time by the median of the controllers' clocks (the later one of two).

        The median keeps a jump of a single clock from turning the time back.
        """
        self.clock_offsets = {
            name: (at, offset)
            for name, (at, offset) in self.clock_offsets.items()
            if now - at < constants.CLOCK_SAMPLE_TTL
        }
        offsets = sorted(offset for _, offset in self.clock_offsets.values())
        return now + offsets[len(offsets) // 2] if offsets else None

    def has_unknown_outcomes(self, *, now: float) -> bool:
        """Does every controller with a recent view report that claims may have been lost?"""
        recent_views = [view for at, view in self.controller_views.values() if now - at < constants.HEALTH_REPORT_TTL]
        return bool(recent_views) and all(view.get("doubt") for view in recent_views)

    def healthy_durations(self) -> dict[str, float]:
        """{worker: s for which other proxies have seen it in good status}."""
        healthy_durations: dict[str, float] = {}
        for _, view in self.controller_views.values():
            for key, age in view.get("warm", {}).items():
                healthy_durations[key] = max(age, healthy_durations.get(key, 0.0))
        return healthy_durations

    def zone_views(self, *, now: float, service: str, tenant: Tenant | None) -> dict[str, ZoneView]:
        """The state of each zone of a service for the selection of a zone for this tenant."""
        views = {}
        for (name, zone), state in self.zone_health.zones.items():
            if name != service:
                continue
            region = self.plan.regions.get(zone)
            is_home = tenant is None or not tenant.homes or region in tenant.homes
            drained = state.is_drained or self.is_drained_by_majority(now=now, service=service, zone=zone)
            views[zone] = ZoneView(
                healthy_fraction=state.healthy_fraction,
                healthy=state.healthy,
                listed=state.listed,
                is_drained=drained,
                is_allowed=is_home and zone not in self.evacuated_zones and region is not None,
            )
        return views

    def report(self, *, now: float, suspect: bool) -> dict:
        """This proxy's health report, which the controllers aggregate into their views."""
        zones = {
            f"{service}|{zone}": [state.listed, state.healthy, state.state]
            for (service, zone), state in self.zone_health.zones.items()
        }
        healthy_durations = {
            key: round(now - probed.slow_start_began_at, 1)
            for key, probed in self.prober.probed.items()
            if probed.is_healthy
        }
        return {"halls": zones, "warm": healthy_durations, "suspect": suspect}


def read_orders(*, value: RegisterValue) -> frozenset:
    """The evacuated zones in the value of the orders register."""
    return frozenset(json.loads(value["text"])["emptied"]) if value["text"] else frozenset()
