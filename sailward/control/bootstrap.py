"""Founding a core without an operator: the seeds that all daemons are told alike found it, each by itself."""

from __future__ import annotations

import json
from dataclasses import dataclass

from sailward.wire_types import RegisterValue

FIRST_START = "0"
"""The nonce of a founder's identity: the same at every founder, as none of them talks to another."""


@dataclass(frozen=True, kw_only=True)
class Bootstrap:
    """What the settings say of the core.

    `is_first`: the whole system starts for the first time, on empty disks. `posts`: the posts of the seeds in the order
    of the settings, the same for all. `budget`: machines of the core that may be lost at once.
    """

    is_first: bool
    posts: tuple[str, ...]
    budget: int = 1

    @property
    def target(self) -> int:
        """How many voters bear the loss of the budget: never under three."""
        return max(3, 2 * self.budget + 1)

    def founders(self) -> tuple[str, ...]:
        """The posts that found the core."""
        return tuple(dict.fromkeys(self.posts))[: self.target]

    def is_founder(self, *, post: str) -> bool:
        """Does the daemon at this post found the core on an empty disk?"""
        return self.is_first and post in self.founders()

    def value(self) -> RegisterValue:
        """The first value of the voters register, the same at every founder."""
        members = {make_founder(post=post): post for post in self.founders()}
        text = json.dumps({"members": members, "size": self.target}, sort_keys=True)
        return {"number": 1, "mark": "founded", "trail": [], "text": text}


def make_founder(*, post: str) -> str:
    """A founder's identity: what the others know of it without having heard from it."""
    return f"{post}#{FIRST_START}"
