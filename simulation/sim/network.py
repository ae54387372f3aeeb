"""The simulated network, seeded: delay, loss, duplication and partitions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailward import constants

BUFFERED_SHARE = 0.5
"""Share of the data sent into a partition that a socket buffers and may deliver after the partition heals."""


@dataclass(kw_only=True)
class Network:
    """Decides the delay or loss of each message. `cuts` are pairs of label sets that can't reach each other."""

    rng: random.Random
    loss: float = 0.0
    duplication: float = 0.0
    delay_factor: float = 1.0
    cuts: list = field(default_factory=list)
    buffered: list = field(default_factory=list)

    def is_cut(self, *, a: frozenset, b: frozenset) -> bool:
        """Whether a cut separates two endpoints, each given as its labels (name, zone, region, kind)."""
        for left, right in self.cuts:
            does_cross = (a & left and b & right) or (a & right and b & left)
            if does_cross:
                return True
        return False

    def buffer_or_drop(self, *, now: float, deliver) -> None:
        """Handle data sent across a cut: drop it, or buffer it in a socket."""
        if self.rng.random() < BUFFERED_SHARE:
            self.buffered.append((now, deliver))

    def heal(self, *, now: float) -> None:
        """Remove all cuts and deliver what sockets buffered for less than their time-out."""
        self.cuts.clear()
        buffered, self.buffered = self.buffered, []
        for sent_at, deliver in buffered:
            if self.is_within_socket_timeout(elapsed=now - sent_at):
                deliver()

    def is_within_socket_timeout(self, *, elapsed: float) -> bool:
        """Whether a socket still retransmits after `elapsed` s: the product sets TCP_USER_TIMEOUT."""
        return elapsed <= constants.LEASE_DURATION

    def delivers(self, *, is_abandoned: bool) -> bool:
        """Whether the bytes of a call still arrive: those of an abandoned call don't, because its socket is reset."""
        return not is_abandoned

    def delays(self, *, a: frozenset, b: frozenset, is_same_region: bool) -> list[float]:
        """The delay in s of each copy that arrives; empty if the message is lost."""
        if self.is_cut(a=a, b=b) or self.rng.random() < self.loss:
            return []
        copies = 2 if self.rng.random() < self.duplication else 1
        low, high = (0.0003, 0.002) if is_same_region else (0.008, 0.02)
        return [self.delay_factor * self.rng.uniform(low, high) for _ in range(copies)]
