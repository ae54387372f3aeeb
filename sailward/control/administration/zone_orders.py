"""The register of orders on zones: which zones are evacuated, and how many orders of each kind each zone has had.

An order on a zone carries no number and no body, so two identical orders can't be told apart. The counts show whether
an order of the same kind was accepted since a competing order first read the register. If so, the accepted one counts
for both, and the competing one is not applied again, which might undo an opposite order that followed. Every order
changes the register, even if the zone is already in the requested state: otherwise an opposite order that was accepted
by only some voters could still be completed after it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

ORDER_KINDS = ("empty", "refill")


@dataclass(frozen=True, kw_only=True)
class ZoneOrders:
    """The register's content. `accepted_counts`: {zone: [accepted orders to evacuate it, to restore it]}."""

    evacuated_zones: frozenset[str] = frozenset()
    accepted_counts: dict[str, list[int]] = field(default_factory=dict)

    def count(self, *, kind: str, zone: str) -> int:
        """How many orders of this kind were accepted for a zone."""
        counts: list[int] = self.accepted_counts.get(zone, [0, 0])
        return counts[ORDER_KINDS.index(kind)]

    def with_order(self, *, kind: str, zone: str) -> ZoneOrders:
        """The content after one more order."""
        counts = list(self.accepted_counts.get(zone, [0, 0]))
        counts[ORDER_KINDS.index(kind)] += 1
        evacuated_zones = self.evacuated_zones | {zone} if kind == "empty" else self.evacuated_zones - {zone}
        return ZoneOrders(evacuated_zones=evacuated_zones, accepted_counts={**self.accepted_counts, zone: counts})


def read_zone_orders(*, text: str) -> ZoneOrders:
    """Parse the register's text; the previous version wrote no counts."""
    if not text:
        return ZoneOrders()
    content = json.loads(text)
    return ZoneOrders(evacuated_zones=frozenset(content["emptied"]), accepted_counts=content.get("taken", {}))


def write_zone_orders(*, orders: ZoneOrders) -> str:
    """Serialize the register's content."""
    return json.dumps({"emptied": sorted(orders.evacuated_zones), "taken": orders.accepted_counts}, sort_keys=True)
