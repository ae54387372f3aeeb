"""One bounded line per tenant, served in turn."""
from __future__ import annotations

from collections import OrderedDict, deque

from sailward import constants


class Lines:
    """Owner of the waiting. `step` adds one (or refuses it), or takes the next in turn."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, deque] = OrderedDict()
        self._left: dict[str, int] = {}

    def step(self, *, tenant: str, item: object | None = None, share: int = 1) -> object | None:
        """With an item: the item if it may wait, else None. Without: the next one, or None."""
        if item is not None:
            return self._add(tenant=tenant, item=item, share=share)
        return self._take()

    def drop(self, *, item: object) -> None:
        """Take one out that has been given up."""
        for line in self._lines.values():
            for waiting in line:
                if waiting[0] == item:
                    line.remove(waiting)
                    return

    def count(self) -> int:
        """How many wait."""
        return sum(len(line) for line in self._lines.values())

    def _add(self, *, tenant: str, item: object, share: int) -> object | None:
        line = self._lines.setdefault(tenant, deque())
        if len(line) >= constants.LINE_LENGTH:
            return None
        line.append((item, share))
        return item

    def _take(self) -> object | None:
        for tenant in list(self._lines):
            line = self._lines[tenant]
            if not line:
                del self._lines[tenant]
                self._left.pop(tenant, None)
                continue
            item, share = line.popleft()
            left = self._left.get(tenant, share) - 1
            if left <= 0:
                self._left.pop(tenant, None)
                self._lines.move_to_end(tenant)
            else:
                self._left[tenant] = left
            return item
        return None
