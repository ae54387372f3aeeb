"""Finds the violations of a run in the records of callers and workers and in the daemons' logs."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from simulation.soak.records import Attempt, Records
from simulation.soak.worker import body_of

NOT_EXECUTED_CODES = (408, 421, 429, 503)
"""Codes that promise that the request has not run and never will."""
FORBIDDEN_LOG_TEXTS = (
    "event=invariant-violated",
    "event=fault",
    "event=command-unexpected",
    "event=event-unexpected",
    "Traceback",
)
"""Texts that no log may contain."""


def judge_attempts(*, records: Records) -> Iterator[str]:
    """Violations found in the records of requests."""
    for name in records.unknown_names:
        yield f"UNASKED: {name} ran but was never sent"
    for attempt in records.attempts.values():
        yield from _judge_attempt(attempt=attempt)


def _judge_attempt(*, attempt: Attempt) -> Iterator[str]:
    if attempt.is_nonidempotent and len(attempt.runs) > 1:
        yield f"TWICE: {attempt.name} ran {len(attempt.runs)} times"
    if attempt.is_nonidempotent and attempt.runs and attempt.code in NOT_EXECUTED_CODES:
        yield f"REFUSED: {attempt.name} got {attempt.code} and ran"
    if attempt.code == 200 and attempt.body != body_of(name=attempt.name, size=attempt.size):
        yield f"MIXED: {attempt.name} got {len(attempt.body)} bytes: {attempt.body[:100]!r}"


def judge_logs(*, folder: Path) -> Iterator[str]:
    """Violations that the daemons logged."""
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text("utf-8", "replace").splitlines():
            if any(text in line for text in FORBIDDEN_LOG_TEXTS):
                yield f"LOG: {path.stem}: {line[:300]}"
