"""Copy sources: a voter that never finished its own copy must not count as a source.

Two of three voters chose a change. The third was replaced by a newcomer, which was itself replaced before its copy was
complete. If it were a source for the next newcomer, its pages and those of one survivor would count as a majority of
the previous set, although only one of the two ever held votes: a chosen value could be missed.
"""

from __future__ import annotations

import json

import pytest

from sailward.consensus.acceptor import KNOWN_VOTERS_RECORD
from sailward.control.group.repair import change_members
from sailward.control.group.voter import Voter
from sailward.discovery.peer_table import Location

NEWCOMER, NEXT = "new#1", "next#1"
POSTS = {"a#1": "10.0.0.1:1", "b#1": "10.0.0.2:1", "c#1": "10.0.0.3:1"}


def change(*, text: str, number: int, add: str, drop: str) -> str:
    return change_members(text=text, number=number, add=(add, f"10.0.1.{number}:1"), drop=drop)


def make_voter(*, copied_under: int | None) -> Voter:
    """The newcomer of set 2, replaced in set 3; it completed its copy under set `copied_under`, or never."""
    second = change(text=json.dumps({"members": POSTS, "joined": {}}), number=1, add=NEWCOMER, drop="c#1")
    third = change(text=second, number=2, add=NEXT, drop=NEWCOMER)
    value = {"number": 3, "mark": "m3", "trail": [], "text": third}
    records = [
        {"k": "identity", "id": NEWCOMER},
        {"k": "promise", "r": KNOWN_VOTERS_RECORD, "b": [3, "a#1"], "v": value},
    ]
    if copied_under is not None:
        records.append({"k": "copied", "n": copied_under})
    location = Location(name="new", kind="controller", zone="z", region="r", post="10.0.1.1:1", http="")
    return Voter(location=location, nonce="n", records=records, now=0.0, bootstrap=None)


@pytest.mark.parametrize(
    ("copied_under", "is_copy_source"), [(None, False), (0, False), (1, False), (2, True), (3, True)]
)
def test_only_a_voter_that_finished_its_copy_under_the_set_before_is_a_source(
    copied_under: int | None, is_copy_source: bool
) -> None:
    voter = make_voter(copied_under=copied_under)
    assert voter.voters.number == 3
    assert NEWCOMER in voter.voters.before.members
    assert voter.is_copy_source is is_copy_source
