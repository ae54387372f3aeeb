"""A linearizability check of histories: is there a sequence of all calls that explains each answer?

Each call takes effect atomically at one moment between its sending and its answer. A call without a definite answer may
have taken effect at any moment after its sending, or not at all. The search is that of Wing and Gong ("Testing and
verifying concurrent objects", 1993) with the memoization of Lowe ("Testing for linearizability", 2017): calls are
placed one by one, each before those that were sent after its answer, and no set of placed calls is visited twice with
the same state. Reads are placed as soon as they fit, unless an uncertain call could then no longer precede them, and of
equal calls without an answer only the first is tried.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Protocol

MAX_STATES = 400_000
"""Number of states after which a search is given up; the longest histories of the simulations need a few thousand."""


@dataclass(frozen=True, kw_only=True)
class Operation:
    """One call: sent at `begun`, answered at `ended` (s).

    Without a definite answer `is_certain` is False: it took effect by `ended`, which may be infinite, or not at all.
    """

    name: str
    begun: float
    ended: float
    call: Hashable
    is_certain: bool = True


class Model(Protocol):
    """The sequential specification of an object."""

    initial: Hashable

    def step(self, *, state: Hashable, call: Hashable) -> Hashable | None:
        """The state after the call; None if its answer is impossible in this state."""

    def is_read(self, *, call: Hashable) -> bool:
        """Whether this call leaves every state unchanged."""


@dataclass(frozen=True, kw_only=True)
class Violation:
    """No sequence explains the history: after the longest possible one, in `state`, none of `stuck` fits."""

    placed: int
    state: Hashable
    stuck: tuple[str, ...]
    t: float


class Undecided(Exception):
    """The search was given up after MAX_STATES states."""


def find_violation(*, operations: list[Operation], model: Model) -> Violation | None:
    """The violation, or None if the history is linearizable. Raises Undecided after MAX_STATES states."""
    search = _Search(operations=operations, model=model)
    return search.run()


class _Search:
    """One depth-first search. A set of placed operations is a bit mask."""

    def __init__(self, *, operations: list[Operation], model: Model) -> None:
        self._model = model
        self._operations = sorted(operations, key=lambda operation: operation.begun)
        certain = [at for at, operation in enumerate(self._operations) if operation.is_certain]
        self._certain_by_end = sorted(certain, key=lambda at: self._operations[at].ended)
        self._visited: set = set()
        self._longest: tuple[int, int, Hashable] = (-1, 0, model.initial)

    def run(self) -> Violation | None:
        stack = [(0, self._model.initial)]
        while stack:
            placed, state = stack.pop()
            placed = self._place_reads(placed=placed, state=state)
            if (placed, state) in self._visited:
                continue
            self._visited.add((placed, state))
            if len(self._visited) > MAX_STATES:
                raise Undecided(f"{len(self._operations)} operations")
            if self._first_unplaced_end(placed=placed) == math.inf:
                return None
            self._longest = max(self._longest, (placed.bit_count(), placed, state), key=lambda entry: entry[0])
            # certain ones are tried first, so they are pushed last
            successors = sorted(self._successors(placed=placed, state=state), key=lambda change: change[0])
            stack += [(placed | 1 << at, after) for _, at, after in successors]
        return self._explain()

    def _first_unplaced_end(self, *, placed: int) -> float:
        """The earliest answer of those not placed: a call sent after it must come later."""
        return next((self._operations[at].ended for at in self._certain_by_end if not placed >> at & 1), math.inf)

    def _last_placed_begin(self, *, placed: int) -> float:
        """The latest sending of those placed: a call that ended before it can no longer be placed."""
        return self._operations[placed.bit_length() - 1].begun if placed else -math.inf

    def _candidates(self, *, placed: int) -> Iterator[tuple[int, Operation]]:
        limit = self._first_unplaced_end(placed=placed)
        for at, operation in enumerate(self._operations):
            if operation.begun > limit:
                return
            if not placed >> at & 1:
                yield at, operation

    def _place_reads(self, *, placed: int, state: Hashable) -> int:
        previous = -1
        while placed != previous:
            previous = placed
            for at, operation in self._candidates(placed=placed):
                is_read = operation.is_certain and self._model.is_read(call=operation.call)
                if is_read and not self._would_exclude_uncertain(placed=placed, read=operation):
                    placed |= (self._model.step(state=state, call=operation.call) is not None) << at
        return placed

    def _would_exclude_uncertain(self, *, placed: int, read: Operation) -> bool:
        """Whether this read was sent after the end of an uncertain call that is not placed yet.

        If the read were placed now, that call could no longer precede it.
        """
        return any(
            not operation.is_certain and operation.ended < read.begun and not placed >> at & 1
            for at, operation in enumerate(self._operations)
        )

    def _successors(self, *, placed: int, state: Hashable) -> Iterator[tuple[bool, int, Hashable]]:
        uncertain_keys: set = set()
        for at, operation in self._candidates(placed=placed):
            key = (operation.call, operation.ended)
            if not operation.is_certain and (self._model.is_read(call=operation.call) or key in uncertain_keys):
                continue
            if operation.ended < self._last_placed_begin(placed=placed):
                continue
            after = self._model.step(state=state, call=operation.call)
            if after is None or (not operation.is_certain and after == state):
                continue
            if not operation.is_certain:
                uncertain_keys.add(key)
            yield operation.is_certain, at, after

    def _explain(self) -> Violation:
        count, placed, state = self._longest
        stuck = [operation for _, operation in self._candidates(placed=placed) if operation.is_certain]
        return Violation(
            placed=count,
            state=state,
            stuck=tuple(operation.name for operation in stuck[:6]),
            t=self._first_unplaced_end(placed=placed),
        )
