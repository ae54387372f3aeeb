"""Active health checks: worker status from this proxy's own probes."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.events import CallFinished, CloseConnections, Command, LogEvent, StartCall
from sailward.state_machines import Chart

CHART = Chart(name="worker")


@dataclass(kw_only=True)
class Probed:
    """Probe status of one generation of a worker."""

    worker: Worker
    state: str = CHART.initial
    next_probe_at: float = 0.0
    probe_token: str = ""
    slow_start_began_at: float = 0.0
    listed_at: float = 0.0

    @property
    def is_healthy(self) -> bool:
        """May requests be sent to it, according to the probes?"""
        return self.state in CHART.marks["healthy"]

    @property
    def is_known(self) -> bool:
        """Has any probe finished?"""
        return self.state in CHART.marks["known"]


class Prober:
    """Keeps the status of every worker. `step` takes a finished probe, or None on a timer tick."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.probed: dict[str, Probed] = {}
        self._probe_count = 0

    def step(self, *, now: float, event: CallFinished | None) -> list[Command]:
        """Evaluate a finished probe, or start the probes that are due."""
        if event is not None:
            return self._on_probe_finished(now=now, event=event)
        commands: list[Command] = []
        for key, probed in self.probed.items():
            if probed.probe_token and now > probed.next_probe_at + 2 * constants.PROBE_TIMEOUT:
                probed.probe_token = ""  # the result of this probe was lost
            if not probed.probe_token and now >= probed.next_probe_at:
                commands.append(self._start_probe(now=now, key=key, probed=probed))
        return commands

    def update_workers(self, *, now: float, workers: dict[str, Worker], healthy_durations: dict) -> list[Command]:
        """Apply the newest worker list; `healthy_durations`: s for which others have seen each worker healthy."""
        commands: list[Command] = [CloseConnections(owner=key) for key in self.probed if key not in workers]
        self.probed = {key: probed for key, probed in self.probed.items() if key in workers}
        for key, worker in workers.items():
            probed = self.probed.get(key)
            if probed is None:
                self.probed[key] = Probed(worker=worker, next_probe_at=now, listed_at=now)
                self.probed[key].slow_start_began_at = now - healthy_durations.get(key, 0.0)
            else:
                probed.worker = worker
        return commands

    def record_event(self, *, now: float, key: str, event: str) -> list[Command]:
        """Apply the result of a request to a worker: `refused` or `stranger`."""
        probed = self.probed.get(key)
        return self._transition(now=now, probed=probed, event=event) if probed else []

    def _start_probe(self, *, now: float, key: str, probed: Probed) -> StartCall:
        self._probe_count += 1
        probed.probe_token, probed.next_probe_at = f"probe {key} {self._probe_count}", now + constants.PROBE_TIMEOUT
        return StartCall(
            token=probed.probe_token,
            owner=key,
            address=probed.worker.address,
            method="GET",
            path="/status",
            headers={"Sailward-Worker": key},
            body=b"",
            timeout=constants.PROBE_TIMEOUT,
            fresh=False,
        )

    def _on_probe_finished(self, *, now: float, event: CallFinished) -> list[Command]:
        key = event.token.removeprefix("probe ").rpartition(" ")[0]
        probed = self.probed.get(key)
        if probed is None or probed.probe_token != event.token:
            return []
        probed.probe_token = ""
        verdict = "pass" if event.code == 200 else "fail"
        if verdict == "pass" and event.headers.get("sailward-worker") != key:
            verdict = "stranger"
        commands = self._transition(now=now, probed=probed, event=verdict)
        interval = constants.PROBE_INTERVAL if probed.state in ("good", "down") else constants.PROBE_IN_DOUBT_INTERVAL
        probed.next_probe_at = now + interval * (0.9 + 0.2 * self._rng.random())
        return commands

    def _transition(self, *, now: float, probed: Probed, event: str) -> list[Command]:
        previous = probed.state
        probed.state = CHART.step(state=previous, event=event)
        if previous == probed.state:
            return []
        if previous == "rising" and probed.state == "good":
            probed.slow_start_began_at = now
        if {previous, probed.state} <= {"good", "doubt"}:
            return []
        return [
            LogEvent(
                event="worker-status",
                fields={"worker": probed.worker.key, "from": previous, "to": probed.state, "by": event},
            )
        ]
