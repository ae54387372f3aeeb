"""What the kinds of trouble share: who is up, what may be lost now, and how to bring a step about."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.sim.world import World

DISK_REPAIR_TIME = 45.0
"""s after a disk was lost in which no other may be: lost for 20 s, then copied, among other trouble all the while."""


class NoDaemonUp(LookupError):
    """No daemon of the kind is up."""


@dataclass(kw_only=True)
class ChaosContext:
    """The fleet as the trouble finds it. `do` brings one step about."""

    world: World
    rng: random.Random
    step: Callable
    index: int = 50
    disk_loss_allowed_at: float = 0.0
    controller_loss_allowed_at: float = 0.0
    emptied_zone: str = ""

    def do(self, verb: str, *words: str) -> None:
        """One step, now."""
        self.step(verb=verb, words=list(words))

    def do_later(self, low: float, high: float, verb: str, *words: str) -> None:
        """One step after a while."""
        self.world.clock.after(self.rng.uniform(low, high), lambda: self.do(verb, *words))

    def pick_daemon(self, *kinds: str) -> str:
        """One that is up; if none is, this trouble can't happen now."""
        names = [name for name, node in self.world.nodes.items() if node.location.kind in kinds and node.is_up]
        if not names:
            raise NoDaemonUp
        return self.rng.choice(names)

    def running_controllers(self) -> list[str]:
        """The controllers that are up."""
        return [name for name, node in self.world.nodes.items() if node.location.kind == "controller" and node.is_up]

    def pick_worker(self) -> str:
        """One that runs."""
        return self.rng.choice(
            sorted(
                machine.worker.name
                for machine in self.world.machines.values()
                if machine.is_up and not machine.is_frozen
            )
        )

    def pick_zone(self) -> str:
        """Any zone."""
        return self.rng.choice(sorted(self.world.deployment.zones))

    def pick_service(self) -> str:
        """One that is not divided."""
        sharded = {name for name, settings in self.world.deployment.config["services"].items() if settings.get("slots")}
        return self.rng.choice(sorted(set(self.world.deployment.config["services"]) - sharded))

    def may_lose_controller(self, *, seconds: float) -> bool:
        """One controller at a time, as many as must be borne; taken for so long."""
        now = self.world.clock.now
        if now < max(self.controller_loss_allowed_at, self.disk_loss_allowed_at) or len(self.running_controllers()) < 4:
            return False
        self.controller_loss_allowed_at = now + seconds
        return True

    def may_lose_disk(self) -> bool:
        """A disk may be lost for good if every other is well, and none follows before the repair."""
        if not self.may_lose_controller(seconds=DISK_REPAIR_TIME):
            return False
        self.disk_loss_allowed_at = self.world.clock.now + DISK_REPAIR_TIME
        return True

    def next_index(self) -> str:
        """A number for a machine's address."""
        self.index += 1
        return str(self.index)
