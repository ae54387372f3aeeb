"""The words by which steps name machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.process import Machine
    from simulation.hosted.world import World

ROLES = ("leader", "reader", "taker", "seed")
"""Machines by what they did last: acknowledged an order, read the platform's list, took a client's work; the first
seed."""


def choose_machines(*, world: World, word: str) -> list[Machine]:
    """The machines that are meant by a name, zone, region, kind, `all` or a role, or some of these joined by +."""
    parts = {resolve_role(world=world, word=one) if one in ROLES else one for one in word.split("+")}
    return [
        machine
        for machine in world.machines.values()
        if not machine.is_removed and ("all" in parts or machine.node.names & parts)
    ]


def resolve_role(*, world: World, word: str) -> str:
    """The name of the machine that a role stands for now; of the first that holds state if nobody has played it yet."""
    there = {machine.node.name: machine for machine in world.machines.values() if not machine.is_removed}
    core = [name for name, one in there.items() if "controller" in one.processes]
    if word == "seed":
        posts = {one.ip: name for name, one in there.items()}
        return next((posts[seed.split(":")[0]] for seed in world.seeds if seed.split(":")[0] in posts), core[0])
    found = {"leader": world.leader, "reader": world.reader, "taker": world.taker}[word]
    return found if found in there else core[0]


def choose_spots(*, world: World, word: str) -> frozenset:
    """The names of one side of a cut: words joined by +, with roles and workers (SERVICE@ZONE#2) resolved."""
    names = set()
    for one in word.split("+"):
        if one in ROLES:
            names.add(resolve_role(world=world, word=one))
        elif "@" in one:
            names |= {worker.node.name for worker in choose_workers(world=world, word=one)}
        else:
            names.add(one)
    return frozenset(names)


def choose_workers(*, world: World, word: str) -> list:
    """Workers that are up and stay: SERVICE@ZONE (the first there), SERVICE@ZONE#2 (the second), or SERVICE@all."""
    service, _, where = word.partition("@")
    where, _, at = where.partition("#")
    found = [
        worker
        for worker in world.workers.values()
        if worker.service == service
        and worker.is_up
        and not worker.is_draining
        and (where == "all" or where in worker.node.names)
    ]
    return found if where == "all" else found[int(at or 1) - 1 : int(at or 1)]
