"""State transfer: a new voter copies every register from a majority of the previous voters before it votes."""

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
    """Owner of one copy. `step` requests pages, or merges a received page.

    The copy is complete when enough voters have sent all their votes.

    Each request carries the voter set that contains the new voter. A voter stores that set before it sends a page,
    and so casts no more votes under the previous set: everything chosen under that set is in the copy. `sources` are
    the previous members to copy from, `cursors` the last register name received from each.
    """

    identity: str
    number: int = 0
    previous_members: dict = field(default_factory=dict)
    sources: dict = field(default_factory=dict)
    copied_votes: dict = field(default_factory=dict)
    cursors: dict = field(default_factory=dict)
    completed_sources: set = field(default_factory=set)
    retry_at: float = -1e9
    backoff: float = field(default_factory=lambda: constants.COPY_RETRY_INTERVAL)

    def step(self, *, now: float, voters: LearnedValue, event: tuple | None) -> list[Command]:
        """Take a (sender, `copied` message), or None for a timer tick."""
        members = read_voters(value=voters.value)
        if members.number != self.number:
            self._restart(members=members)
        if event is not None:
            return self._merge_page(now=now, voters=voters, sender=event[0], body=event[1])
        if now < self.retry_at:
            return []
        self.retry_at = now + self.backoff
        return [
            self._request_page(to=address, voters=voters)
            for address in self.sources.values()
            if address not in self.completed_sources
        ]

    def is_over(self, *, own: dict[str, Slot] | None = None) -> bool:
        """Have enough voters sent everything? `own` are this voter's slots, if it could vote under the previous set.

        A majority of the previous set is enough. For a voter that stays in a smaller set, a blocking set (one voter of
        every majority) is enough, as the others may be lost. A majority is needed if votes under the first
        ballot don't show which value was chosen.
        """
        if not self.previous_members:
            return False
        count = len(self.completed_sources) + (own is not None)
        if own is None or count >= majority_size(members=self.previous_members):
            return count >= majority_size(members=self.previous_members)
        return count >= blocking_size(members=self.previous_members) and not self._has_conflict(own=own)

    def merge_votes(self, *, now: float, own: dict[str, Slot] | None = None) -> dict[str, Slot]:
        """The values that may have been chosen under the previous set, by the votes that were copied."""
        votes_by_source = self._counted_votes(own=own)
        slots = {}
        for name in sorted({name for copied in votes_by_source for name in copied}):
            votes = [copied.get(name, []) for copied in votes_by_source]
            value = possibly_chosen_value(votes=votes, members=self.previous_members)
            if value["number"]:
                ballot = max(vote[0] for vote in votes if vote)
                promised = max(ballot, own[name].promised) if own is not None and name in own else ballot
                slots[name] = Slot(promised=promised, ballot=ballot, value=value, updated_at=now)
        return slots

    def _counted_votes(self, *, own: dict[str, Slot] | None) -> list[dict]:
        """The votes of each voter that counts, by register."""
        votes_by_source = [self.copied_votes.get(address, {}) for address in sorted(self.completed_sources)]
        if own is not None:
            votes_by_source.append({name: slot.vote() for name, slot in own.items() if slot.value is not None})
        return votes_by_source

    def _has_conflict(self, *, own: dict[str, Slot] | None) -> bool:
        """Do these voters hold different values of a register under the first ballot?"""
        marks: dict[str, set] = {}
        for copied in self._counted_votes(own=own):
            for name, (ballot, value) in copied.items():
                if ballot == FIRST_BALLOT:
                    marks.setdefault(name, set()).add(value["mark"])
        return any(len(marks_of_register) > 1 for marks_of_register in marks.values())

    def _restart(self, *, members: VoterSet) -> None:
        self.number = members.number
        before = members.before or VoterSet(members=members.members)
        self.previous_members = {
            name: post for name, post in before.members.items() if name != self.identity or members.before
        }
        # after a restart with an empty disk, this voter has the address of a previous member that no longer exists
        own = members.members.get(self.identity)
        self.sources = {
            name: post for name, post in self.previous_members.items() if name != self.identity and post != own
        }
        self.copied_votes, self.cursors, self.completed_sources = {}, {}, set()

    def _request_page(self, *, to: str, voters: LearnedValue) -> SendMessage:
        return SendMessage(
            to=to,
            body={"kind": "copy", "after": self.cursors.get(to, ""), "ballot": voters.ballot, "value": voters.value},
        )

    def _merge_page(self, *, now: float, voters: LearnedValue, sender: str, body: Message) -> list[Command]:
        if (
            body["voters"] != self.number
            or sender not in self.sources.values()
            or sender in self.completed_sources
            or body["after"] != self.cursors.get(sender, "")
        ):
            return []
        copied = self.copied_votes.setdefault(sender, {})
        copied.update({name: [ballot, value] for name, ballot, value in body["slots"]})
        if not body["next"]:
            self.completed_sources.add(sender)
            return []
        self.cursors[sender] = body["next"]
        return [self._request_page(to=sender, voters=voters)]


def copy_page(*, slots: dict, names: list[str], after: str, number: int) -> dict:
    """One page of this voter's votes, in the order of the sorted names."""
    start = bisect_right(names, after)
    page_names = names[start : start + constants.COPY_PAGE_SLOTS]
    rows = [
        [name, slots[name].ballot, slots[name].value]
        for name in page_names
        if name in slots and slots[name].value is not None
    ]
    return {
        "kind": "copied",
        "after": after,
        "voters": number,
        "slots": rows,
        "next": page_names[-1] if start + len(page_names) < len(names) else "",
    }
