"""Where the keys of a divided service should be: on workers that are well, as few moves as it takes."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.shards.grant_calls import NEVER, GrantCalls
from sailward.control.shards.shard_plan import Span, place, strain, weigh
from sailward.routing.shards import Shard


@dataclass(frozen=True, kw_only=True)
class GrantScene:
    """What the granting looks at in one moment.

    `value` is the register's as held here; `fresh_until` when the confirmation that it is the newest runs out (s, the
    clock of `now`); `down` tells since when workers have been called unreachable; `loads` has requests/s by bucket of
    keys, `paces` how long workers take for one: (s, from so many times).
    """

    value: dict
    workers: dict
    fresh_until: float
    is_acting: bool
    emptied: frozenset = frozenset()
    down: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    paces: dict = field(default_factory=dict)
    hold_max: float = constants.GRANT_HOLD


@dataclass(kw_only=True)
class GrantTargets:
    """Owner of the wish to move keys: a load that is uneven for long enough is shared out anew."""

    service: str
    calls: GrantCalls
    _uneven_since: float | None = None
    _balanced: float = NEVER

    def wanted(self, *, now: float, shards: tuple[Shard, ...], sole_at: float, scene: GrantScene) -> list[Span]:
        """Where all keys should be; what is moving counts as where it goes."""
        spans = [
            Span(start=shard.start, end=shard.end, owner=shard.owner if shard.is_open else shard.next_owner)
            for shard in shards
        ]
        able = self.able(now=now, scene=scene)
        if not able:
            listed = self.listed(scene=scene)
            return [
                span
                if span.owner in listed and self._may_stay(key=span.owner, scene=scene)
                else replace(span, owner="")
                for span in spans
            ]
        wanted = place(spans=spans, able=able, loads=scene.loads, is_balancing=False)
        if any(not shard.is_open for shard in shards) or now < sole_at:
            self._uneven_since = None
            return wanted
        even = place(spans=spans, able=able, loads=scene.loads, is_balancing=True)
        if even == wanted:
            self._uneven_since = None
            return wanted
        self._uneven_since = now if self._uneven_since is None else self._uneven_since
        is_urgent = strain(spans=wanted, able=able, loads=scene.loads) > constants.GRANT_BLAZING
        if now - max(self._uneven_since, self._balanced) < (
            constants.GRANT_URGENT if is_urgent else constants.GRANT_SUSTAINED
        ):
            return wanted
        self._uneven_since, self._balanced = None, now
        return even

    def listed(self, *, scene: GrantScene) -> dict:
        """The service's workers by key."""
        return {key: worker for key, worker in scene.workers.items() if worker.service == self.service}

    def _may_stay(self, *, key: str, scene: GrantScene) -> bool:
        worker = scene.workers[key]
        return key not in self.calls.ended and not worker.leaving and worker.hall not in scene.emptied

    def able(self, *, now: float, scene: GrantScene) -> dict:
        """The requests/s that each worker which may own keys can do; cold ones only where there are no others."""
        well = {
            key: worker
            for key, worker in self.listed(scene=scene).items()
            if self._may_stay(key=key, scene=scene)
            and now - scene.down.get(key, now) < constants.GRANT_SILENT
            and not self.calls.is_failing(now=now, key=key)
        }
        warm = {key: worker for key, worker in well.items() if getattr(worker, "cold", 0.0) <= 0}
        return weigh(
            capacities={
                key: getattr(worker, "capacity", 0) or constants.WORKER_CAPACITY
                for key, worker in (warm or well).items()
            },
            paces=scene.paces,
        )
