"""Ownership of slots: close for all, wait until no request can be in flight, open for the new owner."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.shards.quiescence import ClosedSlot, Quiescence
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.rendezvous import choose_names
from sailward.routing.plan import Plan, Pool, Service
from sailward.routing.shard_owners import SlotOwner, common_residency, pool_of_slot, read_table, space_of, write_table


@dataclass(frozen=True, kw_only=True)
class AssignmentContext:
    """The inputs of one step of assignment."""

    plan: Plan
    evacuated_zones: frozenset
    drained_zones: frozenset
    workers: dict
    healthy: frozenset


@dataclass(kw_only=True)
class ShardAssignment:
    """Moves the slots of one service, on the controller chosen by hashing. `step` returns the next text or "".

    A closed slot opens once every proxy that could act has reported that it knows the slot is closed and has no
    request in flight in it. Otherwise it opens after LEASE_DURATION, by when no proxy can act without knowing that it
    is closed, plus the service's expiry, by when all requests sent before have ended; both count from when this
    controller first saw the slot closed.
    """

    closed_slots: dict = field(default_factory=dict)
    missing_since: dict = field(default_factory=dict)

    def step(
        self, *, now: float, service: Service, text: str, context: AssignmentContext, quiescence: Quiescence
    ) -> str:
        """Check all slots of a service against the current state."""
        spaces = read_table(text=text)
        next_spaces = {}
        changed = False
        moving = sum(not row.is_open for rows in spaces.values() for row in rows)
        self._record_closed(now=now, spaces=spaces, quiescence=quiescence)
        for space in self._spaces(plan=context.plan, service=service):
            rows = spaces.get(space, [])
            if len(rows) != service.slots:
                rows = [
                    rows[at] if at < len(rows) else SlotOwner(owner="", term=0, is_open=True)
                    for at in range(service.slots)
                ]
                changed = True
            next_spaces[space] = []
            for slot, old in enumerate(rows):
                new = self._next_state(
                    now=now,
                    service=service,
                    space=space,
                    slot=slot,
                    old=old,
                    context=context,
                    remaining_moves=constants.MAX_CONCURRENT_SLOT_MOVES - moving,
                )
                moving += old.is_open and not new.is_open
                changed = changed or new != old
                next_spaces[space].append(new)
        return write_table(spaces=next_spaces) if changed else ""

    def _spaces(self, *, plan: Plan, service: Service) -> list[str]:
        return sorted({space_of(homes=tenant.homes, service=service) for tenant in plan.tenants.values()} | {""})

    def _record_closed(self, *, now: float, spaces: dict, quiescence: Quiescence) -> None:
        closed_keys = {
            (space, slot, owned.term)
            for space, rows in spaces.items()
            for slot, owned in enumerate(rows)
            if not owned.is_open
        }
        self.closed_slots = {
            name: self.closed_slots.get(name)
            or ClosedSlot(closed_at=now, register_number=quiescence.number, heartbeats=quiescence.heartbeats())
            for name in closed_keys
        }
        for (space, slot, _), closed_slot in self.closed_slots.items():
            quiescence.check(closed_slot=closed_slot, slot=f"{space}/{slot}")

    def _next_state(
        self,
        *,
        now: float,
        service: Service,
        space: str,
        slot: int,
        old: SlotOwner,
        context: AssignmentContext,
        remaining_moves: int,
    ) -> SlotOwner:
        best = self._best_owner(service=service, space=space, slot=slot, context=context)
        if not old.is_open:
            wait = constants.LEASE_DURATION + service.expiry + constants.SLOT_MOVE_MARGIN
            closed_slot = self.closed_slots[(space, slot, old.term)]
            if best and (closed_slot.is_drained or now - closed_slot.closed_at >= wait):
                return SlotOwner(owner=best, term=old.term + 1, is_open=True)
            return old
        if old.owner == "":
            return SlotOwner(owner=best, term=old.term + 1, is_open=True) if best else old
        slot_key = (space, slot)
        if (
            old.owner in context.healthy
            and old.owner in context.workers
            and not context.workers[old.owner].leaving
            and context.workers[old.owner].zone not in context.evacuated_zones
        ):
            self.missing_since.pop(slot_key, None)
            return replace(old, is_open=False) if best and best != old.owner and remaining_moves > 0 else old
        since = self.missing_since.setdefault(slot_key, now)
        worker = context.workers.get(old.owner)
        is_owner_gone = worker is None or worker.leaving or worker.zone in context.evacuated_zones
        if is_owner_gone or now - since >= constants.SLOT_OWNER_GRACE:
            self.missing_since.pop(slot_key, None)
            return replace(old, is_open=False)
        return old

    def _best_owner(self, *, service: Service, space: str, slot: int, context: AssignmentContext) -> str:
        shares = next(
            (
                match.shares
                for match in context.plan.matches
                if context.plan.pools[match.shares[0][0]].service == service.name
            ),
            (),
        )
        if not shares:
            return ""
        pool: Pool = context.plan.pools[pool_of_slot(shares=shares, slot=slot, slots=service.slots)]
        homes = set(space.split("+")) if space else set()
        if service.has_shared_keys:
            homes = common_residency(plan=context.plan, service=service.name)
        for drained, tier in self._tiers(pool=pool):
            zones = [
                zone
                for zone in tier
                if zone not in context.evacuated_zones
                and ((service.name, zone) in context.drained_zones) == drained
                and (not homes or context.plan.regions.get(zone) in homes)
            ]
            candidates = {
                worker.name: key
                for key, worker in context.workers.items()
                if _is_eligible(worker=worker, key=key, service=service, zones=zones, context=context)
            }
            if candidates:
                name = choose_names(key=f"{service.name}/{space}/{slot}", names=candidates, count=1)[0]
                return candidates[name]
        return ""

    def _tiers(self, *, pool: Pool) -> list[tuple[bool, tuple]]:
        """(is drained, tier) in order of preference: drained zones serve only if no others can."""
        return [(drained, tier) for drained in (False, True) for tier in (pool.preferred, pool.fallback)]


def _is_eligible(*, worker: Worker, key: str, service: Service, zones: list, context: AssignmentContext) -> bool:
    return worker.service == service.name and worker.zone in zones and not worker.leaving and key in context.healthy
