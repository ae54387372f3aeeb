"""How a new voter learns every register before it votes: from a majority of those before it."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import FIRST_BALLOT, Slot
from sailward.consensus.learner import LearnedValue
from sailward.consensus.proposer import blocking_size, majority_size, possibly_chosen_value
from sailward.consensus.voter_set import VoterSet, read_voters
from sailward.events import Command, SendMessage
from sailward.wire_types import Message


@dataclass(kw_only=True)
class Copying:
    """Owner of one copy. `step` asks for pages, or folds one; it is over when enough voters told all.

    Each page is asked for with the set of voters that has the new one in it. Who tells a page keeps that
    set first, and so votes no more for changes under the set before: what they chose is in the copy.
    """

    identity: str
    number: int = 0
    old: dict = field(default_factory=dict)
    others: dict = field(default_factory=dict)
    copied: dict = field(default_factory=dict)
    cursors: dict = field(default_factory=dict)
    done: set = field(default_factory=set)
    retry_at: float = -1e9
    backoff: float = field(default_factory=lambda: constants.COPY_RETRY_INTERVAL)

    def step(self, *, now: float, voters: LearnedValue, event: tuple | None) -> list[Command]:
        """Take a (sender, copied) or None for time going on."""
        members = read_voters(value=voters.value)
        if members.number != self.number:
            self._restart(members=members)
        if event is not None:
            return self._fold(now=now, voters=voters, sender=event[0], body=event[1])
        if now < self.retry_at:
            return []
        self.retry_at = now + self.backoff
        return [
            self._request_page(to=address, voters=voters)
            for address in self.others.values()
            if address not in self.done
        ]

    def is_over(self, *, own: dict[str, Slot] | None = None) -> bool:
        """Have enough voters told everything? `own` are this one's slots, if it was one of the set before and acted.

        A majority of the set before is enough. For one that stays in a smaller set, so many that every majority had one
        of them, as more may not be left; under the first ballot these may leave open which value was chosen: then a
        majority.
        """
        if not self.old:
            return False
        count = len(self.done) + (own is not None)
        if own is None or count >= majority_size(members=self.old):
            return count >= majority_size(members=self.old)
        return count >= blocking_size(members=self.old) and not self._is_open(own=own)

    def slots(self, *, now: float, own: dict[str, Slot] | None = None) -> dict[str, Slot]:
        """What may have been chosen under the set before, by what these voters told."""
        sources = self._sources(own=own)
        slots = {}
        for name in sorted({name for copied in sources for name in copied}):
            votes = [copied.get(name, []) for copied in sources]
            value = possibly_chosen_value(votes=votes, members=self.old)
            if value["number"]:
                ballot = max(vote[0] for vote in votes if vote)
                promised = max(ballot, own[name].promised) if own is not None and name in own else ballot
                slots[name] = Slot(promised=promised, ballot=ballot, value=value, updated_at=now)
        return slots

    def _sources(self, *, own: dict[str, Slot] | None) -> list[dict]:
        """The votes of each voter that counts, by register."""
        sources = [self.copied.get(address, {}) for address in sorted(self.done)]
        if own is not None:
            sources.append({name: slot.vote() for name, slot in own.items() if slot.value is not None})
        return sources

    def _is_open(self, *, own: dict[str, Slot] | None) -> bool:
        """Do some of these voters hold different values of a register under the first ballot?"""
        marks: dict[str, set] = {}
        for copied in self._sources(own=own):
            for name, (ballot, value) in copied.items():
                if ballot == FIRST_BALLOT:
                    marks.setdefault(name, set()).add(value["mark"])
        return any(len(marks_of_register) > 1 for marks_of_register in marks.values())

    def _restart(self, *, members: VoterSet) -> None:
        self.number = members.number
        before = members.before or VoterSet(members=members.members)
        self.old = {name: post for name, post in before.members.items() if name != self.identity or members.before}
        # one that came back with an empty disk has the address of a member that is no more
        own = members.members.get(self.identity)
        self.others = {name: post for name, post in self.old.items() if name != self.identity and post != own}
        self.copied, self.cursors, self.done = {}, {}, set()

    def _request_page(self, *, to: str, voters: LearnedValue) -> SendMessage:
        return SendMessage(
            to=to,
            body={"kind": "copy", "after": self.cursors.get(to, ""), "ballot": voters.ballot, "value": voters.value},
        )

    def _fold(self, *, now: float, voters: LearnedValue, sender: str, body: Message) -> list[Command]:
        if (
            body["voters"] != self.number
            or sender not in self.others.values()
            or sender in self.done
            or body["after"] != self.cursors.get(sender, "")
        ):
            return []
        copied = self.copied.setdefault(sender, {})
        copied.update({name: [ballot, value] for name, ballot, value in body["slots"]})
        if not body["next"]:
            self.done.add(sender)
            return []
        self.cursors[sender] = body["next"]
        return [self._request_page(to=sender, voters=voters)]


def copy_page(*, slots: dict, names: list[str], after: str, number: int) -> dict:
    """One page of this voter's votes, by the sorted names."""
    at = bisect_right(names, after)
    page = names[at : at + constants.COPY_PAGE_SLOTS]
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
