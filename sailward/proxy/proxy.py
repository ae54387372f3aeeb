"""The whole of a proxy for routes by host.

What the core tells, the evidence on workers, requests, the directory, stopping.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from sailward import constants
from sailward.consensus.learner import Learner, is_control_register
from sailward.discovery.endpoint_rows import UNREADABLE_LIST, is_incarnation_row, read_fleet, read_workers
from sailward.discovery.endpoint_table import EndpointTable
from sailward.discovery.peer_table import KINDS_ON_WIRE, Location
from sailward.events import (
    CallFinished,
    ClientDisconnected,
    Command,
    ConfigValidated,
    DiskWriteFailed,
    DrainConnections,
    Event,
    ExitProcess,
    LogEvent,
    MessageReceived,
    RecordsSynced,
    RefusedInput,
    RequestReceived,
    SendMessage,
    ShutdownRequested,
    TimerFired,
    UnexpectedEvents,
)
from sailward.invariants import violations
from sailward.proxy.control_client import ControlClient
from sailward.proxy.directory import Directory
from sailward.routing.endpoint_selection import EndpointSelector, SelectionContext
from sailward.routing.forwarding import Forwarder
from sailward.routing.passive_health import PassiveHealth
from sailward.routing.plan import Unreadable, load_config
from sailward.routing.proxied_request import answer_json
from sailward.routing.retry_budget import RetryBudget
from sailward.routing.routing_state import read_orders
from sailward.routing.shard_owners import PREFIX as SLOTS
from sailward.routing.zone_health import ZoneHealthTable
from sailward.state_machines import Chart
from sailward.wire_names import WireNames
from sailward.wire_types import Ballot, Message, RegisterValue

STOPPING = Chart(name="stopping")


@dataclass(frozen=True, kw_only=True)
class ProxyOptions:
    """What a deployment sets: the words of its wire, its bounds (s), its regions."""

    names: WireNames = WireNames()
    regions: tuple = ()
    expand: Callable | None = None
    retry_ratio: float = constants.RETRY_BUDGET_RATIO
    retry_slack: float = constants.RETRY_BUDGET_MINIMUM
    retry_window: float = constants.RETRY_BUDGET_WINDOW
    hold_down: float = constants.ZONE_HOLD_DOWN
    leave_after: float = constants.LEASE_DURATION
    leave_wait: float = constants.DEREGISTRATION_DELAY
    stop_grace: float = constants.STOP_GRACE


class Proxy:
    """Owner of a proxy process. `step` takes one event and gives commands."""

    def __init__(self, *, location: Location, start: int, rng: random.Random, options: ProxyOptions) -> None:
        self.location, self.start, self.options = location, start, options
        self.learner = Learner()
        self.endpoint_table = EndpointTable()
        self.control_client = ControlClient(zone=location.zone, region=location.region, seeds=location.seeds)
        self.passive_health = PassiveHealth(names=options.names, rng=rng)
        self.context = SelectionContext(
            name=location.name,
            zone=location.zone,
            region=location.region,
            regions=dict(options.regions),
            passive_health=self.passive_health,
            zones=ZoneHealthTable(hold_down=options.hold_down),
            leave_after=options.leave_after,
        )
        budget = RetryBudget(ratio=options.retry_ratio, slack=options.retry_slack, window=options.retry_window)
        self.forwarder = Forwarder(
            endpoint_selector=EndpointSelector(context=self.context, rng=rng), names=options.names, budget=budget
        )
        self.directory = Directory(location=location)
        self.stopping, self.stop_at = STOPPING.initial, 0.0
        self.lists: dict = {"workers": ("", -1), "fleet": ("", -1)}
        self.unexpected, self.refused = UnexpectedEvents(), RefusedInput()
        self._counted = -1e9
        self._heartbeat = 0

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Answer one event with commands."""
        match event:
            case RequestReceived():
                return self._on_request(now=now, event=event)
            case CallFinished():
                if event.token.startswith("probe "):
                    return self.passive_health.step(now=now, event=event, plan=self.context.plan)
                return self.forwarder.step(now=now, event=event)
            case ClientDisconnected():
                return self.forwarder.step(now=now, event=event)
            case MessageReceived():
                return self._on_message(now=now, sender=event.sender, body=event.body)
            case ShutdownRequested():
                return self._begin_stop(now=now)
            case TimerFired():
                return self._on_timer(now=now)
            case RecordsSynced() | DiskWriteFailed() | ConfigValidated():
                # a proxy has no disk, and checks no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    @property
    def is_ready(self) -> bool:
        """May callers be sent here?"""
        return (
            bool(self.context.plan.number)
            and self.lists["workers"][1] >= 0
            and self.stopping in STOPPING.marks["named"]
        )

    def _on_request(self, *, now: float, event: RequestReceived) -> list[Command]:
        edge = event.token.split(" ", 1)[0]
        if edge == "front":
            return self.forwarder.step(now=now, event=event)
        if edge == "ready":
            code = 200 if self.is_ready else 503
            return [answer_json(token=event.token, code=code, body={"ready": self.is_ready, "stopping": self.stopping})]
        if event.path == "/status":
            return [answer_json(token=event.token, code=200, body=self._show(now=now))]
        return [self.directory.step(event=event, is_ready=self.is_ready)]

    def _on_message(self, *, now: float, sender: str, body: Message) -> list[Command]:
        if body["kind"] == "grant":
            return self.control_client.step(now=now, sender=sender, body=body) + self._request_core(now=now)
        if body["kind"] == "want":
            return self.learner.send(to=sender, name=body["register"])
        if body["kind"] != "push":
            return [LogEvent(event="message-unexpected", fields={"kind": body["kind"], "from": sender})]
        if body.get("contact") is False and not self.control_client.is_last_resort(now=now):
            return []
        name, value = body["name"], body["value"]
        ack = SendMessage(to=sender, body={"kind": "ack", "seq": body["seq"], "name": name, "number": body["number"]})
        if name in self.lists:
            if sender != self.control_client.lead or self.lists[name] == (sender, value["number"]):
                return [ack]
            commands = (self._take_workers if name == "workers" else self._take_fleet)(now=now, value=value)
            if commands is None:
                # what can't be read is not acknowledged: it is pushed again
                return self.refused.add(kind=name, reason=UNREADABLE_LIST)
            self.lists[name] = (sender, value["number"])
            return [*commands, ack]
        if not is_control_register(name=name):
            return [LogEvent(event="push-unexpected", fields={"name": name})]
        commands = self._keep(now=now, name=name, ballot=body["ballot"], value=value)
        return [*commands, ack] if self.learner.number(name=name) >= value["number"] else commands

    def _take_workers(self, *, now: float, value: RegisterValue) -> list[Command] | None:
        rows = read_workers(text=value["text"], check=is_incarnation_row)
        if rows is None:
            return None
        came, went = self.endpoint_table.replace(now=now, workers=rows)
        commands = self.passive_health.follow(now=now, workers=self.endpoint_table.workers)
        self.context.follow(workers=self.endpoint_table.workers)
        if came or went:
            commands.append(
                LogEvent(
                    event="workers",
                    fields={"came": len(came), "went": len(went), "all": len(self.endpoint_table.workers)},
                )
            )
        return commands + self._count_zones(now=now)

    def _take_fleet(self, *, now: float, value: RegisterValue) -> list[Command] | None:
        told = read_fleet(text=value["text"])
        if told is None:
            return None
        self.control_client.learn(controllers=told.controllers)
        self.directory.learn(rows=told.proxies)
        self.context.peers = {name: region for name, _, _, region, is_fit in told.proxies if is_fit}
        self.context.proxies = max(1, len(self.context.peers))
        self.passive_health.hint(now=now, down=told.down)
        return []

    def _keep(self, *, now: float, name: str, ballot: Ballot, value: RegisterValue) -> list[Command]:
        plan = self.context.plan
        if name == "config" and self.learner.is_newer(name=name, value=value):
            config = load_config(value=value, expand=self.options.expand)
            if isinstance(config, Unreadable):
                return self.refused.add(kind="config", reason=config.reason, number=value["number"])
            _, plan = config
        if not self.learner.step(name=name, ballot=ballot, value=value):
            return []
        if name == "config":
            self.context.plan = plan
        elif name == "orders":
            emptied = read_orders(value=value)
            for zone in self.context.emptied - emptied:
                self.passive_health.begin_slow_start(now=now, zone=zone, plan=self.context.plan)
            self.context.emptied = emptied
        elif name.startswith(SLOTS):
            self.context.shards.step(name=name, value=value)
        log = LogEvent(event="in-force", fields={"register": name, "number": value["number"]})
        return [log, *self.forwarder.step(now=now, event=None)]

    def _on_timer(self, *, now: float) -> list[Command]:
        commands = self._request_core(now=now)
        commands += self.passive_health.step(now=now, event=None, plan=self.context.plan)
        commands += self.forwarder.step(now=now, event=None)
        if now - self._counted >= constants.ZONE_HEALTH_INTERVAL:
            commands += self._count_zones(now=now)
        return commands + self._check_shutdown(now=now)

    def _request_core(self, *, now: float) -> list[Command]:
        if now < self.control_client.next_at:
            return []
        self._heartbeat += 1
        location = self.location
        daemon = {
            "id": location.name,
            "kind": KINDS_ON_WIRE[location.kind],
            "hall": location.zone,
            "region": location.region,
            "http": location.http,
            "start": self.start,
            "fit": self.is_ready,
            "version": location.version,
        }
        lead = self.control_client.lead
        have = {name: [learned.value["number"]] for name, learned in self.learner.values.items()}
        # lists have numbers of each controller's own: only the leading one's are wanted, and none before there is one
        have |= {
            name: [number if teller == lead else -1, lead or "none"] for name, (teller, number) in self.lists.items()
        }
        down = [key for key, shown in self.passive_health.shown.items() if not shown.is_healthy]
        report = {
            "down": down,
            "loads": self.forwarder.take_loads(),
            "turn": self._heartbeat,
            "lead": lead,
            "paces": self._take_paces(),
            **({"last_resort": True} if self.control_client.is_last_resort(now=now) else {}),
        }
        return self.control_client.step(
            now=now, sender=None, body={"kind": "ask", "have": have, "report": report, "daemon": daemon}
        )

    def _take_paces(self) -> dict:
        """Times in ms by worker, for divided services.

        Only of this region's workers, as others' times hold the way there.
        """
        workers = {key: self.passive_health.shown[key].worker for key in self.passive_health.shown}
        divided = {name for name, service in self.context.plan.services.items() if service.ranged}
        return {
            key: times[-constants.LATENCY_SAMPLES_SENT :]
            for key, times in self.passive_health.take_times().items()
            if key in workers
            and workers[key].service in divided
            and self.context.regions.get(workers[key].zone) == self.location.region
        }

    def _count_zones(self, *, now: float) -> list[Command]:
        self._counted = now
        return self.context.zones.step(now=now, counts=self.context.counts())

    def _begin_stop(self, *, now: float) -> list[Command]:
        self.stopping, self.stop_at = STOPPING.step(state=self.stopping, event="stop_asked"), now
        self.control_client.next_at = -1e9
        return [
            LogEvent(event="stopping", fields={"open": len(self.forwarder.live)}),
            DrainConnections(),
            *self._request_core(now=now),
        ]

    def _check_shutdown(self, *, now: float) -> list[Command]:
        if self.stopping == STOPPING.initial:
            return []
        before, since = self.stopping, now - self.stop_at
        if since >= self.options.leave_wait:
            self.stopping = STOPPING.step(state=self.stopping, event="left")
        is_over = since >= self.options.stop_grace
        event = "grace_over" if is_over else "" if self.forwarder.live else "all_done"
        self.stopping = STOPPING.step(state=self.stopping, event=event)
        commands: list[Command] = (
            [DrainConnections(shut=True)] if before == "leaving" and self.stopping != "leaving" else []
        )
        if self.stopping != "over":
            return commands
        # what no worker has answered by now gets its answer from here: a closed connection would say nothing
        return [*commands, *self.forwarder.end_all(now=now), ExitProcess(code=0)]

    def _show(self, *, now: float) -> dict:
        zones = {
            f"{service}|{zone}": [state.state, round(state.fraction, 3)]
            for (service, zone), state in self.context.zones.zones.items()
        }
        workers = {key: shown.state for key, shown in self.passive_health.shown.items()}
        registers = {name: learned.value["number"] for name, learned in self.learner.values.items()}
        return {
            "id": self.location.name,
            "ready": self.is_ready,
            "stopping": self.stopping,
            "registers": registers,
            "halls": zones,
            "label": self.context.plan.label,
            "lead": self.control_client.lead,
            "in_touch": self.control_client.answers(now=now),
            "last_resort": self.control_client.is_last_resort(now=now),
            "proxies": self.context.proxies,
            "workers": workers,
            "tally": dict(self.forwarder.tally),
            "open": len(self.forwarder.calls),
            "unexpected_events": dict(self.unexpected.counts),
            "invariant_violations": dict(violations),
            "refused_input": dict(self.refused.counts),
        }
