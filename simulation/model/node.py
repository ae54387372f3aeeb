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

STATE_NUMBERS: dict[tuple, int] = {}
"""A number for each state of a node: equal for states that act alike."""
STEP_RESULTS: dict[tuple, StepResult] = {}
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


class Snapshotter:
    """The controller of one start of a node, and the parts of it that change: a state of it is the bytes of these.

    The parts stay the same objects, as others refer to them; what is not among them does not change what a voter does.
    """

    def __init__(self, *, controller: Controller) -> None:
        membership = controller.membership
        self.controller = controller
        self.parts = {
            "voter": controller.voter,
            "learner": controller.learner,
            "acceptor": controller.acceptor,
            "write-ahead": controller.write_ahead,
            "proposer": controller.proposer,
            "membership": membership,
            "copying": membership.copying,
            "recovery": membership.recovery,
            "recovery-copying": membership.recovery.copying,
            "catch-up": controller.catch_up,
        }
        shared = [
            controller.options,
            controller.peer_table,
            controller.location,
            membership.repair,
            controller.proposer._rng,
        ]
        self.objects = {**self.parts, **{f"shared-{at}": part for at, part in enumerate(shared)}}
        self.names_by_id = {id(part): name for name, part in self.objects.items()}

    def dump(self) -> bytes:
        """The bytes of this state."""
        buffer = io.BytesIO()
        pickler = pickle.Pickler(buffer, protocol=5)
        pickler.persistent_id = lambda part: self.names_by_id.get(id(part))
        pickler.dump([vars(part) for part in self.parts.values()])
        return buffer.getvalue()

    def load(self, *, snapshot: bytes) -> Controller:
        """The controller in this state; it is the same object for every state."""
        unpickler = pickle.Unpickler(io.BytesIO(snapshot))
        unpickler.persistent_load = self.objects.__getitem__
        for part, state in zip(self.parts.values(), unpickler.load(), strict=True):
            vars(part).clear()
            vars(part).update(state)
        return self.controller


SNAPSHOTTERS: dict[tuple[str, int], Snapshotter] = {}
"""By name and start of a node."""


@dataclass(frozen=True, kw_only=True)
class Facts:
    """What the explorer needs to know of a controller without opening it.

    `pending` are (operation, phase, number of answers still missing).
    `voters_message` is the message body by which it sends the set of voters it knows to others.
    """

    identity: str = ""
    number: int = 0
    members: tuple[tuple[str, str], ...] = ()
    is_voting: bool = False
    pending: frozenset = frozenset()
    voters_message: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Node:
    """A controller at one moment, with its disk."""

    name: str
    incarnation: int
    snapshot: bytes
    key: int
    facts: Facts
    disk: tuple = ()

    @property
    def address(self) -> str:
        """Its address."""
        return f"{self.name}:1"

    def open(self) -> Controller:
        """The controller in this state, to be stepped; until another state of this start is opened."""
        return SNAPSHOTTERS[self.name, self.incarnation].load(snapshot=self.snapshot)


@dataclass(frozen=True, kw_only=True)
class StepResult:
    """What came of an event: the node after it, what it sent, and what its proposer settled."""

    node: Node
    sent: list
    finished: list


def boot(*, name: str, incarnation: int, disk: tuple) -> Node:
    """Start a node on what its disk holds."""
    address = f"{name}:1"
    controller = Controller(
        location=Location(name=name, kind="controller", zone="h", region="r", post=address, http=address),
        platform="p:1",
        nonce=f"n{incarnation}",
        start=incarnation,
        rng=FixedRandom(),
        records=list(disk),
        now=0.0,
        options=OPTIONS,
    )
    recording = RecordingProposer(identity=controller.proposer.identity, rng=FixedRandom())
    controller.proposer = controller.registers._proposer = recording
    SNAPSHOTTERS[name, incarnation] = Snapshotter(controller=controller)
    node = Node(name=name, incarnation=incarnation, snapshot=b"", key=-1, facts=Facts(), disk=disk)
    # the first event stores the identity
    commands = controller.step(now=0.0, event=RecordsSynced(seq=0))
    return _execute(node=node, controller=controller, commands=commands).node


def found_group(*, node: Node, members: dict) -> Node:
    """Let a node found a core with these members, by the operators' order."""
    event = RequestReceived(
        token="t", method="POST", path="/found", query={}, headers={}, body=json.dumps({"members": members}).encode()
    )
    controller = node.open()
    return _execute(node=node, controller=controller, commands=controller.step(now=0.0, event=event)).node


def receive(*, node: Node, sender: str, event_name: str, body: dict, is_synced: bool = True) -> StepResult:
    """Deliver a message of the node `sender`; `event_name` is its name, equal only for equal ones."""

    def call(controller: Controller) -> list:
        return controller.step(now=0.0, event=MessageReceived(sender=f"{sender}:1", body=body))

    return run_step(node=node, event_name=f"{sender} {event_name}", call=call, is_synced=is_synced)


def run_step(*, node: Node, event_name: str, call: Callable[[Controller], list], is_synced: bool = True) -> StepResult:
    """Let a part of the controller act by itself: `call(controller)` gives its commands; `event_name` names it."""
    cache_key = (node.name, node.key, event_name, is_synced)
    if cache_key not in STEP_RESULTS:
        controller = node.open()
        STEP_RESULTS[cache_key] = _execute(
            node=node, controller=controller, commands=call(controller), is_synced=is_synced
        )
    return STEP_RESULTS[cache_key]


def clear_caches() -> None:
    """Forget what was noted of earlier searches: the product may have been changed since."""
    STEP_RESULTS.clear()
    STATE_NUMBERS.clear()


def _execute(*, node: Node, controller: Controller, commands: list, is_synced: bool = True) -> StepResult:
    """Carry out the commands and close the node again; without `is_synced` its stores are never written."""
    sent, disk, queue = [], node.disk, list(commands)
    while queue:
        command = queue.pop(0)
        if isinstance(command, SendMessage):
            sent.append(command)
        elif isinstance(command, (AppendRecords, RewriteRecords)) and is_synced:
            disk = (disk if isinstance(command, AppendRecords) else ()) + tuple(command.records)
            queue = [*controller.step(now=0.0, event=RecordsSynced(seq=command.seq)), *queue]
    finished = getattr(controller.proposer, "finished", [])
    controller.proposer.finished = []
    after = Node(
        name=node.name,
        incarnation=node.incarnation,
        snapshot=SNAPSHOTTERS[node.name, node.incarnation].dump(),
        key=STATE_NUMBERS.setdefault((node.incarnation, fingerprint(controller=controller)), len(STATE_NUMBERS)),
        facts=_facts(controller=controller),
        disk=disk,
    )
    return StepResult(node=after, sent=sent, finished=finished)


def _facts(*, controller: Controller) -> Facts:
    voters = controller.voters
    voters_message = controller.learner.send(to="", name="voters")
    return Facts(
        identity=controller.identity,
        number=voters.number,
        members=tuple(sorted(voters.members.items())),
        is_voting=controller.is_voting,
        pending=frozenset(
            _summarize(op=op, operation=operation) for op, operation in controller.proposer._pending.items()
        ),
        voters_message=voters_message[0].body if voters_message else {},
    )


def _summarize(*, op: str, operation: Operation) -> tuple[str, str, int]:
    return op, operation.phase, majority_size(members=operation.voters) - len(operation.answers)


def fingerprint(*, controller: Controller) -> str:
    """All that later steps depend on, as a text that is equal for equal states."""
    write_ahead, copying = controller.write_ahead, controller.membership.copying
    proposer = (controller.proposer._count, controller.proposer._round)
    operations = sorted(
        (
            op,
            operation.phase,
            operation.number,
            operation.ballot,
            sorted(operation.answers.items()),
            operation.value,
            operation.attempts,
        )
        for op, operation in controller.proposer._pending.items()
    )
    slots = sorted((name, _slot(slot=slot)) for name, slot in controller.acceptor.slots.items())
    learned = sorted(
        (name, vote.ballot, vote.value["number"], vote.value["mark"])
        for name, vote in controller.learner.values.items()
    )
    copied = (copying.number, sorted(copying.completed_sources), repr(sorted(copying.copied_votes.items())))
    unsynced = [(seq, len(replies)) for seq, replies in write_ahead.pending_replies]
    return repr(
        (
            controller.identity,
            write_ahead.has_copied,
            write_ahead.known_voters,
            unsynced,
            proposer,
            operations,
            slots,
            learned,
            copied,
        )
    )


def _slot(*, slot: Slot) -> tuple:
    return slot.promised, slot.ballot, slot.value
