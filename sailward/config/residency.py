"""The zones in which tenants with home regions may be served."""

from __future__ import annotations

from collections.abc import Iterator


def list_zones(*, full: dict, pool: dict) -> list[str]:
    """The zones that may serve a pool: all of them if its tiers depend on the proxy's own zone."""
    if pool.get("tiers") == "near":
        return list(full["halls"])
    return [*pool["preferred"], *pool["fallback"]]


def find_home_zones(*, full: dict) -> Iterator[tuple[str, str, list[str]]]:
    """(tenant, pool, the pool's zones in home regions) for each pool that may serve a tenant with home regions."""
    zones = full.get("halls", {})
    for name, tenant in full.get("tenants", {}).items():
        for match in full.get("matches", []):
            if not tenant["homes"] or (match["tenants"] and name not in match["tenants"]):
                continue
            for share in match["pools"]:
                pool = full["pools"][share["pool"]]
                if share["weight"]:
                    yield (
                        name,
                        share["pool"],
                        [zone for zone in list_zones(full=full, pool=pool) if zones[zone]["region"] in tenant["homes"]],
                    )
