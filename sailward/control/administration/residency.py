"""Which tenants would have no hall at home."""

from __future__ import annotations

from collections.abc import Set

from sailward.config.residency import find_home_halls


def find_homeless(*, full: dict, emptied: Set[str]) -> list[str]:
    """The bound tenants of whom some match has a pool with every hall at home emptied."""
    return sorted({tenant for tenant, _, halls in find_home_halls(full=full) if halls and set(halls) <= emptied})
