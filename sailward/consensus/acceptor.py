"""The acceptor (voter): its promises and votes, which must be synced to the disk before they are sent."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward.wire_types import Ballot, Message, RegisterValue

CLAIM_PREFIX = "exchange/"
"""Prefix of the name of a register that holds the claim of an idempotency key."""
KNOWN_VOTERS_RECORD = "known/voters"
"""Register name of the record that holds the voter set known to be chosen. Versions that don't know this record read
it as a promise."""
NO_BALLOT = [0, ""]
FIRST_BALLOT = [0, "first"]
"""The ballot that all proposers share for a register that has no vote yet."""


@dataclass(kw_only=True)
class Slot:
    """A voter's state of one register. `updated_at` is the time of the last promise or vote."""

    promised: Ballot = field(default_factory=lambda: list(NO_BALLOT))
    ballot: Ballot = field(default_factory=lambda: list(NO_BALLOT))
    value: RegisterValue | None = None
    updated_at: float = 0.0

    def vote(self) -> list:
        """The vote in the form that messages carry: an empty list if none was cast."""
        return [list(self.ballot), self.value] if self.value is not None else []


class Slots(dict):
    """A voter's slots by register. `control_names` lists those that are not claims, as there are many claims."""

    def __init__(self) -> None:
        super().__init__()
        self.control_names: set[str] = set()

    def __setitem__(self, name: str, slot: Slot) -> None:
        """Store the slot, and record its name as a control register unless it is a claim."""
        if not name.startswith(CLAIM_PREFIX):
            self.control_names.add(name)
        super().__setitem__(name, slot)


class Acceptor:
    """Owner of a voter's slots. `step` returns (records to sync, reply) for a message."""

    def __init__(self, *, slots: Slots) -> None:
        self.slots = slots

    def step(self, *, now: float, body: Message) -> tuple[list[dict], dict]:
        """Process one prepare, accept, first or read message."""
        name, op = body["register"], body["op"]
        slot = self.slots.get(name) or Slot()
        if body["kind"] == "read":
            return [], {"kind": "told", "op": op, "register": name, "vote": slot.vote()}
        if body["kind"] == "first":
            return self._vote_first(now=now, body=body, slot=slot)
        ballot = body["ballot"]
        if body["kind"] == "prepare":
            if ballot < slot.promised or ballot == slot.ballot:
                return [], _nack(op=op, name=name, ballot=ballot, reason="promised", highest_round=slot.promised[0])
            if ballot == slot.promised:
                # a duplicate of the prepare that was promised last
                return [], {"kind": "promise", "op": op, "register": name, "ballot": ballot, "vote": slot.vote()}
            record = {"k": "promise", "r": name, "b": ballot}
            reply = {"kind": "promise", "op": op, "register": name, "ballot": ballot, "vote": slot.vote()}
        else:
            if ballot < slot.promised:
                return [], _nack(op=op, name=name, ballot=ballot, reason="promised", highest_round=slot.promised[0])
            record = {"k": "vote", "r": name, "b": ballot, "v": body["value"]}
            reply = {"kind": "voted", "op": op, "register": name, "ballot": ballot}
        apply_record(slots=self.slots, record=record, now=now)
        return [record], reply

    def _vote_first(self, *, now: float, body: Message, slot: Slot) -> tuple[list[dict], dict]:
        name, op = body["register"], body["op"]
        voted = {"kind": "voted", "op": op, "register": name, "ballot": FIRST_BALLOT}
        if (
            slot.value is not None
            and slot.ballot == FIRST_BALLOT
            and slot.value["mark"] == body["value"]["mark"]
            and slot.promised == FIRST_BALLOT
        ):
            return [], voted
        if slot.value is not None or slot.promised != NO_BALLOT:
            return [], _nack(op=op, name=name, ballot=FIRST_BALLOT, reason="taken", highest_round=slot.promised[0])
        record = {"k": "vote", "r": name, "b": FIRST_BALLOT, "v": body["value"]}
        apply_record(slots=self.slots, record=record, now=now)
        return [record], voted


def apply_record(*, slots: dict[str, Slot], record: dict, now: float) -> None:
    """Apply one record, new or read from the disk, to the slots."""
    if record["k"] == "drop":
        slots.pop(record["r"], None)
        return
    slot = slots.get(record["r"])
    if slot is None:
        slot = slots[record["r"]] = Slot()
    slot.updated_at = now
    slot.promised = max(slot.promised, record["b"])
    if record["k"] == "vote":
        slot.ballot, slot.value = record["b"], record["v"]


def slot_records(*, name: str, slot: Slot) -> list[dict]:
    """The records from which a slot can be rebuilt."""
    records = []
    if slot.value is not None:
        records.append({"k": "vote", "r": name, "b": slot.ballot, "v": slot.value})
    if slot.promised > slot.ballot or slot.value is None:
        records.append({"k": "promise", "r": name, "b": slot.promised})
    return records


def _nack(*, op: str, name: str, ballot: Ballot, reason: str, highest_round: int) -> dict:
    return {
        "kind": "nack",
        "op": op,
        "register": name,
        "ballot": ballot,
        "reason": reason,
        "round": highest_round,
        "voters": [],
    }


def newest_vote(*, slots: Slots, name: str) -> list:
    """Value number, change id and ballot of a voter's newest vote on a register."""
    slot = slots.get(name)
    return (
        [slot.value["number"], slot.value["mark"], slot.ballot]
        if slot is not None and slot.value is not None
        else [0, "", [0, ""]]
    )
