"""Contact with a majority of the voters, shown by answers to questions of a known age.

A controller may be cut off without any sign of it: connections stay open and nothing arrives. So it counts as in
contact only while a majority of the voters (itself among them, if it is one) answered something that it sent within the
last `QUORUM_CONTACT_TTL` seconds. The age of an answer is that of its question: an answer that was under way for long,
or that waited while this process stood still, shows no more than that the question once arrived (the rule of read
leases: Chandra et al., "Paxos Made Live", 2007; Ongaro, "Consensus: Bridging Theory and Practice", 2014, 6.4).

No message is sent for this. Each heartbeat of a voter echoes the last heartbeat that it heard from its receiver, and
the answers to reads and changes of registers count as well.

Contact alone does not make held values new: what was chosen during a gap was not told here. After each gap every
control register is read at a majority once before anything is served again.
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
    """Owner of what shows contact. All times are of this process's steady clock, in s.

    `started` is when this process began; `reached` holds for each peer's address when the newest question that it
    answered was sent; `unread` the control registers that must be read before this controller serves;
    `lost_at` when contact was last found to be missing.
    """

    started: float
    lost_at: float = NEVER
    reached: dict[str, float] = field(default_factory=dict)
    unread: set[str] = field(default_factory=lambda: set(CONTROL_REGISTERS))
    had_contact: bool = False
    _questions: dict[int | str, float] = field(default_factory=dict)

    def record_question(self, *, now: float, question: int | str) -> None:
        """Note that a question was sent: a heartbeat's echo number, or the name of an operation on a register."""
        self._questions.setdefault(question, now)

    def on_answer(self, *, peer: str, question: int | str) -> None:
        """Note that the voter at this address answered a question.

        One that was never sent, or is long past, shows nothing.
        """
        sent_at = self._questions.get(question)
        if sent_at is not None:
            self.reached[peer] = max(self.reached.get(peer, NEVER), sent_at)

    def shown_at(self, *, now: float, members: Mapping[str, str], own: str) -> float:
        """The latest moment at which a majority of these voters was reached; NEVER if there is none.

        `members` is {identity: address}, `own` this controller's identity if it is a voter that keeps what it voted
        for, or empty.
        """
        if not members:
            return NEVER
        times = [now if identity == own else self.reached.get(post, NEVER) for identity, post in members.items()]
        return sorted(times, reverse=True)[majority_size(members=members) - 1]

    def has_contact(self, *, now: float, members: Mapping[str, str], own: str) -> bool:
        """Was a majority reached within the last QUORUM_CONTACT_TTL seconds?"""
        return now - self.shown_at(now=now, members=members, own=own) <= constants.QUORUM_CONTACT_TTL

    def may_serve(self, *, now: float, members: Mapping[str, str], own: str) -> bool:
        """Is there contact, and was every control register read since it was last missing?"""
        if not self.has_contact(now=now, members=members, own=own):
            self._lose(now=now)
            return False
        return not self.unread

    def step(self, *, now: float, members: Mapping[str, str], own: str) -> bool:
        """Judge the moment and forget old questions; was contact found just now?"""
        self._questions = {name: at for name, at in self._questions.items() if now - at <= constants.QUORUM_CONTACT_TTL}
        before = self.had_contact
        if self.has_contact(now=now, members=members, own=own):
            self.had_contact = True
        else:
            self._lose(now=now)
        return self.had_contact and not before

    def is_starting(self, *, now: float) -> bool:
        """Did this process start so recently that contact can't be judged?

        An operator's call is then tried at a majority.
        """
        return not self.had_contact and self.lost_at == NEVER and now - self.started <= constants.QUORUM_CONTACT_TTL

    def finish_read(self, *, now: float, register: str, begun: float) -> None:
        """A read of a register at a majority has ended well.

        One begun before contact was lost, or long ago, proves nothing.
        """
        if begun >= self.lost_at and now - begun <= constants.QUORUM_CONTACT_TTL:
            self.unread.discard(register)

    def _lose(self, *, now: float) -> None:
        if self.had_contact:
            self.had_contact, self.lost_at, self.unread = False, now, set(CONTROL_REGISTERS)
