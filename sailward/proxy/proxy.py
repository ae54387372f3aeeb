"""The whole of a proxy for routes by host.

What the core tells, the evidence on workers, requests, the directory, stopping.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from sailward import constants
from sailward.consensus.held import HeldBook, is_control
from sailward.discovery.gossip import KINDS_ON_WIRE, Place
from sailward.discovery.workers import WorkerBook
from sailward.events import (
    Asked,
    Called,
    CallerLeft,
    Checked,
    Command,
    DiskFailed,
    Event,
    Heard,
    Leave,
    Log,
    Stop,
    StopAsked,
    Synced,
    Tell,
    Ticked,
    UnexpectedEvents,
)
from sailward.proxy.directory import Directory
from sailward.proxy.uplink import Uplink
from sailward.routing.evidence import Evidence
from sailward.routing.exchange import answer_json
from sailward.routing.forwarding import Forwarder
from sailward.routing.halls import HallBook
from sailward.routing.placing import Placer, Scene
from sailward.routing.plan import read_plan
from sailward.routing.retry_budget import RetryBudget
from sailward.routing.slots import PREFIX as SLOTS
from sailward.routing.world import read_orders
from sailward.state_machines import Chart
from sailward.transport.wire_names import WireNames

STOPPING = Chart(name="stopping")


@dataclass(frozen=True, kw_only=True)
class ProxyOptions:
    """What a deployment sets: the words of its wire, its bounds (s), its regions."""

    names: WireNames = WireNames()
    regions: tuple = ()
    expand: Callable | None = None
    retry_ratio: float = constants.TRY_SHARE
    retry_slack: float = constants.TRY_FLOOR
    retry_window: float = constants.TRY_WINDOW
    hold: float = constants.HOLD
    leave_after: float = constants.LEASE
    leave_wait: float = constants.LEAVE_WAIT
    stop_grace: float = constants.STOP_GRACE


class Proxy:
    """Owner of a proxy process. `step` takes one event and gives commands."""

    def __init__(self, *, place: Place, start: int, rng: random.Random, options: ProxyOptions) -> None:
        self.place, self.start, self.options = place, start, options
        self.held = HeldBook()
        self.book = WorkerBook()
        self.uplink = Uplink(hall=place.hall, region=place.region, seeds=place.seeds)
        self.evidence = Evidence(names=options.names, rng=rng)
        self.scene = Scene(
            name=place.name,
            hall=place.hall,
            region=place.region,
            regions=dict(options.regions),
            evidence=self.evidence,
            halls=HallBook(hold=options.hold),
            leave_after=options.leave_after,
        )
        budget = RetryBudget(ratio=options.retry_ratio, slack=options.retry_slack, window=options.retry_window)
        self.forwarder = Forwarder(placer=Placer(scene=self.scene, rng=rng), names=options.names, budget=budget)
        self.directory = Directory(place=place)
        self.stopping, self.stop_at = STOPPING.initial, 0.0
        self.lists: dict = {"workers": ("", -1), "fleet": ("", -1)}
        self.unexpected = UnexpectedEvents()
        self._counted = -1e9
        self._beat = 0

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Answer one event with commands."""
        match event:
            case Asked():
                return self._ask(now=now, event=event)
            case Called():
                if event.token.startswith("probe "):
                    return self.evidence.step(now=now, event=event, plan=self.scene.plan)
                return self.forwarder.step(now=now, event=event)
            case CallerLeft():
                return self.forwarder.step(now=now, event=event)
            case Heard():
                return self._hear(now=now, sender=event.sender, body=event.body)
            case StopAsked():
                return self._begin_stop(now=now)
            case Ticked():
                return self._look_at_alarms(now=now)
            case Synced() | DiskFailed() | Checked():
                # a proxy has no disk, and checks no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    @property
    def is_ready(self) -> bool:
        """May callers be sent here?"""
        return (
            bool(self.scene.plan.number) and self.lists["workers"][1] >= 0 and self.stopping in STOPPING.marks["named"]
        )

    def _ask(self, *, now: float, event: Asked) -> list:
        edge = event.token.split(" ", 1)[0]
        if edge == "front":
            return self.forwarder.step(now=now, event=event)
        if edge == "ready":
            code = 200 if self.is_ready else 503
            return [answer_json(token=event.token, code=code, body={"ready": self.is_ready, "stopping": self.stopping})]
        if event.path == "/status":
            return [answer_json(token=event.token, code=200, body=self._show(now=now))]
        return [self.directory.step(event=event, is_ready=self.is_ready)]

    def _hear(self, *, now: float, sender: str, body: dict) -> list:
        if body["kind"] == "grant":
            return self.uplink.step(now=now, sender=sender, body=body) + self._ask_core(now=now)
        if body["kind"] == "want":
            return self.held.tell(to=sender, name=body["register"])
        if body["kind"] != "push":
            return [Log(event="message-unexpected", fields={"kind": body["kind"], "from": sender})]
        name, value = body["name"], body["value"]
        ack = Tell(to=sender, body={"kind": "ack", "seq": body["seq"], "name": name, "number": body["number"]})
        if name in self.lists:
            if sender != self.uplink.lead or self.lists[name] == (sender, value["number"]):
                return [ack]
            self.lists[name] = (sender, value["number"])
            return [*(self._take_workers if name == "workers" else self._take_fleet)(now=now, value=value), ack]
        if not is_control(name=name):
            return [Log(event="push-unexpected", fields={"name": name})]
        return [*self._keep(now=now, name=name, ballot=body["ballot"], value=value), ack]

    def _take_workers(self, *, now: float, value: dict) -> list:
        came, went = self.book.replace(now=now, workers=json.loads(value["text"]))
        commands = self.evidence.follow(now=now, workers=self.book.workers)
        self.scene.follow(workers=self.book.workers)
        if came or went:
            commands.append(
                Log(event="workers", fields={"came": len(came), "went": len(went), "all": len(self.book.workers)})
            )
        return commands + self._count_halls(now=now)

    def _take_fleet(self, *, now: float, value: dict) -> list:
        told = json.loads(value["text"])
        self.uplink.learn(controllers=told["cellars"])
        self.directory.learn(rows=told["proxies"])
        self.scene.peers = {name: region for name, _, _, region, is_fit in told["proxies"] if is_fit}
        self.scene.proxies = max(1, len(self.scene.peers))
        self.evidence.hint(now=now, down=told.get("down", []))
        return []

    def _keep(self, *, now: float, name: str, ballot: list, value: dict) -> list:
        if not self.held.step(name=name, ballot=ballot, value=value):
            return []
        if name == "config":
            self.scene.plan = read_plan(value=value, expand=self.options.expand)
        elif name == "orders":
            emptied = read_orders(value=value)
            for hall in self.scene.emptied - emptied:
                self.evidence.chill(now=now, hall=hall, plan=self.scene.plan)
            self.scene.emptied = emptied
        elif name.startswith(SLOTS):
            self.scene.shards.step(name=name, value=value)
        log = Log(event="in-force", fields={"register": name, "number": value["number"]})
        return [log, *self.forwarder.step(now=now, event=None)]

    def _look_at_alarms(self, *, now: float) -> list:
        commands = self._ask_core(now=now)
        commands += self.evidence.step(now=now, event=None, plan=self.scene.plan)
        commands += self.forwarder.step(now=now, event=None)
        if now - self._counted >= constants.COUNT_EVERY:
            commands += self._count_halls(now=now)
        return commands + self._look_at_stop(now=now)

    def _ask_core(self, *, now: float) -> list:
        if now < self.uplink.next_at:
            return []
        self._beat += 1
        place = self.place
        daemon = {
            "id": place.name,
            "kind": KINDS_ON_WIRE[place.kind],
            "hall": place.hall,
            "region": place.region,
            "http": place.http,
            "start": self.start,
            "fit": self.is_ready,
            "version": place.version,
        }
        lead = self.uplink.lead
        have = {name: [held.value["number"]] for name, held in self.held.held.items()}
        # lists have numbers of each controller's own: only the leading one's are wanted, and none before there is one
        have |= {
            name: [number if teller == lead else -1, lead or "none"] for name, (teller, number) in self.lists.items()
        }
        down = [key for key, shown in self.evidence.shown.items() if not shown.is_healthy]
        report = {
            "down": down,
            "loads": self.forwarder.take_loads(),
            "turn": self._beat,
            "lead": lead,
            "paces": self._take_paces(),
        }
        return self.uplink.step(
            now=now, sender=None, body={"kind": "ask", "have": have, "report": report, "daemon": daemon}
        )

    def _take_paces(self) -> dict:
        """Times in ms by worker, for divided services.

        Only of this region's workers, as others' times hold the way there.
        """
        workers = {key: self.evidence.shown[key].worker for key in self.evidence.shown}
        divided = {name for name, service in self.scene.plan.services.items() if service.ranged}
        return {
            key: times[-constants.PACES_SENT :]
            for key, times in self.evidence.take_times().items()
            if key in workers
            and workers[key].service in divided
            and self.scene.regions.get(workers[key].hall) == self.place.region
        }

    def _count_halls(self, *, now: float) -> list:
        self._counted = now
        return self.scene.halls.step(now=now, counts=self.scene.counts())

    def _begin_stop(self, *, now: float) -> list:
        self.stopping, self.stop_at = STOPPING.step(state=self.stopping, event="stop_asked"), now
        self.uplink.next_at = -1e9
        return [Log(event="stopping", fields={"open": len(self.forwarder.live)}), Leave(), *self._ask_core(now=now)]

    def _look_at_stop(self, *, now: float) -> list:
        if self.stopping == STOPPING.initial:
            return []
        before, since = self.stopping, now - self.stop_at
        if since >= self.options.leave_wait:
            self.stopping = STOPPING.step(state=self.stopping, event="left")
        is_over = since >= self.options.stop_grace
        event = "grace_over" if is_over else "" if self.forwarder.live else "all_done"
        self.stopping = STOPPING.step(state=self.stopping, event=event)
        commands = [Leave(shut=True)] if before == "leaving" and self.stopping != "leaving" else []
        if self.stopping != "over":
            return commands
        # what no worker has answered by now gets its answer from here: a closed connection would say nothing
        return [*commands, *self.forwarder.end_all(now=now), Stop(code=0)]

    def _show(self, *, now: float) -> dict:
        halls = {
            f"{service}|{hall}": [state.state, round(state.fraction, 3)]
            for (service, hall), state in self.scene.halls.halls.items()
        }
        workers = {key: shown.state for key, shown in self.evidence.shown.items()}
        registers = {name: held.value["number"] for name, held in self.held.held.items()}
        return {
            "id": self.place.name,
            "ready": self.is_ready,
            "stopping": self.stopping,
            "registers": registers,
            "halls": halls,
            "label": self.scene.plan.label,
            "lead": self.uplink.lead,
            "in_touch": self.uplink.answers(now=now),
            "proxies": self.scene.proxies,
            "workers": workers,
            "tally": dict(self.forwarder.tally),
            "open": len(self.forwarder.calls),
            "unexpected_events": dict(self.unexpected.counts),
        }
