"""Simulated workers of the users' platform.

They have slots and a queue, hold keys by grants, go through slow start, drain, and can fail to answer in every way.
"""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from simulation.hosted.environment import Environment, WorkerCall
from simulation.hosted.network import Node
from simulation.hosted.worker_faults import EXTRA, GARBLE, LOSE, SLOW_FACTOR, WorkerFaults

SLOW_CLOCK_FACTOR = 1.02
"""Factor by which a hold lasts longer on a worker whose clock runs 2% slow."""
WARM_UP_TIME, WARM_UP_FACTOR = 2.0, 1.6
"""s after a start in which work takes longer, and the factor by which it does."""
OVERLOAD_FACTOR = 2.5
"""Multiple of the slow-start bound on requests/s at which a worker in slow start crashes from overload."""


@dataclass(kw_only=True)
class Hold:
    """A range of keys that a worker holds until a time on its own clock."""

    start: int
    end: int
    fencing_token: int
    begin: float
    until: float


@dataclass(kw_only=True, eq=False)
class Worker:
    """One incarnation of a worker. `receive` takes a call whose bytes have arrived."""

    world: Environment
    id: str
    service: str
    address: str
    node: Node
    capacity: int
    queue_limit: int
    hangs_when_full: bool
    is_sharded: bool
    slow_start_rate: float
    rng: random.Random
    started_at: float
    work_factor: float = 1.0
    slow_start_until: float = 0.0
    is_up: bool = True
    is_silent: bool = False
    is_draining: bool = False
    drops_idle_until: float = 0.0
    idle_limit: float = 0.3
    holds: list = field(default_factory=list)
    fences: list = field(default_factory=list)
    running: dict = field(default_factory=dict)
    queued: deque = field(default_factory=deque)
    recent_requests: deque = field(default_factory=deque)
    releasing: list = field(default_factory=list)
    ailments: WorkerFaults = field(init=False)

    def __post_init__(self) -> None:
        self.ailments = WorkerFaults(rng=self.rng)

    def receive(self, *, call: WorkerCall) -> None:
        """Handle a call whose bytes have arrived."""
        if self.is_silent:
            return
        if not self.is_up:
            call.respond(fault="connection-lost")
            return
        command, headers = call.command, call.headers
        path = urlsplit(command.path).path
        expect = headers.get("expect-instance", self.id)
        if path == "/health":
            self._answer_health_check(call=call)
        elif path in ("/grant", "/release"):
            if expect != self.id:
                call.respond(code=421, headers={"not-executed": "1"})
            else:
                (self._on_grant if path == "/grant" else self._on_release)(call=call, body=json.loads(command.body))
        else:
            self._on_request(call=call, headers=headers, is_expected=expect == self.id)

    def end(self) -> None:
        """End the process; all calls running and queued on it fail."""
        if not self.is_up:
            return
        self.is_up = False
        self._record_holds()
        for call in list(self.running):
            call.respond(fault="cut-short" if self.rng.random() < 0.3 else "connection-lost")
        for call in self.queued:
            call.respond(fault="connection-lost")
        self.running.clear()
        self.queued.clear()

    def holds_key(self, *, key: int) -> Hold | None:
        """The hold on this key that has not expired, if any."""
        now = self.world.clock.now
        return next((hold for hold in self.holds if hold.start <= key <= hold.end and now < hold.until), None)

    def on_connection_closed(self, *, call: WorkerCall) -> None:
        """The connection of a call was closed: a queued request is dropped, a running one is stopped."""
        if call in self.queued:
            self.queued.remove(call)
        if call in self.running:
            del self.running[call]
            self._start_queued()

    def _record(self, *, k: str, call: WorkerCall, **more: object) -> None:
        self.world.history.add(
            t=self.world.clock.now,
            k=k,
            id=call.headers.get("attempt-id", ""),
            worker=self.id,
            service=self.service,
            zone=self.node.zone,
            region=self.node.region,
            proxy=call.process.machine.node.name,
            life=call.process.incarnation,
            **more,
        )

    def _answer_health_check(self, *, call: WorkerCall) -> None:
        self.world.count["probes"] += 1
        if len(self.running) >= self.capacity and len(self.queued) >= self.queue_limit:
            if not self.hangs_when_full:
                call.respond(code=503, headers={"not-executed": "1"})
            return
        slow_start = max(0.0, self.slow_start_until - self.world.clock.now)
        headers = {"instance-id": self.id, **({"cold-remaining": f"{slow_start:.2f}"} if slow_start else {})}
        is_unhealthy = self.is_draining or self.ailments.reports_false_illness(now=self.world.clock.now)
        call.respond(code=503 if is_unhealthy else 200, headers=headers)

    def _on_request(self, *, call: WorkerCall, headers: dict, is_expected: bool) -> None:
        now = self.world.clock.now
        key = int(headers["shard-key"]) if headers.get("shard-key", "").isdigit() else -1
        has_key = not self.is_sharded or self.holds_key(key=key) is not None
        is_cold = now < self.slow_start_until
        code = 421 if not is_expected or not has_key else 400 if not headers.get("attempt-id") else 0
        self._record(k="arrival", call=call, code=code, is_cold=is_cold, sent=call.sent_at)
        if code:
            call.respond(code=code, headers={"not-executed": "1", "attempt-id": headers.get("attempt-id", "")})
            return
        if is_cold and self._is_overloaded(now=now):
            self.world.history.add(t=now, k="fell", worker=self.id)
            self.world.crash(worker=self, is_silent=False)
            return
        failure_mode = self.ailments.draw_failure(now=now, zone=call.process.machine.node.zone)
        if failure_mode:
            self.world.count[f"grey-{failure_mode}"] += 1
        if failure_mode in ("shed", "busy"):
            self._answer(call=call, code=503 if failure_mode == "shed" else 429, headers={"not-executed": "1"})
            return
        if failure_mode == "mute":
            return
        call.failure_mode = failure_mode
        call.deadline_at = now + int(headers.get("time-budget", "60000")) / 1000
        call.key = key
        if len(self.running) < self.capacity:
            self._begin(call=call)
        elif len(self.queued) < self.queue_limit:
            self.queued.append(call)
        elif not self.hangs_when_full:
            self._answer(call=call, code=503, headers={"not-executed": "1"})

    def _is_overloaded(self, *, now: float) -> bool:
        self.recent_requests.append(now)
        while self.recent_requests[0] < now - 1.0:
            self.recent_requests.popleft()
        bounds = self.world.deployment.bounds
        return len(self.recent_requests) > OVERLOAD_FACTOR * (
            self.slow_start_rate * bounds["cold_excess"] + bounds["cold_slack"]
        )

    def _begin(self, *, call: WorkerCall) -> None:
        now = self.world.clock.now
        if now >= call.deadline_at:
            self._answer(call=call, code=503, headers={"not-executed": "1"})
            return
        attempt = self.world.attempts.get(call.headers.get("attempt-id", ""))
        work = (
            (attempt.work if attempt else 0.1)
            * self.work_factor
            * self.rng.uniform(0.7, 1.4)
            * (WARM_UP_FACTOR if now < self.started_at + WARM_UP_TIME else 1.0)
            * self.ailments.slowdown(now=now)
            * (SLOW_FACTOR if call.failure_mode == "slow" else 1.0)
        )
        self._record(
            k="run",
            call=call,
            method=call.command.method,
            target=call.command.path,
            body=call.command.body,
            key=call.key,
            expect=call.headers.get("expect-instance", ""),
            due=now + work,
        )
        self.running[call] = now
        if call.failure_mode == "errors":
            work /= 4
        if call.failure_mode != "hang":
            self.world.clock.after(
                work, lambda: self._finish(call=call, code=500 if call.failure_mode == "errors" else 200)
            )
        self.world.clock.at(call.deadline_at, lambda: self._finish(call=call, code=504))

    def _finish(self, *, call: WorkerCall, code: int) -> None:
        if self.running.pop(call, None) is None:
            return
        now = self.world.clock.now
        if self.is_silent:
            return
        if self.is_sharded and self.holds_key(key=call.key) is None:
            code = 500
        if call.failure_mode == "reset" or self.ailments.affects(now=now, name=LOSE):
            self.world.count["answers-lost"] += 1
            call.respond(fault="connection-lost")
        elif call.failure_mode == "hang":
            pass
        elif self.ailments.affects(now=now, name=GARBLE):
            self.world.count["garbled"] += 1
            self._send_corrupt_response(call=call)
        else:
            self._answer(call=call, code=code, headers={})
        self._start_queued()

    def _send_corrupt_response(self, *, call: WorkerCall) -> None:
        attempt_id = call.headers.get("attempt-id", "")
        variant = self.rng.randrange(6)
        if variant < 2:
            call.respond(fault=("malformed", "cut-short")[variant])
        elif variant == 2:
            call.respond(code=200, headers={"attempt-id": "another", "server-seal": "z.z"}, body=b"another's")
        elif variant == 3:
            call.respond(code=200, headers={"attempt-id": attempt_id}, body=b"no seal")
        else:
            call.respond(code=503 if variant == 4 else 429, headers={"attempt-id": attempt_id}, body=b"after it ran")

    def _answer(self, *, call: WorkerCall, code: int, headers: dict) -> None:
        attempt_id = call.headers.get("attempt-id", "")
        seal = f"{self.id}.{attempt_id}.{code}"
        self._record(k="done", call=call, code=code, seal=seal, not_run="not-executed" in headers)
        body = f"body of {attempt_id}".encode() if code == 200 else b""
        headers = {"attempt-id": attempt_id, "server-seal": seal, **headers}
        call.respond(code=code, headers=headers, body=body)
        if self.ailments.affects(now=self.world.clock.now, name=EXTRA):
            self._send_surplus(call=call, code=code, headers=headers, body=body)

    def _send_surplus(self, *, call: WorkerCall, code: int, headers: dict, body: bytes) -> None:
        """Send a surplus response: the same one again, or a refusal that names no request."""
        if self.rng.random() < 0.5:
            call.send_surplus(code=code, headers=headers, body=body)
        else:
            call.send_surplus(code=503, headers={"not-executed": "1"}, body=b"")

    def _start_queued(self) -> None:
        while self.queued and len(self.running) < self.capacity and self.is_up:
            self._begin(call=self.queued.popleft())
        for call, start, end in list(self.releasing):
            if not any(start <= running.key <= end for running in self.running):
                self.releasing.remove((call, start, end))
                call.respond(code=200, headers={"handover": f"h.{self.id}.{start}"})

    def _on_grant(self, *, call: WorkerCall, body: dict) -> None:
        now, start, end, fencing_token = (
            self.world.clock.now,
            body["from_rev"],
            body["target_version"],
            body["fence_token"],
        )
        if body["hold_s"] > self.world.deployment.bounds["hold_max_s"]:
            call.respond(code=400)
            return
        if any(
            first <= end and start <= last and known_token > fencing_token for first, last, known_token in self.fences
        ):
            call.respond(code=409)
            return
        self.fences = [
            (first, last, known_token) for first, last, known_token in self.fences if (first, last) != (start, end)
        ] + [(start, end, fencing_token)]
        self._drop_holds(start=start, end=end)
        self.holds.append(
            Hold(
                start=start,
                end=end,
                fencing_token=fencing_token,
                begin=now,
                until=now + body["hold_s"] * SLOW_CLOCK_FACTOR,
            )
        )
        call.respond(code=200)

    def _on_release(self, *, call: WorkerCall, body: dict) -> None:
        start, end = body["from_rev"], body["target_version"]
        self._drop_holds(start=start, end=end)
        self.releasing.append((call, start, end))
        self._start_queued()

    def _drop_holds(self, *, start: int, end: int) -> None:
        now, remaining = self.world.clock.now, []
        for hold in self.holds:
            if hold.end < start or end < hold.start:
                remaining.append(hold)
                continue
            self._record_hold(
                hold=hold, start=max(hold.start, start), end=min(hold.end, end), until=min(now, hold.until)
            )
            if hold.start < start:
                remaining.append(
                    Hold(
                        start=hold.start,
                        end=start - 1,
                        fencing_token=hold.fencing_token,
                        begin=hold.begin,
                        until=hold.until,
                    )
                )
            if end < hold.end:
                remaining.append(
                    Hold(
                        start=end + 1,
                        end=hold.end,
                        fencing_token=hold.fencing_token,
                        begin=hold.begin,
                        until=hold.until,
                    )
                )
        self.holds = remaining

    def _record_holds(self) -> None:
        for hold in self.holds:
            self._record_hold(hold=hold, start=hold.start, end=hold.end, until=min(self.world.clock.now, hold.until))
        self.holds = []

    def _record_hold(self, *, hold: Hold, start: int, end: int, until: float) -> None:
        if until > hold.begin:
            self.world.history.add(
                t=hold.begin, k="hold", worker=self.id, service=self.service, start=start, end=end, until=until
            )

    def record_end(self) -> None:
        """At the end of the run, record the keys that are still held."""
        self._record_holds()
