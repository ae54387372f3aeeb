"""A cellar's place in the core: founding, joining, copying, founding anew, and being taken out."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from sailward import constants
from sailward.consensus.acceptor import KNOWN, Slot, fold_record, slot_records
from sailward.consensus.held import Held, is_control, read_voters
from sailward.consensus.proposer import Begin
from sailward.control.copying import Copying, copy_page
from sailward.control.disaster_recovery import (
    Anew,
    NotFounded,
    log_founding,
    make_founding,
    merge_survivors,
    read_founding,
)
from sailward.control.repair import Repair, count_core
from sailward.events import Answer, Asked, Log, Tell
from sailward.routing.exchange import answer_json

if TYPE_CHECKING:
    from sailward.control.controller import Controller


class Membership:
    """Owner of a cellar's membership. `step` judges the moment; the cellar's other parts are read through it."""

    def __init__(self, *, cellar: Controller, now: float) -> None:
        self._cellar = cellar
        options = cellar.options
        self.repair = Repair(
            replace_after=options.replace_after, every=options.repair_every, is_brisk=options.bootstrap is not None
        )
        self.copying = Copying(identity=cellar.identity, pause=options.copy_again)
        self.anew = Anew(copying=Copying(identity=cellar.identity, pause=options.copy_again))
        self._asked = -1e9
        self._names: dict[str, list[str]] = {}
        self._short_since, self._short_said = now, False
        self._ops = 0

    def step(self, *, now: float) -> list:
        """Say when the core is short; copy, found anew, repair, or ask for news."""
        cellar = self._cellar
        cellars = cellar.roster.alive(kind="cellar")
        cellar.desk.cellars = {one["identity"]: one for one in [*cellars, cellar.roster.own_entry()]}
        return [*self._note_core(now=now, cellars=cellars), *self._mind(now=now, cellars=cellars)]

    def is_whole(self) -> bool:
        """Do this voter's slots hold what was chosen before the set that it must have copied under?"""
        cellar = self._cellar
        return cellar.ledger.copied and cellar.ledger.under >= cellar.voters["joined"].get(cellar.identity, 0)

    def _may_tell(self) -> bool:
        """May others copy from this one? Also if it must copy itself, if it could act under the larger set before."""
        cellar = self._cellar
        before = cellar.voters["before"] or {"members": {}, "joined": {}}
        was_whole = cellar.ledger.copied and cellar.ledger.under >= before["joined"].get(cellar.identity, 0)
        return cellar.ledger.usable and (
            (cellar.identity in cellar.voters["members"] and self.is_whole())
            or (cellar.identity in before["members"] and was_whole)
        )

    def is_opening(self) -> bool:
        """Does a founding anew keep this cellar from acting?"""
        return read_founding(value=self._voters().value).number > self._cellar.ledger.opened

    def doubts(self, *, now: float) -> bool:
        """May claims have been lost whose life is not over?"""
        self.anew.note(now=now, voters=self._voters())
        return self.anew.doubts(now=now, voters=self._voters())

    def found_alone(self, *, now: float) -> list[dict]:
        """Found the core without talk: the records, which must last before anything is told."""
        cellar, value, ballot = self._cellar, self._cellar.options.bootstrap.value(), [0, "founder"]
        record = {"k": "vote", "r": "voters", "b": ballot, "v": value}
        fold_record(slots=cellar.acceptor.slots, record=record, now=now)
        cellar.ledger.copied = True
        cellar.ledger.known = {"k": "promise", "r": KNOWN, "b": ballot, "v": value}
        cellar.held.step(name="voters", ballot=ballot, value=value)
        return [record, {"k": "copied"}, cellar.ledger.known]

    def ask_soon(self) -> None:
        """Others know newer voters: ask for them at the next look."""
        self._asked = -1e9

    def found(self, *, now: float, event: Asked) -> list:
        """Join new cellars into a core: the same value at each of them."""
        cellar = self._cellar
        try:
            members = json.loads(event.body or b"")["members"]
            sound = bool(members) and all(isinstance(k, str) and isinstance(v, str) for k, v in members.items())
        except (ValueError, KeyError, TypeError, AttributeError):
            sound = False
        if not sound or cellar.identity not in members:
            return [
                _refuse(
                    event=event,
                    code=422,
                    reason="members",
                    detail="give members: {identity: address}, this one among them",
                )
            ]
        value = {
            "number": 1,
            "mark": "founded",
            "trail": [],
            "text": json.dumps({"members": members, "size": len(members)}, sort_keys=True),
        }
        slot = cellar.acceptor.slots.get("voters")
        if slot is not None and slot.value != value:
            return [_refuse(event=event, code=409, reason="founded", detail="this cellar belongs to a core already")]
        record = {"k": "vote", "r": "voters", "b": [0, "founder"], "v": value}
        if slot is None:
            fold_record(slots=cellar.acceptor.slots, record=record, now=now)
        cellar.ledger.copied = True
        cellar.held.step(name="voters", ballot=[0, "founder"], value=value)
        answer = answer_json(token=event.token, code=200, body={"outcome": "accepted", "number": 1})
        return [
            *cellar.ledger.know(ballot=[0, "founder"], value=value),
            *cellar.ledger.step(records=[record, {"k": "copied"}] if slot is None else [], replies=[answer]),
        ]

    def found_anew(self, *, now: float, event: Asked) -> list:
        """Take an operator's order to go on with the named survivors alone."""
        cellar = self._cellar
        try:
            names = json.loads(event.body or b"")["survivors"]
            sound = isinstance(names, list) and all(isinstance(one, str) for one in names)
        except (ValueError, KeyError, TypeError):
            sound = False
        if not sound:
            return [
                _refuse(event=event, code=422, reason="survivors", detail="give survivors: a list of cellars' names")
            ]
        newest = max((self._voters().value, self._voted()), key=lambda value: value["number"])
        made = make_founding(
            own=cellar.identity,
            names=names,
            is_confirmed=event.query.get("confirm") == "yes",
            value=newest,
            opened=cellar.ledger.opened,
            cellars=cellar.desk.cellars,
        )
        if isinstance(made, NotFounded):
            return [_refuse(event=event, code=made.code, reason=made.reason, detail=made.detail)]
        if not cellar.ledger.usable or not cellar.ledger.copied:
            return [
                _refuse(
                    event=event,
                    code=503,
                    reason="not-usable",
                    detail="this cellar can't write, or never had the core's registers",
                )
            ]
        number = made["number"]
        record = {"k": "vote", "r": "voters", "b": [number, "founder"], "v": made}
        fold_record(slots=cellar.acceptor.slots, record=record, now=now)
        founding = read_founding(value=made)
        answer = answer_json(
            token=event.token,
            code=200,
            body={
                "outcome": "accepted",
                "number": number,
                "survivors": list(founding.survivors),
                "claims": "in-doubt" if founding.doubt else "kept",
            },
        )
        commands = cellar.keep(now=now, name="voters", ballot=[number, "founder"], value=made, tell=True)
        # told only when it lasts
        return cellar.ledger.step(records=[record], replies=[log_founding(value=made), *commands, answer])

    def is_out(self, *, value: dict) -> bool:
        """Does this chosen set of voters take this cellar out? An older one, told late, does not."""
        cellar = self._cellar
        return (
            cellar.ledger.copied
            and cellar.identity not in read_voters(value=value)["members"]
            and value["number"] >= self._voted()["number"]
        )

    def leave(self) -> list:
        """Taken out of the core: what was voted for is void, and the old identity never acts again."""
        cellar = self._cellar
        old, cellar.identity = cellar.identity, cellar.new_identity()
        for part in (cellar.ledger, cellar.roster, self.copying, self.anew.copying):
            part.identity = cellar.identity
        return [Log(event="taken-out", fields={"was": old, "waits-as": cellar.identity}), *self._forget()]

    def _forget(self) -> list:
        """What was voted for as a member of earlier sets is void."""
        cellar = self._cellar
        for name in list(cellar.acceptor.slots):
            del cellar.acceptor.slots[name]
        cellar.acceptor.slots.control.clear()
        cellar.ledger.copied, cellar.ledger.under, cellar.ledger.opened = False, 0, 0
        return cellar.ledger.step(records=[{"k": "left", "id": cellar.identity}], replies=[])

    def tell_page(self, *, now: float, sender: str, body: dict) -> list:
        """A page of all this voter has voted for, to one that copies under the same set."""
        cellar = self._cellar
        commands = cellar.keep(now=now, name="voters", ballot=body["ballot"], value=body["value"], tell=False)
        number = cellar.voters["number"]
        if not self._may_tell() or number != body["value"]["number"]:
            return commands
        if body["after"] == "" or sender not in self._names:
            # nothing is voted for under the old set from here on: one order for the whole copy
            self._names[sender] = sorted(cellar.acceptor.slots)
        page = copy_page(slots=cellar.acceptor.slots, names=self._names[sender], after=body["after"], number=number)
        if not page["next"]:
            del self._names[sender]
        return commands + cellar.ledger.step(records=[], replies=[Tell(to=sender, body=page)])

    def take_page(self, *, now: float, event: tuple) -> list:
        """Fold a page; with the last one this cellar may act."""
        cellar = self._cellar
        if "voters" not in cellar.held.held:
            return []
        if self.is_whole():
            return self._step_anew(now=now, event=event) if self.is_opening() else []
        return self._step_copy(now=now, event=event)

    def _step_copy(self, *, now: float, event: tuple | None) -> list:
        cellar = self._cellar
        own = cellar.acceptor.slots if self._may_tell() else None
        commands = self.copying.step(now=now, voters=self._voters(), event=event)
        if not self.copying.is_over(own=own):
            return commands
        slots = self.copying.slots(now=now, own=own)
        if own is None:
            commands += self._forget()
        cellar.ledger.copied, cellar.ledger.under = True, self.copying.number
        cellar.ledger.opened = read_founding(value=self._voters().value).number
        log = Log(event="copied", fields={"slots": len(slots), "under": self.copying.number})
        commands += [
            log,
            *cellar.ledger.step(
                records=[*self._put(slots=slots), cellar.ledger.copied_record(), *self._opened()], replies=[]
            ),
        ]
        return commands + (self._announce() if cellar.options.bootstrap else [])

    def _announce(self) -> list:
        """Tell the other voters at once that this one acts: gossip would take its rounds."""
        roster = self._cellar.roster
        roster.fit, roster.beat = True, roster.beat + 1
        body = {"kind": "gossip", "entries": [roster.own_entry()], "reply": True}
        return [
            Tell(to=post, body=body)
            for post in sorted({*self._cellar.voters["members"].values()} - {roster.place.post})
        ]

    def _put(self, *, slots: dict) -> list:
        records: list = []
        for name, slot in slots.items():
            self._cellar.acceptor.slots[name] = slot
            records += slot_records(name=name, slot=slot)
        return records

    def _opened(self) -> list:
        opened = self._cellar.ledger.opened
        return [{"k": "opened", "n": opened}] if opened else []

    def _voters(self) -> Held:
        return self._cellar.held.held.get("voters") or Held()

    def _voted(self) -> dict:
        slot = self._cellar.acceptor.slots.get("voters")
        return slot.value if slot and slot.value else Held().value

    def _step_anew(self, *, now: float, event: tuple | None) -> list:
        cellar = self._cellar
        commands = self.anew.step(now=now, voters=self._voters(), event=event)
        if not self.anew.is_over(now=now):
            return commands
        told = list(self.anew.copying.told.values())
        slots = merge_survivors(slots=cellar.acceptor.slots, told=told, now=now)
        for name, held in cellar.held.held.items():
            # what proxies and other cellars were told, if no survivor's vote is as new
            slot = slots.get(name)
            if is_control(name=name) and (
                slot is None or slot.value is None or slot.value["number"] < held.value["number"]
            ):
                ballot = max(held.ballot, slot.promised) if slot else held.ballot
                slots[name] = Slot(promised=ballot, ballot=ballot, value=held.value, since=now)
        cellar.ledger.opened = read_founding(value=self._voters().value).number
        log = Log(
            event="opened-anew",
            fields={
                "number": cellar.ledger.opened,
                "slots": len(slots),
                "claims": "in-doubt" if self.doubts(now=now) else "kept",
            },
        )
        return [*commands, log, *cellar.ledger.step(records=[*self._put(slots=slots), *self._opened()], replies=[])]

    def _mind(self, *, now: float, cellars: list[dict]) -> list:
        cellar, held = self._cellar, self._voters()
        if cellar.voting:
            text = self.repair.step(
                now=now,
                own=cellar.identity,
                voters=cellar.voters,
                text=held.value["text"],
                cellars=[*cellars, cellar.roster.own_entry()],
            )
            if not text:
                return []
            self._ops += 1
            begin = Begin(
                op=f"{cellar.proposer.identity}/repair{self._ops}",
                register="voters",
                expected=cellar.voters["number"],
                text=text,
            )
            log = Log(event="voters-change", fields={"from": cellar.voters["number"], "to": text})
            return [log, *cellar.begin(now=now, begins=[begin])]
        commands = []
        if cellar.identity in cellar.voters["members"] and "voters" in cellar.held.held:
            if not self.is_whole():
                return self._step_copy(now=now, event=None)
            if self.is_opening():
                commands = self._step_anew(now=now, event=None)
        if now - self._asked >= self._ask_pause():
            self._asked = now
            body = {
                "kind": "ask",
                "seq": 0,
                "have": cellar.held.have(),
                "report": {},
                "daemon": cellar.roster.own_entry(),
            }
            commands += [Tell(to=one["post"], body=body) for one in cellars]
        return commands

    def _ask_pause(self) -> float:
        cellar = self._cellar
        is_waiting = cellar.voters["number"] and cellar.identity not in cellar.voters["members"]
        return constants.WAITING_ASK if cellar.options.bootstrap and is_waiting else cellar.options.repair_every

    def _note_core(self, *, now: float, cellars: list[dict]) -> list:
        """Say so when too much is lost for any change, and when it is back."""
        members = self._cellar.voters["members"]
        core = count_core(members=members, cellars=[*cellars, self._cellar.roster.own_entry()])
        short = bool(members) and core["voting"] < core["needed"]
        if not short:
            self._short_since = now
        said, self._short_said = self._short_said, short and now - self._short_since > constants.SUSPECT
        if said == self._short_said:
            return []
        return [
            Log(
                event="core-short" if not said else "core-whole",
                fields={
                    "voting": core["voting"],
                    "needed": core["needed"],
                    "missing": ",".join(core["missing"]) or "none",
                },
            )
        ]


def _refuse(*, event: Asked, code: int, reason: str, detail: str) -> Answer:
    return answer_json(token=event.token, code=code, body={"outcome": "refused", "error": reason, "detail": detail})
