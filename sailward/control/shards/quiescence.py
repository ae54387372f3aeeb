"""Proof that every proxy that could act knows that a slot is closed, and has no request in flight in it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.proposer import majority_size
from sailward.control.proxies.subscribers import Subscriber
from sailward.routing.shard_owners import SHARD_REGISTER_PREFIX
from sailward.wire_types import PeerEntry


@dataclass(kw_only=True)
class ClosedSlot:
    """One closed slot: when this controller first saw it closed, the register's number, and whether it is drained.

    `heartbeats` are the voters' heartbeats at that time, `active_proxies` the proxies that voters have reported since.
    """

    closed_at: float
    register_number: int
    heartbeats: dict
    active_proxies: set = field(default_factory=set)
    is_drained: bool = False


@dataclass(kw_only=True)
class Quiescence:
    """What the current state proves about a service's closed slots.

    A proxy acts on grants of a blocking set, which shares a voter with every majority of the voters. So the proxies
    that a majority of voters report, in heartbeats made after the closing, are all that can act or have forwarded
    requests; to act is to forward requests under a valid lease.
    """

    service: str
    number: int
    members: Mapping[str, str]
    controllers: list
    proxies: list[Subscriber]

    def heartbeats(self) -> dict:
        """The voters' current heartbeats."""
        return {voter["identity"]: (voter["start"], voter["beat"]) for voter in self._voters()}

    def check(self, *, closed_slot: ClosedSlot, slot: str) -> None:
        """Mark the closed slot as drained if the current state proves it."""
        reporting = [
            entry for entry in self._voters() if self._has_heartbeats_since(entry=entry, closed_slot=closed_slot)
        ]
        for voter in self._voters():
            closed_slot.active_proxies |= set(filter(None, voter["asks"].split(",")))
        if closed_slot.is_drained or len(reporting) < majority_size(members=self.members):
            return
        known = {f"{proxy.entry.get('id')}#{proxy.entry.get('start')}": proxy for proxy in self.proxies}
        closed_slot.is_drained = all(
            name in known and self._is_drained(proxy=known[name], closed_slot=closed_slot, slot=slot)
            for name in closed_slot.active_proxies
        )

    def _voters(self) -> list[dict]:
        return [controller for controller in self.controllers if controller["identity"] in self.members]

    def _has_heartbeats_since(self, *, entry: PeerEntry, closed_slot: ClosedSlot) -> bool:
        start, heartbeat = closed_slot.heartbeats.get(entry["identity"], (None, 0))
        return (
            entry["start"] == start
            and entry["beat"] >= heartbeat + 2
            and entry["beat"] >= constants.PROXY_ACTIVITY_HEARTBEATS
        )

    def _is_drained(self, *, proxy: Subscriber, closed_slot: ClosedSlot, slot: str) -> bool:
        known_number = (proxy.have.get(SHARD_REGISTER_PREFIX + self.service) or [-1])[0]
        return known_number >= closed_slot.register_number and f"{self.service}|{slot}" not in proxy.report.get(
            "busy", ()
        )
