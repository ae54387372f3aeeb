"""Resolves the words by which steps name machines and workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.process import Machine
    from simulation.hosted.world import World

ROLES = ("leader", "reader", "taker", "seed")
"""Machines by what they did: the last to acknowledge an order, to read the platform's list, to take a client's request;
and the first seed."""


def choose_machines(*, world: World, word: str) -> list[Machine]:
    """The machines that a name, zone, region, kind, `all` or a role stands for, or several of these joined by +."""
    parts = {resolve_role(world=world, word=part) if part in ROLES else part for part in word.split("+")}
    return [
        machine
        for machine in world.machines.values()
        if not machine.is_removed and ("all" in parts or machine.node.names & parts)
    ]


def resolve_role(*, world: World, word: str) -> str:
    """The name of the machine that has this role now; of the first machine that holds state if none has it yet."""
    present = {machine.node.name: machine for machine in world.machines.values() if not machine.is_removed}
    core = [name for name, machine in present.items() if "controller" in machine.processes]
    if word == "seed":
        names_by_ip = {machine.ip: name for name, machine in present.items()}
        return next(
            (names_by_ip[seed.split(":")[0]] for seed in world.seeds if seed.split(":")[0] in names_by_ip), core[0]
        )
    found = {"leader": world.leader, "reader": world.reader, "taker": world.taker}[word]
    return found if found in present else core[0]


def choose_spots(*, world: World, word: str) -> frozenset:
    """The names of one side of a cut: words joined by +, with roles and workers (SERVICE@ZONE#2) resolved."""
    names = set()
    for part in word.split("+"):
        if part in ROLES:
            names.add(resolve_role(world=world, word=part))
        elif "@" in part:
            names |= {worker.node.name for worker in choose_workers(world=world, word=part)}
        else:
            names.add(part)
    return frozenset(names)


def choose_workers(*, world: World, word: str) -> list:
    """Workers that run and don't drain: SERVICE@ZONE (the first there), SERVICE@ZONE#2 (the second) or SERVICE@all."""
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
