"""The steps of scenarios: what happens to machines, links, workers, and what clients and operators do."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING

from simulation.hosted.chaos import Chaos
from simulation.hosted.process import RESTART

if TYPE_CHECKING:
    from simulation.hosted.process import Machine, Process
    from simulation.hosted.workers import Worker
    from simulation.hosted.world import World


ROLES = ("proxy", "controller")
"""The processes that a step can name."""
PROCESS_VERBS = ("kill", "stop", "freeze")
"""The steps whose first word names a process."""


class MachineVerbs:
    """Processes, machines and links. A PROCESS is ROLE@MACHINE, ROLE@all or ROLE@ZONE."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_start(self) -> None:
        """The whole system starts for the first time."""
        self._world.start()

    def do_kill(self, process: str) -> None:
        """Processes are killed; they come back after a moment."""
        for one in self._processes(process):
            self._note(machine=one.machine, seconds=RESTART + 0.1)
            one.kill()

    def do_stop(self, process: str) -> None:
        """SIGTERM."""
        for one in self._processes(process):
            grace = self._world.deployment.bounds["grace_s"]
            self._note(machine=one.machine, seconds=grace + RESTART, planned=True)
            one.stop()

    def do_freeze(self, process: str, seconds: str) -> None:
        """Processes stand still for some seconds."""
        for one in self._processes(process):
            self._note(machine=one.machine, seconds=float(seconds) + 0.1)
            one.freeze()
            self._world.clock.after(float(seconds), one.thaw)

    def do_dark(self, machine: str, *how: str) -> None:
        """Machines lose power; `wipe` takes their disks along. They stay dark until `light`."""
        for one in self._machines(machine):
            self._note(machine=one, seconds=float("inf"))
            one.lose_power(wipe="wipe" in how)

    def do_light(self, machine: str) -> None:
        """Machines have power again."""
        for one in self._machines(machine):
            if one.is_dark:
                for row in self._world.troubles:
                    if one.spot.name in row["names"]:
                        row["until"] = min(row["until"], self._world.clock.now)
                one.start()
        self._world.history.add(t=self._world.clock.now, k="back")

    def do_replace(self, machine: str, *how: str) -> None:
        """A machine is gone for good; another with its roles, a new address and an empty disk comes in its place.

        `planned`: the new one starts first, the old one gets SIGTERM 2 s later, and is gone when it has ended.
        """
        world, old = self._world, self._world.machines[machine]
        if "planned" in how:
            world.clock.after(3.0, lambda: self._retire(machine=old))
        else:
            self._note(machine=old, seconds=float("inf"))
            old.lose_power(wipe=True)
            old.is_gone, old.listed_until = True, world.clock.now
        name = f"{machine}-new"
        fresh = world.add_machine(name=name, zone=old.spot.zone, has_disk="controller" in old.processes)
        fresh.listed_from = world.clock.now + world.deployment.bounds["seed_lag_s"]
        self._note(machine=fresh, seconds=1.0)
        world.clock.after(1.0, fresh.start)

    def _retire(self, *, machine: Machine) -> None:
        """SIGTERM to all its processes; what still runs at the end of the grace is killed, and none starts again."""
        grace = self._world.deployment.bounds["grace_s"]
        self._note(machine=machine, seconds=float("inf"), planned=True)
        machine.is_gone, machine.listed_until = True, self._world.clock.now
        for process in machine.processes.values():
            process.stop()
        self._world.clock.after(grace + 0.1, machine.lose_power)

    def do_cut(self, left: str, right: str, seconds: str) -> None:
        """Nothing passes between two sides for some seconds.

        A side is names of machines, zones, regions or kinds, joined by +.
        """
        self._world.network.cut(left=frozenset(left.split("+")), right=frozenset(right.split("+")))
        self._world.clock.after(float(seconds), self._world.network.heal)

    def do_reset_conns(self, machine: str, share: str) -> None:
        """A share of the machines' connections to workers is reset, kept ones and those of calls under way."""
        for one in self._machines(machine):
            self._note(machine=one, seconds=0.0)
            for process in one.processes.values():
                self._world.calls.reset(process=process, share=float(share))

    def do_fill(self, machine: str, seconds: str) -> None:
        """Disks are full for some seconds."""
        for one in self._machines(machine):
            self._note(machine=one, seconds=float(seconds))
            one.disk.is_full = True
            self._world.clock.after(float(seconds), lambda one=one: setattr(one.disk, "is_full", False))

    def do_slow_disk(self, machine: str, times: str) -> None:
        """Syncs take so many times as long."""
        for one in self._machines(machine):
            one.disk.slow = float(times)

    def do_clock_step(self, machine: str, seconds: str) -> None:
        """The time of day jumps on machines."""
        for one in self._machines(machine):
            self._note(machine=one, seconds=0.0)
            one.skew += float(seconds)

    def do_list_down(self, seconds: str) -> None:
        """The platform's list answers 503 for some seconds."""
        self._world.listing.is_down = True
        self._world.history.add(t=self._world.clock.now, k="list-down", until=self._world.clock.now + float(seconds))
        self._world.clock.after(float(seconds), lambda: setattr(self._world.listing, "is_down", False))

    def do_on_ack(self, verb: str, *words: str) -> None:
        """Do a step at the very moment of the next acknowledgement."""
        self._world.on_ack.append(lambda: getattr(self, "do_" + verb.replace("-", "_"))(*words))

    def _note(self, *, machine: Machine, seconds: float, planned: bool = False) -> None:
        self._world.trouble(
            names={machine.spot.name}, seconds=seconds, core="controller" in machine.processes, planned=planned
        )

    def _machines(self, word: str) -> list[Machine]:
        return [
            one
            for one in self._world.machines.values()
            if not one.is_gone and (word == "all" or word in one.spot.names)
        ]

    def _processes(self, word: str) -> list[Process]:
        role, _, where = word.partition("@")
        return [one.processes[role] for one in self._machines(where) if role in one.processes]


class ChaosVerbs:
    """Mixed troubles."""

    def __init__(self, *, world: World) -> None:
        parts = [part(world=world) for part in (MachineVerbs, WorkerVerbs, PeopleVerbs)]

        def step(*, verb: str, words: tuple) -> None:
            next(getattr(part, name_of(verb=verb)) for part in parts if hasattr(part, name_of(verb=verb)))(*words)

        self._chaos = Chaos(world=world, step=step)

    def do_chaos(self, seconds: str) -> None:
        """Every kind of trouble, mixed, for so long."""
        self._chaos.deal(seconds=float(seconds))

    def do_closing(self) -> None:
        """A closing fault at the very moment of an acknowledgement.

        All is back 6 s later, and is read back 24 s later.
        """
        self._chaos.close()


class WorkerVerbs:
    """Workers. A WORKER is SERVICE@ZONE (its first there), SERVICE@all, or SERVICE@ZONE#2 (the second)."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_crash(self, worker: str, *how: str) -> None:
        """Workers end without a word; `silent` leaves their addresses without an answer."""
        for one in self._workers(worker):
            self._world.crash(worker=one, is_silent="silent" in how)

    def do_drain(self, worker: str) -> None:
        """Workers announce that they leave."""
        for one in self._workers(worker):
            self._world.drain(worker=one)

    def do_release(self, service: str, pause: str) -> None:
        """The workers of a service are replaced one after the other: a new one first, then the old one drains."""
        world = self._world
        for at, old in enumerate(self._workers(f"{service}@all")):
            world.clock.after(at * float(pause), lambda old=old: world.add_worker(service=service, zone=old.spot.zone))
            world.clock.after(at * float(pause) + 0.5, lambda old=old: world.drain(worker=old))

    def do_reuse(self, worker: str, service: str) -> None:
        """A worker leaves, and its address goes to a worker of another service."""
        world = self._world
        for old in self._workers(worker):

            def come(old: Worker = old) -> None:
                world.clock.after(
                    world.deployment.bounds["addr_reuse_s"],
                    lambda: world.add_worker(service=service, zone=old.spot.zone, address=old.address),
                )

            world.drain(worker=old, then=come)

    def do_reuse_crashed(self, worker: str, service: str) -> None:
        """A worker crashes, and its address goes to a worker of another service while the list still names it."""
        world = self._world
        for old in self._workers(worker):
            world.crash(worker=old, is_silent=False)
            world.clock.after(
                world.deployment.bounds["addr_reuse_s"],
                lambda old=old: world.add_worker(service=service, zone=old.spot.zone, address=old.address),
            )

    def do_add(self, service: str, zone: str) -> None:
        """A cold worker comes."""
        self._world.add_worker(service=service, zone=zone)

    def do_chill(self, where: str) -> None:
        """Workers (SERVICE@ZONE, or all of a ZONE) go cold."""
        chosen = (
            self._workers(where)
            if "@" in where
            else [one for one in self._world.workers.values() if where in one.spot.names and one.is_up]
        )
        for one in chosen:
            self._world.chill(worker=one)

    def do_lose(self, worker: str, seconds: str) -> None:
        """Workers run requests and their answers are lost."""
        for one in self._workers(worker):
            one.loses = self._world.clock.now + float(seconds)

    def do_garble(self, worker: str, seconds: str) -> None:
        """Workers hand out wrong bytes."""
        for one in self._workers(worker):
            one.garbles = self._world.clock.now + float(seconds)

    def do_repeat(self, worker: str, seconds: str) -> None:
        """Workers send further answers behind whole ones, which come where the next answer is due."""
        for one in self._workers(worker):
            one.repeats = self._world.clock.now + float(seconds)

    def _workers(self, word: str) -> list[Worker]:
        service, _, where = word.partition("@")
        where, _, at = where.partition("#")
        found = [
            one
            for one in self._world.workers.values()
            if one.service == service
            and one.is_up
            and not one.is_draining
            and (where == "all" or where in one.spot.names)
        ]
        return found if where == "all" else found[int(at or 1) - 1 : int(at or 1)]


class PeopleVerbs:
    """Clients and operators."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_load(self, seconds: str, times: str = "1", *kinds: str) -> None:
        """Clients send at the deployment's rates, or so many times as much, of all kinds or some."""
        chosen = tuple(kind for kind in self._world.deployment.kinds if not kinds or kind.name in kinds)
        self._world.load(until=self._world.clock.now + float(seconds), times=float(times), kinds=chosen)

    def do_hot_key(self, seconds: str, times: str, key: str) -> None:
        """One key of the divided services gets much of the traffic."""
        divided = {one.name for one in self._world.deployment.services if one.is_sharded}
        chosen = tuple(kind for kind in self._world.deployment.kinds if kind.service in divided)
        self._world.load(until=self._world.clock.now + float(seconds), times=float(times), kinds=chosen, key=int(key))

    def do_eager(self, share: str) -> None:
        """So many of the clients try again at once, and often."""
        for at, client in enumerate(self._world.clients):
            client.is_eager = at < float(share) * len(self._world.clients)

    def do_put(self, number: str, *words: str) -> None:
        """`put NUMBER [base=N] [at=MACHINE]`: the whole configuration."""
        given = _given(words=words)
        self._world.operator.put(
            number=int(number), base=int(given["base"]) if "base" in given else None, first=given.get("at", "")
        )

    def do_patch(self, number: str, route: str, *words: str) -> None:
        """`patch NUMBER ROUTE SERVICE=WEIGHT ... [at=MACHINE]`."""
        given = _given(words=words)
        first = given.pop("at", "")
        self._world.operator.patch(
            number=int(number),
            route=route,
            weights={name: float(weight) for name, weight in given.items()},
            first=first,
        )

    def do_drop(self, route: str) -> None:
        """The next whole configuration lacks this route."""
        self._world.operator.dropped += (route,)

    def do_split(self, route: str, *words: str) -> None:
        """The next whole configuration splits a route so."""
        self._world.operator.weights = {
            **self._world.operator.weights,
            route: {name: float(weight) for name, weight in _given(words=words).items()},
        }

    def do_grow(self, routes: str) -> None:
        """The next whole configuration has so many further routes."""
        self._world.operator.added = int(routes)

    def do_put_invalid(self, number: str, way: str) -> None:
        """An invalid configuration: `weight`, `service`, `tries`, `kind`, `host` or `older`."""
        self._world.operator.put(number=int(number), spoil=SPOILS[way])

    def do_evacuate(self, zone: str, *words: str) -> None:
        """Evacuate ZONE [at=MACHINE]: empty a zone."""
        self._world.operator.evacuate(zone=zone, first=_given(words=words).get("at", ""))

    def do_take_back(self, zone: str, *words: str) -> None:
        """take-back ZONE [at=MACHINE]: take a zone back."""
        self._world.operator.evacuate(zone=zone, is_back=True, first=_given(words=words).get("at", ""))

    def do_edit(self, *words: str) -> None:
        """Edit [at=MACHINE] [pause=S]: read the configuration and change a route; `pause` till it is sent again."""
        given = _given(words=words)
        self._world.operator.edit(first=given.get("at", ""), pause=float(given.get("pause", 0)))

    def do_lose_acks(self, share: str) -> None:
        """From now on such a share of the acknowledgements never reaches the operator."""
        self._world.operator.lost_share = float(share)

    def do_read_orders(self) -> None:
        """The operator reads which zones are emptied."""
        self._world.operator.read_orders()

    def do_hang_up(self, seconds: str) -> None:
        """From now on the operator closes its connection after so long without an answer, and asks another daemon."""
        self._world.operator.patience = float(seconds)

    def do_read_back(self, at: str = "") -> None:
        """The operator reads the newest configuration."""
        self._world.operator.read_back(where=at)


def _given(*, words: tuple) -> dict:
    return dict(word.split("=", 1) for word in words)


def _verdict(written: dict) -> dict:
    return written["listeners"][0]["ruleset"][0]["verdict"]


def _spoil_weight(written: dict) -> None:
    _verdict(written).pop("service", None)
    _verdict(written)["split_to"] = [{"service": "notes", "weight": -1}, {"service": "orders", "weight": 2}]


def _spoil_sum(written: dict) -> None:
    _verdict(written).pop("service", None)
    _verdict(written)["split_to"] = [{"service": "notes", "weight": 0}]


SPOILS = {
    "weight": _spoil_weight,
    "sum": _spoil_sum,
    "service": lambda written: _verdict(written).update({"service": "nobody"}),
    "tries": lambda written: _verdict(written).update({"max_tries": 0}),
    "kind": lambda written: written["listeners"][0]["ruleset"][0].update({"route_kind": "sometimes"}),
    "host": lambda written: written["listeners"][0].update({"hostname": ""}),
    "older": lambda written: written.update({"generation": "r1", "limits": {"max_header_bytes": 9000}}),
}
PARTS = (MachineVerbs, WorkerVerbs, PeopleVerbs, ChaosVerbs)


def name_of(*, verb: str) -> str:
    """The method that carries out a verb."""
    return "do_" + verb.replace("-", "_")


def find_fault(*, verb: str, words: list[str]) -> str:
    """What is wrong with a step as it is written; empty if nothing is."""
    method = next((getattr(part, name_of(verb=verb)) for part in PARTS if hasattr(part, name_of(verb=verb))), None)
    if method is None:
        return f"unknown verb {verb!r}"
    try:
        inspect.signature(method).bind(None, *words)
    except TypeError as fault:
        return f"{verb}: {fault}"
    if verb == "on-ack":
        return find_fault(verb=words[0], words=words[1:])
    role = words[0].partition("@")[0] if verb in PROCESS_VERBS else ROLES[0]
    return "" if role in ROLES else f"{verb}: no role {role!r}"
