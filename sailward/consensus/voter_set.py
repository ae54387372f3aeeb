"""The voter set, as read from a value of the register `voters`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward.wire_types import RegisterValue


@dataclass(frozen=True, kw_only=True)
class VoterSet:
    """The voters; `number` is that of the register's value, 0 (with no members) before the core is bootstrapped.

    `members` maps each member's identity to its address. `joined` maps a member to the number of the earliest voter set
    under which its copy of the registers counts. `before` is the previous set, if it is known, without its number.
    """

    number: int = 0
    members: Mapping[str, str] = field(default_factory=dict)
    joined: Mapping[str, int] = field(default_factory=dict)
    before: VoterSet | None = None

    def show(self) -> dict:
        """The set in the form that is shown to operators."""
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
