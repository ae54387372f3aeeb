"""The search: every state within the bounds once, the shortest histories first."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from simulation.model.actions import actions, apply, possible
from simulation.model.node import forget_steps
from simulation.model.space import Bounds, Broken, State, begin


@dataclass(frozen=True, kw_only=True)
class Found:
    """What a search showed: `trace` leads to the breach; `is_complete` if no state within the bounds is left."""

    states: int
    steps: int
    depth: int
    seconds: float
    is_complete: bool
    broken: Broken | None = None
    trace: tuple[str, ...] = ()


def explore(
    *, bounds: Bounds, most: int = 0, depth: int = 0, deliver: Callable[[int, int, int], None] | None = None
) -> Found:
    """Visit the states breadth first until one is broken, none is left, or `most` were visited (0: no bound)."""
    forget_steps()
    first, begun = begin(bounds=bounds), time.monotonic()
    parents: dict = {first.key(): None}
    line: deque[tuple[State, int]] = deque([(first, 0)])
    steps, deepest, is_complete = 0, 0, True

    def result(*, broken: Broken | None, trace: tuple) -> Found:
        return Found(
            states=len(parents),
            steps=steps,
            depth=deepest,
            seconds=time.monotonic() - begun,
            is_complete=is_complete and broken is None,
            broken=broken,
            trace=trace,
        )

    while line:
        state, deep = line.popleft()
        deepest = max(deepest, deep)
        if depth and deep >= depth:
            is_complete = False
            continue
        for words, after in actions(state=state, bounds=bounds):
            steps += 1
            key = after.key()
            if key in parents:
                continue
            parents[key] = (state.key(), words)
            if after.broken is not None:
                return result(broken=after.broken, trace=_trace(parents=parents, key=key))
            line.append((after, deep + 1))
            if deliver is not None and len(parents) % 2000 == 0:
                deliver(len(parents), len(line), deep)
        if most and len(parents) >= most:
            is_complete = False
            break
    return result(broken=None, trace=())


def _trace(*, parents: dict, key: tuple) -> tuple[str, ...]:
    words = []
    while parents[key] is not None:
        key, said = parents[key]
        words.append(said)
    return tuple(reversed(words))


def replay(*, bounds: Bounds, trace: tuple[str, ...]) -> State:
    """Play a trace again; a ValueError names the step that is not possible."""
    forget_steps()
    state = begin(bounds=bounds)
    for at, words in enumerate(trace, start=1):
        after = apply(state=state, bounds=bounds, words=words)
        if after is None:
            raise ValueError(f"step {at} changes nothing: {words}")
        state = after
        if state.broken is not None:
            return state
    return state


def walk(
    *,
    bounds: Bounds,
    walks: int,
    seed: int = 1,
    deliver: Callable[[int, int, int], None] | None = None,
) -> Found:
    """Walk at random from the beginning, again and again: deep histories soon, without a claim to have seen all."""
    forget_steps()
    rng, begun, first = random.Random(seed), time.monotonic(), begin(bounds=bounds)
    seen, steps, deepest = {first.key()}, 0, 0
    broken, trace = None, []
    for number in range(walks):
        state, trace = first, []
        while state.broken is None:
            after = _any_action(state=state, bounds=bounds, rng=rng)
            if after is None:
                break
            words, state = after
            trace.append(words)
            seen.add(state.key())
            steps, deepest = steps + 1, max(deepest, len(trace))
        if state.broken is not None:
            broken = state.broken
            break
        if deliver is not None and (number + 1) % 500 == 0:
            deliver(len(seen), number + 1, deepest)
    return Found(
        states=len(seen),
        steps=steps,
        depth=deepest,
        seconds=time.monotonic() - begun,
        is_complete=False,
        broken=broken,
        trace=tuple(trace) if broken else (),
    )


def _any_action(*, state: State, bounds: Bounds, rng: random.Random) -> tuple[str, State] | None:
    words = list(possible(state=state, bounds=bounds))
    rng.shuffle(words)
    for word in words:
        after = apply(state=state, bounds=bounds, words=word)
        if after is not None:
            return word, after
    return None


def shorten(*, bounds: Bounds, trace: tuple[str, ...]) -> tuple[str, ...]:
    """Leave out every step that the breach does not need."""
    at = 0
    while at < len(trace):
        less = trace[:at] + trace[at + 1 :]
        if _breaks(bounds=bounds, trace=less):
            trace = less
        else:
            at += 1
    return trace


def _breaks(*, bounds: Bounds, trace: tuple[str, ...]) -> bool:
    state = begin(bounds=bounds)
    for words in trace:
        after = apply(state=state, bounds=bounds, words=words)
        if after is None:
            return False
        state = after
    return state.broken is not None
