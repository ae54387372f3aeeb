"""The standing view of zones: what most proxies say, held before it changes."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.control.proxies.subscribers import Subscriber
from sailward.events import Command
from sailward.routing.zone_health import ZoneHealthTable

PARTS = 1000
"""A fraction as a count: the fold takes counts."""


@dataclass(kw_only=True)
class AggregatedHealth:
    """Owner of the standing view. `step` folds the digests of the proxies heard of late."""

    table: ZoneHealthTable = field(default_factory=ZoneHealthTable)
    warm: dict = field(default_factory=dict)

    def step(self, *, now: float, proxies: list[Subscriber]) -> list[Command]:
        """Fold the digests; a proxy that suspects itself has no voice."""
        fresh = [
            proxy.report
            for proxy in proxies
            if now - proxy.last_seen_at < constants.HEALTH_REPORT_TTL and proxy.report.get("halls") is not None
        ]
        voices = [report for report in fresh if not report.get("suspect")] or fresh
        reported: dict = {}
        marks: dict = {}
        self.warm = {}
        for report in voices:
            for name, (listed, healthy, state) in report["halls"].items():
                if listed:
                    reported.setdefault(name, []).append(healthy / listed)
                    marks.setdefault(name, []).append(state in ("drained", "holding"))
            for key, age in report.get("warm", {}).items():
                self.warm[key] = max(age, self.warm.get(key, 0.0))
        counts = {}
        for name, fractions in reported.items():
            if 2 * len(fractions) <= len(voices):
                continue
            location = tuple(name.split("|", 1))
            middle = sorted(fractions)[len(fractions) // 2]
            counts[location] = (PARTS, round(middle * PARTS), PARTS)
            if location not in self.table.zones and 2 * sum(marks[name]) > len(marks[name]):
                # lost with this controller, told by those who know: drained until its hold is over
                self.table.step(now=now, counts={**self._old(), location: (PARTS, 0, PARTS)})
        return self.table.step(now=now, counts=counts) if counts else []

    def view(self, *, with_slow_start: bool) -> dict:
        """The view as a grant carries it."""
        drained = [f"{service}|{zone}" for (service, zone), state in self.table.zones.items() if state.is_drained]
        return {"drained": drained, **({"warm": self.warm} if with_slow_start else {})}

    def _old(self) -> dict:
        return {location: (zone.listed, zone.healthy, zone.listed) for location, zone in self.table.zones.items()}
