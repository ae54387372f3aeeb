"""A controller's part in the leases of services that are sharded by key range.

Determines which controller grants, until when its copy of the register is known to be the newest, and the inputs of
the grants.
"""

from __future__ import annotations

from dataclasses import replace

from sailward import constants
from sailward.consensus.acceptor import newest_vote
from sailward.consensus.proposer import EMPTY_VALUE, StartOperation, StepResult
from sailward.control.endpoints.endpoint_list import EndpointList
from sailward.control.grant_codec import GrantCodec
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.voter import Voter
from sailward.control.proxies.proxy_registry import ProxyRegistry
from sailward.control.proxies.subscribers import Subscribers
from sailward.control.shards.freshness import Freshness
from sailward.control.shards.grant_calls import NEVER
from sailward.control.shards.grant_targets import GrantContext
from sailward.control.shards.granting import Granting
from sailward.control.shards.shard_moves import ShardMoves
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.peer_table import PeerTable
from sailward.discovery.rendezvous import choose_names
from sailward.events import CallFinished, Command, SendMessage
from sailward.routing.routing_state import read_orders
from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.wire_types import Message, RegisterValue


class ShardLeases:
    """Runs the grants of one controller.

    `step` takes the result of a call, or None for a timer tick; `receive` takes a message.
    """

    def __init__(
        self,
        *,
        voter: Voter,
        peer_table: PeerTable,
        catch_up: CatchUp,
        shard_moves: ShardMoves,
        endpoint_list: EndpointList,
        proxy_registry: ProxyRegistry,
        subscribers: Subscribers,
        codec: GrantCodec,
        lease_max: float,
        op_prefix: str,
    ) -> None:
        self._voter, self._peer_table, self._catch_up, self._shard_moves = voter, peer_table, catch_up, shard_moves
        self._endpoint_list, self._proxy_registry, self._subscribers = endpoint_list, proxy_registry, subscribers
        self._codec, self._lease_max, self._op_prefix = codec, lease_max, op_prefix
        self.freshness = Freshness()
        self.granting: dict[str, Granting] = {}
        self._adopted_list: RegisterValue | None = None
        self._workers: dict[str, Worker] = {}
        self._slow_start_until: dict[str, float] = {}
        self._restored_at: dict[str, float] = {}
        self._evacuated_zones: frozenset = frozenset()
        self._down_since: dict[str, float] = {}
        self._cached_loads: dict[str, tuple[float, dict]] = {}
        self._operation_count = 0

    def receive(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Answer another controller's request for a confirmation, or record an answer."""
        voter = self._voter
        if body["kind"] == "confirm":
            known, learned = voter.voters.number, voter.learner.values.get("voters")
            if voter.is_voting and body["voters"] < known and learned is not None:
                return [
                    SendMessage(
                        to=sender,
                        body={"kind": "chosen", "register": "voters", "ballot": learned.ballot, "value": learned.value},
                    )
                ]
            if not voter.is_voting or body["voters"] != known:
                return []
            newest = {
                name: newest_vote(slots=voter.acceptor.slots, name=name)
                for name in body["registers"]
                if isinstance(name, str)
            }
            reply = SendMessage(
                to=sender, body={"kind": "confirmed", "seq": body["seq"], "identity": voter.identity, "newest": newest}
            )
            # a vote that is not yet synced may be lost: the reply is sent after the disk sync
            return voter.write_ahead.step(records=[], replies=[reply])
        for name, newest in body["newest"].items():
            if isinstance(newest, list) and newest and newest[0] > voter.learner.number(name=name):
                # chosen or not, it is newer than the value that grants would be based on
                self._catch_up.record_stale(now=now, name=name)
        return self.freshness.step(
            now=now,
            body=body,
            members=voter.voters.members,
            number=voter.voters.number,
            own_identity=voter.identity,
            registers=[],
        )

    def step(self, *, now: float, event: CallFinished | None) -> StepResult:
        """Step the grants of each service that is sharded by key range; returns (commands, operations to start)."""
        services = sorted(name for name, service in self._shard_moves.plan.services.items() if service.is_ranged)
        if event is not None:
            callers = [name for name, granting in self.granting.items() if granting.is_own(token=event.token)]
            services = [name for name in callers if name in services]
            if not services or self._endpoint_list.value is None:
                return StepResult(self._record_results(now=now, callers=callers, event=event), [])
        if not services or self._endpoint_list.value is None:
            return StepResult([], [])
        self._update_endpoints(now=now)
        granted_services = self._choose_granted_services(services=services, may_set_load_readers=event is None)
        commands = self._step_freshness(now=now, granted_services=granted_services) if event is None else []
        operations: list[StartOperation] = []
        for name in services:
            granting = self.granting.get(name)
            if granting is None:
                granting = self.granting[name] = Granting(service=name, own_name=self._op_prefix, codec=self._codec)
            context = self._grant_context(now=now, service=name, is_acting=name in granted_services)
            granting_commands, changes = granting.step(now=now, event=event, context=context)
            commands += granting_commands
            operations += [
                self._change(register=register, expected=number, text=text) for register, number, text in changes
            ]
        return StepResult(commands, operations)

    def _record_results(self, *, now: float, callers: list[str], event: CallFinished) -> list[Command]:
        """Record the result of a call for a service that is not sharded now: it may be sharded again later."""
        return [command for name in callers for command in self.granting[name].record_result(now=now, event=event)]

    def _choose_granted_services(self, *, services: list[str], may_set_load_readers: bool) -> list[str]:
        """The services whose leases this controller grants: hashing chooses one voter for each."""
        controllers = [*self._peer_table.alive(kind="controller"), self._peer_table.own_entry()]
        fit_controllers = {peer["identity"]: peer["post"] for peer in controllers if peer["fit"]}
        chosen_voters = (
            {
                name: choose_names(key=SHARD_REGISTER_PREFIX + name, names=set(fit_controllers), count=1)[0]
                for name in services
            }
            if fit_controllers
            else {}
        )
        if may_set_load_readers:
            self._proxy_registry.load_readers = frozenset(
                fit_controllers[voter_identity] for voter_identity in chosen_voters.values()
            )
        return [
            name
            for name, voter_identity in chosen_voters.items()
            if self._voter.is_voting and voter_identity == self._voter.identity
        ]

    def _step_freshness(self, *, now: float, granted_services: list[str]) -> list[Command]:
        voter = self._voter
        return self.freshness.step(
            now=now,
            body=None,
            members=voter.voters.members,
            number=voter.voters.number,
            own_identity=voter.identity,
            registers=[SHARD_REGISTER_PREFIX + name for name in granted_services],
        )

    def _grant_context(self, *, now: float, service: str, is_acting: bool) -> GrantContext:
        """The current inputs of the granting of one service."""
        voter = self._voter
        learned = voter.learner.values.get(SHARD_REGISTER_PREFIX + service)
        fresh_until = self.freshness.lease_until(
            now=now,
            register=SHARD_REGISTER_PREFIX + service,
            learner=voter.learner,
            members=voter.voters.members,
            own_identity=voter.identity,
            slots=voter.acceptor.slots,
        )
        return GrantContext(
            value=learned.value if learned else EMPTY_VALUE,
            workers=self._workers,
            fresh_until=fresh_until,
            is_acting=is_acting,
            evacuated_zones=self._evacuated_zones,
            down_since=self._down_since,
            lease_max=self._lease_max,
            **self._loads_of(now=now, service=service, is_acting=is_acting),
        )

    def _change(self, *, register: str, expected: int, text: str) -> StartOperation:
        self._operation_count += 1
        op = f"{self._op_prefix}/grant{self._operation_count}"
        return StartOperation(
            op=op, register=register, expected=expected, text=text, timeout=constants.GRANT_CONFIRMATION_TTL
        )

    def _loads_of(self, *, now: float, service: str, is_acting: bool) -> dict:
        """Loads and latencies for the acting controller, recomputed at intervals."""
        if not is_acting:
            self._cached_loads.pop(service, None)
            return {}
        at, inputs = self._cached_loads.get(service, (-1e9, {}))
        if now - at >= constants.GRANT_CHECK_INTERVAL:
            latencies = {
                key: latency
                for key, latency in self._proxy_registry.latencies(now=now).items()
                if key in self._workers and self._workers[key].service == service
            }
            inputs = {"loads": self._proxy_registry.loads(now=now, service=service), "latencies": latencies}
            self._cached_loads[service] = now, inputs
        return inputs

    def _update_endpoints(self, *, now: float) -> None:
        """Update workers, evacuated zones and unreachable workers from the endpoint list, orders and proxy reports."""
        voter = self._voter
        orders = voter.learner.values.get("orders")
        evacuated_zones = read_orders(value=orders.value) if orders else frozenset()
        if self._endpoint_list.value is not self._adopted_list:
            self._adopted_list = self._endpoint_list.value
            self._workers = {}
            for row in self._endpoint_list.rows():
                self._workers[row["id"]] = Worker(
                    name=row["id"],
                    generation=0,
                    service=row["service"],
                    address=row["address"],
                    zone=row["hall"],
                    leaving=row["leaving"],
                    capacity=row["capacity"],
                    slow_start=row["cold_s"],
                    is_incarnation=True,
                )
                if row["cold_s"] > 0:
                    self._slow_start_until.setdefault(row["id"], now + row["cold_s"])
            self._slow_start_until = {key: at for key, at in self._slow_start_until.items() if key in self._workers}
        restored_zones = self._evacuated_zones - evacuated_zones
        self._restored_at = {
            key: now if worker.zone in restored_zones else self._restored_at[key]
            for key, worker in self._workers.items()
            if worker.zone in restored_zones or key in self._restored_at
        }
        self._evacuated_zones = evacuated_zones
        self._workers = {
            key: replace(worker, slow_start=max(0.0, self._slow_start_end(worker=worker) - now))
            for key, worker in self._workers.items()
        }
        reports = self._proxy_registry.down(now=now, proxies=self._subscribers.proxies())
        down = {key for key, (count, reporting) in reports.items() if 2 * count > reporting}
        self._down_since = {key: self._down_since.get(key, now) for key in down}

    def _slow_start_end(self, *, worker: Worker) -> float:
        """The end of a worker's slow start: as listed, or as the configuration now has it after an evacuation."""
        listed: float = self._slow_start_until.get(worker.key, NEVER)
        restored_at = self._restored_at.get(worker.key)
        service = self._shard_moves.plan.services.get(worker.service)
        if service is None or restored_at is None:
            return listed
        configured: float = restored_at + service.slow_start + constants.SLOW_START_MARGIN
        return max(listed, configured)
