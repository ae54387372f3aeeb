"""Steps of scenarios on the network: cuts of every kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.choosing import choose_spots

if TYPE_CHECKING:
    from simulation.hosted.network import Cut
    from simulation.hosted.world import World

REJECTING_OPTIONS = ("reset", "refuse")
"""Options of a cut that resets or refuses connections, so that it is noticed at once."""


class LinkVerbs:
    """Steps on the network.

    A side is the names of machines, zones, regions, kinds, `leader`, `seed`, or workers (SERVICE@ZONE), joined by +.
    A zone includes its clients; `in:ZONE` and `out:ZONE` are the machines and workers there and elsewhere, without
    clients.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_cut(self, left: str, right: str, seconds: str, *options: str) -> None:
        """Let nothing pass between two sides for some seconds; `one_way`: nothing from left to right.

        Packets are dropped silently unless `reset` or `refuse` is given.
        """
        self._cut(left=left, right=right, seconds=seconds, options=options)

    def do_cut_core(self, machine: str, seconds: str, *options: str) -> None:
        """Cut machines off from the others that hold state; `in`: nothing gets in, `out`: nothing gets out.

        `seeds`: these machines become the first seeds, and some proxies on machines without state are restarted.
        `both`: during the cut these machines are restarted, then the others that hold state.
        """
        world = self._world
        names = sorted(choose_spots(world=world, word=machine))
        isolated = "+".join(names)
        others = "+".join(
            candidate.node.name
            for candidate in world.machines.values()
            if "controller" in candidate.processes and not candidate.is_removed and candidate.node.name not in names
        )
        left, right = (others, isolated) if "in" in options else (isolated, others)
        one_way = ("one_way",) if {"in", "out", "one_way"} & set(options) else ()
        self._cut(left=left, right=right, seconds=seconds, options=(*options, *one_way))
        third = float(seconds) / 3
        if "seeds" in options:
            world.step("seeds", (isolated,))
            plain = [
                candidate.node.name for candidate in world.machines.values() if "controller" not in candidate.processes
            ]
            chosen = "+".join(world.rng.sample(plain, min(2, len(plain)))) if plain else ""
            if chosen:
                world.clock.after(third, lambda: world.step("kill", (f"proxy@{chosen}",)))
        if "both" in options:
            world.clock.after(third, lambda: world.step("kill", (f"all@{isolated}",)))
            world.clock.after(2 * third, lambda: world.step("kill", (f"all@{others}",)))

    def do_cut_zone(self, zone: str, seconds: str, *options: str) -> None:
        """Cut a zone off from the others, with `in` or `out` in one direction only; clients still reach it."""
        left, right = (f"out:{zone}", f"in:{zone}") if "in" in options else (f"in:{zone}", f"out:{zone}")
        one_way = ("one_way",) if {"in", "out"} & set(options) else ()
        self._cut(left=left, right=right, seconds=seconds, options=(*options, *one_way))

    def do_cut_path(self, zone: str, to_zone: str, seconds: str) -> None:
        """Let nothing pass from one zone to another; clients still reach both."""
        self._cut(left=f"in:{zone}", right=f"in:{to_zone}", seconds=seconds, options=("one_way",))

    def _cut(self, *, left: str, right: str, seconds: str, options: tuple) -> Cut:
        world = self._world
        cut = world.network.cut(
            left=choose_spots(world=world, word=left),
            right=choose_spots(world=world, word=right),
            is_one_way="one_way" in options,
            is_rejecting=bool(set(REJECTING_OPTIONS) & set(options)),
        )
        if cut.is_rejecting:
            world.calls.reset_across_cuts()
        world.clock.after(float(seconds), lambda: world.network.heal(cut=cut))
        return cut
