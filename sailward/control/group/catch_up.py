"""Reading the registers of which a controller may hold an old value."""

from __future__ import annotations

from sailward import constants
from sailward.consensus.learner import CONTROL_REGISTERS
from sailward.consensus.proposer import Accepted, OperationFinished, StartOperation
from sailward.control.group.quorum_contact import QuorumContact
from sailward.control.group.voter import Voter

NEVER = -1e9


class CatchUp:
    """Owner of a controller's own reads. `step` begins those that are due; `finish` takes the end of an operation.

    Each register is read every `every` s, and sooner where a newer value is known to exist: after STALLED_VOTE_TIMEOUT
    s, in which the chosen value comes by itself as a rule. With `contact`, what must be read before it may be served is
    read again each STALLED_VOTE_TIMEOUT s until it is, also by a controller that is no voter.
    """

    def __init__(self, *, voter: Voter, op_prefix: str, every: float, contact: QuorumContact | None) -> None:
        self._voter, self._op_prefix, self._every, self._contact = voter, op_prefix, every, contact
        self._reading: dict[str, str] = {}
        self._begun: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._behind: dict[str, float] = {}
        self._count = 0
        self._started: float | None = None
        self.confirmed: dict[str, float] = {}
        self.caught_up_after: float | None = None

    def record_confirmed(self, *, now: float, name: str) -> None:
        """A majority has just shown the newest value of this register."""
        self.confirmed[name] = now
        if name == "config" and self.caught_up_after is None and self._started is not None:
            self.caught_up_after = round(now - self._started, 3)

    def record_behind(self, *, now: float, name: str) -> None:
        """What is held of this register is known to be old: it is read with the next tick."""
        self._behind.setdefault(name, now - constants.STALLED_VOTE_TIMEOUT)

    def record_unannounced(self, *, now: float, name: str) -> None:
        """Something newer of this register was voted for: it is read if it is not told soon."""
        self._behind.setdefault(name, now)

    def read_all_soon(self) -> None:
        """All registers are read with the next tick."""
        self._read_at.clear()

    def finish(self, *, now: float, end: OperationFinished) -> bool:
        """Was this operation, which has ended, one of these reads? One that ended well is noted."""
        if self._reading.pop(end.op, None) is None:
            return False
        begun = self._begun.pop(end.op)
        if self._contact is not None and isinstance(end.outcome, Accepted):
            self._contact.finish_read(now=now, register=end.register, begun=begun)
        return True

    def step(self, *, now: float) -> list[StartOperation]:
        """Begin the reads that are due."""
        if self._started is None:
            self._started = now
        return [self._begin(now=now, name=name) for name in self._names() if self._is_due(now=now, name=name)]

    def _names(self) -> list[str]:
        if self._voter.is_member:
            return sorted({*CONTROL_REGISTERS, *self._voter.acceptor.slots.control_names})
        if self._contact is not None and self._voter.voters.members:
            return sorted({*self._contact.unread, *self._behind})
        return []

    def _is_due(self, *, now: float, name: str) -> bool:
        slot = self._voter.acceptor.slots.get(name)
        vote = [slot.value["number"], slot.value["mark"], slot.ballot] if slot and slot.value else [0, "", [0, ""]]
        if not self._voter.learner.covers(name=name, newest=vote):
            self._behind.setdefault(name, now)
        elif self._behind.get(name, now) >= now:
            self._behind.pop(name, None)
        is_stalled = name in self._behind and now - self._behind[name] >= constants.STALLED_VOTE_TIMEOUT
        is_needed = self._contact is not None and self._contact.had_contact and name in self._contact.unread
        pause = constants.STALLED_VOTE_TIMEOUT if is_stalled or is_needed else self._every
        return now - self._read_at.get(name, NEVER) >= pause and name not in self._reading.values()

    def _begin(self, *, now: float, name: str) -> StartOperation:
        self._count += 1
        self._read_at[name] = now
        self._behind.pop(name, None)
        op = f"{self._op_prefix}/own{self._count}"
        self._reading[op], self._begun[op] = name, now
        return StartOperation(op=op, register=name)
