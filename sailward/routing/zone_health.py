"""Health of each zone of a service: healthy fraction, drained or open, with a hold-down before it is restored."""

from __future__ import annotations

from dataclasses import dataclass

from sailward import constants
from sailward.events import Command, LogEvent
from sailward.state_machines import Chart

CHART = Chart(name="hall")


@dataclass(kw_only=True)
class ZoneHealth:
    """Health of one zone of one service."""

    state: str = CHART.initial
    state_changed_at: float = 0.0
    healthy_fraction: float = 1.0
    listed: int = 0
    healthy: int = 0

    @property
    def is_drained(self) -> bool:
        """Is the zone taken out of the selection?"""
        return self.state in CHART.marks["drained"]


class ZoneHealthTable:
    """Keeps the state of every zone. `step` applies the current worker counts."""

    def __init__(self, *, hold_down: float | None = None) -> None:
        self.zones: dict[tuple[str, str], ZoneHealth] = {}
        self._hold_down = hold_down

    def step(self, *, now: float, counts: dict[tuple[str, str], tuple[int, int, int]]) -> list[Command]:
        """Apply {(service, zone): (listed, healthy, known)}; zones that are not among the counts are dropped."""
        commands = []
        self.zones = {key: zone for key, zone in self.zones.items() if key in counts}
        for key, (listed, healthy, known) in counts.items():
            zone = self.zones.setdefault(key, ZoneHealth(state_changed_at=now))
            zone.listed, zone.healthy = listed, healthy
            zone.healthy_fraction = healthy / listed if listed else 0.0
            if known < listed and zone.state == CHART.initial:
                # not all workers have been probed: the fraction is used for weighting, but does not drain the zone yet
                zone.healthy_fraction = healthy / known if known else 0.0
                continue
            commands += self._transition(now=now, key=key, zone=zone)
        return commands

    def _transition(self, *, now: float, key: tuple[str, str], zone: ZoneHealth) -> list[Command]:
        previous = zone.state
        for event in self._events(now=now, zone=zone):
            state = CHART.step(state=zone.state, event=event)
            if state != zone.state:
                zone.state, zone.state_changed_at = state, now
        if previous == zone.state:
            return []
        return [
            LogEvent(
                event="zone-health",
                fields={
                    "service": key[0],
                    "hall": key[1],
                    "from": previous,
                    "to": zone.state,
                    "fraction": round(zone.healthy_fraction, 2),
                },
            )
        ]

    def _events(self, *, now: float, zone: ZoneHealth) -> list[str]:
        if zone.healthy_fraction < constants.ZONE_DRAIN_THRESHOLD:
            return ["under_drain"]
        if zone.healthy_fraction < constants.ZONE_RESTORE_THRESHOLD:
            return ["under_restore"]
        if zone.state == "holding" and now - zone.state_changed_at >= (
            constants.ZONE_HOLD_DOWN if self._hold_down is None else self._hold_down
        ):
            return ["held"]
        return ["at_restore"]
