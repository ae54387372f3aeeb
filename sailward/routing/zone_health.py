"""Halls of one service: healthy fraction, drained or open, with a hold before the return."""

from __future__ import annotations

from dataclasses import dataclass

from sailward import constants
from sailward.events import Log
from sailward.state_machines import Chart

CHART = Chart(name="hall")


@dataclass(kw_only=True)
class HallState:
    """One hall of one service."""

    state: str = CHART.initial
    since: float = 0.0
    fraction: float = 1.0
    listed: int = 0
    healthy: int = 0

    @property
    def drained(self) -> bool:
        """Is its capacity marked zero?"""
        return self.state in CHART.marks["drained"]


class HallBook:
    """Owner of the halls' states. `step` folds the counts of one moment."""

    def __init__(self, *, hold: float | None = None) -> None:
        self.halls: dict[tuple[str, str], HallState] = {}
        self._hold = hold

    def step(self, *, now: float, counts: dict[tuple[str, str], tuple[int, int, int]]) -> list:
        """Fold {(service, hall): (listed, healthy, known)}; halls with no worker listed are forgotten."""
        commands = []
        self.halls = {key: hall for key, hall in self.halls.items() if key in counts}
        for key, (listed, healthy, known) in counts.items():
            hall = self.halls.setdefault(key, HallState(since=now))
            hall.listed, hall.healthy = listed, healthy
            hall.fraction = healthy / listed if listed else 0.0
            if known < listed and hall.state == CHART.initial:
                # not all probed yet: no ground for a mark, only for spreading
                hall.fraction = healthy / known if known else 0.0
                continue
            commands += self._move(now=now, key=key, hall=hall)
        return commands

    def _move(self, *, now: float, key: tuple[str, str], hall: HallState) -> list:
        before = hall.state
        for event in self._events(now=now, hall=hall):
            after = CHART.step(state=hall.state, event=event)
            if after != hall.state:
                hall.state, hall.since = after, now
        if before == hall.state:
            return []
        return [
            Log(
                event="hall-state",
                fields={
                    "service": key[0],
                    "hall": key[1],
                    "from": before,
                    "to": hall.state,
                    "fraction": round(hall.fraction, 2),
                },
            )
        ]

    def _events(self, *, now: float, hall: HallState) -> list[str]:
        if hall.fraction < constants.DRAIN:
            return ["under_drain"]
        if hall.fraction < constants.RESTORE:
            return ["under_restore"]
        if hall.state == "holding" and now - hall.since >= (constants.HOLD if self._hold is None else self._hold):
            return ["held"]
        return ["at_restore"]
