"""What the kinds of trouble share: who is up, what may be lost now, and how to bring a step about."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.sim.world import World

REPAIRED = 45.0
"""s after a disk was lost in which no other may be: lost for 20 s, then copied, among other trouble all the while."""


class NobodyUp(LookupError):
    """No daemon of the kind is up."""


@dataclass(kw_only=True)
class ChaosContext:
    """The fleet as the trouble finds it. `do` brings one step about."""

    world: World
    rng: random.Random
    step: Callable
    index: int = 50
    disks_from: float = 0.0
    controllers_from: float = 0.0
    emptied: str = ""

    def do(self, verb: str, *words: str) -> None:
        """One step, now."""
        self.step(verb=verb, words=list(words))

    def later(self, low: float, high: float, verb: str, *words: str) -> None:
        """One step after a while."""
        self.world.clock.after(self.rng.uniform(low, high), lambda: self.do(verb, *words))

    def daemon(self, *kinds: str) -> str:
        """One that is up; if none is, this trouble can't happen now."""
        names = [name for name, node in self.world.nodes.items() if node.location.kind in kinds and node.up]
        if not names:
            raise NobodyUp
        return self.rng.choice(names)

    def core(self) -> list[str]:
        """The controllers that are up."""
        return [name for name, node in self.world.nodes.items() if node.location.kind == "controller" and node.up]

    def worker(self) -> str:
        """One that runs."""
        return self.rng.choice(
            sorted(machine.mind.name for machine in self.world.machines.values() if machine.up and not machine.frozen)
        )

    def zone(self) -> str:
        """Any zone."""
        return self.rng.choice(sorted(self.world.deployment.zones))

    def service(self) -> str:
        """One that is not divided."""
        divided = {name for name, one in self.world.deployment.config["services"].items() if one.get("slots")}
        return self.rng.choice(sorted(set(self.world.deployment.config["services"]) - divided))

    def may_lose_controller(self, *, seconds: float) -> bool:
        """One controller at a time, as many as must be borne; taken for so long."""
        now = self.world.clock.now
        if now < max(self.controllers_from, self.disks_from) or len(self.core()) < 4:
            return False
        self.controllers_from = now + seconds
        return True

    def may_lose_disk(self) -> bool:
        """A disk may be lost for good if every other is well, and none follows before the repair."""
        if not self.may_lose_controller(seconds=REPAIRED):
            return False
        self.disks_from = self.world.clock.now + REPAIRED
        return True

    def next_index(self) -> str:
        """A number for a machine's address."""
        self.index += 1
        return str(self.index)
