"""One run of the soak test, from start to verdict."""

from __future__ import annotations

import asyncio
import http.server
import json
import random
import threading
from dataclasses import dataclass, field
from pathlib import Path

from simulation.real.hosted_fleet import (
    ZONES,
    EndpointListHandler,
    HostedFleet,
    list_row,
    make_config,
    send_request,
    wait_until,
)
from simulation.soak.callers import TIME_BUDGET, Callers
from simulation.soak.faults import FaultInjector
from simulation.soak.judge import NOT_EXECUTED_CODES, judge_attempts, judge_logs
from simulation.soak.records import Records
from simulation.soak.worker import SoakWorker

WORKERS = 6
"""Workers of each service: enough that requests of disconnecting callers do not cause refusals for all others."""
CALLERS = 12
"""Concurrent callers: some ten requests per second, far below what two proxies can serve on a busy machine."""
CONFIG_CHANGE_INTERVAL = 1.5
"""s between two changes of the configuration."""
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
        self._acknowledged_label = 1

    async def run(self) -> Verdict:
        """Start the fleet, inject the faults, and check for violations."""
        workers = [SoakWorker(name=f"i-{at}", records=self._records, rng=self._rng) for at in range(2 * WORKERS)]
        rows: dict[str, list] = {zone: [] for zone in ZONES}
        for at, worker in enumerate(workers):
            service = ("stock", "orders")[at % 2]
            rows[list(ZONES)[at // 2 % len(ZONES)]].append(
                list_row(name=worker.name, service=service, address=await worker.start())
            )
        list_server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), EndpointListHandler)
        list_server.rows = rows  # type: ignore[attr-defined]
        threading.Thread(target=list_server.serve_forever, daemon=True).start()
        fleet = HostedFleet(folder=self._folder, list_address=f"127.0.0.1:{list_server.server_port}")
        try:
            await asyncio.to_thread(self._start_fleet, fleet)
            return await self._run_soak(fleet=fleet, workers=workers)
        finally:
            fleet.end()
            list_server.shutdown()
            for worker in workers:
                await worker.end()

    def _start_fleet(self, fleet: HostedFleet) -> None:
        for name in fleet.settings:
            fleet.start(name)
        wait_until(lambda: self._put_config(fleet=fleet, label=1, base="0") == 200, what="the first configuration")
        for name in fleet.names(role="proxy"):
            self._wait_for_ready(fleet, name)

    def _put_config(self, *, fleet: HostedFleet, label: int, base: str) -> int:
        """Send a configuration to a random controller; returns the status code."""
        controller = fleet.address_of(self._rng.choice(fleet.names(role="controller")), "control_plane")
        body = json.dumps(make_config(label=label, sharded=False, deadline=TIME_BUDGET)).encode()
        return send_request(controller, "PUT", "/config", body, If_Match=base)[0]

    async def _run_soak(self, *, fleet: HostedFleet, workers: list[SoakWorker]) -> Verdict:
        fronts = [fleet.address_of(name, "front") for name in fleet.names(role="proxy")]
        callers = Callers(fronts=fronts, records=self._records, rng=self._rng)
        injector = FaultInjector(fleet=fleet, workers=workers)
        faults = injector.draw(rng=self._rng, seconds=self._seconds)
        caller_tasks = [asyncio.ensure_future(callers.run()) for _ in range(CALLERS)]
        change_task = asyncio.ensure_future(self._change_config(fleet=fleet))
        await asyncio.gather(*(injector.inject(fault=fault) for fault in faults))
        callers.is_stopped = True
        await asyncio.gather(*caller_tasks)
        await change_task
        await self._check_recovery(fleet=fleet, callers=callers)
        violations = [*self._violations, *judge_attempts(records=self._records), *judge_logs(folder=self._folder)]
        violations += [f"HELD: {name}" for name in callers.timed_out]
        violations += [
            f"FAULT: {name} exited unexpectedly"
            for name, process in fleet.running.items()
            if process.poll() is not None
        ]
        return Verdict(violations=violations, figures=self._figures(injector=injector))

    async def _change_config(self, *, fleet: HostedFleet) -> None:
        """Change the configuration at intervals, each time based on the last acknowledged one."""
        for label in range(2, 2 + int(self._seconds / CONFIG_CHANGE_INTERVAL)):
            await asyncio.sleep(CONFIG_CHANGE_INTERVAL)
            base = f"r{self._acknowledged_label}"
            if await asyncio.to_thread(self._put_config, fleet=fleet, label=label, base=base) == 200:
                self._acknowledged_label = label

    async def _check_recovery(self, *, fleet: HostedFleet, callers: Callers) -> None:
        """After the faults: nothing runs for disconnected callers, each proxy serves, acknowledged changes persist."""
        for name in fleet.names(role="proxy"):
            await asyncio.to_thread(self._wait_for_ready, fleet, name)
        await self._wait_for_departed()
        for front in callers.fronts:
            await self._wait_for_service(front=front, callers=callers)
        await asyncio.to_thread(self._wait_for_last_change, fleet)

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

    def _wait_for_ready(self, fleet: HostedFleet, name: str) -> None:
        wait_until(
            lambda: send_request(fleet.address_of(name, "readiness"), "GET", "/readiness")[0] == 200,
            what=f"readiness of {name}",
        )

    def _wait_for_last_change(self, fleet: HostedFleet) -> None:
        wait_until(lambda: self._read_label(fleet=fleet) >= self._acknowledged_label, what="the last change")

    def _read_label(self, *, fleet: HostedFleet) -> int:
        code, _, body = send_request(fleet.address_of("controller-0", "control_plane"), "GET", "/config")
        return int(json.loads(body)["generation"][1:]) if code == 200 else 0

    def _figures(self, *, injector: FaultInjector) -> dict[str, int]:
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
            "changes": self._acknowledged_label,
        }
        for fault in injector.injected:
            figures[fault.kind] = figures.get(fault.kind, 0) + 1
        return figures
