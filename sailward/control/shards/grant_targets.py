"""Where the keys of a divided service should be: on workers that are well, as few moves as it takes."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.shards.grant_calls import NEVER, GrantCalls
from sailward.control.shards.shard_plan import Span, place, strain, weigh
from sailward.routing.shards import Shard
from sailward.wire_types import RegisterValue


@dataclass(frozen=True, kw_only=True)
class GrantContext:
    """What the granting looks at in one moment.

    `value` is the register's as held here; `fresh_until` when the confirmation that it is the newest runs out (s, the
    clock of `now`); `down` tells since when workers have been called unreachable; `loads` has requests/s by bucket of
    keys, `paces` how long workers take for one: (s, from so many times).
    """

    value: RegisterValue
    workers: dict
    fresh_until: float
    is_acting: bool
    emptied: frozenset = frozenset()
    down: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    paces: dict = field(default_factory=dict)
    lease_max: float = constants.GRANT_DURATION


@dataclass(kw_only=True)
class GrantTargets:
    """Owner of the wish to move keys: a load that is uneven for long enough is shared out anew."""

    service: str
    calls: GrantCalls
    _uneven_since: float | None = None
    _balanced: float = NEVER

    def targets(self, *, now: float, shards: tuple[Shard, ...], sole_at: float, context: GrantContext) -> list[Span]:
        """Where all keys should be; what is moving counts as where it goes."""
        spans = [
            Span(start=shard.start, end=shard.end, owner=shard.owner if shard.is_open else shard.next_owner)
            for shard in shards
        ]
        able = self.able(now=now, context=context)
        if not able:
            listed = self.listed(context=context)
            return [
                span
                if span.owner in listed and self._may_stay(key=span.owner, context=context)
                else replace(span, owner="")
                for span in spans
            ]
        targets = place(spans=spans, able=able, loads=context.loads, is_balancing=False)
        if any(not shard.is_open for shard in shards) or now < sole_at:
            self._uneven_since = None
            return targets
        even = place(spans=spans, able=able, loads=context.loads, is_balancing=True)
        if even == targets:
            self._uneven_since = None
            return targets
        self._uneven_since = now if self._uneven_since is None else self._uneven_since
        is_urgent = strain(spans=targets, able=able, loads=context.loads) > constants.REBALANCE_URGENT_RATIO
        if now - max(self._uneven_since, self._balanced) < (
            constants.REBALANCE_URGENT_DELAY if is_urgent else constants.REBALANCE_DELAY
        ):
            return targets
        self._uneven_since, self._balanced = None, now
        return even

    def listed(self, *, context: GrantContext) -> dict:
        """The service's workers by key."""
        return {key: worker for key, worker in context.workers.items() if worker.service == self.service}

    def _may_stay(self, *, key: str, context: GrantContext) -> bool:
        worker = context.workers[key]
        return key not in self.calls.ended and not worker.leaving and worker.zone not in context.emptied

    def able(self, *, now: float, context: GrantContext) -> dict:
        """The requests/s that each worker which may own keys can do; cold ones only where there are no others."""
        well = {
            key: worker
            for key, worker in self.listed(context=context).items()
            if self._may_stay(key=key, context=context)
            and now - context.down.get(key, now) < constants.GRANT_FAILURE_TIMEOUT
            and not self.calls.is_failing(now=now, key=key)
        }
        ready = {key: worker for key, worker in well.items() if getattr(worker, "slow_start", 0.0) <= 0}
        return weigh(
            capacities={
                key: getattr(worker, "capacity", 0) or constants.DEFAULT_WORKER_CAPACITY
                for key, worker in (ready or well).items()
            },
            paces=context.paces,
        )
