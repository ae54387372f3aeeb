"""Steps of scenarios on processes, machines, disks and clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.choosing import choose_machines
from simulation.hosted.process import RESTART_DELAY

if TYPE_CHECKING:
    from simulation.hosted.process import Machine, Process
    from simulation.hosted.world import World

ZONE_RECOVERY_TIME = 1.5
"""s within which the machines and workers of a zone are back after its power returns."""
EVENT_DELAY = 0.002
"""Maximum delay in s of an event on a slowed machine, per unit of the slowdown factor."""


class MachineVerbs:
    """Steps on processes and machines.

    A PROCESS is ROLE@MACHINE; a MACHINE is a name, zone, region, kind, `all`, `leader`, `reader`, `taker` or `seed`, or
    several of these joined by +.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_start(self) -> None:
        """Start the whole system for the first time."""
        self._world.start()

    def do_kill(self, process: str) -> None:
        """Kill processes; they are restarted after RESTART_DELAY."""
        for target in self._processes(process):
            self._record_trouble(machine=target.machine, seconds=RESTART_DELAY + 0.1)
            target.kill()

    def do_stop(self, process: str) -> None:
        """Stop processes by SIGTERM; they are restarted."""
        for target in self._processes(process):
            grace = self._world.deployment.bounds["grace_s"]
            self._record_trouble(machine=target.machine, seconds=grace + RESTART_DELAY, planned=True)
            target.stop()

    def do_remove(self, machine: str) -> None:
        """Send SIGTERM to all processes of a machine, which is gone for good at the end of the grace period."""
        world = self._world
        grace = world.deployment.bounds["grace_s"]
        for target in self._machines(machine):
            target.listed_until = world.clock.now
            self._record_trouble(machine=target, seconds=grace, planned=True)
            for process in target.processes.values():
                process.is_retired = True
                process.stop()
            world.clock.after(grace + 0.05, lambda target=target: self._remove_for_good(machine=target))

    def do_freeze(self, process: str, seconds: str) -> None:
        """Suspend processes for some seconds."""
        for target in self._processes(process):
            self._record_trouble(machine=target.machine, seconds=float(seconds) + 0.1)
            target.freeze()
            self._world.clock.after(float(seconds), target.thaw)

    def do_slow_node(self, machine: str, times: str, seconds: str) -> None:
        """Slow machines down by the factor `times` for some seconds."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=float(seconds))
            for process in target.processes.values():
                process.delay = EVENT_DELAY * float(times)
                self._world.clock.after(float(seconds), lambda process=process: setattr(process, "delay", 0.0))

    def do_dark(self, machine: str, *options: str) -> None:
        """Cut the power of machines until `light`; `wipe` erases their disks as well."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=float("inf"))
            target.lose_power(wipe="wipe" in options)

    def do_outage(self, machine: str, seconds: str, *options: str) -> None:
        """Cut the power of machines for some seconds, each one separately; `wipe` erases their disks as well."""
        for target in self._machines(machine):
            row = self._record_trouble(machine=target, seconds=float("inf"))
            target.lose_power(wipe="wipe" in options)
            self._world.clock.after(
                float(seconds), lambda target=target, row=row: self._restore_power(machine=target, row=row)
            )

    def do_light(self, machine: str) -> None:
        """Restore the power of machines."""
        for target in self._machines(machine):
            if target.is_powered_off:
                for row in self._world.troubles:
                    if target.node.name in row["names"]:
                        row["until"] = min(row["until"], self._world.clock.now)
                target.start()
        self._world.history.add(t=self._world.clock.now, k="back")

    def do_zone_loss(self, zone: str, seconds: str) -> None:
        """Cut the power of a zone for some seconds.

        Its machines and workers are back within ZONE_RECOVERY_TIME after the power returns.
        """
        world = self._world
        for worker in list(world.workers.values()):
            if zone in worker.node.names and worker.is_up:
                delay = float(seconds) + world.rng.uniform(0.0, ZONE_RECOVERY_TIME)
                world.restart(worker=worker, seconds=delay, is_silent=True)
        for machine in self._machines(zone):
            row = self._record_trouble(machine=machine, seconds=float("inf"))
            machine.lose_power()
            delay = float(seconds) + world.rng.uniform(0.0, ZONE_RECOVERY_TIME)
            world.clock.after(delay, lambda machine=machine, row=row: self._restore_power(machine=machine, row=row))

    def do_replace(self, machine: str, after: str = "1", *options: str) -> None:
        """Remove a machine for good; `after` s later another with its roles, a new address and an empty disk starts.

        `planned`: the new machine starts first, and the old one gets SIGTERM `after` s later.
        """
        world = self._world
        for old in self._machines(machine):
            delay = float(after)
            if "planned" in options:
                self._add_successor(old=old, delay=0.0)
                world.clock.after(delay, lambda old=old: self.do_remove(old.node.name))
            else:
                self._record_trouble(machine=old, seconds=float("inf"))
                self._remove_for_good(machine=old)
                self._add_successor(old=old, delay=delay)

    def do_seeds(self, *machines: str) -> None:
        """Change the seeds in the settings, these machines first; daemons read them at `hup` or at their next start."""
        world = self._world
        chosen = [
            candidate for word in machines for candidate in self._machines(word) if "controller" in candidate.processes
        ]
        rest = [
            machine
            for machine in world.machines.values()
            if "controller" in machine.processes and not machine.is_removed and machine not in chosen
        ]
        world.rng.shuffle(rest)
        world.set_seeds(machines=[*chosen, *rest])

    def do_hup(self, machine: str) -> None:
        """Send SIGHUP: the settings file has changed."""
        for target in self._machines(machine):
            self._world.count["hups"] += 1
            for process in target.processes.values():
                process.reload_settings()

    def do_reset_conns(self, machine: str, share: str) -> None:
        """Reset a share of the machines' connections to workers, both pooled ones and those of calls in flight."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=0.0)
            for process in target.processes.values():
                self._world.calls.reset(process=process, share=float(share))

    def do_reset_connections(self, machine: str, share: str) -> None:
        """Reset a share of the machines' connections, those of callers too."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=0.0)
            for process in target.processes.values():
                process.reset(share=float(share))

    def do_fill(self, machine: str, seconds: str) -> None:
        """Fill disks for some seconds."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=float(seconds))
            target.disk.is_full = True
            self._world.clock.after(float(seconds), lambda target=target: setattr(target.disk, "is_full", False))

    def do_slow_disk(self, machine: str, times: str, seconds: str = "") -> None:
        """Slow down syncs by the factor `times`, for some seconds or from now on."""
        for target in self._machines(machine):
            target.disk.delay_factor = float(times)
            if seconds:
                self._record_trouble(machine=target, seconds=float(seconds))
                self._world.clock.after(float(seconds), lambda target=target: setattr(target.disk, "delay_factor", 1.0))

    def do_stall_disk(self, machine: str, seconds: str) -> None:
        """Stall disks for some seconds; what is written meanwhile is synced at the end."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=float(seconds))
            for process in target.processes.values():
                process.stall(until=self._world.clock.now + float(seconds))

    def do_clock_step(self, machine: str, seconds: str, back_after: str = "") -> None:
        """Step the time of day on machines, and back after some seconds if `back_after` is given."""
        for target in self._machines(machine):
            self._record_trouble(machine=target, seconds=0.0)
            target.clock_skew += float(seconds)
            if back_after:
                name = target.node.name
                self._world.clock.after(
                    float(back_after), lambda name=name: self.do_clock_step(name, str(-float(seconds)))
                )

    def do_mark(self, *kind: str) -> None:
        """Record in the history that a kind of trouble begins."""
        self._world.history.add(t=self._world.clock.now, k="chaos", kind=" ".join(kind))

    def do_list_down(self, seconds: str) -> None:
        """Let the endpoint list answer 503 for some seconds."""
        self._world.listing.is_down = True
        self._world.history.add(t=self._world.clock.now, k="list-down", until=self._world.clock.now + float(seconds))
        self._world.clock.after(float(seconds), lambda: setattr(self._world.listing, "is_down", False))

    def do_on_ack(self, verb: str, *words: str) -> None:
        """Carry out a step at the very moment of the next acknowledgement of a configuration."""
        self._world.on_ack.append(lambda: self._world.step(verb, words))

    def do_upon(self, moment: str, within: str, verb: str, *words: str) -> None:
        """Carry out a step at the next such moment, if it comes within `within` s.

        The moments: a change is `answered` (0 to 4 ms after), a change was `sent` (5 to 400 ms after), or a proxy has
        `taken` a client's request.
        """
        world = self._world

        def run_step() -> None:
            delay = world.rng.uniform(0.005, 0.4) if moment == "sent" else 0.0
            world.count[f"upon-{moment}"] += 1
            world.clock.after(delay, lambda: world.step(verb, words))

        world.steps_by_moment.setdefault(moment, []).append((world.clock.now + float(within), run_step))

    def _restore_power(self, *, machine: Machine, row: dict) -> None:
        row["until"] = min(row["until"], self._world.clock.now)
        machine.start()

    def _add_successor(self, *, old: Machine, delay: float) -> None:
        world = self._world
        name = next(
            name
            for index in range(1, 100)
            if (name := f"{old.node.name.split('-new')[0]}-new{index}") not in world.machines
        )
        successor = world.add_machine(name=name, zone=old.node.zone, has_disk="controller" in old.processes)
        successor.listed_from = world.clock.now + delay + world.deployment.bounds["seed_lag_s"]
        self._record_trouble(machine=successor, seconds=delay)
        successor.is_powered_off = True
        world.clock.after(delay, successor.start)

    def _remove_for_good(self, *, machine: Machine) -> None:
        machine.lose_power(wipe=True)
        machine.is_removed = True
        machine.listed_until = min(machine.listed_until, self._world.clock.now)
        self._record_trouble(machine=machine, seconds=0.0)

    def _record_trouble(self, *, machine: Machine, seconds: float, planned: bool = False) -> dict:
        return self._world.record_trouble(
            names={machine.node.name},
            seconds=seconds,
            core="controller" in machine.processes,
            planned=planned,
        )

    def _machines(self, word: str) -> list[Machine]:
        return choose_machines(world=self._world, word=word)

    def _processes(self, word: str) -> list[Process]:
        role, _, machine_word = word.partition("@")
        machines = self._machines(machine_word)
        return [machine.processes[name] for machine in machines for name in machine.processes if role in (name, "all")]
