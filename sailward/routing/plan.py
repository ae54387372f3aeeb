"""The configuration in force, parsed and indexed for matching requests."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from toolz import groupby

from sailward import constants
from sailward.wire_types import RegisterValue

REPEATABLE, ONCE = "repeatable", "once"


@dataclass(frozen=True, kw_only=True)
class Pool:
    """One weighted pool: a service, and its zones in two tiers.

    The tiers of a pool with `is_near` depend on the proxy: the zones of the proxy's own region are preferred, all
    others are the fallback.
    """

    name: str
    service: str
    preferred: tuple
    fallback: tuple
    is_near: bool = False


@dataclass(frozen=True, kw_only=True)
class Service:
    """Settings of a service: rates in requests per s and worker, times in s, sizes in bytes."""

    name: str
    expiry: float
    rate: float
    slow_start_rate: float
    slow_start_ramp: float
    result_bytes: int
    requires_digest: bool
    requires_timed_keys: bool
    slots: int
    has_shared_keys: bool
    is_ranged: bool = False
    health_path: str = "/status"
    connections: int = 0
    slow_start: float = 0.0
    warm_up: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Tenant:
    """A tenant: a brand or customer. `homes` is empty if it is not bound to home regions."""

    name: str
    homes: frozenset
    share: int


@dataclass(frozen=True, kw_only=True)
class Match:
    """One routing rule: a path prefix, methods, tenants, and the weighted pools.

    `kind` is REPEATABLE, ONCE or empty; `expiry` and the `target` response time are in s, 0 if not configured. Of
    waiting requests, those with the lowest `rank` go first.
    """

    path: str
    methods: frozenset
    tenants: frozenset
    shares: tuple
    host: str = ""
    kind: str = ""
    expiry: float = 0.0
    max_attempts: int = 0
    target: float = 0.0
    rank: int = 0
    homes: frozenset = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """May its requests run more than once, according to the configuration?"""
        return self.kind == REPEATABLE


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of clients: request sizes in bytes, and time to send the head and idle time in s."""

    head_bytes: int = constants.MAX_HEAD_BYTES
    body_bytes: int = constants.MAX_BODY_BYTES
    head_wait: float = constants.HEAD_TIMEOUT
    idle_wait: float = constants.HTTP_SERVER_IDLE_TIMEOUT


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The configuration in force.

    `index` holds the matches by (host, first path segment); `label` is the operators' version of the configuration.
    """

    number: int = 0
    regions: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    pools: dict = field(default_factory=dict)
    tenants: dict = field(default_factory=dict)
    matches: tuple = ()
    index: dict = field(default_factory=dict)
    limits: Limits = Limits()
    label: int = 0

    def match(self, *, path: str, method: str, tenant: str, host: str = "") -> Match | None:
        """The rule for this request: longest path first, then rules that name tenants, then those with methods."""
        for match in (*self.index.get((host, _first_segment(path=path)), ()), *self.index.get((host, ""), ())):
            if not (path == match.path or path.startswith(match.path.rstrip("/") + "/")):
                continue
            if (not match.methods or method in match.methods) and (not match.tenants or tenant in match.tenants):
                return match
        return None


def _first_segment(*, path: str) -> str:
    return path.split("/", 2)[1] if path.startswith("/") else ""


@dataclass(frozen=True, kw_only=True)
class Unreadable:
    """Why this version can't read a register's value as a configuration."""

    reason: str


def load_config(
    *, value: RegisterValue, expand: Callable[[dict], dict] | None = None
) -> tuple[dict, Plan] | Unreadable:
    """(full form, plan) of the configuration in a register's value; never raises, whatever the text is."""
    try:
        full = read_full(value=value, expand=expand)
        return full, plan_of(full=full, number=value["number"]) if value["text"] else Plan()
    except Exception as fault:  # noqa: BLE001 - external input of any shape
        return Unreadable(reason=f"{type(fault).__name__}: {fault}"[: constants.MAX_REFUSAL_REASON_LENGTH])


def read_plan(*, value: RegisterValue, expand: Callable[[dict], dict] | None = None) -> Plan:
    """The plan in a register's value; `expand` makes the full form of a value that holds only the written form."""
    return plan_of(full=read_full(value=value, expand=expand), number=value["number"]) if value["text"] else Plan()


def read_full(*, value: RegisterValue, expand: Callable[[dict], dict] | None = None) -> dict:
    """The full form of the configuration in a register's value; empty if it holds none."""
    body = json.loads(value["text"]) if value["text"] else {}
    return expand(body["written"]) if expand and "written" in body and "full" not in body else body.get("full", {})


def plan_of(*, full: dict, number: int) -> Plan:
    """The plan of a configuration in its full form."""
    services = {name: _read_service(name=name, fields=fields) for name, fields in full["services"].items()}
    pools = {name: _read_pool(name=name, fields=fields) for name, fields in full["pools"].items()}
    tenants = {
        name: Tenant(name=name, homes=frozenset(fields["homes"]), share=fields["share"])
        for name, fields in full["tenants"].items()
    }
    matches = [_read_match(fields=fields) for fields in full["matches"]]
    matches.sort(key=lambda match: (-len(match.path), not match.tenants, not match.methods))
    return Plan(
        number=number,
        services=services,
        pools=pools,
        tenants=tenants,
        matches=tuple(matches),
        index=groupby(lambda match: (match.host, _first_segment(path=match.path)), matches),
        limits=Limits(**full.get("limits", {})),
        label=full.get("label", 0),
        regions={name: zone["region"] for name, zone in full["halls"].items()},
    )


def _read_service(*, name: str, fields: dict) -> Service:
    return Service(
        name=name,
        expiry=fields["expiry_s"],
        rate=fields["rate"],
        slow_start_rate=fields["cold_rate"],
        slow_start_ramp=fields["cold_ramp_s"],
        result_bytes=fields["result_bytes"],
        requires_digest=fields["digest_required"],
        requires_timed_keys=fields.get("timed_keys", False),
        slots=fields["slots"],
        has_shared_keys=fields["keys"] == "shared",
        is_ranged=fields["keys"] == "ranged",
        health_path=fields.get("health_path", "/status"),
        connections=fields.get("connections", 0),
        slow_start=fields.get("cold_s", 0.0),
        warm_up=fields.get("warm_s", 0.0),
    )


def _read_pool(*, name: str, fields: dict) -> Pool:
    return Pool(
        name=name,
        service=fields["service"],
        preferred=tuple(fields["preferred"]),
        fallback=tuple(fields["fallback"]),
        is_near=fields.get("tiers") == "near",
    )


def _read_match(*, fields: dict) -> Match:
    return Match(
        path=fields["path"],
        methods=frozenset(fields["methods"]),
        tenants=frozenset(fields["tenants"]),
        shares=tuple((share["pool"], share["weight"]) for share in fields["pools"]),
        host=fields.get("host", ""),
        kind=fields.get("kind", ""),
        expiry=fields.get("expiry_s", 0.0),
        max_attempts=fields.get("tries", 0),
        target=fields.get("target_s", 0.0),
        rank=fields.get("rank", 0),
        homes=frozenset(fields.get("homes", ())),
    )
