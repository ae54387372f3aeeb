"""Simulated clients of the users' platform.

They resolve addresses at the directory, choose among them, and retry as the protocol says.
"""

from __future__ import annotations

import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward.events import Respond
from simulation.hosted.deployment import RequestKind
from simulation.hosted.environment import Environment
from simulation.hosted.exchange import CONNECT_TIMEOUT
from simulation.hosted.network import Node

RETRIES = 2
"""Retries that a client makes."""
FINAL_STATUSES = (400, 401, 404, 413, 431)
NOT_RUN_STATUSES = (408, 421, 429, 503)
GIVE_UP_REASONS = ("deadline", "left")
"""Reasons of an end after which a client does not retry, as it no longer wants an answer."""
FAILED_ADDRESS_TIME = 3.0
"""s for which an address that failed is avoided."""


@dataclass(kw_only=True)
class Attempt:
    """One attempt of a request, with its own id."""

    id: str
    request: Request
    turn: int
    work: float
    key: int
    is_read: bool = False
    is_over: bool = False


@dataclass(kw_only=True)
class Request:
    """One request of a client, across all its attempts."""

    number: int
    kind: RequestKind
    begun_at: float
    body: bytes
    path: str
    method: str
    work: float
    key: int
    retries: int = RETRIES


@dataclass(kw_only=True)
class Client:
    """Owner of one client's addresses and requests. `begin` sends a request."""

    world: Environment
    node: Node
    rng: random.Random
    ttl_factor: float
    is_aggressive: bool = False
    gives_up_within: float = 0.0
    addresses: list = field(default_factory=list)
    addresses_until: float = 0.0
    failed_at: dict = field(default_factory=dict)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    _waiting: list = field(default_factory=list)
    _is_resolving: bool = False

    def begin(self, *, kind: RequestKind, key: int = -1, path: str = "") -> None:
        """Send a request of this kind."""
        number = next(self.world.numbers)
        key = key if key >= 0 else self.rng.randrange(1 << 16)
        body = f"{kind.name} {number}".encode() if kind.is_nonidempotent else b""
        request = Request(
            number=number,
            kind=kind,
            begun_at=self.world.clock.now,
            body=body,
            work=kind.work,
            key=key,
            path=path or f"{kind.prefix}{number}",
            method="POST" if kind.is_nonidempotent else "GET",
        )
        self.world.history.add(
            t=request.begun_at,
            k="request",
            request=number,
            kind=kind.name,
            once=kind.is_nonidempotent,
            zone=self.node.zone,
        )
        self._send_or_resolve(request=request, turn=0)

    def _send_or_resolve(self, *, request: Request, turn: int) -> None:
        if self.world.clock.now >= self.addresses_until or not self.addresses:
            self._waiting.append((request, turn))
            self._resolve()
            return
        self._send(request=request, turn=turn)

    def _resolve(self) -> None:
        if self._is_resolving:
            return
        self._is_resolving = True
        nearest = sorted(
            (directory for directory in self.world.directories()),
            key=lambda directory: (
                directory.machine.node.region != self.node.region,
                directory.machine.node.zone != self.node.zone,
                self.rng.random(),
            ),
        )
        self._ask_directory(directories=nearest[:3])

    def _ask_directory(self, *, directories: list) -> None:
        if not directories:
            self._on_resolved(addresses=None, ttl=0.5)
            return
        process, finished = directories[0], []

        def on_response(answer: Respond | None) -> None:
            if finished:
                return
            finished.append(1)
            reply = json.loads(answer.body) if answer is not None and answer.code == 200 else {}
            if reply.get("addresses") and "ttl_s" in reply:
                self._on_resolved(
                    addresses=reply["addresses"], ttl=min(reply["ttl_s"], self.world.deployment.bounds["ttl_max_s"])
                )
            else:
                self._ask_directory(directories=directories[1:])

        self.world.exchange(
            node=self.node,
            process=process,
            edge="directory",
            path="/resolve",
            method="GET",
            headers={},
            body=b"",
            query={"name": "a.example", "region": self.node.region, "zone": self.node.zone},
            on_done=on_response,
        )
        self.world.clock.after(CONNECT_TIMEOUT, lambda: on_response(None))

    def _on_resolved(self, *, addresses: list | None, ttl: float) -> None:
        now, self._is_resolving = self.world.clock.now, False
        self.addresses = addresses if addresses is not None else self.addresses
        self.addresses_until = now + (ttl * self.ttl_factor if addresses is not None else 0.5)
        waiting, self._waiting = self._waiting, []
        for request, turn in waiting:
            if self.addresses:
                self._send(request=request, turn=turn)
            elif now - request.begun_at < request.kind.deadline:
                self._waiting.append((request, turn))
        if self._waiting:
            self.world.clock.after(0.3, self._resolve)

    def _pick_address(self) -> str:
        now = self.world.clock.now
        usable = [
            address for address in self.addresses if now - self.failed_at.get(address, -1e9) > FAILED_ADDRESS_TIME
        ]
        return self.rng.choice(usable or self.addresses)

    def _send(self, *, request: Request, turn: int) -> None:
        now = self.world.clock.now
        remaining = request.begun_at + request.kind.deadline - now
        if remaining <= 0.01:
            self._end(request=request, is_good=False, why="late")
            return
        address = self._pick_address()
        attempt = Attempt(
            id=f"{request.number:x}.{turn}", request=request, turn=turn, work=request.work, key=request.key
        )
        self.world.attempts[attempt.id] = attempt
        process = self.world.by_front_address.get(address)
        kind = request.kind
        headers = {
            "host": kind.host,
            "attempt-id": attempt.id,
            "time-budget": str(int(remaining * 1000)),
            "shard-key": str(request.key),
        }
        self.world.history.add(
            t=now,
            k="try",
            id=attempt.id,
            request=request.number,
            kind=kind.name,
            host=kind.host,
            path=request.path,
            once=kind.is_nonidempotent,
            turn=turn,
            zone=self.node.zone,
            region=self.node.region,
            left=remaining,
            proxy=process.machine.node.name if process else "",
            life=process.incarnation if process else 0,
        )

        def on_read() -> None:
            attempt.is_read = True
            self.world.history.add(
                t=self.world.clock.now,
                k="read",
                id=attempt.id,
                proxy=process.machine.node.name,
                life=process.incarnation,
            )

        def on_done(answer: Respond | None) -> None:
            self._on_response(attempt=attempt, address=address, answer=answer)

        close_connection = self.world.exchange(
            node=self.node,
            process=process,
            edge="front",
            path=request.path,
            method=request.method,
            headers=headers,
            body=request.body,
            query={},
            on_done=on_done,
            on_read=on_read,
        )

        def close(why: str) -> None:
            if not attempt.is_over and not (why == "unread" and attempt.is_read):
                close_connection()
                self._on_response(attempt=attempt, address=address, answer=None, why=why)

        self._schedule_closes(close=close, remaining=remaining, is_nonidempotent=kind.is_nonidempotent)

    def _schedule_closes(self, *, close: Callable[[str], None], remaining: float, is_nonidempotent: bool) -> None:
        """Close an attempt's connection at its deadline, if it is not read in time, or when its client gives up."""
        clock = self.world.clock
        if self.gives_up_within:
            clock.after(self.rng.uniform(0.0, self.gives_up_within), lambda: close("left"))
        clock.after(remaining, lambda: close("deadline"))
        if not is_nonidempotent:
            clock.after(min(1.0, remaining / 3) + 0.05, lambda: close("unread"))

    def _on_response(self, *, attempt: Attempt, address: str, answer: Respond | None, why: str = "closed") -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        now, request = self.world.clock.now, attempt.request
        code = answer.code if answer is not None else 0
        seal = (
            next((value for name, value in answer.headers.items() if name.lower() == "server-seal"), "")
            if answer is not None
            else ""
        )
        body = answer.body if answer is not None else b""
        self.world.history.add(
            t=now,
            k="got",
            id=attempt.id,
            request=request.number,
            kind=request.kind.name,
            once=request.kind.is_nonidempotent,
            code=code,
            seal=seal,
            body=body,
            why="" if code else why,
            read=attempt.is_read,
            reason=_reason(body=body) if code >= 400 else "",
        )
        if 200 <= code < 300:
            self._end(request=request, is_good=True, why="")
            return
        if code == 0 and why not in GIVE_UP_REASONS:
            self.failed_at[address] = now
        is_safe = code in NOT_RUN_STATUSES or (code == 0 and not attempt.is_read)
        may_retry = (
            code not in FINAL_STATUSES and (not request.kind.is_nonidempotent or is_safe) and why not in GIVE_UP_REASONS
        )
        remaining = request.begun_at + request.kind.deadline - now
        retry_factor = 3 if self.is_aggressive else 1
        if not may_retry or attempt.turn >= request.retries * retry_factor or remaining < 0.05:
            self._end(request=request, is_good=False, why=why if not code else str(code))
            return
        pause = 0.0 if self.is_aggressive else self._retry_pause(answer=answer, remaining=remaining)
        self.world.clock.after(pause, lambda: self._send_or_resolve(request=request, turn=attempt.turn + 1))

    def _retry_pause(self, *, answer: Respond | None, remaining: float) -> float:
        retry_after = (
            next((value for name, value in answer.headers.items() if name.lower() == "retry-after"), "")
            if answer is not None
            else ""
        )
        return min(float(retry_after), remaining / 3) if retry_after else 0.02

    def _end(self, *, request: Request, is_good: bool, why: str) -> None:
        now = self.world.clock.now
        self.world.history.add(
            t=now,
            k="end",
            request=request.number,
            kind=request.kind.name,
            once=request.kind.is_nonidempotent,
            good=is_good,
            why=why,
            begun=request.begun_at,
            took=now - request.begun_at,
            aim=request.kind.latency_target,
            zone=self.node.zone,
        )


def _reason(*, body: bytes) -> str:
    try:
        return str(json.loads(body).get("error", ""))
    except (ValueError, AttributeError):
        return ""
