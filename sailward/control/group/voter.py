"""A controller as a voter: its identity, its votes, the values it knows to be chosen, and its records on disk."""

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
from sailward.control.bootstrap import Bootstrap, make_founder_identity
from sailward.control.group.disaster_recovery import read_last_recovery
from sailward.control.group.write_ahead import WriteAhead
from sailward.discovery.peer_table import Location
from sailward.events import Command, SendMessage
from sailward.wire_types import Message, Record, RegisterValue


def make_identity(*, name: str, nonce: str) -> str:
    """A new voter's identity; the nonce keeps a process with an empty disk from reusing an earlier identity."""
    return f"{name}#{nonce}"


@dataclass(frozen=True, kw_only=True)
class StoredState:
    """The state that earlier runs stored on disk; `identity` is empty on an empty disk."""

    identity: str
    has_copied: bool
    copied_under: int
    completed_recovery: int
    known_voters: dict | None
    slots: Slots


def read_records(*, records: list[Record], now: float) -> StoredState:
    """Restore the state from the records on disk, oldest first."""
    identity, slots = "", Slots()
    has_copied, copied_under, completed_recovery, known_voters = False, 0, 0, None
    for record in records:
        if record["k"] == "identity":
            identity = record["id"]
        elif record["k"] == "copied":
            # older versions do not store the set number; members that they added need no later copy
            has_copied, copied_under = True, record.get("n", 0)
        elif record["k"] == "opened":
            completed_recovery = record["n"]
        elif record["k"] == "left":
            identity, slots = record["id"], Slots()
            has_copied, copied_under, completed_recovery = False, 0, 0
        elif record.get("r") == KNOWN_VOTERS_RECORD:
            known_voters = record
        else:
            apply_record(slots=slots, record=record, now=now)
    return StoredState(
        identity=identity,
        has_copied=has_copied,
        copied_under=copied_under,
        completed_recovery=completed_recovery,
        known_voters=known_voters,
        slots=slots,
    )


class Voter:
    """Owner of one voter. `answer` votes under the known voter set; `startup_commands` are to be run first.

    `learner` (chosen values), `acceptor` (votes) and `write_ahead` (order between records and replies) stay the same
    objects for the lifetime of the process.
    """

    def __init__(
        self, *, location: Location, nonce: str, records: list[Record], now: float, bootstrap: Bootstrap | None
    ) -> None:
        stored = read_records(records=records, now=now)
        self.location = location
        is_new = not stored.identity
        is_founder = is_new and bootstrap is not None and bootstrap.is_founder(post=location.post)
        self.identity = stored.identity or (
            make_founder_identity(post=location.post) if is_founder else make_identity(name=location.name, nonce=nonce)
        )
        self.learner = Learner()
        self.acceptor = Acceptor(slots=stored.slots)
        self.write_ahead = WriteAhead(
            identity=self.identity,
            slots=stored.slots,
            has_copied=stored.has_copied,
            copied_under=stored.copied_under,
            completed_recovery=stored.completed_recovery,
            known_voters=stored.known_voters,
        )
        if stored.known_voters is not None and "v" in stored.known_voters:
            self.learner.step(name="voters", ballot=stored.known_voters["b"], value=stored.known_voters["v"])
        self.write_ahead.start(records=records)
        first_records = [{"k": "identity", "id": self.identity}] if is_new else []
        if is_founder and bootstrap is not None:
            first_records += self._found_core(now=now, value=bootstrap.founding_value())
        self.startup_commands: list[Command] = self.write_ahead.step(records=first_records, replies=[])
        self._swept_at = now

    @property
    def voters(self) -> VoterSet:
        """The voter set known to be chosen; after a start, until that is known again, the one voted for here."""
        known = self.learner.voters()
        slot = self.acceptor.slots.get("voters")
        if known.number or slot is None or slot.value is None:
            return known
        return read_voters(value=slot.value)

    @property
    def is_member(self) -> bool:
        """Is this process a member of the voter set that it knows?"""
        return self.identity in self.voters.members

    @property
    def is_recovering(self) -> bool:
        """Is this process barred from voting until a disaster recovery is complete?"""
        return read_last_recovery(value=self.learned_voters().value).number > self.write_ahead.completed_recovery

    @property
    def is_voting(self) -> bool:
        """May this process vote and grant?"""
        return self.is_member and self.has_required_copy and self.write_ahead.is_usable and not self.is_recovering

    @property
    def has_required_copy(self) -> bool:
        """Has this voter copied all values chosen before the set under which it must copy (`VoterSet.joined`)?"""
        return self.write_ahead.has_copied and self.write_ahead.copied_under >= self.voters.joined.get(self.identity, 0)

    @property
    def is_copy_source(self) -> bool:
        """May others copy from this voter?

        True also if it must itself copy again or was removed, provided that it could vote under the previous set.
        """
        before = self.voters.before or VoterSet()
        was_complete = self.write_ahead.has_copied and self.write_ahead.copied_under >= before.joined.get(
            self.identity, 0
        )
        is_source = (self.is_member and self.has_required_copy) or (self.identity in before.members and was_complete)
        return is_source and self.write_ahead.is_usable

    def learned_voters(self) -> LearnedValue:
        """The value of the voters register that is known to be chosen."""
        return self.learner.values.get("voters") or LearnedValue()

    def voted_voters(self) -> RegisterValue:
        """The newest value of the voters register that was voted for here."""
        slot = self.acceptor.slots.get("voters")
        return slot.value if slot and slot.value else LearnedValue().value

    def answer(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Handle one prepare, accept, first or read; the reply is sent once the records it depends on are synced."""
        if not self.is_voting:
            return []
        if body["voters"] != self.voters.number:
            # a voter acts under one voter set at a time: the newest that it knows to be chosen
            return [self._reject_voter_set(sender=sender, body=body)]
        records, reply = self.acceptor.step(now=now, body=body)
        return self.write_ahead.step(records=records, replies=[SendMessage(to=sender, body=reply)])

    def newest_votes(self) -> dict[str, list]:
        """Number, mark and ballot of the newest vote in each register that is not a claim."""
        newest = {}
        for name in self.acceptor.slots.control_names:
            slot = self.acceptor.slots[name]
            value = slot.value or {"number": 0, "mark": ""}
            newest[name] = [value["number"], value["mark"], slot.ballot]
        return newest

    def store_slots(self, *, slots: dict[str, Slot]) -> list[dict]:
        """Adopt these slots as this voter's votes; returns the records that persist them."""
        records: list[Record] = []
        for name, slot in slots.items():
            self.acceptor.slots[name] = slot
            records += slot_records(name=name, slot=slot)
        return records

    def discard_votes(self) -> list[Command]:
        """Discard the votes cast as a member of earlier voter sets; they are void."""
        for name in list(self.acceptor.slots):
            del self.acceptor.slots[name]
        self.acceptor.slots.control_names.clear()
        self.write_ahead.has_copied, self.write_ahead.copied_under, self.write_ahead.completed_recovery = False, 0, 0
        return self.write_ahead.step(records=[{"k": "left", "id": self.identity}], replies=[])

    def drop_expired_claims(self, *, now: float) -> list[Command]:
        """Drop expired claims."""
        if now - self._swept_at < constants.CLAIM_SWEEP_INTERVAL:
            return []
        self._swept_at = now
        expired = [
            name
            for name, slot in self.acceptor.slots.items()
            if name.startswith(CLAIM_PREFIX) and now - slot.updated_at > constants.CLAIM_TTL
        ]
        for name in expired:
            del self.acceptor.slots[name]
        return self.write_ahead.step(records=[{"k": "drop", "r": name} for name in expired], replies=[])

    def _found_core(self, *, now: float, value: RegisterValue) -> list[dict]:
        """Found the quorum group without any message; the records returned must be synced before any reply is sent."""
        ballot = [0, "founder"]
        record = {"k": "vote", "r": "voters", "b": ballot, "v": value}
        apply_record(slots=self.acceptor.slots, record=record, now=now)
        self.write_ahead.has_copied = True
        self.write_ahead.known_voters = {"k": "promise", "r": KNOWN_VOTERS_RECORD, "b": ballot, "v": value}
        self.learner.step(name="voters", ballot=ballot, value=value)
        return [record, {"k": "copied"}, self.write_ahead.known_voters]

    def _reject_voter_set(self, *, sender: str, body: Message) -> SendMessage:
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
