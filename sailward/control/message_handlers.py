"""Dispatch of messages from other daemons: one table from message kind to handler."""

from __future__ import annotations

from collections.abc import Callable

from sailward.control.controller_options import ControllerOptions
from sailward.control.endpoints.endpoint_list import EndpointList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.membership import Membership
from sailward.control.group.voter import Voter
from sailward.control.proxies.proxy_registry import ProxyRegistry
from sailward.control.proxies.serving import Serving
from sailward.control.registers import Registers
from sailward.control.shards.shard_leases import ShardLeases
from sailward.discovery.peer_table import PeerTable
from sailward.events import Command, LogEvent
from sailward.wire_types import Message


class MessageHandlers:
    """Dispatches messages to the parts of a controller. It has no state of its own."""

    def __init__(
        self,
        *,
        voter: Voter,
        peer_table: PeerTable,
        registers: Registers,
        membership: Membership,
        catch_up: CatchUp,
        contact_watch: ContactWatch,
        serving: Serving,
        endpoint_list: EndpointList,
        proxy_registry: ProxyRegistry,
        shard_leases: ShardLeases | None,
        options: ControllerOptions,
    ) -> None:
        self._voter, self._peer_table, self._registers, self._membership = voter, peer_table, registers, membership
        self._catch_up, self._serving, self._endpoint_list = catch_up, serving, endpoint_list
        self._contact_watch = contact_watch
        self._proxy_registry, self._shard_leases = proxy_registry, shard_leases
        self._is_bootstrapped, self._is_mesh = options.bootstrap is not None, options.is_mesh
        self._handlers = self._make_handlers()

    def step(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Dispatch a message by its kind; an unknown kind is logged."""
        handler = self._handlers.get(body["kind"])
        if handler is None:
            return [LogEvent(event="message-unexpected", fields={"kind": body["kind"], "from": sender})]
        return handler(now=now, sender=sender, body=body)

    def _make_handlers(self) -> dict[str, Callable[..., list[Command]]]:
        """The handler of each kind of message; every handler takes `now`, `sender` and `body`."""
        return {
            **dict.fromkeys(("prepare", "accept", "read", "first"), self._on_vote_request),
            **dict.fromkeys(("promise", "voted", "told"), self._registers.receive),
            "nack": self._on_nack,
            "chosen": self._on_chosen,
            "push": self._on_push,
            "want": self._on_value_request,
            "fleet": self._on_fleet,
            "list": self._on_list,
            **dict.fromkeys(("confirm", "confirmed"), self._on_confirmation),
            "copy": self._on_copy,
            "copied": self._on_copied,
            "ask": self._serving.answer,
            "ack": self._serving.acknowledge,
            "grant": self._on_grant,
            **dict.fromkeys(("gossip", "beat"), self._on_gossip),
        }

    def _on_vote_request(self, *, now: float, sender: str, body: Message) -> list[Command]:
        if self._is_bootstrapped and body["voters"] > self._voter.voters.number:
            # the sender acts under a newer voter set: request or read that set soon
            self._membership.request_updates_soon()
            self._catch_up.record_stale(now=now, name="voters")
        return self._voter.answer(now=now, sender=sender, body=body)

    def _on_nack(self, *, now: float, sender: str, body: Message) -> list[Command]:
        if not body["voters"]:
            return self._registers.receive(now=now, sender=sender, body=body)
        ballot, value = body["voters"]
        return self._registers.learn(now=now, name="voters", ballot=ballot, value=value, announce=False)

    def _on_chosen(self, *, now: float, sender: str, body: Message) -> list[Command]:
        return self._registers.learn(
            now=now, name=body["register"], ballot=body["ballot"], value=body["value"], announce=False
        )

    def _on_push(self, *, now: float, sender: str, body: Message) -> list[Command]:
        return self._registers.learn(
            now=now, name=body["name"], ballot=body["ballot"], value=body["value"], announce=False
        )

    def _on_value_request(self, *, now: float, sender: str, body: Message) -> list[Command]:
        if body["register"] == "fleet":
            return self._on_fleet(now=now, sender=sender, body=body)
        return self._voter.learner.send(to=sender, name=body["register"])

    def _on_fleet(self, *, now: float, sender: str, body: Message) -> list[Command]:
        return self._proxy_registry.step(now=now, event=(sender, body), proxies=[], controllers=[])

    def _on_list(self, *, now: float, sender: str, body: Message) -> list[Command]:
        commands, is_newer = self._endpoint_list.receive(now=now, body=body)
        return commands + (self._serving.push(now=now) if is_newer else [])

    def _on_confirmation(self, *, now: float, sender: str, body: Message) -> list[Command]:
        return self._shard_leases.receive(now=now, sender=sender, body=body) if self._shard_leases else []

    def _on_copy(self, *, now: float, sender: str, body: Message) -> list[Command]:
        commands = self._registers.learn(
            now=now, name="voters", ballot=body["ballot"], value=body["value"], announce=False
        )
        return commands + self._membership.send_page(sender=sender, body=body)

    def _on_copied(self, *, now: float, sender: str, body: Message) -> list[Command]:
        return self._membership.on_page(now=now, event=(sender, body))

    def _on_grant(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Ignored: the reply to this process's own request for updates; the missing values are pushed separately."""
        return []

    def _on_gossip(self, *, now: float, sender: str, body: Message) -> list[Command]:
        commands = self._peer_table.step(now=now, event=(sender, body))
        if self._is_mesh and any(isinstance(command, LogEvent) for command in commands):
            # a lost controller is back, or this one was lost itself
            self._catch_up.read_all_soon()
        if body["kind"] == "beat":
            self._contact_watch.on_heartbeat(now=now, sender=sender, body=body)
        return commands
