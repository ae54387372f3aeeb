"""The search: visits every state within the bounds once, shortest histories first."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from simulation.model.actions import apply, candidate_actions, successors
from simulation.model.node import clear_caches
from simulation.model.space import Bounds, State, Violation, begin


@dataclass(frozen=True, kw_only=True)
class SearchResult:
    """The result: `trace` leads to the violation; `is_complete`: all states within the bounds were visited."""

    states: int
    steps: int
    depth: int
    seconds: float
    is_complete: bool
    violation: Violation | None = None
    trace: tuple[str, ...] = ()


def explore(
    *,
    bounds: Bounds,
    max_states: int = 0,
    max_depth: int = 0,
    report_progress: Callable[[int, int, int], None] | None = None,
) -> SearchResult:
    """Visits states breadth first until a violation, until none is left, or until `max_states` (0: no bound)."""
    clear_caches()
    initial, started_at = begin(bounds=bounds), time.monotonic()
    parents: dict = {initial.key(): None}
    queue: deque[tuple[State, int]] = deque([(initial, 0)])
    steps, deepest, is_complete = 0, 0, True

    def result(*, violation: Violation | None, trace: tuple) -> SearchResult:
        return SearchResult(
            states=len(parents),
            steps=steps,
            depth=deepest,
            seconds=time.monotonic() - started_at,
            is_complete=is_complete and violation is None,
            violation=violation,
            trace=trace,
        )

    while queue:
        state, depth = queue.popleft()
        deepest = max(deepest, depth)
        if max_depth and depth >= max_depth:
            is_complete = False
            continue
        for action, after in successors(state=state, bounds=bounds):
            steps += 1
            key = after.key()
            if key in parents:
                continue
            parents[key] = (state.key(), action)
            if after.violation is not None:
                return result(violation=after.violation, trace=_trace(parents=parents, key=key))
            queue.append((after, depth + 1))
            if report_progress is not None and len(parents) % 2000 == 0:
                report_progress(len(parents), len(queue), depth)
        if max_states and len(parents) >= max_states:
            is_complete = False
            break
    return result(violation=None, trace=())


def _trace(*, parents: dict, key: tuple) -> tuple[str, ...]:
    trace = []
    while parents[key] is not None:
        key, action = parents[key]
        trace.append(action)
    return tuple(reversed(trace))


def replay(*, bounds: Bounds, trace: tuple[str, ...]) -> State:
    """Replays a trace; raises a ValueError that names the first step that is not possible."""
    clear_caches()
    state = begin(bounds=bounds)
    for position, action in enumerate(trace, start=1):
        after = apply(state=state, bounds=bounds, action=action)
        if after is None:
            raise ValueError(f"step {position} changes nothing: {action}")
        state = after
        if state.violation is not None:
            return state
    return state


def walk(
    *,
    bounds: Bounds,
    walks: int,
    seed: int = 1,
    report_progress: Callable[[int, int, int], None] | None = None,
) -> SearchResult:
    """Runs random histories from the initial state: reaches deep states quickly, but is never complete."""
    clear_caches()
    rng, started_at, initial = random.Random(seed), time.monotonic(), begin(bounds=bounds)
    visited, steps, deepest = {initial.key()}, 0, 0
    violation, trace = None, []
    for number in range(walks):
        state, trace = initial, []
        while state.violation is None:
            after = _random_action(state=state, bounds=bounds, rng=rng)
            if after is None:
                break
            action, state = after
            trace.append(action)
            visited.add(state.key())
            steps, deepest = steps + 1, max(deepest, len(trace))
        if state.violation is not None:
            violation = state.violation
            break
        if report_progress is not None and (number + 1) % 500 == 0:
            report_progress(len(visited), number + 1, deepest)
    return SearchResult(
        states=len(visited),
        steps=steps,
        depth=deepest,
        seconds=time.monotonic() - started_at,
        is_complete=False,
        violation=violation,
        trace=tuple(trace) if violation else (),
    )


def _random_action(*, state: State, bounds: Bounds, rng: random.Random) -> tuple[str, State] | None:
    candidates = list(candidate_actions(state=state, bounds=bounds))
    rng.shuffle(candidates)
    for action in candidates:
        after = apply(state=state, bounds=bounds, action=action)
        if after is not None:
            return action, after
    return None


def shorten(*, bounds: Bounds, trace: tuple[str, ...]) -> tuple[str, ...]:
    """Removes every step of a trace that the violation does not need."""
    position = 0
    while position < len(trace):
        shorter = trace[:position] + trace[position + 1 :]
        if _reproduces_violation(bounds=bounds, trace=shorter):
            trace = shorter
        else:
            position += 1
    return trace


def _reproduces_violation(*, bounds: Bounds, trace: tuple[str, ...]) -> bool:
    state = begin(bounds=bounds)
    for action in trace:
        after = apply(state=state, bounds=bounds, action=action)
        if after is None:
            return False
        state = after
    return state.violation is not None
