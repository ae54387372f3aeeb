"""Histories that violate an invariant with a planted fault, and must not without it."""

from __future__ import annotations

from dataclasses import dataclass

from simulation.model.space import Bounds, Change

THREE = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


@dataclass(frozen=True, kw_only=True)
class History:
    """A trace within bounds. Without the `fault` no invariant is violated; some of its steps may then be impossible."""

    fault: str
    rule: str
    bounds: Bounds
    trace: tuple[str, ...]


HISTORIES: dict[str, History] = {
    "an acknowledged vote is not on the disk": History(
        fault="early-answer",
        rule="old-read",
        bounds=Bounds(members=THREE, puts=("a",), reads=("c",), crashes=("b",)),
        trace=("begin put1@a 1 a b", "vote put1@a a b!", "count put1@a", "begin read1@c 1 b c"),
    ),
    "a new member copies from a voter that lacks the value": History(
        fault="copy-from-one",
        rule="old-read",
        bounds=Bounds(
            members=THREE, spares=("d",), puts=("b",), reads=("a",), changes=(Change(at="a", drop="c", add="d"),)
        ),
        trace=(
            "begin put1@b 1 b c",
            "decide put1@b b c",
            "begin change1@a 1 a b",
            "decide change1@a a b",
            "copy d 2 a",
            "begin read1@a 2 a d",
        ),
    ),
    "a new member answers a read before it has copied": History(
        fault="counts-at-once",
        rule="old-read",
        bounds=Bounds(
            members=THREE, spares=("d",), puts=("b",), reads=("a",), changes=(Change(at="a", drop="c", add="d"),)
        ),
        trace=(
            "begin put1@b 1 b c",
            "decide put1@b b c",
            "begin change1@a 1 a b",
            "decide change1@a a b",
            "begin read1@a 2 a d",
        ),
    ),
    "a member is removed and added again without learning of it": History(
        fault="keeps-old-slots",
        rule="old-read",
        bounds=Bounds(
            members=THREE,
            spares=("d",),
            puts=("b",),
            reads=("c",),
            changes=(Change(at="a", drop="c", add="d"), Change(at="a", drop="d", add="c")),
        ),
        trace=(
            "begin change1@a 1 a b",
            "decide change1@a a b",
            "copy d 2 a b",
            "begin put1@b 2 b d",
            "decide put1@b b d",
            "begin change2@a 2 a b",
            "decide change2@a a b",
            "begin read1@c 3 a c",
        ),
    ),
    "two members are removed one after the other": History(
        fault="smaller-without-copy",
        rule="old-read",
        bounds=Bounds(
            members=THREE, puts=("c",), reads=("a",), changes=(Change(at="a", drop="c"), Change(at="a", drop="b"))
        ),
        trace=(
            "begin put1@c 1 b c",
            "decide put1@c b c",
            "begin change1@a 1 a b",
            "decide change1@a a b",
            "begin change2@a 2 a b",
            "decide change2@a a b",
            "begin read1@a 3 a",
        ),
    ),
    "two of five members are removed one after the other": History(
        fault="smaller-without-copy",
        rule="old-read",
        bounds=Bounds(
            members=FIVE,
            puts=("e",),
            reads=("a",),
            changes=(Change(at="a", drop="e"), Change(at="a", drop="d")),
        ),
        trace=(
            "begin put1@e 1 c d e",
            "decide put1@e c d e",
            "begin change1@a 1 a b c",
            "decide change1@a a b c",
            "begin change2@a 2 a b c",
            "decide change2@a a b c",
            "begin read1@a 3 a b",
        ),
    ),
    "one of four voters is replaced, and the new member lacks a claim": History(
        fault="copy-from-the-rest",
        rule="old-read",
        bounds=Bounds(
            members=("a", "b", "c", "d"),
            spares=("x",),
            puts=("d",),
            reads=("a",),
            changes=(Change(at="a", drop="d", add="x", is_repair=True),),
            uses_first_ballot=True,
            retries=1,
        ),
        trace=(
            "begin put1@d 1 b c d",
            "count put1@d",
            "begin change1@a 1 a b c",
            "decide change1@a a b c",
            "copy x 2 a b",
            "begin read1@a 2 a b x",
            "retry read1@a",
            "prepare read1@a a b x",
        ),
    ),
    "a voter continues under an outdated set of voters": History(
        fault="any-set",
        rule="old-read",
        bounds=Bounds(
            members=THREE,
            spares=("d",),
            puts=("c",),
            reads=("a",),
            changes=(Change(at="a", drop="c", add="d"),),
            delivers_outdated=True,
        ),
        trace=(
            "begin change1@a 1 a b",
            "decide change1@a a b",
            "copy d 2 a b",
            "begin put1@c 1 b c",
            "decide put1@c b c",
            "begin read1@a 2 a d",
        ),
    ),
}
