"""The retry budget of a service, of which each proxy has a share.

Further attempts are limited to a ratio of the first attempts in a sliding window, plus a small allowance.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sailward import constants


@dataclass(kw_only=True)
class ServiceAttempts:
    """Times of the attempts for one service within the window."""

    first_attempts: deque = field(default_factory=deque)
    further_attempts: deque = field(default_factory=deque)


@dataclass(kw_only=True)
class RetryBudget:
    """Owns the counts. `step` counts a first attempt, and counts or denies a further one.

    `ratio` and `slack` apply to the whole fleet, over `window` seconds; this proxy may make as many further attempts as
    its own first attempts times the ratio, plus the slack divided by the number of proxies.
    """

    ratio: float = constants.RETRY_BUDGET_RATIO
    slack: float = constants.RETRY_BUDGET_MINIMUM
    window: float = constants.RETRY_BUDGET_WINDOW
    by_service: dict = field(default_factory=dict)

    def step(self, *, now: float, service: str, is_first: bool, proxies: int, is_hedge: bool = False) -> bool:
        """May the attempt be made? If so, it is counted. Hedges may use only a small part of the retry budget."""
        attempts = self.by_service.setdefault(service, ServiceAttempts())
        self._evict_old(now=now, attempts=attempts)
        if is_first:
            attempts.first_attempts.append(now)
            return True
        allowance = constants.RETRY_BUDGET_UTILIZATION * (
            self.ratio * len(attempts.first_attempts) + self.slack / max(1, proxies)
        )
        if len(attempts.further_attempts) + 1 > allowance:
            return False
        if is_hedge and len(attempts.further_attempts) >= constants.HEDGE_BUDGET_RATIO * self.ratio * len(
            attempts.first_attempts
        ):
            return False
        attempts.further_attempts.append(now)
        return True

    def _evict_old(self, *, now: float, attempts: ServiceAttempts) -> None:
        for times in (attempts.first_attempts, attempts.further_attempts):
            while times and times[0] <= now - self.window:
                times.popleft()
