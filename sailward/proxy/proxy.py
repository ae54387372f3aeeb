"""A proxy process that routes by host.

Handles the data pushed by controllers, worker health, requests, the directory, and shutdown.
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
from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.routing.zone_health import ZoneHealthTable
from sailward.state_machines import Chart
from sailward.wire_names import WireNames
from sailward.wire_types import Ballot, Message, RegisterValue

STOPPING = Chart(name="stopping")


@dataclass(frozen=True, kw_only=True)
class ProxyOptions:
    """Settings of a deployment: the names used on the wire, the regions, and the limits (times in s).

    After a request to stop, the proxy accepts connections for another `deregistration_delay`, so that clients learn
    that it is going away, and gives up after `stop_grace` what is left.
    """

    names: WireNames = WireNames()
    regions: tuple = ()
    expand: Callable | None = None
    retry_ratio: float = constants.RETRY_BUDGET_RATIO
    retry_slack: float = constants.RETRY_BUDGET_MINIMUM
    retry_window: float = constants.RETRY_BUDGET_WINDOW
    hold_down: float = constants.ZONE_HOLD_DOWN
    drain_timeout: float = constants.LEASE_DURATION
    deregistration_delay: float = constants.DEREGISTRATION_DELAY
    stop_grace: float = constants.STOP_GRACE


class Proxy:
    """The state machine of a proxy. `step` takes one event and returns commands."""

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
            zone_health=ZoneHealthTable(hold_down=options.hold_down),
            drain_timeout=options.drain_timeout,
        )
        budget = RetryBudget(ratio=options.retry_ratio, slack=options.retry_slack, window=options.retry_window)
        self.forwarder = Forwarder(
            endpoint_selector=EndpointSelector(context=self.context, rng=rng), names=options.names, budget=budget
        )
        self.directory = Directory(location=location)
        self.stopping, self.stop_requested_at = STOPPING.initial, 0.0
        self.list_versions: dict = {"workers": ("", -1), "fleet": ("", -1)}
        self.unexpected, self.refused = UnexpectedEvents(), RefusedInput()
        self._zone_health_updated_at = -1e9
        self._poll_count = 0

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Handle one event; returns the commands to execute."""
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
                # a proxy has no disk, and validates no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    @property
    def is_ready(self) -> bool:
        """May clients be sent to this proxy?"""
        return (
            bool(self.context.plan.number)
            and self.list_versions["workers"][1] >= 0
            and self.stopping in STOPPING.marks["named"]
        )

    def _on_request(self, *, now: float, event: RequestReceived) -> list[Command]:
        listener = event.token.split(" ", 1)[0]
        if listener == "front":
            return self.forwarder.step(now=now, event=event)
        if listener == "ready":
            code = 200 if self.is_ready else 503
            return [answer_json(token=event.token, code=code, body={"ready": self.is_ready, "stopping": self.stopping})]
        if event.path == "/status":
            return [answer_json(token=event.token, code=200, body=self._build_status(now=now))]
        return [self.directory.step(event=event, is_ready=self.is_ready)]

    def _on_message(self, *, now: float, sender: str, body: Message) -> list[Command]:
        if body["kind"] == "grant":
            return self.control_client.step(now=now, sender=sender, body=body) + self._poll_controllers(now=now)
        if body["kind"] == "want":
            return self.learner.send(to=sender, name=body["register"])
        if body["kind"] != "push":
            return [LogEvent(event="message-unexpected", fields={"kind": body["kind"], "from": sender})]
        if body.get("contact") is False and not self.control_client.is_last_resort(now=now):
            return []
        name, value = body["name"], body["value"]
        ack = SendMessage(to=sender, body={"kind": "ack", "seq": body["seq"], "name": name, "number": body["number"]})
        if name in self.list_versions:
            if sender != self.control_client.followed_controller or self.list_versions[name] == (
                sender,
                value["number"],
            ):
                return [ack]
            commands = (self._apply_workers if name == "workers" else self._apply_fleet)(now=now, value=value)
            if commands is None:
                # an unreadable list is not acknowledged, so that it is pushed again
                return self.refused.add(kind=name, reason=UNREADABLE_LIST)
            self.list_versions[name] = (sender, value["number"])
            return [*commands, ack]
        if not is_control_register(name=name):
            return [LogEvent(event="push-unexpected", fields={"name": name})]
        commands = self._apply_register(now=now, name=name, ballot=body["ballot"], value=value)
        return [*commands, ack] if self.learner.number(name=name) >= value["number"] else commands

    def _apply_workers(self, *, now: float, value: RegisterValue) -> list[Command] | None:
        rows = read_workers(text=value["text"], check=is_incarnation_row)
        if rows is None:
            return None
        added, removed = self.endpoint_table.replace(now=now, workers=rows)
        commands = self.passive_health.update_workers(now=now, workers=self.endpoint_table.workers)
        self.context.update_workers(workers=self.endpoint_table.workers)
        if added or removed:
            commands.append(
                LogEvent(
                    event="workers",
                    fields={"came": len(added), "went": len(removed), "all": len(self.endpoint_table.workers)},
                )
            )
        return commands + self._update_zone_health(now=now)

    def _apply_fleet(self, *, now: float, value: RegisterValue) -> list[Command] | None:
        fleet = read_fleet(text=value["text"])
        if fleet is None:
            return None
        self.control_client.update_controllers(controllers=fleet.controllers)
        self.directory.update_proxies(proxies=fleet.proxies)
        self.context.peers = {name: region for name, _, _, region, is_fit in fleet.proxies if is_fit}
        self.context.proxy_count = max(1, len(self.context.peers))
        self.passive_health.avoid_reported(now=now, keys=fleet.down)
        return []

    def _apply_register(self, *, now: float, name: str, ballot: Ballot, value: RegisterValue) -> list[Command]:
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
            self.passive_health.apply_plan(plan=plan)
        elif name == "orders":
            evacuated_zones = read_orders(value=value)
            for zone in self.context.evacuated_zones - evacuated_zones:
                self.passive_health.begin_slow_start(now=now, zone=zone, plan=self.context.plan)
            self.context.evacuated_zones = evacuated_zones
        elif name.startswith(SHARD_REGISTER_PREFIX):
            self.context.shards.step(name=name, value=value)
        log = LogEvent(event="in-force", fields={"register": name, "number": value["number"]})
        return [log, *self.forwarder.step(now=now, event=None)]

    def _on_timer(self, *, now: float) -> list[Command]:
        commands = self._poll_controllers(now=now)
        commands += self.passive_health.step(now=now, event=None, plan=self.context.plan)
        commands += self.forwarder.step(now=now, event=None)
        if now - self._zone_health_updated_at >= constants.ZONE_HEALTH_INTERVAL:
            commands += self._update_zone_health(now=now)
        return commands + self._check_shutdown(now=now)

    def _poll_controllers(self, *, now: float) -> list[Command]:
        if now < self.control_client.next_poll_at:
            return []
        self._poll_count += 1
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
        followed = self.control_client.followed_controller
        have = {name: [learned.value["number"]] for name, learned in self.learner.values.items()}
        # each controller numbers its own lists: only those of the followed one are sent, none before there is one
        have |= {
            name: [number if controller == followed else -1, followed or "none"]
            for name, (controller, number) in self.list_versions.items()
        }
        down = [key for key, health in self.passive_health.workers.items() if not health.is_healthy]
        report = {
            "down": down,
            "loads": self.forwarder.take_loads(),
            "turn": self._poll_count,
            "lead": followed,
            "paces": self._take_response_times(),
            **({"last_resort": True} if self.control_client.is_last_resort(now=now) else {}),
        }
        return self.control_client.step(
            now=now, sender=None, body={"kind": "ask", "have": have, "report": report, "daemon": daemon}
        )

    def _take_response_times(self) -> dict:
        """Response times in ms by worker, for sharded services.

        Only for workers of this region, as the times of others include the latency between regions.
        """
        workers = {key: self.passive_health.workers[key].worker for key in self.passive_health.workers}
        sharded = {name for name, service in self.context.plan.services.items() if service.is_ranged}
        return {
            key: times[-constants.LATENCY_SAMPLES_SENT :]
            for key, times in self.passive_health.take_response_times().items()
            if key in workers
            and workers[key].service in sharded
            and self.context.regions.get(workers[key].zone) == self.location.region
        }

    def _update_zone_health(self, *, now: float) -> list[Command]:
        self._zone_health_updated_at = now
        return self.context.zone_health.step(now=now, counts=self.context.counts())

    def _begin_stop(self, *, now: float) -> list[Command]:
        """Begin the shutdown; a repeated request has no effect, as the platform counts from the first."""
        if self.stopping != STOPPING.initial:
            return [LogEvent(event="stop-repeated", fields={"after": round(now - self.stop_requested_at, 2)})]
        self.stopping, self.stop_requested_at = STOPPING.step(state=self.stopping, event="stop_asked"), now
        self.control_client.next_poll_at = -1e9
        return [
            LogEvent(event="stopping", fields={"open": len(self.forwarder.live)}),
            DrainConnections(),
            *self._poll_controllers(now=now),
        ]

    def _check_shutdown(self, *, now: float) -> list[Command]:
        if self.stopping == STOPPING.initial:
            return []
        previous, elapsed = self.stopping, now - self.stop_requested_at
        if elapsed >= self.options.deregistration_delay:
            self.stopping = STOPPING.step(state=self.stopping, event="left")
        is_grace_over = elapsed >= self.options.stop_grace
        event = "grace_over" if is_grace_over else "" if self.forwarder.live else "all_done"
        self.stopping = STOPPING.step(state=self.stopping, event=event)
        commands: list[Command] = (
            [DrainConnections(shut=True)] if previous == "leaving" and self.stopping != "leaving" else []
        )
        if self.stopping != "over":
            return commands
        # requests that no worker has answered by now are answered here: a closed connection would give no reason
        time_left = max(0.0, self.options.stop_grace - elapsed)
        return [*commands, *self.forwarder.end_all(now=now), ExitProcess(code=0, drain_timeout=time_left)]

    def _build_status(self, *, now: float) -> dict:
        zones = {
            f"{service}|{zone}": [state.state, round(state.healthy_fraction, 3)]
            for (service, zone), state in self.context.zone_health.zones.items()
        }
        workers = {key: health.state for key, health in self.passive_health.workers.items()}
        registers = {name: learned.value["number"] for name, learned in self.learner.values.items()}
        return {
            "id": self.location.name,
            "ready": self.is_ready,
            "stopping": self.stopping,
            "registers": registers,
            "halls": zones,
            "label": self.context.plan.label,
            "lead": self.control_client.followed_controller,
            "in_touch": self.control_client.has_recent_answer(now=now),
            "last_resort": self.control_client.is_last_resort(now=now),
            "proxies": self.context.proxy_count,
            "workers": workers,
            "tally": dict(self.forwarder.tally),
            "open": len(self.forwarder.calls),
            "unexpected_events": dict(self.unexpected.counts),
            "invariant_violations": dict(violations),
            "refused_input": dict(self.refused.counts),
        }
