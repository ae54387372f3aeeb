"""Forecast of the effects that a configuration would have on the current fleet."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from sailward.config.residency import find_home_zones


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One finding: a fault, a warning or a note."""

    kind: str
    path: str
    text: str


def forecast(*, full: dict, current_full: dict, workers: list, rates: dict, states: dict) -> list[Finding]:
    """Findings for a new configuration's full form, given the current one, the workers, their loads and statuses."""
    ready_workers = [
        worker
        for worker in workers
        if not worker["leaving"] and states.get(f"{worker['id']}/{worker['generation']}", True)
    ]
    return [
        *_find_moves(full=full, old=current_full),
        *_find_unconfigured(full=full, workers=workers),
        *_find_empty_residency(full=full, workers=ready_workers),
        *_find_shortfalls(full=full, workers=ready_workers, rates=rates),
    ]


def zone_shares(*, full: dict) -> dict:
    """{(path, zone): expected fraction of the match's requests while all zones are healthy}."""
    shares: dict = defaultdict(float)
    for match in full.get("matches", []):
        total = sum(share["weight"] for share in match["pools"])
        for share in match["pools"]:
            pool = full["pools"][share["pool"]]
            for zone in pool["preferred"]:
                shares[(match["path"], zone)] += share["weight"] / total / len(pool["preferred"])
    return shares


def _find_moves(*, full: dict, old: dict) -> Iterator[Finding]:
    before, after = zone_shares(full=old), zone_shares(full=full)
    for zone_key in sorted({*before, *after}):
        share_before, share_after = before.get(zone_key, 0.0), after.get(zone_key, 0.0)
        if abs(share_before - share_after) > 1e-9:
            yield Finding(
                kind="note",
                path=f"matches {zone_key[0]}",
                text=f"hall {zone_key[1]} goes from {share_before:.1%} to {share_after:.1%}",
            )


def _find_unconfigured(*, full: dict, workers: list) -> Iterator[Finding]:
    for service in full["services"]:
        if not any(worker["service"] == service for worker in workers):
            yield Finding(kind="warning", path=f"services.{service}", text="no worker of this service is listed")
    for zone in sorted({worker["hall"] for worker in workers} - set(full["halls"])):
        yield Finding(
            kind="warning", path="halls", text=f"workers are listed in {zone!r}, which is not in the configuration"
        )
    for service in sorted({worker["service"] for worker in workers} - set(full["services"])):
        yield Finding(
            kind="warning",
            path="services",
            text=f"workers of {service!r} are listed, which is not in the configuration",
        )


def _find_empty_residency(*, full: dict, workers: list) -> Iterator[Finding]:
    for tenant, name, zones in find_home_zones(full=full):
        service = full["pools"][name]["service"]
        if not any(worker["service"] == service and worker["hall"] in zones for worker in workers):
            yield Finding(
                kind="fault",
                path=f"tenants.{tenant}.homes",
                text=f"no worker of {service!r} is currently in a home region for pool {name!r}",
            )


def _find_shortfalls(*, full: dict, workers: list, rates: dict) -> Iterator[Finding]:
    losses = [("hall", zone, {zone}) for zone in full["halls"]]
    losses += [
        ("region", region, {zone for zone, inner in full["halls"].items() if inner["region"] == region})
        for region in sorted({hall["region"] for hall in full["halls"].values()})
    ]
    for service, service_config in full["services"].items():
        load = rates.get(service, 0.0)
        capacity = sum(service_config["rate"] for worker in workers if worker["service"] == service)
        if load > capacity:
            yield Finding(
                kind="fault",
                path=f"services.{service}.rate",
                text=f"capacity of {capacity:g}/s for a load of {load:.0f}/s",
            )
        for kind, name, zones in losses:
            remaining = sum(
                service_config["rate"]
                for worker in workers
                if worker["service"] == service and worker["hall"] not in zones
            )
            if load > remaining:
                yield Finding(
                    kind="warning",
                    path=f"services.{service}",
                    text=f"without {kind} {name}: capacity of {remaining:g}/s for a load of {load:.0f}/s",
                )
    for name, pool in full["pools"].items():
        regions = {full["halls"][zone]["region"] for zone in (*pool["preferred"], *pool["fallback"])}
        if len(regions) == 1:
            yield Finding(
                kind="warning",
                path=f"pools.{name}",
                text=f"is in region {regions.pop()} only, so it is lost with that region",
            )
