"""Services sharded by key range: the owner of each range, as stored in the register and as looked up by proxies."""

from __future__ import annotations

import bisect
import json
from dataclasses import dataclass, field

from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.wire_types import RegisterValue

KEYS = 1 << 16
"""Number of keys of a service that is sharded by range: 0 to KEYS - 1."""
OPEN, MOVING = "open", "moving"


@dataclass(frozen=True, kw_only=True)
class Shard:
    """The keys from `start` to `end`, both inclusive.

    `owner` is the worker that owns them (empty if none), with its fencing token; `state` is OPEN or MOVING;
    `next_owner` is set while they move.
    """

    start: int
    end: int
    owner: str
    fencing_token: int
    state: str
    next_owner: str = ""

    @property
    def is_open(self) -> bool:
        """May its owner be granted the shard?"""
        return self.state == OPEN


@dataclass(frozen=True, kw_only=True)
class ShardTable:
    """One service's shards in order, the next fencing token, the granter and the register number of its takeover."""

    granter: str
    takeover_number: int
    fencing_token: int
    shards: tuple


@dataclass(kw_only=True)
class ShardTables:
    """The tables of services sharded by range; `step` takes a chosen register value. Tables of slots are ignored."""

    tables: dict = field(default_factory=dict)
    _starts: dict = field(default_factory=dict)

    def step(self, *, name: str, value: RegisterValue) -> None:
        """Apply the newest table of one service."""
        service = name.removeprefix(SHARD_REGISTER_PREFIX)
        table = read_shards(text=value["text"])
        if table is None:
            self.tables.pop(service, None)
            return
        self.tables[service] = table
        self._starts[service] = [shard.start for shard in table.shards]

    def find(self, *, service: str, key: int) -> Shard | None:
        """The shard of a key; None if the service has no table of ranges."""
        table = self.tables.get(service)
        if table is None or not 0 <= key < KEYS:
            return None
        return table.shards[bisect.bisect_right(self._starts[service], key) - 1]


def read_shards(*, text: str) -> ShardTable | None:
    """Parse a register's text; None if it is empty or a table of slots."""
    body = json.loads(text) if text else {}
    if "ranges" not in body:
        return None
    shards = tuple(
        Shard(
            start=row[0],
            end=row[1],
            owner=row[2],
            fencing_token=row[3],
            state=row[4],
            next_owner=row[5] if len(row) > 5 else "",
        )
        for row in body["ranges"]
    )
    return ShardTable(
        granter=body["granter"], takeover_number=body["since"], fencing_token=body["fence"], shards=shards
    )


def write_shards(*, table: ShardTable) -> str:
    """Encode a table as a register's text."""
    rows = [
        [
            shard.start,
            shard.end,
            shard.owner,
            shard.fencing_token,
            shard.state,
            *([] if shard.is_open else [shard.next_owner]),
        ]
        for shard in table.shards
    ]
    return json.dumps(
        {"granter": table.granter, "since": table.takeover_number, "fence": table.fencing_token, "ranges": rows},
        separators=(",", ":"),
    )
