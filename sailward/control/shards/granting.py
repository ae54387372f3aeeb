"""Grants of key ranges: each key has at most one holder, whichever controllers act, with as few changes as possible.

The table of a service is one register (`routing/shards.py`), changed by compare-and-swap. It names its granter, which
is one incarnation of one controller. The argument that no two running workers hold a key at the same time:

1. Only the granter named in the newest table sends grants, and only for open shards, with their owner and fence. It
   acts until `fresh_until`: GRANT_CONFIRMATION_TTL after it asked a blocking set of voters, all of which answered that
   the newest table they voted for is its own local one. A newer table is chosen by a majority, so a voter of that set
   voted for it after answering: a controller with an older table begins its last grant within GRANT_CONFIRMATION_TTL of
   the newer choice. A call may take GRANT_TIMEOUT, and bytes of an abandoned call may be in the network for
   GRANT_IN_FLIGHT_LIMIT: GRANT_FENCE_DELAY after this controller first has a table, nothing sent on an older table can
   arrive any more.
2. So GRANT_FENCE_DELAY after it first has a table that names it, a granter is the only one whose grants can still
   arrive (`_sole_granter_at`). A later granter writes another name or another number of the takeover.
3. A shard that has a living owner first becomes moving, and a moving shard is never granted. It opens for another
   owner, under a new fence, once the old owner certainly no longer holds it: (a) it answered a release that was sent
   when the granter was the only one and none of its own grants of these keys was in flight; or (b) its process has
   ended: another worker answered at its address (a refused connection proves nothing: a network partition may refuse
   too, while the worker lives and holds the keys); or (c) its hold has expired: GRANT_DURATION by the slowest clock
   after the last moment at which a grant can have arrived. That moment is GRANT_FENCE_DELAY after the shard was first
   seen moving here, or, for the only granter, the later of `_sole_granter_at` and the last arrival of its own grants.
4. Each of these stays true as long as the table does not change, and the change is conditional on the table's number.

Fences are stored in the table, grow with each opening, and are never reused.
"""

from __future__ import annotations

from dataclasses import replace

from sailward import constants
from sailward.control.grant_codec import GrantCodec
from sailward.control.shards.grant_calls import NEVER, GrantCalls
from sailward.control.shards.grant_targets import GrantContext, GrantTargets
from sailward.control.shards.shard_plan import Span, place_spans
from sailward.events import CallFinished, Command
from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.routing.shards import KEYS, MOVING, OPEN, Shard, ShardTable, read_shards, write_shards
from sailward.wire_types import RegisterValue


class Granting:
    """Grants the shards of one service in a controller's process. `step` returns (commands, changes).

    A change is (register, expected number, text); it has taken effect once the register's value shows it. `own_name`
    names this incarnation of this controller. `codec` encodes the calls.
    """

    def __init__(self, *, service: str, own_name: str, codec: GrantCodec) -> None:
        self._service, self._own_name = service, own_name
        self._calls = GrantCalls(service=service, codec=codec)
        self._targets = GrantTargets(service=service, calls=self._calls)
        self._table: ShardTable | None = None
        self._number = -1
        self._became_granter_at = float("inf")
        self._granter_changed_at = NEVER
        self._last_request = (-1, NEVER)
        self._next_check_at = NEVER

    def step(self, *, now: float, event: CallFinished | None, context: GrantContext) -> tuple[list, list]:
        """Handle the result of one of its calls, or a timer tick if `event` is None."""
        commands = self.record_result(now=now, event=event) if event is not None else []
        self._take_table(now=now, value=context.value)
        self._calls.addresses |= {key: worker.address for key, worker in self._targets.listed(context=context).items()}
        if now >= context.fresh_until:
            return commands, []
        if self._is_granter():
            commands += self._release(now=now, context=context) + self._grant(now=now, context=context)
        return commands, self._change(now=now, context=context) if context.is_acting else []

    def record_result(self, *, now: float, event: CallFinished) -> list[Command]:
        """Record the result of one of its calls; any other is ignored."""
        if not self.is_own(token=event.token):
            return []
        self._next_check_at = NEVER
        return self._calls.take_result(now=now, event=event)

    def is_own(self, *, token: str) -> bool:
        """Is this the token of one of its calls in flight?"""
        return self._calls.is_own(token=token)

    def _grant(self, *, now: float, context: GrantContext) -> list[Command]:
        hold = min(constants.GRANT_DURATION, context.lease_max)
        return self._calls.grant(now=now, hold=hold, fresh_until=context.fresh_until)

    def _release(self, *, now: float, context: GrantContext) -> list[Command]:
        return self._calls.release(now=now, sole_granter_at=self._sole_granter_at(), fresh_until=context.fresh_until)

    def _is_relinquished(self, *, now: float, shard: Shard) -> bool:
        return self._calls.is_relinquished(now=now, shard=shard, sole_granter_at=self._sole_granter_at())

    def _is_granter(self) -> bool:
        return self._table is not None and self._table.granter == self._own_name

    def _sole_granter_at(self) -> float:
        return self._became_granter_at + constants.GRANT_FENCE_DELAY

    def _take_table(self, *, now: float, value: RegisterValue) -> None:
        if value["number"] == self._number:
            return
        before, self._number = self._table, value["number"]
        self._table = read_shards(text=value["text"])
        shards = self._table.shards if self._table else ()
        term = (self._table.granter, self._table.takeover_number) if self._table else ("", 0)
        is_new_term = before is None or (before.granter, before.takeover_number) != term
        if is_new_term:
            self._became_granter_at = now if self._is_granter() else float("inf")
            self._granter_changed_at = NEVER if before is None else now
        self._calls.take_table(now=now, shards=shards, is_new_term=is_new_term)
        self._next_check_at = NEVER

    def _change(self, *, now: float, context: GrantContext) -> list:
        number, requested_at = self._last_request
        if now < self._next_check_at or (
            number == self._number and now - requested_at < constants.GRANT_TABLE_CHANGE_TIMEOUT
        ):
            return []
        self._next_check_at = now + constants.GRANT_CHECK_INTERVAL
        table = self._next_table(now=now, context=context)
        if table is None or table == self._table:
            return []
        self._last_request = (self._number, now)
        return [(SHARD_REGISTER_PREFIX + self._service, self._number, write_shards(table=table))]

    def _next_table(self, *, now: float, context: GrantContext) -> ShardTable | None:
        if self._table is None:
            return self._first_table(now=now, context=context)
        if not self._is_granter():
            if now - self._granter_changed_at < constants.GRANT_TAKEOVER_MIN_INTERVAL:
                return None
            return replace(self._table, granter=self._own_name, takeover_number=self._number + 1)
        shards, fencing_token = self._next_shards(now=now, table=self._table, context=context)
        max_shards = constants.MAX_RANGES_PER_WORKER * max(
            1, len(self._targets.eligible_throughputs(now=now, context=context))
        )
        if shards != list(self._table.shards) or len(shards) > max_shards:
            shards, fencing_token = self._merge(shards=shards, fencing_token=fencing_token)
        return replace(self._table, shards=tuple(shards), fencing_token=fencing_token)

    def _first_table(self, *, now: float, context: GrantContext) -> ShardTable | None:
        throughputs = self._targets.eligible_throughputs(now=now, context=context)
        if not throughputs:
            return None
        whole_key_space = [Span(start=0, end=KEYS - 1, owner="")]
        spans = place_spans(spans=whole_key_space, throughputs=throughputs, loads=context.loads, is_balancing=False)
        shards = tuple(
            Shard(start=span.start, end=span.end, owner=span.owner, fencing_token=index + 1, state=OPEN)
            for index, span in enumerate(spans)
        )
        return ShardTable(
            granter=self._own_name, takeover_number=self._number + 1, fencing_token=len(shards) + 1, shards=shards
        )

    def _next_shards(self, *, now: float, table: ShardTable, context: GrantContext) -> tuple[list[Shard], int]:
        """The next state of all shards, and the next fence."""
        shards, fencing_token, sole_granter_at = [], table.fencing_token, self._sole_granter_at()
        targets = self._targets.targets(now=now, shards=table.shards, sole_granter_at=sole_granter_at, context=context)
        for shard in table.shards:
            parts = [
                replace(span, start=max(span.start, shard.start), end=min(span.end, shard.end))
                for span in targets
                if span.start <= shard.end and shard.start <= span.end
            ]
            for replacement in self._replacements_of(now=now, shard=shard, parts=parts, is_sole=now >= sole_granter_at):
                if replacement.fencing_token != 0:
                    shards.append(replacement)
                    continue
                # the worker knows a higher fence than the table: doubling exceeds it within a few attempts
                with_fence = replace(
                    replacement,
                    fencing_token=2 * fencing_token if shard in self._calls.fence_rejected else fencing_token,
                )
                is_moved = with_fence.owner != shard.owner
                self._calls.handovers[with_fence] = self._calls.handover_of(shard=shard) if is_moved else ""
                fencing_token = with_fence.fencing_token + 1
                shards.append(with_fence)
        return shards, fencing_token

    def _replacements_of(self, *, now: float, shard: Shard, parts: list[Span], is_sole: bool) -> list[Shard]:
        """The shards that replace a shard; a fencing token of 0 stands for one still to be assigned."""
        new_shards = [
            Shard(start=part.start, end=part.end, owner=part.owner, fencing_token=0, state=OPEN) for part in parts
        ]
        if not shard.is_open:
            if self._is_relinquished(now=now, shard=shard):
                return new_shards
            largest = max(parts, key=lambda part: part.end - part.start).owner
            return [replace(shard, next_owner=largest)]
        if shard in self._calls.fence_rejected and shard.owner not in self._calls.ended_workers:
            return [replace(shard, fencing_token=0)]
        if shard.owner == "" or shard.owner in self._calls.ended_workers:
            return new_shards if any(part.owner != shard.owner for part in parts) else [shard]
        if not is_sole or all(part.owner == shard.owner for part in parts):
            return [shard]
        split_shards = [replace(shard, start=part.start, end=part.end) for part in parts]
        return [
            moved if part.owner == shard.owner else replace(moved, state=MOVING, next_owner=part.owner)
            for part, moved in zip(parts, split_shards, strict=True)
        ]

    def _merge(self, *, shards: list[Shard], fencing_token: int) -> tuple[list[Shard], int]:
        """Merge adjacent ranges of one owner under one new fence, since each range costs a grant of its own.

        Only granted ranges are merged: a new one may still have handover data to deliver.
        """
        joined: list[Shard] = []
        for shard in shards:
            previous = joined[-1] if joined else None
            if (
                previous
                and previous.owner == shard.owner
                and self._calls.is_granted(shard=shard)
                and (
                    (previous.fencing_token == fencing_token - 1 and previous not in shards)
                    or self._calls.is_granted(shard=previous)
                )
            ):
                if previous in shards:
                    fencing_token += 1
                joined[-1] = replace(previous, end=shard.end, fencing_token=fencing_token - 1)
            else:
                joined.append(shard)
        return joined, fencing_token
