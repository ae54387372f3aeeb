"""One bounded queue for each tenant and service, served by weighted round robin."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sailward import constants


@dataclass(kw_only=True)
class Queue:
    """Waiting items, and how many of them are served before the next queue's turn."""

    share: int
    items: deque = field(default_factory=deque)
    remaining: int = 0


class FairQueues:
    """Owns the queues. `step` enqueues an item if its queue has room; `take` dequeues the next one."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, Queue] = OrderedDict()

    def step(self, *, name: str, item: str, share: int = 1) -> bool:
        """Enqueue an item; False if its queue is full."""
        queue = self._queues.setdefault(name, Queue(share=share, remaining=share))
        if len(queue.items) >= constants.TENANT_QUEUE_LENGTH:
            return False
        queue.share = share
        queue.items.append(item)
        return True

    def take(self, *, blocked: set[str]) -> tuple[str, str] | None:
        """Dequeue the next (queue, item), skipping blocked queues."""
        for name in list(self._queues):
            queue = self._queues[name]
            if not queue.items:
                del self._queues[name]
                continue
            if name in blocked:
                continue
            item = queue.items.popleft()
            queue.remaining -= 1
            if queue.remaining <= 0:
                queue.remaining = queue.share
                self._queues.move_to_end(name)
            return name, item
        return None

    def put_back(self, *, name: str, item: str) -> None:
        """Return an item that could not be dispatched to the front of its queue."""
        queue = self._queues.setdefault(name, Queue(share=1))
        queue.items.appendleft(item)
        queue.remaining += 1

    def drop(self, *, item: str) -> None:
        """Remove an item that has been given up."""
        for queue in self._queues.values():
            if item in queue.items:
                queue.items.remove(item)
                return

    def has_items(self, *, name: str) -> bool:
        """Does this queue hold any item?"""
        return name in self._queues and bool(self._queues[name].items)
