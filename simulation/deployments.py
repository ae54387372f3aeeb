"""Deployments as data, two of users and one of the source: machines, workers, configuration, callers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """One user's fleet; `rate` is the load in requests per second."""

    name: str
    zones: dict
    daemons: tuple
    workers: tuple
    config: dict
    callers: tuple
    rate: float


@dataclass(frozen=True, kw_only=True)
class CallerKind:
    """One kind of caller and its share of all traffic; `shard_keys` is the number of its shard keys."""

    tenant: str
    path: str
    unsafe: bool
    traffic_share: float
    region: str
    retries_at_once: bool = False
    shard_keys: int = 0


def _zones(*regions: tuple) -> dict:
    return {f"{short}-{letter}": region for region, short in regions for letter in "ab"}


def _daemons(*, zones: dict, proxies: int, directories: int) -> tuple:
    names = list(zones)
    rows = [("controller", f"controller-{i}", names[i % 4]) for i in range(4)]
    rows += [("proxy", f"proxy-{i}", names[i % 4]) for i in range(proxies)]
    rows += [("directory", f"directory-{i}", names[(i + 1) % 4]) for i in range(directories)]
    return tuple(rows)


def _workers(*, zones: dict, services: tuple, extra: int = 0) -> tuple:
    rows = [(f"{service}-{zone}-{i}", service, zone) for service in services for zone in zones for i in range(2)]
    first = next(iter(zones))
    rows += [(f"{services[0]}-{first}-{2 + i}", services[0], first) for i in range(extra)]
    return tuple(rows)


def _config(
    *, zones: dict, services: tuple, tenants: dict, split: tuple, expiry: float = 2.0, sharded: str = ""
) -> dict:
    first, second = list(dict.fromkeys(zones.values()))
    first_zones = [zone for zone, region in zones.items() if region == first]
    second_zones = [zone for zone, region in zones.items() if region == second]
    pools, matches = {}, []
    for service in services:
        pools[f"{service}-{first}"] = {"service": service, "preferred": first_zones, "fallback": second_zones}
        pools[f"{service}-{second}"] = {"service": service, "preferred": second_zones, "fallback": first_zones}
        matches.append(
            {
                "path": f"/{service}",
                "pools": [
                    {"pool": f"{service}-{first}", "weight": split[0]},
                    {"pool": f"{service}-{second}", "weight": split[1]},
                ],
            }
        )
    return {
        "halls": {zone: {"region": region} for zone, region in zones.items()},
        "services": {
            service: {"expiry_s": expiry, "rate": 100, "cold_rate": 10, "cold_ramp_s": 10}
            | ({"slots": 32} if service == sharded else {})
            for service in services
        },
        "pools": pools,
        "tenants": tenants,
        "matches": matches,
    }


def make_arriaga() -> Deployment:
    """Wine trade: 11 machines, 4 zones in 2 regions, 32 workers in 4 services, 155 requests/s."""
    zones = _zones(("guadalajara", "gdl"), ("ensenada", "ens"))
    services = ("stock", "orders", "notes", "deliveries")
    tenants = {"restaurants": {}, "hotels": {}, "shops": {}, "tapatia": {"homes": ["guadalajara"]}}
    callers = (
        CallerKind(tenant="restaurants", path="/stock", unsafe=False, traffic_share=0.30, region="guadalajara"),
        CallerKind(tenant="hotels", path="/notes", unsafe=False, traffic_share=0.20, region="ensenada"),
        CallerKind(tenant="restaurants", path="/orders", unsafe=True, traffic_share=0.15, region="guadalajara"),
        CallerKind(tenant="tapatia", path="/orders", unsafe=True, traffic_share=0.10, region="guadalajara"),
        CallerKind(
            tenant="shops",
            path="/deliveries",
            unsafe=False,
            traffic_share=0.15,
            region="ensenada",
            retries_at_once=True,
            shard_keys=60,
        ),
        CallerKind(tenant="tapatia", path="/stock", unsafe=False, traffic_share=0.10, region="guadalajara"),
    )
    return Deployment(
        name="arriaga",
        zones=zones,
        daemons=_daemons(zones=zones, proxies=5, directories=2),
        workers=_workers(zones=zones, services=services),
        callers=callers,
        rate=155.0,
        config=_config(zones=zones, services=services, tenants=tenants, split=(70, 30), sharded="deliveries"),
    )


def make_peachtree() -> Deployment:
    """Desk booking: 12 machines, 4 zones in 2 regions, 33 workers in 4 services, 225 requests/s."""
    zones = _zones(("atlanta", "atl"), ("savannah", "sav"))
    services = ("lookup", "booking", "usage", "occupancy")
    tenants = {"brand-a": {"share": 1}, "brand-b": {"share": 1}, "brand-c": {"share": 1, "homes": ["savannah"]}}
    callers = (
        CallerKind(tenant="brand-a", path="/lookup", unsafe=False, traffic_share=0.30, region="atlanta"),
        CallerKind(tenant="brand-b", path="/lookup", unsafe=False, traffic_share=0.25, region="savannah"),
        CallerKind(tenant="brand-a", path="/booking", unsafe=True, traffic_share=0.15, region="atlanta", shard_keys=40),
        CallerKind(
            tenant="brand-c", path="/booking", unsafe=True, traffic_share=0.10, region="savannah", shard_keys=40
        ),
        CallerKind(tenant="brand-b", path="/usage", unsafe=False, traffic_share=0.10, region="savannah"),
        CallerKind(tenant="brand-c", path="/occupancy", unsafe=False, traffic_share=0.10, region="savannah"),
    )
    return Deployment(
        name="peachtree",
        zones=zones,
        daemons=_daemons(zones=zones, proxies=6, directories=2),
        workers=_workers(zones=zones, services=services, extra=1),
        callers=callers,
        rate=225.0,
        config=_config(zones=zones, services=services, tenants=tenants, split=(60, 40), sharded="booking"),
    )


def make_source() -> Deployment:
    """The source's test bed: three zones in each of two regions, one service, weights 70/30."""
    zones = {f"{region}-{letter}": region for region in ("south", "east") for letter in "abc"}
    callers = (CallerKind(tenant="lab", path="/lab", unsafe=False, traffic_share=1.0, region="south"),)
    daemons = [("controller", f"controller-{i}", list(zones)[i]) for i in range(4)]
    daemons += [("proxy", f"proxy-{i}", list(zones)[2 * i]) for i in range(3)]
    daemons.append(("directory", "directory-0", "east-a"))
    workers = tuple((f"lab-{zone}-{i}", "lab", zone) for zone in zones for i in range(4))
    return Deployment(
        name="source",
        zones=zones,
        daemons=tuple(daemons),
        workers=workers,
        callers=callers,
        rate=50.0,
        config=_config(zones=zones, services=("lab",), tenants={"lab": {}}, split=(70, 30)),
    )


DEPLOYMENTS = {"source": make_source, "arriaga": make_arriaga, "peachtree": make_peachtree}
