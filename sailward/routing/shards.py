"""Services divided into key ranges: who owns which range now, as the register's text and as proxies find it."""

from __future__ import annotations

import bisect
import json
from dataclasses import dataclass, field

from sailward.routing.shard_owners import PREFIX
from sailward.wire_types import RegisterValue

KEYS = 1 << 16
OPEN, MOVING = "open", "moving"


@dataclass(frozen=True, kw_only=True)
class Shard:
    """The keys from `start` to `end`, both inside.

    With their owner's key (empty if none), its fence, the state, the next owner.
    """

    start: int
    end: int
    owner: str
    fencing_token: int
    state: str
    next_owner: str = ""

    @property
    def is_open(self) -> bool:
        """May its owner be granted it?"""
        return self.state == OPEN


@dataclass(frozen=True, kw_only=True)
class ShardTable:
    """One service's shards in order, the next fence, the granter and the register's number at which it took over."""

    granter: str
    since: int
    fencing_token: int
    shards: tuple


@dataclass(kw_only=True)
class ShardTables:
    """Fold of the registers of ranged services; `step` takes a chosen value of one. Tables of slots are passed over."""

    tables: dict = field(default_factory=dict)
    _starts: dict = field(default_factory=dict)

    def step(self, *, name: str, value: RegisterValue) -> None:
        """Take the newest table of one service."""
        service = name.removeprefix(PREFIX)
        table = read_shards(text=value["text"])
        if table is None:
            self.tables.pop(service, None)
            return
        self.tables[service] = table
        self._starts[service] = [shard.start for shard in table.shards]

    def find(self, *, service: str, key: int) -> Shard | None:
        """The shard of a key, if the service has a table of ranges."""
        table = self.tables.get(service)
        if table is None or not 0 <= key < KEYS:
            return None
        return table.shards[bisect.bisect_right(self._starts[service], key) - 1]


def read_shards(*, text: str) -> ShardTable | None:
    """The table in a register's text; None if it is empty or a table of slots."""
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
    return ShardTable(granter=body["granter"], since=body["since"], fencing_token=body["fence"], shards=shards)


def write_shards(*, table: ShardTable) -> str:
    """The register's text of a table."""
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
        {"granter": table.granter, "since": table.since, "fence": table.fencing_token, "ranges": rows},
        separators=(",", ":"),
    )
