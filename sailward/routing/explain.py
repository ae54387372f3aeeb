"""Explains how a request would be routed, without routing it."""

from __future__ import annotations

from sailward.routing.load_balancer import LoadBalancer
from sailward.routing.plan import Match, Service, Tenant
from sailward.routing.proxied_request import shard_key_of
from sailward.routing.rate_limits import rate_of
from sailward.routing.routing_state import RoutingState
from sailward.routing.shard_owners import pool_of_slot, slot_of, space_of
from sailward.routing.weighted_draw import ZoneView, share_zones


def explain(*, now: float, query: dict[str, str], load_balancer: LoadBalancer, is_acting: bool) -> dict:
    """The routing of a request with these query parameters at this proxy now, in the terms of the configuration."""
    routing_state = load_balancer.routing_state
    explanation: dict = {
        "acting": is_acting,
        "config": routing_state.plan.number,
        "emptied": sorted(routing_state.evacuated_zones),
    }
    tenant = routing_state.plan.tenants.get(query.get("tenant", ""))
    if tenant is None:
        return {**explanation, "would": "refuse: tenant-unknown"}
    path = query.get("path", "/")
    match = routing_state.plan.match(path=path, method=query.get("method", "GET"), tenant=tenant.name)
    if match is None:
        return {**explanation, "would": "refuse: unmatched"}
    service = routing_state.plan.services[routing_state.plan.pools[match.shares[0][0]].service]
    explanation |= {"match": match.path, "service": service.name, "homes": sorted(tenant.homes) or "anywhere"}
    if service.slots:
        shard = _explain_shard(routing_state=routing_state, service=service, tenant=tenant, match=match, path=path)
        return {**explanation, **shard}
    views = routing_state.zone_views(now=now, service=service.name, tenant=tenant)
    return {
        **explanation,
        "pools": _explain_pools(routing_state=routing_state, match=match, views=views),
        "halls": _explain_zones(views=views),
        "workers": _explain_workers(now=now, load_balancer=load_balancer, service=service),
    }


def _explain_shard(
    *, routing_state: RoutingState, service: Service, tenant: Tenant, match: Match, path: str
) -> dict[str, str | bool | int]:
    key = shard_key_of(path=path, match=match)
    slot, space = slot_of(key=key, slots=service.slots), space_of(homes=tenant.homes, service=service)
    owned = routing_state.shard_owners.find(service=service.name, space=space, slot=slot)
    return {
        "key": key,
        "slot": f"{space}/{slot}",
        "pool": pool_of_slot(shares=match.shares, slot=slot, slots=service.slots),
        "owner": owned.owner if owned else "",
        "open": bool(owned and owned.is_open),
        "term": owned.term if owned else 0,
    }


def _explain_pools(*, routing_state: RoutingState, match: Match, views: dict[str, ZoneView]) -> dict[str, dict]:
    total = sum(weight for _, weight in match.shares)
    pools = {}
    for name, weight in match.shares:
        shares = share_zones(pool=routing_state.plan.pools[name], views=views)
        pools[name] = {
            "drawn": round(weight / total, 4),
            "halls": {zone: round(share, 4) for zone, share in shares.items()} or "refuse: no-hall",
        }
    return pools


def _explain_zones(*, views: dict[str, ZoneView]) -> dict[str, dict]:
    return {
        zone: {
            "healthy": view.healthy,
            "listed": view.listed,
            "fraction": round(view.healthy_fraction, 3),
            "drained": view.is_drained,
            "allowed": view.is_allowed,
        }
        for zone, view in sorted(views.items())
    }


def _explain_workers(*, now: float, load_balancer: LoadBalancer, service: Service) -> dict[str, dict]:
    routing_state = load_balancer.routing_state
    probed = routing_state.prober.probed
    return {
        key: {
            "hall": worker.zone,
            "status": probed[key].state,
            "leaving": worker.leaving,
            "open": load_balancer.open_requests.get(key, 0),
            "bound": round(rate_of(service=service, healthy_s=now - probed[key].slow_start_began_at), 1),
        }
        for key, worker in sorted(routing_state.endpoint_table.workers.items())
        if worker.service == service.name and key in probed
    }
