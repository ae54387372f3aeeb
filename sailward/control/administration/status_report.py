"""What a controller shows its operators."""

from __future__ import annotations

from dataclasses import dataclass

import sailward
from sailward import constants
from sailward.control.administration.admin_api import AdminApi
from sailward.control.administration.metrics import show_metrics
from sailward.control.endpoints.endpoint_list import WorkerList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.disaster_recovery import read_founding
from sailward.control.group.membership import Membership
from sailward.control.group.quorum_contact import NEVER
from sailward.control.group.repair import count_core
from sailward.control.group.voter import Voter
from sailward.control.proxies.aggregated_health import Standing
from sailward.control.proxies.subscribers import Subscribers
from sailward.discovery.peer_table import Roster, kind_of
from sailward.events import RefusedInput, UnexpectedEvents


@dataclass(frozen=True, kw_only=True)
class StatusSources:
    """The parts of a controller that its status is read from."""

    voter: Voter
    roster: Roster
    membership: Membership
    contact_watch: ContactWatch
    subscribers: Subscribers
    standing: Standing
    worker_list: WorkerList
    unexpected: UnexpectedEvents
    refused: RefusedInput
    catch_up: CatchUp
    desk: AdminApi


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
        "contact": _show_contact(sources=sources, now=now),
        "voters": voter.voters,
        "registers": registers,
        "daemons": sorted(daemons, key=lambda one: one["id"]),
        "halls": halls,
        "proxies": len(subscribers.proxies()),
        "list": {"epoch": sources.worker_list.epoch, "revision": sources.worker_list.revision},
        "slots": len(voter.acceptor.slots),
        "rates": _sum_rates(proxies=subscribers.proxies()),
        "well": sorted(sources.standing.warm),
        "metrics": show_metrics(sources=sources, now=now),
        "unexpected_events": dict(sources.unexpected.counts),
        "refused_input": dict(sources.refused.counts),
    }


def _show_contact(*, sources: StatusSources, now: float) -> dict:
    """Whether this controller serves, how long ago a majority was in reach, and what it must read before it serves.

    While it serves, `served_age_s` bounds the age of the configuration that it hands out: one that is newer was
    accepted since.
    """
    watch = sources.contact_watch
    shown_at = watch.shown_at(now=now)
    age = round(now - shown_at, 2) if shown_at > NEVER else None
    return {
        "majority": now - shown_at <= constants.CONTACT_LIFE,
        "serves": watch.may_serve(now=now),
        "to_read": sorted(watch.contact.unread),
        "config": sources.voter.held.number(name="config"),
        "served_age_s": age,
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
