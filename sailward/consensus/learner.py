"""Values of registers that are known to have been chosen."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward.consensus.proposer import EMPTY_VALUE
from sailward.consensus.voter_set import VoterSet, read_voters
from sailward.events import Command, SendMessage
from sailward.wire_types import Ballot, RegisterValue

CONTROL_REGISTERS = ("config", "orders", "voters")


def is_control_register(*, name: str) -> bool:
    """Is this a register that proxies act on?"""
    return name in CONTROL_REGISTERS or name.startswith("slots/")


@dataclass(kw_only=True)
class LearnedValue:
    """A register's value that is known to have been chosen."""

    ballot: Ballot = field(default_factory=lambda: [0, ""])
    value: RegisterValue = field(default_factory=EMPTY_VALUE.copy)


@dataclass(kw_only=True)
class Learner:
    """Owner of the chosen values. `step` learns one; an older value never replaces a newer one."""

    values: dict = field(default_factory=dict)
    _voters: VoterSet = field(default_factory=VoterSet)

    def is_newer(self, *, name: str, value: RegisterValue) -> bool:
        """Is this value newer than the learned one?"""
        return bool(value["number"] > self.number(name=name))

    def step(self, *, name: str, ballot: Ballot, value: RegisterValue) -> bool:
        """Learn this value; True if it is newer than the one known before."""
        known = self.values.get(name) or LearnedValue()
        if value["number"] < known.value["number"]:
            return False
        is_new = value["number"] > known.value["number"]
        self.values[name] = LearnedValue(ballot=max(ballot, known.ballot), value=value if is_new else known.value)
        if is_new and name == "voters":
            self._voters = read_voters(value=value)
        return is_new

    def number(self, *, name: str) -> int:
        """The number of the learned value, 0 if none."""
        return self.values[name].value["number"] if name in self.values else 0

    def send(self, *, to: str, name: str) -> list[Command]:
        """Send the learned value of a register to a daemon that has lost it."""
        known = self.values.get(name)
        return (
            [
                SendMessage(
                    to=to, body={"kind": "chosen", "register": name, "ballot": known.ballot, "value": known.value}
                )
            ]
            if known
            else []
        )

    def known_versions(self) -> dict:
        """Value number, change id and ballot of each learned register."""
        return {name: [known.value["number"], known.value["mark"], known.ballot] for name, known in self.values.items()}

    def covers(self, *, name: str, newest: list) -> bool:
        """Is this vote (value number, change id, ballot) learned already, or older than what is learned?"""
        number, mark, ballot = newest
        if number == 0:
            return True
        known = self.values.get(name)
        return known is not None and (mark == known.value["mark"] or ballot <= known.ballot)

    def voters(self) -> VoterSet:
        """The voters as a proposer needs them."""
        return self._voters
