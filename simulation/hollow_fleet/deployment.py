"""A synthetic deployment of any size: zones, settings, configuration and list of workers in the platform's formats."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

from cerberus import Validator

from sailward.runtime.adapter import load_part

FOLDER = Path(__file__).parent.parent.parent / "platform"
HOSTING = load_part(folder=FOLDER, name="hosting")
merge_patch = load_part(folder=FOLDER, name="config").merge
"""The adapter's function that applies a patch to a configuration."""
PAGE_SIZE = 50
"""Workers in a page of the platform's list, as in production."""
SEED_COUNT = 3
"""Seed addresses in the settings of every daemon."""


@dataclass(frozen=True, kw_only=True)
class Size:
    """The size of a deployment.

    `divided` is how many of the services are sharded. `controllers` 0 stands for one controller in each zone.
    """

    daemons: int = 100
    workers: int = 200
    services: int = 10
    routes: int = 40
    zones: int = 8
    regions: int = 4
    divided: int = 1
    controllers: int = 0
    list_rate: float = 37.0

    @property
    def core(self) -> int:
        """The number of controllers: one in each zone unless given."""
        return self.controllers or self.zones


@lru_cache(maxsize=200000)
def unique_name(*, kind: str, index: int) -> str:
    """A unique name that compresses no better than names in real deployments."""
    return f"{kind}-{hashlib.blake2s(f'{kind}{index}'.encode(), digest_size=4).hexdigest()}"


def zone_name(*, index: int) -> str:
    """The name of a zone."""
    return f"zone-{index}"


def zones_of(*, size: Size) -> dict[str, str]:
    """{zone: region}; zones are assigned to the regions round-robin."""
    return {zone_name(index=index): f"region-{index % size.regions}" for index in range(size.zones)}


def ip_of(*, role: str, index: int) -> str:
    """An IP address that no other daemon has."""
    return f"10.{1 if role == 'controller' else 2}.{index // 250}.{index % 250 + 1}"


@lru_cache(maxsize=1)
def _bounds() -> dict:
    """The `bounds` of the settings, with the adapter's defaults for those not set here."""
    shape = {"bounds": load_part(folder=FOLDER, name="settings").SCHEMA["bounds"]}
    return Validator(shape).normalized({"bounds": {"retry_ratio": 0.2, "retry_slack": 3, "grace_s": 6}})["bounds"]


def settings_of(*, size: Size, role: str, index: int, zones: dict[str, str]) -> dict:
    """The settings of one daemon, as in its settings file."""
    zone = zone_name(index=index % size.zones)
    seeds = [f"{ip_of(role='controller', index=at)}:7000" for at in range(min(SEED_COUNT, size.core))]
    ip = ip_of(role=role, index=index)
    return {
        "node_name": unique_name(kind=role, index=index),
        "ip": ip,
        "zone": zone,
        "region": zones[zone],
        "zones": zones,
        "listen": {
            "front": f"{ip}:8000",
            "readiness": f"{ip}:8001",
            "directory": f"{ip}:8002",
            "control_plane": f"{ip}:8003",
        },
        "inner_port_range": [7000, 7009],
        "seed_nodes": seeds,
        "bootstrap": True,
        "data_dir": "data",
        "fault_budget": {"machines": 1},
        "bounds": _bounds(),
        "cloud_api": {"address": "10.0.0.1:80", "rate_per_s": size.list_rate},
    }


def hosted_of(*, size: Size, role: str, index: int, zones: dict[str, str]) -> object:
    """The result of the adapter for these settings."""
    return HOSTING.hosted_daemon_of(settings=settings_of(size=size, role=role, index=index, zones=zones), role=role)


def service_name(*, size: Size, index: int) -> str:
    """The name of a service; the first ones are sharded."""
    return unique_name(kind="divided" if index < size.divided else "service", index=index)


def make_document(*, size: Size, version: int) -> dict:
    """A complete configuration in the platform's format."""

    def rule(index: int) -> dict:
        return {
            "name": unique_name(kind="route", index=index),
            "route_kind": "idempotent" if index % 2 else "nonidempotent",
            "target_s": 0.4,
            "priority": index % 3,
            "matcher": {"path_prefix": f"/{unique_name(kind='part', index=index)}/"},
            "verdict": {
                "split_to": [{"service": service_name(size=size, index=index % size.services), "weight": 100}],
                "deadline_s": 2.5,
                "max_tries": 2,
                "home_regions": [f"region-{index % size.regions}"] if index % 4 == 0 else [],
            },
        }

    hosts = max(1, size.routes // 40)
    return {
        "generation": f"r{version}",
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_s": 3, "idle_timeout_s": 15},
        "listeners": [
            {
                "hostname": f"{unique_name(kind='host', index=at)}.example",
                "ruleset": [rule(index) for index in range(at, size.routes, hosts)],
            }
            for at in range(hosts)
        ],
        "pools": [
            {
                "name": service_name(size=size, index=index),
                "health_path": "/health",
                "max_conns": 130,
                "cold_s": 3.0,
                "cold_rate_s": 6.0,
                "sharded": index < size.divided,
                "warm_s": 3.0,
            }
            for index in range(size.services)
        ],
    }


def make_patch(*, size: Size, version: int) -> dict:
    """A patch that changes the deadline of one route."""
    single_route = Size(routes=1, services=size.services, regions=size.regions, divided=size.divided)
    listener = make_document(size=single_route, version=version)["listeners"][0]
    listener["ruleset"][0]["verdict"]["deadline_s"] = 2.0 + version % 10 / 10
    return {"generation": f"r{version}", "upsert": {"listeners": [listener]}}


def worker_rows(*, size: Size) -> list[dict]:
    """The platform's rows of all workers, zone by zone."""
    return [
        {
            "id": unique_name(kind="i", index=index),
            "service": service_name(size=size, index=index % size.services),
            "zone": zone_name(index=index % size.zones),
            "address": f"10.{100 + index // 62500}.{index // 250 % 250}.{index % 250 + 1}:9000",
            "state": "admitted",
            "capacity": 4,
            "cold_left_s": 0.0,
        }
        for index in range(size.workers)
    ]


def list_pages(*, size: Size) -> list[bytes]:
    """The platform's list, page by page."""
    rows = worker_rows(size=size)
    starts = range(0, max(1, len(rows)), PAGE_SIZE)
    return [
        json.dumps(
            {
                "instances": rows[at : at + PAGE_SIZE],
                "next_token": str(at + PAGE_SIZE) if at + PAGE_SIZE < len(rows) else None,
            }
        ).encode()
        for at in starts
    ]


def pushed_workers(*, size: Size) -> str:
    """The workers as a controller pushes them."""
    rows = [
        {
            "id": row["id"],
            "generation": 0,
            "service": row["service"],
            "address": row["address"],
            "hall": row["zone"],
            "leaving": False,
            "capacity": row["capacity"],
            "cold_s": 0.0,
        }
        for row in worker_rows(size=size)
    ]
    return json.dumps(rows, separators=(",", ":"))


def pushed_fleet(*, size: Size, zones: dict[str, str]) -> str:
    """The fleet as a controller pushes it."""

    def row(index: int) -> list:
        zone = zone_name(index=index % size.zones)
        return [
            unique_name(kind="proxy", index=index),
            f"{ip_of(role='proxy', index=index)}:8000",
            zone,
            zones[zone],
            True,
        ]

    controllers = [
        [
            f"{ip_of(role='controller', index=at)}:7000",
            zone_name(index=at % size.zones),
            zones[zone_name(index=at % size.zones)],
        ]
        for at in range(size.core)
    ]
    return json.dumps(
        {"proxies": [row(index) for index in range(size.daemons)], "cellars": controllers}, separators=(",", ":")
    )
