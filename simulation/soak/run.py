"""One soak from its start to its verdict."""

from __future__ import annotations

import asyncio
import http.server
import json
import random
import threading
from dataclasses import dataclass, field
from pathlib import Path

from simulation.real.hosted_fleet import ZONES, EndpointListHandler, HostedFleet, ask, list_row, make_config, until
from simulation.soak.callers import BUDGET, Callers
from simulation.soak.judge import PROMISES, judge_attempts, judge_logs
from simulation.soak.records import Records
from simulation.soak.troubles import Troubles
from simulation.soak.worker import SoakWorker

WORKERS = 6
"""Of each service: as many as let callers that leave hold some without refusals for all others."""
CALLERS = 12
"""Callers at the same time: some ten requests a second, far under what two proxies bear beside other load."""
CHANGE_EVERY = 1.5
"""s between two changes of the configuration."""
IN_A_ROW = 10
"""Requests to each proxy after the troubles that must be served one after the other."""
LOOKS = 40
"""Looks, half a second apart, until which a proxy must serve so."""


@dataclass(kw_only=True)
class Verdict:
    """What a soak did and broke."""

    broken: list[str]
    figures: dict[str, int] = field(default_factory=dict)


class Soak:
    """One soak in a folder of its own. `run` gives its verdict."""

    def __init__(self, *, seed: int, seconds: float, folder: Path) -> None:
        self._seconds, self._folder = seconds, folder
        self._rng = random.Random(seed)
        self._records = Records()
        self._broken: list[str] = []
        self._acknowledged = 1

    async def run(self) -> Verdict:
        """Start the fleet, let the troubles pass, and judge."""
        workers = [SoakWorker(name=f"i-{at}", records=self._records, rng=self._rng) for at in range(2 * WORKERS)]
        rows: dict[str, list] = {zone: [] for zone in ZONES}
        for at, worker in enumerate(workers):
            service = ("stock", "orders")[at % 2]
            rows[list(ZONES)[at // 2 % len(ZONES)]].append(
                list_row(name=worker.name, service=service, address=await worker.start())
            )
        listing = http.server.ThreadingHTTPServer(("127.0.0.1", 0), EndpointListHandler)
        listing.rows = rows  # type: ignore[attr-defined]
        threading.Thread(target=listing.serve_forever, daemon=True).start()
        fleet = HostedFleet(folder=self._folder, list_address=f"127.0.0.1:{listing.server_port}")
        try:
            await asyncio.to_thread(self._start, fleet)
            return await self._play(fleet=fleet, workers=workers)
        finally:
            fleet.end()
            listing.shutdown()
            for worker in workers:
                await worker.end()

    def _start(self, fleet: HostedFleet) -> None:
        for name in fleet.settings:
            fleet.start(name)
        until(lambda: self._put(fleet=fleet, label=1, base="0") == 200, what="the first configuration")
        for name in fleet.names(role="proxy"):
            self._wait_for_ready(fleet, name)

    def _put(self, *, fleet: HostedFleet, label: int, base: str) -> int:
        """Send a configuration to a controller that the seed draws; its answer's code."""
        controller = fleet.at(self._rng.choice(fleet.names(role="controller")), "control_plane")
        body = json.dumps(make_config(label=label, sharded=False, deadline=BUDGET)).encode()
        return ask(controller, "PUT", "/config", body, If_Match=base)[0]

    async def _play(self, *, fleet: HostedFleet, workers: list[SoakWorker]) -> Verdict:
        fronts = [fleet.at(name, "front") for name in fleet.names(role="proxy")]
        callers = Callers(fronts=fronts, records=self._records, rng=self._rng)
        troubles = Troubles(fleet=fleet, workers=workers)
        drawn = troubles.draw(rng=self._rng, seconds=self._seconds)
        calling = [asyncio.ensure_future(callers.run()) for _ in range(CALLERS)]
        changing = asyncio.ensure_future(self._change(fleet=fleet))
        await asyncio.gather(*(troubles.bring(trouble=trouble) for trouble in drawn))
        callers.is_stopped = True
        await asyncio.gather(*calling)
        await changing
        await self._look_last(fleet=fleet, callers=callers)
        broken = [*self._broken, *judge_attempts(records=self._records), *judge_logs(folder=self._folder)]
        broken += [f"HELD: {name}" for name in callers.held]
        broken += [f"FAULT: {name} ended by itself" for name, one in fleet.running.items() if one.poll() is not None]
        return Verdict(broken=broken, figures=self._figures(troubles=troubles))

    async def _change(self, *, fleet: HostedFleet) -> None:
        """Change the configuration now and then, each time on top of what was acknowledged last."""
        for label in range(2, 2 + int(self._seconds / CHANGE_EVERY)):
            await asyncio.sleep(CHANGE_EVERY)
            base = f"r{self._acknowledged}"
            if await asyncio.to_thread(self._put, fleet=fleet, label=label, base=base) == 200:
                self._acknowledged = label

    async def _look_last(self, *, fleet: HostedFleet, callers: Callers) -> None:
        """After the troubles: nothing runs for who has left, each proxy serves, and no change is lost."""
        for name in fleet.names(role="proxy"):
            await asyncio.to_thread(self._wait_for_ready, fleet, name)
        await self._wait_for_departed()
        for front in callers.fronts:
            await self._wait_for_service(front=front, callers=callers)
        await asyncio.to_thread(self._wait_for_label, fleet)

    async def _wait_for_service(self, *, front: str, callers: Callers) -> None:
        """A proxy serves so many requests in a row, each in its first attempt."""
        codes = []
        for _ in range(LOOKS):
            codes = [(await callers.ask_once(front=front)).code for _ in range(IN_A_ROW)]
            if set(codes) == {200}:
                return
            await asyncio.sleep(0.5)
        self._broken.append(f"UNSERVED: {front} answers {codes} after all troubles")

    async def _wait_for_departed(self) -> None:
        for _ in range(300):
            if not self._records.open_for_departed():
                return
            await asyncio.sleep(0.1)
        self._broken += [f"GONE: {name} runs on after its caller left" for name in self._records.open_for_departed()]

    def _wait_for_ready(self, fleet: HostedFleet, name: str) -> None:
        until(lambda: ask(fleet.at(name, "readiness"), "GET", "/readiness")[0] == 200, what=f"{name}, ready,")

    def _wait_for_label(self, fleet: HostedFleet) -> None:
        until(lambda: self._read_label(fleet=fleet) >= self._acknowledged, what="the last change")

    def _read_label(self, *, fleet: HostedFleet) -> int:
        code, _, body = ask(fleet.at("controller-0", "control_plane"), "GET", "/config")
        return int(json.loads(body)["generation"][1:]) if code == 200 else 0

    def _figures(self, *, troubles: Troubles) -> dict[str, int]:
        attempts = list(self._records.attempts.values())
        figures = {
            "attempts": len(attempts),
            "served": sum(attempt.code == 200 for attempt in attempts),
            "refused": sum(attempt.code in PROMISES for attempt in attempts),
            "failed": sum(attempt.code not in (200, *PROMISES) and not attempt.has_left for attempt in attempts),
            "left": sum(attempt.has_left for attempt in attempts),
            "left-and-run": sum(attempt.has_left and bool(attempt.runs) for attempt in attempts),
            "changes": self._acknowledged,
        }
        for trouble in troubles.done:
            figures[trouble.kind] = figures.get(trouble.kind, 0) + 1
        return figures
