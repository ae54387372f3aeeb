"""Read leases of controllers that grant keys: nothing newer can have been chosen while one lasts."""

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


def make_held(number: int) -> Learner:
    held = Learner()
    held.step(name=REGISTER, ballot=[number, "x"], value=make_value(number))
    return held


def ask(fresh: Freshness, *, now: float, members: dict = MEMBERS) -> list[SendMessage]:
    return fresh.step(now=now, body=None, members=members, number=1, own="v0", registers=[REGISTER])


def deliver(fresh: Freshness, *, now: float, voter: str, seq: int, number: int) -> None:
    newest = {REGISTER: newest_vote(slots=make_slots(number), name=REGISTER)}
    fresh.step(
        now=now,
        body={"seq": seq, "identity": voter, "newest": newest},
        members=MEMBERS,
        number=1,
        own="v0",
        registers=[],
    )


def until(fresh: Freshness, *, now: float, held: int = 3, own: int = 3, members: dict = MEMBERS) -> float:
    return fresh.until(
        now=now, register=REGISTER, learner=make_held(held), members=members, own="v0", slots=make_slots(own)
    )


def test_all_other_voters_are_asked_in_turn() -> None:
    fresh = Freshness()
    first = ask(fresh, now=10.0)
    assert sorted(one.to for one in first) == ["post1", "post2"] and not ask(
        fresh, now=10.0 + constants.GRANT_CONFIRMATION_INTERVAL / 2
    )
    second = ask(fresh, now=10.0 + constants.GRANT_CONFIRMATION_INTERVAL)
    assert {one.body["seq"] for one in first} != {one.body["seq"] for one in second}


def test_without_registers_or_voters_there_is_no_lease() -> None:
    fresh = Freshness()
    assert fresh.step(now=1.0, body=None, members=MEMBERS, number=1, own="v0", registers=[]) == []
    assert until(fresh, now=1.0, members={}) < 0 and until(fresh, now=1.0) < 1.0


def test_the_lease_runs_from_the_asking_not_from_the_answer() -> None:
    fresh = Freshness()
    [seq] = {one.body["seq"] for one in ask(fresh, now=10.0)}
    deliver(fresh, now=10.6, voter="v1", seq=seq, number=3)
    assert until(fresh, now=10.6) == pytest.approx(10.0 + constants.GRANT_CONFIRMATION_TTL)


def test_a_voter_that_voted_for_something_newer_confirms_nothing() -> None:
    fresh = Freshness()
    [seq] = {one.body["seq"] for one in ask(fresh, now=10.0)}
    deliver(fresh, now=10.1, voter="v1", seq=seq, number=4)
    assert until(fresh, now=10.1) < 10.0
    deliver(fresh, now=10.1, voter="v2", seq=seq, number=3)
    assert until(fresh, now=10.1) > 10.0


def test_its_own_newer_vote_counts_against_it() -> None:
    fresh = Freshness()
    [seq] = {one.body["seq"] for one in ask(fresh, now=10.0)}
    deliver(fresh, now=10.1, voter="v1", seq=seq, number=3)
    assert until(fresh, now=10.1, own=4) < 10.0


def test_answers_to_what_was_never_asked_or_is_long_past_count_nothing() -> None:
    fresh = Freshness()
    [seq] = {one.body["seq"] for one in ask(fresh, now=10.0)}
    deliver(fresh, now=10.1, voter="v1", seq=seq + 7, number=3)
    assert until(fresh, now=10.1) < 10.0
    for at in range(1, 9):
        ask(fresh, now=10.0 + at)
    deliver(fresh, now=19.0, voter="v1", seq=seq, number=3)
    assert until(fresh, now=19.0) < 19.0


def test_an_older_answer_does_not_replace_a_newer() -> None:
    fresh = Freshness()
    [old] = {one.body["seq"] for one in ask(fresh, now=10.0)}
    [new] = {one.body["seq"] for one in ask(fresh, now=10.5)}
    deliver(fresh, now=10.6, voter="v1", seq=new, number=4)
    deliver(fresh, now=10.7, voter="v1", seq=old, number=3)
    assert until(fresh, now=10.7) < 10.0


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_while_a_lease_lasts_no_majority_can_have_voted_for_anything_newer(size: int) -> None:
    """Over every way in which voters stand at an older or a newer vote.

    A lease and a majority for the newer exclude each other.
    """
    members = {f"v{at}": f"post{at}" for at in range(size)}
    for votes in itertools.product((3, 4), repeat=size):
        fresh = Freshness()
        seqs = {one.body["seq"] for one in ask(fresh, now=10.0, members=members)}
        for voter, number in zip(members, votes, strict=True):
            if voter != "v0":
                for seq in seqs:
                    deliver(fresh, now=10.1, voter=voter, seq=seq, number=number)
        has_lease = until(fresh, now=10.1, own=votes[0], members=members) > 10.1
        newer_chosen = 2 * sum(number == 4 for number in votes) > size
        assert not (has_lease and newer_chosen), votes
        if all(number == 3 for number in votes):
            assert has_lease
