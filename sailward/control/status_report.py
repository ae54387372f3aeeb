"""What a controller shows its operators."""

from __future__ import annotations

import sailward
from sailward.control.disaster_recovery import read_founding
from sailward.control.repair import count_core
from sailward.discovery.gossip import kind_of


def show_status(*, controller, now: float) -> dict:
    """The status of the core, the halls and the proxies, as this controller sees it."""
    registers = {
        name: {
            "number": held.value["number"],
            "acknowledged_by": sorted(
                member.entry.get("id", "")
                for member in controller.subscribers.members.values()
                if member.acked.get(name, -1) >= held.value["number"]
                or (member.have.get(name) or [-1])[0] >= held.value["number"]
            ),
        }
        for name, held in controller.held.held.items()
    }
    daemons = [
        {
            "id": known.entry["id"],
            "kind": kind_of(entry=known.entry),
            "hall": known.entry["hall"],
            "fit": known.entry["fit"],
            "lost": known.lost,
            "version": known.entry["version"],
            "http": known.entry["http"],
        }
        for known in controller.roster.known.values()
    ]
    halls = {
        f"{service}|{hall}": {"state": state.state, "fraction": state.fraction, "for_s": round(now - state.since, 1)}
        for (service, hall), state in controller.standing.book.halls.items()
    }
    core = count_core(
        members=controller.voters["members"],
        controllers=[*controller.roster.alive(kind="controller"), controller.roster.own_entry()],
    )
    return {
        "id": controller.place.name,
        "core": core,
        "identity": controller.identity,
        "version": sailward.__version__,
        "founding": _show_founding(controller=controller, now=now),
        "post": controller.place.post,
        "voting": controller.voting,
        "disk_usable": controller.ledger.usable,
        "voters": controller.voters,
        "registers": registers,
        "daemons": sorted(daemons, key=lambda one: one["id"]),
        "halls": halls,
        "proxies": len(controller.subscribers.proxies()),
        "list": {"epoch": controller.workers[0], "revision": controller.workers[1]},
        "slots": len(controller.acceptor.slots),
        "rates": _sum_rates(proxies=controller.subscribers.proxies()),
        "well": sorted(controller.standing.warm),
    }


def _show_founding(*, controller, now: float) -> dict:
    founding = read_founding(value=controller.held.held["voters"].value) if "voters" in controller.held.held else None
    if founding is None or not founding.number:
        return {}
    return {
        "number": founding.number,
        "survivors": list(founding.survivors),
        "acts": not controller.membership.is_opening(),
        "claims": "in-doubt" if controller.membership.doubts(now=now) else "kept",
    }


def _sum_rates(*, proxies: list) -> dict:
    rates: dict = {}
    for proxy in proxies:
        for service, rate in (proxy.report.get("rates") or {}).items():
            rates[service] = round(rates.get(service, 0.0) + rate, 1)
    return rates
