"""Why an exchange would go where: the choosing, told without doing it."""

from __future__ import annotations

from sailward.routing.concurrency_limits import rate_of
from sailward.routing.load_balancer import LoadBalancer
from sailward.routing.proxied_request import part_of
from sailward.routing.shard_owners import pool_at, slot_of, space_of
from sailward.routing.weighted_draw import share_zones


def explain(*, now: float, query: dict, load_balancer: LoadBalancer, acting: bool) -> dict:
    """What this proxy would do with such an exchange now."""
    routing_state = load_balancer.routing_state
    explanation: dict = {
        "acting": acting,
        "config": routing_state.plan.number,
        "emptied": sorted(routing_state.emptied),
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
        part = part_of(path=path, match=match)
        slot, space = slot_of(key=part, slots=service.slots), space_of(homes=tenant.homes, service=service)
        owned = routing_state.slots.find(service=service.name, space=space, slot=slot)
        pool = pool_at(shares=match.shares, slot=slot, slots=service.slots)
        return {
            **explanation,
            "key": part,
            "slot": f"{space}/{slot}",
            "pool": pool,
            "owner": owned.owner if owned else "",
            "open": bool(owned and owned.is_open),
            "term": owned.term if owned else 0,
        }
    total = sum(weight for _, weight in match.shares)
    views = routing_state.views_of(now=now, service=service.name, tenant=tenant)
    explanation["pools"] = {}
    for name, weight in match.shares:
        shares = share_zones(pool=routing_state.plan.pools[name], views=views)
        explanation["pools"][name] = {
            "drawn": round(weight / total, 4),
            "halls": {zone: round(share, 4) for zone, share in shares.items()} or "refuse: no-hall",
        }
    explanation["halls"] = {
        zone: {
            "healthy": view.healthy,
            "listed": view.listed,
            "fraction": round(view.fraction, 3),
            "drained": view.drained,
            "allowed": view.allowed,
        }
        for zone, view in sorted(views.items())
    }
    explanation["workers"] = {
        key: {
            "hall": worker.zone,
            "status": routing_state.prober.probed[key].state,
            "leaving": worker.leaving,
            "open": load_balancer.open.get(key, 0),
            "bound": round(
                rate_of(service=service, warm=now - routing_state.prober.probed[key].slow_start_began_at), 1
            ),
        }
        for key, worker in sorted(routing_state.endpoint_table.workers.items())
        if worker.service == service.name and key in routing_state.prober.probed
    }
    return explanation
