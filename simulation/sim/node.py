"""One simulated process: an owner, its alarms, and its commands carried out on the simulated world."""

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
    """A daemon's machine: it can be up, down or frozen; its disk outlives its process."""

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
        self.life = 0
        self.frozen: list | None = None
        self.skew = 0.0
        self.waiting: dict = {}
        self.logs: list = []
        self.code: int | None = None

    @property
    def up(self) -> bool:
        """Is its process there and running?"""
        return self.owner is not None and self.frozen is None

    def start(self) -> None:
        """Start the process on what the disk holds."""
        if self.owner is not None:
            return
        self.life += 1
        nonce = f"{self.rng.getrandbits(48):012x}"
        common = {
            "location": self.location,
            "start": int((self.world.clock.now + self.skew) * 1000),
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
        self._tick(life=self.life)

    def stop(self) -> None:
        """A planned stop."""
        if self.up:
            self.give(event=ShutdownRequested())

    def kill(self) -> None:
        """The process is gone at once."""
        self.disk.kill()
        self._end()

    def lose_power(self) -> None:
        """The machine is dark at once."""
        self.disk.lose_power()
        self._end()

    def freeze(self) -> None:
        """The process stands still; what arrives waits."""
        if self.up:
            self.frozen = []
            self._record(k="daemon-frozen")

    def thaw(self) -> None:
        """The process goes on."""
        if self.frozen is not None:
            self._record(k="daemon-thawed")
        held, self.frozen = self.frozen or [], None
        for event in held:
            self.give(event=event)

    def now(self) -> float:
        """Its monotonic clock: of its own beginning, but of the same rate."""
        return self.world.clock.now - 900.0 + self.location.post.__len__()

    def give(self, *, event: object) -> None:
        """Let the owner answer an event."""
        if self.owner is None:
            return
        if self.frozen is not None:
            self.frozen.append(event)
            return
        life = self.life
        try:
            commands = self.owner.step(now=self.now(), event=event)
        except Exception as fault:  # noqa: BLE001 - a real process would end with code 70
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
            if self.life != life or self.owner is None:
                return
            self._carry_out(command=command)

    def ask(self, *, event: RequestReceived, answer) -> None:
        """An HTTP exchange arrives; `answer` is called with the Answer, or None if the process is gone."""
        if self.owner is None:
            answer(None)
            return
        self.waiting[event.token] = answer
        self.give(event=event)

    def _record(self, *, k: str) -> None:
        self.world.history.add(t=self.world.clock.now, k=k, daemon=self.location.name)

    def _end(self) -> None:
        if self.owner is not None:
            self._record(k="daemon-down")
        self.owner, self.frozen = None, None
        self.life += 1
        waiting, self.waiting = self.waiting, {}
        for answer in waiting.values():
            answer(None)

    def _tick(self, *, life: int) -> None:
        if self.life != life:
            return
        if self.frozen is None:
            self.give(event=TimerFired(wall=self.world.wall() + self.skew))
        self.world.clock.after(constants.TICK_INTERVAL * self.rng.uniform(0.9, 1.1), lambda: self._tick(life=life))

    def _carry_out(self, *, command: object) -> None:
        if isinstance(command, SendMessage):
            self._send(command=command)
        elif isinstance(command, Respond):
            answer = self.waiting.pop(command.token, None)
            if answer is not None:
                answer(command)
        elif isinstance(command, StartCall):
            self._call(command=command)
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self._store(command=command)
        elif isinstance(command, ValidateConfig):
            verdict = check_module.check_config(config=command.config)
            life = self.life
            self.world.clock.after(
                0.02,
                lambda: (
                    self.give(event=ConfigValidated(token=command.token, verdict=verdict))
                    if self.life == life
                    else None
                ),
            )
        elif isinstance(command, LogEvent):
            self.logs.append((self.world.clock.now, command.event, command.fields))
        elif isinstance(command, ExitProcess):
            self.code = command.code
            self._end()

    def _send(self, *, command: SendMessage) -> None:
        to = self.world.by_post.get(command.to)
        if to is None:
            return
        body = check_message(body=marshal.loads(marshal.dumps(command.body)))
        if isinstance(body, BadMessage):
            raise AssertionError(f"{self.location.name} sent a bad message: {body.reason} {command.body}")
        self.world.count_message(kind=body["kind"])
        event = MessageReceived(sender=self.location.post, body=body)
        delays = (
            [0.0001]
            if to is self
            else self.world.network.delays(a=self.names, b=to.names, near=self.location.region == to.location.region)
        )
        if not delays and self.world.network.is_cut(a=self.names, b=to.names):
            held_life = to.life
            self.world.network.hold(
                now=self.world.clock.now, act=lambda: to.give(event=event) if to.life == held_life else None
            )
        for delay in delays:
            life = to.life
            self.world.clock.after(delay, lambda life=life: to.give(event=event) if to.life == life else None)

    def _call(self, *, command: StartCall) -> None:
        life = self.life

        def done(called: CallFinished) -> None:
            if self.life == life:
                self.give(event=called)

        self.world.call(caller=self, command=command, done=done)

    def _store(self, *, command: AppendRecords | RewriteRecords) -> None:
        disk, life = self.disk, self.life
        if not disk.takes(command=command):
            failed = DiskWriteFailed(seq=command.seq, full=True, reason="no room")
            self.world.clock.after(0.001, lambda: self.give(event=failed) if self.life == life else None)
            return

        def synced() -> None:
            if self.life != life:
                return
            if disk.sync_fails:
                disk.pending.clear()
                self.give(event=DiskWriteFailed(seq=command.seq, full=False, reason="sync"))
                return
            if command in disk.pending:
                disk.sync(command=command)
            self.give(event=RecordsSynced(seq=command.seq))

        delay = disk.write(command=command)
        # syncs end in order
        delay = max(delay, getattr(self, "_sync_end", 0.0) - self.world.clock.now)
        self._sync_end = self.world.clock.now + delay
        self.world.clock.after(delay, synced)
