"""The target owners of a sharded service's keys: healthy workers, reached with as few moves as possible."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.shards.grant_calls import NEVER, GrantCalls
from sailward.control.shards.shard_plan import Span, estimate_throughputs, max_load_ratio, place_spans
from sailward.routing.shards import Shard
from sailward.wire_types import RegisterValue


@dataclass(frozen=True, kw_only=True)
class GrantContext:
    """The inputs of one step of granting.

    `value` is the local value of the register; `fresh_until` is the end of the read lease that confirms it as the
    newest (s, on the clock of `now`); `down_since` maps workers to the time since which they have been reported
    unreachable; `loads` has requests/s by bucket of keys; `latencies` has the time that workers take for one
    request: (s, number of samples).
    """

    value: RegisterValue
    workers: dict
    fresh_until: float
    is_acting: bool
    evacuated_zones: frozenset = frozenset()
    down_since: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    latencies: dict = field(default_factory=dict)
    lease_max: float = constants.GRANT_DURATION


@dataclass(kw_only=True)
class GrantTargets:
    """Computes target owners; a load that stays uneven for long enough is rebalanced."""

    service: str
    calls: GrantCalls
    _uneven_since: float | None = None
    _rebalanced_at: float = NEVER

    def targets(
        self, *, now: float, shards: tuple[Shard, ...], sole_granter_at: float, context: GrantContext
    ) -> list[Span]:
        """The target owners of all keys; a moving shard counts as its next owner's."""
        spans = [
            Span(start=shard.start, end=shard.end, owner=shard.owner if shard.is_open else shard.next_owner)
            for shard in shards
        ]
        throughputs = self.eligible_throughputs(now=now, context=context)
        if not throughputs:
            listed = self.listed(context=context)
            return [
                span
                if span.owner in listed and self._may_stay(key=span.owner, context=context)
                else replace(span, owner="")
                for span in spans
            ]
        targets = place_spans(spans=spans, throughputs=throughputs, loads=context.loads, is_balancing=False)
        if any(not shard.is_open for shard in shards) or now < sole_granter_at:
            self._uneven_since = None
            return targets
        balanced = place_spans(spans=spans, throughputs=throughputs, loads=context.loads, is_balancing=True)
        if balanced == targets:
            self._uneven_since = None
            return targets
        self._uneven_since = now if self._uneven_since is None else self._uneven_since
        is_urgent = (
            max_load_ratio(spans=targets, throughputs=throughputs, loads=context.loads)
            > constants.REBALANCE_URGENT_RATIO
        )
        if now - max(self._uneven_since, self._rebalanced_at) < (
            constants.REBALANCE_URGENT_DELAY if is_urgent else constants.REBALANCE_DELAY
        ):
            return targets
        self._uneven_since, self._rebalanced_at = None, now
        return balanced

    def listed(self, *, context: GrantContext) -> dict:
        """The service's workers by key."""
        return {key: worker for key, worker in context.workers.items() if worker.service == self.service}

    def _may_stay(self, *, key: str, context: GrantContext) -> bool:
        worker = context.workers[key]
        return key not in self.calls.ended_workers and not worker.leaving and worker.zone not in context.evacuated_zones

    def eligible_throughputs(self, *, now: float, context: GrantContext) -> dict:
        """The requests/s that each eligible worker can serve; workers in slow start only if there are no others."""
        reachable = {
            key: worker
            for key, worker in self.listed(context=context).items()
            if self._may_stay(key=key, context=context)
            and now - context.down_since.get(key, now) < constants.GRANT_FAILURE_TIMEOUT
            and not self.calls.is_failing(now=now, key=key)
        }
        ready = {key: worker for key, worker in reachable.items() if getattr(worker, "slow_start", 0.0) <= 0}
        return estimate_throughputs(
            capacities={
                key: getattr(worker, "capacity", 0) or constants.DEFAULT_WORKER_CAPACITY
                for key, worker in (ready or reachable).items()
            },
            latencies=context.latencies,
        )
