"""The budget of attempts: a share of first attempts in a sliding window."""

from __future__ import annotations

from collections import deque

from sailward import constants

FIRST, CREDIT, BUDGET, LOOKUP = "first", "credit", "budget", "look"


class AttemptBudget:
    """Owner of the counts. `step` pays for one sending-on, or gives "" if nothing is left.

    A first try always pays for itself. A caller's repeat pays with the credit of a first try that was
    refused here and sent to no worker, as it swells nothing; else, like the proxy's own second attempts,
    from a share of the first ones.
    """

    def __init__(self) -> None:
        self._firsts: deque = deque()
        self._mores: deque = deque()
        self._credits: deque = deque()
        self._looks: deque = deque()

    def step(self, *, now: float, first: bool, caller: bool = False) -> str:
        """What this sending-on was paid with."""
        for line, life in (
            (self._firsts, constants.RETRY_BUDGET_WINDOW),
            (self._mores, constants.RETRY_BUDGET_WINDOW),
            (self._credits, constants.RETRY_CREDIT_TTL),
        ):
            while line and line[0] <= now - life:
                line.popleft()
        if first:
            self._firsts.append(now)
            return FIRST
        if caller and self._credits:
            self._credits.popleft()
            self._firsts.append(now)
            return CREDIT
        if len(self._mores) + 1 > max(constants.RETRY_BUDGET_MINIMUM, constants.RETRY_BUDGET_RATIO * len(self._firsts)):
            return ""
        self._mores.append(now)
        return BUDGET

    def lookup(self, *, now: float) -> str:
        """May a repeat look up its claim? It pays like any other when it must be sent on."""
        while self._looks and self._looks[0] <= now - constants.RETRY_BUDGET_WINDOW:
            self._looks.popleft()
        if len(self._looks) >= max(constants.RETRY_BUDGET_MINIMUM, constants.CLAIM_LOOKUP_RATIO * len(self._firsts)):
            return ""
        self._looks.append(now)
        return LOOKUP

    def refund(self, *, now: float, paid: str, swells: bool) -> None:
        """What was paid for was refused and sent to no worker. `swells`: an earlier sending did reach one."""
        if paid == LOOKUP:
            return
        line = self._mores if paid == BUDGET else self._firsts
        if line:
            line.pop()
        if paid != BUDGET and not swells:
            self._credits.append(now)

    def credit(self, *, now: float) -> None:
        """A first try was refused before it was counted."""
        self._credits.append(now)
