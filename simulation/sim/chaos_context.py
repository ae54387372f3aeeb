"""Context shared by all kinds of faults: what is up, what may be lost now, and how to run a scenario step."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.sim.world import World

DISK_REPAIR_TIME = 45.0
"""s after the loss of a disk during which no other disk may be lost.

The disk is missing for 20 s and is then copied, while other faults go on.
"""


class NoDaemonUp(LookupError):
    """No daemon of the kind is up."""


@dataclass(kw_only=True)
class ChaosContext:
    """The state of the fleet that decides which faults are possible. `do` runs one scenario step."""

    world: World
    rng: random.Random
    step: Callable
    index: int = 50
    disk_loss_allowed_at: float = 0.0
    controller_loss_allowed_at: float = 0.0
    emptied_zone: str = ""

    def do(self, verb: str, *words: str) -> None:
        """Run one step now."""
        self.step(verb=verb, words=list(words))

    def do_later(self, low: float, high: float, verb: str, *words: str) -> None:
        """Run one step after a random delay of `low` to `high` seconds."""
        self.world.clock.after(self.rng.uniform(low, high), lambda: self.do(verb, *words))

    def pick_daemon(self, *kinds: str) -> str:
        """A random running daemon of these kinds; raises NoDaemonUp if there is none."""
        names = [name for name, node in self.world.nodes.items() if node.location.kind in kinds and node.is_up]
        if not names:
            raise NoDaemonUp
        return self.rng.choice(names)

    def running_controllers(self) -> list[str]:
        """The controllers that are up."""
        return [name for name, node in self.world.nodes.items() if node.location.kind == "controller" and node.is_up]

    def pick_worker(self) -> str:
        """A random running worker."""
        return self.rng.choice(
            sorted(
                machine.worker.name
                for machine in self.world.machines.values()
                if machine.is_up and not machine.is_frozen
            )
        )

    def pick_zone(self) -> str:
        """A random zone."""
        return self.rng.choice(sorted(self.world.deployment.zones))

    def pick_service(self) -> str:
        """A random service that is not sharded."""
        sharded = {name for name, settings in self.world.deployment.config["services"].items() if settings.get("slots")}
        return self.rng.choice(sorted(set(self.world.deployment.config["services"]) - sharded))

    def may_lose_controller(self, *, seconds: float) -> bool:
        """Whether a controller may be lost now; if so, no other may be for `seconds`.

        One at a time is what the group must tolerate.
        """
        now = self.world.clock.now
        if now < max(self.controller_loss_allowed_at, self.disk_loss_allowed_at) or len(self.running_controllers()) < 4:
            return False
        self.controller_loss_allowed_at = now + seconds
        return True

    def may_lose_disk(self) -> bool:
        """Whether a disk may be lost for good: every other is healthy, and none follows before the repair."""
        if not self.may_lose_controller(seconds=DISK_REPAIR_TIME):
            return False
        self.disk_loss_allowed_at = self.world.clock.now + DISK_REPAIR_TIME
        return True

    def next_index(self) -> str:
        """A new number for the address of a machine."""
        self.index += 1
        return str(self.index)
