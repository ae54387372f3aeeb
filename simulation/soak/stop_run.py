"""One run of the stop soak: proxies are told to stop in series while callers go on, and nothing may be lost."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

from simulation.soak.environment import SoakEnvironment
from simulation.soak.judge import NOT_EXECUTED_CODES, judge_attempts, judge_logs
from simulation.soak.judge_stops import judge_stops
from simulation.soak.records import ConnectionEnd, Records
from simulation.soak.run import Verdict
from simulation.soak.stop_callers import TIME_BUDGET, StopCallers
from simulation.soak.stops import StopInjector

CALLERS_PER_PROXY = 8
"""Concurrent callers for each proxy, so that callers of every kind meet most stops."""
DEFAULT_PROXIES = 5
"""Proxies of a run: two always serve, and three may stop at once."""


class StopSoak:
    """One run in a folder of its own. `run` returns its verdict."""

    def __init__(self, *, seed: int, seconds: float, folder: Path, proxies: int = DEFAULT_PROXIES) -> None:
        self._seconds, self._folder, self._proxies = seconds, folder, proxies
        self._rng = random.Random(seed)
        self._records = Records()

    async def run(self) -> Verdict:
        """Start the fleet, stop proxies in series, and check for violations."""
        environment = SoakEnvironment(
            folder=self._folder, records=self._records, rng=self._rng, deadline=TIME_BUDGET, proxies=self._proxies
        )
        try:
            await environment.start()
            return await self._run_stops(environment=environment)
        finally:
            await environment.end()

    async def _run_stops(self, *, environment: SoakEnvironment) -> Verdict:
        callers = StopCallers(fleet=environment.fleet, records=self._records, rng=self._rng)
        injector = StopInjector(environment=environment, rng=self._rng)
        caller_tasks = [asyncio.ensure_future(callers.run()) for _ in range(CALLERS_PER_PROXY * self._proxies)]
        change_task = asyncio.ensure_future(environment.change_config(seconds=self._seconds))
        await injector.run(seconds=self._seconds)
        callers.is_stopped = True
        await asyncio.gather(*caller_tasks)
        await change_task
        violations = [
            *judge_stops(records=self._records, stops=injector.stops),
            *judge_attempts(records=self._records),
            *judge_logs(folder=self._folder),
        ]
        violations += [f"HELD: {name}" for name in callers.held]
        return Verdict(violations=violations, figures=self._figures(injector=injector, environment=environment))

    def _figures(self, *, injector: StopInjector, environment: SoakEnvironment) -> dict[str, int]:
        attempts = list(self._records.attempts.values())
        ends = Counter(f"{attempt.kind}-{attempt.end.value}" for attempt in attempts)
        return {
            "attempts": len(attempts),
            "served": sum(attempt.code == 200 for attempt in attempts),
            "refused": sum(attempt.code in NOT_EXECUTED_CODES for attempt in attempts),
            "stops": len(injector.stops),
            "signals": sum(len(stop.signals) for stop in injector.stops),
            "changes": environment.acknowledged_label,
            **{name: count for name, count in sorted(ends.items()) if not name.endswith(ConnectionEnd.ANSWERED.value)},
        }
