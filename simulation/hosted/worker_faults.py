"""Temporary faults of a worker.

Its answers are lost or corrupted, a share of the requests fails, or its health answers are false.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

LOSE, GARBLE, EXTRA = "lose", "garble", "repeat"
"""Its answers are lost; they are corrupted; a second one follows a complete one."""
GREY_FAILURES = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
"""How a share of the requests fails while the health answers stay good (grey failures)."""
LYING_HEALTH = ("lie-errors", "lie-hang", "lie-reset", "lie-bad")
"""All requests fail and health answers are good; with `lie-bad` none fails and health answers are bad."""
SLOW_FACTOR = 8.0
"""Factor by which a request takes longer when it is hit by the grey failure `slow`."""


@dataclass(frozen=True, kw_only=True)
class WorkerFault:
    """A fault that lasts until a moment and affects a share of the requests, of all callers or of those in one zone."""

    until: float
    share: float = 1.0
    zone: str = ""
    slowdown: float = 1.0


@dataclass(kw_only=True)
class WorkerFaults:
    """The faults of one worker. `begin` starts one; `affects` draws whether it affects a request."""

    rng: random.Random
    by_name: dict = field(default_factory=dict)

    def begin(self, *, name: str, fault: WorkerFault) -> None:
        """Start a fault, in place of an earlier one of the same name."""
        self.by_name[name] = fault

    def affects(self, *, now: float, name: str, zone: str = "") -> bool:
        """Draw whether this fault affects a request of a caller in this zone."""
        fault = self.by_name.get(name)
        if fault is None or now >= fault.until or (fault.zone and fault.zone != zone):
            return False
        return fault.share >= 1.0 or self.rng.random() < fault.share

    def draw_failure(self, *, now: float, zone: str) -> str:
        """Draw how a request fails; "" if it does not."""
        for name in self.by_name:
            if name in GREY_FAILURES and self.affects(now=now, name=name, zone=zone):
                return name
            if name in LYING_HEALTH and name != "lie-bad" and self.affects(now=now, name=name):
                return name.removeprefix("lie-")
        return ""

    def reports_false_illness(self, *, now: float) -> bool:
        """Whether its health answers report it as unhealthy though it is healthy."""
        return self.affects(now=now, name="lie-bad")

    def slowdown(self, *, now: float) -> float:
        """Factor by which its work takes longer."""
        fault = self.by_name.get("slowed")
        return fault.slowdown if fault is not None and now < fault.until else 1.0
