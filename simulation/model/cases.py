"""Bounds that are searched by name."""

from __future__ import annotations

from simulation.model.histories import FIVE, THREE
from simulation.model.space import Bounds, Change

FOUR = ("a", "b", "c", "d")
CASES: dict[str, Bounds] = {
    # small ones, each whole within a second of a core
    "small-crash": Bounds(members=THREE, puts=("a",), reads=("c",), crashes=("b",)),
    "small-larger": Bounds(
        members=("a", "b"), spares=("c",), puts=("b",), reads=("a",), changes=(Change(at="a", add="c"),)
    ),
    "small-smaller": Bounds(members=("a", "b"), puts=("b",), reads=("a",), changes=(Change(at="a", drop="b"),)),
    "small-changes": Bounds(
        members=THREE,
        spares=("d", "e"),
        changes=(Change(at="a", drop="c", add="d"), Change(at="b", drop="c", add="e")),
    ),
    # two operators race, and a third one reads: messages late, lost, twice
    "race": Bounds(members=THREE, puts=("a", "b"), reads=("c",), retries=1),
    "race-late": Bounds(members=THREE, puts=("a", "b"), reads=("c",), retries=1, returns=1),
    "race-doubled": Bounds(members=THREE, puts=("a", "b"), reads=("c",), duplicates=1),
    # a voter loses its memory at any moment, also before its disk has synced
    "crash": Bounds(members=THREE, puts=("a",), reads=("c",), crashes=("b",), retries=1),
    "crash-two": Bounds(members=THREE, puts=("a", "c"), reads=("c",), crashes=("a", "b"), retries=1),
    # one voter is exchanged, and what was confirmed before or meanwhile is read
    "exchange": Bounds(
        members=THREE, spares=("d",), puts=("b",), reads=("a",), changes=(Change(at="a", drop="c", add="d"),)
    ),
    "exchange-late": Bounds(
        members=THREE, spares=("d",), puts=("c",), reads=("a",), changes=(Change(at="a", drop="c", add="d"),), returns=1
    ),
    "exchange-crash": Bounds(
        members=THREE,
        spares=("d",),
        puts=("b",),
        reads=("a",),
        changes=(Change(at="a", drop="c", add="d"),),
        crashes=("b", "d"),
    ),
    # the disk of one goes, and it comes back empty at its address
    "wipe": Bounds(
        members=THREE, puts=("b",), reads=("b",), changes=(Change(at="a", drop="c", add="c"),), wipes=("c",), retries=1
    ),
    # two voters propose different sets
    "two-changes": Bounds(
        members=THREE,
        spares=("d", "e"),
        reads=("a",),
        changes=(Change(at="a", drop="c", add="d"), Change(at="b", drop="c", add="e")),
        retries=1,
    ),
    # out and in again
    "again": Bounds(
        members=THREE,
        spares=("d",),
        puts=("b",),
        reads=("c",),
        changes=(Change(at="a", drop="c", add="d"), Change(at="a", drop="d", add="c")),
    ),
    # smaller and larger sets
    "smaller": Bounds(
        members=THREE, puts=("c",), reads=("a",), changes=(Change(at="a", drop="c"), Change(at="a", drop="b"))
    ),
    "larger": Bounds(members=THREE, spares=("d",), puts=("b",), reads=("d",), changes=(Change(at="a", add="d"),)),
    "four-smaller": Bounds(members=FOUR, puts=("d",), reads=("a",), changes=(Change(at="a", drop="d"),)),
    "four-repair": Bounds(
        members=FOUR,
        spares=("x",),
        puts=("d",),
        reads=("a",),
        changes=(Change(at="a", drop="d", add="x", is_repair=True),),
        uses_first_ballot=True,
        retries=1,
    ),
    "five-smaller": Bounds(
        members=FIVE, puts=("e",), reads=("a",), changes=(Change(at="a", drop="e"), Change(at="a", drop="d"))
    ),
}
"""The cases by what they are about."""
