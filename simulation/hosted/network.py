"""The simulated network: delays by zone and region, cuts that hold bytes back, and order on each connection."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from simulation.sim.clock import Clock

MACHINE_DELAY, ZONE_DELAY, REGION_DELAY, ABROAD_DELAY, CLIENT_DELAY = 0.0001, 0.0003, 0.0014, 0.055, 0.008
"""One-way delay in s: on one machine, in a zone, between zones, between regions; and the extra delay to clients."""


@dataclass(frozen=True, kw_only=True)
class Node:
    """A place in the network; `names` are the names by which the sides of a cut select it."""

    name: str
    zone: str
    region: str
    names: frozenset
    is_client: bool = False


@dataclass(kw_only=True)
class Cut:
    """A partition: nothing passes between its two sides from `begin` to `end`; with `is_one_way`, only left to right.

    With `is_rejecting`, connections across it are reset when it begins, and new ones are refused at once.
    """

    left: frozenset
    right: frozenset
    begin: float
    end: float = float("inf")
    is_one_way: bool = False
    is_rejecting: bool = False

    def separates(self, *, a: Node, b: Node) -> bool:
        """Are these two on different sides of the cut?"""
        return a.name != b.name and bool(
            (a.names & self.left and b.names & self.right) or (a.names & self.right and b.names & self.left)
        )

    def blocks(self, *, a: Node, b: Node, now: float) -> bool:
        """Does the cut hold back bytes from `a` to `b`?

        A one-way cut blocks both directions after LEASE_DURATION, as data that stays unacknowledged ends a connection.
        """
        if not self.is_one_way or now > self.begin + constants.LEASE_DURATION:
            return self.separates(a=a, b=b)
        return a.name != b.name and bool(a.names & self.left and b.names & self.right)


@dataclass(kw_only=True)
class Network:
    """Carries bytes. `send` runs `act` on the other side after the delay, later, or never."""

    clock: Clock
    rng: random.Random
    cuts: list = field(default_factory=list)
    delay_factor: float = 1.0
    _delayed: list = field(default_factory=list)
    _last_arrival_at: dict = field(default_factory=dict)

    def is_cut(self, *, a: Node, b: Node) -> bool:
        """Does a cut hold back bytes from `a` to `b` now?"""
        return any(cut.blocks(a=a, b=b, now=self.clock.now) for cut in self._active_cuts())

    def is_severed(self, *, a: Node, b: Node) -> bool:
        """Is it impossible to open a new connection between them now?"""
        return any(cut.separates(a=a, b=b) for cut in self._active_cuts())

    def is_refused(self, *, a: Node, b: Node) -> bool:
        """Is a new connection between them refused at once?"""
        return any(cut.is_rejecting and cut.separates(a=a, b=b) for cut in self._active_cuts())

    def _active_cuts(self) -> list:
        return [cut for cut in self.cuts if cut.end == float("inf")]

    def delay(self, *, a: Node, b: Node) -> float:
        """A one-way delay in s."""
        base = (
            MACHINE_DELAY
            if a.name == b.name
            else ZONE_DELAY
            if a.zone == b.zone
            else REGION_DELAY
            if a.region == b.region
            else ABROAD_DELAY
        )
        return self.delay_factor * (base + CLIENT_DELAY * (a.is_client or b.is_client)) * self.rng.uniform(0.95, 1.15)

    def send(
        self,
        *,
        a: Node,
        b: Node,
        act: Callable[[], None],
        stream: object = None,
        wait: float = constants.LEASE_DURATION,
    ) -> None:
        """Send bytes on an open connection. A cut holds them back, and they are lost if it lasts longer than `wait` s.

        Bytes sent with the same `stream` arrive in order.
        """
        if self.is_refused(a=a, b=b):
            return
        if self.is_cut(a=a, b=b):
            self._delayed.append((self.clock.now + wait, a, b, act, stream))
            return
        arrival_at = self.clock.now + self.delay(a=a, b=b)
        if stream is not None:
            arrival_at = max(arrival_at, self._last_arrival_at.get(stream, 0.0) + 1e-6)
            self._last_arrival_at[stream] = arrival_at
        self.clock.at(arrival_at, act)

    def cut(self, *, left: frozenset, right: frozenset, is_one_way: bool = False, is_rejecting: bool = False) -> Cut:
        """Cut these two sides off from each other."""
        cut = Cut(left=left, right=right, begin=self.clock.now, is_one_way=is_one_way, is_rejecting=is_rejecting)
        self.cuts.append(cut)
        return cut

    def heal(self, *, cut: Cut) -> None:
        """End a cut; bytes that are still held back and meet no other cut are sent on."""
        cut.end = min(cut.end, self.clock.now)
        delayed, self._delayed = self._delayed, []
        for until, a, b, act, stream in delayed:
            if self.clock.now <= until:
                self.send(a=a, b=b, act=act, stream=stream)
