"""Reads of the registers for which a controller may hold a stale value."""

from __future__ import annotations

from sailward import constants
from sailward.consensus.learner import CONTROL_REGISTERS
from sailward.consensus.proposer import Accepted, OperationFinished, StartOperation
from sailward.control.group.quorum_contact import QuorumContact
from sailward.control.group.voter import Voter

NEVER = -1e9


class CatchUp:
    """Owner of a controller's own reads. `step` begins those that are due; `finish` takes the end of an operation.

    Each register is read every `read_interval_s`. Where a newer value is known to exist it is read after
    STALLED_VOTE_TIMEOUT, within which the chosen value is usually announced. With `contact`, a register that must be
    read before it may be served is read every STALLED_VOTE_TIMEOUT until a read succeeds, also by a controller that is
    not a voter.
    """

    def __init__(self, *, voter: Voter, op_prefix: str, read_interval_s: float, contact: QuorumContact | None) -> None:
        self._voter, self._op_prefix, self._read_interval_s, self._contact = voter, op_prefix, read_interval_s, contact
        self._reads_in_flight: dict[str, str] = {}
        self._begun_at: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._stale_since: dict[str, float] = {}
        self._read_count = 0
        self._started_at: float | None = None
        self.confirmed_at: dict[str, float] = {}
        self.caught_up_after_s: float | None = None

    def record_confirmed(self, *, now: float, name: str) -> None:
        """Record that a majority has just confirmed the newest value of this register."""
        self.confirmed_at[name] = now
        if name == "config" and self.caught_up_after_s is None and self._started_at is not None:
            self.caught_up_after_s = round(now - self._started_at, 3)

    def record_stale(self, *, now: float, name: str) -> None:
        """Read this register at the next tick, because the value held here is known to be stale."""
        self._stale_since.setdefault(name, now - constants.STALLED_VOTE_TIMEOUT)

    def record_unannounced(self, *, now: float, name: str) -> None:
        """A newer value of this register was voted for: read it unless it is announced soon."""
        self._stale_since.setdefault(name, now)

    def read_all_soon(self) -> None:
        """Read all registers at the next tick."""
        self._read_at.clear()

    def finish(self, *, now: float, end: OperationFinished) -> bool:
        """Was this finished operation one of these reads? A successful one is recorded."""
        if self._reads_in_flight.pop(end.op, None) is None:
            return False
        begun_at = self._begun_at.pop(end.op)
        if self._contact is not None and isinstance(end.outcome, Accepted):
            self._contact.finish_read(now=now, register=end.register, begun_at=begun_at)
        return True

    def step(self, *, now: float) -> list[StartOperation]:
        """Begin the reads that are due."""
        if self._started_at is None:
            self._started_at = now
        return [
            self._begin(now=now, name=name) for name in self._registers_to_read() if self._is_due(now=now, name=name)
        ]

    def _registers_to_read(self) -> list[str]:
        if self._voter.is_member:
            return sorted({*CONTROL_REGISTERS, *self._voter.acceptor.slots.control_names})
        if self._contact is not None and self._voter.voters.members:
            return sorted({*self._contact.unread_registers, *self._stale_since})
        return []

    def _is_due(self, *, now: float, name: str) -> bool:
        slot = self._voter.acceptor.slots.get(name)
        newest = [slot.value["number"], slot.value["mark"], slot.ballot] if slot and slot.value else [0, "", [0, ""]]
        if not self._voter.learner.covers(name=name, newest=newest):
            self._stale_since.setdefault(name, now)
        elif self._stale_since.get(name, now) >= now:
            self._stale_since.pop(name, None)
        is_stalled = name in self._stale_since and now - self._stale_since[name] >= constants.STALLED_VOTE_TIMEOUT
        is_needed = self._contact is not None and self._contact.had_contact and name in self._contact.unread_registers
        interval = constants.STALLED_VOTE_TIMEOUT if is_stalled or is_needed else self._read_interval_s
        return now - self._read_at.get(name, NEVER) >= interval and name not in self._reads_in_flight.values()

    def _begin(self, *, now: float, name: str) -> StartOperation:
        self._read_count += 1
        self._read_at[name] = now
        self._stale_since.pop(name, None)
        op = f"{self._op_prefix}/own{self._read_count}"
        self._reads_in_flight[op], self._begun_at[op] = name, now
        return StartOperation(op=op, register=name)
