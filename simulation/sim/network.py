"""The seeded network: delay, loss, duplication, cuts."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailward import constants

BUFFERED_SHARE = 0.5
"""of what is sent into a cut stays in a socket and may arrive after it heals."""


@dataclass(kw_only=True)
class Network:
    """Says how long a message takes between two places, or that it is lost."""

    rng: random.Random
    loss: float = 0.0
    duplication: float = 0.0
    delay_factor: float = 1.0
    cuts: list = field(default_factory=list)
    buffered: list = field(default_factory=list)

    def is_cut(self, *, a: frozenset, b: frozenset) -> bool:
        """Does a cut stand between these two (each a set of its names: own, zone, region, kind)?"""
        for left, right in self.cuts:
            does_cross = (a & left and b & right) or (a & right and b & left)
            if does_cross:
                return True
        return False

    def buffer_or_drop(self, *, now: float, deliver) -> None:
        """A cut swallows what is sent across it, or a socket holds it."""
        if self.rng.random() < BUFFERED_SHARE:
            self.buffered.append((now, deliver))

    def heal(self, *, now: float) -> None:
        """The cuts are over: what sockets held for less than their timeout arrives."""
        self.cuts.clear()
        buffered, self.buffered = self.buffered, []
        for sent_at, deliver in buffered:
            if self.is_within_socket_timeout(elapsed=now - sent_at):
                deliver()

    def is_within_socket_timeout(self, *, elapsed: float) -> bool:
        """Does a socket still send again after so long? Ours have a user timeout."""
        return elapsed <= constants.LEASE_DURATION

    def delivers(self, *, is_abandoned: bool) -> bool:
        """Do the bytes of a call still arrive? Not those of one that was given up: its socket is reset."""
        return not is_abandoned

    def delays(self, *, a: frozenset, b: frozenset, is_same_region: bool) -> list[float]:
        """The delays of each copy that arrives: none if it is lost."""
        if self.is_cut(a=a, b=b) or self.rng.random() < self.loss:
            return []
        copies = 2 if self.rng.random() < self.duplication else 1
        low, high = (0.0003, 0.002) if is_same_region else (0.008, 0.02)
        return [self.delay_factor * self.rng.uniform(low, high) for _ in range(copies)]
