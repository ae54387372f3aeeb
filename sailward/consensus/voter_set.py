"""The set of voters that a value of the register `voters` names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward.wire_types import RegisterValue


@dataclass(frozen=True, kw_only=True)
class VoterSet:
    """Who votes, under the number of the register's value; number 0 and no members before the core is founded.

    `members` gives each member's address by its identity. `joined` gives for a member the number of the set under which
    it must have copied at the earliest. `before` is the set before, as far as it is known, without its number.
    """

    number: int = 0
    members: Mapping[str, str] = field(default_factory=dict)
    joined: Mapping[str, int] = field(default_factory=dict)
    before: VoterSet | None = None

    def show(self) -> dict:
        """The set as operators see it."""
        before = {"members": self.before.members, "joined": self.before.joined} if self.before else None
        return {"number": self.number, "members": self.members, "joined": self.joined, "before": before}


def read_voters(*, value: RegisterValue) -> VoterSet:
    """The voters in a register's value."""
    text = json.loads(value["text"]) if value["text"] else {}
    before = text.get("before")
    return VoterSet(
        number=value["number"],
        members=text.get("members", {}),
        joined=text.get("joined", {}),
        before=VoterSet(members=before["members"], joined=before.get("joined", {})) if before else None,
    )
