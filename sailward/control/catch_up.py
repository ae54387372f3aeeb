"""Reading the registers of which a controller may hold an old value."""

from __future__ import annotations

from sailward import constants
from sailward.consensus.held import CONTROL
from sailward.consensus.proposer import Begin
from sailward.control.voter import Voter

NEVER = -1e9


class CatchUp:
    """Owner of a controller's own reads.

    `step` begins those that are due; `is_own` tells whether an operation was one of them.

    Each register is read every `every` s, and sooner where a newer value is known to exist: after STALLED s, in which
    the chosen value comes by itself as a rule.
    """

    def __init__(self, *, voter: Voter, op_prefix: str, every: float) -> None:
        self._voter, self._op_prefix, self._every = voter, op_prefix, every
        self._reading: dict[str, str] = {}
        self._read_at: dict[str, float] = {}
        self._behind: dict[str, float] = {}
        self._count = 0

    def note_behind(self, *, now: float, name: str) -> None:
        """What is held of this register is known to be old: it is read with the next tick."""
        self._behind.setdefault(name, now - constants.STALLED)

    def read_all_soon(self) -> None:
        """All registers are read with the next tick."""
        self._read_at.clear()

    def is_own(self, *, op: str) -> bool:
        """Was this operation, which has ended, one of these reads?"""
        return self._reading.pop(op, None) is not None

    def step(self, *, now: float) -> list[Begin]:
        """Begin the reads that are due; only a voter reads."""
        if not self._voter.is_member:
            return []
        names = sorted({*CONTROL, *self._voter.acceptor.slots.control})
        return [self._begin(now=now, name=name) for name in names if self._is_due(now=now, name=name)]

    def _is_due(self, *, now: float, name: str) -> bool:
        slot = self._voter.acceptor.slots.get(name)
        vote = [slot.value["number"], slot.value["mark"], slot.ballot] if slot and slot.value else [0, "", [0, ""]]
        if not self._voter.held.covers(name=name, newest=vote):
            self._behind.setdefault(name, now)
        elif self._behind.get(name, now) >= now:
            self._behind.pop(name, None)
        is_stalled = name in self._behind and now - self._behind[name] >= constants.STALLED
        pause = constants.STALLED if is_stalled else self._every
        return now - self._read_at.get(name, NEVER) >= pause and name not in self._reading.values()

    def _begin(self, *, now: float, name: str) -> Begin:
        self._count += 1
        self._read_at[name] = now
        self._behind.pop(name, None)
        op = f"{self._op_prefix}/own{self._count}"
        self._reading[op] = name
        return Begin(op=op, register=name)
