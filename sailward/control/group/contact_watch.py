"""Tracks a controller's contact with a majority from its heartbeats and its operations on registers."""

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
"""Each voter's heartbeats carry the newest number that it voted for in these registers."""


class PendingOrders(Protocol):
    """The operators' orders in flight, which are aborted when contact is lost or not established in time."""

    def give_up(self, *, now: float, is_lost: bool) -> list[Command]:
        """Answer the overdue orders, or all of them if contact `is_lost`."""


class ContactWatch:
    """Feeds `QuorumContact` from heartbeats and operations. `step` runs periodically.

    Where heartbeats can't prove contact (`is_required` is false), proxies act under leases of their own and this
    controller always serves.
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
        """May this controller hand out control state and begin operators' calls?"""
        members = self._voter.voters.members
        return not self._is_required or self.contact.may_serve(now=now, members=members, own=self._own_voter_identity())

    def may_attempt(self, *, now: float) -> bool:
        """May an operator's call be attempted at a majority?

        True also shortly after the start, when it is not known yet whether there is contact.
        """
        return self.may_serve(now=now) or self.contact.is_starting(now=now)

    def last_majority_at(self, *, now: float) -> float:
        """The latest moment at which a majority is known to have been reachable."""
        return self.contact.last_majority_at(
            now=now, members=self._voter.voters.members, own=self._own_voter_identity()
        )

    def step(self, *, now: float) -> list[Command]:
        """Update the state of contact; operators' orders that it holds up are answered, not left waiting."""
        if not self._is_required:
            return []
        had_contact = self.contact.had_contact
        if self.contact.step(now=now, members=self._voter.voters.members, own=self._own_voter_identity()):
            # values chosen during the gap were not received here
            self._catch_up.read_all_soon()
        is_lost = had_contact and not self.contact.had_contact
        commands = self._pending_orders.give_up(now=now, is_lost=is_lost)
        if had_contact != self.contact.had_contact:
            commands.append(LogEvent(event="contact-lost" if is_lost else "contact-found"))
        return commands

    def send_heartbeats(self, *, now: float) -> list[Command]:
        """Let the peer table send the heartbeats that are due, and record each as a request that peers echo."""
        peer_table, heartbeat_before = self._peer_table, self._peer_table.heartbeat
        peer_table.has_contact = self.may_serve(now=now)
        peer_table.voted_numbers = [
            newest_vote(slots=self._voter.acceptor.slots, name=name)[0] for name in ANNOUNCED_REGISTERS
        ]
        commands = peer_table.step(now=now, event=None)
        if peer_table.heartbeat != heartbeat_before:
            self.contact.record_request(now=now, request=peer_table.echo_number())
        return commands

    def on_heartbeat(self, *, now: float, sender: str, body: Message) -> None:
        """Take a voter's heartbeat: it echoes one sent from here and carries the numbers of its newest votes."""
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
        self.contact.on_reply(peer=sender, request=number)
        self._record_newer_votes(now=now, voted=voted)

    def _record_newer_votes(self, *, now: float, voted: list[int]) -> None:
        """Mark the registers for which a voter has a newer vote; a value that is not announced soon is read."""
        for name, newest in zip(ANNOUNCED_REGISTERS, voted, strict=False):
            if newest > self._voter.learner.number(name=name):
                self._catch_up.record_unannounced(now=now, name=name)

    def _own_voter_identity(self) -> str:
        """This controller's identity if it counts towards the majority itself, else empty."""
        return self._voter.identity if self._voter.is_member and self._voter.write_ahead.has_copied else ""
