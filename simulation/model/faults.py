"""Faults planted into the product on purpose: the explorer, or a recorded history, must detect each."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import replace
from unittest import mock

from sailward.consensus.voter_set import VoterSet
from sailward.control.group import copying, repair, write_ahead
from sailward.control.group.voter import Voter
from simulation.model import changes


def _answers_before_sync(original: Callable) -> Callable:
    def step(self, *, records: list, replies: list) -> list:
        return [*original(self, records=records, replies=[]), *replies]

    return step


def _acts_under_any_set(original: Callable) -> Callable:
    def answer(self, *, now: float, sender: str, body: dict) -> list:
        return original(self, now=now, sender=sender, body={**body, "voters": self.voters.number})

    return answer


def _without_previous_set(original: Callable) -> Callable:
    def read(*, value: dict) -> VoterSet:
        return replace(original(value=value), before=None)

    return read


def _without_copy_for_smaller_sets(original: Callable) -> Callable:
    def change(*, text: str, number: int, add: tuple | None = None, drop: str = "") -> str:
        proposed = json.loads(original(text=text, number=number, add=add, drop=drop))
        if drop and not add:
            proposed["joined"] = {
                name: number_joined for name, number_joined in proposed["joined"].items() if number_joined <= number
            }
        return json.dumps(proposed, sort_keys=True)

    return change


def _patch(owner: object, name: str, make: Callable) -> AbstractContextManager:
    return mock.patch.object(owner, name, make(getattr(owner, name)))


FAULTS: dict[str, Callable[[], list[AbstractContextManager]]] = {
    # an acceptor answers before its disk has synced
    "early-answer": lambda: [_patch(write_ahead.WriteAhead, "step", _answers_before_sync)],
    # a new member copies from a single voter
    "copy-from-one": lambda: [mock.patch.object(copying, "majority_size", lambda *, members: 1)],
    # a new member votes before it has copied
    "counts-at-once": lambda: [mock.patch.object(Voter, "has_required_copy", property(lambda self: True))],
    # a member that was removed and added again continues with its old votes
    "keeps-old-slots": lambda: [
        mock.patch.object(Voter, "has_required_copy", property(lambda self: self.write_ahead.has_copied))
    ],
    # members of a smaller set continue without a copy
    "smaller-without-copy": lambda: [
        _patch(repair, "change_members", _without_copy_for_smaller_sets),
        _patch(changes, "change_members", _without_copy_for_smaller_sets),
    ],
    # a new member copies from a majority of the remaining members, not of the whole previous set
    "copy-from-the-rest": lambda: [_patch(copying, "read_voters", _without_previous_set)],
    # a voter votes under any set that a request names
    "any-set": lambda: [_patch(Voter, "answer", _acts_under_any_set)],
}
