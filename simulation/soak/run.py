"""One run of the soak test, from start to verdict."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from pathlib import Path

from simulation.real.hosted_fleet import HostedFleet, send_request, wait_until
from simulation.soak.callers import TIME_BUDGET, Callers
from simulation.soak.environment import SoakEnvironment
from simulation.soak.faults import FaultInjector
from simulation.soak.judge import NOT_EXECUTED_CODES, judge_attempts, judge_logs
from simulation.soak.records import Records

PROXIES = 2
"""Proxies of a run."""
CALLERS = 12
"""Concurrent callers: some ten requests per second, far below what two proxies can serve on a busy machine."""
CONSECUTIVE_REQUESTS = 10
"""Consecutive requests that each proxy must serve after the faults."""
MAX_SERVICE_CHECKS = 40
"""Checks, half a second apart, by the last of which a proxy must serve `CONSECUTIVE_REQUESTS`."""


@dataclass(kw_only=True)
class Verdict:
    """The violations and figures of a run."""

    violations: list[str]
    figures: dict[str, int] = field(default_factory=dict)


class Soak:
    """One run in a folder of its own. `run` returns its verdict."""

    def __init__(self, *, seed: int, seconds: float, folder: Path) -> None:
        self._seconds, self._folder = seconds, folder
        self._rng = random.Random(seed)
        self._records = Records()
        self._violations: list[str] = []

    async def run(self) -> Verdict:
        """Start the fleet, inject the faults, and check for violations."""
        environment = SoakEnvironment(
            folder=self._folder, records=self._records, rng=self._rng, deadline=TIME_BUDGET, proxies=PROXIES
        )
        try:
            await environment.start()
            return await self._run_soak(environment=environment)
        finally:
            await environment.end()

    async def _run_soak(self, *, environment: SoakEnvironment) -> Verdict:
        fleet = environment.fleet
        fronts = [fleet.address_of(name, "front") for name in fleet.names(role="proxy")]
        callers = Callers(fronts=fronts, records=self._records, rng=self._rng)
        injector = FaultInjector(fleet=fleet, workers=environment.workers)
        faults = injector.draw(rng=self._rng, seconds=self._seconds)
        caller_tasks = [asyncio.ensure_future(callers.run()) for _ in range(CALLERS)]
        change_task = asyncio.ensure_future(environment.change_config(seconds=self._seconds))
        await asyncio.gather(*(injector.inject(fault=fault) for fault in faults))
        callers.is_stopped = True
        await asyncio.gather(*caller_tasks)
        await change_task
        await self._check_recovery(environment=environment, callers=callers)
        violations = [*self._violations, *judge_attempts(records=self._records), *judge_logs(folder=self._folder)]
        violations += [f"HELD: {name}" for name in callers.timed_out]
        violations += [
            f"FAULT: {name} exited unexpectedly"
            for name, process in fleet.running.items()
            if process.poll() is not None
        ]
        return Verdict(
            violations=violations, figures=self._figures(injector=injector, changes=environment.acknowledged_label)
        )

    async def _check_recovery(self, *, environment: SoakEnvironment, callers: Callers) -> None:
        """After the faults: nothing runs for disconnected callers, each proxy serves, acknowledged changes persist."""
        for name in environment.fleet.names(role="proxy"):
            await asyncio.to_thread(environment.wait_for_ready, name)
        await self._wait_for_departed()
        for front in callers.fronts:
            await self._wait_for_service(front=front, callers=callers)
        label = environment.acknowledged_label
        await asyncio.to_thread(
            wait_until, lambda: self._read_label(fleet=environment.fleet) >= label, what="the last change"
        )

    async def _wait_for_service(self, *, front: str, callers: Callers) -> None:
        """Wait until a proxy serves `CONSECUTIVE_REQUESTS` requests in a row, without a retry by the caller."""
        codes = []
        for _ in range(MAX_SERVICE_CHECKS):
            codes = [(await callers.send_request(front=front)).code for _ in range(CONSECUTIVE_REQUESTS)]
            if set(codes) == {200}:
                return
            await asyncio.sleep(0.5)
        self._violations.append(f"UNSERVED: {front} answers {codes} after all faults")

    async def _wait_for_departed(self) -> None:
        for _ in range(300):
            if not self._records.running_for_departed():
                return
            await asyncio.sleep(0.1)
        self._violations += [
            f"GONE: {name} still runs after its caller disconnected" for name in self._records.running_for_departed()
        ]

    def _read_label(self, *, fleet: HostedFleet) -> int:
        code, _, body = send_request(fleet.address_of("controller-0", "control_plane"), "GET", "/config")
        return int(json.loads(body)["generation"][1:]) if code == 200 else 0

    def _figures(self, *, injector: FaultInjector, changes: int) -> dict[str, int]:
        attempts = list(self._records.attempts.values())
        figures = {
            "attempts": len(attempts),
            "served": sum(attempt.code == 200 for attempt in attempts),
            "refused": sum(attempt.code in NOT_EXECUTED_CODES for attempt in attempts),
            "failed": sum(
                attempt.code not in (200, *NOT_EXECUTED_CODES) and not attempt.has_disconnected for attempt in attempts
            ),
            "left": sum(attempt.has_disconnected for attempt in attempts),
            "left-and-run": sum(attempt.has_disconnected and bool(attempt.runs) for attempt in attempts),
            "changes": changes,
        }
        for fault in injector.injected:
            figures[fault.kind] = figures.get(fault.kind, 0) + 1
        return figures
