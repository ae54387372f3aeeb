"""How a new voter learns every register before it votes: from a majority of those before it."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import Slot
from sailward.consensus.held import Held, read_voters
from sailward.consensus.proposer import majority_of, newest_of
from sailward.events import Tell


@dataclass(kw_only=True)
class Copying:
    """Owner of one copy. `step` asks for pages, or folds one; it is over when a majority told all.

    Each page is asked for with the set of voters that has the new one in it. Who tells a page keeps that
    set first, and so votes no more for changes under the set before: what they chose is in the copy.
    """

    identity: str
    number: int = 0
    old: dict = field(default_factory=dict)
    told: dict = field(default_factory=dict)
    cursors: dict = field(default_factory=dict)
    done: set = field(default_factory=set)
    again: float = -1e9
    pause: float = field(default_factory=lambda: constants.COPY_AGAIN)

    def step(self, *, now: float, voters: Held, event: tuple | None) -> list:
        """Take a (sender, copied) or None for time going on."""
        members = read_voters(value=voters.value)
        if members["number"] != self.number:
            self._restart(members=members)
        if event is not None:
            return self._fold(now=now, voters=voters, sender=event[0], body=event[1])
        if now < self.again:
            return []
        self.again = now + self.pause
        return [self._ask(to=address, voters=voters) for address in self.old.values() if address not in self.done]

    def is_over(self) -> bool:
        """Has a majority of the voters before told everything?"""
        return bool(self.old) and len(self.done) >= majority_of(members=self.old)

    def slots(self, *, now: float) -> dict[str, Slot]:
        """What may have been chosen under the set before, by what its majority told."""
        sources = [self.told.get(address, {}) for address in sorted(self.done)]
        slots = {}
        for name in sorted({name for told in sources for name in told}):
            votes = [told.get(name, []) for told in sources]
            value = newest_of(votes=votes, members=self.old)
            if value["number"]:
                ballot = max(vote[0] for vote in votes if vote)
                slots[name] = Slot(promised=ballot, ballot=ballot, value=value, since=now)
        return slots

    def _restart(self, *, members: dict) -> None:
        self.number = members["number"]
        self.old = {name: address for name, address in members["members"].items() if name != self.identity}
        self.told, self.cursors, self.done = {}, {}, set()

    def _ask(self, *, to: str, voters: Held) -> Tell:
        return Tell(
            to=to,
            body={"kind": "copy", "after": self.cursors.get(to, ""), "ballot": voters.ballot, "value": voters.value},
        )

    def _fold(self, *, now: float, voters: Held, sender: str, body: dict) -> list:
        if (
            body["voters"] != self.number
            or sender not in self.old.values()
            or sender in self.done
            or body["after"] != self.cursors.get(sender, "")
        ):
            return []
        told = self.told.setdefault(sender, {})
        told.update({name: [ballot, value] for name, ballot, value in body["slots"]})
        if not body["next"]:
            self.done.add(sender)
            return []
        self.cursors[sender] = body["next"]
        return [self._ask(to=sender, voters=voters)]


def copy_page(*, slots: dict, names: list[str], after: str, number: int) -> dict:
    """One page of this voter's votes, by the sorted names."""
    at = bisect_right(names, after)
    page = names[at : at + constants.COPY_PAGE]
    rows = [
        [name, slots[name].ballot, slots[name].value]
        for name in page
        if name in slots and slots[name].value is not None
    ]
    return {
        "kind": "copied",
        "after": after,
        "voters": number,
        "slots": rows,
        "next": page[-1] if at + len(page) < len(names) else "",
    }
