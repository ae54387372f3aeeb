"""Long trouble: seeded faults of every kind the users name, mixed and in sequence, then a closing major loss."""
from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tasting.sim.world import World

MODES = ("lose", "lose-unrun", "wrong-bytes", "cut", "refuse", "other-exchange", "error")


class Chaos:
    """Draws faults and their healing. `step` brings the next one about."""

    def __init__(self, *, world: World, step: Callable) -> None:
        self._world, self._step = world, step
        self._rng = random.Random(f"{world.seed}/chaos")
        self._index = 50
        self._cellars_down = 0
        self._emptied = ""

    def step(self, *, until: float) -> None:
        """One fault now, the next a little later, until the time is over."""
        if self._world.clock.now >= until:
            return
        kinds = [name for name in dir(self) if name.startswith("_fault_")]
        getattr(self, self._rng.choice(kinds))()
        self._world.clock.after(self._rng.uniform(0.8, 4.0), lambda: self.step(until=until))

    def _do(self, verb: str, *words: str) -> None:
        self._step(verb=verb, words=list(words))

    def _later(self, low: float, high: float, verb: str, *words: str) -> None:
        self._world.clock.after(self._rng.uniform(low, high), lambda: self._do(verb, *words))

    def _daemon(self, *kinds: str) -> str:
        names = [name for name, node in self._world.nodes.items() if node.place.kind in kinds and node.up]
        return self._rng.choice(names) if names else ""

    def _worker(self) -> str:
        return self._rng.choice(sorted(one.mind.name for one in self._world.machines.values() if one.up and not one.frozen))

    def _take_cellar(self, seconds: float) -> str:
        """A cellar that may go for a while: one at a time, as many as must be borne."""
        name = self._daemon("cellar")
        if not name or self._cellars_down:
            return ""
        self._cellars_down += 1

        def back() -> None:
            self._cellars_down -= 1
        self._world.clock.after(seconds, back)
        return name

    def _fault_proxy(self) -> None:
        name = self._daemon("sommelier", "concierge")
        if name:
            verb = self._rng.choice(["kill", "power-off", "stop"])
            self._do(verb, name)
            self._later(7.0, 9.0, "start", name)

    def _fault_cellar(self) -> None:
        name = self._take_cellar(12.0)
        if name:
            self._do(self._rng.choice(["kill", "power-off", "stop", "wipe"]), name)
            self._later(0.5, 5.0, "start", name)

    def _fault_freeze(self) -> None:
        name = self._daemon("sommelier", "concierge")
        if name:
            self._do("freeze", name)
            self._later(0.5, 6.0, "thaw", name)

    def _fault_cut(self) -> None:
        name, other = self._daemon("sommelier", "cellar"), self._rng.choice(["cellar", "platform", "worker", *self._world.deployment.halls])
        if name and self._rng.random() < 0.5:
            self._do("cut", name, "/", other)
        else:
            halls = list(self._world.deployment.halls)
            self._do("cut", *halls[:2], "/", *halls[2:])
        self._later(1.0, 7.0, "heal")

    def _fault_network(self) -> None:
        self._do("lossy", f"{self._rng.uniform(0.0, 0.1):.3f}", f"{self._rng.uniform(0.0, 0.1):.3f}")
        self._later(2.0, 6.0, "lossy", "0", "0")

    def _fault_worker(self) -> None:
        name = self._worker()
        self._do("worker-down", name)
        self._later(1.0, 9.0, "worker-up", name)

    def _fault_worker_freeze(self) -> None:
        name = self._worker()
        self._do("worker-freeze", name)
        self._later(0.5, 8.0, "worker-thaw", name)

    def _fault_worker_mode(self) -> None:
        name = self._worker()
        self._do("worker-mode", self._rng.choice(MODES), f"{self._rng.uniform(0.1, 0.9):.2f}", name)
        self._later(1.0, 6.0, "worker-mode", "well", "1", name)

    def _fault_worker_replace(self) -> None:
        self._do("worker-replace", self._worker())

    def _fault_worker_leave(self) -> None:
        name = self._worker()
        if name.count("-") < 4 and len([n for n in self._world.machines.values() if n.up]) > 28 \
                and name in self._world.platform.names():
            self._do("worker-leave", name)
            self._later(2.0, 5.0, "worker-gone-if", name)

    def _fault_worker_add(self) -> None:
        self._index += 1
        service = self._rng.choice(sorted({one.mind.service for one in self._world.machines.values()}))
        hall = self._rng.choice(sorted(self._world.deployment.halls))
        self._do("worker-add", f"{service}-{hall}-{self._index}", service, hall, str(self._index))

    def _fault_config(self) -> None:
        service = self._rng.choice(sorted({one.mind.service for one in self._world.machines.values()} - {"deliveries", "booking"}))
        region = self._rng.choice(sorted(set(self._world.deployment.halls.values())))
        cellar = self._daemon("cellar")
        if cellar:
            self._do("pin", service, region, cellar)
        if self._rng.random() < 0.3 and cellar:
            self._do("pin", service, region, self._daemon("cellar"))
        if self._rng.random() < 0.3 and cellar:
            self._do("put-invalid", self._rng.choice(["weights", "hall", "field", "text"]), cellar)
        self._later(0.1, 3.0, "read-back")

    def _fault_empty(self) -> None:
        hall = self._rng.choice(sorted(self._world.deployment.halls))
        if not self._emptied:
            self._emptied = hall
            self._do("empty", hall, "confirm")
            self._later(8.0, 12.0, "refill", hall)
            self._world.clock.after(13.0, lambda: setattr(self, "_emptied", ""))

    def _fault_hall(self) -> None:
        if self._cellars_down:
            return
        hall = self._rng.choice(sorted(self._world.deployment.halls))
        self._cellars_down += 1
        self._do("power-off", hall)
        self._do("worker-down", hall)
        self._later(3.0, 8.0, "start", hall)
        self._later(3.0, 8.0, "worker-up", hall)

        def back() -> None:
            self._cellars_down -= 1
        self._world.clock.after(10.0, back)

    def _fault_repeats(self) -> None:
        key = f"rep{self._rng.randrange(10 ** 6)}"
        tenant, path = self._rng.choice([(one.tenant, one.path) for one in self._world.deployment.callers if one.unsafe])
        for turn in range(1, 5):
            name = self._daemon("sommelier")
            if name:
                self._later(0.0, 2.5 * turn, "order", tenant, path, key, name, str(turn - 1))
