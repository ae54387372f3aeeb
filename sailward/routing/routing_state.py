"""What a proxy acts on: configuration, orders, workers, status, the standing view."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.endpoint_table import WorkerBook
from sailward.routing.active_health import Prober
from sailward.routing.plan import Plan, Tenant
from sailward.routing.shard_owners import SlotBook
from sailward.routing.weighted_draw import HallView
from sailward.routing.zone_health import HallBook


@dataclass(kw_only=True)
class World:
    """The owner's views, folded from what it heard; the choosing reads them and changes nothing."""

    prober: Prober
    book: WorkerBook = field(default_factory=WorkerBook)
    halls: HallBook = field(default_factory=HallBook)
    plan: Plan = field(default_factory=Plan)
    emptied: frozenset = frozenset()
    views: dict = field(default_factory=dict)
    walls: dict = field(default_factory=dict)
    proxies: int = 1
    slots: SlotBook = field(default_factory=SlotBook)

    def counts(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        """{(service, hall): (listed, healthy, known)}; a leaving worker is listed and unhealthy."""
        counts: dict = {}
        for key, worker in self.book.workers.items():
            probed = self.prober.probed.get(key)
            place = (worker.service, worker.hall)
            listed, healthy, known = counts.get(place, (0, 0, 0))
            good = probed is not None and probed.healthy and not worker.leaving
            seen = worker.leaving or (probed is not None and probed.known)
            counts[place] = (listed + 1, healthy + good, known + seen)
        return counts

    def keep_view(self, *, now: float, identity: str, view: dict) -> None:
        """Keep one controller's standing view."""
        self.views[identity] = (now, view)
        if isinstance(view.get("wall"), float):
            self.walls[identity] = (now, view["wall"] - now)

    def standing_drained(self, *, now: float, service: str, hall: str) -> bool:
        """Do most controllers heard of late keep this hall drained?"""
        fresh = [view for at, view in self.views.values() if now - at < constants.REPORT_LIFE]
        name = f"{service}|{hall}"
        return bool(fresh) and 2 * sum(name in view.get("drained", ()) for view in fresh) > len(fresh)

    def clock(self, *, now: float) -> float | None:
        """The wall time by the middle one of the controllers' clocks, the later of two.

        No single jump can turn it back.
        """
        self.walls = {
            name: (at, offset) for name, (at, offset) in self.walls.items() if now - at < constants.CLOCK_LIFE
        }
        offsets = sorted(offset for _, offset in self.walls.values())
        return now + offsets[len(offsets) // 2] if offsets else None

    def in_doubt(self, *, now: float) -> bool:
        """Does every controller heard of late say that claims may have been lost?"""
        fresh = [view for at, view in self.views.values() if now - at < constants.REPORT_LIFE]
        return bool(fresh) and all(view.get("doubt") for view in fresh)

    def warm(self) -> dict[str, float]:
        """How long others have seen each worker in good status."""
        warm: dict[str, float] = {}
        for _, view in self.views.values():
            for key, age in view.get("warm", {}).items():
                warm[key] = max(age, warm.get(key, 0.0))
        return warm

    def views_of(self, *, now: float, service: str, tenant: Tenant | None) -> dict[str, HallView]:
        """The halls of a service as this tenant's draw sees them."""
        views = {}
        for (name, hall), state in self.halls.halls.items():
            if name != service:
                continue
            region = self.plan.regions.get(hall)
            home = tenant is None or not tenant.homes or region in tenant.homes
            drained = state.drained or self.standing_drained(now=now, service=service, hall=hall)
            views[hall] = HallView(
                fraction=state.fraction,
                healthy=state.healthy,
                listed=state.listed,
                drained=drained,
                allowed=home and hall not in self.emptied and region is not None,
            )
        return views

    def report(self, *, now: float, suspect: bool) -> dict:
        """This proxy's digest for the standing view."""
        halls = {
            f"{service}|{hall}": [state.listed, state.healthy, state.state]
            for (service, hall), state in self.halls.halls.items()
        }
        warm = {key: round(now - probed.warm_since, 1) for key, probed in self.prober.probed.items() if probed.healthy}
        return {"halls": halls, "warm": warm, "suspect": suspect}


def read_orders(*, value: dict) -> frozenset:
    """The emptied halls in the register's value."""
    return frozenset(json.loads(value["text"])["emptied"]) if value["text"] else frozenset()
