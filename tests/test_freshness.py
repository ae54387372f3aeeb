"""Read leases of controllers that grant keys: no newer value can have been chosen while one lasts."""

from __future__ import annotations

import itertools

import pytest

from sailward import constants
from sailward.consensus.acceptor import Slots, apply_record, newest_vote
from sailward.consensus.learner import Learner
from sailward.control.shards.freshness import Freshness
from sailward.events import SendMessage

REGISTER = "slots/red"
MEMBERS = {f"v{at}": f"post{at}" for at in range(3)}


def make_value(number: int) -> dict:
    return {"number": number, "mark": f"m{number}", "trail": [], "text": str(number)}


def make_slots(number: int) -> Slots:
    slots = Slots()
    if number:
        apply_record(
            slots=slots, record={"k": "vote", "r": REGISTER, "b": [number, "x"], "v": make_value(number)}, now=0.0
        )
    return slots


def make_learner(number: int) -> Learner:
    learner = Learner()
    learner.step(name=REGISTER, ballot=[number, "x"], value=make_value(number))
    return learner


def ask(fresh: Freshness, *, now: float, members: dict = MEMBERS) -> list[SendMessage]:
    return fresh.step(now=now, body=None, members=members, number=1, own_identity="v0", registers=[REGISTER])


def deliver(fresh: Freshness, *, now: float, voter: str, seq: int, number: int) -> None:
    newest = {REGISTER: newest_vote(slots=make_slots(number), name=REGISTER)}
    fresh.step(
        now=now,
        body={"seq": seq, "identity": voter, "newest": newest},
        members=MEMBERS,
        number=1,
        own_identity="v0",
        registers=[],
    )


def lease_until(fresh: Freshness, *, now: float, learned: int = 3, own: int = 3, members: dict = MEMBERS) -> float:
    return fresh.lease_until(
        now=now,
        register=REGISTER,
        learner=make_learner(learned),
        members=members,
        own_identity="v0",
        slots=make_slots(own),
    )


def test_all_other_voters_are_asked_at_each_interval() -> None:
    fresh = Freshness()
    first = ask(fresh, now=10.0)
    assert sorted(message.to for message in first) == ["post1", "post2"] and not ask(
        fresh, now=10.0 + constants.GRANT_CONFIRMATION_INTERVAL / 2
    )
    second = ask(fresh, now=10.0 + constants.GRANT_CONFIRMATION_INTERVAL)
    assert {message.body["seq"] for message in first} != {message.body["seq"] for message in second}


def test_without_registers_or_voters_there_is_no_lease() -> None:
    fresh = Freshness()
    assert fresh.step(now=1.0, body=None, members=MEMBERS, number=1, own_identity="v0", registers=[]) == []
    assert lease_until(fresh, now=1.0, members={}) < 0 and lease_until(fresh, now=1.0) < 1.0


def test_lease_runs_from_the_request_not_from_the_answer() -> None:
    fresh = Freshness()
    [seq] = {message.body["seq"] for message in ask(fresh, now=10.0)}
    deliver(fresh, now=10.6, voter="v1", seq=seq, number=3)
    assert lease_until(fresh, now=10.6) == pytest.approx(10.0 + constants.GRANT_CONFIRMATION_TTL)


def test_a_voter_that_voted_for_something_newer_confirms_nothing() -> None:
    fresh = Freshness()
    [seq] = {message.body["seq"] for message in ask(fresh, now=10.0)}
    deliver(fresh, now=10.1, voter="v1", seq=seq, number=4)
    assert lease_until(fresh, now=10.1) < 10.0
    deliver(fresh, now=10.1, voter="v2", seq=seq, number=3)
    assert lease_until(fresh, now=10.1) > 10.0


def test_own_newer_vote_prevents_the_lease() -> None:
    fresh = Freshness()
    [seq] = {message.body["seq"] for message in ask(fresh, now=10.0)}
    deliver(fresh, now=10.1, voter="v1", seq=seq, number=3)
    assert lease_until(fresh, now=10.1, own=4) < 10.0


def test_answers_to_unknown_or_expired_requests_are_ignored() -> None:
    fresh = Freshness()
    [seq] = {message.body["seq"] for message in ask(fresh, now=10.0)}
    deliver(fresh, now=10.1, voter="v1", seq=seq + 7, number=3)
    assert lease_until(fresh, now=10.1) < 10.0
    for at in range(1, 9):
        ask(fresh, now=10.0 + at)
    deliver(fresh, now=19.0, voter="v1", seq=seq, number=3)
    assert lease_until(fresh, now=19.0) < 19.0


def test_an_older_answer_does_not_replace_a_newer() -> None:
    fresh = Freshness()
    [old] = {message.body["seq"] for message in ask(fresh, now=10.0)}
    [new] = {message.body["seq"] for message in ask(fresh, now=10.5)}
    deliver(fresh, now=10.6, voter="v1", seq=new, number=4)
    deliver(fresh, now=10.7, voter="v1", seq=old, number=3)
    assert lease_until(fresh, now=10.7) < 10.0


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_while_a_lease_lasts_no_majority_can_have_voted_for_anything_newer(size: int) -> None:
    """Over all combinations of older and newer votes.

    A read lease on the older value and a majority for the newer one exclude each other.
    """
    members = {f"v{at}": f"post{at}" for at in range(size)}
    for votes in itertools.product((3, 4), repeat=size):
        fresh = Freshness()
        seqs = {message.body["seq"] for message in ask(fresh, now=10.0, members=members)}
        for voter, number in zip(members, votes, strict=True):
            if voter != "v0":
                for seq in seqs:
                    deliver(fresh, now=10.1, voter=voter, seq=seq, number=number)
        has_lease = lease_until(fresh, now=10.1, own=votes[0], members=members) > 10.1
        newer_chosen = 2 * sum(number == 4 for number in votes) > size
        assert not (has_lease and newer_chosen), votes
        if all(number == 3 for number in votes):
            assert has_lease
