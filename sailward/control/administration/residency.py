"""Which tenants would have no zone at home."""

from __future__ import annotations

from collections.abc import Set

from sailward.config.residency import find_home_zones


def find_homeless(*, full: dict, emptied: Set[str]) -> list[str]:
    """The bound tenants of whom some match has a pool with every zone at home emptied."""
    return sorted({tenant for tenant, _, zones in find_home_zones(full=full) if zones and set(zones) <= emptied})
