"""The slot moves of all services that are sharded by slot; hashing chooses the one controller responsible for each."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.learner import Learner
from sailward.control.proxies.aggregated_health import AggregatedHealth
from sailward.control.proxies.subscribers import Subscriber
from sailward.control.shards.quiescence import Quiescence
from sailward.control.shards.shard_assignment import AssignmentContext, ShardAssignment
from sailward.discovery.endpoint_table import EndpointTable
from sailward.discovery.rendezvous import choose_names
from sailward.routing.plan import Plan
from sailward.routing.routing_state import read_orders
from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.wire_types import PeerEntry, RegisterValue


@dataclass(kw_only=True)
class ShardMoves:
    """Runs the moves. `step` returns the changes to start as (register, expected number, text)."""

    plan: Plan = field(default_factory=Plan)
    table: EndpointTable = field(default_factory=EndpointTable)
    assignments: dict = field(default_factory=dict)
    last_check_at: float = -1e9

    def step(
        self,
        *,
        now: float,
        own: str,
        controllers: list[PeerEntry],
        learner: Learner,
        aggregated_health: AggregatedHealth,
        workers: RegisterValue | None,
        epoch: int,
        proxies: list[Subscriber],
    ) -> list[tuple[str, int, str]]:
        """Check each sharded service this controller is responsible for; `epoch` is that of the list of workers."""
        if now - self.last_check_at < constants.SLOT_ASSIGNMENT_INTERVAL or workers is None:
            return []
        self.last_check_at = now
        sharded_services = [service for service in self.plan.services.values() if service.slots]
        if not sharded_services:
            return []
        if (epoch, workers["number"]) > self.table.revision:
            self.table.step(epoch=epoch, revision=workers["number"], workers=json.loads(workers["text"]))
        fit_controllers = {controller["identity"] for controller in controllers if controller["fit"]}
        context = self._context(learner=learner, aggregated_health=aggregated_health, proxies=proxies)
        changes = []
        for service in sharded_services:
            name = SHARD_REGISTER_PREFIX + service.name
            if choose_names(key=name, names=fit_controllers, count=1) != [own]:
                # another controller assigns the shards of this service
                self.assignments.pop(name, None)
                continue
            value = learner.values[name].value if name in learner.values else {"number": 0, "text": ""}
            assignment = self.assignments.setdefault(name, ShardAssignment())
            quiescence = Quiescence(
                service=service.name,
                number=value["number"],
                members=learner.voters().members,
                controllers=controllers,
                proxies=proxies,
            )
            text = assignment.step(now=now, service=service, text=value["text"], context=context, quiescence=quiescence)
            if text:
                changes.append((name, value["number"], text))
        return changes

    def _context(
        self, *, learner: Learner, aggregated_health: AggregatedHealth, proxies: list[Subscriber]
    ) -> AssignmentContext:
        evacuated_zones = (
            read_orders(value=learner.values["orders"].value) if "orders" in learner.values else frozenset()
        )
        drained = frozenset(location for location, zone in aggregated_health.table.zones.items() if zone.is_drained)
        reports = [
            proxy.report["warm"]
            for proxy in proxies
            if proxy.report.get("warm") is not None and not proxy.report.get("suspect")
        ]
        counts: dict[str, int] = {}
        for healthy_workers in reports:
            for key in healthy_workers:
                counts[key] = counts.get(key, 0) + 1
        healthy = frozenset(key for key, count in counts.items() if 2 * count > len(reports))
        return AssignmentContext(
            plan=self.plan,
            evacuated_zones=evacuated_zones,
            drained_zones=drained,
            workers=self.table.workers,
            healthy=healthy,
        )
