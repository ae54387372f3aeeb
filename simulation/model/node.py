"""One controller under the explorer: built by the product's own class, stepped by single events, cloned by bytes."""

from __future__ import annotations

import copyreg
import io
import json
import pickle
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward.consensus.acceptor import Slot, Slots
from sailward.consensus.proposer import Operation, OperationFinished, Proposer, majority_size
from sailward.control.controller import Controller
from sailward.control.controller_options import ControllerOptions
from sailward.discovery.peer_table import Location
from sailward.events import AppendRecords, MessageReceived, RecordsSynced, RequestReceived, RewriteRecords, SendMessage

KEYS: dict[tuple, int] = {}
"""A number for each state of a node: equal for states that act alike."""
STEPS: dict[tuple, Stepped] = {}
"""What came of an event at a node in a state: many global states share one of a node."""
OPTIONS = ControllerOptions(copy_retry_interval=0.0)
NEVER = 1e12
"""s. An operation under the explorer expires only when an action says so."""


def _make_slots(items: dict) -> Slots:
    slots = Slots()
    for name, slot in items.items():
        slots[name] = slot
    return slots


copyreg.pickle(Slots, lambda slots: (_make_slots, (dict(slots),)))


class FixedRandom:
    """In place of a random generator: every pause is half of its bound."""

    def random(self) -> float:
        """The middle."""
        return 0.5


class RecordingProposer(Proposer):
    """The product's proposer; what it settles is noted for the checks."""

    finished: list[OperationFinished]

    def step(self, *, now: float, voters: dict, event: object) -> tuple[list, list[OperationFinished]]:
        """As the product's."""
        commands, finished = super().step(now=now, voters=voters, event=event)
        self.finished = [*getattr(self, "finished", []), *finished]
        return commands, finished


class Mold:
    """The controller of one start of a node, and the parts of it that change: a state of it is the bytes of these.

    The parts stay the same objects, as others refer to them; what is not among them does not change what a voter does.
    """

    def __init__(self, *, controller: Controller) -> None:
        membership = controller.membership
        self.controller = controller
        self.parts = {
            "voter": controller.voter,
            "held": controller.learner,
            "acceptor": controller.acceptor,
            "ledger": controller.write_ahead,
            "proposer": controller.proposer,
            "membership": membership,
            "copying": membership.copying,
            "anew": membership.recovery,
            "anew-copying": membership.recovery.copying,
            "catch-up": controller.catch_up,
        }
        shared = [
            controller.options,
            controller.peer_table,
            controller.location,
            membership.repair,
            controller.proposer._rng,
        ]
        self.named = {**self.parts, **{f"shared-{at}": part for at, part in enumerate(shared)}}
        self.names = {id(part): name for name, part in self.named.items()}

    def dump(self) -> bytes:
        """The bytes of this state."""
        out = io.BytesIO()
        pickler = pickle.Pickler(out, protocol=5)
        pickler.persistent_id = lambda part: self.names.get(id(part))
        pickler.dump([vars(part) for part in self.parts.values()])
        return out.getvalue()

    def load(self, *, blob: bytes) -> Controller:
        """The controller in this state; it is the same object for every state."""
        unpickler = pickle.Unpickler(io.BytesIO(blob))
        unpickler.persistent_load = self.named.__getitem__
        for part, state in zip(self.parts.values(), unpickler.load(), strict=True):
            vars(part).clear()
            vars(part).update(state)
        return self.controller


MOLDS: dict[tuple[str, int], Mold] = {}
"""By name and start of a node."""


@dataclass(frozen=True, kw_only=True)
class Facts:
    """What the explorer needs to know of a controller without opening it.

    `live` are (operation, phase, answers that it still needs); `told` is how it tells the voters that it knows.
    """

    identity: str = ""
    number: int = 0
    members: tuple[tuple[str, str], ...] = ()
    is_voting: bool = False
    live: frozenset = frozenset()
    told: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Node:
    """A controller at one moment, with its disk."""

    name: str
    starts: int
    blob: bytes
    key: int
    facts: Facts
    disk: tuple = ()

    @property
    def post(self) -> str:
        """Its address."""
        return f"{self.name}:1"

    def open(self) -> Controller:
        """The controller in this state, to be stepped; until another state of this start is opened."""
        return MOLDS[self.name, self.starts].load(blob=self.blob)


@dataclass(frozen=True, kw_only=True)
class Stepped:
    """What came of an event: the node after it, what it sent, and what its proposer settled."""

    node: Node
    sent: list
    finished: list


def boot(*, name: str, starts: int, disk: tuple) -> Node:
    """Start a node on what its disk holds."""
    post = f"{name}:1"
    controller = Controller(
        location=Location(name=name, kind="controller", zone="h", region="r", post=post, http=post),
        platform="p:1",
        nonce=f"n{starts}",
        start=starts,
        rng=FixedRandom(),
        records=list(disk),
        now=0.0,
        options=OPTIONS,
    )
    recording = RecordingProposer(identity=controller.proposer.identity, rng=FixedRandom())
    controller.proposer = controller.registers._proposer = recording
    MOLDS[name, starts] = Mold(controller=controller)
    node = Node(name=name, starts=starts, blob=b"", key=-1, facts=Facts(), disk=disk)
    # the first event stores the identity
    commands = controller.step(now=0.0, event=RecordsSynced(seq=0))
    return _finish(node=node, controller=controller, commands=commands).node


def found(*, node: Node, members: dict) -> Node:
    """Let a node found a core with these members, by the operators' order."""
    event = RequestReceived(
        token="t", method="POST", path="/found", query={}, headers={}, body=json.dumps({"members": members}).encode()
    )
    controller = node.open()
    return _finish(node=node, controller=controller, commands=controller.step(now=0.0, event=event)).node


def receive(*, node: Node, sender: str, word: str, body: dict, is_synced: bool = True) -> Stepped:
    """Deliver a message of the node `sender`; `word` is its name, equal only for equal ones."""

    def call(controller: Controller) -> list:
        return controller.step(now=0.0, event=MessageReceived(sender=f"{sender}:1", body=body))

    return act(node=node, word=f"{sender} {word}", call=call, is_synced=is_synced)


def act(*, node: Node, word: str, call: Callable[[Controller], list], is_synced: bool = True) -> Stepped:
    """Let a part of the controller act by itself: `call(controller)` gives its commands; `word` names it."""
    known = (node.name, node.key, word, is_synced)
    if known not in STEPS:
        controller = node.open()
        STEPS[known] = _finish(node=node, controller=controller, commands=call(controller), is_synced=is_synced)
    return STEPS[known]


def forget_steps() -> None:
    """Forget what was noted of earlier searches: the product may have been changed since."""
    STEPS.clear()
    KEYS.clear()


def _finish(*, node: Node, controller: Controller, commands: list, is_synced: bool = True) -> Stepped:
    """Carry out the commands and close the node again; without `is_synced` its stores are never written."""
    sent, disk, line = [], node.disk, list(commands)
    while line:
        command = line.pop(0)
        if isinstance(command, SendMessage):
            sent.append(command)
        elif isinstance(command, (AppendRecords, RewriteRecords)) and is_synced:
            disk = (disk if isinstance(command, AppendRecords) else ()) + tuple(command.records)
            line = [*controller.step(now=0.0, event=RecordsSynced(seq=command.seq)), *line]
    finished = getattr(controller.proposer, "finished", [])
    controller.proposer.finished = []
    after = Node(
        name=node.name,
        starts=node.starts,
        blob=MOLDS[node.name, node.starts].dump(),
        key=KEYS.setdefault((node.starts, fingerprint(controller=controller)), len(KEYS)),
        facts=_facts(controller=controller),
        disk=disk,
    )
    return Stepped(node=after, sent=sent, finished=finished)


def _facts(*, controller: Controller) -> Facts:
    voters = controller.voters
    told = controller.learner.send(to="", name="voters")
    return Facts(
        identity=controller.identity,
        number=voters.number,
        members=tuple(sorted(voters.members.items())),
        is_voting=controller.is_voting,
        live=frozenset(_work(op=op, work=work) for op, work in controller.proposer._pending.items()),
        told=told[0].body if told else {},
    )


def _work(*, op: str, work: Operation) -> tuple[str, str, int]:
    return op, work.phase, majority_size(members=work.voters) - len(work.answers)


def fingerprint(*, controller: Controller) -> str:
    """All that later steps depend on, as a text that is equal for equal states."""
    write_ahead, copying = controller.write_ahead, controller.membership.copying
    proposer = (controller.proposer._count, controller.proposer._round)
    operations = sorted(
        (op, work.phase, work.number, work.ballot, sorted(work.answers.items()), work.value, work.attempts)
        for op, work in controller.proposer._pending.items()
    )
    slots = sorted((name, _slot(slot=slot)) for name, slot in controller.acceptor.slots.items())
    held = sorted(
        (name, one.ballot, one.value["number"], one.value["mark"]) for name, one in controller.learner.values.items()
    )
    copied = (copying.number, sorted(copying.completed_sources), repr(sorted(copying.copied_votes.items())))
    waiting = [(seq, len(replies)) for seq, replies in write_ahead.pending_replies]
    return repr(
        (
            controller.identity,
            write_ahead.has_copied,
            write_ahead.known_voters,
            waiting,
            proposer,
            operations,
            slots,
            held,
            copied,
        )
    )


def _slot(*, slot: Slot) -> tuple:
    return slot.promised, slot.ballot, slot.value
