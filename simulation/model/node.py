"""A controller under the explorer: an instance of the product's own class, stepped by single events and pickled."""

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
"""A number for each state of a node: equal for states that behave alike."""
STEP_RESULTS: dict[tuple, StepResult] = {}
"""The cached result of an event at a node in a state: many global states share the state of a node."""
OPTIONS = ControllerOptions(copy_retry_interval=0.0)
NEVER = 1e12
"""s. The time-out of operations: under the explorer they expire only by an action."""


def _make_slots(items: dict) -> Slots:
    slots = Slots()
    for name, slot in items.items():
        slots[name] = slot
    return slots


copyreg.pickle(Slots, lambda slots: (_make_slots, (dict(slots),)))


class FixedRandom:
    """Replaces a random generator: every pause is half of its bound."""

    def random(self) -> float:
        """Returns the middle of the interval."""
        return 0.5


class RecordingProposer(Proposer):
    """The product's proposer; the operations that it finishes are recorded for the checks."""

    finished: list[OperationFinished]

    def step(self, *, now: float, voters: dict, event: object) -> tuple[list, list[OperationFinished]]:
        """Steps the proposer and records the finished operations."""
        commands, finished = super().step(now=now, voters=voters, event=event)
        self.finished = [*getattr(self, "finished", []), *finished]
        return commands, finished


class Snapshotter:
    """Pickles and restores the state of the controller of one incarnation of a node.

    A snapshot holds the attributes of the parts that change. The parts remain the same objects, as other objects refer
    to them; anything that is not among them has no influence on what a voter does.
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
        """Pickles the current state."""
        buffer = io.BytesIO()
        pickler = pickle.Pickler(buffer, protocol=5)
        pickler.persistent_id = lambda part: self.names_by_id.get(id(part))
        pickler.dump([vars(part) for part in self.parts.values()])
        return buffer.getvalue()

    def load(self, *, snapshot: bytes) -> Controller:
        """Restores a state and returns the controller, which is the same object for every state."""
        unpickler = pickle.Unpickler(io.BytesIO(snapshot))
        unpickler.persistent_load = self.objects.__getitem__
        for part, state in zip(self.parts.values(), unpickler.load(), strict=True):
            vars(part).clear()
            vars(part).update(state)
        return self.controller


SNAPSHOTTERS: dict[tuple[str, int], Snapshotter] = {}
"""Snapshotters by name and incarnation of a node."""


@dataclass(frozen=True, kw_only=True)
class Facts:
    """The attributes of a controller that the explorer needs without restoring it.

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
        """The address that other controllers send messages to."""
        return f"{self.name}:1"

    def open(self) -> Controller:
        """The controller restored to this state, valid until another state of this incarnation is opened."""
        return SNAPSHOTTERS[self.name, self.incarnation].load(snapshot=self.snapshot)


@dataclass(frozen=True, kw_only=True)
class StepResult:
    """The result of an event: the node after it, the messages it sent, and the operations its proposer finished."""

    node: Node
    sent: list
    finished: list


def boot(*, name: str, incarnation: int, disk: tuple) -> Node:
    """Starts a node from the records on its disk."""
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
    # the first event stores the controller's identity
    commands = controller.step(now=0.0, event=RecordsSynced(seq=0))
    return _execute(node=node, controller=controller, commands=commands).node


def found_group(*, node: Node, members: dict) -> Node:
    """Makes a node found a control group with these members, as by an operator's request."""
    event = RequestReceived(
        token="t", method="POST", path="/found", query={}, headers={}, body=json.dumps({"members": members}).encode()
    )
    controller = node.open()
    return _execute(node=node, controller=controller, commands=controller.step(now=0.0, event=event)).node


def receive(*, node: Node, sender: str, event_name: str, body: dict, is_synced: bool = True) -> StepResult:
    """Delivers a message from the node `sender`; `event_name` must differ for different messages."""

    def call(controller: Controller) -> list:
        return controller.step(now=0.0, event=MessageReceived(sender=f"{sender}:1", body=body))

    return run_step(node=node, event_name=f"{sender} {event_name}", call=call, is_synced=is_synced)


def run_step(*, node: Node, event_name: str, call: Callable[[Controller], list], is_synced: bool = True) -> StepResult:
    """Calls into the controller: `call(controller)` returns its commands; `event_name` is the cache key of the call."""
    cache_key = (node.name, node.key, event_name, is_synced)
    if cache_key not in STEP_RESULTS:
        controller = node.open()
        STEP_RESULTS[cache_key] = _execute(
            node=node, controller=controller, commands=call(controller), is_synced=is_synced
        )
    return STEP_RESULTS[cache_key]


def clear_caches() -> None:
    """Clears what earlier searches cached: the product may have been patched since."""
    STEP_RESULTS.clear()
    STATE_NUMBERS.clear()


def _execute(*, node: Node, controller: Controller, commands: list, is_synced: bool = True) -> StepResult:
    """Executes the commands and takes a snapshot; without `is_synced` nothing reaches the disk."""
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
    """A text of everything that later steps depend on, equal for equivalent states."""
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
