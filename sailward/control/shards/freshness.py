"""Read leases: how long a controller may treat its copy of a register as the newest value.

A read lease is granted by a blocking set of voters.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import Slots, newest_vote
from sailward.consensus.learner import Learner
from sailward.consensus.proposer import blocking_size
from sailward.events import Command, SendMessage
from sailward.wire_types import Message

NEVER = -1e9


@dataclass(kw_only=True)
class Confirmation:
    """The latest answer of one voter: when it was requested, and the voter's newest vote in each register."""

    requested_at: float
    newest: dict


@dataclass(kw_only=True)
class Freshness:
    """Collects the voters' confirmations and derives read leases from them.

    `step` records one confirmation, or requests new ones from all other voters when they are due; `lease_until`
    returns the end of a register's lease.

    A newer value can only be chosen by a majority, which shares a voter with every blocking set. If every voter of a
    blocking set states, after some moment, that it has voted for nothing newer than the value learned here, then
    nothing newer had been chosen by that moment. A voter that knows another set of voters confirms nothing: that set
    may choose a value by a majority that shares no voter with a blocking set of this one.
    """

    confirmations: dict = field(default_factory=dict)
    requested_at: dict = field(default_factory=dict)
    seq: int = 0
    next_at: float = NEVER

    def step(
        self,
        *,
        now: float,
        body: Message | None,
        members: Mapping[str, str],
        number: int,
        own_identity: str,
        registers: list,
    ) -> list[Command]:
        """Record the confirmation `body`, or request new ones if it is None and they are due.

        `members` are the voters, `number` is that of the voters register, `own_identity` is this controller's identity.
        """
        if body is not None:
            requested_at = self.requested_at.get(body["seq"])
            known = self.confirmations.get(body["identity"])
            if requested_at is not None and (known is None or requested_at > known.requested_at):
                self.confirmations[body["identity"]] = Confirmation(requested_at=requested_at, newest=body["newest"])
            return []
        if now < self.next_at or not registers:
            return []
        self.seq, self.next_at = self.seq + 1, now + constants.GRANT_CONFIRMATION_INTERVAL
        self.requested_at = {
            seq: at for seq, at in self.requested_at.items() if now - at < constants.GRANT_CONFIRMATION_TTL
        }
        self.requested_at[self.seq] = now
        return [
            SendMessage(to=post, body={"kind": "confirm", "seq": self.seq, "voters": number, "registers": registers})
            for name, post in sorted(members.items())
            if name != own_identity
        ]

    def lease_until(
        self,
        *,
        now: float,
        register: str,
        learner: Learner,
        members: Mapping[str, str],
        own_identity: str,
        slots: Slots,
    ) -> float:
        """The time until which the local value of this register may be acted on as the newest."""
        if not members:
            return NEVER
        lease_ends = []
        for name in members:
            if name == own_identity:
                slot = slots.get(register)
                if (
                    slot is None
                    or slot.value is None
                    or _covers(learner=learner, register=register, newest=newest_vote(slots=slots, name=register))
                ):
                    lease_ends.append(now + constants.GRANT_CONFIRMATION_TTL)
                continue
            confirmation = self.confirmations.get(name)
            if (
                confirmation is not None
                and register in confirmation.newest
                and _covers(learner=learner, register=register, newest=confirmation.newest[register])
            ):
                lease_ends.append(confirmation.requested_at + constants.GRANT_CONFIRMATION_TTL)
        needed = blocking_size(members=members)
        return sorted(lease_ends, reverse=True)[needed - 1] if len(lease_ends) >= needed else NEVER


def _covers(*, learner: Learner, register: str, newest: list) -> bool:
    return newest[0] <= learner.number(name=register) and learner.covers(name=register, newest=newest)
