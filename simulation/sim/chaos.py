"""Chaos runs: seeded faults of every kind that the users name, drawn without replacement, then a major loss."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from simulation.sim.chaos_context import ChaosContext, NoDaemonUp
from simulation.sim.chaos_machines import MACHINE_KINDS
from simulation.sim.chaos_workers import WORKER_KINDS

if TYPE_CHECKING:
    from simulation.sim.world import World

KINDS = {**MACHINE_KINDS, **WORKER_KINDS}
MAJOR_LOSSES = ("everything", "region", "core", "proxies", "disks")


class Chaos:
    """Injects faults: `step` the next one, `inject_major_loss` the last one of a long run."""

    def __init__(self, *, world: World, step: Callable) -> None:
        self._world = world
        self._rng = random.Random(f"{world.seed}/chaos")
        self._context = ChaosContext(world=world, rng=self._rng, step=step)
        self._undrawn_kinds: list = []

    def step(self, *, until: float) -> None:
        """Inject one fault now and schedule the next, until `until`."""
        now = self._world.clock.now
        if now >= until:
            return
        kind = self._draw_kind()
        # a kind that is impossible until an earlier loss is repaired is tried again at the end of the round
        try:
            did_happen = KINDS[kind](self._context)
        except NoDaemonUp:
            did_happen = False
        if did_happen:
            self._world.history.add(t=now, k="chaos", kind=kind)
        else:
            self._undrawn_kinds.insert(0, kind)
        self._world.clock.after(self._rng.uniform(0.8, 3.0), lambda: self.step(until=until))

    def inject_major_loss(self) -> None:
        """Inject a major loss, chosen by the seed, and start the machines again ten seconds later."""
        kind = MAJOR_LOSSES[self._world.seed % len(MAJOR_LOSSES)]
        self._world.history.add(t=self._world.clock.now, k="closing", kind=kind)
        context, regions = self._context, sorted(set(self._world.deployment.zones.values()))
        lost = {
            "everything": ["all"],
            "region": [regions[0]],
            "core": ["controller"],
            "proxies": ["proxy"],
            "disks": ["all"],
        }[kind]
        controller = next(name for name, node in self._world.nodes.items() if node.location.kind == "controller")
        context.do("power-off" if kind != "proxies" else "kill", *lost)
        if kind in ("everything", "region", "disks"):
            context.do("worker-down", *lost)
            context.do_later(10.0, 10.0, "worker-up", *lost)
        if kind == "disks" and self._world.clock.now >= context.disk_loss_allowed_at:
            context.do("wipe", controller)
        context.do_later(10.0, 10.0, "start", *lost)

    def _draw_kind(self) -> str:
        if not self._undrawn_kinds:
            # two consecutive seeds cover every kind, because each begins with a different half
            kinds = sorted(KINDS)
            halves = [kinds[0::2], kinds[1::2]]
            for half in halves:
                self._rng.shuffle(half)
            first = self._world.seed % 2
            self._undrawn_kinds = [*halves[1 - first], *halves[first]]
        return self._undrawn_kinds.pop()
