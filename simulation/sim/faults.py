"""Runs the steps of a scenario on the simulated fleet and records which of them are faults."""

from __future__ import annotations

import inspect
import json
from typing import TYPE_CHECKING

from simulation.sim.callers import Callers
from simulation.sim.chaos import Chaos
from simulation.sim.operators import Operators
from simulation.sim.verbs.callers import CallerVerbs
from simulation.sim.verbs.daemons import DaemonVerbs
from simulation.sim.verbs.operators import OperatorVerbs
from simulation.sim.verbs.workers import WorkerVerbs

if TYPE_CHECKING:
    from simulation.sim.world import World

VERB_CLASSES = (CallerVerbs, OperatorVerbs, DaemonVerbs, WorkerVerbs)
HARMLESS_VERBS = frozenset(
    {
        "ready",
        "load",
        "put",
        "split",
        "pin",
        "patch",
        "put-invalid",
        "read-back",
        "order",
        "order-timed",
        "on-accept",
        "on-accept-soon",
        "chaos",
        "closing",
        "put-large",
        "put-stamped",
        "worker-replace-if",
        "empty",
        "refill",
        "join",
        "found-anew",
        "worker-add",
        "start",
        "thaw",
        "mend-sync",
        "free-disk",
        "worker-up",
        "worker-thaw",
        "worker-gone-if",
        "workers-careless",
    }
)
"""Verbs that are no fault by themselves, or that end one."""


class FaultInjector:
    """Runs scenario steps."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self.callers = Callers(world=world)
        self.operators = Operators(world=world)
        self._verb_groups = (
            CallerVerbs(world=world, callers=self.callers),
            OperatorVerbs(world=world, operators=self.operators, step=self.step),
            DaemonVerbs(world=world),
            WorkerVerbs(world=world),
        )
        self._chaos = Chaos(world=world, step=self.step)

    def step(self, *, verb: str, words: list[str]) -> None:
        """Run one step: a verb and its words."""
        if verb not in HARMLESS_VERBS:
            self._world.history.add(t=self._world.clock.now, k="trouble", verb=verb, words=words)
        if verb == "chaos":
            self._chaos.step(until=self._world.clock.now + float(words[0]))
            return
        if verb == "closing":
            self._chaos.inject_major_loss()
            return
        group = next(group for group in self._verb_groups if hasattr(group, method_name(verb=verb)))
        getattr(group, method_name(verb=verb))(*words)

    def record_stored_results(self) -> None:
        """Record which tenants' results each proxy stores."""
        world = self._world
        tenants = {row["nonce"]: row["tenant"] for row in world.history.of(k="sent")}
        for node in world.nodes.values():
            if node.location.kind != "proxy" or node.owner is None:
                continue
            claims = node.owner.claims
            for memory in [*claims.cache.by_digest.values(), *claims.replicas.replicas.values()]:
                tenant = tenants.get(_nonce_of(body=memory.body))
                if tenant:
                    world.history.add(
                        t=world.clock.now,
                        k="stored",
                        tenant=tenant,
                        region=node.location.region,
                        where=node.location.name,
                    )


def _nonce_of(*, body: bytes) -> str:
    try:
        return json.loads(body).get("nonce", "") if body else ""
    except ValueError:
        return ""


def method_name(*, verb: str) -> str:
    """The name of the method that implements a verb."""
    return "do_" + verb.replace("-", "_")


def find_fault(*, verb: str, words: list[str]) -> str:
    """The error in a step as written, or ""."""
    if verb == "chaos":
        return "" if len(words) == 1 and words[0].replace(".", "", 1).isdigit() else "chaos takes a number of seconds"
    if verb == "closing":
        return "closing takes no words" if words else ""
    method = next(
        (getattr(group, method_name(verb=verb)) for group in VERB_CLASSES if hasattr(group, method_name(verb=verb))),
        None,
    )
    if method is None:
        return f"unknown verb {verb!r}"
    try:
        inspect.signature(method).bind(None, *words)
    except TypeError as error:
        return f"{verb}: {error}"
    return ""
