"""What a controller does with each kind of message from another daemon: one table from kind to handler."""

from __future__ import annotations

from collections.abc import Callable

from sailward.control.controller_options import ControllerOptions
from sailward.control.endpoints.endpoint_list import WorkerList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.membership import Membership
from sailward.control.group.voter import Voter
from sailward.control.proxies.proxy_registry import Fleet
from sailward.control.proxies.serving import Serving
from sailward.control.registers import Registers
from sailward.control.shards.shard_leases import ShardLeases
from sailward.discovery.peer_table import Roster
from sailward.events import Command, Log


class MessageHandlers:
    """Gives messages to the parts of a controller. It has no state of its own."""

    def __init__(
        self,
        *,
        voter: Voter,
        roster: Roster,
        registers: Registers,
        membership: Membership,
        catch_up: CatchUp,
        contact_watch: ContactWatch,
        serving: Serving,
        worker_list: WorkerList,
        fleet: Fleet,
        shard_leases: ShardLeases | None,
        options: ControllerOptions,
    ) -> None:
        self._voter, self._roster, self._registers, self._membership = voter, roster, registers, membership
        self._catch_up, self._serving, self._worker_list = catch_up, serving, worker_list
        self._contact_watch = contact_watch
        self._fleet, self._shard_leases = fleet, shard_leases
        self._is_bootstrapped, self._is_mesh = options.bootstrap is not None, options.is_mesh
        self._handlers = self._table()

    def step(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """Give a message to the part that its kind concerns; one that concerns none is logged."""
        handler = self._handlers.get(body["kind"])
        if handler is None:
            return [Log(event="message-unexpected", fields={"kind": body["kind"], "from": sender})]
        return handler(now=now, sender=sender, body=body)

    def _table(self) -> dict[str, Callable[..., list[Command]]]:
        """What each kind of message is given to; every handler takes `now`, `sender` and `body`."""
        return {
            **dict.fromkeys(("prepare", "accept", "read", "first"), self._hear_vote_request),
            **dict.fromkeys(("promise", "voted", "told"), self._registers.hear),
            "nack": self._hear_nack,
            "chosen": self._hear_chosen,
            "push": self._hear_push,
            "want": self._hear_want,
            "fleet": self._hear_fleet,
            "list": self._hear_list,
            **dict.fromkeys(("confirm", "confirmed"), self._hear_confirmation),
            "copy": self._hear_copy,
            "copied": self._hear_copied,
            "ask": self._serving.answer,
            "ack": self._serving.acknowledge,
            "grant": self._hear_grant,
            **dict.fromkeys(("gossip", "beat"), self._hear_gossip),
        }

    def _hear_vote_request(self, *, now: float, sender: str, body: dict) -> list[Command]:
        if self._is_bootstrapped and body["voters"] > self._voter.voters["number"]:
            # who acts under a newer set shows that there is one: ask for it, or read it, soon
            self._membership.ask_soon()
            self._catch_up.note_behind(now=now, name="voters")
        return self._voter.answer(now=now, sender=sender, body=body)

    def _hear_nack(self, *, now: float, sender: str, body: dict) -> list[Command]:
        if not body["voters"]:
            return self._registers.hear(now=now, sender=sender, body=body)
        ballot, value = body["voters"]
        return self._registers.learn(now=now, name="voters", ballot=ballot, value=value, tell=False)

    def _hear_chosen(self, *, now: float, sender: str, body: dict) -> list[Command]:
        return self._registers.learn(
            now=now, name=body["register"], ballot=body["ballot"], value=body["value"], tell=False
        )

    def _hear_push(self, *, now: float, sender: str, body: dict) -> list[Command]:
        return self._registers.learn(now=now, name=body["name"], ballot=body["ballot"], value=body["value"], tell=False)

    def _hear_want(self, *, now: float, sender: str, body: dict) -> list[Command]:
        if body["register"] == "fleet":
            return self._hear_fleet(now=now, sender=sender, body=body)
        return self._voter.held.tell(to=sender, name=body["register"])

    def _hear_fleet(self, *, now: float, sender: str, body: dict) -> list[Command]:
        return self._fleet.step(now=now, event=(sender, body), proxies=[], controllers=[])

    def _hear_list(self, *, now: float, sender: str, body: dict) -> list[Command]:
        commands, is_news = self._worker_list.hear(now=now, body=body)
        return commands + (self._serving.push(now=now) if is_news else [])

    def _hear_confirmation(self, *, now: float, sender: str, body: dict) -> list[Command]:
        return self._shard_leases.hear(now=now, sender=sender, body=body) if self._shard_leases else []

    def _hear_copy(self, *, now: float, sender: str, body: dict) -> list[Command]:
        commands = self._registers.learn(now=now, name="voters", ballot=body["ballot"], value=body["value"], tell=False)
        return commands + self._membership.tell_page(sender=sender, body=body)

    def _hear_copied(self, *, now: float, sender: str, body: dict) -> list[Command]:
        return self._membership.take_page(now=now, event=(sender, body))

    def _hear_grant(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """The answer to this process's own asking for news: what it lacks is pushed."""
        return []

    def _hear_gossip(self, *, now: float, sender: str, body: dict) -> list[Command]:
        commands = self._roster.step(now=now, event=(sender, body))
        if self._is_mesh and any(isinstance(command, Log) for command in commands):
            # one that was lost is back, or this one is
            self._catch_up.read_all_soon()
        if body["kind"] == "beat":
            self._contact_watch.hear_heartbeat(now=now, sender=sender, body=body)
        return commands
