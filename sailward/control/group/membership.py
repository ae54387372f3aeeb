"""A controller's place among the voters: founding, joining, copying, founding anew, and being taken out."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from sailward import constants
from sailward.config.check import InvalidConfig, read_config
from sailward.consensus.acceptor import Slot, apply_record
from sailward.consensus.learner import is_control_register
from sailward.consensus.proposer import StartOperation, StepResult
from sailward.consensus.voter_set import read_voters
from sailward.control.controller_options import ControllerOptions
from sailward.control.group.copying import Copying, copy_page
from sailward.control.group.disaster_recovery import (
    DisasterRecovery,
    NotFounded,
    make_founding,
    merge_survivors,
    read_founding,
)
from sailward.control.group.repair import Repair, count_core
from sailward.control.group.voter import Voter
from sailward.discovery.peer_table import PeerTable
from sailward.events import Command, LogEvent, RequestReceived, Respond, SendMessage
from sailward.routing.proxied_request import answer_json
from sailward.shapes import is_text, list_of, map_of
from sailward.wire_types import Ballot, Message, Record, RegisterValue

is_members = map_of(is_text)
is_names = list_of(is_text)


@dataclass(frozen=True, kw_only=True)
class RecoveryOrder:
    """An order to go on with the survivors alone, already voted for here: to be told once `record` is synced."""

    record: Record
    ballot: Ballot
    value: RegisterValue
    answer: Respond


class Membership:
    """Owner of a controller's membership. `step` judges the moment and gives (commands, operations to begin)."""

    def __init__(
        self, *, voter: Voter, peer_table: PeerTable, options: ControllerOptions, op_prefix: str, now: float
    ) -> None:
        self._voter, self._peer_table, self._options, self._op_prefix = voter, peer_table, options, op_prefix
        self.repair = Repair(
            replace_after=options.replace_after, every=options.repair_every, is_brisk=options.bootstrap is not None
        )
        self.copying = Copying(identity=voter.identity, backoff=options.copy_again)
        self.recovery = DisasterRecovery(copying=Copying(identity=voter.identity, backoff=options.copy_again))
        self.controllers: dict[str, dict] = {}
        self._requested_at = -1e9
        self._names: dict[str, list[str]] = {}
        self._short_since, self._short_reported = now, False
        self._ops = 0

    def step(self, *, now: float) -> StepResult:
        """Say when the core is short; copy, found anew, repair, or ask for news."""
        others = self._peer_table.alive(kind="controller")
        self.controllers = {other["identity"]: other for other in [*others, self._peer_table.own_entry()]}
        commands = self._report_core(now=now, others=others)
        # one that does not act yet watches the voters too: when it joins it knows for how long each was lost
        more, begins = self._repair(now=now, others=others)
        if self._voter.voting:
            return StepResult(commands + more, begins)
        return StepResult(commands + self._catch_up(now=now) + self._request_updates(now=now, others=others), [])

    def has_unknown_outcomes(self, *, now: float) -> bool:
        """May claims have been lost whose life is not over?"""
        self.recovery.note(now=now, voters=self._voter.learned_voters())
        return self.recovery.has_unknown_outcomes(now=now, voters=self._voter.learned_voters())

    def request_soon(self) -> None:
        """Others know newer voters: ask for them at the next look."""
        self._requested_at = -1e9

    def found(self, *, now: float, event: RequestReceived) -> list[Command]:
        """Join new controllers into a core: the same value at each of them."""
        voter = self._voter
        members = _read_field(event=event, name="members")
        if not is_members(members) or voter.identity not in members:
            return [
                _refuse(
                    event=event,
                    code=422,
                    reason="members",
                    detail="give members: {identity: address}, this one among them",
                )
            ]
        value: RegisterValue = {
            "number": 1,
            "mark": "founded",
            "trail": [],
            "text": json.dumps({"members": members, "size": len(members)}, sort_keys=True),
        }
        slot = voter.acceptor.slots.get("voters")
        if slot is not None and slot.value != value:
            return [
                _refuse(event=event, code=409, reason="founded", detail="this controller belongs to a core already")
            ]
        record = {"k": "vote", "r": "voters", "b": [0, "founder"], "v": value}
        if slot is None:
            apply_record(slots=voter.acceptor.slots, record=record, now=now)
        voter.write_ahead.copied = True
        voter.learner.step(name="voters", ballot=[0, "founder"], value=value)
        answer = answer_json(token=event.token, code=200, body={"outcome": "accepted", "number": 1})
        return [
            *voter.write_ahead.know(ballot=[0, "founder"], value=value),
            *voter.write_ahead.step(records=[record, {"k": "copied"}] if slot is None else [], replies=[answer]),
        ]

    def order_recovery(self, *, now: float, event: RequestReceived) -> Respond | RecoveryOrder:
        """Take an operator's order to go on with the named survivors alone: the refusal, or what is to be done."""
        voter = self._voter
        names = _read_field(event=event, name="survivors")
        if not is_names(names):
            return _refuse(
                event=event, code=422, reason="survivors", detail="give survivors: a list of controllers' names"
            )
        newest = max((voter.learned_voters().value, voter.voted_voters()), key=lambda value: value["number"])
        made = make_founding(
            own=voter.identity,
            names=names,
            is_confirmed=event.query.get("confirm") == "yes",
            value=newest,
            opened=voter.write_ahead.opened,
            controllers=self.controllers,
        )
        if isinstance(made, NotFounded):
            return _refuse(event=event, code=made.code, reason=made.reason, detail=made.detail)
        if not voter.write_ahead.usable or not voter.write_ahead.copied:
            return _refuse(
                event=event,
                code=503,
                reason="not-usable",
                detail="this controller can't write, or never had the core's registers",
            )
        number = made["number"]
        record = {"k": "vote", "r": "voters", "b": [number, "founder"], "v": made}
        apply_record(slots=voter.acceptor.slots, record=record, now=now)
        founding = read_founding(value=made)
        body = {
            "outcome": "accepted",
            "number": number,
            "survivors": list(founding.survivors),
            "claims": "in-doubt" if founding.unknown_outcomes else "kept",
        }
        answer = answer_json(token=event.token, code=200, body=body)
        return RecoveryOrder(record=record, ballot=[number, "founder"], value=made, answer=answer)

    def is_out(self, *, value: RegisterValue) -> bool:
        """Does this chosen set of voters take this controller out? An older one, told late, does not."""
        voter = self._voter
        return (
            voter.write_ahead.copied
            and voter.identity not in read_voters(value=value).members
            and value["number"] >= voter.voted_voters()["number"]
        )

    def send_page(self, *, sender: str, body: Message) -> list[Command]:
        """A page of all this voter has voted for, to one that copies under the same set."""
        voter, number = self._voter, self._voter.voters.number
        if not voter.is_copy_source or number != body["value"]["number"]:
            return []
        if body["after"] == "" or sender not in self._names:
            # nothing is voted for under the old set from here on: one order for the whole copy
            copiers = {*voter.voters.members.values()}
            self._names = {post: names for post, names in self._names.items() if post in copiers}
            self._names[sender] = sorted(voter.acceptor.slots)
        page = copy_page(slots=voter.acceptor.slots, names=self._names[sender], after=body["after"], number=number)
        if not page["next"]:
            del self._names[sender]
        return voter.write_ahead.step(records=[], replies=[SendMessage(to=sender, body=page)])

    def take_page(self, *, now: float, event: tuple) -> list[Command]:
        """Fold a page; with the last one this controller may act."""
        voter = self._voter
        if "voters" not in voter.learner.values:
            return []
        if voter.is_complete:
            return self._step_recovery(now=now, event=event) if voter.is_opening else []
        return self._step_copy(now=now, event=event)

    def _step_copy(self, *, now: float, event: tuple | None) -> list[Command]:
        """Ask for pages, or fold one; the votes of this voter count as well if others may copy from it."""
        voter = self._voter
        own = voter.acceptor.slots if voter.is_copy_source else None
        commands = self.copying.step(now=now, voters=voter.learned_voters(), event=event)
        if not self.copying.is_over(own=own):
            return commands
        slots = self.copying.slots(now=now, own=own)
        if own is None:
            commands += voter.forget()
        voter.write_ahead.copied, voter.write_ahead.under = True, self.copying.number
        voter.write_ahead.opened = read_founding(value=voter.learned_voters().value).number
        log = LogEvent(event="copied", fields={"slots": len(slots), "under": self.copying.number})
        commands += [
            log,
            *voter.write_ahead.step(
                records=[*voter.put(slots=slots), voter.write_ahead.copied_record(), *self._opened()], replies=[]
            ),
        ]
        return commands + (self._announce() if self._options.bootstrap else [])

    def _announce(self) -> list[Command]:
        """Tell the other voters at once that this one acts: gossip would take its rounds."""
        peer_table = self._peer_table
        peer_table.is_fit, peer_table.heartbeat = True, peer_table.heartbeat + 1
        body = {"kind": "gossip", "entries": [peer_table.own_entry()], "reply": True}
        return [
            SendMessage(to=post, body=body)
            for post in sorted({*self._voter.voters.members.values()} - {peer_table.location.post})
        ]

    def _opened(self) -> list[Record]:
        opened = self._voter.write_ahead.opened
        return [{"k": "opened", "n": opened}] if opened else []

    def _step_recovery(self, *, now: float, event: tuple | None) -> list[Command]:
        voter = self._voter
        commands = self.recovery.step(now=now, voters=voter.learned_voters(), event=event)
        if not self.recovery.is_over(now=now):
            return commands
        told = list(self.recovery.copying.copied.values())
        slots = merge_survivors(slots=voter.acceptor.slots, told=told, now=now)
        for name, learned in voter.learner.values.items():
            # what proxies and other controllers were told, if no survivor's vote is as new
            slot = slots.get(name)
            if is_control_register(name=name) and (
                slot is None or slot.value is None or slot.value["number"] < learned.value["number"]
            ):
                ballot = max(learned.ballot, slot.promised) if slot else learned.ballot
                slots[name] = Slot(promised=ballot, ballot=ballot, value=learned.value, updated_at=now)
        voter.write_ahead.opened = read_founding(value=voter.learned_voters().value).number
        log = LogEvent(
            event="recovery-completed",
            fields={
                "number": voter.write_ahead.opened,
                "slots": len(slots),
                "claims": "in-doubt" if self.has_unknown_outcomes(now=now) else "kept",
            },
        )
        return [*commands, log, *voter.write_ahead.step(records=[*voter.put(slots=slots), *self._opened()], replies=[])]

    def _repair(self, *, now: float, others: list[dict]) -> StepResult:
        voter = self._voter
        text = self.repair.step(
            now=now,
            own=voter.identity,
            voters=voter.voters,
            text=voter.learned_voters().value["text"],
            controllers=[*others, self._peer_table.own_entry()],
        )
        if not text:
            return StepResult([], [])
        self._ops += 1
        begin = StartOperation(
            op=f"{self._op_prefix}/repair{self._ops}",
            register="voters",
            expected=voter.voters.number,
            text=text,
        )
        return StepResult([LogEvent(event="voters-change", fields={"from": voter.voters.number, "to": text})], [begin])

    def _catch_up(self, *, now: float) -> list[Command]:
        """Copy what the voters hold, or open a founding anew."""
        voter = self._voter
        if not voter.is_member or "voters" not in voter.learner.values:
            return []
        if not voter.is_complete:
            return self._step_copy(now=now, event=None)
        return self._step_recovery(now=now, event=None) if voter.is_opening else []

    def _request_updates(self, *, now: float, others: list[dict]) -> list[Command]:
        voter = self._voter
        is_copying = voter.is_member and "voters" in voter.learner.values and not voter.is_complete
        if is_copying or now - self._requested_at < self._request_backoff():
            return []
        self._requested_at = now
        body = {
            "kind": "ask",
            "seq": 0,
            "have": voter.learner.known_versions(),
            "report": {},
            "daemon": self._peer_table.own_entry(),
        }
        return [SendMessage(to=other["post"], body=body) for other in others]

    def _request_backoff(self) -> float:
        is_waiting = self._voter.voters.number and not self._voter.is_member
        return (
            constants.WAITING_CONTROLLER_POLL_INTERVAL
            if self._options.bootstrap and is_waiting
            else self._options.repair_every
        )

    def _report_core(self, *, now: float, others: list[dict]) -> list[Command]:
        """Say so when too much is lost for any change, and when it is back."""
        members = self._voter.voters.members
        core = count_core(members=members, controllers=[*others, self._peer_table.own_entry()])
        short = bool(members) and core["voting"] < core["needed"]
        if not short:
            self._short_since = now
        was_reported, self._short_reported = (
            self._short_reported,
            short and now - self._short_since > constants.HEARTBEAT_TIMEOUT,
        )
        if was_reported == self._short_reported:
            return []
        return [
            LogEvent(
                event="quorum-lost" if not was_reported else "quorum-restored",
                fields={
                    "voting": core["voting"],
                    "needed": core["needed"],
                    "missing": ",".join(core["missing"]) or "none",
                },
            )
        ]


def _read_field(*, event: RequestReceived, name: str) -> Any:
    """One field of the JSON object that an operator sent; None if there is no such object, or no such field in it."""
    given = read_config(text=event.body or b"")
    return None if isinstance(given, InvalidConfig) else given.get(name)


def _refuse(*, event: RequestReceived, code: int, reason: str, detail: str) -> Respond:
    return answer_json(token=event.token, code=code, body={"outcome": "refused", "error": reason, "detail": detail})
