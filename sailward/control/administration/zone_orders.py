"""The register of the orders on zones: which are emptied, and how many orders of each kind were taken for each.

An order on a zone bears no number and no body, so two orders alike can't be told apart by what they say. The counts
tell an order that competes with others whether one of its own kind was taken since it first looked: then that one
stands for it, and it is not put in force once more, perhaps on top of the opposite that followed. Every order is a
change of the register, also one that finds its zone as it wants it: else an opposite order that was left half accepted
could still be finished after it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

KINDS = ("empty", "refill")


@dataclass(frozen=True, kw_only=True)
class ZoneOrders:
    """What the register holds. `taken`: {zone: [orders to empty it, orders to take it back]}."""

    emptied: frozenset[str] = frozenset()
    taken: dict[str, list[int]] = field(default_factory=dict)

    def count(self, *, kind: str, zone: str) -> int:
        """How many orders of this kind were taken for a zone."""
        counts: list[int] = self.taken.get(zone, [0, 0])
        return counts[KINDS.index(kind)]

    def with_order(self, *, kind: str, zone: str) -> ZoneOrders:
        """What it holds after one order more."""
        counts = list(self.taken.get(zone, [0, 0]))
        counts[KINDS.index(kind)] += 1
        emptied = self.emptied | {zone} if kind == "empty" else self.emptied - {zone}
        return ZoneOrders(emptied=emptied, taken={**self.taken, zone: counts})


def read_zone_orders(*, text: str) -> ZoneOrders:
    """What the text of the register holds; the last version wrote no counts."""
    if not text:
        return ZoneOrders()
    inner = json.loads(text)
    return ZoneOrders(emptied=frozenset(inner["emptied"]), taken=inner.get("taken", {}))


def write_zone_orders(*, orders: ZoneOrders) -> str:
    """The text of the register."""
    return json.dumps({"emptied": sorted(orders.emptied), "taken": orders.taken}, sort_keys=True)
