"""The troubles of a soak: drawn by its seed, each a few seconds long, two or three at a time."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from simulation.real.hosted_fleet import HostedFleet
from simulation.soak.worker import SoakWorker

GAP = (0.4, 0.9)
"""s from the beginning of a trouble to that of the next."""
SPAN = (0.8, 2.2)
"""s that a trouble lasts: two or three overlap."""
LOST = 0.5
"""Share of the answers that a worker loses while it does."""


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """One trouble; `at` and `seconds` in s of the soak."""

    at: float
    kind: str
    target: str
    seconds: float


class Troubles:
    """Brings troubles about on a fleet and its workers."""

    def __init__(self, *, fleet: HostedFleet, workers: list[SoakWorker]) -> None:
        self._fleet, self._workers = fleet, {worker.name: worker for worker in workers}
        self._busy: set[str] = set()
        self.done: list[Trouble] = []

    def draw(self, *, rng: random.Random, seconds: float) -> list[Trouble]:
        """The troubles of a soak of so many s."""
        kinds = {"kill": list(self._fleet.settings), "pause": list(self._fleet.settings)}
        kinds |= {"cut": list(self._workers), "lose-answers": list(self._workers)}
        drawn, at = [], rng.uniform(*GAP)
        while at < seconds:
            kind = rng.choice(list(kinds))
            drawn.append(Trouble(at=at, kind=kind, target=rng.choice(kinds[kind]), seconds=rng.uniform(*SPAN)))
            at += rng.uniform(*GAP)
        return drawn

    async def bring(self, *, trouble: Trouble) -> None:
        """Wait for the trouble's time, bring it about and end it; one whose target is in trouble is left out."""
        await asyncio.sleep(trouble.at)
        if trouble.target in self._busy:
            return
        self._busy.add(trouble.target)
        self.done.append(trouble)
        acts: dict[str, Callable[[Trouble], Awaitable[None]]] = {
            "kill": self._kill,
            "pause": self._pause,
            "cut": lambda one: self._workers[one.target].cut(seconds=one.seconds),
            "lose-answers": lambda one: self._workers[one.target].lose_answers(seconds=one.seconds, share=LOST),
        }
        await acts[trouble.kind](trouble)
        self._busy.discard(trouble.target)

    async def _kill(self, trouble: Trouble) -> None:
        process = self._fleet.running[trouble.target]
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(trouble.seconds)
        self._fleet.start(trouble.target)

    async def _pause(self, trouble: Trouble) -> None:
        process = self._fleet.running[trouble.target]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.seconds)
        process.send_signal(signal.SIGCONT)
