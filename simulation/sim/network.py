"""The seeded network: delay, loss, duplication, cuts."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailward import constants

HELD_PART = 0.5
"""of what is sent into a cut stays in a socket and may arrive after it heals."""


@dataclass(kw_only=True)
class Network:
    """Says how long a message takes between two places, or that it is lost."""

    rng: random.Random
    loss: float = 0.0
    double: float = 0.0
    slow: float = 1.0
    cuts: list = field(default_factory=list)
    held: list = field(default_factory=list)

    def is_cut(self, *, a: frozenset, b: frozenset) -> bool:
        """Does a cut stand between these two (each a set of its names: own, zone, region, kind)?"""
        for left, right in self.cuts:
            one_way = (a & left and b & right) or (a & right and b & left)
            if one_way:
                return True
        return False

    def hold(self, *, now: float, act) -> None:
        """A cut swallows what is sent across it, or a socket holds it."""
        if self.rng.random() < HELD_PART:
            self.held.append((now, act))

    def heal(self, *, now: float) -> None:
        """The cuts are over: what sockets held for less than their timeout arrives."""
        self.cuts.clear()
        held, self.held = self.held, []
        for at, act in held:
            if self.keeps(since=now - at):
                act()

    def keeps(self, *, since: float) -> bool:
        """Does a socket still send again after so long? Ours have a user timeout."""
        return since <= constants.LEASE_DURATION

    def delivers(self, *, given_up: bool) -> bool:
        """Do the bytes of a call still arrive? Not those of one that was given up: its socket is reset."""
        return not given_up

    def delays(self, *, a: frozenset, b: frozenset, near: bool) -> list[float]:
        """The delays of each copy that arrives: none if it is lost."""
        if self.is_cut(a=a, b=b) or self.rng.random() < self.loss:
            return []
        copies = 2 if self.rng.random() < self.double else 1
        low, high = (0.0003, 0.002) if near else (0.008, 0.02)
        return [self.slow * self.rng.uniform(low, high) for _ in range(copies)]
