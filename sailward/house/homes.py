"""Which tenants would have no hall at home."""
from __future__ import annotations


def find_homeless(*, full: dict, emptied: set) -> list[str]:
    """The bound tenants of whom some match has a pool with every hall at home emptied."""
    halls, homeless = full.get("halls", {}), set()
    for name, tenant in full.get("tenants", {}).items():
        for match in full.get("matches", []):
            if not tenant["homes"] or (match["tenants"] and name not in match["tenants"]):
                continue
            for share in match["pools"]:
                pool = full["pools"][share["pool"]]
                places = [hall for hall in (*pool["preferred"], *pool["fallback"])
                          if halls[hall]["region"] in tenant["homes"]]
                if share["weight"] and places and set(places) <= emptied:
                    homeless.add(name)
    return sorted(homeless)
