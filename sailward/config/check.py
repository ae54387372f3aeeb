"""Checks a configuration: first its shape, then the rules that span several fields."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cerberus import Validator

from sailward import constants
from sailward.config.errors import list_errors
from sailward.config.matches import split_matches
from sailward.config.residency import list_zones
from sailward.config.schema import CONFIG
from sailward.config.template_expansion import expand_stamps
from sailward.json_text import BadJson, load_json


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault of a configuration, and the path of the field that has it."""

    path: str
    reason: str


@dataclass(frozen=True, kw_only=True)
class ValidConfig:
    """A configuration that may be accepted: as written, and in full with its templates expanded."""

    written: dict
    full: dict
    warnings: tuple


@dataclass(frozen=True, kw_only=True)
class InvalidConfig:
    """A configuration that must be refused."""

    faults: tuple


def read_config(*, text: bytes | str) -> dict | InvalidConfig:
    """Parse a JSON object; duplicate names are a fault."""
    if len(text) > constants.MAX_CONFIG_BYTES:
        return InvalidConfig(faults=(Fault(path="", reason=f"longer than {constants.MAX_CONFIG_BYTES} bytes"),))
    duplicates: list[str] = []
    try:
        config = load_json(text=text, duplicates=duplicates)
    except BadJson as fault:
        return InvalidConfig(faults=(Fault(path="", reason=str(fault)),))
    if duplicates:
        return InvalidConfig(faults=tuple(Fault(path=name, reason="given twice") for name in duplicates))
    if not isinstance(config, dict):
        return InvalidConfig(faults=(Fault(path="", reason="not a JSON object"),))
    return config


def check_config(*, config: dict) -> ValidConfig | InvalidConfig:
    """Check a configuration: all its faults, or its full form with warnings."""
    faults, full = _check_shape(config=config)
    if faults:
        return InvalidConfig(faults=tuple(faults))
    if config.get("stamps"):
        full, wrong = expand_stamps(config=config)
        faults = [Fault(path=path, reason=reason) for path, reason in wrong]
        if not faults:
            faults, full = _check_shape(config=full)
        if faults:
            return InvalidConfig(faults=tuple(faults))
    full = {name: part for name, part in full.items() if name not in ("templates", "stamps")}
    faults = [
        *_check_pools(full=full),
        *_check_matches(full=full),
        *_check_residency(full=full),
        *_check_ranged(full=full),
    ]
    faults = faults or list(_check_shared_keys(full=full))
    if faults:
        return InvalidConfig(faults=tuple(faults))
    return ValidConfig(written=config, full=full, warnings=(*_warn_of_caps(full=full), *_warn_of_residency(full=full)))


def _check_shape(*, config: dict) -> tuple[list[Fault], dict]:
    """The faults of the shape, or the document with its defaults filled in.

    Both come from a single cerberus pass, which is slow. There may be hundreds of matches, so those that the quick
    check finds valid are left out of it.
    """
    validator = Validator(CONFIG)
    plain, other_indexes = split_matches(matches=config.get("matches"))
    given = {**config, "matches": [config["matches"][index] for index in other_indexes]} if plain else config
    try:
        is_valid = validator.validate(_without_near(config=given))
    except Exception as fault:  # noqa: BLE001 - cerberus raises various errors on unexpected shapes
        return [Fault(path="", reason=f"unreadable shape: {fault}")], {}
    if not is_valid:
        errors = validator.errors
        if plain:
            errors = {
                name: _locate(errors=inner, other_indexes=other_indexes) if name == "matches" else inner
                for name, inner in errors.items()
            }
        return [Fault(path=path, reason=reason) for path, reason in list_errors(errors=errors)], {}
    full = validator.document
    if plain:
        rest = dict(zip(other_indexes, full["matches"], strict=True))
        full["matches"] = [plain[index] if index in plain else rest[index] for index in range(len(config["matches"]))]
    for name, pool in full["pools"].items():
        if pool.get("tiers") == "near":
            pool["preferred"] = list(config["pools"][name].get("preferred", []))
    return [], full


def _locate(*, errors: list, other_indexes: list) -> list:
    """Map errors of the matches that were checked back to the indexes that these have in the configuration."""
    return [
        {other_indexes[index] if isinstance(index, int) else index: inner for index, inner in error.items()}
        if isinstance(error, dict)
        else error
        for error in errors
    ]


def _without_near(*, config: dict) -> dict:
    """Give pools with "tiers": "near" a placeholder zone list, as they need none but the schema requires one."""
    pools = config.get("pools")
    if not isinstance(pools, dict):
        return config
    near = {
        name: {**pool, "preferred": pool.get("preferred") or ["near"]}
        for name, pool in pools.items()
        if isinstance(pool, dict) and pool.get("tiers") == "near"
    }
    return {**config, "pools": {**pools, **near}} if near else config


def _check_pools(*, full: dict) -> Iterator[Fault]:
    for name, pool in full["pools"].items():
        if pool["service"] not in full["services"]:
            yield Fault(path=f"pools.{name}.service", reason=f"no service {pool['service']!r}")
        listed = [*pool["preferred"], *pool["fallback"]]
        for zone in sorted(set(listed)):
            if zone not in full["halls"]:
                yield Fault(path=f"pools.{name}", reason=f"no hall {zone!r}")
            if listed.count(zone) > 1:
                yield Fault(path=f"pools.{name}", reason=f"hall {zone!r} is listed {listed.count(zone)} times")


def _check_matches(*, full: dict) -> Iterator[Fault]:
    first_seen: dict = {}
    divided: dict = {}
    for index, match in enumerate(full["matches"]):
        path = f"matches.{index}"
        yield from _check_pools_of_match(full=full, match=match, path=f"{path}.pools", divided=divided)
        for tenant in match["tenants"]:
            if tenant not in full["tenants"]:
                yield Fault(path=f"{path}.tenants", reason=f"no tenant {tenant!r}")
        for tenant in match["tenants"] or [""]:
            for method in match["methods"] or [""]:
                first = first_seen.setdefault((match.get("host", ""), match["path"], tenant, method), index)
                if first != index:
                    yield Fault(path=path, reason=f"the same as matches.{first}: it could never be used")


def _check_pools_of_match(*, full: dict, match: dict, path: str, divided: dict) -> Iterator[Fault]:
    """`divided` maps each sharded service to the pools of its matches that were checked so far."""
    if sum(share["weight"] for share in match["pools"]) <= 0:
        yield Fault(path=path, reason="the weights add up to 0")
    known = [share["pool"] for share in match["pools"] if share["pool"] in full["pools"]]
    for index, share in enumerate(match["pools"]):
        if share["pool"] not in full["pools"]:
            yield Fault(path=f"{path}.{index}.pool", reason=f"no pool {share['pool']!r}")
    if not match.get("across") and len({full["pools"][pool]["service"] for pool in known}) > 1:
        yield Fault(path=path, reason="the pools are of different services")
    name = full["pools"][known[0]]["service"] if known else ""
    service = full["services"].get(name)
    if service and service["slots"] and divided.setdefault(name, match["pools"]) != match["pools"]:
        yield Fault(path=path, reason=f"{name!r} is divided: all its matches need the same pools")
    if len(set(known)) < len(known):
        yield Fault(path=path, reason="a pool is listed twice")


def _check_residency(*, full: dict) -> Iterator[Fault]:
    regions = {zone["region"] for zone in full["halls"].values()}
    for name, tenant in full["tenants"].items():
        for home in tenant["homes"]:
            if home not in regions:
                yield Fault(path=f"tenants.{name}.homes", reason=f"no hall stands in region {home!r}")
    for index, match in enumerate(full["matches"]):
        for tenant in match["tenants"] or list(full["tenants"]):
            homes = full["tenants"].get(tenant, {}).get("homes")
            if not homes:
                continue
            for share in match["pools"]:
                pool = full["pools"].get(share["pool"])
                if pool is None or share["weight"] == 0:
                    continue
                zones = list_zones(full=full, pool=pool)
                if not any(full["halls"].get(zone, {}).get("region") in homes for zone in zones):
                    yield Fault(
                        path=f"matches.{index}.pools",
                        reason=f"pool {share['pool']!r} has no hall at home for tenant {tenant!r}",
                    )


def _check_ranged(*, full: dict) -> Iterator[Fault]:
    for name, service in full["services"].items():
        if service["keys"] == "ranged" and service["slots"]:
            yield Fault(path=f"services.{name}.slots", reason="keys in ranges know no slots: leave them at 0")


def _check_shared_keys(*, full: dict) -> Iterator[Fault]:
    for name, service in full["services"].items():
        if not service["slots"] or service["keys"] != "shared":
            continue
        bound = [
            set(full["tenants"][tenant]["homes"])
            for match in full["matches"]
            if full["pools"][match["pools"][0]["pool"]]["service"] == name
            for tenant in match["tenants"] or full["tenants"]
            if full["tenants"][tenant]["homes"]
        ]
        if bound and not set.intersection(*bound):
            yield Fault(path=f"services.{name}.keys", reason="shared by tenants that have no home in common")


def _warn_of_residency(*, full: dict) -> Iterator[Fault]:
    regions = {zone["region"] for zone in full["halls"].values()}
    for index, match in enumerate(full["matches"]):
        for home in match.get("homes", ()):
            if home not in regions:
                yield Fault(path=f"matches.{index}.homes", reason=f"no hall stands in region {home!r}")


def _warn_of_caps(*, full: dict) -> Iterator[Fault]:
    for name, pool in full["pools"].items():
        if pool.get("tiers") == "near":
            continue
        zones = [*pool["preferred"], *pool["fallback"]]
        allowed = int(constants.MAX_DRAINED_ZONES_RATIO * len(zones))
        if len(pool["preferred"]) > allowed:
            yield Fault(
                path=f"pools.{name}",
                reason=f"the drain cap covers {allowed} of {len(pool['preferred'])} "
                "preferred halls: losing all would leave one marked",
            )
        if not pool["fallback"]:
            yield Fault(
                path=f"pools.{name}.fallback",
                reason="no fallback: a lost tier is refused",
            )
