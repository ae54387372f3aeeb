"""What the parts of the simulated platform see of each other: the state of the run, and the two ends of a call.

The parts are typed by these protocols and not by each other's classes, so that no module imports the one that builds
it.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from simulation.history import History
from simulation.hosted.deployment import Deployment
from simulation.hosted.network import Network, Node
from simulation.sim.clock import Clock


class Environment(Protocol):
    """The state of one run: time, network, history, and the daemons and workers by address."""

    deployment: Deployment
    seed: int
    rng: random.Random
    moment_rng: random.Random
    clock: Clock
    end: float
    network: Network
    history: History
    count: collections.Counter
    numbers: Iterator[int]
    attempts: dict
    calls: Any
    list_address: str
    list_node: Node
    listing: Any
    by_inner_address: dict[str, Any]
    by_front_address: dict[str, Any]
    by_address: dict[str, Any]
    leader: str
    reader: str
    taker: str

    def exchange(self, **fields: object) -> Callable[[], None]:
        """Begin one exchange of a client or operator with a listener of a daemon."""

    def on_acknowledged(self) -> None:
        """A configuration was acknowledged."""

    def on_moment(self, *, moment: str) -> None:
        """Run the steps that wait for this moment."""

    def wall(self) -> float:
        """The true time of day, in s."""

    def controllers(self) -> list[Any]:
        """The daemons that serve the operators' API."""

    def directories(self) -> list[Any]:
        """The daemons that serve the directory."""

    def redirect_target(self, *, location: str) -> Any:
        """The controller to which a redirect points."""

    def crash(self, **fields: Any) -> None:
        """Crash a worker."""

    def host(self, **fields: Any) -> Any:
        """The host, with the settings that a daemon is started with."""


class WorkerCall(Protocol):
    """One call in flight, as the worker that serves it sees it."""

    headers: dict[str, str]
    command: Any
    process: Any
    key: int
    deadline_at: float
    failure_mode: str
    sent_at: float

    def send_surplus(self, *, code: int, headers: dict, body: bytes) -> None:
        """The worker sends a surplus response, which is read only when the connection is used again."""

    def respond(self, *, code: int = 0, headers: dict | None = None, body: bytes = b"", fault: str = "") -> None:
        """The worker responds, or the call fails with `fault`."""


class OperatorView(Protocol):
    """An operator, as its calls see it."""

    world: Any
    node: Node
    answer_timeout: float

    def controller_on(self, *, machine: str) -> Any:
        """The controller on this machine."""

    def pick_controller(self, *, avoid: Any) -> Any:
        """Any controller other than `avoid`."""

    def draw_lost_ack(self) -> bool:
        """Draws whether the next acknowledgement is lost."""
