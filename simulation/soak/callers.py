"""Callers of the soak test: some wait for their answers, others close, reset or half-close their connections first."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import struct
from dataclasses import dataclass, field

from simulation.soak.http_head import read_message, write_message
from simulation.soak.records import Attempt, Records
from simulation.soak.worker import CONNECTION_ERRORS, WORK_HEADER

TIME_BUDGET = 80.0
"""s. The `Time-Budget` of each request: the run for a disconnected caller must end long before it."""
DEPARTED_WORK = 75.0
"""s. The work of a request whose caller will disconnect: it ends in time only if its connection is closed."""
ANSWER_TIMEOUT = 30.0
"""s. An answer that takes longer is reported as HELD."""
LINGER_RESET = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which closing a socket resets the connection."""
WAITING_WEIGHT = 8
"""How many of thirteen requests wait for their answers."""
DEEP_PIPELINE = 24
"""Requests in a deep pipeline: more than a proxy handles concurrently for one connection."""


@dataclass(kw_only=True)
class Callers:
    """All callers of a run. Each call of `run` is one caller, which sends requests until `is_stopped` is set."""

    fronts: list[str]
    records: Records
    rng: random.Random
    timed_out: list[str] = field(default_factory=list)
    is_stopped: bool = False
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def run(self) -> None:
        """Send requests, single or pipelined, one after the other."""
        behaviours = [
            *([self._wait_for_answer] * WAITING_WEIGHT),
            self._close_early,
            self._close_early,
            self._reset_early,
            self._close_after_pipeline,
            self._half_close,
        ]
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self.rng.choice(behaviours)()

    async def send_request(self, *, front: str) -> Attempt:
        """Send one repeatable request to this proxy and read its answer."""
        attempt, data = self._make_request(is_nonidempotent=False, work=0.0)
        with contextlib.suppress(*CONNECTION_ERRORS):
            reader, writer = await self._connect(front=front)
            writer.write(data)
            await self._read_answer(reader=reader, attempt=attempt)
            writer.close()
        return attempt

    async def _wait_for_answer(self) -> None:
        attempt, data = self._make_request(is_nonidempotent=self.rng.random() < 0.4, work=self.rng.uniform(0.0, 0.1))
        reader, writer = await self._connect()
        writer.write(data)
        await self._read_answer(reader=reader, attempt=attempt)
        writer.close()

    async def _close_early(self) -> None:
        await self._disconnect_early(count=1, is_reset=False)

    async def _reset_early(self) -> None:
        await self._disconnect_early(count=1, is_reset=True)

    async def _close_after_pipeline(self) -> None:
        await self._disconnect_early(count=self.rng.choice((3, DEEP_PIPELINE)), is_reset=False)

    async def _disconnect_early(self, *, count: int, is_reset: bool) -> None:
        """Send long-running repeatable requests, or one non-idempotent request, and disconnect before the answer."""
        is_nonidempotent = count == 1 and self.rng.random() < 0.3
        work = self.rng.uniform(0.0, 0.5) if is_nonidempotent else DEPARTED_WORK
        requests = [self._make_request(is_nonidempotent=is_nonidempotent, work=work) for _ in range(count)]
        _, writer = await self._connect()
        writer.write(b"".join(data for _, data in requests))
        await asyncio.sleep(self.rng.choice((0.0, self.rng.uniform(0.0, 0.4))))
        if is_reset:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort() if is_reset else writer.close()
        for attempt, _ in requests:
            attempt.has_disconnected = True

    async def _half_close(self) -> None:
        """Close only the sending side and keep reading: a non-idempotent request must still be answered."""
        attempt, data = self._make_request(is_nonidempotent=True, work=self.rng.uniform(0.0, 0.2))
        reader, writer = await self._connect()
        writer.write(data)
        await writer.drain()
        writer.write_eof()
        await self._read_answer(reader=reader, attempt=attempt)
        writer.close()

    async def _connect(self, *, front: str = "") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = (front or self.rng.choice(self.fronts)).rpartition(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout=ANSWER_TIMEOUT)

    def _make_request(self, *, is_nonidempotent: bool, work: float) -> tuple[Attempt, bytes]:
        name = f"a{next(self._numbers)}"
        headers = {
            "Host": "shop",
            "Attempt-Id": name,
            "Time-Budget": str(int(TIME_BUDGET * 1000)),
            WORK_HEADER: f"{work:.3f}",
        }
        start_line = f"POST /order/{name} HTTP/1.1" if is_nonidempotent else f"GET /stock/{name} HTTP/1.1"
        return self.records.begin(name=name, is_nonidempotent=is_nonidempotent), write_message(
            start_line=start_line, headers=headers
        )

    async def _read_answer(self, *, reader: asyncio.StreamReader, attempt: Attempt) -> None:
        try:
            message = await asyncio.wait_for(read_message(reader=reader), timeout=ANSWER_TIMEOUT)
            attempt.code, attempt.body = int(message.start_line[1]), message.body
        except TimeoutError:
            self.timed_out.append(attempt.name)
