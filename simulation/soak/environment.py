"""What a soak run needs around its callers: workers, the platform's list, the daemons, and an operator."""

from __future__ import annotations

import asyncio
import http.server
import json
import random
import threading
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
from simulation.soak.records import Records
from simulation.soak.worker import SoakWorker

WORKERS = 6
"""Workers of each service: enough that requests of disconnecting callers do not cause refusals for all others."""
CONFIG_CHANGE_INTERVAL = 1.5
"""s between two changes of the configuration."""


class SoakEnvironment:
    """Starts everything with `start`; `end` must be called. `acknowledged_label` is the newest configuration's."""

    def __init__(self, *, folder: Path, records: Records, rng: random.Random, deadline: float, proxies: int) -> None:
        self._rng, self._deadline = rng, deadline
        self.workers = [SoakWorker(name=f"i-{at}", records=records, rng=rng) for at in range(2 * WORKERS)]
        self._list_server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), EndpointListHandler)
        self.fleet = HostedFleet(
            folder=folder, list_address=f"127.0.0.1:{self._list_server.server_port}", proxies=proxies
        )
        self.acknowledged_label = 1

    async def start(self) -> None:
        """Start workers and daemons, send the first configuration, and wait until all proxies are ready."""
        rows: dict[str, list] = {zone: [] for zone in ZONES}
        for at, worker in enumerate(self.workers):
            service = ("stock", "orders")[at % 2]
            rows[list(ZONES)[at // 2 % len(ZONES)]].append(
                list_row(name=worker.name, service=service, address=await worker.start())
            )
        self._list_server.rows = rows  # type: ignore[attr-defined]
        threading.Thread(target=self._list_server.serve_forever, daemon=True).start()
        await asyncio.to_thread(self._start_fleet)

    async def end(self) -> None:
        """End all daemons and workers."""
        self.fleet.end()
        self._list_server.shutdown()
        for worker in self.workers:
            await worker.end()

    def wait_for_ready(self, name: str) -> None:
        """Wait until this proxy is ready."""
        wait_until(
            lambda: send_request(self.fleet.address_of(name, "readiness"), "GET", "/readiness")[0] == 200,
            what=f"readiness of {name}",
        )

    async def change_config(self, *, seconds: float) -> None:
        """Change the configuration at intervals, each time based on the last acknowledged one."""
        for label in range(2, 2 + int(seconds / CONFIG_CHANGE_INTERVAL)):
            await asyncio.sleep(CONFIG_CHANGE_INTERVAL)
            base = f"r{self.acknowledged_label}"
            if await asyncio.to_thread(self._put_config, label=label, base=base) == 200:
                self.acknowledged_label = label

    def _start_fleet(self) -> None:
        for name in self.fleet.settings:
            self.fleet.start(name)
        wait_until(lambda: self._put_config(label=1, base="0") == 200, what="the first configuration")
        for name in self.fleet.names(role="proxy"):
            self.wait_for_ready(name)

    def _put_config(self, *, label: int, base: str) -> int:
        """Send a configuration to a random controller; returns the status code."""
        controller = self.fleet.address_of(self._rng.choice(self.fleet.names(role="controller")), "control_plane")
        body = json.dumps(make_config(label=label, sharded=False, deadline=self._deadline)).encode()
        return send_request(controller, "PUT", "/config", body, If_Match=base)[0]
