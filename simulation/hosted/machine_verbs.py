"""Steps of scenarios on processes, machines, disks and clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.choosing import choose_machines
from simulation.hosted.process import RESTART

if TYPE_CHECKING:
    from simulation.hosted.process import Machine, Process
    from simulation.hosted.world import World

ALL_BACK = 1.5
"""s within which the machines and workers of a zone are back once it has power."""
SLOW_EVENT = 0.002
"""s that an event waits on a slowed machine, at most, for each time that it is slower."""
STALL = 1e6
"""times that a sync takes on a disk that answers nothing: what waits then ends with the stall."""


class MachineVerbs:
    """Processes and machines.

    A PROCESS is ROLE@MACHINE; a MACHINE is a name, zone, region, kind, `all`, `leader`, `reader`, `taker` or `seed`, or
    some of these joined by +.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_start(self) -> None:
        """The whole system starts for the first time."""
        self._world.start()

    def do_kill(self, process: str) -> None:
        """Processes are killed; they come back after a moment."""
        for one in self._processes(process):
            self._record(machine=one.machine, seconds=RESTART + 0.1)
            one.kill()

    def do_stop(self, process: str) -> None:
        """SIGTERM."""
        for one in self._processes(process):
            grace = self._world.deployment.bounds["grace_s"]
            self._record(machine=one.machine, seconds=grace + RESTART, planned=True)
            one.stop()

    def do_remove(self, machine: str) -> None:
        """SIGTERM to all of a machine, which is gone for good at the end of the grace."""
        world = self._world
        grace = world.deployment.bounds["grace_s"]
        for one in self._machines(machine):
            one.listed_until = world.clock.now
            self._record(machine=one, seconds=grace, planned=True)
            for process in one.processes.values():
                process.is_leaving = True
                process.stop()
            world.clock.after(grace + 0.05, lambda one=one: self._bury(machine=one))

    def do_freeze(self, process: str, seconds: str) -> None:
        """Processes stand still for some seconds."""
        for one in self._processes(process):
            self._record(machine=one.machine, seconds=float(seconds) + 0.1)
            one.freeze()
            self._world.clock.after(float(seconds), one.thaw)

    def do_slow_node(self, machine: str, times: str, seconds: str) -> None:
        """Machines run so many times slower."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=float(seconds))
            for process in one.processes.values():
                process.lag = SLOW_EVENT * float(times)
                self._world.clock.after(float(seconds), lambda process=process: setattr(process, "lag", 0.0))

    def do_dark(self, machine: str, *how: str) -> None:
        """Machines lose power; `wipe` takes their disks along. They stay dark until `light`."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=float("inf"))
            one.lose_power(wipe="wipe" in how)

    def do_outage(self, machine: str, seconds: str, *how: str) -> None:
        """Machines lose power for so long, each by itself; `wipe` takes their disks along."""
        for one in self._machines(machine):
            row = self._record(machine=one, seconds=float("inf"))
            one.lose_power(wipe="wipe" in how)
            self._world.clock.after(float(seconds), lambda one=one, row=row: self._power(machine=one, row=row))

    def do_light(self, machine: str) -> None:
        """Machines have power again."""
        for one in self._machines(machine):
            if one.is_dark:
                for row in self._world.troubles:
                    if one.spot.name in row["names"]:
                        row["until"] = min(row["until"], self._world.clock.now)
                one.start()
        self._world.history.add(t=self._world.clock.now, k="back")

    def do_zone_loss(self, zone: str, seconds: str) -> None:
        """A zone is without power; its machines and workers come back within a moment of it."""
        world = self._world
        for worker in list(world.workers.values()):
            if zone in worker.spot.names and worker.is_up:
                back = float(seconds) + world.rng.uniform(0.0, ALL_BACK)
                world.restart(worker=worker, seconds=back, is_silent=True)
        for machine in self._machines(zone):
            row = self._record(machine=machine, seconds=float("inf"))
            machine.lose_power()
            back = float(seconds) + world.rng.uniform(0.0, ALL_BACK)
            world.clock.after(back, lambda machine=machine, row=row: self._power(machine=machine, row=row))

    def do_replace(self, machine: str, after: str = "1", *how: str) -> None:
        """A machine is gone for good; another with its roles, a new address and an empty disk comes so many s later.

        `planned`: the new one comes first, and the old one gets SIGTERM so many s after its start.
        """
        world = self._world
        for old in self._machines(machine):
            delay = float(after)
            if "planned" in how:
                self._add(old=old, delay=0.0)
                world.clock.after(delay, lambda old=old: self.do_remove(old.spot.name))
            else:
                self._record(machine=old, seconds=float("inf"))
                self._bury(machine=old)
                self._add(old=old, delay=delay)

    def do_seeds(self, *machines: str) -> None:
        """The settings name other seeds, these first; `hup` or a start makes daemons read them."""
        world = self._world
        chosen = [one for word in machines for one in self._machines(word) if "controller" in one.processes]
        rest = [
            machine
            for machine in world.machines.values()
            if "controller" in machine.processes and not machine.is_gone and machine not in chosen
        ]
        world.rng.shuffle(rest)
        world.set_seeds(machines=[*chosen, *rest])

    def do_hup(self, machine: str) -> None:
        """SIGHUP: the settings file has changed."""
        for one in self._machines(machine):
            self._world.count["hups"] += 1
            for process in one.processes.values():
                process.hang_up_signal()

    def do_reset_conns(self, machine: str, share: str) -> None:
        """A share of the machines' connections to workers is reset, kept ones and those of calls under way."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=0.0)
            for process in one.processes.values():
                self._world.calls.reset(process=process, share=float(share))

    def do_reset_connections(self, machine: str, share: str) -> None:
        """So many of the connections of machines are reset, those of callers too."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=0.0)
            for process in one.processes.values():
                process.reset(share=float(share))

    def do_fill(self, machine: str, seconds: str) -> None:
        """Disks are full for some seconds."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=float(seconds))
            one.disk.is_full = True
            self._world.clock.after(float(seconds), lambda one=one: setattr(one.disk, "is_full", False))

    def do_slow_disk(self, machine: str, times: str, seconds: str = "") -> None:
        """Syncs take so many times as long, for some seconds or from now on."""
        for one in self._machines(machine):
            one.disk.delay_factor = float(times)
            if seconds:
                self._record(machine=one, seconds=float(seconds))
                self._world.clock.after(float(seconds), lambda one=one: setattr(one.disk, "delay_factor", 1.0))

    def do_stall_disk(self, machine: str, seconds: str) -> None:
        """Disks answer nothing for some seconds; what was written then is synced at the end."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=float(seconds))
            for process in one.processes.values():
                process.stall(until=self._world.clock.now + float(seconds))

    def do_clock_step(self, machine: str, seconds: str, back_after: str = "") -> None:
        """The time of day jumps on machines, and back after some seconds."""
        for one in self._machines(machine):
            self._record(machine=one, seconds=0.0)
            one.skew += float(seconds)
            if back_after:
                name = one.spot.name
                self._world.clock.after(
                    float(back_after), lambda name=name: self.do_clock_step(name, str(-float(seconds)))
                )

    def do_mark(self, *kind: str) -> None:
        """A kind of trouble begins: the history says so."""
        self._world.history.add(t=self._world.clock.now, k="chaos", kind=" ".join(kind))

    def do_list_down(self, seconds: str) -> None:
        """The platform's list answers 503 for some seconds."""
        self._world.listing.is_down = True
        self._world.history.add(t=self._world.clock.now, k="list-down", until=self._world.clock.now + float(seconds))
        self._world.clock.after(float(seconds), lambda: setattr(self._world.listing, "is_down", False))

    def do_on_ack(self, verb: str, *words: str) -> None:
        """Do a step at the very moment of the next acknowledgement."""
        self._world.on_ack.append(lambda: self._world.step(verb, words))

    def do_upon(self, moment: str, within: str, verb: str, *words: str) -> None:
        """Do a step at a moment that comes within so many s.

        When a change is `answered` (0 to 4 ms after) or was `sent` (5 to 400 ms after), or a client's work is `taken`.
        """
        world = self._world

        def act() -> None:
            delay = world.rng.uniform(0.005, 0.4) if moment == "sent" else 0.0
            world.count[f"upon-{moment}"] += 1
            world.clock.after(delay, lambda: world.step(verb, words))

        world.waiting_for.setdefault(moment, []).append((world.clock.now + float(within), act))

    def _power(self, *, machine: Machine, row: dict) -> None:
        row["until"] = min(row["until"], self._world.clock.now)
        machine.start()

    def _add(self, *, old: Machine, delay: float) -> None:
        world = self._world
        name = next(
            name for at in range(1, 100) if (name := f"{old.spot.name.split('-new')[0]}-new{at}") not in world.machines
        )
        fresh = world.add_machine(name=name, zone=old.spot.zone, has_disk="controller" in old.processes)
        fresh.listed_from = world.clock.now + delay + world.deployment.bounds["seed_lag_s"]
        self._record(machine=fresh, seconds=delay)
        fresh.is_dark = True
        world.clock.after(delay, fresh.start)

    def _bury(self, *, machine: Machine) -> None:
        machine.lose_power(wipe=True)
        machine.is_gone = True
        machine.listed_until = min(machine.listed_until, self._world.clock.now)
        self._record(machine=machine, seconds=0.0)

    def _record(self, *, machine: Machine, seconds: float, planned: bool = False) -> dict:
        return self._world.trouble(
            names={machine.spot.name},
            seconds=seconds,
            core="controller" in machine.processes,
            planned=planned,
        )

    def _machines(self, word: str) -> list[Machine]:
        return choose_machines(world=self._world, word=word)

    def _processes(self, word: str) -> list[Process]:
        role, _, where = word.partition("@")
        found = self._machines(where)
        return [one.processes[name] for one in found for name in one.processes if role in (name, "all")]
