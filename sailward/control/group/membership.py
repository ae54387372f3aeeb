"""A controller's membership in the voter set: founding, joining, copying, disaster recovery and removal."""

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
    RecoveryRefused,
    make_recovery_value,
    merge_survivor_votes,
    read_last_recovery,
)
from sailward.control.group.repair import Repair, count_voting_members
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
    """An accepted recovery order, already voted for here; it is announced once `record` is synced."""

    record: Record
    ballot: Ballot
    value: RegisterValue
    answer: Respond


class Membership:
    """Owner of a controller's membership. `step` runs periodically and returns (commands, operations to begin)."""

    def __init__(
        self, *, voter: Voter, peer_table: PeerTable, options: ControllerOptions, op_prefix: str, now: float
    ) -> None:
        self._voter, self._peer_table, self._options, self._op_prefix = voter, peer_table, options, op_prefix
        self.repair = Repair(
            replace_after=options.replace_after,
            check_interval_s=options.repair_interval,
            is_self_managed=options.bootstrap is not None,
        )
        self.copying = Copying(identity=voter.identity, backoff=options.copy_retry_interval)
        self.recovery = DisasterRecovery(copying=Copying(identity=voter.identity, backoff=options.copy_retry_interval))
        self.controllers: dict[str, dict] = {}
        self._requested_at = -1e9
        self._page_names: dict[str, list[str]] = {}
        self._quorum_seen_at, self._is_loss_reported = now, False
        self._repair_count = 0

    def step(self, *, now: float) -> StepResult:
        """Report a lost quorum; then copy, recover, repair, or ask the other controllers for updates."""
        peers = self._peer_table.alive(kind="controller")
        self.controllers = {peer["identity"]: peer for peer in [*peers, self._peer_table.own_entry()]}
        commands = self._report_quorum(now=now, peers=peers)
        # a controller that does not vote yet also tracks the voters, to know on joining how long each has been lost
        repair_commands, operations = self._repair(now=now, peers=peers)
        if self._voter.is_voting:
            return StepResult(commands + repair_commands, operations)
        return StepResult(commands + self._copy_or_recover(now=now) + self._request_updates(now=now, peers=peers), [])

    def has_unknown_outcomes(self, *, now: float) -> bool:
        """May a recovery have lost claims that have not expired yet?"""
        self.recovery.observe(now=now, voters=self._voter.learned_voters())
        return self.recovery.has_unknown_outcomes(now=now, voters=self._voter.learned_voters())

    def request_updates_soon(self) -> None:
        """Ask the other controllers for updates at the next step, because they know a newer voter set."""
        self._requested_at = -1e9

    def found(self, *, now: float, event: RequestReceived) -> list[Command]:
        """Found the quorum group from new controllers; the operator sends the same member list to each of them."""
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
        voter.write_ahead.has_copied = True
        voter.learner.step(name="voters", ballot=[0, "founder"], value=value)
        answer = answer_json(token=event.token, code=200, body={"outcome": "accepted", "number": 1})
        return [
            *voter.write_ahead.store_known_voters(ballot=[0, "founder"], value=value),
            *voter.write_ahead.step(records=[record, {"k": "copied"}] if slot is None else [], replies=[answer]),
        ]

    def order_recovery(self, *, now: float, event: RequestReceived) -> Respond | RecoveryOrder:
        """Judge an operator's order to continue with the named survivors only: a refusal, or the accepted order."""
        voter = self._voter
        names = _read_field(event=event, name="survivors")
        if not is_names(names):
            return _refuse(
                event=event, code=422, reason="survivors", detail="give survivors: a list of controllers' names"
            )
        newest = max((voter.learned_voters().value, voter.voted_voters()), key=lambda value: value["number"])
        recovery_value = make_recovery_value(
            own=voter.identity,
            names=names,
            is_confirmed=event.query.get("confirm") == "yes",
            value=newest,
            completed_recovery=voter.write_ahead.completed_recovery,
            controllers=self.controllers,
        )
        if isinstance(recovery_value, RecoveryRefused):
            return _refuse(
                event=event, code=recovery_value.code, reason=recovery_value.reason, detail=recovery_value.detail
            )
        if not voter.write_ahead.is_usable or not voter.write_ahead.has_copied:
            return _refuse(
                event=event,
                code=503,
                reason="not-usable",
                detail="this controller can't write, or never had the core's registers",
            )
        number = recovery_value["number"]
        record = {"k": "vote", "r": "voters", "b": [number, "founder"], "v": recovery_value}
        apply_record(slots=voter.acceptor.slots, record=record, now=now)
        recovery = read_last_recovery(value=recovery_value)
        body = {
            "outcome": "accepted",
            "number": number,
            "survivors": list(recovery.survivors),
            "claims": "in-doubt" if recovery.has_unknown_outcomes else "kept",
        }
        answer = answer_json(token=event.token, code=200, body=body)
        return RecoveryOrder(record=record, ballot=[number, "founder"], value=recovery_value, answer=answer)

    def is_removed_by(self, *, value: RegisterValue) -> bool:
        """Does this chosen voter set remove this controller? A delayed message with an older set does not."""
        voter = self._voter
        return (
            voter.write_ahead.has_copied
            and voter.identity not in read_voters(value=value).members
            and value["number"] >= voter.voted_voters()["number"]
        )

    def send_page(self, *, sender: str, body: Message) -> list[Command]:
        """Send a page of this voter's votes to a controller that copies under the same voter set."""
        voter, number = self._voter, self._voter.voters.number
        if not voter.is_copy_source or number != body["value"]["number"]:
            return []
        if body["after"] == "" or sender not in self._page_names:
            # no more votes are cast under the old set from here on, so one sorted list of names serves the whole copy
            copiers = {*voter.voters.members.values()}
            self._page_names = {post: names for post, names in self._page_names.items() if post in copiers}
            self._page_names[sender] = sorted(voter.acceptor.slots)
        page = copy_page(slots=voter.acceptor.slots, names=self._page_names[sender], after=body["after"], number=number)
        if not page["next"]:
            del self._page_names[sender]
        return voter.write_ahead.step(records=[], replies=[SendMessage(to=sender, body=page)])

    def on_page(self, *, now: float, event: tuple) -> list[Command]:
        """Merge a received page; after the last one this controller may vote."""
        voter = self._voter
        if "voters" not in voter.learner.values:
            return []
        if voter.has_required_copy:
            return self._step_recovery(now=now, event=event) if voter.is_recovering else []
        return self._step_copy(now=now, event=event)

    def _step_copy(self, *, now: float, event: tuple | None) -> list[Command]:
        """Request pages, or merge one; this voter's own votes count as well if peers may copy from it."""
        voter = self._voter
        own = voter.acceptor.slots if voter.is_copy_source else None
        commands = self.copying.step(now=now, voters=voter.learned_voters(), event=event)
        if not self.copying.is_over(own=own):
            return commands
        slots = self.copying.merge_votes(now=now, own=own)
        if own is None:
            commands += voter.discard_votes()
        voter.write_ahead.has_copied, voter.write_ahead.copied_under = True, self.copying.number
        voter.write_ahead.completed_recovery = read_last_recovery(value=voter.learned_voters().value).number
        log = LogEvent(event="copied", fields={"slots": len(slots), "under": self.copying.number})
        commands += [
            log,
            *voter.write_ahead.step(
                records=[*voter.store_slots(slots=slots), voter.write_ahead.copied_record(), *self._recovery_records()],
                replies=[],
            ),
        ]
        return commands + (self._announce_voting() if self._options.bootstrap else [])

    def _announce_voting(self) -> list[Command]:
        """Tell the other voters at once that this one votes; gossip would take several rounds."""
        peer_table = self._peer_table
        peer_table.is_fit, peer_table.heartbeat = True, peer_table.heartbeat + 1
        body = {"kind": "gossip", "entries": [peer_table.own_entry()], "reply": True}
        return [
            SendMessage(to=post, body=body)
            for post in sorted({*self._voter.voters.members.values()} - {peer_table.location.post})
        ]

    def _recovery_records(self) -> list[Record]:
        number = self._voter.write_ahead.completed_recovery
        return [{"k": "opened", "n": number}] if number else []

    def _step_recovery(self, *, now: float, event: tuple | None) -> list[Command]:
        voter = self._voter
        commands = self.recovery.step(now=now, voters=voter.learned_voters(), event=event)
        if not self.recovery.is_over(now=now):
            return commands
        survivor_votes = list(self.recovery.copying.copied_votes.values())
        slots = merge_survivor_votes(slots=voter.acceptor.slots, survivor_votes=survivor_votes, now=now)
        for name, learned in voter.learner.values.items():
            # keep a chosen value that proxies and other controllers already have if every survivor's vote is older
            slot = slots.get(name)
            if is_control_register(name=name) and (
                slot is None or slot.value is None or slot.value["number"] < learned.value["number"]
            ):
                ballot = max(learned.ballot, slot.promised) if slot else learned.ballot
                slots[name] = Slot(promised=ballot, ballot=ballot, value=learned.value, updated_at=now)
        voter.write_ahead.completed_recovery = read_last_recovery(value=voter.learned_voters().value).number
        log = LogEvent(
            event="recovery-completed",
            fields={
                "number": voter.write_ahead.completed_recovery,
                "slots": len(slots),
                "claims": "in-doubt" if self.has_unknown_outcomes(now=now) else "kept",
            },
        )
        return [
            *commands,
            log,
            *voter.write_ahead.step(records=[*voter.store_slots(slots=slots), *self._recovery_records()], replies=[]),
        ]

    def _repair(self, *, now: float, peers: list[dict]) -> StepResult:
        voter = self._voter
        text = self.repair.step(
            now=now,
            own=voter.identity,
            voters=voter.voters,
            text=voter.learned_voters().value["text"],
            controllers=[*peers, self._peer_table.own_entry()],
        )
        if not text:
            return StepResult([], [])
        self._repair_count += 1
        begin = StartOperation(
            op=f"{self._op_prefix}/repair{self._repair_count}",
            register="voters",
            expected=voter.voters.number,
            text=text,
        )
        return StepResult([LogEvent(event="voters-change", fields={"from": voter.voters.number, "to": text})], [begin])

    def _copy_or_recover(self, *, now: float) -> list[Command]:
        """Copy the registers from the voters, or complete a disaster recovery."""
        voter = self._voter
        if not voter.is_member or "voters" not in voter.learner.values:
            return []
        if not voter.has_required_copy:
            return self._step_copy(now=now, event=None)
        return self._step_recovery(now=now, event=None) if voter.is_recovering else []

    def _request_updates(self, *, now: float, peers: list[dict]) -> list[Command]:
        voter = self._voter
        is_copying = voter.is_member and "voters" in voter.learner.values and not voter.has_required_copy
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
        return [SendMessage(to=peer["post"], body=body) for peer in peers]

    def _request_backoff(self) -> float:
        is_waiting = self._voter.voters.number and not self._voter.is_member
        return (
            constants.WAITING_CONTROLLER_POLL_INTERVAL
            if self._options.bootstrap and is_waiting
            else self._options.repair_interval
        )

    def _report_quorum(self, *, now: float, peers: list[dict]) -> list[Command]:
        """Log when too few voters are left for any change, and when the quorum is restored."""
        members = self._voter.voters.members
        voting_counts = count_voting_members(members=members, controllers=[*peers, self._peer_table.own_entry()])
        is_quorum_lost = bool(members) and voting_counts["voting"] < voting_counts["needed"]
        if not is_quorum_lost:
            self._quorum_seen_at = now
        was_reported, self._is_loss_reported = (
            self._is_loss_reported,
            is_quorum_lost and now - self._quorum_seen_at > constants.HEARTBEAT_TIMEOUT,
        )
        if was_reported == self._is_loss_reported:
            return []
        return [
            LogEvent(
                event="quorum-lost" if not was_reported else "quorum-restored",
                fields={
                    "voting": voting_counts["voting"],
                    "needed": voting_counts["needed"],
                    "missing": ",".join(voting_counts["missing"]) or "none",
                },
            )
        ]


def _read_field(*, event: RequestReceived, name: str) -> Any:
    """One field of the JSON object in an operator's request; None if the body is no JSON object or lacks the field."""
    decoded = read_config(text=event.body or b"")
    return None if isinstance(decoded, InvalidConfig) else decoded.get(name)


def _refuse(*, event: RequestReceived, code: int, reason: str, detail: str) -> Respond:
    return answer_json(token=event.token, code=code, body={"outcome": "refused", "error": reason, "detail": detail})
