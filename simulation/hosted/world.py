"""The simulated platform: machines, workers, endpoint list, clients and operator on one virtual clock."""

from __future__ import annotations

import collections
import functools
import itertools
import random
from collections.abc import Callable, Iterable
from pathlib import Path

from cerberus import Validator

from sailward.runtime.adapter import load_part
from simulation.history import History
from simulation.hosted.calls import Calls
from simulation.hosted.clients import Client
from simulation.hosted.deployment import Deployment, RequestKind
from simulation.hosted.exchange import Exchange
from simulation.hosted.listing import CRASHED_LISTED_TIME, SimulatedEndpointList
from simulation.hosted.network import Network, Node
from simulation.hosted.operators import Operator
from simulation.hosted.process import Machine, Process
from simulation.hosted.workers import Worker
from simulation.sim.clock import Clock

FOLDER = Path(__file__).parent.parent.parent / "platform"
HOSTING = load_part(folder=FOLDER, name="hosting")
SETTINGS = load_part(folder=FOLDER, name="settings")
FRONT_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT, INNER_PORT = 8641, 8640, 8649, 8644, 7620


class World:
    """The state of one simulated run."""

    def __init__(self, *, deployment: Deployment, seed: int, end: float) -> None:
        self.deployment, self.seed = deployment, seed
        self.rng = random.Random(f"{seed}/world")
        self.moment_rng = random.Random(f"{seed}/moments")
        self.clock = Clock()
        self.begin = self.clock.now
        self.end = self.begin + end
        self.network = Network(clock=self.clock, rng=random.Random(f"{seed}/network"))
        self.history = History()
        self.count: collections.Counter = collections.Counter()
        self.numbers = itertools.count(1)
        self.attempts: dict = {}
        self.calls = Calls(world=self)
        self.list_address, self.list_node = "10.200.0.1:8642", _make_node(name="list", zone="", region="", kind="list")
        self.listing = SimulatedEndpointList(lag=deployment.list_lag, rate=deployment.list_rate)
        self.machines: dict[str, Machine] = {}
        self.by_inner_address: dict[str, Process] = {}
        self.by_front_address: dict[str, Process] = {}
        self.by_address: dict[str, Worker] = {}
        self.workers: dict[str, Worker] = {}
        self.troubles: list = []
        self.on_ack: list[Callable[[], None]] = []
        self.steps_by_moment: dict[str, list] = {}
        self.leader = self.reader = self.taker = ""
        self.step: Callable[[str, tuple], None] = lambda verb, words: None
        self._ids = itertools.count(1)
        self._addresses = itertools.count(1)
        for zone in deployment.zones:
            disks = deployment.disks_per_zone + (zone in deployment.zones_with_extra_disk)
            for index in range(disks + deployment.plain_per_zone):
                self.add_machine(name=f"{zone}-{index}", zone=zone, has_disk=index < disks)
        self.set_seeds(machines=[machine for machine in self.machines.values() if "controller" in machine.processes])
        for service in deployment.services:
            for zone in deployment.zones:
                for _ in range(service.workers_per_zone):
                    self.add_worker(service=service.name, zone=zone)
        names = frozenset({"operator"})
        self.operator = Operator(
            world=self,
            node=Node(
                name="operator", zone="", region=next(iter(deployment.zones.values())), names=names, is_client=True
            ),
        )
        self.clients = [
            Client(
                world=self,
                node=_make_node(name=f"client-{zone}-{index}", zone=zone, region=region, kind="client", is_client=True),
                rng=random.Random(f"{seed}/{zone}/{index}"),
                ttl_factor=3.0 if index == 2 else 1.0,
            )
            for zone, region in deployment.zones.items()
            for index in range(deployment.clients_per_zone)
        ]

    def add_machine(self, *, name: str, zone: str, has_disk: bool) -> Machine:
        """Add a machine with its processes; it is not started yet."""
        number = len(self.machines) + 1
        kind = "core" if has_disk else "plain"
        zones = self.deployment.zones
        node = _make_node(name=name, zone=zone, region=zones[zone], kind=kind, zones=zones)
        machine = Machine(
            world=self, node=node, ip=f"10.0.{number}.1", roles=("controller", "proxy") if has_disk else ("proxy",)
        )
        machine.listed_from, machine.listed_until = self.clock.now, float("inf")
        self.machines[name] = machine
        for role, process in machine.processes.items():
            self.by_inner_address[f"{machine.ip}:{INNER_PORT if role == 'controller' else INNER_PORT + 1}"] = process
            if role == "proxy":
                self.by_front_address[f"{machine.ip}:{FRONT_PORT}"] = process
        return machine

    def start(self) -> None:
        """Start the whole system for the first time, with empty disks."""
        for machine in self.machines.values():
            machine.is_bootstrap = True
            machine.start()
            machine.is_bootstrap = False

    def set_seeds(self, *, machines: list[Machine]) -> None:
        """Set the seeds that the settings name from now on: the first three of these machines."""
        self.seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in machines][:3]

    def host(self, *, machine: Machine, role: str) -> object:
        """The host that the adapter builds from a machine's current settings."""
        ip, bounds = machine.ip, self.deployment.bounds
        listen = {
            "front": f"{ip}:{FRONT_PORT}",
            "readiness": f"{ip}:{READINESS_PORT}",
            "control_plane": f"{ip}:{CONTROL_PORT}",
            "directory": f"{ip}:{DIRECTORY_PORT}",
        }
        settings = {
            "node_name": machine.node.name,
            "ip": ip,
            "zone": machine.node.zone,
            "region": machine.node.region,
            "zones": dict(self.deployment.zones),
            "listen": listen,
            "inner_port_range": [INNER_PORT, INNER_PORT + 15],
            "seed_nodes": list(self.seeds),
            "bootstrap": machine.is_bootstrap,
            "data_dir": "/data" if role == "controller" else "",
            "fault_budget": {"machines": self.deployment.max_lost_machines, "zones": 1},
            "bounds": dict(bounds),
            "cloud_api": {
                "address": self.list_address,
                "rate_per_s": self.deployment.list_rate,
                "max_lag_s": self.deployment.list_lag,
            },
        }
        return HOSTING.hosted_daemon_of(settings=_checked(settings=settings), role=role)

    def add_worker(self, *, service: str, zone: str, address: str = "", is_cold: bool = False) -> Worker:
        """Start a worker and add it to the endpoint list."""
        spec = next(candidate for candidate in self.deployment.services if candidate.name == service)
        worker_id = f"i-{next(self._ids):03d}"
        address = address or f"10.128.0.{next(self._addresses)}:8080"
        rng = random.Random(f"{self.seed}/{worker_id}")
        now = self.clock.now
        has_begun = now > self.begin
        worker = Worker(
            world=self,
            id=worker_id,
            service=service,
            address=address,
            capacity=spec.capacity,
            queue_limit=spec.queue,
            hangs_when_full=spec.hangs,
            is_sharded=spec.is_sharded,
            slow_start_rate=spec.slow_start_rate,
            rng=rng,
            started_at=now if has_begun else now - 100.0,
            work_factor=rng.uniform(0.8, 1.3),
            slow_start_until=now + spec.slow_start if has_begun or is_cold else 0.0,
            node=_make_node(
                name=worker_id,
                zone=zone,
                region=self.deployment.zones[zone],
                kind="worker",
                zones=self.deployment.zones,
            ),
        )
        self.workers[worker_id] = self.by_address[address] = worker
        self.listing.set_state(now=now, worker=worker, state="admitted")
        self.history.add(t=now, k="born", worker=worker_id, service=service, zone=zone, address=address)
        return worker

    def crash(self, *, worker: Worker, is_silent: bool) -> None:
        """Crash a worker without notice; with `is_silent` its address doesn't answer at all afterwards."""
        worker.is_silent = is_silent
        worker.end()
        self.clock.after(
            CRASHED_LISTED_TIME, lambda: self.listing.set_state(now=self.clock.now, worker=worker, state="gone")
        )
        self.history.add(t=self.clock.now, k="crashed", worker=worker.id)

    def restart(self, *, worker: Worker, seconds: float, is_silent: bool) -> None:
        """Crash a worker without notice; after `seconds` a new incarnation starts at its address, in slow start."""
        self.crash(worker=worker, is_silent=is_silent)

        def start_again() -> None:
            if self.by_address.get(worker.address) is worker:
                self.add_worker(service=worker.service, zone=worker.node.zone, address=worker.address)

        self.clock.after(seconds, start_again)

    def drain(self, *, worker: Worker, on_end: Callable[[], None] | None = None, notice: float | None = None) -> None:
        """Drain a worker: it goes on serving for the announced time, or for a shorter `notice` in s, and then ends."""
        worker.is_draining = True
        shown_at = self.listing.set_state(now=self.clock.now, worker=worker, state="draining")
        self.history.add(t=self.clock.now, k="draining", worker=worker.id, shown=shown_at)

        def end() -> None:
            if worker.is_up:
                worker.end()
                if self.by_address.get(worker.address) is worker:
                    del self.by_address[worker.address]
                self.listing.set_state(now=self.clock.now, worker=worker, state="gone")
            if on_end:
                on_end()

        serving_time = self.deployment.list_lag + self.deployment.bounds["drain_s"] + 1.5
        self.clock.after(serving_time if notice is None else notice, end)

    def begin_slow_start(self, *, worker: Worker) -> None:
        """Put a worker back into slow start; its health responses report it."""
        spec = next(service for service in self.deployment.services if service.name == worker.service)
        worker.slow_start_until = self.clock.now + spec.slow_start
        if worker.node.zone not in self.operator.evacuated_zones:
            self.history.add(t=self.clock.now, k="chilled", worker=worker.id)

    def load(self, *, until: float, times: float = 1.0, kinds: tuple | None = None, key: int = -1) -> None:
        """Clients send requests until `until` at `times` the deployment's rates, of all kinds or of some."""
        for kind in kinds or self.deployment.kinds:
            self._load(kind=kind, until=until, times=times, key=key)

    def _load(self, *, kind: RequestKind, until: float, times: float, key: int) -> None:
        def send_next() -> None:
            if self.clock.now >= until:
                return
            self.rng.choice(self.clients).begin(kind=kind, key=key)
            self.clock.after(self.rng.expovariate(kind.rate * times), send_next)

        self.clock.after(self.rng.expovariate(kind.rate * times), send_next)

    def exchange(self, **fields: object) -> Callable[[], None]:
        """Begin one exchange of a client or operator with a listener of a daemon; returns how to close it."""
        return Exchange(world=self, **fields).begin()

    def directories(self) -> list[Process]:
        """The daemons that serve the directory, as clients know them."""
        return [machine.processes["proxy"] for machine in self.machines.values() if not machine.is_removed]

    def controllers(self) -> list[Process]:
        """The daemons that serve the operators' API."""
        return [
            machine.processes["controller"] for machine in self.machines.values() if "controller" in machine.processes
        ]

    def redirect_target(self, *, location: str) -> Process | None:
        """The controller to which a redirect points."""
        return next(
            (
                controller
                for controller in self.controllers()
                if location.startswith(f"http://{controller.machine.ip}:{CONTROL_PORT}/")
            ),
            None,
        )

    def on_acknowledged(self) -> None:
        """A configuration was acknowledged: run the steps that wait for it."""
        steps, self.on_ack = self.on_ack, []
        for step in steps:
            step()

    def on_moment(self, *, moment: str) -> None:
        """Run the steps that wait for this moment: `answered`, `sent` or `taken`."""
        steps = self.steps_by_moment.pop(moment, [])
        for due, step in steps:
            if self.clock.now <= due:
                step()

    def record_trouble(self, *, names: set, seconds: float = 0.0, core: bool = False, planned: bool = False) -> dict:
        """Record that these machines are in trouble from now on, for `seconds`.

        Returns the record, whose `until` may be set later.
        """
        row = {
            "t": self.clock.now,
            "until": self.clock.now + seconds,
            "names": set(names),
            "core": core,
            "planned": planned,
        }
        self.troubles.append(row)
        return row

    def wall(self) -> float:
        """The true time of day, in s."""
        return 1.8e9 + self.clock.now

    def finish(self) -> None:
        """End the run: the workers record the keys that they still hold."""
        for worker in self.workers.values():
            worker.record_end()


def _make_node(
    *, name: str, zone: str, region: str, kind: str, is_client: bool = False, zones: Iterable[str] = ()
) -> Node:
    names = {name, zone, region, kind}
    if zone and not is_client:
        names |= {f"in:{zone}", *(f"out:{other_zone}" for other_zone in zones if other_zone != zone)}
    return Node(name=name, zone=zone, region=region, names=frozenset(names), is_client=is_client)


def _checked(*, settings: dict) -> dict:
    validator = _validator()
    if not validator.validate(settings):
        raise ValueError(validator.errors)
    return validator.document


@functools.cache
def _validator() -> Validator:
    return Validator(SETTINGS.SCHEMA, allow_unknown=True)
