"""A controller as a voter: its identity, what it voted for, what it knows to be chosen, and its records on the disk."""

from __future__ import annotations

from dataclasses import dataclass

from sailward import constants
from sailward.consensus.acceptor import (
    CLAIM_PREFIX,
    KNOWN_VOTERS_RECORD,
    Acceptor,
    Slot,
    Slots,
    apply_record,
    slot_records,
)
from sailward.consensus.learner import LearnedValue, Learner
from sailward.consensus.voter_set import VoterSet, read_voters
from sailward.control.bootstrap import Bootstrap, make_founder
from sailward.control.group.disaster_recovery import read_founding
from sailward.control.group.write_ahead import WriteAhead
from sailward.discovery.peer_table import Location
from sailward.events import Command, SendMessage
from sailward.wire_types import Message, Record, RegisterValue


def make_identity(*, name: str, nonce: str) -> str:
    """A new voter's identity: an empty disk never takes over an old one."""
    return f"{name}#{nonce}"


@dataclass(frozen=True, kw_only=True)
class Remembered:
    """What the records of the disk tell of the start before; `identity` is empty on an empty disk."""

    identity: str
    copied: bool
    under: int
    opened: int
    known: dict | None
    slots: Slots


def read_records(*, records: list[Record], now: float) -> Remembered:
    """Fold the records of the disk, oldest first."""
    identity, copied, under, opened, known, slots = "", False, 0, 0, None, Slots()
    for record in records:
        if record["k"] == "identity":
            identity = record["id"]
        elif record["k"] == "copied":
            # versions before this one don't say under which set: members of theirs need no later copy
            copied, under = True, record.get("n", 0)
        elif record["k"] == "opened":
            opened = record["n"]
        elif record["k"] == "left":
            identity, copied, under, opened, slots = record["id"], False, 0, 0, Slots()
        elif record.get("r") == KNOWN_VOTERS_RECORD:
            known = record
        else:
            apply_record(slots=slots, record=record, now=now)
    return Remembered(identity=identity, copied=copied, under=under, opened=opened, known=known, slots=slots)


class Voter:
    """Owner of one voter. `answer` votes under the set of voters that it knows; `begun` is to be carried out first.

    The parts `learner` (chosen values), `acceptor` (votes) and `write_ahead` (order between records and replies) stay
    the same objects for as long as the process lives.
    """

    def __init__(
        self, *, location: Location, nonce: str, records: list[Record], now: float, bootstrap: Bootstrap | None
    ) -> None:
        remembered = read_records(records=records, now=now)
        self.location = location
        is_new = not remembered.identity
        is_founder = is_new and bootstrap is not None and bootstrap.is_founder(post=location.post)
        self.identity = remembered.identity or (
            make_founder(post=location.post) if is_founder else make_identity(name=location.name, nonce=nonce)
        )
        self.learner = Learner()
        self.acceptor = Acceptor(slots=remembered.slots)
        self.write_ahead = WriteAhead(
            identity=self.identity,
            slots=remembered.slots,
            copied=remembered.copied,
            under=remembered.under,
            opened=remembered.opened,
            known=remembered.known,
        )
        if remembered.known is not None and "v" in remembered.known:
            self.learner.step(name="voters", ballot=remembered.known["b"], value=remembered.known["v"])
        self.write_ahead.start(records=records)
        first_records = [{"k": "identity", "id": self.identity}] if is_new else []
        if is_founder and bootstrap is not None:
            first_records += self._found_alone(now=now, value=bootstrap.value())
        self.begun: list[Command] = self.write_ahead.step(records=first_records, replies=[])
        self._swept = now

    @property
    def voters(self) -> VoterSet:
        """The voters known to be chosen; until that is known again after a start, those voted for."""
        known = self.learner.voters()
        slot = self.acceptor.slots.get("voters")
        if known.number or slot is None or slot.value is None:
            return known
        return read_voters(value=slot.value)

    @property
    def is_member(self) -> bool:
        """Is this process in the set of voters that it knows?"""
        return self.identity in self.voters.members

    @property
    def is_opening(self) -> bool:
        """Does a founding anew keep this process from acting?"""
        return read_founding(value=self.learned_voters().value).number > self.write_ahead.opened

    @property
    def voting(self) -> bool:
        """May this process vote and grant?"""
        return self.is_member and self.is_complete and self.write_ahead.usable and not self.is_opening

    @property
    def is_complete(self) -> bool:
        """Do the slots hold what was chosen before the set that this voter must have copied under?"""
        return self.write_ahead.copied and self.write_ahead.under >= self.voters.joined.get(self.identity, 0)

    @property
    def is_copy_source(self) -> bool:
        """May others copy from this one?

        Also if it must copy itself or was taken out, if it could act under the set before.
        """
        before = self.voters.before or VoterSet()
        was_complete = self.write_ahead.copied and self.write_ahead.under >= before.joined.get(self.identity, 0)
        is_source = (self.is_member and self.is_complete) or (self.identity in before.members and was_complete)
        return is_source and self.write_ahead.usable

    def learned_voters(self) -> LearnedValue:
        """The register of the voters as it is known to be chosen."""
        return self.learner.values.get("voters") or LearnedValue()

    def voted_voters(self) -> RegisterValue:
        """The newest value of the voters' register that was voted for here."""
        slot = self.acceptor.slots.get("voters")
        return slot.value if slot and slot.value else LearnedValue().value

    def answer(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Judge one prepare, accept, first or read; the reply goes when what it tells is synced."""
        if not self.voting:
            return []
        if body["voters"] != self.voters.number:
            # a voter acts under one set at a time: the newest that it knows to be chosen
            return [self._refuse_set(sender=sender, body=body)]
        records, reply = self.acceptor.step(now=now, body=body)
        return self.write_ahead.step(records=records, replies=[SendMessage(to=sender, body=reply)])

    def newest(self) -> dict[str, list]:
        """Number, mark and ballot of the newest vote of each register that is no claim."""
        newest = {}
        for name in self.acceptor.slots.control_names:
            slot = self.acceptor.slots[name]
            value = slot.value or {"number": 0, "mark": ""}
            newest[name] = [value["number"], value["mark"], slot.ballot]
        return newest

    def put(self, *, slots: dict[str, Slot]) -> list[dict]:
        """Take these as voted for; the records that make it last."""
        records: list[Record] = []
        for name, slot in slots.items():
            self.acceptor.slots[name] = slot
            records += slot_records(name=name, slot=slot)
        return records

    def forget(self) -> list[Command]:
        """What was voted for as a member of earlier sets is void."""
        for name in list(self.acceptor.slots):
            del self.acceptor.slots[name]
        self.acceptor.slots.control_names.clear()
        self.write_ahead.copied, self.write_ahead.under, self.write_ahead.opened = False, 0, 0
        return self.write_ahead.step(records=[{"k": "left", "id": self.identity}], replies=[])

    def sweep_claims(self, *, now: float) -> list[Command]:
        """Forget the claims whose life is over."""
        if now - self._swept < constants.CLAIM_SWEEP_INTERVAL:
            return []
        self._swept = now
        old = [
            name
            for name, slot in self.acceptor.slots.items()
            if name.startswith(CLAIM_PREFIX) and now - slot.updated_at > constants.CLAIM_TTL
        ]
        for name in old:
            del self.acceptor.slots[name]
        return self.write_ahead.step(records=[{"k": "drop", "r": name} for name in old], replies=[])

    def _found_alone(self, *, now: float, value: RegisterValue) -> list[dict]:
        """Found the core without talk: the records, which must last before anything is told."""
        ballot = [0, "founder"]
        record = {"k": "vote", "r": "voters", "b": ballot, "v": value}
        apply_record(slots=self.acceptor.slots, record=record, now=now)
        self.write_ahead.copied = True
        self.write_ahead.known = {"k": "promise", "r": KNOWN_VOTERS_RECORD, "b": ballot, "v": value}
        self.learner.step(name="voters", ballot=ballot, value=value)
        return [record, {"k": "copied"}, self.write_ahead.known]

    def _refuse_set(self, *, sender: str, body: Message) -> SendMessage:
        learner = self.learner.values.get("voters")
        return SendMessage(
            to=sender,
            body={
                "kind": "nack",
                "op": body["op"],
                "register": body["register"],
                "ballot": body.get("ballot", [0, ""]),
                "reason": "voters",
                "round": 0,
                "voters": [learner.ballot, learner.value] if learner else [],
            },
        )
