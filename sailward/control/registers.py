"""Operations on registers, and the propagation of chosen values."""

from __future__ import annotations

from collections.abc import Callable

from sailward.consensus.learner import is_control_register
from sailward.consensus.proposer import EMPTY_VALUE, Accepted, OperationFinished, Proposer, Refused, StartOperation
from sailward.control.administration.admin_api import AdminApi
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.membership import Membership
from sailward.control.group.quorum_contact import QuorumContact
from sailward.control.group.voter import Voter
from sailward.control.proxies.serving import Serving
from sailward.control.shards.shard_leases import ShardLeases
from sailward.control.shards.shard_moves import ShardMoves
from sailward.discovery.peer_table import PeerTable
from sailward.events import CallFinished, Command, LogEvent, RefusedInput, SendMessage
from sailward.routing.plan import Plan, Unreadable, load_config
from sailward.wire_types import Ballot, Message, RegisterValue


class Registers:
    """Owner of the operations on registers that are in flight.

    `begin` starts operations, `receive` and `tick` advance them, `learn` takes a chosen value.
    """

    def __init__(
        self,
        *,
        voter: Voter,
        proposer: Proposer,
        contact: QuorumContact | None,
        admin_api: AdminApi,
        peer_table: PeerTable,
        membership: Membership,
        catch_up: CatchUp,
        shard_moves: ShardMoves,
        serving: Serving,
        shard_leases: ShardLeases | None,
        expand: Callable[[dict], dict] | None,
        refused: RefusedInput,
    ) -> None:
        self._voter, self._proposer, self._admin_api, self._peer_table = voter, proposer, admin_api, peer_table
        self._contact = contact
        self._membership, self._catch_up, self._shard_moves = membership, catch_up, shard_moves
        self._serving, self._shard_leases, self._expand = serving, shard_leases, expand
        self._refused = refused
        self._unreadable_change: str | None = None

    def tick(self, *, now: float) -> list[Command]:
        """Retry or expire operations as time passes."""
        commands, finished = self._proposer.step(now=now, voters=self._voter.voters, event=None)
        return commands + self._finish(now=now, finished=finished)

    def receive(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Handle a voter's reply to an operation; a nack proves no contact, as it may come under another voter set."""
        if self._contact is not None and body["kind"] != "nack":
            self._contact.on_reply(peer=sender, request=body["op"])
        commands, finished = self._proposer.step(now=now, voters=self._voter.voters, event=(sender, body))
        return commands + self._finish(now=now, finished=finished)

    def begin(self, *, now: float, operations: list[StartOperation]) -> list[Command]:
        """Begin these operations; returns the messages to send, and answers to operations that finish at once."""
        commands = []
        for operation in operations:
            if self._contact is not None:
                self._contact.record_request(now=now, request=operation.op)
            started, finished = self._proposer.step(now=now, voters=self._voter.voters, event=operation)
            commands += started + self._finish(now=now, finished=finished)
        return commands

    def step_shard_leases(self, *, now: float, event: CallFinished | None) -> list[Command]:
        """Step the shard leases, if there are any, and begin the operations that they request."""
        if self._shard_leases is None:
            return []
        commands, operations = self._shard_leases.step(now=now, event=event)
        return commands + self.begin(now=now, operations=operations)

    def learn(self, *, now: float, name: str, ballot: Ballot, value: RegisterValue, announce: bool) -> list[Command]:
        """Keep a chosen value, push it to subscribers, and if `announce` is set send it to the other controllers."""
        if not is_control_register(name=name):
            return []
        config = self._load_config(name=name, value=value)
        if isinstance(config, Unreadable):
            self._unreadable_change = value["mark"]
            return self._refused.add(kind="config", reason=config.reason, number=value["number"])
        was_member = self._voter.is_member
        if not self._voter.learner.step(name=name, ballot=ballot, value=value):
            return []
        logs = [LogEvent(event="in-force", fields={"register": name, "number": value["number"]})]
        if name == "voters" and was_member and self._membership.is_removed_by(value=value):
            logs.append(LogEvent(event="removed-from-voters", fields={"was": self._voter.identity}))
        if config is not None:
            self._admin_api.full_config, self._shard_moves.plan = config
        commands = self._voter.write_ahead.store_known_voters(ballot=ballot, value=value) if name == "voters" else []
        commands += self._serving.push(now=now)
        if announce:
            commands += self._announce_chosen(name=name, ballot=ballot, value=value)
        return [*logs, *self.step_shard_leases(now=now, event=None), *commands]

    def _load_config(self, *, name: str, value: RegisterValue) -> tuple[dict, Plan] | Unreadable | None:
        if name != "config" or not self._voter.learner.is_newer(name=name, value=value):
            return None
        return load_config(value=value, expand=self._expand)

    def _finish(self, *, now: float, finished: list[OperationFinished]) -> list[Command]:
        """Handle finished operations: learn the value that each found, and notify the part that began it."""
        commands = []
        for end in finished:
            ballot, value = getattr(end.outcome, "ballot", [0, ""]), getattr(end.outcome, "value", None)
            if is_control_register(name=end.register) and value and value["number"]:
                commands += self.learn(now=now, name=end.register, ballot=ballot, value=value, announce=True)
            if is_control_register(name=end.register) and isinstance(end.outcome, Accepted):
                self._catch_up.record_confirmed(now=now, name=end.register)
            if not self._catch_up.finish(now=now, end=end):
                mark = value["mark"] if value else None
                is_unreadable = end.register == "config" and mark is not None and mark == self._unreadable_change
                answers, operations = self._admin_api.step(event=_without_value(end=end) if is_unreadable else end)
                commands += answers + self.begin(now=now, operations=operations)
        return commands

    def _announce_chosen(self, *, name: str, ballot: Ballot, value: RegisterValue) -> list[Command]:
        body = {"kind": "chosen", "register": name, "ballot": ballot, "value": value}
        addresses = {
            *self._voter.voters.members.values(),
            *(peer["post"] for peer in self._peer_table.alive(kind="controller")),
        }
        return [SendMessage(to=post, body=body) for post in sorted(addresses - {self._voter.location.post})]


def _without_value(*, end: OperationFinished) -> OperationFinished:
    """The end of an operation that found an unreadable value, reported as if it had found none."""
    outcome = Refused(reason="unreadable", value=EMPTY_VALUE, ballot=[0, ""])
    return OperationFinished(op=end.op, register=end.register, outcome=outcome)
