"""The source's design: the pool is drawn by weight, before any status; then halls by status."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailward import constants
from sailward.routing.plan import Match, Pool


@dataclass(frozen=True, kw_only=True)
class HallView:
    """A hall of the pool's service as the draw sees it: overrides are already applied by `allowed`.

    `weight` is its part of the spray beside its tier's other halls: even by default.
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


def share_halls(*, pool: Pool, views: dict[str, HallView]) -> dict[str, float]:
    """The share of each hall of the pool; empty if nothing may serve.

    Overrides go first and ignore the cap. Marked halls leave, up to the cap, and the others of the tier
    take their part. A hall that the cap keeps in stays in the spread: what it can't keep, all of it if it
    has no healthy worker, spills. Where only marked halls could serve, they do: the hold guards against
    flapping, not against serving.
    """
    marked = _marked(pool=pool, views=views)
    usable = [
        hall
        for hall in (*pool.preferred, *pool.fallback)
        if hall in views and views[hall].allowed and views[hall].listed
    ]
    standing = [hall for hall in usable if hall not in marked]
    if not any(views[hall].healthy for hall in standing):
        standing = [hall for hall in usable if views[hall].healthy]
    preferred = [hall for hall in pool.preferred if hall in standing]
    fallback = [hall for hall in pool.fallback if hall in standing]
    keeps = {
        hall: min(1.0, views[hall].fraction / constants.SPILL) if views[hall].healthy else 0.0 for hall in standing
    }
    if not any(keeps[hall] for hall in preferred) or not any(keeps[hall] for hall in fallback):
        preferred, fallback = [hall for hall in standing if keeps[hall]], []
    if not fallback:
        return _normalize(shares={hall: keeps[hall] * views[hall].weight for hall in preferred})
    whole = sum(views[hall].weight for hall in preferred)
    shares = {hall: keeps[hall] * views[hall].weight / whole for hall in preferred}
    spill = 1.0 - sum(shares.values())
    if spill > 1e-9:
        taken = _normalize(shares={hall: keeps[hall] * views[hall].weight for hall in fallback})
        shares.update({hall: spill * part for hall, part in taken.items()})
    return shares


def draw_hall(*, shares: dict[str, float], rng: random.Random) -> str:
    """A hall by its share: the spray."""
    return rng.choices(list(shares), weights=list(shares.values()))[0]


def _marked(*, pool: Pool, views: dict[str, HallView]) -> set[str]:
    halls = [hall for hall in (*pool.preferred, *pool.fallback) if hall in views and views[hall].listed]
    room = int(constants.DRAIN_CAP * len(halls))
    drained = sorted((hall for hall in halls if views[hall].drained), key=lambda hall: (views[hall].fraction, hall))
    return set(drained[:room])


def _normalize(*, shares: dict[str, float]) -> dict[str, float]:
    total = sum(shares.values())
    return {hall: share / total for hall, share in shares.items()} if total else {}
