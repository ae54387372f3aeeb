"""The faults of a run: drawn from its seed, each a few seconds long, two or three at a time."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from simulation.real.hosted_fleet import HostedFleet
from simulation.soak.worker import SoakWorker

FAULT_INTERVAL = (0.4, 0.9)
"""s from the start of a fault to the start of the next, least and greatest."""
FAULT_DURATION = (0.8, 2.2)
"""s that a fault lasts, least and greatest: two or three overlap."""
LOST_ANSWER_SHARE = 0.5
"""Share of answers that a worker loses during the fault `lose-answers`."""


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault: `at` is its start in s since the start of the run, `seconds` its duration."""

    at: float
    kind: str
    target: str
    seconds: float


class FaultInjector:
    """Injects faults into a fleet and its workers."""

    def __init__(self, *, fleet: HostedFleet, workers: list[SoakWorker]) -> None:
        self._fleet, self._workers = fleet, {worker.name: worker for worker in workers}
        self._targets_in_fault: set[str] = set()
        self.injected: list[Fault] = []

    def draw(self, *, rng: random.Random, seconds: float) -> list[Fault]:
        """Draw the faults of a run of this many s."""
        kinds = {"kill": list(self._fleet.settings), "pause": list(self._fleet.settings)}
        kinds |= {"cut": list(self._workers), "lose-answers": list(self._workers)}
        faults, at = [], rng.uniform(*FAULT_INTERVAL)
        while at < seconds:
            kind = rng.choice(list(kinds))
            faults.append(Fault(at=at, kind=kind, target=rng.choice(kinds[kind]), seconds=rng.uniform(*FAULT_DURATION)))
            at += rng.uniform(*FAULT_INTERVAL)
        return faults

    async def inject(self, *, fault: Fault) -> None:
        """Wait until the fault is due, inject it and end it; skipped if its target already has a fault."""
        await asyncio.sleep(fault.at)
        if fault.target in self._targets_in_fault:
            return
        self._targets_in_fault.add(fault.target)
        self.injected.append(fault)
        actions: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "kill": self._kill,
            "pause": self._pause,
            "cut": lambda fault: self._workers[fault.target].stall(seconds=fault.seconds),
            "lose-answers": lambda fault: self._workers[fault.target].lose_answers(
                seconds=fault.seconds, share=LOST_ANSWER_SHARE
            ),
        }
        await actions[fault.kind](fault)
        self._targets_in_fault.discard(fault.target)

    async def _kill(self, fault: Fault) -> None:
        process = self._fleet.running[fault.target]
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(fault.seconds)
        self._fleet.start(fault.target)

    async def _pause(self, fault: Fault) -> None:
        process = self._fleet.running[fault.target]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        process.send_signal(signal.SIGCONT)
