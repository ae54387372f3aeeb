"""Simulated workers of the users' platform.

They have slots and a queue, hold keys by grants, go through slow start, drain, and can fail to answer in every way.
"""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from simulation.hosted.ailments import EXTRA, GARBLE, LOSE, SLOW_TIMES, Ailments
from simulation.hosted.environment import CallLine, Environment
from simulation.hosted.network import Node

SLOW_CLOCK = 1.02
"""Factor by which a hold lasts longer on a worker whose clock runs 2% slow."""
YOUNG, YOUNG_TIMES = 2.0, 1.6
"""s after a start in which work takes longer, and the factor by which it does."""
FALLS = 2.5
"""Multiple of the slow-start bound on requests/s at which a worker in slow start crashes from overload."""


@dataclass(kw_only=True)
class Hold:
    """A range of keys that a worker holds until a time on its own clock."""

    start: int
    end: int
    fencing_token: int
    since: float
    until: float


@dataclass(kw_only=True, eq=False)
class Worker:
    """One incarnation of a worker. `arrive` takes a call whose bytes have arrived."""

    world: Environment
    id: str
    service: str
    address: str
    node: Node
    capacity: int
    queue: int
    hangs: bool
    is_sharded: bool
    slow_start_rate: float
    rng: random.Random
    born: float
    speed: float = 1.0
    slow_start_until: float = 0.0
    is_up: bool = True
    is_silent: bool = False
    is_draining: bool = False
    forgets: float = 0.0
    forgets_after: float = 0.3
    holds: list = field(default_factory=list)
    fences: list = field(default_factory=list)
    running: dict = field(default_factory=dict)
    line: deque = field(default_factory=deque)
    recent: deque = field(default_factory=deque)
    releasing: list = field(default_factory=list)
    ailments: Ailments = field(init=False)

    def __post_init__(self) -> None:
        self.ailments = Ailments(rng=self.rng)

    def arrive(self, *, line: CallLine) -> None:
        """Handle a call whose bytes have arrived."""
        if self.is_silent:
            return
        if not self.is_up:
            line.answer(fault="connection-lost")
            return
        command, headers = line.command, line.headers
        path = urlsplit(command.path).path
        expect = headers.get("expect-instance", self.id)
        if path == "/health":
            self._tell_health(line=line)
        elif path in ("/grant", "/release"):
            if expect != self.id:
                line.answer(code=421, headers={"not-executed": "1"})
            else:
                (self._take_grant if path == "/grant" else self._take_release)(line=line, body=json.loads(command.body))
        else:
            self._take_request(line=line, headers=headers, is_meant=expect == self.id)

    def end(self) -> None:
        """End the process; all calls running and queued on it fail."""
        if not self.is_up:
            return
        self.is_up = False
        self._note_holds()
        for one in list(self.running):
            one.answer(fault="cut-short" if self.rng.random() < 0.3 else "connection-lost")
        for operation in self.line:
            operation.answer(fault="connection-lost")
        self.running.clear()
        self.line.clear()

    def holds_key(self, *, key: int) -> Hold | None:
        """The hold on this key that has not expired, if any."""
        now = self.world.clock.now
        return next((hold for hold in self.holds if hold.start <= key <= hold.end and now < hold.until), None)

    def closed(self, *, line: CallLine) -> None:
        """The connection of a call was closed: a queued request is dropped, a running one is stopped."""
        if line in self.line:
            self.line.remove(line)
        if line in self.running:
            del self.running[line]
            self._go_on()

    def _record(self, *, k: str, line: CallLine, **more: object) -> None:
        self.world.history.add(
            t=self.world.clock.now,
            k=k,
            id=line.headers.get("attempt-id", ""),
            worker=self.id,
            service=self.service,
            zone=self.node.zone,
            region=self.node.region,
            proxy=line.process.machine.node.name,
            life=line.process.incarnation,
            **more,
        )

    def _tell_health(self, *, line: CallLine) -> None:
        self.world.count["probes"] += 1
        if len(self.running) >= self.capacity and len(self.line) >= self.queue:
            if not self.hangs:
                line.answer(code=503, headers={"not-executed": "1"})
            return
        slow_start = max(0.0, self.slow_start_until - self.world.clock.now)
        headers = {"instance-id": self.id, **({"cold-remaining": f"{slow_start:.2f}"} if slow_start else {})}
        is_unhealthy = self.is_draining or self.ailments.reports_unhealthy(now=self.world.clock.now)
        line.answer(code=503 if is_unhealthy else 200, headers=headers)

    def _take_request(self, *, line: CallLine, headers: dict, is_meant: bool) -> None:
        now = self.world.clock.now
        key = int(headers["shard-key"]) if headers.get("shard-key", "").isdigit() else -1
        is_valid = not self.is_sharded or self.holds_key(key=key) is not None
        is_cold = now < self.slow_start_until
        code = 421 if not is_meant or not is_valid else 400 if not headers.get("attempt-id") else 0
        self._record(k="arrival", line=line, code=code, is_cold=is_cold, sent=line.sent_at)
        if code:
            line.answer(code=code, headers={"not-executed": "1", "attempt-id": headers.get("attempt-id", "")})
            return
        if is_cold and self._falls(now=now):
            self.world.history.add(t=now, k="fell", worker=self.id)
            self.world.crash(worker=self, is_silent=False)
            return
        grey = self.ailments.grey(now=now, zone=line.process.machine.node.zone)
        if grey:
            self.world.count[f"grey-{grey}"] += 1
        if grey in ("shed", "busy"):
            self._answer(line=line, code=503 if grey == "shed" else 429, headers={"not-executed": "1"})
            return
        if grey == "mute":
            return
        line.grey = grey
        line.due = now + int(headers.get("time-budget", "60000")) / 1000
        line.key = key
        if len(self.running) < self.capacity:
            self._begin(line=line)
        elif len(self.line) < self.queue:
            self.line.append(line)
        elif not self.hangs:
            self._answer(line=line, code=503, headers={"not-executed": "1"})

    def _falls(self, *, now: float) -> bool:
        self.recent.append(now)
        while self.recent[0] < now - 1.0:
            self.recent.popleft()
        bounds = self.world.deployment.bounds
        return len(self.recent) > FALLS * (self.slow_start_rate * bounds["cold_excess"] + bounds["cold_slack"])

    def _begin(self, *, line: CallLine) -> None:
        now = self.world.clock.now
        if now >= line.due:
            self._answer(line=line, code=503, headers={"not-executed": "1"})
            return
        attempt = self.world.attempts.get(line.headers.get("attempt-id", ""))
        work = (
            (attempt.work if attempt else 0.1)
            * self.speed
            * self.rng.uniform(0.7, 1.4)
            * (YOUNG_TIMES if now < self.born + YOUNG else 1.0)
            * self.ailments.slowness(now=now)
            * (SLOW_TIMES if line.grey == "slow" else 1.0)
        )
        self._record(
            k="run",
            line=line,
            method=line.command.method,
            target=line.command.path,
            body=line.command.body,
            key=line.key,
            expect=line.headers.get("expect-instance", ""),
            due=now + work,
        )
        self.running[line] = now
        if line.grey == "errors":
            work /= 4
        if line.grey != "hang":
            self.world.clock.after(work, lambda: self._finish(line=line, code=500 if line.grey == "errors" else 200))
        self.world.clock.at(line.due, lambda: self._finish(line=line, code=504))

    def _finish(self, *, line: CallLine, code: int) -> None:
        if self.running.pop(line, None) is None:
            return
        now = self.world.clock.now
        if self.is_silent:
            return
        if self.is_sharded and self.holds_key(key=line.key) is None:
            code = 500
        if line.grey == "reset" or self.ailments.strikes(now=now, name=LOSE):
            self.world.count["answers-lost"] += 1
            line.answer(fault="connection-lost")
        elif line.grey == "hang":
            pass
        elif self.ailments.strikes(now=now, name=GARBLE):
            self.world.count["garbled"] += 1
            self._garble(line=line)
        else:
            self._answer(line=line, code=code, headers={})
        self._go_on()

    def _garble(self, *, line: CallLine) -> None:
        name = line.headers.get("attempt-id", "")
        way = self.rng.randrange(6)
        if way < 2:
            line.answer(fault=("malformed", "cut-short")[way])
        elif way == 2:
            line.answer(code=200, headers={"attempt-id": "another", "server-seal": "z.z"}, body=b"another's")
        elif way == 3:
            line.answer(code=200, headers={"attempt-id": name}, body=b"no seal")
        else:
            line.answer(code=503 if way == 4 else 429, headers={"attempt-id": name}, body=b"after it ran")

    def _answer(self, *, line: CallLine, code: int, headers: dict) -> None:
        name = line.headers.get("attempt-id", "")
        seal = f"{self.id}.{name}.{code}"
        self._record(k="done", line=line, code=code, seal=seal, not_run="not-executed" in headers)
        body = f"body of {name}".encode() if code == 200 else b""
        headers = {"attempt-id": name, "server-seal": seal, **headers}
        line.answer(code=code, headers=headers, body=body)
        if self.ailments.strikes(now=self.world.clock.now, name=EXTRA):
            self._repeat(line=line, code=code, headers=headers, body=body)

    def _repeat(self, *, line: CallLine, code: int, headers: dict, body: bytes) -> None:
        """Send a surplus response: the same one again, or a refusal that names no request."""
        if self.rng.random() < 0.5:
            line.leave_surplus(code=code, headers=headers, body=body)
        else:
            line.leave_surplus(code=503, headers={"not-executed": "1"}, body=b"")

    def _go_on(self) -> None:
        while self.line and len(self.running) < self.capacity and self.is_up:
            self._begin(line=self.line.popleft())
        for line, start, end in list(self.releasing):
            if not any(start <= one.key <= end for one in self.running):
                self.releasing.remove((line, start, end))
                line.answer(code=200, headers={"handover": f"h.{self.id}.{start}"})

    def _take_grant(self, *, line: CallLine, body: dict) -> None:
        now, start, end, fencing_token = (
            self.world.clock.now,
            body["from_rev"],
            body["target_version"],
            body["fence_token"],
        )
        if body["hold_s"] > self.world.deployment.bounds["hold_max_s"]:
            line.answer(code=400)
            return
        if any(a <= end and start <= b and seen > fencing_token for a, b, seen in self.fences):
            line.answer(code=409)
            return
        self.fences = [(a, b, seen) for a, b, seen in self.fences if (a, b) != (start, end)] + [
            (start, end, fencing_token)
        ]
        self._drop(start=start, end=end)
        self.holds.append(
            Hold(start=start, end=end, fencing_token=fencing_token, since=now, until=now + body["hold_s"] * SLOW_CLOCK)
        )
        line.answer(code=200)

    def _take_release(self, *, line: CallLine, body: dict) -> None:
        start, end = body["from_rev"], body["target_version"]
        self._drop(start=start, end=end)
        self.releasing.append((line, start, end))
        self._go_on()

    def _drop(self, *, start: int, end: int) -> None:
        now, kept = self.world.clock.now, []
        for hold in self.holds:
            if hold.end < start or end < hold.start:
                kept.append(hold)
                continue
            self._note_hold(hold=hold, start=max(hold.start, start), end=min(hold.end, end), until=min(now, hold.until))
            if hold.start < start:
                kept.append(
                    Hold(
                        start=hold.start,
                        end=start - 1,
                        fencing_token=hold.fencing_token,
                        since=hold.since,
                        until=hold.until,
                    )
                )
            if end < hold.end:
                kept.append(
                    Hold(
                        start=end + 1,
                        end=hold.end,
                        fencing_token=hold.fencing_token,
                        since=hold.since,
                        until=hold.until,
                    )
                )
        self.holds = kept

    def _note_holds(self) -> None:
        for hold in self.holds:
            self._note_hold(hold=hold, start=hold.start, end=hold.end, until=min(self.world.clock.now, hold.until))
        self.holds = []

    def _note_hold(self, *, hold: Hold, start: int, end: int, until: float) -> None:
        if until > hold.since:
            self.world.history.add(
                t=hold.since, k="hold", worker=self.id, service=self.service, start=start, end=end, until=until
            )

    def note_end(self) -> None:
        """At the end of the run, record the keys that are still held."""
        self._note_holds()
