"""What is wrong with a worker for a while.

Answers lost or spoilt, a share of requests failing, health answers that lie.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

LOSE, GARBLE, EXTRA = "lose", "garble", "repeat"
"""Its answers get lost; they are spoilt; a second one follows a whole one."""
GREY_FAILURES = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
"""How a share of the requests fails while the health answers stay good."""
LYING_HEALTH = ("lie-errors", "lie-hang", "lie-reset", "lie-bad")
"""All requests fail and health says well; `lie-bad`: none fails and health says ill."""
SLOW_FACTOR = 8.0
"""times that a slow request of a grey worker takes."""


@dataclass(frozen=True, kw_only=True)
class WorkerFault:
    """One trouble until a moment, on a share of the requests, maybe only of callers in one zone."""

    until: float
    share: float = 1.0
    zone: str = ""
    slowdown: float = 1.0


@dataclass(kw_only=True)
class WorkerFaults:
    """Owner of a worker's troubles. `set` begins one; `strikes` draws whether it hits a request."""

    rng: random.Random
    by_name: dict = field(default_factory=dict)

    def begin(self, *, name: str, fault: WorkerFault) -> None:
        """Begin a trouble."""
        self.by_name[name] = fault

    def affects(self, *, now: float, name: str, zone: str = "") -> bool:
        """Does this trouble hit a request of a caller in this zone?"""
        fault = self.by_name.get(name)
        if fault is None or now >= fault.until or (fault.zone and fault.zone != zone):
            return False
        return fault.share >= 1.0 or self.rng.random() < fault.share

    def draw_failure(self, *, now: float, zone: str) -> str:
        """Which way a request fails, or nothing."""
        for name in self.by_name:
            if name in GREY_FAILURES and self.affects(now=now, name=name, zone=zone):
                return name
            if name in LYING_HEALTH and name != "lie-bad" and self.affects(now=now, name=name):
                return name.removeprefix("lie-")
        return ""

    def reports_false_illness(self, *, now: float) -> bool:
        """Do its health answers say that it is ill, though it is well?"""
        return self.affects(now=now, name="lie-bad")

    def slowdown(self, *, now: float) -> float:
        """How many times as long its work takes."""
        fault = self.by_name.get("slowed")
        return fault.slowdown if fault is not None and now < fault.until else 1.0
