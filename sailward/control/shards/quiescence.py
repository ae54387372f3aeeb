"""Proof that every proxy that could act knows that a slot is closed, and has no request in flight in it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.proposer import majority_of
from sailward.control.proxies.subscribers import Subscriber
from sailward.routing.shard_owners import PREFIX
from sailward.wire_types import PeerEntry


@dataclass(kw_only=True)
class Closing:
    """One closed slot: when this controller first saw it closed, the register's number, and whether it is clear."""

    since: float
    number: int
    heartbeats: dict
    proxy_names: set = field(default_factory=set)
    is_clear: bool = False


@dataclass(kw_only=True)
class Quiescence:
    """What the current state proves about a service's closed slots.

    A proxy acts on grants of a blocking set, which shares a voter with every majority of the voters. So the proxies
    that a majority of voters report, in heartbeats made after the closing, are all that can act or have forwarded
    requests.
    """

    service: str
    number: int
    members: Mapping[str, str]
    controllers: list
    proxies: list[Subscriber]

    def heartbeats(self) -> dict:
        """The voters' current heartbeats."""
        return {voter["identity"]: (voter["start"], voter["beat"]) for voter in self._voters()}

    def check(self, *, closing: Closing, slot: str) -> None:
        """Mark the closed slot as clear if the current state proves it."""
        reporting = [entry for entry in self._voters() if self._has_beaten_since(entry=entry, closing=closing)]
        for voter in self._voters():
            closing.proxy_names |= set(filter(None, voter["asks"].split(",")))
        if closing.is_clear or len(reporting) < majority_of(members=self.members):
            return
        known = {f"{proxy.entry.get('id')}#{proxy.entry.get('start')}": proxy for proxy in self.proxies}
        closing.is_clear = all(
            name in known and self._is_drained(proxy=known[name], closing=closing, slot=slot)
            for name in closing.proxy_names
        )

    def _voters(self) -> list[dict]:
        return [controller for controller in self.controllers if controller["identity"] in self.members]

    def _has_beaten_since(self, *, entry: PeerEntry, closing: Closing) -> bool:
        start, heartbeat = closing.heartbeats.get(entry["identity"], (None, 0))
        return (
            entry["start"] == start
            and entry["beat"] >= heartbeat + 2
            and entry["beat"] >= constants.PROXY_ACTIVITY_HEARTBEATS
        )

    def _is_drained(self, *, proxy: Subscriber, closing: Closing, slot: str) -> bool:
        known_number = (proxy.have.get(PREFIX + self.service) or [-1])[0]
        return known_number >= closing.number and f"{self.service}|{slot}" not in proxy.report.get("busy", ())
