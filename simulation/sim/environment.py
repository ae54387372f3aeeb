"""The part of the simulated world that nodes and the simulated platform use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from sailward.events import StartCall
from simulation.history import History
from simulation.sim.clock import Clock
from simulation.sim.network import Network


class Environment(Protocol):
    """The world of one run as its parts see it: time, network, history, and the other nodes by address."""

    seed: int
    clock: Clock
    network: Network
    history: History
    platform: Any
    by_post: dict[str, Any]

    def wall(self) -> float:
        """The true wall-clock time, in s."""

    def count_message(self, *, kind: str) -> None:
        """Count a message between daemons."""

    def call(self, *, caller: Any, command: StartCall, done: Callable[..., None]) -> None:
        """Perform an HTTP call of a daemon to a worker or the platform."""
