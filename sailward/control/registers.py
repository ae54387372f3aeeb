"""Operations on registers, and what follows from a value that is known to have been chosen."""

from __future__ import annotations

from collections.abc import Callable

from sailward.consensus.held import is_control
from sailward.consensus.proposer import Begin, Proposer, Settled
from sailward.control.admin_api import AdminApi
from sailward.control.catch_up import CatchUp
from sailward.control.membership import Membership
from sailward.control.moves import Moves
from sailward.control.serving import Serving
from sailward.control.shard_leases import ShardLeases
from sailward.control.voter import Voter
from sailward.discovery.gossip import Roster
from sailward.events import Called, Command, Log, Tell
from sailward.routing.plan import plan_of, read_full


class Registers:
    """Owner of the operations under way.

    `begin` begins some, `hear` and `tick` move them on, `learn` takes a chosen value.
    """

    def __init__(
        self,
        *,
        voter: Voter,
        proposer: Proposer,
        desk: AdminApi,
        roster: Roster,
        membership: Membership,
        catch_up: CatchUp,
        moves: Moves,
        serving: Serving,
        shard_leases: ShardLeases | None,
        expand: Callable[[dict], dict] | None,
    ) -> None:
        self._voter, self._proposer, self._desk, self._roster = voter, proposer, desk, roster
        self._membership, self._catch_up, self._moves = membership, catch_up, moves
        self._serving, self._shard_leases, self._expand = serving, shard_leases, expand

    def tick(self, *, now: float) -> list[Command]:
        """Time goes on: operations are tried again, or expire."""
        commands, settled = self._proposer.step(now=now, voters=self._voter.voters, event=None)
        return commands + self._settle(now=now, settled=settled)

    def hear(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """Take a voter's answer to an operation."""
        commands, settled = self._proposer.step(now=now, voters=self._voter.voters, event=(sender, body))
        return commands + self._settle(now=now, settled=settled)

    def begin(self, *, now: float, begins: list[Begin]) -> list[Command]:
        """Begin operations."""
        commands = []
        for begin in begins:
            more, settled = self._proposer.step(now=now, voters=self._voter.voters, event=begin)
            commands += more + self._settle(now=now, settled=settled)
        return commands

    def step_shard_leases(self, *, now: float, event: Called | None) -> list[Command]:
        """Step the grants of divided services, where there are any, and begin the changes that they ask for."""
        if self._shard_leases is None:
            return []
        commands, begins = self._shard_leases.step(now=now, event=event)
        return commands + self.begin(now=now, begins=begins)

    def learn(self, *, now: float, name: str, ballot: list, value: dict, tell: bool) -> list[Command]:
        """Hold a value that is known to have been chosen, push it on, and `tell` the other controllers."""
        if not is_control(name=name) or not self._voter.held.step(name=name, ballot=ballot, value=value):
            return []
        log = Log(event="in-force", fields={"register": name, "number": value["number"]})
        if name == "voters" and self._membership.is_out(value=value):
            return [log, *self._membership.leave()]
        if name == "config":
            self._desk.full = read_full(value=value, expand=self._expand)
            self._moves.plan = plan_of(full=self._desk.full, number=value["number"])
        commands = self._voter.ledger.know(ballot=ballot, value=value) if name == "voters" else []
        commands += self._serving.push(now=now)
        if tell:
            commands += self._tell_chosen(name=name, ballot=ballot, value=value)
        return [log, *self.step_shard_leases(now=now, event=None), *commands]

    def _settle(self, *, now: float, settled: list[Settled]) -> list[Command]:
        """Take the ends of operations: learn the value each of them found, and tell who began it."""
        commands = []
        for end in settled:
            ballot, value = getattr(end.outcome, "ballot", [0, ""]), getattr(end.outcome, "value", None)
            if is_control(name=end.register) and value and value["number"]:
                commands += self.learn(now=now, name=end.register, ballot=ballot, value=value, tell=True)
            if not self._catch_up.is_own(op=end.op):
                more, begins = self._desk.step(event=end)
                commands += more + self.begin(now=now, begins=begins)
        return commands

    def _tell_chosen(self, *, name: str, ballot: list, value: dict) -> list[Command]:
        body = {"kind": "chosen", "register": name, "ballot": ballot, "value": value}
        posts = {
            *self._voter.voters["members"].values(),
            *(one["post"] for one in self._roster.alive(kind="controller")),
        }
        return [Tell(to=post, body=body) for post in sorted(posts - {self._voter.place.post})]
