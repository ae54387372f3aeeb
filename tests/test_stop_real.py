"""SIGTERM to a real proxy while its clients send and read at all speeds: whatever it reads whole is answered."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from simulation.soak.environment import SoakEnvironment
from simulation.soak.judge import judge_logs
from simulation.soak.judge_stops import judge_stops
from simulation.soak.records import Attempt, ConnectionEnd, Records
from simulation.soak.stop_callers import StopCallers
from simulation.soak.stops import GRACE, Stop

DEREGISTERED = GRACE / 2 - 0.2
"""s after SIGTERM at which the proxy stops to accept connections."""
PROXY = "proxy-0"
LEAD = 0.5
"""s before SIGTERM in which clients may begin."""
BUFFER_BYTES = 64 << 10
"""Bytes that a client's reader holds at most twice over: what it does not read stays with the operating system."""


class StoppedProxy:
    """A fleet with one proxy, which `play` stops while clients go on."""

    def __init__(self, *, folder: Path) -> None:
        rng = random.Random(1)
        self.records, self.folder = Records(), folder
        self.environment = SoakEnvironment(folder=folder, records=self.records, rng=rng, deadline=12.0, proxies=1)
        self.callers = StopCallers(fleet=self.environment.fleet, records=self.records, rng=rng)
        self.stop = Stop(front=self.environment.fleet.address_of(PROXY, "front"), at=0.0)

    def play(self, *, clients: list[Callable[[], Awaitable]], term_again_at: float = 0.0) -> list:
        """Stop the proxy and run the clients from then on; SIGKILL follows at the end of the grace period."""
        return asyncio.run(self._play(clients=clients, term_again_at=term_again_at))

    def violations(self) -> list[str]:
        """What was lost, and whether the process had to be killed."""
        return [*judge_stops(records=self.records, stops=[self.stop]), *judge_logs(folder=self.folder)]

    async def send(self, *, at: float, until: float, work: float = 0.0, body: bytes = b"") -> Attempt:
        """Connect `at` s after SIGTERM and send a request evenly up to `until`; returns it with its answer."""
        attempt, data = self.callers.make_request(
            kind="upload" if body else "head", front=self.stop.front, work=work, body=body, is_safe=True
        )
        try:
            reader, writer = await self._connect(at=at)
        except OSError:
            # the listener has closed: nothing was sent
            attempt.end = ConnectionEnd.REFUSED
            return attempt
        step = max(1, len(data) // 20)
        pieces = [data[start : start + step] for start in range(0, len(data), step)] if until > at else [data]
        try:
            await self.callers.send(writer=writer, pieces=pieces, attempts=[attempt], seconds=until - at)
            await self.callers.read(reader=reader, attempt=attempt)
        except OSError:
            attempt.end = ConnectionEnd.RESET
        writer.transport.abort()
        return attempt

    async def read_late(self, *, at: float, until: float, count: int, size: int) -> list[Attempt]:
        """Pipeline requests `at` s after SIGTERM on one connection, and read their answers from `until` on."""
        reader, writer = await self._connect(at=at)
        made = [
            self.callers.make_request(kind="large", front=self.stop.front, work=0.0, size=size, is_safe=True)
            for _ in range(count)
        ]
        attempts = [attempt for attempt, _ in made]
        await self.callers.send(writer=writer, pieces=[b"".join(data for _, data in made)], attempts=attempts)
        writer.transport.pause_reading()
        await asyncio.sleep(self.stop.at + until - time.monotonic())
        writer.transport.resume_reading()
        for attempt in attempts:
            if not await self.callers.read(reader=reader, attempt=attempt):
                break
        writer.transport.abort()
        return attempts

    async def keep(self, *, times: list[float]) -> list[Attempt]:
        """Send a request at each of these times after SIGTERM, all on one connection."""
        reader, writer = await self._connect(at=times[0])
        attempts = []
        for at in times:
            await asyncio.sleep(max(0.0, self.stop.at + at - time.monotonic()))
            attempt, data = self.callers.make_request(kind="kept", front=self.stop.front, work=0.0, is_safe=True)
            attempts.append(attempt)
            await self.callers.send(writer=writer, pieces=[data], attempts=[attempt])
            if not await self.callers.read(reader=reader, attempt=attempt):
                break
        writer.transport.abort()
        return attempts

    async def _connect(self, *, at: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        await asyncio.sleep(max(0.0, self.stop.at + at - time.monotonic()))
        host, _, port = self.stop.front.rpartition(":")
        return await asyncio.open_connection(host, int(port), limit=BUFFER_BYTES)

    async def _play(self, *, clients: list[Callable[[], Awaitable]], term_again_at: float) -> list:
        try:
            await self.environment.start()
            process = self.environment.fleet.running[PROXY]
            loop = asyncio.get_running_loop()
            self.stop.at = time.monotonic() + LEAD
            loop.call_later(LEAD, process.send_signal, signal.SIGTERM)
            if term_again_at:
                loop.call_later(LEAD + term_again_at, process.send_signal, signal.SIGTERM)
            loop.call_later(LEAD + GRACE, process.kill)
            attempts = await asyncio.gather(*(client() for client in clients))
            self.stop.code = await asyncio.to_thread(process.wait)
            self.stop.ended_at = time.monotonic()
            return attempts
        finally:
            await self.environment.end()


def test_requests_that_become_whole_while_a_proxy_stops_are_answered(tmp_path: Path) -> None:
    proxy = StoppedProxy(folder=tmp_path)
    ends = [DEREGISTERED - 0.1 + 0.1 * number for number in range(12)]
    clients = [
        *(lambda end=end: proxy.send(at=0.5, until=end, body=b"x" * 40000) for end in ends),
        *(lambda end=end: proxy.send(at=1.5, until=end) for end in ends),
        *(lambda at=at: proxy.send(at=at, until=at) for at in (DEREGISTERED - 0.10, DEREGISTERED - 0.05, DEREGISTERED)),
    ]
    attempts = proxy.play(clients=clients)
    assert not proxy.violations()
    assert {attempt.end for attempt in attempts if attempt.sent_at} == {ConnectionEnd.ANSWERED}


def test_large_answers_that_are_read_slowly_come_whole_from_a_stopping_proxy(tmp_path: Path) -> None:
    proxy = StoppedProxy(folder=tmp_path)
    [attempts] = proxy.play(clients=[lambda: proxy.read_late(at=-0.1, until=4.5, count=5, size=3 << 20)])
    assert not proxy.violations()
    assert [attempt.code for attempt in attempts] == [200] * 5


def test_a_kept_connection_is_used_once_more_after_sigterm(tmp_path: Path) -> None:
    proxy = StoppedProxy(folder=tmp_path)
    kept = proxy.play(clients=[lambda at=at: proxy.keep(times=[-0.3, at, at + 0.2]) for at in (0.3, 1.0, 1.8)])
    assert not proxy.violations()
    assert [[attempt.code for attempt in attempts] for attempts in kept] == [[200, 200]] * 3


def test_a_repeated_sigterm_does_not_prolong_the_stop_into_the_kill(tmp_path: Path) -> None:
    proxy = StoppedProxy(folder=tmp_path)
    attempts = proxy.play(clients=[lambda: proxy.send(at=0.5, until=0.5, work=20.0)], term_again_at=2.0)
    assert not proxy.violations()
    assert [attempt.end for attempt in attempts] == [ConnectionEnd.ANSWERED]
