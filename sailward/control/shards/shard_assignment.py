"""Who owns which slot: close for all, wait until nothing can be under way, open for the new owner."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.shards.quiescence import Closing, Witness
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.rendezvous import choose_names
from sailward.routing.plan import Plan, Pool, Service
from sailward.routing.shard_owners import Owned, common_homes, pool_at, read_table, space_of, write_table


@dataclass(frozen=True, kw_only=True)
class Scene:
    """What the assigning looks at in one moment."""

    plan: Plan
    emptied: frozenset
    drained: frozenset
    workers: dict
    healthy: frozenset


@dataclass(kw_only=True)
class Assigning:
    """Owner of one service's slot moves, on the controller that hashing names. `step` gives the next text or "".

    A closed slot opens when every proxy that could act is witnessed to know it closed and to have nothing
    open in it; else after LEASE, by when no proxy can act without knowing it closed, and the service's
    expiry, by when what was sent before has ended, counted from when this controller first held the closing.
    """

    closed: dict = field(default_factory=dict)
    missing: dict = field(default_factory=dict)

    def step(self, *, now: float, service: Service, text: str, scene: Scene, witness: Witness) -> str:
        """Judge all slots of a service against the moment."""
        spaces = read_table(text=text)
        fresh = {}
        changed = False
        moving = sum(not one.is_open for rows in spaces.values() for one in rows)
        self._note_closed(now=now, spaces=spaces, witness=witness)
        for space in self._spaces(plan=scene.plan, service=service):
            rows = spaces.get(space, [])
            if len(rows) != service.slots:
                rows = [
                    rows[at] if at < len(rows) else Owned(owner="", term=0, is_open=True) for at in range(service.slots)
                ]
                changed = True
            fresh[space] = []
            for slot, old in enumerate(rows):
                new = self._judge(
                    now=now,
                    service=service,
                    space=space,
                    slot=slot,
                    old=old,
                    scene=scene,
                    room=constants.MOVES_AT_ONCE - moving,
                )
                moving += old.is_open and not new.is_open
                changed = changed or new != old
                fresh[space].append(new)
        return write_table(spaces=fresh) if changed else ""

    def _spaces(self, *, plan: Plan, service: Service) -> list[str]:
        return sorted({space_of(homes=tenant.homes, service=service) for tenant in plan.tenants.values()} | {""})

    def _note_closed(self, *, now: float, spaces: dict, witness: Witness) -> None:
        seen = {
            (space, slot, one.term)
            for space, rows in spaces.items()
            for slot, one in enumerate(rows)
            if not one.is_open
        }
        self.closed = {
            name: self.closed.get(name) or Closing(since=now, number=witness.number, beats=witness.beats())
            for name in seen
        }
        for (space, slot, _), closing in self.closed.items():
            witness.look(closing=closing, slot=f"{space}/{slot}")

    def _judge(
        self, *, now: float, service: Service, space: str, slot: int, old: Owned, scene: Scene, room: int
    ) -> Owned:
        best = self._best(service=service, space=space, slot=slot, scene=scene)
        if not old.is_open:
            wait = constants.LEASE + service.expiry + constants.MOVE_MARGIN
            closing = self.closed[(space, slot, old.term)]
            if best and (closing.is_clear or now - closing.since >= wait):
                return Owned(owner=best, term=old.term + 1, is_open=True)
            return old
        if old.owner == "":
            return Owned(owner=best, term=old.term + 1, is_open=True) if best else old
        place = (space, slot)
        if (
            old.owner in scene.healthy
            and old.owner in scene.workers
            and not scene.workers[old.owner].leaving
            and scene.workers[old.owner].hall not in scene.emptied
        ):
            self.missing.pop(place, None)
            return replace(old, is_open=False) if best and best != old.owner and room > 0 else old
        since = self.missing.setdefault(place, now)
        worker = scene.workers.get(old.owner)
        certain = worker is None or worker.leaving or worker.hall in scene.emptied
        if certain or now - since >= constants.OWNER_GRACE:
            self.missing.pop(place, None)
            return replace(old, is_open=False)
        return old

    def _best(self, *, service: Service, space: str, slot: int, scene: Scene) -> str:
        shares = next(
            (
                match.shares
                for match in scene.plan.matches
                if scene.plan.pools[match.shares[0][0]].service == service.name
            ),
            (),
        )
        if not shares:
            return ""
        pool: Pool = scene.plan.pools[pool_at(shares=shares, slot=slot, slots=service.slots)]
        homes = set(space.split("+")) if space else set()
        if service.keys_shared:
            homes = common_homes(plan=scene.plan, service=service.name)
        for drained, tier in self._tiers(pool=pool):
            halls = [
                hall
                for hall in tier
                if hall not in scene.emptied
                and ((service.name, hall) in scene.drained) == drained
                and (not homes or scene.plan.regions.get(hall) in homes)
            ]
            able = {
                worker.name: key
                for key, worker in scene.workers.items()
                if _is_able(worker=worker, key=key, service=service, halls=halls, scene=scene)
            }
            if able:
                name = choose_names(key=f"{service.name}/{space}/{slot}", names=able, count=1)[0]
                return able[name]
        return ""

    def _tiers(self, *, pool: Pool) -> list[tuple[bool, tuple]]:
        """(drained halls or the others, tier) in the order of choice: where only drained halls could serve, they do."""
        return [(drained, tier) for drained in (False, True) for tier in (pool.preferred, pool.fallback)]


def _is_able(*, worker: Worker, key: str, service: Service, halls: list, scene: Scene) -> bool:
    return worker.service == service.name and worker.hall in halls and not worker.leaving and key in scene.healthy
