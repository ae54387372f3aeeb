"""The retry budget of a service, of which each proxy has its part.

A share of first attempts in a sliding window, and a small floor.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sailward import constants


@dataclass(kw_only=True)
class Account:
    """What one service was sent in the window."""

    firsts: deque = field(default_factory=deque)
    mores: deque = field(default_factory=deque)


@dataclass(kw_only=True)
class RetryBudget:
    """Owner of the counts. `step` counts one sending-on; a further one is allowed or not.

    `ratio` and `slack` are the fleet's, over `window` seconds; this proxy has its own firsts times the ratio, and the
    slack divided by the number of proxies.
    """

    ratio: float = constants.RETRY_BUDGET_RATIO
    slack: float = constants.RETRY_BUDGET_MINIMUM
    window: float = constants.RETRY_BUDGET_WINDOW
    accounts: dict = field(default_factory=dict)

    def step(self, *, now: float, service: str, first: bool, proxies: int, is_hedge: bool = False) -> bool:
        """May it be sent on? What may be is counted; a hedge may take only a small part of what retries may."""
        account = self.accounts.setdefault(service, Account())
        self._forget_old(now=now, account=account)
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

    def _forget_old(self, *, now: float, account: Account) -> None:
        for moments in (account.firsts, account.mores):
            while moments and moments[0] <= now - self.window:
                moments.popleft()
