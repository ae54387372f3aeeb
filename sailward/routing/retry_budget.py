"""The retry budget of a service, of which each proxy has its part.

A share of first tries in a sliding window, and a small floor.
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

    ratio: float = constants.TRY_SHARE
    slack: float = constants.TRY_FLOOR
    window: float = constants.TRY_WINDOW
    accounts: dict = field(default_factory=dict)

    def step(self, *, now: float, service: str, first: bool, proxies: int) -> bool:
        """May it be sent on?"""
        account = self.accounts.setdefault(service, Account())
        for line in (account.firsts, account.mores):
            while line and line[0] <= now - self.window:
                line.popleft()
        if first:
            account.firsts.append(now)
            return True
        room = constants.RETRY_MARGIN * (self.ratio * len(account.firsts) + self.slack / max(1, proxies))
        if len(account.mores) + 1 > max(room, 0):
            return False
        account.mores.append(now)
        return True
