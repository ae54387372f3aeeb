"""Weighted selection: first a pool by weight, whatever its health; then a zone of the pool by health."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailward import constants
from sailward.routing.plan import Match, Pool


@dataclass(frozen=True, kw_only=True)
class ZoneView:
    """The state of a zone of the pool's service that the selection uses.

    `is_allowed` already accounts for overrides: evacuations and the tenant's home regions.
    `weight` is the zone's share of requests relative to the other zones of its tier; equal by default.
    """

    healthy_fraction: float
    healthy: int
    listed: int
    is_drained: bool
    is_allowed: bool
    weight: float = 1.0


def draw_pool(*, match: Match, rng: random.Random) -> str:
    """Draw a pool with probability weight / total, regardless of health."""
    total = sum(weight for _, weight in match.shares)
    point = rng.random() * total
    for name, weight in match.shares:
        point -= weight
        if point < 0:
            return name
    return [name for name, weight in match.shares if weight][-1]


def share_zones(*, pool: Pool, views: dict[str, ZoneView]) -> dict[str, float]:
    """The share of each zone of the pool; empty if nothing may serve.

    Overrides apply first and regardless of the cap. Drained zones are excluded, up to the cap on drained zones, and
    the other zones of the tier get their share. A drained zone that the cap keeps in still counts in the distribution:
    the part of its share that it can't serve (all of it if it has no healthy worker) spills over to the fallback tier.
    Where only drained zones could serve, they do: the hold-down protects against flapping and must not refuse requests.
    """
    excluded = _drained_within_cap(pool=pool, views=views)
    usable = [
        zone
        for zone in (*pool.preferred, *pool.fallback)
        if zone in views and views[zone].is_allowed and views[zone].listed
    ]
    available = [zone for zone in usable if zone not in excluded]
    if not any(views[zone].healthy for zone in available):
        available = [zone for zone in usable if views[zone].healthy]
    preferred = [zone for zone in pool.preferred if zone in available]
    fallback = [zone for zone in pool.fallback if zone in available]
    servable_fraction = {
        zone: min(1.0, views[zone].healthy_fraction / constants.ZONE_SPILL_THRESHOLD) if views[zone].healthy else 0.0
        for zone in available
    }
    if not any(servable_fraction[zone] for zone in preferred) or not any(servable_fraction[zone] for zone in fallback):
        preferred, fallback = [zone for zone in available if servable_fraction[zone]], []
    if not fallback:
        return _normalize(shares={zone: servable_fraction[zone] * views[zone].weight for zone in preferred})
    total = sum(views[zone].weight for zone in preferred)
    shares = {zone: servable_fraction[zone] * views[zone].weight / total for zone in preferred}
    spill = 1.0 - sum(shares.values())
    if spill > 1e-9:
        spilled = _normalize(shares={zone: servable_fraction[zone] * views[zone].weight for zone in fallback})
        shares.update({zone: spill * part for zone, part in spilled.items()})
    return shares


def draw_zone(*, shares: dict[str, float], rng: random.Random) -> str:
    """Draw a zone with probability equal to its share."""
    return rng.choices(list(shares), weights=list(shares.values()))[0]


def _drained_within_cap(*, pool: Pool, views: dict[str, ZoneView]) -> set[str]:
    zones = [zone for zone in (*pool.preferred, *pool.fallback) if zone in views and views[zone].listed]
    cap = int(constants.MAX_DRAINED_ZONES_RATIO * len(zones))
    drained = sorted(
        (zone for zone in zones if views[zone].is_drained), key=lambda zone: (views[zone].healthy_fraction, zone)
    )
    return set(drained[:cap])


def _normalize(*, shares: dict[str, float]) -> dict[str, float]:
    total = sum(shares.values())
    return {zone: share / total for zone, share in shares.items()} if total else {}
