"""What the parts of the simulated platform see of each other: the world of one day, and the two ends of a call.

The parts are typed by these protocols and not by each other's classes, so that no module needs the one that builds it.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from simulation.history import History
from simulation.hosted.deployment import Deployment
from simulation.hosted.network import Network, Spot
from simulation.sim.clock import Clock


class Environment(Protocol):
    """The world of one day: time, network, history, and its machines, workers and clients by address."""

    deployment: Deployment
    seed: int
    rng: random.Random
    moments: random.Random
    clock: Clock
    end: float
    network: Network
    history: History
    count: collections.Counter
    numbers: Iterator[int]
    attempts: dict
    calls: Any
    list_address: str
    list_spot: Spot
    listing: Any
    by_post: dict[str, Any]
    by_front: dict[str, Any]
    by_address: dict[str, Any]
    leader: str
    reader: str
    taker: str

    def exchange(self, **fields: object) -> Callable[[], None]:
        """One exchange of somebody outside with an edge of a daemon."""

    def acknowledged(self) -> None:
        """A configuration was acknowledged."""

    def happens(self, *, moment: str) -> None:
        """A moment that steps may wait for."""

    def wall(self) -> float:
        """What a clock shows that is right, in s."""

    def controllers(self) -> list[Any]:
        """The daemons that take operators' calls."""

    def directories(self) -> list[Any]:
        """The daemons that answer who asks where to go."""

    def by_desk(self, *, location: str) -> Any:
        """The controller that a redirect names."""

    def crash(self, **fields: Any) -> None:
        """A worker ends."""

    def host(self, **fields: Any) -> Any:
        """What a daemon is started with."""


class CallLine(Protocol):
    """One call under way, as the worker at its end sees it."""

    headers: dict[str, str]
    command: Any
    process: Any
    key: int
    due: float
    grey: str
    sent_at: float

    def leave_surplus(self, *, code: int, headers: dict, body: bytes) -> None:
        """The worker sends a further answer, which comes only after the connection is used again."""

    def answer(self, *, code: int = 0, headers: dict | None = None, body: bytes = b"", fault: str = "") -> None:
        """The worker says this, or breaks off."""


class OperatorView(Protocol):
    """An operator, as its calls see it."""

    world: Any
    spot: Spot
    patience: float

    def named(self, *, machine: str) -> Any:
        """The controller on this machine."""

    def pick(self, *, avoid: Any) -> Any:
        """Any controller but this one."""

    def loses(self) -> bool:
        """Is an acknowledgement lost now?"""
