"""Passive health checks: worker health from the results of requests; only workers in doubt are probed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.events import CallFinished, CloseConnections, Command, LogEvent, StartCall
from sailward.routing.plan import Plan
from sailward.state_machines import Chart
from sailward.wire_names import WireNames

CHART = Chart(name="instance")
EVENT_BY_FAULT = {"timed-out": "late", "refused": "refused", "no-connection": "dark", "connect-timeout": "dark"}
"""State machine event of a worker, by the fault of a call to it."""
NEVER = -1e9


@dataclass(kw_only=True)
class WorkerHealth:
    """Health and load of one worker, as observed by this proxy.

    Slow start lasts as long as the worker list or the worker itself reported, and after the evacuation of its zone,
    which ended at `restored_at`, for as long as the configuration in force says.
    Response times are in s. `window` is the number of requests that this proxy may have open at the worker,
    `unloaded_response_time` the estimate without queueing, `busy_until` the end of the backoff after a response that it
    is full. `unidentified_count`: its answers since the last complete response that may be those of another worker.
    """

    worker: Worker
    state: str = CHART.initial
    state_changed_at: float = 0.0
    reported_slow_start_until: float = 0.0
    restored_at: float = NEVER
    configured_slow_start_until: float = NEVER
    mean_response_time: float = 0.0
    unloaded_response_time: float = 0.0
    window: float = constants.CONCURRENCY_WINDOW_INITIAL
    busy_until: float = 0.0
    next_probe_at: float = 0.0
    avoided_until: float = 0.0
    leaving_since: float = float("inf")
    last_pass_at: float = NEVER
    probe_token: str = ""
    failed_probes: int = 0
    unidentified_count: int = 0

    def relative_speed(self, *, mean: float) -> float:
        """Speed relative to the service: mean unloaded response time / its own, clamped; 1.0 until it is measured."""
        if not self.unloaded_response_time or not mean:
            return 1.0
        return min(constants.MAX_SPEED_RATIO, max(1 / constants.MAX_SPEED_RATIO, mean / self.unloaded_response_time))

    @property
    def slow_start_until(self) -> float:
        """The end of its slow start, under the configuration in force."""
        return max(self.reported_slow_start_until, self.configured_slow_start_until)

    def apply_plan(self, *, plan: Plan) -> None:
        """Follow the slow start that this configuration has for the worker's service."""
        service = plan.services.get(self.worker.service)
        self.configured_slow_start_until = (
            NEVER
            if service is None or self.restored_at == NEVER
            else self.restored_at + service.slow_start + constants.SLOW_START_MARGIN
        )

    @property
    def is_healthy(self) -> bool:
        """May requests be sent to it?"""
        return self.state in CHART.marks["healthy"]


class PassiveHealth:
    """Keeps the health of every worker. `step` takes a finished probe, or None on a timer tick."""

    def __init__(self, *, names: WireNames, rng: random.Random) -> None:
        self._names, self._rng = names, rng
        self.workers: dict[str, WorkerHealth] = {}
        self._response_times: dict[str, list] = {}
        self._probe_count = 0

    def step(self, *, now: float, event: CallFinished | None, plan: Plan) -> list[Command]:
        """Evaluate a finished probe, or start the probes that are due."""
        if event is not None:
            return self._on_probe_finished(now=now, event=event)
        commands: list[Command] = []
        for key, health in self.workers.items():
            if health.state in CHART.marks["probed"] and not health.probe_token and now >= health.next_probe_at:
                commands.append(self._start_probe(now=now, key=key, health=health, plan=plan))
        return commands

    def update_workers(self, *, now: float, workers: dict[str, Worker]) -> list[Command]:
        """Apply the newest worker list."""
        commands: list[Command] = [CloseConnections(owner=key) for key in self.workers if key not in workers]
        self.workers = {key: health for key, health in self.workers.items() if key in workers}
        for key, worker in workers.items():
            health = self.workers.setdefault(key, WorkerHealth(worker=worker, state_changed_at=now))
            if (worker.slow_start > 0 and health.worker.slow_start != worker.slow_start) or (
                worker.slow_start > 0 and health.state_changed_at == now
            ):
                health.reported_slow_start_until = max(health.reported_slow_start_until, now + worker.slow_start)
            if worker.leaving:
                health.leaving_since = min(health.leaving_since, now)
            health.worker = worker
        return commands

    def begin_slow_start(self, *, now: float, zone: str, plan: Plan) -> None:
        """Put the workers of this zone in slow start: its evacuation has ended, and they may have gone cold."""
        for health in self.workers.values():
            if health.worker.zone == zone:
                health.restored_at = now
        self.apply_plan(plan=plan)

    def apply_plan(self, *, plan: Plan) -> None:
        """Follow a new configuration."""
        for health in self.workers.values():
            health.apply_plan(plan=plan)

    def avoid_reported(self, *, now: float, keys: list) -> None:
        """Avoid workers that other proxies report as unreachable.

        They are avoided for UNREACHABLE_HINT_TTL, except those that have just answered this proxy.
        """
        for key in keys:
            health = self.workers.get(key)
            if health is not None and now - health.last_pass_at > constants.UNREACHABLE_HINT_GRACE:
                health.avoided_until = now + constants.UNREACHABLE_HINT_TTL

    def take_response_times(self) -> dict:
        """{worker: [ms, ...]}: the response times since the last call."""
        times, self._response_times = self._response_times, {}
        return times

    def record_event(self, *, now: float, key: str, event: str, elapsed: float = 0.0) -> list[Command]:
        """Apply the result of a request: pass (`elapsed` in s) or how it failed, such as late, refused or stranger."""
        health = self.workers.get(key)
        if health is None:
            return []
        if event == "full":
            health.busy_until = now + constants.WORKER_FULL_BACKOFF
            return []
        if event == "pass":
            health.last_pass_at, health.avoided_until, health.unidentified_count = now, 0.0, 0
            self._response_times.setdefault(key, []).append(round(elapsed * 1000))
            self._record_response_time(health=health, elapsed=elapsed)
        elif event == "lost":
            health.window = max(1.0, health.window / 2)
            return []
        elif event == "late":
            health.window = max(1.0, health.window / 2)
            event = "fail"
        return self._transition(now=now, key=key, health=health, event=event)

    def _record_response_time(self, *, health: WorkerHealth, elapsed: float) -> None:
        """Update the mean response time, the unloaded response time and the concurrency window.

        The window, the number of requests that this proxy may have open at the worker, shrinks while the worker queues.
        """
        health.mean_response_time = (
            elapsed
            if not health.mean_response_time
            else health.mean_response_time + constants.LATENCY_EWMA_WEIGHT * (elapsed - health.mean_response_time)
        )
        health.unloaded_response_time = (
            min(health.mean_response_time, health.unloaded_response_time * constants.LATENCY_BASELINE_DRIFT)
            if health.unloaded_response_time
            else health.mean_response_time
        )
        if health.mean_response_time > constants.LATENCY_QUEUEING_RATIO * health.unloaded_response_time:
            health.window = max(1.0, health.window * constants.CONCURRENCY_WINDOW_DECREASE)
        else:
            health.window = min(constants.CONCURRENCY_WINDOW_MAX, health.window + constants.CONCURRENCY_WINDOW_INCREASE)

    def _start_probe(self, *, now: float, key: str, health: WorkerHealth, plan: Plan) -> StartCall:
        self._probe_count += 1
        health.probe_token = f"probe {key} {self._probe_count}"
        service = plan.services.get(health.worker.service)
        return StartCall(
            token=health.probe_token,
            owner=key,
            address=health.worker.address,
            method="GET",
            path=service.health_path if service else "/status",
            headers={self._names.expected_worker: key},
            body=b"",
            timeout=constants.PROBE_TIMEOUT,
            fresh=False,
        )

    def _on_probe_finished(self, *, now: float, event: CallFinished) -> list[Command]:
        key = event.token.removeprefix("probe ").rpartition(" ")[0]
        health = self.workers.get(key)
        if health is None or health.probe_token != event.token:
            return []
        health.probe_token = ""
        answered_by = event.headers.get(self._names.answered_by, key)
        verdict = "pass" if event.code == 200 and answered_by == key else "stranger" if answered_by != key else "fail"
        health.failed_probes = 0 if verdict == "pass" else health.failed_probes + 1
        backoff = _probe_backoff(failures=health.failed_probes)
        health.next_probe_at = now + backoff * (0.8 + 0.4 * self._rng.random())
        slow_start = event.headers.get(self._names.slow_start, "")
        if verdict == "pass" and _is_seconds(text=slow_start):
            health.reported_slow_start_until = max(health.reported_slow_start_until, now + float(slow_start))
        return self._transition(now=now, key=key, health=health, event=verdict)

    def _transition(self, *, now: float, key: str, health: WorkerHealth, event: str) -> list[Command]:
        previous = health.state
        health.state = CHART.step(state=previous, event=event)
        if previous == health.state:
            return []
        health.state_changed_at = now
        if health.state == "wary" or (health.state == "down" and previous != "wary"):
            backoff = constants.PROBE_INITIAL_BACKOFF
            if event == "unidentified":
                # its probes may go on passing: without a growing pause, each would be followed by another such answer
                backoff = _probe_backoff(failures=health.unidentified_count)
                health.unidentified_count += 1
            health.next_probe_at, health.failed_probes = now + backoff * self._rng.random(), 0
        if {previous, health.state} <= {"good", "doubt", "wary"}:
            return []
        return [
            LogEvent(event="worker-status", fields={"worker": key, "from": previous, "to": health.state, "by": event})
        ]


def _probe_backoff(*, failures: int) -> float:
    """Seconds until the next probe after so many failures in a row."""
    return min(constants.PROBE_MAX_BACKOFF, constants.PROBE_INITIAL_BACKOFF * 2.0 ** min(failures, 4))


def _is_seconds(*, text: str) -> bool:
    try:
        return 0 <= float(text) < 1e6
    except ValueError:
        return False
