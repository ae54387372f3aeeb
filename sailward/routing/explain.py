"""Why an exchange would go where: the choosing, told without doing it."""

from __future__ import annotations

from sailward.routing.concurrency_limits import rate_of
from sailward.routing.load_balancer import Chooser
from sailward.routing.proxied_request import part_of
from sailward.routing.shard_owners import pool_at, slot_of, space_of
from sailward.routing.weighted_draw import share_halls


def explain(*, now: float, query: dict, chooser: Chooser, acting: bool) -> dict:
    """What this proxy would do with such an exchange now."""
    world = chooser.world
    told: dict = {"acting": acting, "config": world.plan.number, "emptied": sorted(world.emptied)}
    tenant = world.plan.tenants.get(query.get("tenant", ""))
    if tenant is None:
        return {**told, "would": "refuse: tenant-unknown"}
    path = query.get("path", "/")
    match = world.plan.match(path=path, method=query.get("method", "GET"), tenant=tenant.name)
    if match is None:
        return {**told, "would": "refuse: unmatched"}
    service = world.plan.services[world.plan.pools[match.shares[0][0]].service]
    told |= {"match": match.path, "service": service.name, "homes": sorted(tenant.homes) or "anywhere"}
    if service.slots:
        part = part_of(path=path, match=match)
        slot, space = slot_of(key=part, slots=service.slots), space_of(homes=tenant.homes, service=service)
        owned = world.slots.find(service=service.name, space=space, slot=slot)
        pool = pool_at(shares=match.shares, slot=slot, slots=service.slots)
        return {
            **told,
            "key": part,
            "slot": f"{space}/{slot}",
            "pool": pool,
            "owner": owned.owner if owned else "",
            "open": bool(owned and owned.is_open),
            "term": owned.term if owned else 0,
        }
    total = sum(weight for _, weight in match.shares)
    views = world.views_of(now=now, service=service.name, tenant=tenant)
    told["pools"] = {}
    for name, weight in match.shares:
        shares = share_halls(pool=world.plan.pools[name], views=views)
        told["pools"][name] = {
            "drawn": round(weight / total, 4),
            "halls": {hall: round(share, 4) for hall, share in shares.items()} or "refuse: no-hall",
        }
    told["halls"] = {
        hall: {
            "healthy": view.healthy,
            "listed": view.listed,
            "fraction": round(view.fraction, 3),
            "drained": view.drained,
            "allowed": view.allowed,
        }
        for hall, view in sorted(views.items())
    }
    told["workers"] = {
        key: {
            "hall": worker.hall,
            "status": world.prober.probed[key].state,
            "leaving": worker.leaving,
            "open": chooser.open.get(key, 0),
            "bound": round(rate_of(service=service, warm=now - world.prober.probed[key].warm_since), 1),
        }
        for key, worker in sorted(world.book.workers.items())
        if worker.service == service.name and key in world.prober.probed
    }
    return told
