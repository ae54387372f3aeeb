"""Disaster recovery: an operator re-forms the quorum group from the survivors of a permanent loss of the majority."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from sailward import constants
from sailward.consensus.acceptor import CLAIM_PREFIX, FIRST_BALLOT, Slot
from sailward.consensus.learner import LearnedValue
from sailward.consensus.proposer import blocking_size
from sailward.control.group.copying import Copying
from sailward.events import Command, LogEvent
from sailward.wire_types import RegisterValue


@dataclass(frozen=True, kw_only=True)
class RecordedRecovery:
    """The last disaster recovery that a value of the voters register records."""

    number: int
    survivors: tuple
    has_unknown_outcomes: bool
    base_members: dict


@dataclass(frozen=True, kw_only=True)
class RecoveryRefused:
    """Why a recovery order is refused; nothing is changed."""

    code: int
    reason: str
    detail: str


def read_last_recovery(*, value: RegisterValue) -> RecordedRecovery:
    """The last recovery recorded in a value of the voters register; its number is 0 if there was none."""
    decoded = json.loads(value["text"]).get("anew") if value["text"] else None
    if not decoded:
        return RecordedRecovery(number=0, survivors=(), has_unknown_outcomes=False, base_members={})
    return RecordedRecovery(
        number=decoded["number"],
        survivors=tuple(decoded["survivors"]),
        has_unknown_outcomes=decoded["doubt"],
        base_members=decoded["base"],
    )


def make_recovery_value(
    *, own: str, names: list[str], is_confirmed: bool, value: RegisterValue, completed_recovery: int, controllers: dict
) -> RegisterValue | RecoveryRefused:
    """The value of the voters register with the named survivors as its only members.

    `value` is the newest vote known, `completed_recovery` the number of the last recovery completed here, `controllers`
    the controllers that are alive according to the peer table.
    """
    members = json.loads(value["text"])["members"] if value["text"] else {}
    identity_by_name = {identity.split("#")[0]: identity for identity in members}
    survivors = sorted({identity_by_name.get(name, name) for name in names})
    refusal = _refuse_survivors(own=own, members=members, survivors=survivors)
    refusal = refusal or _refuse_by_peers(members=members, survivors=survivors, controllers=controllers)
    if refusal is not None:
        return refusal
    if not is_confirmed:
        lost = sorted(set(members) - set(survivors))
        detail = f"confirm that these are gone for good and stay switched off: {lost}"
        return RecoveryRefused(code=409, reason="not-confirmed", detail=detail)
    last_recovery = read_last_recovery(value=value)
    if last_recovery.number > completed_recovery and list(last_recovery.survivors) == survivors:
        return value
    # the voter set whose chosen values the survivors hold: the last one under which voters acted
    base = last_recovery.base_members if last_recovery.number > completed_recovery else members
    number = _next_recovery_number(value=value, survivors=survivors)
    unknown_outcomes = len(set(survivors) & set(base)) < blocking_size(members=base)
    text = {
        "members": {name: members[name] for name in survivors},
        "size": json.loads(value["text"]).get("size", len(members)),
        "anew": {"number": number, "survivors": survivors, "doubt": unknown_outcomes, "base": base},
    }
    return {"number": number, "mark": f"anew-{number}", "trail": [], "text": json.dumps(text, sort_keys=True)}


def _refuse_survivors(*, own: str, members: dict[str, str], survivors: list[str]) -> RecoveryRefused | None:
    """Why these can't be the survivors, judged by the voter set alone; None if they can."""
    if not members:
        detail = "this controller belongs to no core: `found` joins new ones"
        return RecoveryRefused(code=409, reason="never-founded", detail=detail)
    if not survivors:
        detail = "name the controllers that still have their disks"
        return RecoveryRefused(code=422, reason="no-survivor", detail=detail)
    unknown = [name for name in survivors if name not in members]
    if unknown:
        known = sorted({identity.split("#")[0] for identity in members})
        detail = f"not among the voters {known}: {unknown}"
        return RecoveryRefused(code=404, reason="survivor-unknown", detail=detail)
    if own not in survivors:
        detail = "give this order to one of the survivors that it names"
        return RecoveryRefused(code=409, reason="not-a-survivor", detail=detail)
    return None


def _refuse_by_peers(*, members: dict[str, str], survivors: list[str], controllers: dict) -> RecoveryRefused | None:
    """Why these can't be the survivors, judged by the controllers that are alive now; None if they can."""
    alive = {identity for identity in members if identity in controllers}
    voting = [identity for identity in alive if controllers[identity]["fit"]]
    if 2 * len(voting) > len(members):
        detail = f"{len(voting)} of {len(members)} voters act: take single ones out by `part`"
        return RecoveryRefused(code=409, reason="core-whole", detail=detail)
    unreachable = sorted(set(survivors) - alive)
    if unreachable:
        return RecoveryRefused(code=409, reason="survivor-unreachable", detail=f"not heard of now: {unreachable}")
    lost_alive = sorted(alive - set(survivors))
    if lost_alive:
        return RecoveryRefused(code=409, reason="member-alive", detail=f"heard of now, so not lost: {lost_alive}")
    return None


def _next_recovery_number(*, value: RegisterValue, survivors: list[str]) -> int:
    """A number far enough ahead that no change made under the old voter set can reach it.

    Within the gap each set of survivors has its own offset, so that of two recoveries ordered on the two sides of a
    partition one has the higher number.
    """
    digest = hashlib.blake2b(" ".join(survivors).encode(), digest_size=4).digest()
    location = int.from_bytes(digest, "big") % constants.RECOVERY_NUMBER_LOCATIONS
    step = constants.RECOVERY_NUMBER_GAP // constants.RECOVERY_NUMBER_LOCATIONS // 2
    next_gap = int(value["number"]) // constants.RECOVERY_NUMBER_GAP + 1
    return next_gap * constants.RECOVERY_NUMBER_GAP + location * step


@dataclass(kw_only=True)
class DisasterRecovery:
    """Owner of one survivor's part in a recovery. `step` requests the other survivors' votes, or merges a page of them.

    A survivor acts under the new set only once it has every vote of every survivor and no proxy can still hold a
    lease granted under the old set. Until then it casts no vote.
    """

    copying: Copying
    number: int = 0
    known_since: float = -1e9

    def step(self, *, now: float, voters: LearnedValue, event: tuple | None) -> list[Command]:
        """Take a (sender, `copied` message), or None for a timer tick."""
        self.observe(now=now, voters=voters)
        return self.copying.step(now=now, voters=voters, event=event)

    def observe(self, *, now: float, voters: LearnedValue) -> None:
        """Start the clock when a recovery is first known here."""
        number = read_last_recovery(value=voters.value).number
        if number != self.number:
            self.number, self.known_since = number, now

    def is_over(self, *, now: float) -> bool:
        """Have all survivors sent all of their votes, and have the leases granted under the old set expired?"""
        return (
            len(self.copying.completed_sources) == len(self.copying.previous_members)
            and now - self.known_since >= constants.LEASE_DURATION + constants.SLOT_MOVE_MARGIN
        )

    def has_unknown_outcomes(self, *, now: float, voters: LearnedValue) -> bool:
        """May this recovery have lost claims that have not expired yet?"""
        return (
            read_last_recovery(value=voters.value).has_unknown_outcomes and now - self.known_since < constants.CLAIM_TTL
        )


def merge_survivor_votes(*, slots: dict, survivor_votes: list[dict], now: float) -> dict[str, Slot]:
    """All survivors' votes merged: for each register the vote with the highest ballot.

    Under the shared first ballot survivors may hold different claims of one key, and no survivor can tell which was
    chosen. The key then stays claimed with no owner, so that nobody can declare its request unsent.
    """
    merged = {}
    for name in sorted({*slots, *(name for rows in survivor_votes for name in rows)}):
        own = slots.get(name)
        votes = [vote for vote in (own.vote() if own else [], *(rows.get(name, []) for rows in survivor_votes)) if vote]
        if not votes:
            continue
        ballot = max(vote[0] for vote in votes)
        values = [vote[1] for vote in votes if vote[0] == ballot]
        value = values[0]
        if (
            name.startswith(CLAIM_PREFIX)
            and ballot == FIRST_BALLOT
            and len({candidate["mark"] for candidate in values}) > 1
        ):
            claim = json.loads(value["text"])
            value = {**value, "mark": "anew", "text": json.dumps({**claim, "o": "", "i": ""})}
        promised = max(ballot, own.promised) if own else ballot
        merged[name] = Slot(promised=promised, ballot=ballot, value=value, updated_at=own.updated_at if own else now)
    return merged


def log_recovery_order(*, value: RegisterValue) -> LogEvent:
    """The log event that tells operators of an ordered recovery."""
    recovery = read_last_recovery(value=value)
    return LogEvent(
        event="recovery-ordered",
        fields={
            "number": recovery.number,
            "survivors": ",".join(recovery.survivors),
            "claims": "in-doubt" if recovery.has_unknown_outcomes else "kept",
        },
    )
