"""Proof that every proxy that could act knows a slot closed, and has nothing open in it."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.proposer import majority_of
from sailward.control.proxies.subscribers import Subscriber
from sailward.routing.shard_owners import PREFIX


@dataclass(kw_only=True)
class Closing:
    """One closed slot: since when this controller holds it, under which number, and whether it is clear."""

    since: float
    number: int
    beats: dict
    asked: set = field(default_factory=set)
    is_clear: bool = False


@dataclass(kw_only=True)
class Witness:
    """What one moment proves of a service's closings.

    A proxy acts on grants of a blocking set, which meets every majority of the voters. So the proxies that
    a majority of voters tell of, in beats made after the closing, are all that could act or have sent on.
    """

    service: str
    number: int
    members: dict
    controllers: list
    proxies: list[Subscriber]

    def beats(self) -> dict:
        """The voters' beats at this moment."""
        return {one["identity"]: (one["start"], one["beat"]) for one in self._voters()}

    def look(self, *, closing: Closing, slot: str) -> None:
        """Mark the closing as clear if this moment proves it."""
        told = [one for one in self._voters() if self._is_after(entry=one, closing=closing)]
        for one in self._voters():
            closing.asked |= set(filter(None, one["asks"].split(",")))
        if closing.is_clear or len(told) < majority_of(members=self.members):
            return
        known = {f"{one.entry.get('id')}#{one.entry.get('start')}": one for one in self.proxies}
        closing.is_clear = all(
            name in known and self._has_left(proxy=known[name], closing=closing, slot=slot) for name in closing.asked
        )

    def _voters(self) -> list[dict]:
        return [one for one in self.controllers if one["identity"] in self.members]

    def _is_after(self, *, entry: dict, closing: Closing) -> bool:
        start, beat = closing.beats.get(entry["identity"], (None, 0))
        return entry["start"] == start and entry["beat"] >= beat + 2 and entry["beat"] >= constants.ASKS_BEATS

    def _has_left(self, *, proxy: Subscriber, closing: Closing, slot: str) -> bool:
        have = (proxy.have.get(PREFIX + self.service) or [-1])[0]
        return have >= closing.number and f"{self.service}|{slot}" not in proxy.report.get("busy", ())
