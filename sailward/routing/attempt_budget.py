"""The budget for further attempts: a share of the first attempts in a sliding window."""

from __future__ import annotations

from collections import deque

from sailward import constants

FIRST, CREDIT, BUDGET, LOOKUP = "first", "credit", "budget", "look"


class AttemptBudget:
    """Owns the counts. `step` charges one attempt and returns the source of payment, or "" if nothing is left.

    A first try is always allowed. A client's retry uses the credit of a first try that was refused here and
    sent to no worker, as it adds no load; else, like the proxy's own retries, it is charged to a share of the
    first tries.
    """

    def __init__(self) -> None:
        self._first_tries: deque = deque()
        self._retries: deque = deque()
        self._credits: deque = deque()
        self._lookups: deque = deque()

    def step(self, *, now: float, is_first: bool, is_client_retry: bool = False) -> str:
        """The source that this attempt was charged to: FIRST, CREDIT or BUDGET; "" if it may not be made."""
        for times, max_age in (
            (self._first_tries, constants.RETRY_BUDGET_WINDOW),
            (self._retries, constants.RETRY_BUDGET_WINDOW),
            (self._credits, constants.RETRY_CREDIT_TTL),
        ):
            while times and times[0] <= now - max_age:
                times.popleft()
        if is_first:
            self._first_tries.append(now)
            return FIRST
        if is_client_retry and self._credits:
            self._credits.popleft()
            self._first_tries.append(now)
            return CREDIT
        if len(self._retries) + 1 > max(
            constants.RETRY_BUDGET_MINIMUM, constants.RETRY_BUDGET_RATIO * len(self._first_tries)
        ):
            return ""
        self._retries.append(now)
        return BUDGET

    def lookup(self, *, now: float) -> str:
        """LOOKUP if a retry may look up its claim, else "". If it is then forwarded, it is charged like any other."""
        while self._lookups and self._lookups[0] <= now - constants.RETRY_BUDGET_WINDOW:
            self._lookups.popleft()
        if len(self._lookups) >= max(
            constants.RETRY_BUDGET_MINIMUM, constants.CLAIM_LOOKUP_RATIO * len(self._first_tries)
        ):
            return ""
        self._lookups.append(now)
        return LOOKUP

    def refund(self, *, now: float, charged_to: str, adds_load: bool) -> None:
        """Refund a request that was refused and not sent. `adds_load`: an earlier try of it reached a worker."""
        if charged_to == LOOKUP:
            return
        times = self._retries if charged_to == BUDGET else self._first_tries
        if times:
            times.pop()
        if charged_to != BUDGET and not adds_load:
            self._credits.append(now)

    def credit(self, *, now: float) -> None:
        """Credit a first try that was refused before it was counted."""
        self._credits.append(now)
