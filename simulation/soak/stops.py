"""Planned stops of proxies: the signals that a platform sends, in series and overlapping, and what became of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import subprocess
import time
from dataclasses import dataclass, field

from simulation.soak.environment import SoakEnvironment

GRACE = 6.0
"""s from SIGTERM to SIGKILL: the default of the platform's settings."""
STOP_INTERVAL = (0.8, 2.5)
"""s from one stop to the next, least and greatest: several proxies stop at once."""
MIN_SERVING = 2
"""Proxies that are not told to stop at any moment."""
SECOND_TERM_SHARE = 0.4
"""Share of stops in which SIGTERM is sent again."""
RELOAD_SHARE = 0.3
"""Share of stops during which SIGHUP is sent."""
RESTART_DELAY = 0.3
"""s from the end of a process to its next start."""
POLL_INTERVAL = 0.02
"""s between looks at a process that stops."""


@dataclass(kw_only=True)
class Stop:
    """One stop of a proxy; times in s of the monotonic clock. `code` is that of the process, None while it runs."""

    front: str
    at: float
    ended_at: float = 0.0
    code: int | None = None
    signals: list[str] = field(default_factory=list)


class StopInjector:
    """Stops proxies one after the other. `stops` holds what was done."""

    def __init__(self, *, environment: SoakEnvironment, rng: random.Random) -> None:
        self._environment, self._fleet, self._rng = environment, environment.fleet, rng
        self._stopping: set[str] = set()
        self.stops: list[Stop] = []

    async def run(self, *, seconds: float) -> None:
        """Begin stops for this many s, and wait until the last stopped proxy has been started again."""
        end, tasks = time.monotonic() + seconds, []
        while time.monotonic() < end:
            serving = [name for name in self._fleet.names(role="proxy") if name not in self._stopping]
            if len(serving) > MIN_SERVING:
                tasks.append(asyncio.ensure_future(self._stop(name=self._rng.choice(serving))))
            await asyncio.sleep(self._rng.uniform(*STOP_INTERVAL))
        await asyncio.gather(*tasks)

    async def _stop(self, *, name: str) -> None:
        self._stopping.add(name)
        process = self._fleet.running[name]
        stop = Stop(front=self._fleet.address_of(name, "front"), at=time.monotonic())
        self.stops.append(stop)
        for at, number in self._draw_signals():
            await self._wait(process=process, until=stop.at + at)
            if process.poll() is None:
                process.send_signal(number)
                stop.signals.append(f"{number.name} at {time.monotonic() - stop.at:.2f}")
        await self._wait(process=process, until=stop.at + GRACE)
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        stop.code = await asyncio.to_thread(process.wait)
        stop.ended_at = time.monotonic()
        await asyncio.sleep(RESTART_DELAY)
        self._fleet.start(name)
        await asyncio.to_thread(self._environment.wait_for_ready, name)
        self._stopping.discard(name)

    def _draw_signals(self) -> list[tuple[float, signal.Signals]]:
        drawn = [(0.0, signal.SIGTERM)]
        if self._rng.random() < SECOND_TERM_SHARE:
            drawn.append((self._rng.uniform(0.3, GRACE / 2), signal.SIGTERM))
        if self._rng.random() < RELOAD_SHARE:
            drawn.append((self._rng.uniform(0.0, GRACE / 2), signal.SIGHUP))
        return sorted(drawn)

    @staticmethod
    async def _wait(*, process: subprocess.Popen, until: float) -> None:
        while time.monotonic() < until and process.poll() is None:
            await asyncio.sleep(POLL_INTERVAL)
