"""Which worker should own which keys: few moves, cut by load."""
from __future__ import annotations

import bisect
from dataclasses import dataclass, replace

from sailward import constants
from sailward.pour.shards import KEYS

BUCKETS = 256
WIDTH = KEYS // BUCKETS
FLOOR = 0.2


@dataclass(frozen=True, kw_only=True)
class Span:
    """Keys from `start` to `end`, both inside, and their owner's key; empty if they have none."""

    start: int
    end: int
    owner: str


class Spread:
    """How busy the keys are: parts of the whole, from the requests/s of each bucket."""

    def __init__(self, *, loads: dict) -> None:
        total = sum(loads.values())
        even = 1 / BUCKETS
        if total < constants.GRANT_LOAD_LEAST:
            parts = [even] * BUCKETS
        else:
            parts = [(1 - FLOOR) * loads.get(at, 0.0) / total + FLOOR * even for at in range(BUCKETS)]
        self._sums = [0.0]
        for part in parts:
            self._sums.append(self._sums[-1] + part)

    def of(self, *, span: Span) -> float:
        """The part of all load that these keys have."""
        return self._below(key=span.end + 1) - self._below(key=span.start)

    def cut(self, *, start: int, part: float) -> int:
        """The key before which about this part of all load lies, counted from `start`."""
        aim = self._below(key=start) + part
        at = min(max(bisect.bisect_right(self._sums, aim) - 1, 0), BUCKETS - 1)
        width = self._sums[at + 1] - self._sums[at]
        return min(KEYS, round((at + (aim - self._sums[at]) / width) * WIDTH))

    def _below(self, *, key: int) -> float:
        at, rest = divmod(key, WIDTH)
        return self._sums[at] if rest == 0 else self._sums[at] + (self._sums[at + 1] - self._sums[at]) * rest / WIDTH


def place(*, spans: list[Span], able: dict, loads: dict, is_balancing: bool) -> list[Span]:
    """The wanted owners of all keys. `able` has the weight of each worker that may own, `loads` the requests/s by bucket.

    Spans whose owner is able stay, but for what `is_balancing` moves: from those over GRANT_HOT times their fair
    part, and to those under GRANT_IDLE times it. All others are given to those that lack most.
    """
    if not able:
        return _join(spans=[replace(span, owner="") for span in spans])
    spread = Spread(loads=loads)
    whole = sum(able.values())
    fair = {key: weight / whole for key, weight in able.items()}
    if not any(span.owner in able for span in spans):
        return _divide(spread=spread, fair=fair)
    held = dict.fromkeys(able, 0.0)
    for span in spans:
        if span.owner in held:
            held[span.owner] += spread.of(span=span)
    placed: list[Span] = []
    for span in spans:
        placed += [span] if span.owner in held else _give(span=span, spread=spread, fair=fair, held=held)
    if is_balancing:
        for _ in range(constants.GRANT_MOVES):
            fresh = _balance(spans=placed, spread=spread, fair=fair, held=held)
            if fresh is None:
                break
            placed = fresh
    return _join(spans=placed)


def _divide(*, spread: Spread, fair: dict) -> list[Span]:
    spans, start, sum_of = [], 0, 0.0
    names = sorted(fair)
    for name in names:
        sum_of += fair[name]
        end = KEYS if name == names[-1] else spread.cut(start=0, part=sum_of)
        if end > start:
            spans.append(Span(start=start, end=end - 1, owner=name))
            start = end
    return spans


def _give(*, span: Span, spread: Spread, fair: dict, held: dict) -> list[Span]:
    least = constants.GRANT_PIECE / len(fair)
    given, start = [], span.start
    while start <= span.end:
        taker = max(sorted(fair), key=lambda name: fair[name] - held[name])
        lack = max(fair[taker] - held[taker], least)
        rest = Span(start=start, end=span.end, owner=taker)
        end = spread.cut(start=start, part=lack) - 1
        if spread.of(span=rest) > lack + least and start <= end < span.end:
            rest = replace(rest, end=end)
        held[taker] += spread.of(span=rest)
        given.append(rest)
        start = rest.end + 1
    return given


def _balance(*, spans: list[Span], spread: Spread, fair: dict, held: dict) -> list[Span] | None:
    giver = max(sorted(fair), key=lambda name: held[name] / fair[name])
    taker = min(sorted(fair), key=lambda name: held[name] / fair[name])
    is_idle = held[taker] < constants.GRANT_IDLE * fair[taker]
    if giver == taker or not (is_idle or held[giver] > constants.GRANT_HOT * fair[giver]):
        return None
    part = min(held[giver] - fair[giver], fair[taker] - held[taker])
    if is_idle:
        part = min(max(part, constants.GRANT_PIECE * fair[taker]), held[giver] - 0.7 * fair[giver])
    best = None
    for span in spans:
        for piece in _edges(span=span, spread=spread, part=part) if span.owner == giver else ():
            mass = spread.of(span=piece)
            price = (piece.end - piece.start + 1) / mass
            if 0.3 * part <= mass <= 1.2 * part and (best is None or price < best[0]):
                best = price, span, piece, mass
    if part < 0.1 / len(fair) or best is None:
        return None
    _, span, piece, mass = best
    held[giver] -= mass
    held[taker] += mass
    at = spans.index(span)
    parts = [Span(start=span.start, end=piece.start - 1, owner=giver), replace(piece, owner=taker),
             Span(start=piece.end + 1, end=span.end, owner=giver)]
    return [*spans[:at], *(one for one in parts if one.start <= one.end), *spans[at + 1:]]


def _edges(*, span: Span, spread: Spread, part: float) -> list[Span]:
    mass = spread.of(span=span)
    if mass <= part:
        return [span]
    left = spread.cut(start=span.start, part=part)
    right = spread.cut(start=span.start, part=mass - part)
    return [replace(span, end=min(max(left - 1, span.start), span.end)), replace(span, start=min(max(right, span.start), span.end))]


def _join(*, spans: list[Span]) -> list[Span]:
    joined: list[Span] = []
    for span in spans:
        if joined and joined[-1].owner == span.owner:
            joined[-1] = replace(joined[-1], end=span.end)
        else:
            joined.append(span)
    return joined
