"""Proof that every proxy that could act knows a slot closed, and has nothing open in it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.proposer import majority_size
from sailward.control.proxies.subscribers import Subscriber
from sailward.routing.shard_owners import PREFIX
from sailward.wire_types import PeerEntry


@dataclass(kw_only=True)
class Closing:
    """One closed slot: since when this controller holds it, under which number, and whether it is clear."""

    since: float
    number: int
    heartbeats: dict
    proxy_names: set = field(default_factory=set)
    is_clear: bool = False


@dataclass(kw_only=True)
class Quiescence:
    """What one moment proves of a service's closings.

    A proxy acts on grants of a blocking set, which meets every majority of the voters. So the proxies that
    a majority of voters tell of, in heartbeats made after the closing, are all that could act or have sent on.
    """

    service: str
    number: int
    members: Mapping[str, str]
    controllers: list
    proxies: list[Subscriber]

    def heartbeats(self) -> dict:
        """The voters' heartbeats at this moment."""
        return {voter["identity"]: (voter["start"], voter["beat"]) for voter in self._voters()}

    def check(self, *, closing: Closing, slot: str) -> None:
        """Mark the closing as clear if this moment proves it."""
        reporting = [entry for entry in self._voters() if self._is_after(entry=entry, closing=closing)]
        for voter in self._voters():
            closing.proxy_names |= set(filter(None, voter["asks"].split(",")))
        if closing.is_clear or len(reporting) < majority_size(members=self.members):
            return
        known = {f"{proxy.entry.get('id')}#{proxy.entry.get('start')}": proxy for proxy in self.proxies}
        closing.is_clear = all(
            name in known and self._has_left(proxy=known[name], closing=closing, slot=slot)
            for name in closing.proxy_names
        )

    def _voters(self) -> list[dict]:
        return [controller for controller in self.controllers if controller["identity"] in self.members]

    def _is_after(self, *, entry: PeerEntry, closing: Closing) -> bool:
        start, heartbeat = closing.heartbeats.get(entry["identity"], (None, 0))
        return (
            entry["start"] == start
            and entry["beat"] >= heartbeat + 2
            and entry["beat"] >= constants.PROXY_ACTIVITY_HEARTBEATS
        )

    def _has_left(self, *, proxy: Subscriber, closing: Closing, slot: str) -> bool:
        have = (proxy.have.get(PREFIX + self.service) or [-1])[0]
        return have >= closing.number and f"{self.service}|{slot}" not in proxy.report.get("busy", ())
