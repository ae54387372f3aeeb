"""Founding the core anew from its survivors, on an operator's order, when its majority is lost for good."""

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
class Founding:
    """What a voters register says of the last founding anew."""

    number: int
    survivors: tuple
    unknown_outcomes: bool
    base: dict


@dataclass(frozen=True, kw_only=True)
class NotFounded:
    """Why the order is refused; nothing is changed."""

    code: int
    reason: str
    detail: str


def read_founding(*, value: RegisterValue) -> Founding:
    """The last founding anew in a register's value: number 0 if there was none."""
    decoded = json.loads(value["text"]).get("anew") if value["text"] else None
    if not decoded:
        return Founding(number=0, survivors=(), unknown_outcomes=False, base={})
    return Founding(
        number=decoded["number"],
        survivors=tuple(decoded["survivors"]),
        unknown_outcomes=decoded["doubt"],
        base=decoded["base"],
    )


def make_founding(
    *, own: str, names: list[str], is_confirmed: bool, value: RegisterValue, opened: int, controllers: dict
) -> RegisterValue | NotFounded:
    """The value of the voters register with the named survivors as its only members.

    `value` is the newest vote known, `opened` the last founding that acts here, `controllers` those heard of now.
    """
    members = json.loads(value["text"])["members"] if value["text"] else {}
    by_name = {identity.split("#")[0]: identity for identity in members}
    survivors = sorted({by_name.get(name, name) for name in names})
    fault = _refuse_survivors(own=own, members=members, survivors=survivors)
    fault = fault or _refuse_by_peers(members=members, survivors=survivors, controllers=controllers)
    if fault is not None:
        return fault
    if not is_confirmed:
        lost = sorted(set(members) - set(survivors))
        detail = f"confirm that these are gone for good and stay switched off: {lost}"
        return NotFounded(code=409, reason="not-confirmed", detail=detail)
    last = read_founding(value=value)
    if last.number > opened and list(last.survivors) == survivors:
        return value
    # the set whose choices the survivors hold: the last one that acted
    base = last.base if last.number > opened else members
    number = _next_founding_number(value=value, survivors=survivors)
    unknown_outcomes = len(set(survivors) & set(base)) < blocking_size(members=base)
    text = {
        "members": {name: members[name] for name in survivors},
        "size": json.loads(value["text"]).get("size", len(members)),
        "anew": {"number": number, "survivors": survivors, "doubt": unknown_outcomes, "base": base},
    }
    return {"number": number, "mark": f"anew-{number}", "trail": [], "text": json.dumps(text, sort_keys=True)}


def _refuse_survivors(*, own: str, members: dict[str, str], survivors: list[str]) -> NotFounded | None:
    """Why these can't be the survivors, by the set of voters alone; None if they can."""
    if not members:
        detail = "this controller belongs to no core: `found` joins new ones"
        return NotFounded(code=409, reason="never-founded", detail=detail)
    if not survivors:
        detail = "name the controllers that still have their disks"
        return NotFounded(code=422, reason="no-survivor", detail=detail)
    unknown = [name for name in survivors if name not in members]
    if unknown:
        known = sorted({identity.split("#")[0] for identity in members})
        detail = f"not among the voters {known}: {unknown}"
        return NotFounded(code=404, reason="survivor-unknown", detail=detail)
    if own not in survivors:
        detail = "give this order to one of the survivors that it names"
        return NotFounded(code=409, reason="not-a-survivor", detail=detail)
    return None


def _refuse_by_peers(*, members: dict[str, str], survivors: list[str], controllers: dict) -> NotFounded | None:
    """Why these can't be the survivors, by the controllers that are heard of now; None if they can."""
    alive = {identity for identity in members if identity in controllers}
    voting = [identity for identity in alive if controllers[identity]["fit"]]
    if 2 * len(voting) > len(members):
        detail = f"{len(voting)} of {len(members)} voters act: take single ones out by `part`"
        return NotFounded(code=409, reason="core-whole", detail=detail)
    unreachable = sorted(set(survivors) - alive)
    if unreachable:
        return NotFounded(code=409, reason="survivor-unreachable", detail=f"not heard of now: {unreachable}")
    lost_alive = sorted(alive - set(survivors))
    if lost_alive:
        return NotFounded(code=409, reason="member-alive", detail=f"heard of now, so not lost: {lost_alive}")
    return None


def _next_founding_number(*, value: RegisterValue, survivors: list[str]) -> int:
    """A number so far on that no change which the old set may have made can reach the new one.

    Within the gap each set of survivors has a place of its own, so that of two foundings on two sides of a partition
    one is the newer.
    """
    digest = hashlib.blake2b(" ".join(survivors).encode(), digest_size=4).digest()
    location = int.from_bytes(digest, "big") % constants.RECOVERY_NUMBER_LOCATIONS
    step = constants.RECOVERY_NUMBER_GAP // constants.RECOVERY_NUMBER_LOCATIONS // 2
    gaps = int(value["number"]) // constants.RECOVERY_NUMBER_GAP + 1
    return gaps * constants.RECOVERY_NUMBER_GAP + location * step


@dataclass(kw_only=True)
class DisasterRecovery:
    """Owner of one survivor's part. `step` asks the others for all they voted for, or folds a page of it.

    It acts under the new set only when it has all that every survivor voted for, and when no proxy can hold a
    lease under the old set any more. Until then it votes for nothing.
    """

    copying: Copying
    number: int = 0
    since: float = -1e9

    def step(self, *, now: float, voters: LearnedValue, event: tuple | None) -> list[Command]:
        """Take a (sender, copied) or None for time going on."""
        self.note(now=now, voters=voters)
        return self.copying.step(now=now, voters=voters, event=event)

    def note(self, *, now: float, voters: LearnedValue) -> None:
        """Count the time from the first moment that a founding is held here."""
        number = read_founding(value=voters.value).number
        if number != self.number:
            self.number, self.since = number, now

    def is_over(self, *, now: float) -> bool:
        """Has every survivor told everything, and have the old leases run out?"""
        return (
            len(self.copying.done) == len(self.copying.old)
            and now - self.since >= constants.LEASE_DURATION + constants.SLOT_MOVE_MARGIN
        )

    def has_unknown_outcomes(self, *, now: float, voters: LearnedValue) -> bool:
        """May claims have been lost whose life is not over?"""
        return read_founding(value=voters.value).unknown_outcomes and now - self.since < constants.CLAIM_TTL


def merge_survivors(*, slots: dict, told: list[dict], now: float) -> dict[str, Slot]:
    """All that any survivor voted for: of each register the vote of the highest ballot.

    Under the shared first ballot survivors may hold different claims of one key, and none can tell which was
    chosen: the key stays claimed, by nobody who could call it unsent.
    """
    merged = {}
    for name in sorted({*slots, *(name for rows in told for name in rows)}):
        own = slots.get(name)
        votes = [vote for vote in (own.vote() if own else [], *(rows.get(name, []) for rows in told)) if vote]
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


def log_founding(*, value: RegisterValue) -> LogEvent:
    """What the operators read of a founding."""
    founding = read_founding(value=value)
    return LogEvent(
        event="recovery-ordered",
        fields={
            "number": founding.number,
            "survivors": ",".join(founding.survivors),
            "claims": "in-doubt" if founding.unknown_outcomes else "kept",
        },
    )
