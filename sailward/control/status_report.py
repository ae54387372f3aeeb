"""What a controller shows its operators."""

from __future__ import annotations

from dataclasses import dataclass

import sailward
from sailward.control.disaster_recovery import read_founding
from sailward.control.membership import Membership
from sailward.control.repair import count_core
from sailward.control.standing import Standing
from sailward.control.subscribers import Subscribers
from sailward.control.voter import Voter
from sailward.control.worker_list import WorkerList
from sailward.discovery.gossip import Roster, kind_of
from sailward.events import UnexpectedEvents


@dataclass(frozen=True, kw_only=True)
class StatusSources:
    """The parts of a controller that its status is read from."""

    voter: Voter
    roster: Roster
    membership: Membership
    subscribers: Subscribers
    standing: Standing
    worker_list: WorkerList
    unexpected: UnexpectedEvents


def show_status(*, sources: StatusSources, now: float) -> dict:
    """The status of the core, the halls and the proxies, as this controller sees it."""
    voter, roster, subscribers = sources.voter, sources.roster, sources.subscribers
    registers = {
        name: {
            "number": held.value["number"],
            "acknowledged_by": sorted(
                member.entry.get("id", "")
                for member in subscribers.members.values()
                if member.acked.get(name, -1) >= held.value["number"]
                or (member.have.get(name) or [-1])[0] >= held.value["number"]
            ),
        }
        for name, held in voter.held.held.items()
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
        for known in roster.known.values()
    ]
    halls = {
        f"{service}|{hall}": {"state": state.state, "fraction": state.fraction, "for_s": round(now - state.since, 1)}
        for (service, hall), state in sources.standing.book.halls.items()
    }
    core = count_core(
        members=voter.voters["members"], controllers=[*roster.alive(kind="controller"), roster.own_entry()]
    )
    return {
        "id": voter.place.name,
        "core": core,
        "identity": voter.identity,
        "version": sailward.__version__,
        "founding": _show_founding(sources=sources, now=now),
        "post": voter.place.post,
        "voting": voter.voting,
        "disk_usable": voter.ledger.usable,
        "voters": voter.voters,
        "registers": registers,
        "daemons": sorted(daemons, key=lambda one: one["id"]),
        "halls": halls,
        "proxies": len(subscribers.proxies()),
        "list": {"epoch": sources.worker_list.epoch, "revision": sources.worker_list.revision},
        "slots": len(voter.acceptor.slots),
        "rates": _sum_rates(proxies=subscribers.proxies()),
        "well": sorted(sources.standing.warm),
        "unexpected_events": dict(sources.unexpected.counts),
    }


def _show_founding(*, sources: StatusSources, now: float) -> dict:
    founding = read_founding(value=sources.voter.held_voters().value)
    if not founding.number:
        return {}
    return {
        "number": founding.number,
        "survivors": list(founding.survivors),
        "acts": not sources.voter.is_opening,
        "claims": "in-doubt" if sources.membership.doubts(now=now) else "kept",
    }


def _sum_rates(*, proxies: list) -> dict:
    rates: dict = {}
    for proxy in proxies:
        for service, rate in (proxy.report.get("rates") or {}).items():
            rates[service] = round(rates.get(service, 0.0) + rate, 1)
    return rates
