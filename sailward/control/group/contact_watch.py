"""A controller's contact with a majority, fed by its heartbeats and its operations on registers."""

from __future__ import annotations

from typing import Protocol

from sailward.consensus.acceptor import newest_vote
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.quorum_contact import QuorumContact
from sailward.control.group.voter import Voter
from sailward.discovery.peer_table import PeerTable
from sailward.events import Command, LogEvent
from sailward.wire_types import Message

ANNOUNCED_REGISTERS = ("config", "orders")
"""The registers of which voters tell the newest number that they voted for with their heartbeats."""


class PendingOrders(Protocol):
    """The operators' orders in flight, which are given up when contact is lost or comes too late."""

    def give_up(self, *, now: float, is_lost: bool) -> list[Command]:
        """Answer the orders that are late, or all of them if contact `is_lost`."""


class ContactWatch:
    """Joins the owner of contact with the parts that show it. `step` judges the moment, `may_serve` tells the verdict.

    Where heartbeats show no contact (`is_required` is false), proxies act under leases of their own and all is served.
    """

    def __init__(
        self,
        *,
        contact: QuorumContact,
        voter: Voter,
        peer_table: PeerTable,
        catch_up: CatchUp,
        pending_orders: PendingOrders,
        is_required: bool,
    ) -> None:
        self.contact = contact
        self._voter, self._peer_table, self._catch_up, self._pending_orders = (
            voter,
            peer_table,
            catch_up,
            pending_orders,
        )
        self._is_required = is_required

    def may_serve(self, *, now: float) -> bool:
        """May control state be handed out and operators' calls be begun?"""
        members = self._voter.voters.members
        return not self._is_required or self.contact.may_serve(now=now, members=members, own=self._own_vote())

    def may_attempt(self, *, now: float) -> bool:
        """May an operator's call be tried at a majority?

        Also by a process that is too young to know whether it has contact.
        """
        return self.may_serve(now=now) or self.contact.is_starting(now=now)

    def shown_at(self, *, now: float) -> float:
        """The latest moment at which a majority is known to have been in reach."""
        return self.contact.shown_at(now=now, members=self._voter.voters.members, own=self._own_vote())

    def step(self, *, now: float) -> list[Command]:
        """Find out whether there is contact; operators are not kept waiting for it."""
        if not self._is_required:
            return []
        had_contact = self.contact.had_contact
        if self.contact.step(now=now, members=self._voter.voters.members, own=self._own_vote()):
            # what was chosen during the gap was not told here
            self._catch_up.read_all_soon()
        is_lost = had_contact and not self.contact.had_contact
        commands = self._pending_orders.give_up(now=now, is_lost=is_lost)
        if had_contact != self.contact.had_contact:
            commands.append(LogEvent(event="contact-lost" if is_lost else "contact-found"))
        return commands

    def send_heartbeats(self, *, now: float) -> list[Command]:
        """Let the peer table send what is due, and note each heartbeat as a question."""
        peer_table, before = self._peer_table, self._peer_table.heartbeat
        peer_table.has_contact = self.may_serve(now=now)
        peer_table.voted_numbers = [
            newest_vote(slots=self._voter.acceptor.slots, name=name)[0] for name in ANNOUNCED_REGISTERS
        ]
        commands = peer_table.step(now=now, event=None)
        if peer_table.heartbeat != before:
            self.contact.record_question(now=now, question=peer_table.echo_number())
        return commands

    def on_heartbeat(self, *, now: float, sender: str, body: Message) -> None:
        """A voter's heartbeat answers one from here, and tells the numbers of its newest votes for what is served."""
        echo = body.get("echo")
        is_voter = self._voter.voters.members.get(body["identity"]) == sender
        if (
            not is_voter
            or not isinstance(echo, list)
            or not echo
            or not all(isinstance(number, int) for number in echo)
        ):
            return
        number, *voted = echo
        self.contact.on_answer(peer=sender, question=number)
        self._record_voted(now=now, voted=voted)

    def _record_voted(self, *, now: float, voted: list[int]) -> None:
        """A voter voted for something newer than what is held here: what is not told soon is read."""
        for name, newest in zip(ANNOUNCED_REGISTERS, voted, strict=False):
            if newest > self._voter.learner.number(name=name):
                self._catch_up.record_unannounced(now=now, name=name)

    def _own_vote(self) -> str:
        """The identity under which this controller's own memory counts as a voter's; empty if it does not."""
        return self._voter.identity if self._voter.is_member and self._voter.write_ahead.copied else ""
