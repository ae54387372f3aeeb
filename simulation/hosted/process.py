"""One machine, and a daemon's process on it.

The product's owner, stepped and served as its host does on real sockets.
"""

from __future__ import annotations

import marshal
import random
import traceback
from collections.abc import Callable

from sailward import constants
from sailward.config.check import check_config
from sailward.consensus.messages import BadMessage, check_message
from sailward.control.controller import Controller
from sailward.events import (
    AppendRecords,
    CancelCall,
    ClientDisconnected,
    CloseConnections,
    ConfigValidated,
    DiskWriteFailed,
    DrainConnections,
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
    WithdrawCall,
)
from sailward.proxy.proxy import Proxy
from simulation.hosted.environment import Environment
from simulation.hosted.network import Spot
from simulation.sim.disk import Disk

RESTART = 0.4
"""s from a process's end until it is started again: its pause and its start."""
CHECK_TIME = 0.02
"""s that the check of a configuration takes beside the owner."""


class Machine:
    """A machine with its processes. Its disk outlives them unless it is wiped."""

    def __init__(self, *, world: Environment, spot: Spot, ip: str, roles: tuple) -> None:
        self.world, self.spot, self.ip = world, spot, ip
        self.rng = random.Random(f"{world.seed}/{spot.name}")
        self.disk = Disk(rng=self.rng)
        self.is_dark = False
        self.is_gone = False
        self.skew = 0.0
        self.is_first = False
        self.processes = {role: Process(machine=self, role=role) for role in roles}

    def start(self) -> None:
        """Power is there: all its processes start."""
        if self.is_gone:
            return
        self.is_dark = False
        for process in self.processes.values():
            process.start()

    def lose_power(self, *, wipe: bool = False) -> None:
        """Dark at once; `wipe` takes the disk along."""
        self.is_dark = True
        for process in self.processes.values():
            process.end(is_dark=True)
        self.disk.lose_power()
        if wipe:
            self.disk.wipe()


class Process:
    """One daemon. It is up, frozen, or down; each start is a new life."""

    def __init__(self, *, machine: Machine, role: str) -> None:
        self.machine, self.role, self.world = machine, role, machine.world
        self.owner = None
        self.hosted = None
        self.life = 0
        self.frozen: list | None = None
        self.is_shut = False
        self.is_stopping = False
        self.is_leaving = False
        self.waiting: dict = {}
        self.logs: list = []
        self.orders: set = set()
        self.lag = 0.0
        self._sync_end = self._stalled_until = 0.0
        self._lag_end = 0.0
        self._base = 0.0

    @property
    def name(self) -> str:
        """How scenarios call it."""
        return f"{self.role}@{self.machine.spot.name}"

    def now(self) -> float:
        """Its steady clock."""
        return self.world.clock.now - self._base

    def start(self) -> None:
        """Start on what the disk holds, with the settings of this moment."""
        if self.owner is not None or self.machine.is_dark or self.machine.is_gone or self.is_leaving:
            return
        self.life += 1
        self.is_shut = self.is_stopping = False
        self.hosted = self.world.host(machine=self.machine, role=self.role)
        self._base = self.world.clock.now - 50.0 - self.machine.rng.random()
        nonce = f"{self.machine.rng.getrandbits(48):012x}"
        start = int((self.world.wall() + self.machine.skew) * 1e6)
        if self.role == "controller":
            found = self.machine.disk.read()
            self.owner = Controller(
                location=self.hosted.location,
                platform=self.hosted.platform,
                nonce=nonce,
                start=start,
                rng=random.Random(nonce),
                records=found.records,
                now=self.now(),
                options=self.hosted.options,
            )
        else:
            self.owner = Proxy(
                location=self.hosted.location, start=start, rng=random.Random(nonce), options=self.hosted.options
            )
        self._record(k="up")
        self._tick(life=self.life)

    def kill(self) -> None:
        """The process is gone at once, and comes back after a moment."""
        self.end(is_dark=False)
        self.machine.disk.kill()
        self.world.clock.after(RESTART, self.start)

    def stop(self) -> None:
        """SIGTERM, and SIGKILL at the end of the grace; it comes back."""
        life, bounds = self.life, self.world.deployment.bounds
        if self.owner is None:
            return
        self.is_stopping = True
        self._record(k="term")
        self.give(event=ShutdownRequested())
        self.world.clock.after(
            bounds["grace_s"], lambda: self.kill() if self.life == life and self.owner is not None else None
        )

    def freeze(self) -> None:
        """It stands still; what arrives waits."""
        if self.owner is not None and self.frozen is None:
            self.frozen = []

    def thaw(self) -> None:
        """It goes on."""
        held, self.frozen = self.frozen or [], None
        for act in held:
            act()

    def end(self, *, is_dark: bool) -> None:
        """The process ends; its connections close, or stay silent."""
        if self.owner is None:
            return
        self._record(k="down", stopped=self.is_stopping)
        self.owner, self.frozen = None, None
        self.life += 1
        self.world.calls.end(process=self, is_dark=is_dark)
        waiting, self.waiting = self.waiting, {}
        for answer in waiting.values():
            answer(None if not is_dark else "silent")

    def reset(self, *, share: float) -> None:
        """So many of its connections are reset."""
        rng = self.world.rng
        for token, answer in list(self.waiting.items()):
            if rng.random() < share:
                self.world.count["callers-reset"] += 1
                answer(None)
                self.leave(token=token)
        self.world.calls.reset(process=self, share=share)

    def stall(self, *, until: float) -> None:
        """Its disk answers nothing until then."""
        self._stalled_until = until

    def hang_up_signal(self) -> None:
        """SIGHUP: the settings file has changed. The proxies read the seeds again, as their host does."""
        if self.owner is not None and self.role == "proxy":
            self.owner.control_client.seeds = self.world.host(machine=self.machine, role=self.role).location.seeds

    def give(self, *, event: object) -> None:
        """Let the owner answer an event; on a slowed machine it comes late, in order."""
        clock, life = self.world.clock, self.life
        if self.lag or clock.now < self._lag_end:
            self._lag_end = max(clock.now + self.machine.rng.uniform(0.2, 1.0) * self.lag, self._lag_end + 1e-6)
            clock.at(self._lag_end, lambda: self._take(event=event) if self.life == life else None)
        else:
            self._take(event=event)

    def _take(self, *, event: object) -> None:
        if self.owner is None:
            return
        if self.frozen is not None:
            if not isinstance(event, TimerFired):
                self.frozen.append(lambda: self.give(event=event))
            return
        life = self.life
        try:
            commands = self.owner.step(now=self.now(), event=event)
        except Exception as fault:  # noqa: BLE001 - a real process would end with code 70
            self.world.history.add(
                t=self.world.clock.now,
                k="crash",
                daemon=self.name,
                fault="".join(traceback.format_exception(fault)[-3:]),
            )
            self.kill()
            return
        for command in commands:
            if self.life != life or self.owner is None:
                return
            self._carry_out(command=command)

    def ask(self, *, event: RequestReceived, answer: Callable) -> None:
        """An exchange arrived at an edge.

        `answer` gets an Answer, None when the connection closed, or "silent" when nothing comes.
        """
        if self.owner is None:
            answer("silent" if self.machine.is_dark else None)
            return
        self.waiting[event.token] = self._noted(event=event, answer=answer)
        edge = event.token.split(" ", 1)[0]
        if edge == "desk" and event.method != "GET":
            self.orders.add(event.token)
        elif edge == "front":
            self.world.taker = self.machine.spot.name
            self.world.happens(moment="taken")
            if self.owner is None:
                return
        self.give(event=event if edge == "front" else self.hosted.translation.request(event))

    def _noted(self, *, event: RequestReceived, answer: Callable) -> Callable:
        """An operator's exchange, written down with its answer as it leaves the controller."""
        if not event.token.startswith("desk "):
            return answer
        history, clock = self.world.history, self.world.clock
        row = {"t": clock.now, "k": "desk", "machine": self.machine.spot.name, "life": self.life, "path": event.path}
        row |= {"method": event.method, "size": len(event.body or b""), "code": None, "ended": float("inf")}
        history.add(**row)
        row = history.rows[-1]

        def end(command: object) -> None:
            row["ended"], row["code"] = clock.now, getattr(command, "code", 0)
            answer(command)

        return end

    def leave(self, *, token: str) -> None:
        """A caller closed its connection."""
        if self.waiting.pop(token, None) is not None:
            self.give(event=ClientDisconnected(token=token))

    def _record(self, *, k: str, **more: object) -> None:
        self.world.history.add(
            t=self.world.clock.now,
            k=k,
            daemon=self.name,
            machine=self.machine.spot.name,
            role=self.role,
            life=self.life,
            **more,
        )

    def _tick(self, *, life: int) -> None:
        if self.life != life:
            return
        self.give(event=TimerFired(wall=self.world.wall() + self.machine.skew))
        self.world.clock.after(
            constants.TICK_INTERVAL * self.machine.rng.uniform(0.98, 1.1), lambda: self._tick(life=life)
        )

    def _carry_out(self, *, command: object) -> None:
        if isinstance(command, SendMessage):
            self._send_message(command=command)
        elif isinstance(command, Respond):
            self._answer(command=command)
        elif isinstance(command, (StartCall, CancelCall, WithdrawCall, CloseConnections)):
            self._change_calls(command=command)
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self._store(command=command)
        elif isinstance(command, ValidateConfig):
            self._check(command=command)
        elif isinstance(command, DrainConnections):
            self.is_shut = self.is_shut or command.shut
        elif isinstance(command, LogEvent):
            self.logs.append((self.world.clock.now, command.event, command.fields))
        elif isinstance(command, ExitProcess):
            self._stop()

    def _change_calls(self, *, command: StartCall | CancelCall | WithdrawCall | CloseConnections) -> None:
        calls = self.world.calls
        if isinstance(command, StartCall):
            calls.give(process=self, command=command)
        elif isinstance(command, CancelCall):
            calls.cancel(process=self, token=command.token)
        elif isinstance(command, WithdrawCall):
            calls.withdraw(process=self, token=command.token)
        else:
            calls.close_connections(process=self, owner=command.owner)

    def _stop(self) -> None:
        self.end(is_dark=False)
        self.world.clock.after(RESTART, self.start)

    def _answer(self, *, command: Respond) -> None:
        answer = self.waiting.pop(command.token, None)
        if answer is not None:
            self._note_order(command=command)
            answer(command if command.token.startswith("front ") else self.hosted.translation.response(command))

    def _check(self, *, command: ValidateConfig) -> None:
        life = self.life
        verdict = check_config(config=command.config)
        self.world.clock.after(
            CHECK_TIME,
            lambda: (
                self.give(event=ConfigValidated(token=command.token, verdict=verdict)) if self.life == life else None
            ),
        )

    def _note_order(self, *, command: Respond) -> None:
        if command.token not in self.orders:
            return
        self.orders.discard(command.token)
        if 200 <= command.code < 300:
            self.world.leader = self.machine.spot.name
            # the daemon's answer leaves it before the moment comes
            self.world.clock.after(
                self.world.moments.uniform(0.0, 0.004), lambda: self.world.happens(moment="answered")
            )

    def _send_message(self, *, command: SendMessage) -> None:
        to = self.world.by_post.get(command.to)
        if to is None:
            return
        body = check_message(body=marshal.loads(marshal.dumps(command.body)))
        if isinstance(body, BadMessage):
            raise AssertionError(f"{self.name} sent a bad message: {body.reason} {command.body}")
        self.world.count[f"told-{body['kind']}"] += 1
        self._note_push(to=to, body=body)
        event, life, own = MessageReceived(sender=self.hosted.location.post, body=body), to.life, self.life
        self.world.network.send(
            a=self.machine.spot,
            b=to.machine.spot,
            line=(self, own, to, life),
            act=lambda: to.give(event=event) if to.life == life else None,
        )

    def _note_push(self, *, to: Process, body: dict) -> None:
        """Write down what a controller hands to a proxy."""
        if body["kind"] != "push" or self.role != "controller" or to.role != "proxy":
            return
        self.world.history.add(
            t=self.world.clock.now,
            k="push",
            machine=self.machine.spot.name,
            to=to.machine.spot.name,
            life=to.life,
            name=body["name"],
            number=body["number"],
            contact=body.get("contact") is not False,
        )

    def _store(self, *, command: AppendRecords | RewriteRecords) -> None:
        disk, life, clock = self.machine.disk, self.life, self.world.clock
        if not disk.claim_room(command=command):
            failed = DiskWriteFailed(seq=command.seq, full=True, reason="no room")
            clock.after(0.001, lambda: self.give(event=failed) if self.life == life else None)
            return

        def synced() -> None:
            if self.life != life:
                return
            if command in disk.pending:
                disk.sync(command=command)
            self.give(event=RecordsSynced(seq=command.seq))

        # syncs end in order
        self._sync_end = max(self._sync_end, max(clock.now, self._stalled_until) + disk.write(command=command))
        clock.at(self._sync_end, synced)
