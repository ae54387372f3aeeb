"""The steps of scenarios: finds the method that carries out a verb by its name."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING

from simulation.hosted.chaos import Chaos
from simulation.hosted.link_verbs import LinkVerbs
from simulation.hosted.machine_verbs import MachineVerbs
from simulation.hosted.user_verbs import UserVerbs
from simulation.hosted.worker_verbs import WorkerVerbs

if TYPE_CHECKING:
    from simulation.hosted.world import World


class ChaosVerbs:
    """Mixed troubles."""

    def __init__(self, *, world: World) -> None:
        self._chaos = Chaos(world=world, step=lambda *, verb, words: world.step(verb, words))

    def do_chaos(self, seconds: str) -> None:
        """Every kind of trouble, mixed, for `seconds`."""
        self._chaos.begin(seconds=float(seconds))

    def do_closing(self) -> None:
        """A change of the configuration with a fault at the very moment of its acknowledgement.

        All machines have power again after 6 s, and the configuration is read back after 24 s.
        """
        self._chaos.add_closing_fault()


ROLES = ("proxy", "controller", "all")
"""The roles of processes that a step can name."""
PROCESS_VERBS = ("kill", "stop", "freeze")
"""The verbs whose first word names a process."""
VERB_CLASSES = (MachineVerbs, LinkVerbs, WorkerVerbs, UserVerbs, ChaosVerbs)


class Verbs:
    """All verbs of one run. `do` carries out a step."""

    def __init__(self, *, world: World) -> None:
        self._parts = [part(world=world) for part in VERB_CLASSES]
        world.step = self.do

    def do(self, verb: str, words: tuple | list) -> None:
        """Carry out one step."""
        name = method_name(verb=verb)
        next(getattr(part, name) for part in self._parts if hasattr(part, name))(*words)


def method_name(*, verb: str) -> str:
    """The method that carries out a verb."""
    return "do_" + verb.replace("-", "_")


def find_fault(*, verb: str, words: list[str]) -> str:
    """What is wrong with a step as it is written, "" if nothing is."""
    method = next(
        (getattr(part, method_name(verb=verb)) for part in VERB_CLASSES if hasattr(part, method_name(verb=verb))), None
    )
    if method is None:
        return f"unknown verb {verb!r}"
    try:
        inspect.signature(method).bind(None, *words)
    except TypeError as error:
        return f"{verb}: {error}"
    if verb == "on-ack":
        return find_fault(verb=words[0], words=words[1:])
    role = words[0].partition("@")[0] if verb in PROCESS_VERBS else ROLES[0]
    return "" if role in ROLES else f"{verb}: no role {role!r}"
