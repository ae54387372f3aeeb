"""Weighted selection: first a pool by weight, whatever its health; then a zone of the pool by health."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailward import constants
from sailward.routing.plan import Match, Pool


@dataclass(frozen=True, kw_only=True)
class ZoneView:
    """The state of a zone of the pool's service that the selection uses.

    `allowed` already accounts for overrides: evacuations and the tenant's home regions.
    `weight` is the zone's share of requests relative to the other zones of its tier; equal by default.
    """

    fraction: float
    healthy: int
    listed: int
    drained: bool
    allowed: bool
    weight: float = 1.0


def draw_pool(*, match: Match, rng: random.Random) -> str:
    """Draw a pool with probability weight / total, regardless of health."""
    total = sum(weight for _, weight in match.shares)
    at = rng.random() * total
    for name, weight in match.shares:
        at -= weight
        if at < 0:
            return name
    return [name for name, weight in match.shares if weight][-1]


def share_zones(*, pool: Pool, views: dict[str, ZoneView]) -> dict[str, float]:
    """The share of each zone of the pool; empty if nothing may serve.

    Overrides apply first and regardless of the cap. Drained zones are taken out, up to the cap on drained zones, and
    the other zones of the tier get their share. A drained zone that the cap keeps in still counts in the distribution:
    the part of its share that it can't serve (all of it if it has no healthy worker) spills over to the fallback tier.
    Where only drained zones could serve, they do: the hold-down protects against flapping and must not refuse requests.
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
    """Draw a zone with probability equal to its share."""
    return rng.choices(list(shares), weights=list(shares.values()))[0]


def _marked(*, pool: Pool, views: dict[str, ZoneView]) -> set[str]:
    zones = [zone for zone in (*pool.preferred, *pool.fallback) if zone in views and views[zone].listed]
    capacity = int(constants.MAX_DRAINED_ZONES_RATIO * len(zones))
    drained = sorted((zone for zone in zones if views[zone].drained), key=lambda zone: (views[zone].fraction, zone))
    return set(drained[:capacity])


def _normalize(*, shares: dict[str, float]) -> dict[str, float]:
    total = sum(shares.values())
    return {zone: share / total for zone, share in shares.items()} if total else {}
