"""Services sharded by slot: the slot of a key, and its owner."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field

from sailward.routing.plan import Plan, Service
from sailward.wire_types import RegisterValue

SHARD_REGISTER_PREFIX = "slots/"
"""Prefix of the name of the register that holds the shard table of a service."""
OPEN, CLOSED = 1, 0


@dataclass(frozen=True, kw_only=True)
class SlotOwner:
    """One slot: the key of its owner (empty if none), its term, and whether it is open."""

    owner: str
    term: int
    is_open: bool


@dataclass(kw_only=True)
class ShardOwners:
    """The slot tables of all services; `step` takes a chosen value of a slot register."""

    tables: dict = field(default_factory=dict)

    def step(self, *, name: str, value: RegisterValue) -> None:
        """Apply the newest table of one service."""
        self.tables[name.removeprefix(SHARD_REGISTER_PREFIX)] = read_table(text=value["text"])

    def find(self, *, service: str, space: str, slot: int) -> SlotOwner | None:
        """The current owner of a slot; None if it was never assigned."""
        rows = self.tables.get(service, {}).get(space, ())
        return rows[slot] if slot < len(rows) else None


def read_table(*, text: str) -> dict[str, list[SlotOwner]]:
    """Parse a register's text into {space: slots in order}."""
    spaces = json.loads(text)["spaces"] if text else {}
    return {
        space: [SlotOwner(owner=owner, term=term, is_open=state == OPEN) for owner, term, state in rows]
        for space, rows in spaces.items()
    }


def write_table(*, spaces: dict[str, list[SlotOwner]]) -> str:
    """Encode a table as a register's text."""
    return json.dumps(
        {
            "spaces": {
                space: [[row.owner, row.term, OPEN if row.is_open else CLOSED] for row in rows]
                for space, rows in spaces.items()
            }
        },
        separators=(",", ":"),
    )


def slot_of(*, key: str, slots: int) -> int:
    """The slot of a key."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big") % slots


def space_of(*, homes: frozenset, service: Service) -> str:
    """The slot space of a tenant's keys.

    Tenants bound to different home regions have separate slots, owned in those regions, unless the keys are shared.
    """
    return "" if service.has_shared_keys else "+".join(sorted(homes))


def common_residency(*, plan: Plan, service: str) -> set[str]:
    """The home regions that all bound tenants of a service with shared keys have in common; empty if none is bound."""
    bound = [
        plan.tenants[name].homes
        for match in plan.matches
        if plan.pools[match.shares[0][0]].service == service
        for name in (match.tenants or plan.tenants)
        if plan.tenants[name].homes
    ]
    return set(frozenset.intersection(*bound)) if bound else set()


def pool_of_slot(*, shares: tuple, slot: int, slots: int) -> str:
    """The pool that a slot belongs to: pools by weight as in the weighted draw, but by slot position, not at random."""
    total = sum(weight for _, weight in shares)
    position = (slot + 0.5) / slots * total
    for name, weight in shares:
        position -= weight
        if position < 0:
            return name
    return shares[-1][0]
