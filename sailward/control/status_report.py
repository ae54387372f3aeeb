"""What a cellar shows its operators."""

from __future__ import annotations

import sailward
from sailward.control.disaster_recovery import read_founding
from sailward.control.quorum_contact import NEVER
from sailward.control.repair import count_core


def show_status(*, cellar, now: float) -> dict:
    """The status of the core, the halls and the proxies, as this cellar sees it."""
    registers = {
        name: {
            "number": held.value["number"],
            "acknowledged_by": sorted(
                member.entry.get("id", "")
                for member in cellar.subscribers.members.values()
                if member.acked.get(name, -1) >= held.value["number"]
                or (member.have.get(name) or [-1])[0] >= held.value["number"]
            ),
        }
        for name, held in cellar.held.held.items()
    }
    daemons = [
        {
            "id": known.entry["id"],
            "kind": known.entry["kind"],
            "hall": known.entry["hall"],
            "fit": known.entry["fit"],
            "lost": known.lost,
            "version": known.entry["version"],
            "http": known.entry["http"],
        }
        for known in cellar.roster.known.values()
    ]
    halls = {
        f"{service}|{hall}": {"state": state.state, "fraction": state.fraction, "for_s": round(now - state.since, 1)}
        for (service, hall), state in cellar.standing.book.halls.items()
    }
    core = count_core(
        members=cellar.voters["members"], cellars=[*cellar.roster.alive(kind="cellar"), cellar.roster.own_entry()]
    )
    return {
        "id": cellar.place.name,
        "core": core,
        "identity": cellar.identity,
        "version": sailward.__version__,
        "founding": _show_founding(cellar=cellar, now=now),
        "post": cellar.place.post,
        "voting": cellar.voting,
        "disk_usable": cellar.ledger.usable,
        "contact": _show_contact(cellar=cellar, now=now),
        "voters": cellar.voters,
        "registers": registers,
        "daemons": sorted(daemons, key=lambda one: one["id"]),
        "halls": halls,
        "proxies": len(cellar.subscribers.proxies()),
        "list": {"epoch": cellar.workers[0], "revision": cellar.workers[1]},
        "slots": len(cellar.acceptor.slots),
        "rates": _sum_rates(proxies=cellar.subscribers.proxies()),
        "well": sorted(cellar.standing.warm),
    }


def _show_contact(*, cellar, now: float) -> dict:
    """Is a majority of the voters in reach, how long ago did it answer last, and what must be read before this controller serves.

    While it serves, `served_age_s` bounds the age of what it serves: any configuration that is newer was accepted since then.
    """
    shown_at = cellar.contact.shown_at(now=now, members=cellar.voters["members"], own=cellar.own_vote)
    age = round(now - shown_at, 2) if shown_at > NEVER else None
    served = cellar.held.held.get("config")
    may_serve = cellar.may_serve(now=now)
    return {
        "majority": cellar.contact.has_contact(now=now, members=cellar.voters["members"], own=cellar.own_vote),
        "serves": may_serve,
        "majority_age_s": age,
        "to_read": sorted(cellar.contact.unread),
        "config": served.value["number"] if served else 0,
        "served_age_s": age,
    }


def _show_founding(*, cellar, now: float) -> dict:
    founding = read_founding(value=cellar.held.held["voters"].value) if "voters" in cellar.held.held else None
    if founding is None or not founding.number:
        return {}
    return {
        "number": founding.number,
        "survivors": list(founding.survivors),
        "acts": not cellar.membership.is_opening(),
        "claims": "in-doubt" if cellar.membership.doubts(now=now) else "kept",
    }


def _sum_rates(*, proxies: list) -> dict:
    rates: dict = {}
    for proxy in proxies:
        for service, rate in (proxy.report.get("rates") or {}).items():
            rates[service] = round(rates.get(service, 0.0) + rate, 1)
    return rates
