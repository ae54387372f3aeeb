"""The status document that a controller gives its operators."""

from __future__ import annotations

import sailward
from sailward import constants
from sailward.control.administration.metrics import show_metrics
from sailward.control.administration.status_sources import StatusSources
from sailward.control.group.disaster_recovery import read_last_recovery
from sailward.control.group.quorum_contact import NEVER
from sailward.control.group.repair import count_voting_members
from sailward.discovery.peer_table import PeerTable, kind_of


def show_status(*, sources: StatusSources, now: float) -> dict:
    """The status of the voters, the zones and the proxies, as this controller sees it."""
    voter, peer_table, subscribers = sources.voter, sources.peer_table, sources.subscribers
    voting_counts = count_voting_members(
        members=voter.voters.members, controllers=[*peer_table.alive(kind="controller"), peer_table.own_entry()]
    )
    return {
        "id": voter.location.name,
        "core": voting_counts,
        "identity": voter.identity,
        "version": sailward.__version__,
        "founding": _show_recovery(sources=sources, now=now),
        "post": voter.location.post,
        "voting": voter.is_voting,
        "disk_usable": voter.write_ahead.is_usable,
        "contact": _show_contact(sources=sources, now=now),
        "voters": voter.voters.show(),
        "registers": _show_registers(sources=sources),
        "daemons": _show_daemons(peer_table=peer_table),
        "halls": _show_zones(sources=sources, now=now),
        "proxies": len(subscribers.proxies()),
        "list": {"epoch": sources.endpoint_list.epoch, "revision": sources.endpoint_list.revision},
        "slots": len(voter.acceptor.slots),
        "rates": _sum_rates(proxies=subscribers.proxies()),
        "well": sorted(sources.aggregated_health.healthy_durations),
        "metrics": show_metrics(sources=sources, now=now),
        "unexpected_events": dict(sources.unexpected.counts),
        "refused_input": dict(sources.refused.counts),
    }


def _show_registers(*, sources: StatusSources) -> dict[str, dict]:
    """The number of each register learned here, and the proxies known to have that value or a later one."""
    return {
        name: {
            "number": learned.value["number"],
            "acknowledged_by": sorted(
                member.entry.get("id", "")
                for member in sources.subscribers.members.values()
                if member.acked.get(name, -1) >= learned.value["number"]
                or (member.have.get(name) or [-1])[0] >= learned.value["number"]
            ),
        }
        for name, learned in sources.voter.learner.values.items()
    }


def _show_daemons(*, peer_table: PeerTable) -> list[dict]:
    daemons = [
        {
            "id": known.entry["id"],
            "kind": kind_of(entry=known.entry),
            "hall": known.entry["hall"],
            "fit": known.entry["fit"],
            "lost": known.is_lost,
            "version": known.entry["version"],
            "http": known.entry["http"],
        }
        for known in peer_table.peers.values()
    ]
    return sorted(daemons, key=lambda daemon: daemon["id"])


def _show_zones(*, sources: StatusSources, now: float) -> dict[str, dict]:
    return {
        f"{service}|{zone}": {
            "state": state.state,
            "fraction": state.healthy_fraction,
            "for_s": round(now - state.state_changed_at, 1),
        }
        for (service, zone), state in sources.aggregated_health.table.zones.items()
    }


def _show_contact(*, sources: StatusSources, now: float) -> dict:
    """Whether this controller serves, how long ago it reached a majority, and what it must read before it serves.

    While it serves, `served_age_s` bounds the staleness of the configuration that it hands out: any newer one was
    accepted within that time.
    """
    watch = sources.contact_watch
    last_majority_at = watch.last_majority_at(now=now)
    age = round(now - last_majority_at, 2) if last_majority_at > NEVER else None
    return {
        "majority": now - last_majority_at <= constants.QUORUM_CONTACT_TTL,
        "serves": watch.may_serve(now=now),
        "to_read": sorted(watch.contact.unread_registers),
        "config": sources.voter.learner.number(name="config"),
        "served_age_s": age,
    }


def _show_recovery(*, sources: StatusSources, now: float) -> dict:
    recovery = read_last_recovery(value=sources.voter.learned_voters().value)
    if not recovery.number:
        return {}
    return {
        "number": recovery.number,
        "survivors": list(recovery.survivors),
        "acts": not sources.voter.is_recovering,
        "claims": "in-doubt" if sources.membership.has_unknown_outcomes(now=now) else "kept",
    }


def _sum_rates(*, proxies: list) -> dict:
    rates: dict = {}
    for proxy in proxies:
        for service, rate in (proxy.report.get("rates") or {}).items():
            rates[service] = round(rates.get(service, 0.0) + rate, 1)
    return rates
