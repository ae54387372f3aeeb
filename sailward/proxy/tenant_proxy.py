"""The whole of a proxy: lease, worker status, draw, exchanges."""

from __future__ import annotations

import random
from dataclasses import replace

from sailward import constants
from sailward.consensus.learner import CONTROL, HeldBook, is_control
from sailward.consensus.proposer import Accepted, Begin, Proposer
from sailward.discovery.endpoint_rows import UNREADABLE_LIST, is_generation, read_workers
from sailward.discovery.peer_table import Place, Roster
from sailward.events import (
    Asked,
    Call,
    Called,
    CallerLeft,
    Checked,
    Command,
    DiskFailed,
    Event,
    Heard,
    Log,
    RefusedInput,
    Stop,
    StopAsked,
    Synced,
    Tell,
    Ticked,
    UnexpectedEvents,
)
from sailward.routing.active_health import Prober
from sailward.routing.explain import explain
from sailward.routing.idempotency import PREFIX, Claims
from sailward.routing.lease import Lease
from sailward.routing.load_balancer import Chooser
from sailward.routing.plan import Unreadable, load_config
from sailward.routing.proxied_request import Refusal, answer_json, answer_refusal, is_promise_safe
from sailward.routing.proxied_requests import Exchanges
from sailward.routing.result_replicas import Copies, Peer
from sailward.routing.routing_state import World, read_orders
from sailward.routing.shard_owners import PREFIX as SLOTS
from sailward.state_machines import Chart

STOPPING = Chart(name="stopping")
TOLD = ("promise", "voted", "nack", "told")


class TenantProxy:
    """Owner of a proxy process. `step` takes one event and gives commands."""

    def __init__(self, *, place: Place, nonce: str, start: int, rng: random.Random, now: float) -> None:
        self.place = place
        self.identity = f"{place.name}#{nonce}"
        self.held = HeldBook()
        self.lease = Lease(held=self.held)
        self.proposer = Proposer(identity=self.identity, rng=rng)
        self.roster = Roster(place=place, start=start)
        self.world = World(prober=Prober(rng=rng))
        self.chooser = Chooser(rng=rng, world=self.world)
        self.claims = Claims(
            identity=self.identity,
            post=place.post,
            region=place.region,
            hall=place.hall,
            copies=Copies(region=place.region),
        )
        self.exchanges = Exchanges(identity=self.identity, chooser=self.chooser, claims=self.claims)
        self.stopping = STOPPING.initial
        self.stop_by = 0.0
        self.suspect = False
        self.controllers: dict[str, tuple[float, int]] = {}
        self._reading: dict[str, str] = {}
        self.unexpected, self.refused = UnexpectedEvents(), RefusedInput()
        self._counted = -1e9
        self._ops = 0

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Answer one event with commands."""
        return [
            replace(command, begin_by=self.lease.until(voters=self.held.voters()))
            if isinstance(command, Call) and command.token.startswith("x ")
            else command
            for command in self._take(now=now, event=event)
        ]

    def _take(self, *, now: float, event: Event) -> list[Command]:
        match event:
            case Heard():
                return self._hear(now=now, sender=event.sender, body=event.body)
            case Asked():
                return self._ask(now=now, event=event)
            case Called():
                return self._called(now=now, event=event)
            case StopAsked():
                return self._begin_stop(now=now)
            case Ticked():
                return self._look_at_alarms(now=now)
            case CallerLeft():
                # what was claimed for it goes on: its result is kept for the caller's repeat
                return []
            case Synced() | DiskFailed() | Checked():
                # a proxy has no disk, and checks no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    def _begin_stop(self, *, now: float) -> list[Command]:
        self.stopping = STOPPING.step(state=self.stopping, event="stop_asked")
        self.stop_by = now + constants.STOP_GRACE
        return [Log(event="stopping", fields={"open": len(self.exchanges.live)})]

    def acting(self, *, now: float) -> bool:
        """May this proxy act on what it holds?"""
        return self.lease.is_held(now=now, voters=self.held.voters()) and self.world.book.revision[1] >= 0

    def _ask(self, *, now: float, event: Asked) -> list:
        if event.path == "/sailward/status" and event.method == "GET":
            return [answer_json(token=event.token, code=200, body=self._show(now=now))]
        if event.path == "/sailward/explain" and event.method == "GET":
            seen = explain(now=now, query=event.query, chooser=self.chooser, acting=self.acting(now=now))
            return [answer_json(token=event.token, code=200, body=seen)]
        if self.stopping not in STOPPING.marks["taking"]:
            refusal = Refusal(code=503, reason="stopping", detail="this proxy is stopping: ask a directory for another")
            return [answer_refusal(token=event.token, refusal=refusal, not_run=is_promise_safe(event=event))]
        commands, begins = self.exchanges.step(now=now, event=event, acting=self.acting(now=now))
        return commands + self._begin(now=now, begins=begins)

    def _called(self, *, now: float, event: Called) -> list:
        if event.token.startswith("probe "):
            commands = self.world.prober.step(now=now, event=event)
            return commands + self._count_halls(now=now) if commands else []
        return self._give(now=now, event=event)

    def _give(self, *, now: float, event: object) -> list:
        commands, begins = self.exchanges.step(now=now, event=event, acting=self.acting(now=now))
        return commands + self._begin(now=now, begins=begins)

    def _hear(self, *, now: float, sender: str, body: dict) -> list:
        kind = body["kind"]
        if kind in TOLD:
            commands, settled = self.proposer.step(now=now, voters=self.held.voters(), event=(sender, body))
            return commands + self._settle(now=now, settled=settled)
        if kind == "grant":
            return self._take_grant(now=now, sender=sender, body=body)
        if kind == "push":
            return self._take_push(now=now, sender=sender, body=body)
        if kind == "want":
            return self.held.tell(to=sender, name=body["register"])
        if kind in ("peek", "peeked", "keep"):
            return self._give(now=now, event=(sender, body))
        if kind == "gossip":
            return self.roster.step(now=now, event=(sender, body))
        return [Log(event="message-unexpected", fields={"kind": kind, "from": sender})]

    def _take_grant(self, *, now: float, sender: str, body: dict) -> list:
        self.world.keep_view(now=now, identity=body["identity"], view=body["view"])
        self.controllers[sender] = (now, body["proxies"])
        return self._step_lease(now=now, event=(sender, body))

    def _step_lease(self, *, now: float, event: tuple | None) -> list:
        voters = self.held.voters()
        addresses = {*voters["members"].values(), *(one["post"] for one in self.roster.alive(kind="controller"))}
        epoch, revision = self.world.book.revision
        have = {**self.held.have(), "workers": [revision, str(epoch), [epoch, ""]]}
        report = {}
        if event is None:
            report = {
                **self.world.report(now=now, suspect=self.suspect),
                "busy": self.exchanges.busy(now=now),
                "rates": self.exchanges.rates(now=now),
            }
        return self.lease.step(
            now=now,
            event=event,
            voters=voters,
            addresses=sorted(addresses),
            report=report,
            daemon=self.roster.own_entry(),
            have=have,
        )

    def _take_push(self, *, now: float, sender: str, body: dict) -> list:
        name, value = body["name"], body["value"]
        ack = Tell(to=sender, body={"kind": "ack", "seq": body["seq"], "name": name, "number": body["number"]})
        if name == "workers":
            commands = self._take_list(now=now, value=value)
            # what can't be read is not acknowledged: it is pushed again
            return [*commands, ack] if commands is not None else self.refused.add(kind=name, reason=UNREADABLE_LIST)
        if not is_control(name=name):
            return [Log(event="push-unexpected", fields={"name": name})]
        commands = self._keep(now=now, name=name, ballot=body["ballot"], value=value)
        return [*commands, ack] if self.held.number(name=name) >= value["number"] else commands

    def _take_list(self, *, now: float, value: dict) -> list[Command] | None:
        rows = read_workers(text=value["text"], check=is_generation)
        epoch = value["mark"]
        if rows is None or not (epoch.isascii() and epoch.removeprefix("-").isdigit() and len(epoch) < 20):
            return None
        came, went = self.world.book.step(epoch=int(epoch), revision=value["number"], workers=rows)
        commands = self.world.prober.follow(now=now, workers=self.world.book.workers, warm=self.world.warm())
        if came or went:
            commands.append(Log(event="workers", fields={"came": len(came), "went": len(went)}))
        return commands + self._count_halls(now=now)

    def _keep(self, *, now: float, name: str, ballot: list, value: dict) -> list:
        plan = self.world.plan
        if name == "config" and self.held.is_news(name=name, value=value):
            config = load_config(value=value)
            if isinstance(config, Unreadable):
                return self.refused.add(kind="config", reason=config.reason, number=value["number"])
            _, plan = config
        is_news = self.held.step(name=name, ballot=ballot, value=value)
        self.lease.review()
        if not is_news:
            return []
        if name == "config":
            self.world.plan = plan
        elif name == "orders":
            self.world.emptied = read_orders(value=value)
        elif name.startswith(SLOTS):
            self.world.slots.step(name=name, value=value)
        return [Log(event="in-force", fields={"register": name, "number": value["number"]})]

    def _begin(self, *, now: float, begins: list[Begin]) -> list:
        commands = []
        for begin in begins:
            more, settled = self.proposer.step(now=now, voters=self.held.voters(), event=begin)
            commands += more + self._settle(now=now, settled=settled)
        return commands

    def _settle(self, *, now: float, settled: list) -> list:
        commands = []
        for one in settled:
            name = self._reading.pop(one.op, None)
            if one.register.startswith(PREFIX):
                commands += self._give(now=now, event=one)
            elif name is not None and isinstance(one.outcome, Accepted) and one.outcome.value["number"]:
                commands += self._keep(now=now, name=name, ballot=one.outcome.ballot, value=one.outcome.value)
        return commands

    def _look_at_alarms(self, *, now: float) -> list:
        commands, settled = self.proposer.step(now=now, voters=self.held.voters(), event=None)
        commands += self._settle(now=now, settled=settled)
        commands += self._step_lease(now=now, event=None)
        commands += self._read_what_is_behind(now=now)
        commands += self.roster.step(now=now, event=None)
        commands += self.world.prober.step(now=now, event=None)
        commands += self._give(now=now, event=None)
        if now - self._counted >= constants.COUNT_EVERY:
            commands += self._count_halls(now=now)
            self.chooser.bounds.forget(now=now, keep=set(self.world.book.workers))
        self.claims.peers = [
            Peer(name=one["id"], post=one["post"], region=one["region"], hall=one["hall"])
            for one in self.roster.alive(kind="proxy")
            if one["version"] not in constants.WITHOUT_COPIES
        ]
        heard = [count for at, count in self.controllers.values() if now - at < constants.SUBSCRIBER_LIFE]
        self.world.proxies = max([1, *heard])
        self.roster.fit = self.acting(now=now) and not self.suspect and self.stopping in STOPPING.marks["named"]
        return commands + self._look_at_stop(now=now)

    def _read_what_is_behind(self, *, now: float) -> list:
        begins = []
        for name, since in self.lease.behind.items():
            if now - since >= constants.READ_WAIT and name not in self._reading.values() and is_control(name=name):
                self._ops += 1
                op = f"{self.identity}/read{self._ops}"
                self._reading[op] = name
                begins.append(Begin(op=op, register=name, wait=constants.LEASE))
        return self._begin(now=now, begins=begins)

    def _count_halls(self, *, now: float) -> list:
        self._counted = now
        commands = self.world.halls.step(now=now, counts=self.world.counts())
        halls = {hall for _, hall in self.world.halls.halls}
        down = {
            hall
            for hall in halls
            if all(state.healthy == 0 for (_, name), state in self.world.halls.halls.items() if name == hall)
        }
        stood = {
            hall
            for hall in down
            if not all(
                self.world.standing_drained(now=now, service=service, hall=hall)
                for service, name in self.world.halls.halls
                if name == hall
            )
        }
        suspect = len(stood) > constants.SUSPECT_SELF * len(halls) and len(self.controllers) > 0
        if suspect != self.suspect:
            self.suspect = suspect
            commands.append(Log(event="suspects-itself" if suspect else "trusts-itself", fields={"down": len(down)}))
        return commands

    def _look_at_stop(self, *, now: float) -> list:
        if self.stopping == STOPPING.initial:
            return []
        if now >= self.stop_by - constants.STOP_GRACE + constants.LEAVE_WAIT:
            self.stopping = STOPPING.step(state=self.stopping, event="left")
        event = "grace_over" if now >= self.stop_by else "all_done" if not self.exchanges.live else ""
        self.stopping = STOPPING.step(state=self.stopping, event=event)
        return [Stop(code=0)] if self.stopping == "over" else []

    def _show(self, *, now: float) -> dict:
        workers = {key: probed.state for key, probed in self.world.prober.probed.items()}
        halls = {
            f"{service}|{hall}": [state.state, round(state.fraction, 3)]
            for (service, hall), state in self.world.halls.halls.items()
        }
        return {
            "id": self.place.name,
            "fit": self.roster.fit,
            "acting": self.acting(now=now),
            "suspect": self.suspect,
            "registers": {name: self.held.number(name=name) for name in CONTROL},
            "proxies": self.world.proxies,
            "halls": halls,
            "workers": workers,
            "tally": dict(self.exchanges.tally),
            "open": len(self.exchanges.sent),
            "unexpected_events": dict(self.unexpected.counts),
            "refused_input": dict(self.refused.counts),
        }
