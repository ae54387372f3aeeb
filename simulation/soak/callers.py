"""Callers of the soak: some wait for their answers, others close, reset or half-close their connections before."""

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
from simulation.soak.worker import BREAKS, WORK

BUDGET = 80.0
"""s that a request may take by its `Time-Budget`: a run of a departed caller must end long before it."""
ENDLESS = 75.0
"""s of work of a request whose caller will leave: only the end of its connection ends it in time."""
PATIENCE = 30.0
"""s after which an answer counts as held."""
RESET = struct.pack("ii", 1, 0)
"""SO_LINGER's value by which a close resets the connection."""
STAYING = 8
"""Of each thirteen callers, those that wait for their answers."""
DEEP = 24
"""Requests of a deep pipeline: more than a proxy works on for one connection at once."""


@dataclass(kw_only=True)
class Callers:
    """All callers of a soak. `run` lets one send requests until it is stopped."""

    fronts: list[str]
    records: Records
    rng: random.Random
    held: list[str] = field(default_factory=list)
    is_stopped: bool = False
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def run(self) -> None:
        """Send one request, or a pipeline of them, after the other."""
        ways = [
            *([self._stay] * STAYING),
            self._close,
            self._close,
            self._reset,
            self._close_behind_many,
            self._half_close,
        ]
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            with contextlib.suppress(*BREAKS):
                await self.rng.choice(ways)()

    async def ask_once(self, *, front: str) -> Attempt:
        """One repeatable request to this proxy, and its answer."""
        attempt, data = self._make(is_once=False, work=0.0)
        with contextlib.suppress(*BREAKS):
            reader, writer = await self._connect(front=front)
            writer.write(data)
            await self._take_answer(reader=reader, attempt=attempt)
            writer.close()
        return attempt

    async def _stay(self) -> None:
        attempt, data = self._make(is_once=self.rng.random() < 0.4, work=self.rng.uniform(0.0, 0.1))
        reader, writer = await self._connect()
        writer.write(data)
        await self._take_answer(reader=reader, attempt=attempt)
        writer.close()

    async def _close(self) -> None:
        await self._leave(count=1, is_reset=False)

    async def _reset(self) -> None:
        await self._leave(count=1, is_reset=True)

    async def _close_behind_many(self) -> None:
        await self._leave(count=self.rng.choice((3, DEEP)), is_reset=False)

    async def _leave(self, *, count: int, is_reset: bool) -> None:
        """Send repeatable requests that would run on and on, or one that may run only once, and leave."""
        is_once = count == 1 and self.rng.random() < 0.3
        work = self.rng.uniform(0.0, 0.5) if is_once else ENDLESS
        made = [self._make(is_once=is_once, work=work) for _ in range(count)]
        _, writer = await self._connect()
        writer.write(b"".join(data for _, data in made))
        await asyncio.sleep(self.rng.choice((0.0, self.rng.uniform(0.0, 0.4))))
        if is_reset:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort() if is_reset else writer.close()
        for attempt, _ in made:
            attempt.has_left = True

    async def _half_close(self) -> None:
        """Close the sending side alone, and read on: what may run only once is answered all the same."""
        attempt, data = self._make(is_once=True, work=self.rng.uniform(0.0, 0.2))
        reader, writer = await self._connect()
        writer.write(data)
        await writer.drain()
        writer.write_eof()
        await self._take_answer(reader=reader, attempt=attempt)
        writer.close()

    async def _connect(self, *, front: str = "") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = (front or self.rng.choice(self.fronts)).rpartition(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout=PATIENCE)

    def _make(self, *, is_once: bool, work: float) -> tuple[Attempt, bytes]:
        name = f"a{next(self._numbers)}"
        headers = {"Host": "shop", "Attempt-Id": name, "Time-Budget": str(int(BUDGET * 1000)), WORK: f"{work:.3f}"}
        first = f"POST /order/{name} HTTP/1.1" if is_once else f"GET /stock/{name} HTTP/1.1"
        return self.records.begin(name=name, is_once=is_once), write_message(first=first, headers=headers)

    async def _take_answer(self, *, reader: asyncio.StreamReader, attempt: Attempt) -> None:
        try:
            message = await asyncio.wait_for(read_message(reader=reader), timeout=PATIENCE)
            attempt.code, attempt.body = int(message.first[1]), message.body
        except TimeoutError:
            self.held.append(attempt.name)
