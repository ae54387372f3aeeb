"""One bounded queue for each tenant and service, served in turn (weighted round robin)."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sailward import constants


@dataclass(kw_only=True)
class Queue:
    """Those that wait, and how many of them go before the next queue's turn."""

    share: int
    items: deque = field(default_factory=deque)
    left: int = 0


class FairQueues:
    """Owner of the waiting. `step` adds one if its queue has room; `take` gives the next in turn."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, Queue] = OrderedDict()

    def step(self, *, name: str, item: str, share: int = 1) -> bool:
        """May it wait?"""
        queue = self._queues.setdefault(name, Queue(share=share, left=share))
        if len(queue.items) >= constants.TENANT_QUEUE_LENGTH:
            return False
        queue.share = share
        queue.items.append(item)
        return True

    def take(self, *, blocked: set[str]) -> tuple[str, str] | None:
        """(queue, item) whose turn it is, passing over the blocked queues."""
        for name in list(self._queues):
            queue = self._queues[name]
            if not queue.items:
                del self._queues[name]
                continue
            if name in blocked:
                continue
            item = queue.items.popleft()
            queue.left -= 1
            if queue.left <= 0:
                queue.left = queue.share
                self._queues.move_to_end(name)
            return name, item
        return None

    def put_back(self, *, name: str, item: str) -> None:
        """It could not go: it stays the first of its queue."""
        queue = self._queues.setdefault(name, Queue(share=1))
        queue.items.appendleft(item)
        queue.left += 1

    def drop(self, *, item: str) -> None:
        """Take one out that has been given up."""
        for queue in self._queues.values():
            if item in queue.items:
                queue.items.remove(item)
                return

    def waits(self, *, name: str) -> bool:
        """Does anyone wait in this queue?"""
        return name in self._queues and bool(self._queues[name].items)
