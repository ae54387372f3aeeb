"""Mixed faults drawn by seed while a scenario runs.

They are of every kind that the contract names, with at most as many machines lost at once as must be tolerated, and
end with a closing fault.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.world import World

GAP = (0.4, 2.2)
"""s between two faults."""


class Chaos:
    """Draws faults and runs them as steps of the scenario. `begin` starts this; `add_closing_fault` ends it."""

    def __init__(self, *, world: World, step: Callable) -> None:
        self._world, self._step = world, step
        self._rng = random.Random(f"{world.seed}/chaos")
        self._core_free_at = 0.0
        self._version_number = 1
        self._evacuated_zone = ""
        self._until = 0.0
        self._remaining_kinds: list = []

    def begin(self, *, seconds: float) -> None:
        """Draw faults for so many s; every kind is drawn once before any is drawn again."""
        self._until = self._world.clock.now + seconds
        self._add_next_fault()

    def add_closing_fault(self) -> None:
        """Send a change, cause a fault at its acknowledgement, restore power to all, and read the change back."""
        rng, world = self._rng, self._world
        core = rng.choice(self._core())
        self._run_step("slow-disk", "core", "10")
        closing = rng.choice(("power", "kill", "wipe", "wipe-and-power"))
        if closing == "power":
            self._run_step("on-ack", "dark", "all")
        elif closing == "kill":
            self._run_step("on-ack", "kill", "controller@all")
            self._run_step("on-ack", "kill", "proxy@all")
        else:
            self._run_step("on-ack", "dark", core, "wipe")
            if closing == "wipe-and-power":
                self._run_step("on-ack", "dark", "all")
        self._change(first=core if rng.random() < 0.5 else "")
        for delay, verb, words in ((6.0, "light", ("all",)), (24.0, "read-back", ())):
            world.clock.after(delay, lambda verb=verb, words=words: self._run_step(verb, *words))

    def _add_next_fault(self) -> None:
        world = self._world
        if world.clock.now >= self._until:
            if self._evacuated_zone:
                self._run_step("take-back", self._evacuated_zone)
                self._evacuated_zone = ""
            return
        self._remaining_kinds = self._remaining_kinds or self._rng.sample(sorted(KINDS), len(KINDS))
        kind = self._remaining_kinds.pop()
        if KINDS[kind](self):
            world.history.add(t=world.clock.now, k="chaos", kind=kind)
        world.clock.after(self._rng.uniform(*GAP), self._add_next_fault)

    def _run_step(self, verb: str, *words: str) -> None:
        self._step(verb=verb, words=words)

    def _run_step_later(self, delay: float, verb: str, *words: str) -> None:
        self._world.clock.after(delay, lambda: self._run_step(verb, *words))

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

    def _reserve_core(self, *, seconds: float) -> bool:
        """Reserve the loss of a core machine for so long; False if another one still counts as lost.

        A machine counts as lost until it has caught up.
        """
        now, bounds = self._world.clock.now, self._world.deployment.bounds
        if now < self._core_free_at:
            return False
        self._core_free_at = now + seconds + bounds["catch_up_s"] + 0.5
        return True

    def _kill_proxy(self) -> bool:
        self._run_step("kill", f"proxy@{self._plain()}")
        return True

    def _kill_controller(self) -> bool:
        if not self._reserve_core(seconds=0.5):
            return False
        self._run_step("kill", f"controller@{self._rng.choice(self._core())}")
        return True

    def _herd(self) -> bool:
        if not self._reserve_core(seconds=1.0):
            return False
        self._run_step("kill", "controller@all")
        if self._rng.random() < 0.5:
            self._run_step("kill", "proxy@all")
        return True

    def _dark(self) -> bool:
        seconds = self._rng.uniform(0.5, 5.0)
        if not self._reserve_core(seconds=seconds):
            return False
        machine = self._rng.choice(self._core())
        self._run_step("dark", machine, *(("wipe",) if self._rng.random() < 0.5 else ()))
        self._run_step_later(seconds, "light", machine)
        return True

    def _zone_loss(self) -> bool:
        seconds = self._rng.uniform(2.0, 5.0)
        if not self._reserve_core(seconds=seconds):
            return False
        zone = self._zone()
        self._run_step("dark", zone)
        self._run_step_later(seconds, "light", zone)
        return True

    def _replace(self) -> bool:
        if not self._reserve_core(seconds=3.0):
            return False
        self._run_step("replace", self._rng.choice(self._core()))
        return True

    def _cut_core(self) -> bool:
        seconds = self._rng.uniform(1.0, 5.0)
        if not self._reserve_core(seconds=seconds):
            return False
        left, right = self._rng.choice((("gdl", "ens"), (self._rng.choice(self._core()), "core")))
        self._run_step("cut", left, right, f"{seconds:.2f}")
        return True

    def _cut_machine(self) -> bool:
        if self._world.clock.now < self._core_free_at:
            return False
        self._run_step(
            "cut",
            self._plain(),
            self._rng.choice(("core+plain+worker", "core", "worker")),
            f"{self._rng.uniform(0.5, 5.0):.2f}",
        )
        return True

    def _freeze(self) -> bool:
        if self._rng.random() < 0.5:
            self._run_step("freeze", f"proxy@{self._machine()}", f"{self._rng.uniform(0.3, 4.0):.2f}")
        elif self._reserve_core(seconds=4.0):
            self._run_step(
                "freeze", f"controller@{self._rng.choice(self._core())}", f"{self._rng.uniform(0.3, 4.0):.2f}"
            )
        return True

    def _stop(self) -> bool:
        if not self._reserve_core(seconds=7.0):
            return False
        machine = self._machine()
        self._run_step("stop", f"proxy@{machine}")
        self._run_step("stop", f"controller@{machine}")
        return True

    def _fill(self) -> bool:
        seconds = self._rng.uniform(1.0, 5.0)
        if not self._reserve_core(seconds=seconds):
            return False
        self._run_step("fill", self._rng.choice(self._core()), f"{seconds:.2f}")
        return True

    def _clock(self) -> bool:
        machine = self._machine()
        self._run_step("clock-step", machine, f"{self._rng.uniform(-8.0, 8.0):.2f}")
        if self._rng.random() < 0.5:
            self._run_step("kill", f"proxy@{machine}")
        return True

    def _list(self) -> bool:
        self._run_step("list-down", f"{self._rng.uniform(0.5, 3.0):.2f}")
        return True

    def _crash(self) -> bool:
        worker = self._worker()
        self._run_step("crash", worker, *(("silent",) if self._rng.random() < 0.5 else ()))
        self._run_step_later(self._rng.uniform(1.0, 4.0), "add", *worker.split("@"))
        return True

    def _drain(self) -> bool:
        worker = self._worker()
        self._run_step("drain", worker)
        self._run_step_later(self._rng.uniform(0.0, 4.0), "add", *worker.split("@"))
        return True

    def _reuse(self) -> bool:
        worker = self._worker()
        served = self._rng.choice(self._world.deployment.services).name
        self._run_step(self._rng.choice(("reuse", "reuse-crashed")), worker, served)
        self._run_step_later(3.0, "add", *worker.split("@"))
        return True

    def _add(self) -> bool:
        self._run_step("add", *self._worker().split("@"))
        return True

    def _chill(self) -> bool:
        self._run_step("chill", self._zone() if self._rng.random() < 0.3 else self._worker())
        return True

    def _garble(self) -> bool:
        self._run_step(self._rng.choice(("garble", "lose")), self._worker(), f"{self._rng.uniform(0.5, 5.0):.2f}")
        return True

    def _evacuate(self) -> bool:
        if self._evacuated_zone:
            if self._rng.random() < 0.5:
                self._run_step("chill", self._evacuated_zone)
            self._run_step("take-back", self._evacuated_zone)
            self._evacuated_zone = ""
        else:
            self._evacuated_zone = self._zone()
            self._run_step("evacuate", self._evacuated_zone)
        return True

    def _change(self, *, first: str = "") -> bool:
        self._version_number += self._rng.randrange(1, 5)
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
            self._run_step("patch", str(self._version_number), route, *words, *at)
        else:
            self._run_step("split", route, *words)
            self._run_step("grow", str(self._rng.randrange(0, 30)))
            self._run_step("put", str(self._version_number), *at)
        return True

    def _race(self) -> bool:
        self._change(first=self._rng.choice(self._core()))
        self._change(first=self._rng.choice(self._core()))
        return True

    def _invalid(self) -> bool:
        self._version_number += 1
        self._run_step(
            "put-invalid",
            str(self._version_number),
            self._rng.choice(("weight", "service", "tries", "kind", "host", "older")),
        )
        return True

    def _hot(self) -> bool:
        self._run_step("hot-key", "3", "2", str(self._rng.randrange(1 << 16)))
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
