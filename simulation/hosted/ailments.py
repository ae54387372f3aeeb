"""What is wrong with a worker for a while.

Answers lost or spoilt, a share of requests failing, health answers that lie.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

LOSE, GARBLE, EXTRA = "lose", "garble", "repeat"
"""Its answers get lost; they are spoilt; a second one follows a whole one."""
GREY = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
"""How a share of the requests fails while the health answers stay good."""
LYING = ("lie-errors", "lie-hang", "lie-reset", "lie-bad")
"""All requests fail and health says well; `lie-bad`: none fails and health says ill."""
SLOW_TIMES = 8.0
"""times that a slow request of a grey worker takes."""


@dataclass(frozen=True, kw_only=True)
class Ailment:
    """One trouble until a moment, on a share of the requests, maybe only of callers in one zone."""

    until: float
    share: float = 1.0
    zone: str = ""
    times: float = 1.0


@dataclass(kw_only=True)
class Ailments:
    """Owner of a worker's troubles. `set` begins one; `strikes` draws whether it hits a request."""

    rng: random.Random
    known: dict = field(default_factory=dict)

    def set(self, *, name: str, ailment: Ailment) -> None:
        """Begin a trouble."""
        self.known[name] = ailment

    def strikes(self, *, now: float, name: str, zone: str = "") -> bool:
        """Does this trouble hit a request of a caller in this zone?"""
        one = self.known.get(name)
        if one is None or now >= one.until or (one.zone and one.zone != zone):
            return False
        return one.share >= 1.0 or self.rng.random() < one.share

    def grey(self, *, now: float, zone: str) -> str:
        """Which way a request fails, or nothing."""
        for name in self.known:
            if name in GREY and self.strikes(now=now, name=name, zone=zone):
                return name
            if name in LYING and name != "lie-bad" and self.strikes(now=now, name=name):
                return name.removeprefix("lie-")
        return ""

    def reports_unhealthy(self, *, now: float) -> bool:
        """Do its health answers say that it is ill, though it is well?"""
        return self.strikes(now=now, name="lie-bad")

    def slowness(self, *, now: float) -> float:
        """How many times as long its work takes."""
        one = self.known.get("slowed")
        return one.times if one is not None and now < one.until else 1.0
