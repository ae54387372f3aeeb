"""Finds requests that were lost round a planned stop, by the rule LOST of the users' platform."""

from __future__ import annotations

from collections.abc import Iterator

from simulation.soak.records import Attempt, ConnectionEnd, Records, RunEnd
from simulation.soak.stops import GRACE, Stop

LOSS_SLACK = 0.2
"""s from its last byte for which a request that no worker got may still cross the close of its connection."""
AFTER_GRACE = 1.0
"""s after the grace period in which an end still counts as one of the stop."""
LATEST_EXCUSED = 3.0
"""s from SIGTERM up to which a request that is sent may be broken off at the end of the grace period."""
EXCUSED_WORK = GRACE * 5 / 6
"""s from SIGTERM: a worker that is at work later than this excuses the end of a request that was sent in time."""


def judge_stops(*, records: Records, stops: list[Stop]) -> Iterator[str]:
    """Violations round the stops, and processes that the platform had to kill."""
    for stop in stops:
        if stop.code != 0:
            yield f"KILLED: {stop.front} ended with {stop.code} after {stop.signals}"
    for attempt in records.attempts.values():
        stop = _find_stop(attempt=attempt, stops=stops)
        if stop is None or _is_excused(attempt=attempt, stop=stop):
            continue
        if _is_lost(attempt=attempt) or _is_broken_off(attempt=attempt):
            yield _describe(attempt=attempt, stop=stop)


def _find_stop(*, attempt: Attempt, stops: list[Stop]) -> Stop | None:
    for stop in stops:
        if attempt.front == stop.front and stop.at <= attempt.ended_at <= stop.at + GRACE + AFTER_GRACE:
            return stop
    return None


def _is_lost(*, attempt: Attempt) -> bool:
    if not attempt.sent_at or attempt.end not in (ConnectionEnd.CLOSED, ConnectionEnd.RESET):
        return False
    if attempt.runs:
        return True
    return not attempt.is_behind and attempt.ended_at - attempt.sent_at > LOSS_SLACK


def _is_broken_off(*, attempt: Attempt) -> bool:
    """Answered by the proxy itself while its worker was at work."""
    return (
        attempt.end is ConnectionEnd.ANSWERED
        and attempt.code != 200
        and any(
            run.end is RunEnd.OPEN or (run.end is RunEnd.CLOSED and abs(run.ended_at - attempt.ended_at) < LOSS_SLACK)
            for run in attempt.runs
        )
    )


def _is_excused(*, attempt: Attempt, stop: Stop) -> bool:
    is_in_time = attempt.sent_at <= stop.at + LATEST_EXCUSED
    return is_in_time and any((run.ended_at or float("inf")) >= stop.at + EXCUSED_WORK for run in attempt.runs)


def _describe(*, attempt: Attempt, stop: Stop) -> str:
    runs = ", ".join(
        f"{run.worker} {run.began_at - stop.at:.2f}..{run.ended_at - stop.at:.2f} {run.end.value}"
        for run in attempt.runs
    )
    return (
        f"LOST: {attempt.kind} {attempt.name} sent {attempt.sent_at - stop.at:.2f} end {attempt.ended_at - stop.at:.2f}"
        f" {attempt.end.value} status {attempt.code} at {attempt.front}, runs [{runs}], process ended"
        f" {stop.ended_at - stop.at:.2f} after {stop.signals}"
    )
