"""Mixed troubles drawn by seed.

Every kind that the users name, at most as many losses at once as must be borne, and a closing fault.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.world import World

GAP = (0.4, 2.2)
"""s between two troubles."""


class Chaos:
    """Deals troubles as steps of scenarios. `deal` begins it, `close` is the closing fault."""

    def __init__(self, *, world: World, step: Callable) -> None:
        self._world, self._step = world, step
        self._rng = random.Random(f"{world.seed}/chaos")
        self._core_free = 0.0
        self._number = 1
        self._emptied = ""
        self._until = 0.0
        self._deck: list = []

    def deal(self, *, seconds: float) -> None:
        """Trouble for so long; every kind comes up before one comes twice."""
        self._until = self._world.clock.now + seconds
        self._next()

    def close(self) -> None:
        """A change, and at its acknowledgement the closing fault; then all comes back, and the change is read back."""
        rng, world = self._rng, self._world
        core = rng.choice(self._core())
        self._do("slow-disk", "core", "10")
        way = rng.choice(("power", "kill", "wipe", "wipe-and-power"))
        if way == "power":
            self._do("on-ack", "dark", "all")
        elif way == "kill":
            self._do("on-ack", "kill", "controller@all")
            self._do("on-ack", "kill", "proxy@all")
        else:
            self._do("on-ack", "dark", core, "wipe")
            if way == "wipe-and-power":
                self._do("on-ack", "dark", "all")
        self._change(first=core if rng.random() < 0.5 else "")
        for delay, verb, words in ((6.0, "light", ("all",)), (24.0, "read-back", ())):
            world.clock.after(delay, lambda verb=verb, words=words: self._do(verb, *words))

    def _next(self) -> None:
        world = self._world
        if world.clock.now >= self._until:
            if self._emptied:
                self._do("take-back", self._emptied)
                self._emptied = ""
            return
        self._deck = self._deck or self._rng.sample(sorted(KINDS), len(KINDS))
        kind = self._deck.pop()
        if KINDS[kind](self):
            world.history.add(t=world.clock.now, k="chaos", kind=kind)
        world.clock.after(self._rng.uniform(*GAP), self._next)

    def _do(self, verb: str, *words: str) -> None:
        self._step(verb=verb, words=words)

    def _later(self, delay: float, verb: str, *words: str) -> None:
        self._world.clock.after(delay, lambda: self._do(verb, *words))

    def _core(self) -> list[str]:
        return [
            machine.node.name
            for machine in self._world.machines.values()
            if "controller" in machine.processes and not machine.is_removed
        ]

    def _machine(self) -> str:
        return self._rng.choice(
            [
                machine.node.name
                for machine in self._world.machines.values()
                if not machine.is_removed and not machine.is_powered_off
            ]
        )

    def _plain(self) -> str:
        return self._rng.choice(
            [
                machine.node.name
                for machine in self._world.machines.values()
                if "controller" not in machine.processes and not machine.is_powered_off
            ]
        )

    def _zone(self) -> str:
        return self._rng.choice(sorted(self._world.deployment.zones))

    def _worker(self) -> str:
        served = self._rng.choice(self._world.deployment.services)
        return f"{served.name}@{self._zone()}"

    def _takes_core(self, *, seconds: float) -> bool:
        """Is the core whole, so that a machine of it may be lost for so long?

        It counts as lost until it has caught up.
        """
        now, bounds = self._world.clock.now, self._world.deployment.bounds
        if now < self._core_free:
            return False
        self._core_free = now + seconds + bounds["catch_up_s"] + 0.5
        return True

    def _kill_proxy(self) -> bool:
        self._do("kill", f"proxy@{self._plain()}")
        return True

    def _kill_controller(self) -> bool:
        if not self._takes_core(seconds=0.5):
            return False
        self._do("kill", f"controller@{self._rng.choice(self._core())}")
        return True

    def _herd(self) -> bool:
        if not self._takes_core(seconds=1.0):
            return False
        self._do("kill", "controller@all")
        if self._rng.random() < 0.5:
            self._do("kill", "proxy@all")
        return True

    def _dark(self) -> bool:
        seconds = self._rng.uniform(0.5, 5.0)
        if not self._takes_core(seconds=seconds):
            return False
        where = self._rng.choice(self._core())
        self._do("dark", where, *(("wipe",) if self._rng.random() < 0.5 else ()))
        self._later(seconds, "light", where)
        return True

    def _zone_loss(self) -> bool:
        seconds = self._rng.uniform(2.0, 5.0)
        if not self._takes_core(seconds=seconds):
            return False
        zone = self._zone()
        self._do("dark", zone)
        self._later(seconds, "light", zone)
        return True

    def _replace(self) -> bool:
        if not self._takes_core(seconds=3.0):
            return False
        self._do("replace", self._rng.choice(self._core()))
        return True

    def _cut_core(self) -> bool:
        seconds = self._rng.uniform(1.0, 5.0)
        if not self._takes_core(seconds=seconds):
            return False
        left, right = self._rng.choice((("gdl", "ens"), (self._rng.choice(self._core()), "core")))
        self._do("cut", left, right, f"{seconds:.2f}")
        return True

    def _cut_machine(self) -> bool:
        if self._world.clock.now < self._core_free:
            return False
        self._do(
            "cut",
            self._plain(),
            self._rng.choice(("core+plain+worker", "core", "worker")),
            f"{self._rng.uniform(0.5, 5.0):.2f}",
        )
        return True

    def _freeze(self) -> bool:
        if self._rng.random() < 0.5:
            self._do("freeze", f"proxy@{self._machine()}", f"{self._rng.uniform(0.3, 4.0):.2f}")
        elif self._takes_core(seconds=4.0):
            self._do("freeze", f"controller@{self._rng.choice(self._core())}", f"{self._rng.uniform(0.3, 4.0):.2f}")
        return True

    def _stop(self) -> bool:
        if not self._takes_core(seconds=7.0):
            return False
        where = self._machine()
        self._do("stop", f"proxy@{where}")
        self._do("stop", f"controller@{where}")
        return True

    def _fill(self) -> bool:
        seconds = self._rng.uniform(1.0, 5.0)
        if not self._takes_core(seconds=seconds):
            return False
        self._do("fill", self._rng.choice(self._core()), f"{seconds:.2f}")
        return True

    def _clock(self) -> bool:
        where = self._machine()
        self._do("clock-step", where, f"{self._rng.uniform(-8.0, 8.0):.2f}")
        if self._rng.random() < 0.5:
            self._do("kill", f"proxy@{where}")
        return True

    def _list(self) -> bool:
        self._do("list-down", f"{self._rng.uniform(0.5, 3.0):.2f}")
        return True

    def _crash(self) -> bool:
        worker = self._worker()
        self._do("crash", worker, *(("silent",) if self._rng.random() < 0.5 else ()))
        self._later(self._rng.uniform(1.0, 4.0), "add", *worker.split("@"))
        return True

    def _drain(self) -> bool:
        worker = self._worker()
        self._do("drain", worker)
        self._later(self._rng.uniform(0.0, 4.0), "add", *worker.split("@"))
        return True

    def _reuse(self) -> bool:
        worker = self._worker()
        served = self._rng.choice(self._world.deployment.services).name
        self._do(self._rng.choice(("reuse", "reuse-crashed")), worker, served)
        self._later(3.0, "add", *worker.split("@"))
        return True

    def _add(self) -> bool:
        self._do("add", *self._worker().split("@"))
        return True

    def _chill(self) -> bool:
        self._do("chill", self._zone() if self._rng.random() < 0.3 else self._worker())
        return True

    def _garble(self) -> bool:
        self._do(self._rng.choice(("garble", "lose")), self._worker(), f"{self._rng.uniform(0.5, 5.0):.2f}")
        return True

    def _evacuate(self) -> bool:
        if self._emptied:
            if self._rng.random() < 0.5:
                self._do("chill", self._emptied)
            self._do("take-back", self._emptied)
            self._emptied = ""
        else:
            self._emptied = self._zone()
            self._do("evacuate", self._emptied)
        return True

    def _change(self, *, first: str = "") -> bool:
        self._number += self._rng.randrange(1, 5)
        at = (f"at={first}",) if first else ()
        route, services = self._rng.choice(
            (
                ("notes-read", ("notes", "tracks")),
                ("track-read", ("tracks", "orders")),
                ("order-place", ("orders", "notes")),
            )
        )
        words = [f"{name}={self._rng.randrange(0, 4)}" for name in services[1:]] + [f"{services[0]}=1"]
        if self._rng.random() < 0.6:
            self._do("patch", str(self._number), route, *words, *at)
        else:
            self._do("split", route, *words)
            self._do("grow", str(self._rng.randrange(0, 30)))
            self._do("put", str(self._number), *at)
        return True

    def _race(self) -> bool:
        self._change(first=self._rng.choice(self._core()))
        self._change(first=self._rng.choice(self._core()))
        return True

    def _invalid(self) -> bool:
        self._number += 1
        self._do(
            "put-invalid", str(self._number), self._rng.choice(("weight", "service", "tries", "kind", "host", "older"))
        )
        return True

    def _hot(self) -> bool:
        self._do("hot-key", "3", "2", str(self._rng.randrange(1 << 16)))
        return True


KINDS: dict[str, Callable[[Chaos], bool]] = {
    "kill-proxy": Chaos._kill_proxy,
    "kill-controller": Chaos._kill_controller,
    "herd": Chaos._herd,
    "dark": Chaos._dark,
    "zone": Chaos._zone_loss,
    "replace": Chaos._replace,
    "cut-core": Chaos._cut_core,
    "cut-machine": Chaos._cut_machine,
    "freeze": Chaos._freeze,
    "stop": Chaos._stop,
    "fill": Chaos._fill,
    "clock": Chaos._clock,
    "list": Chaos._list,
    "crash": Chaos._crash,
    "drain": Chaos._drain,
    "reuse": Chaos._reuse,
    "add": Chaos._add,
    "chill": Chaos._chill,
    "garble": Chaos._garble,
    "evacuate": Chaos._evacuate,
    "change": Chaos._change,
    "race": Chaos._race,
    "invalid": Chaos._invalid,
    "hot": Chaos._hot,
}
