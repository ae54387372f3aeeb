"""The slot moves of all divided services, each minded by the one controller that hashing names."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.learner import HeldBook
from sailward.control.proxies.aggregated_health import Standing
from sailward.control.proxies.subscribers import Subscriber
from sailward.control.shards.quiescence import Witness
from sailward.control.shards.shard_assignment import Assigning, Scene
from sailward.discovery.endpoint_table import WorkerBook
from sailward.discovery.rendezvous import choose_names
from sailward.routing.plan import Plan
from sailward.routing.routing_state import read_orders
from sailward.routing.shard_owners import PREFIX


@dataclass(kw_only=True)
class Moves:
    """Owner of the moves. `step` gives the changes to begin as (register, expected number, text)."""

    plan: Plan = field(default_factory=Plan)
    book: WorkerBook = field(default_factory=WorkerBook)
    assigning: dict = field(default_factory=dict)
    looked: float = -1e9

    def step(
        self,
        *,
        now: float,
        own: str,
        controllers: list[dict],
        held: HeldBook,
        standing: Standing,
        workers: dict | None,
        epoch: int,
        proxies: list[Subscriber],
    ) -> list[tuple[str, int, str]]:
        """Look at each divided service that this controller minds; `epoch` is that of the list of workers."""
        if now - self.looked < constants.ASSIGN_EVERY or workers is None:
            return []
        self.looked = now
        divided = [service for service in self.plan.services.values() if service.slots]
        if not divided:
            return []
        if (epoch, workers["number"]) > self.book.revision:
            self.book.step(epoch=epoch, revision=workers["number"], workers=json.loads(workers["text"]))
        well = {one["identity"] for one in controllers if one["fit"]}
        scene = self._scene(held=held, standing=standing, proxies=proxies)
        changes = []
        for service in divided:
            name = PREFIX + service.name
            if choose_names(key=name, names=well, count=1) != [own]:
                self.assigning.pop(name, None)
                continue
            value = held.held[name].value if name in held.held else {"number": 0, "text": ""}
            assigning = self.assigning.setdefault(name, Assigning())
            witness = Witness(
                service=service.name,
                number=value["number"],
                members=held.voters()["members"],
                controllers=controllers,
                proxies=proxies,
            )
            text = assigning.step(now=now, service=service, text=value["text"], scene=scene, witness=witness)
            if text:
                changes.append((name, value["number"], text))
        return changes

    def _scene(self, *, held: HeldBook, standing: Standing, proxies: list[Subscriber]) -> Scene:
        emptied = read_orders(value=held.held["orders"].value) if "orders" in held.held else frozenset()
        drained = frozenset(place for place, hall in standing.book.halls.items() if hall.drained)
        fresh = [
            one.report["warm"]
            for one in proxies
            if one.report.get("warm") is not None and not one.report.get("suspect")
        ]
        counts: dict[str, int] = {}
        for warm in fresh:
            for key in warm:
                counts[key] = counts.get(key, 0) + 1
        healthy = frozenset(key for key, count in counts.items() if 2 * count > len(fresh))
        return Scene(plan=self.plan, emptied=emptied, drained=drained, workers=self.book.workers, healthy=healthy)
