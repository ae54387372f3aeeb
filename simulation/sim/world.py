"""The simulated world: daemons, workers, the platform, and the HTTP calls between them."""

from __future__ import annotations

import collections
import json
import random
from urllib.parse import parse_qs, urlsplit

from sailward.events import CallFinished, StartCall
from simulation.deployments import Deployment
from simulation.fake_worker import FakeWorker
from simulation.history import History
from simulation.sim.clock import Clock
from simulation.sim.network import Network
from simulation.sim.node import Node
from simulation.sim.platform import Platform


class Machine:
    """The process that listens on a worker address.

    `held_arrivals` are requests that reached it while it was frozen; `names` are its labels for network cuts.
    """

    def __init__(self, *, worker: FakeWorker, region: str) -> None:
        self.worker = worker
        self.is_up = True
        self.is_frozen = False
        self.frozen_at = 0.0
        self.held_arrivals: list = []
        self.names = frozenset({worker.name, worker.zone, region, "worker"})
        self.region = region


class World:
    """The environment of one run: clock, network, nodes, workers, platform, and the history of what they saw."""

    def __init__(self, *, deployment: Deployment, seed: int) -> None:
        self.seed = seed
        self.deployment = deployment
        self.rng = random.Random(f"{seed}/world")
        self.clock = Clock()
        self.network = Network(rng=random.Random(f"{seed}/network"))
        self.history = History()
        self.messages: collections.Counter = collections.Counter()
        self.platform = Platform(world=self)
        self.machines: dict[str, Machine] = {}
        self.nodes: dict[str, Node] = {}
        self.by_post: dict[str, Node] = {}
        self.by_http: dict[str, Node] = {}
        self.ignores_identity = False
        self.service_time = (0.002, 0.02)
        seeds = tuple(f"10.0.0.{index}:7000" for index in (1, 2, 5))
        for index, (kind, name, zone) in enumerate(deployment.daemons, start=1):
            self.add_node(name=name, kind=kind, zone=zone, index=index, seeds=seeds)
        for index, (name, service, zone) in enumerate(deployment.workers, start=1):
            self.add_worker(name=name, service=service, zone=zone, address=f"10.1.0.{index}:80")

    def add_node(self, *, name: str, kind: str, zone: str, index: int, seeds: tuple) -> Node:
        """Add the machine of a daemon."""
        node = Node(
            world=self, name=name, kind=kind, zone=zone, region=self.deployment.zones[zone], index=index, seeds=seeds
        )
        self.nodes[name] = self.by_post[node.location.post] = self.by_http[node.location.http] = node
        return node

    def add_worker(self, *, name: str, service: str, zone: str, address: str, generation: int = 1) -> Machine:
        """Start a worker and add it to the platform's list."""
        worker = FakeWorker(
            name=name,
            generation=generation,
            service=service,
            zone=zone,
            rng=random.Random(f"{self.seed}/{name}/{generation}"),
            ignores_identity=self.ignores_identity,
        )
        machine = Machine(worker=worker, region=self.deployment.zones[zone])
        self.machines[address] = machine
        self.platform.list_worker(worker=worker, address=address)
        worker.started_at = self.clock.now
        self.history.add(t=self.clock.now, k="worker-started", worker=worker.key, service=service, hall=zone)
        return machine

    def wall(self) -> float:
        """The true wall-clock time, in s."""
        return 1.8e9 + self.clock.now

    def find_machine(self, *, name: str) -> tuple[str, Machine]:
        """The newest address and machine of a worker."""
        matches = [(address, machine) for address, machine in self.machines.items() if machine.worker.name == name]
        return matches[-1]

    def count_message(self, *, kind: str) -> None:
        """Count a message between daemons."""
        self.messages[kind] += 1

    def call(self, *, caller: Node, command: StartCall, done) -> None:
        """Perform an HTTP call of a daemon to a worker or the platform."""
        finished = []

        def finish(*, delay: float, called: CallFinished) -> None:
            if not finished:
                finished.append(1)
                self.clock.after(max(0.0, delay), lambda: done(called))

        def fail(*, fault: str, sent: bool, delay: float) -> None:
            finish(
                delay=delay,
                called=CallFinished(token=command.token, code=0, headers={}, body=b"", fault=fault, sent=sent),
            )

        if caller.now() > command.begin_by:
            return fail(fault="too-late", sent=False, delay=0.0)
        self.clock.after(command.timeout, lambda: fail(fault="timed-out", sent=True, delay=0.0))
        if command.address == self.platform.address:
            return self._call_platform(caller=caller, command=command, finish=finish, fail=fail)
        machine = self.machines.get(command.address)
        is_on_open_connection = (
            machine is not None
            and command.path != "/status"
            and self.network.is_cut(a=caller.names, b=machine.names)
            and (not command.fresh or self.rng.random() < 0.2)
        )
        if is_on_open_connection:
            # the connection was open before the cut: the bytes are in its socket, and no answer returns
            self.network.buffer_or_drop(
                now=self.clock.now,
                deliver=lambda: (
                    self._arrive(
                        caller=caller,
                        machine=machine,
                        command=command,
                        finish=finish,
                        fail=fail,
                        return_s=0.001,
                        finished=finished,
                    )
                    if self.network.delivers(is_abandoned=bool(finished))
                    else None
                ),
            )
            return None
        if machine is None or self.network.is_cut(a=caller.names, b=machine.names):
            return self.clock.after(
                min(command.timeout, 0.5), lambda: fail(fault="no-connection", sent=False, delay=0.0)
            )
        if not machine.is_up:
            return fail(fault="no-connection", sent=False, delay=0.001)
        is_same_region = caller.location.region == machine.region
        travel_s = (0.0005 if is_same_region else 0.012) * self.network.delay_factor * self.rng.uniform(0.7, 1.5)
        self.clock.after(
            travel_s,
            lambda: self._arrive(
                caller=caller,
                machine=machine,
                command=command,
                finish=finish,
                fail=fail,
                return_s=travel_s,
                finished=finished,
            ),
        )
        return None

    def _arrive(
        self, *, caller: Node, machine: Machine, command: StartCall, finish, fail, return_s: float, finished: list
    ) -> None:
        if machine.is_frozen:
            # a thawed worker does not start a request whose connection was closed meanwhile
            machine.held_arrivals.append(
                lambda: (
                    None
                    if not self.network.delivers(is_abandoned=bool(finished))
                    else self._arrive(
                        caller=caller,
                        machine=machine,
                        command=command,
                        finish=finish,
                        fail=fail,
                        return_s=return_s,
                        finished=finished,
                    )
                )
            )
            return
        if not machine.is_up:
            fail(fault="connection-lost", sent=True, delay=return_s)
            return
        worker, headers = machine.worker, {name.lower(): value for name, value in command.headers.items()}
        reply = worker.step(method=command.method, path=urlsplit(command.path).path, headers=headers)
        service_s = self.rng.uniform(*self.service_time) if command.path != "/status" else 0.0005
        if reply.did_run:
            self.history.add(
                t=self.clock.now,
                k="run",
                worker=worker.key,
                service=worker.service,
                hall=worker.zone,
                asked=headers.get("sailward-service", ""),
                region=machine.region,
                key=headers.get("idempotency-key", ""),
                tenant=headers.get("sailward-tenant", ""),
                nonce=headers.get("x-caller", ""),
                turn=int(headers.get("x-caller-try", "0")),
                path=command.path,
                unsafe=command.method not in ("GET", "HEAD"),
                proxy=caller.location.name,
                until=self.clock.now + service_s,
                slot_key=headers.get("sailward-key", ""),
            )
        elif command.path != "/status":
            self.history.add(
                t=self.clock.now,
                k="reached",
                worker=worker.key,
                nonce=headers.get("x-caller", ""),
                turn=int(headers.get("x-caller-try", "0")),
            )

        def send_answer() -> None:
            if not machine.is_up or reply.is_connection_closed or self.network.is_cut(a=caller.names, b=machine.names):
                fail(fault="connection-lost", sent=True, delay=return_s)
            elif reply.sent_bytes is not None:
                fail(fault="cut-short", sent=True, delay=return_s)
            else:
                finish(
                    delay=return_s,
                    called=CallFinished(
                        token=command.token,
                        code=reply.code,
                        headers=dict(reply.headers),
                        body=reply.body,
                        fault="",
                        sent=True,
                    ),
                )

        self.clock.after(service_s, send_answer)

    def _call_platform(self, *, caller: Node, command: StartCall, finish, fail) -> None:
        if self.network.is_cut(a=caller.names, b=frozenset({"platform"})) or not self.platform.is_up:
            self.clock.after(min(command.timeout, 0.5), lambda: fail(fault="no-connection", sent=False, delay=0.0))
            return
        query = {name: values[0] for name, values in parse_qs(urlsplit(command.path).query).items()}
        page = self.platform.page(after=query.get("after", ""), limit=int(query["limit"]))
        self.history.add(t=self.clock.now, k="list-read", controller=caller.location.name, revision=page["revision"])
        finish(
            delay=self.rng.uniform(0.005, 0.03),
            called=CallFinished(
                token=command.token, code=200, headers={}, body=json.dumps(page).encode(), fault="", sent=True
            ),
        )
