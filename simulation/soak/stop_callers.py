"""Callers of the stop soak: they use open connections until these end, and send and read at all speeds."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from simulation.real.hosted_fleet import HostedFleet, send_request
from simulation.soak.http_head import read_message, write_message
from simulation.soak.records import Attempt, ConnectionEnd, Records
from simulation.soak.worker import CONNECTION_ERRORS, SIZE_HEADER, WORK_HEADER

TIME_BUDGET = 12.0
"""s. The `Time-Budget` of each request."""
ANSWER_TIMEOUT = TIME_BUDGET + 3.0
"""s. A request that is neither answered nor closed by then is reported as HELD."""
RESOLVE_INTERVALS = (2.0, 6.0)
"""s for which a caller holds a directory's answer: its `ttl_s`, or three times that."""
KEPT_REQUESTS = 200
"""Requests on a connection that is kept, at most."""
LARGE_ANSWER_BYTES = 3 << 20
"""Bytes of an answer that is read slowly: more than the operating system's buffers hold."""
SMALL_BUFFER_BYTES = 16 << 10
"""Bytes of the receive buffer of a slow reader."""
READ_STEP_BYTES = 128 << 10
"""Bytes that a slow reader reads at once."""


@dataclass(kw_only=True)
class StopCallers:
    """All callers of a run. Each call of `run` is one caller, which sends requests until `is_stopped` is set."""

    fleet: HostedFleet
    records: Records
    rng: random.Random
    held: list[str] = field(default_factory=list)
    is_stopped: bool = False
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def run(self) -> None:
        """Send requests to proxies that a directory named; the directory is asked again now and then."""
        behaviours: list[Callable[..., Awaitable[None]]] = [
            self._keep_connection,
            self._keep_connection,
            self._work_long,
            self._send_head_slowly,
            self._send_body_slowly,
            self._send_late,
            self._pipeline,
            self._read_slowly,
        ]
        fronts: list[str] = []
        resolve_at = 0.0
        while not self.is_stopped:
            if time.monotonic() >= resolve_at or not fronts:
                fronts = await self._resolve() or fronts
                resolve_at = time.monotonic() + self.rng.choice(RESOLVE_INTERVALS)
            if not fronts:
                continue
            front = self.rng.choice(fronts)
            try:
                host, _, port = front.rpartition(":")
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout=1.0)
            except (*CONNECTION_ERRORS, TimeoutError):
                fronts = [other for other in fronts if other != front]
                continue
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self.rng.choice(behaviours)(front=front, reader=reader, writer=writer)
            writer.transport.abort()

    async def _resolve(self) -> list[str]:
        name = self.rng.choice(self.fleet.names(role="proxy"))
        settings = self.fleet.settings[name]
        path = f"/resolve?name=shop&region={settings['region']}&zone={settings['zone']}"
        address = self.fleet.address_of(name, "directory")
        code, _, body = await asyncio.to_thread(send_request, address, "GET", path)
        if code != 200:
            await asyncio.sleep(0.05)
            return []
        return list(json.loads(body)["addresses"])

    async def _keep_connection(self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One request after the other until the proxy closes the connection."""
        for _ in range(KEPT_REQUESTS):
            attempt, data = self.make_request(kind="kept", front=front, work=self.rng.uniform(0.0, 0.2))
            await self.send(writer=writer, pieces=[data], attempts=[attempt])
            if not await self.read(reader=reader, attempt=attempt) or self.is_stopped:
                return
            await asyncio.sleep(self.rng.choice((0.0, 0.0, self.rng.uniform(0.0, 0.1))))

    async def _work_long(self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempt, data = self.make_request(kind="long", front=front, work=self.rng.expovariate(1 / 0.8))
        await self.send(writer=writer, pieces=[data], attempts=[attempt])
        await self.read(reader=reader, attempt=attempt)

    async def _send_head_slowly(
        self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt, data = self.make_request(kind="slow-head", front=front, work=self.rng.uniform(0.0, 0.7))
        pieces = [data[at : at + 40] for at in range(0, len(data), 40)]
        await self.send(writer=writer, pieces=pieces, attempts=[attempt], seconds=self.rng.uniform(0.2, 2.5))
        await self.read(reader=reader, attempt=attempt)

    async def _send_body_slowly(
        self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt, data = self.make_request(
            kind="upload", front=front, work=self.rng.uniform(0.0, 0.3), body=b"x" * 20000
        )
        pieces = [data[at : at + 2500] for at in range(0, len(data), 2500)]
        await self.send(writer=writer, pieces=pieces, attempts=[attempt], seconds=self.rng.uniform(0.3, 4.0))
        await self.read(reader=reader, attempt=attempt)

    async def _send_late(self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect, and send the first request a moment later."""
        await asyncio.sleep(self.rng.uniform(0.0, 0.9))
        attempt, data = self.make_request(kind="late-first", front=front, work=self.rng.uniform(0.0, 0.3))
        await self.send(writer=writer, pieces=[data], attempts=[attempt])
        await self.read(reader=reader, attempt=attempt)

    async def _pipeline(self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        made = [
            self.make_request(kind="pipelined", front=front, work=self.rng.uniform(0.0, 0.5), is_safe=True)
            for _ in range(4)
        ]
        for attempt, _ in made[1:]:
            attempt.is_behind = True
        await self.send(
            writer=writer, pieces=[b"".join(data for _, data in made)], attempts=[attempt for attempt, _ in made]
        )
        for attempt, _ in made:
            if not await self.read(reader=reader, attempt=attempt):
                return

    async def _read_slowly(self, *, front: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read a large answer over one to three seconds, without asyncio's own buffering."""
        sock = writer.get_extra_info("socket").dup()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        writer.transport.pause_reading()
        attempt, data = self.make_request(
            kind="slow-reader", front=front, work=0.0, size=LARGE_ANSWER_BYTES, is_safe=True
        )
        await self.send(writer=writer, pieces=[data], attempts=[attempt])
        pause = self.rng.uniform(1.0, 3.0) * READ_STEP_BYTES / LARGE_ANSWER_BYTES
        stream = asyncio.StreamReader(limit=8 << 20)
        reading = asyncio.ensure_future(self.read(reader=stream, attempt=attempt))
        try:
            while not reading.done():
                part = await asyncio.get_running_loop().sock_recv(sock, READ_STEP_BYTES)
                if not part:
                    stream.feed_eof()
                    break
                stream.feed_data(part)
                await asyncio.sleep(pause)
        except OSError as error:
            stream.set_exception(error)
        finally:
            await reading
            sock.close()

    def make_request(
        self, *, kind: str, front: str, work: float, body: bytes = b"", size: int = 0, is_safe: bool = False
    ) -> tuple[Attempt, bytes]:
        """A new request, recorded, and its bytes; a request with a body, and some without, must not run twice."""
        name = f"a{next(self._numbers)}"
        is_nonidempotent = bool(body) or (not is_safe and self.rng.random() < 0.3)
        headers = {
            "Host": "shop",
            "Attempt-Id": name,
            "Time-Budget": str(int(TIME_BUDGET * 1000)),
            WORK_HEADER: f"{work:.3f}",
            SIZE_HEADER: str(size),
        }
        start_line = f"POST /order/{name} HTTP/1.1" if is_nonidempotent else f"GET /stock/{name} HTTP/1.1"
        attempt = self.records.begin(name=name, is_nonidempotent=is_nonidempotent)
        attempt.kind, attempt.front, attempt.size = kind, front, size
        return attempt, write_message(start_line=start_line, headers=headers, body=body)

    async def send(
        self, *, writer: asyncio.StreamWriter, pieces: list[bytes], attempts: list[Attempt], seconds: float = 0.0
    ) -> None:
        """Send the requests in these pieces, spread over some seconds."""
        for at, piece in enumerate(pieces):
            writer.write(piece)
            await writer.drain()
            if at + 1 < len(pieces):
                await asyncio.sleep(seconds / len(pieces))
        for attempt in attempts:
            attempt.sent_at = time.monotonic()

    async def read(self, *, reader: asyncio.StreamReader, attempt: Attempt) -> bool:
        """Read an answer; False if the connection can't be used any more."""
        try:
            message = await asyncio.wait_for(read_message(reader=reader), timeout=ANSWER_TIMEOUT)
        except TimeoutError:
            self.held.append(attempt.name)
            return False
        except asyncio.IncompleteReadError:
            attempt.end, attempt.ended_at = ConnectionEnd.CLOSED, time.monotonic()
            return False
        except OSError:
            attempt.end, attempt.ended_at = ConnectionEnd.RESET, time.monotonic()
            return False
        attempt.end, attempt.ended_at = ConnectionEnd.ANSWERED, time.monotonic()
        attempt.code, attempt.body = int(message.start_line[1]), message.body
        return message.headers.get("connection", "").lower() != "close"
