"""The budget of tries: a share of first tries in a sliding window."""
from __future__ import annotations

from collections import deque

from sailward import constants


class Tries:
    """Owner of the counts. `step` counts a first try, or asks for one more of another."""

    def __init__(self) -> None:
        self._firsts: deque = deque()
        self._mores: deque = deque()

    def step(self, *, now: float, first: bool) -> bool:
        """Count a first try (always allowed), or take one from the budget if it has one."""
        for line in (self._firsts, self._mores):
            while line and line[0] <= now - constants.TRY_WINDOW:
                line.popleft()
        if first:
            self._firsts.append(now)
            return True
        if len(self._mores) + 1 > max(constants.TRY_FLOOR, constants.TRY_SHARE * len(self._firsts)):
            return False
        self._mores.append(now)
        return True
