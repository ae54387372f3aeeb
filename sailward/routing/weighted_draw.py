"""The source's design: the pool is drawn by weight, before any status; then zones by status."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailward import constants
from sailward.routing.plan import Match, Pool


@dataclass(frozen=True, kw_only=True)
class ZoneView:
    """A zone of the pool's service as the draw sees it: overrides are already applied by `allowed`.

    `weight` is its part of the spray beside its tier's other zones: even by default.
    """

    fraction: float
    healthy: int
    listed: int
    drained: bool
    allowed: bool
    weight: float = 1.0


def draw_pool(*, match: Match, rng: random.Random) -> str:
    """A pool with probability weight / total. Status is not looked at."""
    total = sum(weight for _, weight in match.shares)
    at = rng.random() * total
    for name, weight in match.shares:
        at -= weight
        if at < 0:
            return name
    return [name for name, weight in match.shares if weight][-1]


def share_zones(*, pool: Pool, views: dict[str, ZoneView]) -> dict[str, float]:
    """The share of each zone of the pool; empty if nothing may serve.

    Overrides go first and ignore the cap. Marked zones leave, up to the cap, and the others of the tier
    take their part. A zone that the cap keeps in stays in the spread: what it can't keep, all of it if it
    has no healthy worker, spills. Where only marked zones could serve, they do: the hold guards against
    flapping, not against serving.
    """
    marked = _marked(pool=pool, views=views)
    usable = [
        zone
        for zone in (*pool.preferred, *pool.fallback)
        if zone in views and views[zone].allowed and views[zone].listed
    ]
    aggregated_health = [zone for zone in usable if zone not in marked]
    if not any(views[zone].healthy for zone in aggregated_health):
        aggregated_health = [zone for zone in usable if views[zone].healthy]
    preferred = [zone for zone in pool.preferred if zone in aggregated_health]
    fallback = [zone for zone in pool.fallback if zone in aggregated_health]
    keeps = {
        zone: min(1.0, views[zone].fraction / constants.ZONE_SPILL_THRESHOLD) if views[zone].healthy else 0.0
        for zone in aggregated_health
    }
    if not any(keeps[zone] for zone in preferred) or not any(keeps[zone] for zone in fallback):
        preferred, fallback = [zone for zone in aggregated_health if keeps[zone]], []
    if not fallback:
        return _normalize(shares={zone: keeps[zone] * views[zone].weight for zone in preferred})
    total = sum(views[zone].weight for zone in preferred)
    shares = {zone: keeps[zone] * views[zone].weight / total for zone in preferred}
    spill = 1.0 - sum(shares.values())
    if spill > 1e-9:
        taken = _normalize(shares={zone: keeps[zone] * views[zone].weight for zone in fallback})
        shares.update({zone: spill * part for zone, part in taken.items()})
    return shares


def draw_zone(*, shares: dict[str, float], rng: random.Random) -> str:
    """A zone by its share: the spray."""
    return rng.choices(list(shares), weights=list(shares.values()))[0]


def _marked(*, pool: Pool, views: dict[str, ZoneView]) -> set[str]:
    zones = [zone for zone in (*pool.preferred, *pool.fallback) if zone in views and views[zone].listed]
    capacity = int(constants.MAX_DRAINED_ZONES_RATIO * len(zones))
    drained = sorted((zone for zone in zones if views[zone].drained), key=lambda zone: (views[zone].fraction, zone))
    return set(drained[:capacity])


def _normalize(*, shares: dict[str, float]) -> dict[str, float]:
    total = sum(shares.values())
    return {zone: share / total for zone, share in shares.items()} if total else {}
