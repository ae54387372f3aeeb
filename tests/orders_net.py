"""Three control machines reduced to what handles orders: acceptor, proposer and admin API, run step by step.

Messages and answers are queued until a test delivers, drops or duplicates them. A crash resets the proposer and the
admin API but keeps the acceptor's votes. What the operators saw is checked as one history for linearizability.
"""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass, field

from sailward.config.check import ValidConfig
from sailward.consensus.acceptor import Acceptor, Slots
from sailward.consensus.proposer import Proposer, StartOperation
from sailward.consensus.voter_set import VoterSet
from sailward.control.administration.admin_api import AdminApi
from sailward.events import ConfigValidated, RequestReceived, Respond, SendMessage, ValidateConfig
from simulation.linearizability import Operation, Violation, find_violation
from simulation.operator_models import (
    LabelledChange,
    LabelledConflict,
    LabelledRead,
    LabelledRegister,
    Zone,
    ZoneOrder,
    ZoneRead,
)
from tests.core_net import OPERATORS, ZONES

NODES = 3
VOTING = ("prepare", "accept", "read", "first")
REFUSED = (400, 409, 412, 413, 422)
AT_ONCE = 8
"""The most orders that wait for an answer at the same time."""
TESTED_ZONES = ("gdl-a", "ens-a")


@dataclass(kw_only=True, eq=False)
class Call:
    """One order of an operator, which may be sent several times. `code` is that of its first definitive answer."""

    method: str
    path: str
    body: bytes = b""
    if_match: str = ""
    base: int = 0
    label: int = 0
    content: str = ""
    begun: int = 0
    ended: float = math.inf
    code: int = 0
    answer: object = None
    tokens: list = field(default_factory=list)
    awaited_token: str = ""
    sent_moments: list = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Is its operator still waiting for a definitive answer?"""
        return self.code == 0


class Node:
    """One machine; each start has a new identity."""

    def __init__(self, *, name: str) -> None:
        self.name, self.starts = name, 0
        self.acceptor = Acceptor(slots=Slots())
        self.start()

    def start(self) -> None:
        self.starts += 1
        identity = f"{self.name}#{self.starts}"
        self.proposer = Proposer(identity=identity, rng=random.Random(identity))
        self.admin = AdminApi(identity=identity, dialect=OPERATORS.OperatorsDialect(zones=ZONES))
        self.admin.zones = frozenset(ZONES)


class OrdersNet:
    """Nodes, messages and answers in flight, and the calls of all operators."""

    def __init__(self) -> None:
        self.nodes = [Node(name=f"m{at}") for at in range(NODES)]
        self.voters = VoterSet(number=1, members={f"v{at}": node.name for at, node in enumerate(self.nodes)})
        self.now, self.moment = 0.0, 0
        self.messages: list[tuple[str, str, dict]] = []
        self.answers: list[Respond] = []
        self.calls: list[Call] = []
        self.at: dict[str, Node] = {}

    # operators' actions

    def change(self, *, at: int, base: int, label: int, is_patch: bool, variant: int) -> Call:
        """Send a configuration change based on a version."""
        content = f"{0.1 + variant / 1000:.3f}"
        rule = make_rule(target=float(content))
        listeners = [{"hostname": "a.example", "ruleset": [rule]}]
        whole = {"generation": f"r{label}", "listeners": listeners, "pools": [{"name": "red"}]}
        patch = {"generation": f"r{label}", "upsert": {"listeners": listeners}}
        call = Call(
            method="PATCH" if is_patch else "PUT",
            path="/config",
            body=json.dumps(patch if is_patch else whole).encode(),
            if_match=f"r{base}" if base else "0",
            base=base,
            label=label,
            content=content,
        )
        return self._begin(call=call, at=at)

    def order(self, *, at: int, zone: str, is_emptied: bool) -> Call:
        """Send an order on a zone."""
        return self._begin(call=Call(method="POST" if is_emptied else "DELETE", path=f"/evacuation/{zone}"), at=at)

    def read(self, *, at: int, path: str) -> Call:
        """Send a read."""
        return self._begin(call=Call(method="GET", path=path), at=at)

    def resend(self, *, call: Call, at: int) -> None:
        """The operator closes its open connections and resends the call to a machine."""
        self.disconnect(call=call)
        self.moment += 1
        call.sent_moments.append(self.moment)
        self._send(call=call, at=at)
        call.awaited_token = call.tokens[-1]

    def disconnect(self, *, call: Call) -> None:
        """The operator closes all connections of a call."""
        for token in call.tokens:
            self.at[token].admin.on_client_disconnected(token=token)

    def send_late(self, *, call: Call, at: int) -> None:
        """A delayed copy of the call arrives, and its connection closes right after it."""
        self._send(call=call, at=at)
        self.at[call.tokens[-1]].admin.on_client_disconnected(token=call.tokens[-1])

    # events of the network and the machines

    def deliver(self, *, index: int, is_doubled: bool = False) -> None:
        """One message arrives."""
        index %= len(self.messages)
        to, sender, body = self.messages[index] if is_doubled else self.messages.pop(index)
        node = next(candidate for candidate in self.nodes if candidate.name == to)
        if body["kind"] in VOTING:
            _, reply = node.acceptor.step(now=self.now, body=body)
            self.messages.append((sender, to, reply))
            return
        commands, finished = node.proposer.step(now=self.now, voters=self.voters, event=(sender, body))
        self._carry_out(node=node, commands=commands)
        self._finish(node=node, finished=finished)

    def lose(self, *, index: int) -> None:
        """One message is lost."""
        self.messages.pop(index % len(self.messages))

    def answer(self, *, index: int, is_lost: bool) -> None:
        """One answer arrives, or is lost."""
        answer = self.answers.pop(index % len(self.answers))
        call = next(candidate for candidate in self.calls if answer.token in candidate.tokens)
        is_clear = answer.code == 200 or answer.code in REFUSED or (call.method == "GET" and answer.code == 404)
        # an answer on a connection that the operator has closed reaches nobody
        if not is_lost and answer.token == call.awaited_token and call.is_open and is_clear:
            self.moment += 1
            call.code, call.ended, call.answer = answer.code, self.moment, json.loads(answer.body)

    def crash(self, *, at: int) -> None:
        """Restart a machine's process; its votes are on disk."""
        self.nodes[at].start()

    def wait(self, *, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds
        for node in self.nodes:
            commands, finished = node.proposer.step(now=self.now, voters=self.voters, event=None)
            self._carry_out(node=node, commands=commands)
            self._finish(node=node, finished=finished)

    def settle(self, *, rounds: int = 40) -> None:
        """Deliver everything in order for a number of rounds."""
        for _ in range(rounds):
            for _ in range(200):
                if not self.messages:
                    break
                self.deliver(index=0)
            while self.answers:
                self.answer(index=0, is_lost=False)
            self.wait(seconds=0.1)

    # checks

    def finish(self) -> Violation | None:
        """Settle, read everything at each machine, and return the first violation on any object."""
        self.settle()
        for at in range(NODES):
            self.read(at=at, path="/config")
            self.read(at=at, path="/orders")
            self.settle(rounds=10)
        violations = [find_violation(operations=self._config(), model=LabelledRegister())]
        violations += [find_violation(operations=self._zone(zone=zone), model=Zone()) for zone in TESTED_ZONES]
        return next((violation for violation in violations if violation is not None), None)

    def _config(self) -> list[Operation]:
        operations = []
        for call in self.calls:
            if call.path != "/config":
                continue
            name = f"{call.method} r{call.label} on r{call.base}: {call.code}"
            if call.method == "GET":
                if call.code:
                    operations.append(_operation(call=call, name=name, act=_config_read(call=call)))
            elif call.code == 412:
                operations.append(_operation(call=call, name=name, act=LabelledConflict(base=call.base)))
            elif call.code in (0, 200):
                act = LabelledChange(base=call.base, label=call.label, content=call.content)
                operations.append(_operation(call=call, name=name, act=act))
        return operations

    def _zone(self, *, zone: str) -> list[Operation]:
        operations = []
        for call in self.calls:
            if call.path == f"/evacuation/{zone}":
                operations += _zone_orders(call=call)
            elif call.path == "/orders" and call.code:
                is_emptied = zone in call.answer["orders"].get("emptied", ())
                operations.append(_operation(call=call, name=f"read {is_emptied}", act=ZoneRead(is_emptied=is_emptied)))
        return operations

    def _begin(self, *, call: Call, at: int) -> Call:
        self.moment += 1
        call.begun = self.moment
        call.sent_moments.append(self.moment)
        self.calls.append(call)
        self._send(call=call, at=at)
        call.awaited_token = call.tokens[-1]
        return call

    def _send(self, *, call: Call, at: int) -> None:
        token = f"desk {len(self.at)}"
        node = self.at[token] = self.nodes[at]
        call.tokens.append(token)
        headers = {"if-match": call.if_match} if call.if_match else {}
        asked = {"method": call.method, "path": call.path, "query": {}, "headers": headers, "body": call.body}
        self._admin(node=node, event=RequestReceived(token=token, **asked))

    def _admin(self, *, node: Node, event: object) -> None:
        commands, begins = node.admin.step(event=event)
        for command in commands:
            if isinstance(command, Respond):
                self.answers.append(command)
            elif isinstance(command, ValidateConfig):
                verdict = ValidConfig(written=command.config, full=command.config, warnings=())
                self._admin(node=node, event=ConfigValidated(token=command.token, verdict=verdict))
        for begin in begins:
            self._propose(node=node, begin=begin)

    def _propose(self, *, node: Node, begin: StartOperation) -> None:
        commands, finished = node.proposer.step(now=self.now, voters=self.voters, event=begin)
        self._carry_out(node=node, commands=commands)
        self._finish(node=node, finished=finished)

    def _carry_out(self, *, node: Node, commands: list) -> None:
        sent = [command for command in commands if isinstance(command, SendMessage)]
        self.messages += [(command.to, node.name, command.body) for command in sent]

    def _finish(self, *, node: Node, finished: list) -> None:
        for operation in finished:
            self._admin(node=node, event=operation)


def make_rule(*, target: float) -> dict:
    """The only route; its target identifies the configuration."""
    return {
        "name": "r",
        "route_kind": "idempotent",
        "target_s": target,
        "matcher": {"path_prefix": "/p/"},
        "verdict": {"service": "red", "deadline_s": 2.0, "max_tries": 2},
    }


def _operation(*, call: Call, name: str, act: object) -> Operation:
    return Operation(name=name, begun=call.begun, ended=call.ended, call=act, is_certain=not call.is_open)


def _zone_orders(*, call: Call) -> list[Operation]:
    """One order and its copies.

    A copy is indistinguishable from a new identical order, so each copy that arrived in time may have its own effect,
    but not after the order was acknowledged. A copy that arrived late has no effect.
    """
    name, act = f"{call.method}: {call.code}", ZoneOrder(is_emptied=call.method == "POST")
    copies = call.sent_moments if call.is_open else call.sent_moments[:-1]
    attempts = [Operation(name=name, begun=copy, ended=call.ended, call=act, is_certain=False) for copy in copies]
    return attempts if call.is_open else [*attempts, _operation(call=call, name=name, act=act)]


def _config_read(*, call: Call) -> LabelledRead:
    if call.code == 404:
        return LabelledRead(label=0)
    rule = call.answer["listeners"][0]["ruleset"][0]
    return LabelledRead(label=int(call.answer["generation"][1:]), content=f"{rule['target_s']:.3f}")


class RandomOperators:
    """A long random history: up to eight concurrent orders, most answers lost, messages lost, duplicated, reordered.

    `focus` selects a workload: "zones" sends orders on one zone only, "chains" bases changes on changes that are not
    known to be accepted.
    """

    def __init__(self, *, seed: int, answers_lost: float = 0.9, focus: str = "") -> None:
        self.net, self.rng, self.answers_lost, self.focus = OrdersNet(), random.Random(seed), answers_lost, focus
        self.label = 0

    def run(self, *, steps: int) -> Violation | None:
        """Run `steps` random steps, then settle and check."""
        for _ in range(steps):
            self._step()
        return self.net.finish()

    def _step(self) -> None:
        net, rng = self.net, self.rng
        self._pass_on(count=rng.randrange(60))
        if self.focus == "zones":
            self._step_zones()
            return
        chance = rng.random()
        waiting = [call for call in net.calls if call.is_open and call.method != "GET"]
        sent = [call for call in net.calls if call.method != "GET"]
        if chance < 0.12 and len(waiting) < AT_ONCE:
            self._change()
        elif chance < 0.16 and len(waiting) < AT_ONCE:
            net.order(at=rng.randrange(NODES), zone=rng.choice(TESTED_ZONES), is_emptied=rng.random() < 0.5)
        elif chance < 0.40 and waiting:
            net.resend(call=rng.choice(waiting), at=rng.randrange(NODES))
        elif chance < 0.42 and sent:
            net.send_late(call=rng.choice(sent), at=rng.randrange(NODES))
        elif chance < 0.50:
            net.read(at=rng.randrange(NODES), path=rng.choice(("/config", "/orders")))
        elif chance < 0.51:
            net.crash(at=rng.randrange(NODES))
        elif chance < 0.60:
            net.wait(seconds=rng.choice((0.02, 0.05, 0.35)))
        elif net.messages and chance < 0.65:
            net.lose(index=rng.randrange(len(net.messages)))

    def _step_zones(self) -> None:
        net, rng, chance = self.net, self.rng, self.rng.random()
        waiting = [call for call in net.calls if call.is_open and call.method != "GET"]
        sent = [call for call in net.calls if call.method != "GET"]
        if chance < 0.2 and len(waiting) < 3:
            net.order(at=rng.randrange(NODES), zone=TESTED_ZONES[0], is_emptied=rng.random() < 0.5)
        elif chance < 0.35 and waiting:
            net.resend(call=rng.choice(waiting), at=rng.randrange(NODES))
        elif chance < 0.4 and sent:
            net.send_late(call=rng.choice(sent), at=rng.randrange(NODES))
        elif chance < 0.6:
            net.read(at=rng.randrange(NODES), path="/orders")
        elif chance < 0.62:
            net.crash(at=rng.randrange(NODES))
        elif chance < 0.7:
            net.wait(seconds=rng.choice((0.02, 0.05, 0.35)))
        elif net.messages and chance < 0.8:
            net.lose(index=rng.randrange(len(net.messages)))

    def _pass_on(self, *, count: int) -> None:
        net, rng = self.net, self.rng
        for _ in range(count):
            if net.messages:
                # mostly in order, as on connections, and rarely duplicated
                span = 1 if rng.random() < 0.7 else len(net.messages)
                net.deliver(index=rng.randrange(span), is_doubled=rng.random() < 0.02)
        while net.answers and rng.random() < 0.8:
            index = rng.randrange(len(net.answers))
            is_read = any(net.answers[index].token in call.tokens and call.method == "GET" for call in net.calls)
            net.answer(index=index, is_lost=not is_read and rng.random() < self.answers_lost)

    def _change(self) -> None:
        net, rng = self.net, self.rng
        known = [call.label for call in net.calls if call.label and call.code == 200]
        known += [
            _config_read(call=call).label
            for call in net.calls
            if call.method == "GET" and call.path == "/config" and call.code == 200
        ]
        newest = max(known, default=0)
        base = newest if rng.random() < 0.8 else rng.choice([0, *known])
        if self.focus == "chains" and rng.random() < 0.5:
            base = self.label
        self.label = max(newest, self.label) + rng.randrange(0, 3)
        self.label = max(self.label, base + 1)
        net.change(
            at=rng.randrange(NODES),
            base=base,
            label=self.label,
            is_patch=base > 0 and rng.random() < 0.4,
            variant=len(net.calls),
        )
