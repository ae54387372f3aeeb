"""A proxy process that routes by tenant: lease, worker status, load balancing, requests."""

from __future__ import annotations

import random
from dataclasses import replace

from sailward import constants
from sailward.consensus.acceptor import CLAIM_PREFIX
from sailward.consensus.learner import CONTROL_REGISTERS, Learner, is_control_register
from sailward.consensus.proposer import Accepted, OperationFinished, Proposer, StartOperation
from sailward.discovery.endpoint_rows import UNREADABLE_LIST, is_generation_row, read_workers
from sailward.discovery.peer_table import Location, PeerTable
from sailward.events import (
    CallFinished,
    ClientDisconnected,
    Command,
    ConfigValidated,
    DiskWriteFailed,
    Event,
    ExitProcess,
    LogEvent,
    MessageReceived,
    RecordsSynced,
    RefusedInput,
    RequestReceived,
    SendMessage,
    ShutdownRequested,
    StartCall,
    TimerFired,
    UnexpectedEvents,
)
from sailward.routing.active_health import Prober
from sailward.routing.explain import explain
from sailward.routing.idempotency import Claims
from sailward.routing.lease import Lease
from sailward.routing.load_balancer import LoadBalancer
from sailward.routing.plan import Unreadable, load_config
from sailward.routing.proxied_request import Refusal, answer_json, answer_refusal, may_promise_not_run
from sailward.routing.proxied_requests import ProxiedRequests
from sailward.routing.result_replicas import Peer, ResultReplicas
from sailward.routing.routing_state import RoutingState, read_orders
from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.state_machines import Chart
from sailward.wire_types import Ballot, Message, RegisterValue

STOPPING = Chart(name="stopping")
PROPOSER_REPLIES = ("promise", "voted", "nack", "told")


class TenantProxy:
    """The state machine of a proxy. `step` takes one event and returns commands."""

    def __init__(self, *, location: Location, nonce: str, start: int, rng: random.Random, now: float) -> None:
        self.location = location
        self.identity = f"{location.name}#{nonce}"
        self.learner = Learner()
        self.lease = Lease(learner=self.learner)
        self.proposer = Proposer(identity=self.identity, rng=rng)
        self.peer_table = PeerTable(location=location, start=start)
        self.routing_state = RoutingState(prober=Prober(rng=rng))
        self.load_balancer = LoadBalancer(rng=rng, routing_state=self.routing_state)
        self.claims = Claims(
            identity=self.identity,
            post=location.post,
            region=location.region,
            zone=location.zone,
            replicas=ResultReplicas(region=location.region),
        )
        self.proxied_requests = ProxiedRequests(
            identity=self.identity, load_balancer=self.load_balancer, claims=self.claims
        )
        self.stopping = STOPPING.initial
        self.stop_deadline = 0.0
        self.suspects_itself = False
        self.proxy_counts: dict[str, tuple[float, int]] = {}
        self._reads_in_flight: dict[str, str] = {}
        self.unexpected, self.refused = UnexpectedEvents(), RefusedInput()
        self._zone_health_updated_at = -1e9
        self._read_count = 0

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Handle one event; returns the commands to execute."""
        return [
            replace(command, begin_by=self.lease.expires_at(voters=self.learner.voters()))
            if isinstance(command, StartCall) and command.token.startswith("x ")
            else command
            for command in self._handle(now=now, event=event)
        ]

    def _handle(self, *, now: float, event: Event) -> list[Command]:
        match event:
            case MessageReceived():
                return self._on_message(now=now, sender=event.sender, body=event.body)
            case RequestReceived():
                return self._on_request(now=now, event=event)
            case CallFinished():
                return self._on_call_finished(now=now, event=event)
            case ShutdownRequested():
                return self._begin_stop(now=now)
            case TimerFired():
                return self._on_timer(now=now)
            case ClientDisconnected():
                return self.proxied_requests.on_client_disconnected(now=now, token=event.token)
            case RecordsSynced() | DiskWriteFailed() | ConfigValidated():
                # a proxy has no disk, and validates no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    def _begin_stop(self, *, now: float) -> list[Command]:
        """Begin the shutdown; a repeated request has no effect, as the platform counts from the first."""
        if self.stopping != STOPPING.initial:
            requested_at = self.stop_deadline - constants.STOP_GRACE
            return [LogEvent(event="stop-repeated", fields={"after": round(now - requested_at, 2)})]
        self.stopping = STOPPING.step(state=self.stopping, event="stop_asked")
        self.stop_deadline = now + constants.STOP_GRACE
        return [LogEvent(event="stopping", fields={"open": len(self.proxied_requests.live)})]

    def is_acting(self, *, now: float) -> bool:
        """Does this proxy hold a valid lease and a worker list, so that it may route requests?"""
        return (
            self.lease.is_valid(now=now, voters=self.learner.voters())
            and self.routing_state.endpoint_table.revision[1] >= 0
        )

    def _on_request(self, *, now: float, event: RequestReceived) -> list[Command]:
        if event.path == "/sailward/status" and event.method == "GET":
            return [answer_json(token=event.token, code=200, body=self._build_status(now=now))]
        if event.path == "/sailward/explain" and event.method == "GET":
            explanation = explain(
                now=now, query=event.query, load_balancer=self.load_balancer, is_acting=self.is_acting(now=now)
            )
            return [answer_json(token=event.token, code=200, body=explanation)]
        if self.stopping not in STOPPING.marks["taking"]:
            refusal = Refusal(code=503, reason="stopping", detail="this proxy is stopping: ask a directory for another")
            return [answer_refusal(token=event.token, refusal=refusal, is_not_run=may_promise_not_run(event=event))]
        commands, operations = self.proxied_requests.step(now=now, event=event, is_acting=self.is_acting(now=now))
        return commands + self._start_operations(now=now, operations=operations)

    def _on_call_finished(self, *, now: float, event: CallFinished) -> list[Command]:
        if event.token.startswith("probe "):
            commands = self.routing_state.prober.step(now=now, event=event)
            return commands + self._update_zone_health(now=now) if commands else []
        return self._step_proxied_requests(now=now, event=event)

    def _step_proxied_requests(
        self, *, now: float, event: RequestReceived | CallFinished | OperationFinished | tuple[str, Message] | None
    ) -> list[Command]:
        commands, operations = self.proxied_requests.step(now=now, event=event, is_acting=self.is_acting(now=now))
        return commands + self._start_operations(now=now, operations=operations)

    def _on_message(self, *, now: float, sender: str, body: Message) -> list[Command]:
        kind = body["kind"]
        if kind in PROPOSER_REPLIES:
            commands, finished = self.proposer.step(now=now, voters=self.learner.voters(), event=(sender, body))
            return commands + self._on_operations_finished(now=now, finished=finished)
        if kind == "grant":
            return self._on_grant(now=now, sender=sender, body=body)
        if kind == "push":
            return self._on_push(now=now, sender=sender, body=body)
        if kind == "want":
            return self.learner.send(to=sender, name=body["register"])
        if kind in ("peek", "peeked", "keep"):
            return self._step_proxied_requests(now=now, event=(sender, body))
        if kind == "gossip":
            return self.peer_table.step(now=now, event=(sender, body))
        return [LogEvent(event="message-unexpected", fields={"kind": kind, "from": sender})]

    def _on_grant(self, *, now: float, sender: str, body: Message) -> list[Command]:
        self.routing_state.store_view(now=now, identity=body["identity"], view=body["view"])
        self.proxy_counts[sender] = (now, body["proxies"])
        return self._step_lease(now=now, event=(sender, body))

    def _step_lease(self, *, now: float, event: tuple | None) -> list[Command]:
        voters = self.learner.voters()
        addresses = {*voters.members.values(), *(peer["post"] for peer in self.peer_table.alive(kind="controller"))}
        epoch, revision = self.routing_state.endpoint_table.revision
        have = {**self.learner.known_versions(), "workers": [revision, str(epoch), [epoch, ""]]}
        report = {}
        if event is None:
            report = {
                **self.routing_state.report(now=now, suspect=self.suspects_itself),
                "busy": self.proxied_requests.busy(now=now),
                "rates": self.proxied_requests.rates(now=now),
            }
        return self.lease.step(
            now=now,
            event=event,
            voters=voters,
            addresses=sorted(addresses),
            report=report,
            daemon=self.peer_table.own_entry(),
            have=have,
        )

    def _on_push(self, *, now: float, sender: str, body: Message) -> list[Command]:
        name, value = body["name"], body["value"]
        ack = SendMessage(to=sender, body={"kind": "ack", "seq": body["seq"], "name": name, "number": body["number"]})
        if name == "workers":
            commands = self._apply_workers(now=now, value=value)
            # an unreadable list is not acknowledged, so that it is pushed again
            return [*commands, ack] if commands is not None else self.refused.add(kind=name, reason=UNREADABLE_LIST)
        if not is_control_register(name=name):
            return [LogEvent(event="push-unexpected", fields={"name": name})]
        commands = self._apply_register(now=now, name=name, ballot=body["ballot"], value=value)
        return [*commands, ack] if self.learner.number(name=name) >= value["number"] else commands

    def _apply_workers(self, *, now: float, value: RegisterValue) -> list[Command] | None:
        rows = read_workers(text=value["text"], check=is_generation_row)
        epoch = value["mark"]
        if rows is None or not (epoch.isascii() and epoch.removeprefix("-").isdigit() and len(epoch) < 20):
            return None
        added, removed = self.routing_state.endpoint_table.step(
            epoch=int(epoch), revision=value["number"], workers=rows
        )
        commands = self.routing_state.prober.update_workers(
            now=now,
            workers=self.routing_state.endpoint_table.workers,
            healthy_durations=self.routing_state.healthy_durations(),
        )
        if added or removed:
            commands.append(LogEvent(event="workers", fields={"came": len(added), "went": len(removed)}))
        return commands + self._update_zone_health(now=now)

    def _apply_register(self, *, now: float, name: str, ballot: Ballot, value: RegisterValue) -> list[Command]:
        plan = self.routing_state.plan
        if name == "config" and self.learner.is_newer(name=name, value=value):
            config = load_config(value=value)
            if isinstance(config, Unreadable):
                return self.refused.add(kind="config", reason=config.reason, number=value["number"])
            _, plan = config
        is_newer = self.learner.step(name=name, ballot=ballot, value=value)
        self.lease.reevaluate()
        if not is_newer:
            return []
        if name == "config":
            self.routing_state.plan = plan
        elif name == "orders":
            self.routing_state.evacuated_zones = read_orders(value=value)
        elif name.startswith(SHARD_REGISTER_PREFIX):
            self.routing_state.shard_owners.step(name=name, value=value)
        return [LogEvent(event="in-force", fields={"register": name, "number": value["number"]})]

    def _start_operations(self, *, now: float, operations: list[StartOperation]) -> list[Command]:
        commands = []
        for operation in operations:
            sent, finished = self.proposer.step(now=now, voters=self.learner.voters(), event=operation)
            commands += sent + self._on_operations_finished(now=now, finished=finished)
        return commands

    def _on_operations_finished(self, *, now: float, finished: list) -> list[Command]:
        commands = []
        for operation in finished:
            name = self._reads_in_flight.pop(operation.op, None)
            if operation.register.startswith(CLAIM_PREFIX):
                commands += self._step_proxied_requests(now=now, event=operation)
            elif name is not None and isinstance(operation.outcome, Accepted) and operation.outcome.value["number"]:
                commands += self._apply_register(
                    now=now, name=name, ballot=operation.outcome.ballot, value=operation.outcome.value
                )
        return commands

    def _on_timer(self, *, now: float) -> list[Command]:
        commands, finished = self.proposer.step(now=now, voters=self.learner.voters(), event=None)
        commands += self._on_operations_finished(now=now, finished=finished)
        commands += self._step_lease(now=now, event=None)
        commands += self._read_stale_registers(now=now)
        commands += self.peer_table.step(now=now, event=None)
        commands += self.routing_state.prober.step(now=now, event=None)
        commands += self._step_proxied_requests(now=now, event=None)
        if now - self._zone_health_updated_at >= constants.ZONE_HEALTH_INTERVAL:
            commands += self._update_zone_health(now=now)
            self.load_balancer.rate_limits.drop_unused(now=now, listed=set(self.routing_state.endpoint_table.workers))
        self.claims.peers = [
            Peer(name=peer["id"], post=peer["post"], region=peer["region"], zone=peer["hall"])
            for peer in self.peer_table.alive(kind="proxy")
            if peer["version"] not in constants.VERSIONS_WITHOUT_REPLICAS
        ]
        recent_counts = [count for at, count in self.proxy_counts.values() if now - at < constants.SUBSCRIBER_TTL]
        self.routing_state.proxy_count = max([1, *recent_counts])
        self.peer_table.is_fit = (
            self.is_acting(now=now) and not self.suspects_itself and self.stopping in STOPPING.marks["named"]
        )
        return commands + self._check_shutdown(now=now)

    def _read_stale_registers(self, *, now: float) -> list[Command]:
        operations = []
        for name, since in self.lease.outdated_since.items():
            if (
                now - since >= constants.REGISTER_READ_DELAY
                and name not in self._reads_in_flight.values()
                and is_control_register(name=name)
            ):
                self._read_count += 1
                op = f"{self.identity}/read{self._read_count}"
                self._reads_in_flight[op] = name
                operations.append(StartOperation(op=op, register=name, timeout=constants.LEASE_DURATION))
        return self._start_operations(now=now, operations=operations)

    def _update_zone_health(self, *, now: float) -> list[Command]:
        self._zone_health_updated_at = now
        commands = self.routing_state.zone_health.step(now=now, counts=self.routing_state.counts())
        zones = {zone for _, zone in self.routing_state.zone_health.zones}
        down = {
            zone
            for zone in zones
            if all(
                state.healthy == 0 for (_, name), state in self.routing_state.zone_health.zones.items() if name == zone
            )
        }
        unreported = {
            zone
            for zone in down
            if not all(
                self.routing_state.is_drained_by_majority(now=now, service=service, zone=zone)
                for service, name in self.routing_state.zone_health.zones
                if name == zone
            )
        }
        suspect = len(unreported) > constants.SELF_SUSPICION_RATIO * len(zones) and len(self.proxy_counts) > 0
        if suspect != self.suspects_itself:
            self.suspects_itself = suspect
            commands.append(LogEvent(event="self-suspected" if suspect else "self-trusted", fields={"down": len(down)}))
        return commands

    def _check_shutdown(self, *, now: float) -> list[Command]:
        if self.stopping == STOPPING.initial:
            return []
        if now >= self.stop_deadline - constants.STOP_GRACE + constants.DEREGISTRATION_DELAY:
            self.stopping = STOPPING.step(state=self.stopping, event="left")
        event = "grace_over" if now >= self.stop_deadline else "all_done" if not self.proxied_requests.live else ""
        self.stopping = STOPPING.step(state=self.stopping, event=event)
        if self.stopping != "over":
            return []
        time_left = max(0.0, self.stop_deadline - now)
        return [*self.proxied_requests.end_all(now=now), ExitProcess(code=0, drain_timeout=time_left)]

    def _build_status(self, *, now: float) -> dict:
        workers = {key: probed.state for key, probed in self.routing_state.prober.probed.items()}
        zones = {
            f"{service}|{zone}": [state.state, round(state.healthy_fraction, 3)]
            for (service, zone), state in self.routing_state.zone_health.zones.items()
        }
        return {
            "id": self.location.name,
            "fit": self.peer_table.is_fit,
            "acting": self.is_acting(now=now),
            "suspect": self.suspects_itself,
            "registers": {name: self.learner.number(name=name) for name in CONTROL_REGISTERS},
            "proxies": self.routing_state.proxy_count,
            "halls": zones,
            "workers": workers,
            "tally": dict(self.proxied_requests.tally),
            "open": len(self.proxied_requests.in_flight),
            "unexpected_events": dict(self.unexpected.counts),
            "refused_input": dict(self.refused.counts),
        }
