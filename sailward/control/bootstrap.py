"""Bootstrap of the quorum group without an operator: each seed in the shared settings founds it independently."""

from __future__ import annotations

import json
from dataclasses import dataclass

from sailward.wire_types import RegisterValue

FOUNDER_NONCE = "0"
"""The nonce in a founder's identity: a constant, as the founders exchange no messages to agree on one."""


@dataclass(frozen=True, kw_only=True)
class Bootstrap:
    """The settings for founding the quorum group, the controllers that vote.

    `is_first`: the whole system starts for the first time, on empty disks. `posts`: the seeds' addresses in the order
    of the settings, the same on all daemons. `budget`: how many voters' machines may be lost at once.
    """

    is_first: bool
    posts: tuple[str, ...]
    budget: int = 1

    @property
    def target_size(self) -> int:
        """The number of voters needed to tolerate the loss of `budget` machines: at least three."""
        return max(3, 2 * self.budget + 1)

    def founders(self) -> tuple[str, ...]:
        """The addresses of the seeds that found the quorum group."""
        return tuple(dict.fromkeys(self.posts))[: self.target_size]

    def is_founder(self, *, post: str) -> bool:
        """Does the daemon at this address found the quorum group if its disk is empty?"""
        return self.is_first and post in self.founders()

    def founding_value(self) -> RegisterValue:
        """The first value of the voters register, the same at every founder."""
        members = {make_founder_identity(post=post): post for post in self.founders()}
        text = json.dumps({"members": members, "size": self.target_size}, sort_keys=True)
        return {"number": 1, "mark": "founded", "trail": [], "text": text}


def make_founder_identity(*, post: str) -> str:
    """A founder's identity, which the other founders can derive from its address without any message from it."""
    return f"{post}#{FOUNDER_NONCE}"
