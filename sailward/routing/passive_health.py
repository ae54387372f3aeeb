"""Passive health checks: worker health from the results of exchanges; only workers in doubt are probed."""

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
EVENTS = {"timed-out": "late", "refused": "refused", "no-connection": "dark", "connect-timeout": "dark"}


@dataclass(kw_only=True)
class Shown:
    """Health and load of one worker, as observed by this proxy."""

    worker: Worker
    state: str = CHART.initial
    since: float = 0.0
    slow_start_until: float = 0.0
    pace: float = 0.0
    calm: float = 0.0
    window: float = constants.CONCURRENCY_WINDOW_INITIAL
    busy_until: float = 0.0
    probe_at: float = 0.0
    shunned_until: float = 0.0
    leaving_since: float = float("inf")
    answered: float = -1e9
    probe: str = ""
    missed: int = 0

    def speed(self, *, mean: float) -> float:
        """Speed relative to the service: mean unloaded response time / its own, clamped; 1.0 until it is measured."""
        if not self.calm or not mean:
            return 1.0
        return min(constants.MAX_SPEED_RATIO, max(1 / constants.MAX_SPEED_RATIO, mean / self.calm))

    @property
    def is_healthy(self) -> bool:
        """May exchanges be sent to it?"""
        return self.state in CHART.marks["healthy"]


class PassiveHealth:
    """Keeps the health of every worker. `step` takes a finished probe, or None on a timer tick."""

    def __init__(self, *, names: WireNames, rng: random.Random) -> None:
        self._names, self._rng = names, rng
        self.shown: dict[str, Shown] = {}
        self._response_times: dict[str, list] = {}
        self._probe_count = 0

    def step(self, *, now: float, event: CallFinished | None, plan: Plan) -> list[Command]:
        """Evaluate a finished probe, or start the probes that are due."""
        if event is not None:
            return self._on_probe_finished(now=now, event=event)
        commands: list[Command] = []
        for key, shown in self.shown.items():
            if shown.state in CHART.marks["probed"] and not shown.probe and now >= shown.probe_at:
                commands.append(self._start_probe(now=now, key=key, shown=shown, plan=plan))
        return commands

    def follow(self, *, now: float, workers: dict[str, Worker]) -> list[Command]:
        """Apply the newest worker list."""
        commands: list[Command] = [CloseConnections(owner=key) for key in self.shown if key not in workers]
        self.shown = {key: shown for key, shown in self.shown.items() if key in workers}
        for key, worker in workers.items():
            shown = self.shown.setdefault(key, Shown(worker=worker, since=now))
            if (worker.slow_start > 0 and shown.worker.slow_start != worker.slow_start) or (
                worker.slow_start > 0 and shown.since == now
            ):
                shown.slow_start_until = max(shown.slow_start_until, now + worker.slow_start)
            if worker.leaving:
                shown.leaving_since = min(shown.leaving_since, now)
            shown.worker = worker
        return commands

    def begin_slow_start(self, *, now: float, zone: str, plan: Plan) -> None:
        """Put the workers of this zone in slow start: its evacuation has ended, and they may have gone cold."""
        for shown in self.shown.values():
            service = plan.services.get(shown.worker.service)
            if shown.worker.zone == zone and service is not None:
                shown.slow_start_until = max(
                    shown.slow_start_until, now + service.slow_start + constants.SLOW_START_MARGIN
                )

    def hint(self, *, now: float, down: list) -> None:
        """Avoid workers that other proxies report as unreachable.

        They are avoided for UNREACHABLE_HINT_TTL, except those that have just answered this proxy.
        """
        for key in down:
            shown = self.shown.get(key)
            if shown is not None and now - shown.answered > constants.UNREACHABLE_HINT_GRACE:
                shown.shunned_until = now + constants.UNREACHABLE_HINT_TTL

    def take_times(self) -> dict:
        """{worker: [ms, ...]}: the response times since the last call."""
        times, self._response_times = self._response_times, {}
        return times

    def record_event(self, *, now: float, key: str, event: str, took: float = 0.0) -> list[Command]:
        """Apply the result of an exchange: pass (after `took` s), fail, late, lost, refused, dark, stranger or full."""
        shown = self.shown.get(key)
        if shown is None:
            return []
        if event == "full":
            shown.busy_until = now + constants.WORKER_FULL_BACKOFF
            return []
        if event == "pass":
            shown.answered, shown.shunned_until = now, 0.0
            self._response_times.setdefault(key, []).append(round(took * 1000))
            self._record_response_time(shown=shown, took=took)
        elif event == "lost":
            shown.window = max(1.0, shown.window / 2)
            return []
        elif event == "late":
            shown.window = max(1.0, shown.window / 2)
            event = "fail"
        return self._transition(now=now, key=key, shown=shown, event=event)

    def _record_response_time(self, *, shown: Shown, took: float) -> None:
        """Update the mean response time, the unloaded response time and the concurrency window.

        The window, the number of requests that this proxy may have open at the worker, shrinks while the worker queues.
        """
        shown.pace = took if not shown.pace else shown.pace + constants.LATENCY_EWMA_WEIGHT * (took - shown.pace)
        shown.calm = min(shown.pace, shown.calm * constants.LATENCY_BASELINE_DRIFT) if shown.calm else shown.pace
        if shown.pace > constants.LATENCY_QUEUEING_RATIO * shown.calm:
            shown.window = max(1.0, shown.window * constants.CONCURRENCY_WINDOW_DECREASE)
        else:
            shown.window = min(constants.CONCURRENCY_WINDOW_MAX, shown.window + constants.CONCURRENCY_WINDOW_INCREASE)

    def _start_probe(self, *, now: float, key: str, shown: Shown, plan: Plan) -> StartCall:
        self._probe_count += 1
        shown.probe = f"probe {key} {self._probe_count}"
        service = plan.services.get(shown.worker.service)
        return StartCall(
            token=shown.probe,
            owner=key,
            address=shown.worker.address,
            method="GET",
            path=service.health_path if service else "/status",
            headers={self._names.expect: key},
            body=b"",
            timeout=constants.PROBE_TIMEOUT,
            fresh=False,
        )

    def _on_probe_finished(self, *, now: float, event: CallFinished) -> list[Command]:
        key = event.token.removeprefix("probe ").rpartition(" ")[0]
        shown = self.shown.get(key)
        if shown is None or shown.probe != event.token:
            return []
        shown.probe = ""
        answered_by = event.headers.get(self._names.answered_by, key)
        verdict = "pass" if event.code == 200 and answered_by == key else "stranger" if answered_by != key else "fail"
        shown.missed = 0 if verdict == "pass" else shown.missed + 1
        backoff = min(constants.PROBE_MAX_BACKOFF, constants.PROBE_INITIAL_BACKOFF * 2 ** min(shown.missed, 4))
        shown.probe_at = now + backoff * (0.8 + 0.4 * self._rng.random())
        slow_start = event.headers.get(self._names.slow_start, "")
        if verdict == "pass" and _is_seconds(text=slow_start):
            shown.slow_start_until = max(shown.slow_start_until, now + float(slow_start))
        return self._transition(now=now, key=key, shown=shown, event=verdict)

    def _transition(self, *, now: float, key: str, shown: Shown, event: str) -> list[Command]:
        previous = shown.state
        shown.state = CHART.step(state=previous, event=event)
        if previous == shown.state:
            return []
        shown.since = now
        if shown.state == "wary" or (shown.state == "down" and previous != "wary"):
            shown.probe_at, shown.missed = now + constants.PROBE_INITIAL_BACKOFF * self._rng.random(), 0
        if {previous, shown.state} <= {"good", "doubt", "wary"}:
            return []
        return [
            LogEvent(event="worker-status", fields={"worker": key, "from": previous, "to": shown.state, "by": event})
        ]


def _is_seconds(*, text: str) -> bool:
    try:
        return 0 <= float(text) < 1e6
    except ValueError:
        return False
