"""The configuration in force, made ready for matching."""
from __future__ import annotations

import json
from dataclasses import dataclass, field

from toolz import groupby


@dataclass(frozen=True, kw_only=True)
class Pool:
    """One weighted pool: a service, and its halls in two tiers."""

    name: str
    service: str
    preferred: tuple
    fallback: tuple


@dataclass(frozen=True, kw_only=True)
class Service:
    """What a service bears."""

    name: str
    expiry: float
    rate: float
    cold_rate: float
    cold_ramp: float
    result_bytes: int
    digest_required: bool
    timed_keys: bool
    slots: int
    keys_shared: bool


@dataclass(frozen=True, kw_only=True)
class Tenant:
    """A brand or customer; `homes` empty if it is bound to none."""

    name: str
    homes: frozenset
    share: int


@dataclass(frozen=True, kw_only=True)
class Match:
    """One rule: a path's beginning, methods, tenants, and the pools by weight."""

    path: str
    methods: frozenset
    tenants: frozenset
    shares: tuple


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The whole configuration in force."""

    number: int = 0
    regions: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    pools: dict = field(default_factory=dict)
    tenants: dict = field(default_factory=dict)
    matches: tuple = ()
    index: dict = field(default_factory=dict)

    def match(self, *, path: str, method: str, tenant: str) -> Match | None:
        """The rule for this exchange: longest path first, then the one that names most."""
        for match in (*self.index.get(_first_part(path=path), ()), *self.index.get("", ())):
            if not (path == match.path or path.startswith(match.path.rstrip("/") + "/")):
                continue
            if (not match.methods or method in match.methods) and (not match.tenants or tenant in match.tenants):
                return match
        return None


def _first_part(*, path: str) -> str:
    return path.split("/", 2)[1] if path.startswith("/") else ""


def read_plan(*, value: dict) -> Plan:
    """The plan in a register's value."""
    if not value["text"]:
        return Plan()
    full = json.loads(value["text"])["full"]
    services = {name: Service(name=name, expiry=one["expiry_s"], rate=one["rate"], cold_rate=one["cold_rate"],
                              cold_ramp=one["cold_ramp_s"], result_bytes=one["result_bytes"],
                              digest_required=one["digest_required"], timed_keys=one.get("timed_keys", False), slots=one["slots"],
                              keys_shared=one["keys"] == "shared")
                for name, one in full["services"].items()}
    pools = {name: Pool(name=name, service=one["service"], preferred=tuple(one["preferred"]),
                        fallback=tuple(one["fallback"])) for name, one in full["pools"].items()}
    tenants = {name: Tenant(name=name, homes=frozenset(one["homes"]), share=one["share"])
               for name, one in full["tenants"].items()}
    matches = [Match(path=one["path"], methods=frozenset(one["methods"]), tenants=frozenset(one["tenants"]),
                     shares=tuple((share["pool"], share["weight"]) for share in one["pools"]))
               for one in full["matches"]]
    matches.sort(key=lambda match: (-len(match.path), not match.tenants, not match.methods))
    return Plan(number=value["number"], services=services, pools=pools, tenants=tenants, matches=tuple(matches),
                index=groupby(lambda match: _first_part(path=match.path), matches),
                regions={name: hall["region"] for name, hall in full["halls"].items()})
