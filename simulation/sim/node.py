"""One simulated process: an owner (the daemon's state machine), its timer, and the execution of its commands."""

from __future__ import annotations

import marshal
import random
import traceback

from sailward import constants
from sailward.config import check as check_module
from sailward.consensus.messages import BadMessage, check_message
from sailward.control.controller import Controller
from sailward.discovery.peer_table import Location
from sailward.events import (
    AppendRecords,
    CallFinished,
    ConfigValidated,
    DiskWriteFailed,
    ExitProcess,
    LogEvent,
    MessageReceived,
    RecordsSynced,
    RequestReceived,
    Respond,
    RewriteRecords,
    SendMessage,
    ShutdownRequested,
    StartCall,
    TimerFired,
    ValidateConfig,
)
from sailward.proxy.directory_server import DirectoryServer
from sailward.proxy.tenant_proxy import TenantProxy
from sailward.storage.disk import DamagedFile
from simulation.sim.disk import Disk
from simulation.sim.environment import Environment


class Node:
    """A daemon's machine: up, down or frozen. Its disk outlives its process.

    `incarnation` changes at each start and end of the process; `held_events` is a list while the process is frozen.
    """

    def __init__(
        self, *, world: Environment, name: str, kind: str, zone: str, region: str, index: int, seeds: tuple
    ) -> None:
        self.world = world
        self.location = Location(
            name=name,
            kind=kind,
            zone=zone,
            region=region,
            post=f"10.0.0.{index}:7000",
            http=f"10.0.0.{index}:7100",
            seeds=seeds,
            version="sim",
        )
        self.names = frozenset({name, zone, region, kind})
        self.rng = random.Random(f"{world.seed}/{name}")
        self.disk = Disk(rng=self.rng)
        self.owner = None
        self.incarnation = 0
        self.held_events: list | None = None
        self.clock_skew = 0.0
        self.pending_requests: dict = {}
        self.logs: list = []
        self.code: int | None = None

    @property
    def is_up(self) -> bool:
        """Whether the process is running and not frozen."""
        return self.owner is not None and self.held_events is None

    def start(self) -> None:
        """Start the process from the contents of the disk."""
        if self.owner is not None:
            return
        self.incarnation += 1
        nonce = f"{self.rng.getrandbits(48):012x}"
        common = {
            "location": self.location,
            "start": int((self.world.clock.now + self.clock_skew) * 1000),
            "rng": random.Random(nonce),
        }
        self.code = None
        if self.location.kind == "controller":
            found = self.disk.read()
            if isinstance(found, DamagedFile):
                self.code = constants.EXIT_DISK
                return
            self.owner = Controller(
                platform=self.world.platform.address, nonce=nonce, records=found.records, now=self.now(), **common
            )
        elif self.location.kind == "proxy":
            self.owner = TenantProxy(nonce=nonce, now=self.now(), **common)
        else:
            self.owner = DirectoryServer(**common)
        self._record(k="daemon-up")
        self._tick(incarnation=self.incarnation)

    def stop(self) -> None:
        """Request a graceful shutdown."""
        if self.is_up:
            self.deliver(event=ShutdownRequested())

    def kill(self) -> None:
        """Kill the process at once."""
        self.disk.kill()
        self._end()

    def lose_power(self) -> None:
        """Cut the machine's power."""
        self.disk.lose_power()
        self._end()

    def freeze(self) -> None:
        """Suspend the process; events that arrive are held."""
        if self.is_up:
            self.held_events = []
            self._record(k="daemon-frozen")

    def thaw(self) -> None:
        """Resume the process and deliver the held events."""
        if self.held_events is not None:
            self._record(k="daemon-thawed")
        held_events, self.held_events = self.held_events or [], None
        for event in held_events:
            self.deliver(event=event)

    def now(self) -> float:
        """The node's monotonic clock: its own origin, the common rate."""
        return self.world.clock.now - 900.0 + self.location.post.__len__()

    def deliver(self, *, event: object) -> None:
        """Pass an event to the owner and execute the commands it returns."""
        if self.owner is None:
            return
        if self.held_events is not None:
            self.held_events.append(event)
            return
        incarnation = self.incarnation
        try:
            commands = self.owner.step(now=self.now(), event=event)
        except Exception as fault:  # noqa: BLE001 - a real process would exit with code 70
            self.world.history.add(
                t=self.world.clock.now,
                k="crash",
                daemon=self.location.name,
                fault="".join(traceback.format_exception(fault)[-2:]),
            )
            self.code = constants.EXIT_FAULT
            self._end()
            return
        for command in commands:
            if self.incarnation != incarnation or self.owner is None:
                return
            self._carry_out(command=command)

    def receive_request(self, *, event: RequestReceived, answer) -> None:
        """Handle an HTTP request; `answer` is called with the response, or None if the process ends first."""
        if self.owner is None:
            answer(None)
            return
        self.pending_requests[event.token] = answer
        self.deliver(event=event)

    def _record(self, *, k: str) -> None:
        self.world.history.add(t=self.world.clock.now, k=k, daemon=self.location.name)

    def _end(self) -> None:
        if self.owner is not None:
            self._record(k="daemon-down")
        self.owner, self.held_events = None, None
        self.incarnation += 1
        pending, self.pending_requests = self.pending_requests, {}
        for answer in pending.values():
            answer(None)

    def _tick(self, *, incarnation: int) -> None:
        if self.incarnation != incarnation:
            return
        if self.held_events is None:
            self.deliver(event=TimerFired(wall=self.world.wall() + self.clock_skew))
        self.world.clock.after(
            constants.TICK_INTERVAL * self.rng.uniform(0.9, 1.1), lambda: self._tick(incarnation=incarnation)
        )

    def _carry_out(self, *, command: object) -> None:
        if isinstance(command, SendMessage):
            self._send(command=command)
        elif isinstance(command, Respond):
            answer = self.pending_requests.pop(command.token, None)
            if answer is not None:
                answer(command)
        elif isinstance(command, StartCall):
            self._call(command=command)
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self._store(command=command)
        elif isinstance(command, ValidateConfig):
            verdict = check_module.check_config(config=command.config)
            incarnation = self.incarnation
            self.world.clock.after(
                0.02,
                lambda: (
                    self.deliver(event=ConfigValidated(token=command.token, verdict=verdict))
                    if self.incarnation == incarnation
                    else None
                ),
            )
        elif isinstance(command, LogEvent):
            self.logs.append((self.world.clock.now, command.event, command.fields))
        elif isinstance(command, ExitProcess):
            self.code = command.code
            self._end()

    def _send(self, *, command: SendMessage) -> None:
        receiver = self.world.by_post.get(command.to)
        if receiver is None:
            return
        body = check_message(body=marshal.loads(marshal.dumps(command.body)))
        if isinstance(body, BadMessage):
            raise AssertionError(f"{self.location.name} sent a bad message: {body.reason} {command.body}")
        self.world.count_message(kind=body["kind"])
        event = MessageReceived(sender=self.location.post, body=body)
        delays = (
            [0.0001]
            if receiver is self
            else self.world.network.delays(
                a=self.names, b=receiver.names, is_same_region=self.location.region == receiver.location.region
            )
        )
        if not delays and self.world.network.is_cut(a=self.names, b=receiver.names):
            incarnation_at_send = receiver.incarnation
            self.world.network.buffer_or_drop(
                now=self.world.clock.now,
                deliver=lambda: receiver.deliver(event=event) if receiver.incarnation == incarnation_at_send else None,
            )
        for delay in delays:
            incarnation = receiver.incarnation
            self.world.clock.after(
                delay,
                lambda incarnation=incarnation: (
                    receiver.deliver(event=event) if receiver.incarnation == incarnation else None
                ),
            )

    def _call(self, *, command: StartCall) -> None:
        incarnation = self.incarnation

        def done(result: CallFinished) -> None:
            if self.incarnation == incarnation:
                self.deliver(event=result)

        self.world.call(caller=self, command=command, done=done)

    def _store(self, *, command: AppendRecords | RewriteRecords) -> None:
        disk, incarnation = self.disk, self.incarnation
        if not disk.claim_room(command=command):
            failed = DiskWriteFailed(seq=command.seq, full=True, reason="no room")
            self.world.clock.after(
                0.001, lambda: self.deliver(event=failed) if self.incarnation == incarnation else None
            )
            return

        def synced() -> None:
            if self.incarnation != incarnation:
                return
            if disk.sync_fails:
                disk.pending.clear()
                self.deliver(event=DiskWriteFailed(seq=command.seq, full=False, reason="sync"))
                return
            if command in disk.pending:
                disk.sync(command=command)
            self.deliver(event=RecordsSynced(seq=command.seq))

        delay = disk.write(command=command)
        # syncs complete in order
        delay = max(delay, getattr(self, "_sync_end", 0.0) - self.world.clock.now)
        self._sync_end = self.world.clock.now + delay
        self.world.clock.after(delay, synced)
