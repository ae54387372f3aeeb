"""How long a controller may take what it holds of a register for the newest.

A read lease from a blocking set of voters.
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
    """What one voter said last: when it was asked, and its newest vote of each register."""

    requested_at: float
    newest: dict


@dataclass(kw_only=True)
class Freshness:
    """Owner of the confirmations.

    `step` folds one, or asks all other voters when it is time; `until` gives the lease's end.

    A newer value can only be chosen by a majority, which has a voter in common with every blocking set: if each of one
    said after a moment that it had voted for nothing newer than what is learner here, nothing newer was chosen by that
    moment. A voter that knows another set of voters confirms nothing: one set may choose what the other's blocking sets
    don't meet.
    """

    confirmations: dict = field(default_factory=dict)
    requested_at: dict = field(default_factory=dict)
    seq: int = 0
    next_at: float = NEVER

    def step(
        self, *, now: float, body: Message | None, members: Mapping[str, str], number: int, own: str, registers: list
    ) -> list[Command]:
        """`members` are the voters and `number` their register's, `own` this one's identity."""
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
            if name != own
        ]

    def until(
        self, *, now: float, register: str, learner: Learner, members: Mapping[str, str], own: str, slots: Slots
    ) -> float:
        """The moment until which the value held of this register may be acted on as the newest."""
        if not members:
            return NEVER
        ends = []
        for name in members:
            if name == own:
                slot = slots.get(register)
                if (
                    slot is None
                    or slot.value is None
                    or _covers(learner=learner, register=register, newest=newest_vote(slots=slots, name=register))
                ):
                    ends.append(now + constants.GRANT_CONFIRMATION_TTL)
                continue
            confirmation = self.confirmations.get(name)
            if (
                confirmation is not None
                and register in confirmation.newest
                and _covers(learner=learner, register=register, newest=confirmation.newest[register])
            ):
                ends.append(confirmation.requested_at + constants.GRANT_CONFIRMATION_TTL)
        need = blocking_size(members=members)
        return sorted(ends, reverse=True)[need - 1] if len(ends) >= need else NEVER


def _covers(*, learner: Learner, register: str, newest: list) -> bool:
    return newest[0] <= learner.number(name=register) and learner.covers(name=register, newest=newest)
