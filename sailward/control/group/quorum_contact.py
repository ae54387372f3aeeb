"""Contact with a majority of the voters, proven by replies to requests whose sending time is known.

A controller may be partitioned without any sign of it: connections stay open and nothing arrives. So it counts as in
contact only while a majority of the voters (including itself, if it is one) have answered a request that it sent
within the last `QUORUM_CONTACT_TTL` seconds. A reply is as old as its request: a reply that was delayed in the
network, or that waited while this process was suspended, proves only that the request once arrived (the rule of read
leases: Chandra et al., "Paxos Made Live", 2007; Ongaro, "Consensus: Bridging Theory and Practice", 2014, 6.4).

No extra message is sent for this. Each heartbeat of a voter echoes the last heartbeat that it received from the
addressee, and the replies to reads and changes of registers count as well.

Contact alone does not make the values held here current: values chosen during a gap in contact were not received.
After each gap every control register is read at a majority once before anything is served again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.learner import CONTROL_REGISTERS
from sailward.consensus.proposer import majority_size

NEVER = -1e9


@dataclass(kw_only=True)
class QuorumContact:
    """Owner of the evidence of contact. All times are of this process's monotonic clock, in s.

    `started_at` is when this process started; `reached_at` maps each peer's address to the sending time of the newest
    request that it answered; `unread_registers` holds the control registers that must be read before this controller
    serves; `lost_at` is when contact was last found to be missing.
    """

    started_at: float
    lost_at: float = NEVER
    reached_at: dict[str, float] = field(default_factory=dict)
    unread_registers: set[str] = field(default_factory=lambda: set(CONTROL_REGISTERS))
    had_contact: bool = False
    _sent_at: dict[int | str, float] = field(default_factory=dict)

    def record_request(self, *, now: float, request: int | str) -> None:
        """Record when a request was sent: a heartbeat's echo number, or the name of an operation on a register."""
        self._sent_at.setdefault(request, now)

    def on_reply(self, *, peer: str, request: int | str) -> None:
        """Record that the voter at this address answered a request.

        A reply to a request that was never sent, or that has expired, proves nothing.
        """
        sent_at = self._sent_at.get(request)
        if sent_at is not None:
            self.reached_at[peer] = max(self.reached_at.get(peer, NEVER), sent_at)

    def last_majority_at(self, *, now: float, members: Mapping[str, str], own: str) -> float:
        """The latest moment at which a majority of these voters was reached; NEVER if there is none.

        `members` is {identity: address}. `own` is this controller's identity if it is a voter with a complete copy of
        the registers, else empty.
        """
        if not members:
            return NEVER
        times = [now if identity == own else self.reached_at.get(post, NEVER) for identity, post in members.items()]
        return sorted(times, reverse=True)[majority_size(members=members) - 1]

    def has_contact(self, *, now: float, members: Mapping[str, str], own: str) -> bool:
        """Was a majority reached within the last QUORUM_CONTACT_TTL seconds?"""
        return now - self.last_majority_at(now=now, members=members, own=own) <= constants.QUORUM_CONTACT_TTL

    def may_serve(self, *, now: float, members: Mapping[str, str], own: str) -> bool:
        """Is there contact, and has every control register been read since contact was last lost?"""
        if not self.has_contact(now=now, members=members, own=own):
            self._on_contact_lost(now=now)
            return False
        return not self.unread_registers

    def step(self, *, now: float, members: Mapping[str, str], own: str) -> bool:
        """Update the state of contact and drop expired requests; returns whether contact was just established."""
        self._sent_at = {name: at for name, at in self._sent_at.items() if now - at <= constants.QUORUM_CONTACT_TTL}
        had_contact_before = self.had_contact
        if self.has_contact(now=now, members=members, own=own):
            self.had_contact = True
        else:
            self._on_contact_lost(now=now)
        return self.had_contact and not had_contact_before

    def is_starting(self, *, now: float) -> bool:
        """Did this process start too recently to know whether it has contact?

        An operator's call is then attempted at a majority.
        """
        return not self.had_contact and self.lost_at == NEVER and now - self.started_at <= constants.QUORUM_CONTACT_TTL

    def finish_read(self, *, now: float, register: str, begun_at: float) -> None:
        """Record a successful read of a register at a majority.

        A read that began before contact was lost, or more than QUORUM_CONTACT_TTL ago, proves nothing.
        """
        if begun_at >= self.lost_at and now - begun_at <= constants.QUORUM_CONTACT_TTL:
            self.unread_registers.discard(register)

    def _on_contact_lost(self, *, now: float) -> None:
        if self.had_contact:
            self.had_contact, self.lost_at, self.unread_registers = False, now, set(CONTROL_REGISTERS)
