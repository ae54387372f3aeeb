"""Scenario steps that act on the workers and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.sim.world import World


class WorkerVerbs:
    """Steps that inject or end faults of workers and of their list."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_service_time(self, low: str, high: str) -> None:
        """Set the service time of workers, drawn between `low` and `high` seconds."""
        self._world.service_time = (float(low), float(high))

    def _machines(self, names: tuple) -> list:
        machines = [
            machine
            for machine in self._world.machines.values()
            if "all" in names or machine.names & set(names) or machine.worker.service in names
        ]
        if not machines:
            raise ValueError(f"no worker is called {names}")
        return machines

    def _end_runs(self, *, key: str) -> None:
        """End the requests that a dead process was running."""
        now = self._world.clock.now
        for row in reversed(self._world.history.rows):
            if row["t"] < now - 10:
                return
            if row["k"] == "run" and row["worker"] == key:
                row["until"] = min(row["until"], now)

    def do_worker_down(self, *names: str) -> None:
        """Kill the workers' processes."""
        for machine in self._machines(names):
            machine.is_up = False
            self._end_runs(key=machine.worker.key)
            self._record(machine=machine, k="worker-down")

    def _record(self, *, machine, k: str) -> None:
        self._world.history.add(
            t=self._world.clock.now,
            k=k,
            worker=machine.worker.key,
            service=machine.worker.service,
            hall=machine.worker.zone,
        )

    def do_worker_up(self, *names: str) -> None:
        """Start the process again, with the same generation but cold."""
        for machine in self._machines(names):
            machine.is_up, machine.worker.started_at = True, self._world.clock.now
            self._record(machine=machine, k="worker-started")

    def do_worker_freeze(self, *names: str) -> None:
        """Suspend the workers' processes."""
        for machine in self._machines(names):
            machine.is_frozen, machine.frozen_at = True, self._world.clock.now

    def do_worker_thaw(self, *names: str) -> None:
        """Resume frozen workers."""
        for machine in self._machines(names):
            if machine.is_frozen:
                self._world.history.add(
                    t=self._world.clock.now,
                    k="worker-back",
                    worker=machine.worker.key,
                    away=self._world.clock.now - machine.frozen_at,
                )
            machine.is_frozen = False
            arrivals, machine.held_arrivals = machine.held_arrivals, []
            for arrival in arrivals:
                arrival()

    def do_worker_mode(self, mode: str, chance: str, *names: str) -> None:
        """Set the fault mode of workers and the probability that a request meets it."""
        for machine in self._machines(names):
            machine.worker.mode, machine.worker.chance = mode, float(chance)

    def do_worker_replace(self, *names: str) -> None:
        """Stop the worker and start a new generation at the same address, cold."""
        world = self._world
        for address, machine in list(world.machines.items()):
            if machine in self._machines(names):
                worker = machine.worker
                machine.is_up = False
                self._end_runs(key=worker.key)
                world.add_worker(
                    name=worker.name,
                    service=worker.service,
                    zone=worker.zone,
                    address=address,
                    generation=world.platform.next_generation(name=worker.name),
                )

    def do_worker_replace_if(self, name: str) -> None:
        """Replace the worker if it is still running."""
        if any(machine.worker.name == name and machine.is_up for machine in self._world.machines.values()):
            self._world.history.add(t=self._world.clock.now, k="trouble", verb="worker-replace", words=[name])
            self.do_worker_replace(name)

    def do_workers_careless(self) -> None:
        """Workers added from now on don't check which worker a request is addressed to."""
        self._world.ignores_identity = True

    def do_worker_leave(self, *names: str) -> None:
        """Mark the workers as leaving on the list."""
        for name in {machine.worker.name for machine in self._machines(names)} & self._world.platform.names():
            self._world.platform.mark_leaving(name=name)

    def do_worker_gone(self, *names: str) -> None:
        """Remove workers from the list though they still answer: only the list keeps requests away."""
        for name in {machine.worker.name for machine in self._machines(names)} & self._world.platform.names():
            self._world.platform.unlist(name=name)

    def do_worker_gone_if(self, name: str) -> None:
        """Remove the worker from the list if it is still listed."""
        if name in self._world.platform.names():
            self.do_worker_gone(name)

    def do_worker_add(self, name: str, service: str, zone: str, index: str) -> None:
        """Add a new worker at a new address."""
        self._world.add_worker(name=name, service=service, zone=zone, address=f"10.1.9.{index}:80")

    def do_readdress(self, name: str, service: str, zone: str) -> None:
        """Remove a worker and give its address to a new worker of another service."""
        address, _ = self._world.find_machine(name=name)
        self._world.platform.unlist(name=name)
        self._world.add_worker(name=f"{name}-heir", service=service, zone=zone, address=address)

    def do_platform_down(self) -> None:
        """Make the platform's list unavailable."""
        self._world.platform.is_up = False

    def do_platform_up(self) -> None:
        """Make the platform's list available again."""
        self._world.platform.is_up = True

    def do_worker_move(self, name: str, index: str) -> None:
        """Start a new generation at a new address; the old process keeps answering at the old one."""
        _, machine = self._world.find_machine(name=name)
        worker = machine.worker
        self._world.add_worker(
            name=worker.name,
            service=worker.service,
            zone=worker.zone,
            address=f"10.1.9.{index}:80",
            generation=self._world.platform.next_generation(name=worker.name),
        )
