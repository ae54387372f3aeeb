"""Finding the tenants that would be left without a zone in their home regions."""

from __future__ import annotations

from collections.abc import Set

from sailward.config.residency import find_home_zones


def find_tenants_without_home(*, full: dict, evacuated_zones: Set[str]) -> list[str]:
    """The tenants bound to home regions that have a match with a pool whose home zones are all evacuated."""
    return sorted(
        {tenant for tenant, _, zones in find_home_zones(full=full) if zones and set(zones) <= evacuated_zones}
    )
