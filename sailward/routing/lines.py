"""One bounded line for each tenant and service, served in turn."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sailward import constants


@dataclass(kw_only=True)
class Line:
    """Those that wait, and how many of them go before the next line's turn."""

    share: int
    items: deque = field(default_factory=deque)
    left: int = 0


class Lines:
    """Owner of the waiting. `step` adds one if its line has room; `take` gives the next in turn."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, Line] = OrderedDict()

    def step(self, *, name: str, item: str, share: int = 1) -> bool:
        """May it wait?"""
        line = self._lines.setdefault(name, Line(share=share, left=share))
        if len(line.items) >= constants.LINE_LENGTH:
            return False
        line.share = share
        line.items.append(item)
        return True

    def take(self, *, blocked: set[str]) -> tuple[str, str] | None:
        """(line, item) whose turn it is, passing over the blocked lines."""
        for name in list(self._lines):
            line = self._lines[name]
            if not line.items:
                del self._lines[name]
                continue
            if name in blocked:
                continue
            item = line.items.popleft()
            line.left -= 1
            if line.left <= 0:
                line.left = line.share
                self._lines.move_to_end(name)
            return name, item
        return None

    def put_back(self, *, name: str, item: str) -> None:
        """It could not go: it stays the first of its line."""
        line = self._lines.setdefault(name, Line(share=1))
        line.items.appendleft(item)
        line.left += 1

    def drop(self, *, item: str) -> None:
        """Take one out that has been given up."""
        for line in self._lines.values():
            if item in line.items:
                line.items.remove(item)
                return

    def waits(self, *, name: str) -> bool:
        """Does anyone wait in this line?"""
        return name in self._lines and bool(self._lines[name].items)
