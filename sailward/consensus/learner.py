"""Values of registers that are known to have been chosen."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward.consensus.proposer import EMPTY
from sailward.events import Tell

CONTROL = ("config", "orders", "voters")


def is_control(*, name: str) -> bool:
    """Is this a register that proxies act on?"""
    return name in CONTROL or name.startswith("slots/")


@dataclass(kw_only=True)
class Held:
    """A register's value that is known to have been chosen."""

    ballot: list = field(default_factory=lambda: [0, ""])
    value: dict = field(default_factory=lambda: dict(EMPTY))


@dataclass(kw_only=True)
class HeldBook:
    """Owner of the chosen values; `step` folds one, and an older one never replaces a newer."""

    held: dict = field(default_factory=dict)
    _voters: dict = field(default_factory=lambda: {"number": 0, "members": {}, "joined": {}, "before": None})

    def is_news(self, *, name: str, value: dict) -> bool:
        """Is this value newer than what is held?"""
        return bool(value["number"] > self.number(name=name))

    def step(self, *, name: str, ballot: list, value: dict) -> bool:
        """Hold this value; is it news?"""
        held = self.held.get(name) or Held()
        if value["number"] < held.value["number"]:
            return False
        news = value["number"] > held.value["number"]
        self.held[name] = Held(ballot=max(ballot, held.ballot), value=value if news else held.value)
        if news and name == "voters":
            self._voters = read_voters(value=value)
        return news

    def number(self, *, name: str) -> int:
        """The number held, 0 if none."""
        return self.held[name].value["number"] if name in self.held else 0

    def tell(self, *, to: str, name: str) -> list:
        """Give one who lost it what is held of a register."""
        held = self.held.get(name)
        return (
            [Tell(to=to, body={"kind": "chosen", "register": name, "ballot": held.ballot, "value": held.value})]
            if held
            else []
        )

    def have(self) -> dict:
        """Number, mark and ballot of each register held."""
        return {name: [held.value["number"], held.value["mark"], held.ballot] for name, held in self.held.items()}

    def covers(self, *, name: str, newest: list) -> bool:
        """Is this vote (number, mark, ballot) held here, or older than what is?"""
        number, mark, ballot = newest
        if number == 0:
            return True
        held = self.held.get(name)
        return held is not None and (mark == held.value["mark"] or ballot <= held.ballot)

    def voters(self) -> dict:
        """The voters as a proposer needs them."""
        return self._voters


def read_voters(*, value: dict) -> dict:
    """The voters in a register's value.

    `joined` gives for a member the number of the set under which it must have copied at the earliest; `before` are
    members and `joined` of the set before, None if it is not known.
    """
    said = json.loads(value["text"]) if value["text"] else {}
    return {
        "number": value["number"],
        "members": said.get("members", {}),
        "joined": said.get("joined", {}),
        "before": said.get("before"),
    }
