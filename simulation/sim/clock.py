"""Virtual time: a queue of scheduled events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Runs scheduled callbacks in order of time; `now` is monotonic, in s."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._heap: list = []
        self._count = itertools.count()

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run `callback` after `delay` seconds."""
        heapq.heappush(self._heap, (self.now + delay, next(self._count), callback))

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run `callback` at this time, or at once if the time has passed."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._count), callback))

    def run(self, *, until: float) -> None:
        """Run all callbacks that are due by `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until
