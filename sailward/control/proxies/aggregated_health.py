"""The aggregated view of zone health: the median of the proxies' reports, with hysteresis."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.control.proxies.subscribers import Subscriber
from sailward.events import Command
from sailward.routing.zone_health import ZoneHealthTable

PARTS = 1000
"""Denominator used to pass a fraction to the zone health table, which takes counts of workers."""


@dataclass(kw_only=True)
class AggregatedHealth:
    """Aggregates zone health. `step` takes the reports of the proxies heard from within HEALTH_REPORT_TTL."""

    table: ZoneHealthTable = field(default_factory=ZoneHealthTable)
    healthy_durations: dict = field(default_factory=dict)

    def step(self, *, now: float, proxies: list[Subscriber]) -> list[Command]:
        """Aggregate the reports; one of a proxy that suspects itself counts only if there are no others."""
        recent_reports = [
            proxy.report
            for proxy in proxies
            if now - proxy.last_seen_at < constants.HEALTH_REPORT_TTL and proxy.report.get("halls") is not None
        ]
        counted_reports = [report for report in recent_reports if not report.get("suspect")] or recent_reports
        fractions_by_zone: dict = {}
        drained_flags: dict = {}
        self.healthy_durations = {}
        for report in counted_reports:
            for name, (listed, healthy, state) in report["halls"].items():
                if listed:
                    fractions_by_zone.setdefault(name, []).append(healthy / listed)
                    drained_flags.setdefault(name, []).append(state in ("drained", "holding"))
            for key, age in report.get("warm", {}).items():
                self.healthy_durations[key] = max(age, self.healthy_durations.get(key, 0.0))
        counts = {}
        for name, fractions in fractions_by_zone.items():
            if 2 * len(fractions) <= len(counted_reports):
                continue
            location = tuple(name.split("|", 1))
            median = sorted(fractions)[len(fractions) // 2]
            counts[location] = (PARTS, round(median * PARTS), PARTS)
            if location not in self.table.zones and 2 * sum(drained_flags[name]) > len(drained_flags[name]):
                # this controller has no state of the zone, as after a restart, but most proxies report it drained:
                # drain it until its hold-down is over
                self.table.step(now=now, counts={**self._current_counts(), location: (PARTS, 0, PARTS)})
        return self.table.step(now=now, counts=counts) if counts else []

    def view(self, *, include_healthy_durations: bool) -> dict:
        """The view as sent in a grant."""
        drained = [f"{service}|{zone}" for (service, zone), state in self.table.zones.items() if state.is_drained]
        return {"drained": drained, **({"warm": self.healthy_durations} if include_healthy_durations else {})}

    def _current_counts(self) -> dict:
        return {location: (zone.listed, zone.healthy, zone.listed) for location, zone in self.table.zones.items()}
