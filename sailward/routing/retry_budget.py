"""The retry budget of a service, of which each proxy has a share.

A ratio of the first attempts in a sliding window, plus a small floor.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sailward import constants


@dataclass(kw_only=True)
class Account:
    """Times of the attempts for one service within the window."""

    firsts: deque = field(default_factory=deque)
    mores: deque = field(default_factory=deque)


@dataclass(kw_only=True)
class RetryBudget:
    """Owns the counts. `step` counts a first attempt, and counts or denies a further one.

    `ratio` and `slack` apply to the whole fleet, over `window` seconds; this proxy may make as many further attempts as
    its own first attempts times the ratio, plus the slack divided by the number of proxies.
    """

    ratio: float = constants.RETRY_BUDGET_RATIO
    slack: float = constants.RETRY_BUDGET_MINIMUM
    window: float = constants.RETRY_BUDGET_WINDOW
    accounts: dict = field(default_factory=dict)

    def step(self, *, now: float, service: str, first: bool, proxies: int, is_hedge: bool = False) -> bool:
        """May the attempt be made? If so, it is counted. Hedges may use only a small part of the retry budget."""
        account = self.accounts.setdefault(service, Account())
        self._evict_old(now=now, account=account)
        if first:
            account.firsts.append(now)
            return True
        allowance = constants.RETRY_BUDGET_UTILIZATION * (
            self.ratio * len(account.firsts) + self.slack / max(1, proxies)
        )
        if len(account.mores) + 1 > allowance:
            return False
        if is_hedge and len(account.mores) >= constants.HEDGE_BUDGET_RATIO * self.ratio * len(account.firsts):
            return False
        account.mores.append(now)
        return True

    def _evict_old(self, *, now: float, account: Account) -> None:
        for times in (account.firsts, account.mores):
            while times and times[0] <= now - self.window:
                times.popleft()
