"""The named bounds of the searches."""

from __future__ import annotations

from simulation.model.histories import FIVE, THREE
from simulation.model.space import Bounds, Change

FOUR = ("a", "b", "c", "d")
CASES: dict[str, Bounds] = {
    # small cases, each searched completely within a second of processor time
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
    # two operators write concurrently while a third reads; messages are late, lost or duplicated
    "race": Bounds(members=THREE, puts=("a", "b"), reads=("c",), retries=1),
    "race-late": Bounds(members=THREE, puts=("a", "b"), reads=("c",), retries=1, returns=1),
    "race-doubled": Bounds(members=THREE, puts=("a", "b"), reads=("c",), duplicates=1),
    # a voter crashes at any moment, also before its disk has synced
    "crash": Bounds(members=THREE, puts=("a",), reads=("c",), crashes=("b",), retries=1),
    "crash-two": Bounds(members=THREE, puts=("a", "c"), reads=("c",), crashes=("a", "b"), retries=1),
    # one voter is replaced, and values confirmed before or during the change are read
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
    # a voter loses its disk and restarts empty at the same address
    "wipe": Bounds(
        members=THREE, puts=("b",), reads=("b",), changes=(Change(at="a", drop="c", add="c"),), wipes=("c",), retries=1
    ),
    # two voters propose different sets of voters
    "two-changes": Bounds(
        members=THREE,
        spares=("d", "e"),
        reads=("a",),
        changes=(Change(at="a", drop="c", add="d"), Change(at="b", drop="c", add="e")),
        retries=1,
    ),
    # a voter is removed and added again
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
"""The cases by name."""
