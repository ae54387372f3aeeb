"""One machine, and the daemon processes on it.

Each process steps the product's owner and carries out its commands, as the host does on real sockets.
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
from simulation.hosted.network import Node
from simulation.sim.disk import Disk

RESTART_DELAY = 0.4
"""s from the end of a process until it runs again: the supervisor's pause and the start-up time."""
VALIDATION_TIME = 0.02
"""s that the validation of a configuration takes; it runs in parallel to the owner."""


class Machine:
    """A machine with its processes. Its disk keeps its content when they end, unless it is wiped."""

    def __init__(self, *, world: Environment, node: Node, ip: str, roles: tuple) -> None:
        self.world, self.node, self.ip = world, node, ip
        self.rng = random.Random(f"{world.seed}/{node.name}")
        self.disk = Disk(rng=self.rng)
        self.is_powered_off = False
        self.is_removed = False
        self.clock_skew = 0.0
        self.is_bootstrap = False
        self.processes = {role: Process(machine=self, role=role) for role in roles}

    def start(self) -> None:
        """Power the machine on: all its processes start."""
        if self.is_removed:
            return
        self.is_powered_off = False
        for process in self.processes.values():
            process.start()

    def lose_power(self, *, wipe: bool = False) -> None:
        """Cut the power at once; `wipe` erases the disk as well."""
        self.is_powered_off = True
        for process in self.processes.values():
            process.end(is_powered_off=True)
        self.disk.lose_power()
        if wipe:
            self.disk.wipe()


class Process:
    """One daemon process, which is running, frozen or down. Each start is a new incarnation."""

    def __init__(self, *, machine: Machine, role: str) -> None:
        self.machine, self.role, self.world = machine, role, machine.world
        self.owner = None
        self.host = None
        self.incarnation = 0
        self.held_events: list | None = None
        self.is_listener_closed = False
        self.is_stopping = False
        self.is_retired = False
        self.pending_requests: dict = {}
        self.logs: list = []
        self.order_tokens: set = set()
        self.delay = 0.0
        self._last_sync_at = self._stalled_until = 0.0
        self._due_at = 0.0
        self._clock_origin = 0.0

    @property
    def name(self) -> str:
        """The name that scenarios use for it, ROLE@MACHINE."""
        return f"{self.role}@{self.machine.node.name}"

    def now(self) -> float:
        """The process's monotonic clock, in s."""
        return self.world.clock.now - self._clock_origin

    def start(self) -> None:
        """Start with the records on the disk and the settings as they are now."""
        if self.owner is not None or self.machine.is_powered_off or self.machine.is_removed or self.is_retired:
            return
        self.incarnation += 1
        self.is_listener_closed = self.is_stopping = False
        self.host = self.world.host(machine=self.machine, role=self.role)
        self._clock_origin = self.world.clock.now - 50.0 - self.machine.rng.random()
        nonce = f"{self.machine.rng.getrandbits(48):012x}"
        start = int((self.world.wall() + self.machine.clock_skew) * 1e6)
        if self.role == "controller":
            stored = self.machine.disk.read()
            self.owner = Controller(
                location=self.host.location,
                platform=self.host.platform,
                nonce=nonce,
                start=start,
                rng=random.Random(nonce),
                records=stored.records,
                now=self.now(),
                options=self.host.options,
            )
        else:
            self.owner = Proxy(
                location=self.host.location, start=start, rng=random.Random(nonce), options=self.host.options
            )
        self._record(k="up")
        self._tick(current=self.incarnation)

    def kill(self) -> None:
        """End the process at once, as by SIGKILL; it is restarted after RESTART_DELAY."""
        self.end(is_powered_off=False)
        self.machine.disk.kill()
        self.world.clock.after(RESTART_DELAY, self.start)

    def stop(self) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period; the process is restarted afterwards."""
        current, bounds = self.incarnation, self.world.deployment.bounds
        if self.owner is None:
            return
        self.is_stopping = True
        self._record(k="term")
        self.deliver(event=ShutdownRequested())
        self.world.clock.after(
            bounds["grace_s"],
            lambda: self.kill() if self.incarnation == current and self.owner is not None else None,
        )

    def freeze(self) -> None:
        """Suspend the process; what arrives meanwhile is queued."""
        if self.owner is not None and self.held_events is None:
            self.held_events = []

    def thaw(self) -> None:
        """Resume the process and handle what was queued."""
        deferred, self.held_events = self.held_events or [], None
        for action in deferred:
            action()

    def end(self, *, is_powered_off: bool) -> None:
        """End the process. Its connections close; with `is_powered_off` (a loss of power) the peers hear nothing."""
        if self.owner is None:
            return
        self._record(k="down", stopped=self.is_stopping)
        self.owner, self.held_events = None, None
        self.incarnation += 1
        self.world.calls.end(process=self, is_powered_off=is_powered_off)
        pending_requests, self.pending_requests = self.pending_requests, {}
        for respond in pending_requests.values():
            respond(None if not is_powered_off else "silent")

    def reset(self, *, share: float) -> None:
        """Reset this share of its connections, from 0 to 1, those of callers and those to workers."""
        rng = self.world.rng
        for token, respond in list(self.pending_requests.items()):
            if rng.random() < share:
                self.world.count["callers-reset"] += 1
                respond(None)
                self.disconnect_client(token=token)
        self.world.calls.reset(process=self, share=share)

    def stall(self, *, until: float) -> None:
        """No sync of its disk completes before `until`."""
        self._stalled_until = until

    def reload_settings(self) -> None:
        """SIGHUP: the settings file has changed. A proxy reloads the seeds, as its host does."""
        if self.owner is not None and self.role == "proxy":
            self.owner.control_client.seeds = self.world.host(machine=self.machine, role=self.role).location.seeds

    def deliver(self, *, event: object) -> None:
        """Pass an event to the owner; on a slowed machine it is delayed, and events keep their order."""
        clock, current = self.world.clock, self.incarnation
        if self.delay or clock.now < self._due_at:
            self._due_at = max(clock.now + self.machine.rng.uniform(0.2, 1.0) * self.delay, self._due_at + 1e-6)
            clock.at(self._due_at, lambda: self._step_owner(event=event) if self.incarnation == current else None)
        else:
            self._step_owner(event=event)

    def _step_owner(self, *, event: object) -> None:
        if self.owner is None:
            return
        if self.held_events is not None:
            if not isinstance(event, TimerFired):
                self.held_events.append(lambda: self.deliver(event=event))
            return
        current = self.incarnation
        try:
            commands = self.owner.step(now=self.now(), event=event)
        except Exception as error:  # noqa: BLE001 - a real process would end with code 70
            self.world.history.add(
                t=self.world.clock.now,
                k="crash",
                daemon=self.name,
                fault="".join(traceback.format_exception(error)[-3:]),
            )
            self.kill()
            return
        for command in commands:
            if self.incarnation != current or self.owner is None:
                return
            self._carry_out(command=command)

    def receive_request(self, *, event: RequestReceived, respond: Callable) -> None:
        """Take a request; `respond` gets a Respond, None if the connection closed, "silent" if nothing arrives."""
        if self.owner is None:
            respond("silent" if self.machine.is_powered_off else None)
            return
        self.pending_requests[event.token] = self._recording_response(event=event, respond=respond)
        edge = event.token.split(" ", 1)[0]
        if edge == "desk" and event.method != "GET":
            self.order_tokens.add(event.token)
        elif edge == "front":
            self.world.taker = self.machine.node.name
            self.world.on_moment(moment="taken")
            if self.owner is None:
                return
        self.deliver(event=event if edge == "front" else self.host.translation.request(event))

    def _recording_response(self, *, event: RequestReceived, respond: Callable) -> Callable:
        """For an operator's request, record it in the history together with the response that the controller sends."""
        if not event.token.startswith("desk "):
            return respond
        history, clock = self.world.history, self.world.clock
        row = {"t": clock.now, "k": "desk", "machine": self.machine.node.name, "life": self.incarnation}
        row |= {"path": event.path, "method": event.method, "size": len(event.body or b"")}
        row |= {"code": None, "ended": float("inf")}
        history.add(**row)
        row = history.rows[-1]

        def end(command: object) -> None:
            row["ended"], row["code"] = clock.now, getattr(command, "code", 0)
            respond(command)

        return end

    def disconnect_client(self, *, token: str) -> None:
        """A client closed its connection."""
        if self.pending_requests.pop(token, None) is not None:
            self.deliver(event=ClientDisconnected(token=token))

    def _record(self, *, k: str, **more: object) -> None:
        self.world.history.add(
            t=self.world.clock.now,
            k=k,
            daemon=self.name,
            machine=self.machine.node.name,
            role=self.role,
            life=self.incarnation,
            **more,
        )

    def _tick(self, *, current: int) -> None:
        if self.incarnation != current:
            return
        self.deliver(event=TimerFired(wall=self.world.wall() + self.machine.clock_skew))
        self.world.clock.after(
            constants.TICK_INTERVAL * self.machine.rng.uniform(0.98, 1.1), lambda: self._tick(current=current)
        )

    def _carry_out(self, *, command: object) -> None:
        if isinstance(command, SendMessage):
            self._send_message(command=command)
        elif isinstance(command, Respond):
            self._respond(command=command)
        elif isinstance(command, (StartCall, CancelCall, WithdrawCall, CloseConnections)):
            self._carry_out_call(command=command)
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self._write_to_disk(command=command)
        elif isinstance(command, ValidateConfig):
            self._validate_config(command=command)
        elif isinstance(command, DrainConnections):
            self.is_listener_closed = self.is_listener_closed or command.shut
        elif isinstance(command, LogEvent):
            self.logs.append((self.world.clock.now, command.event, command.fields))
        elif isinstance(command, ExitProcess):
            self._exit()

    def _carry_out_call(self, *, command: StartCall | CancelCall | WithdrawCall | CloseConnections) -> None:
        calls = self.world.calls
        if isinstance(command, StartCall):
            calls.start(process=self, command=command)
        elif isinstance(command, CancelCall):
            calls.cancel(process=self, token=command.token)
        elif isinstance(command, WithdrawCall):
            calls.withdraw(process=self, token=command.token)
        else:
            calls.close_connections(process=self, owner=command.owner)

    def _exit(self) -> None:
        self.end(is_powered_off=False)
        self.world.clock.after(RESTART_DELAY, self.start)

    def _respond(self, *, command: Respond) -> None:
        respond = self.pending_requests.pop(command.token, None)
        if respond is not None:
            self._on_order_answered(command=command)
            respond(command if command.token.startswith("front ") else self.host.translation.response(command))

    def _validate_config(self, *, command: ValidateConfig) -> None:
        current = self.incarnation
        event = ConfigValidated(token=command.token, verdict=check_config(config=command.config))
        self.world.clock.after(
            VALIDATION_TIME, lambda: self.deliver(event=event) if self.incarnation == current else None
        )

    def _on_order_answered(self, *, command: Respond) -> None:
        if command.token not in self.order_tokens:
            return
        self.order_tokens.discard(command.token)
        if 200 <= command.code < 300:
            self.world.leader = self.machine.node.name
            # the response leaves the daemon before the steps that wait for this moment are run
            self.world.clock.after(
                self.world.moment_rng.uniform(0.0, 0.004), lambda: self.world.on_moment(moment="answered")
            )

    def _send_message(self, *, command: SendMessage) -> None:
        receiver = self.world.by_inner_address.get(command.to)
        if receiver is None:
            return
        body = check_message(body=marshal.loads(marshal.dumps(command.body)))
        if isinstance(body, BadMessage):
            raise AssertionError(f"{self.name} sent a bad message: {body.reason} {command.body}")
        self.world.count[f"told-{body['kind']}"] += 1
        self._record_push(receiver=receiver, body=body)
        event, current = MessageReceived(sender=self.host.location.post, body=body), receiver.incarnation
        self.world.network.send(
            a=self.machine.node,
            b=receiver.machine.node,
            stream=(self, self.incarnation, receiver, current),
            act=lambda: receiver.deliver(event=event) if receiver.incarnation == current else None,
        )

    def _record_push(self, *, receiver: Process, body: dict) -> None:
        """Record each push of a configuration or register from a controller to a proxy."""
        if body["kind"] != "push" or self.role != "controller" or receiver.role != "proxy":
            return
        self.world.history.add(
            t=self.world.clock.now,
            k="push",
            machine=self.machine.node.name,
            to=receiver.machine.node.name,
            life=receiver.incarnation,
            name=body["name"],
            number=body["number"],
            contact=body.get("contact") is not False,
        )

    def _write_to_disk(self, *, command: AppendRecords | RewriteRecords) -> None:
        disk, current, clock = self.machine.disk, self.incarnation, self.world.clock
        if not disk.claim_room(command=command):
            failed = DiskWriteFailed(seq=command.seq, full=True, reason="no room")
            clock.after(0.001, lambda: self.deliver(event=failed) if self.incarnation == current else None)
            return

        def synced() -> None:
            if self.incarnation != current:
                return
            if command in disk.pending:
                disk.sync(command=command)
            self.deliver(event=RecordsSynced(seq=command.seq))

        # syncs complete in order
        self._last_sync_at = max(self._last_sync_at, max(clock.now, self._stalled_until) + disk.write(command=command))
        clock.at(self._last_sync_at, synced)
