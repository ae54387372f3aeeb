"""Long days drawn by seed: explicit steps of every kind of trouble, at most as many losses at once as must be borne.

A day is drawn before it runs, so that what a run does never changes what comes next: a failing one can be shrunk step
by step.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from simulation.hosted.deployment import Deployment

FIRST = 8.0
"""s at which the troubles begin: the whole system has started and serves."""
GAP = (0.3, 1.6)
"""s between two troubles."""
MARGIN = 0.5
"""s beyond `catch_up_s` for which a machine that was lost still counts as lost."""
CLOSING, LIGHT, READ, END = 1.0, 7.0, 23.0, 27.0
"""s of the closing fault, of power for all, of the read and of the end, after the last trouble is over."""
PATIENCE = 3
"""turns after which what waits comes first: no other machine that counts is lost before it has had its turn."""
WAIT = 8.0
"""s that a trouble waits for the moment that it is tied to."""


@dataclass(kw_only=True)
class Day:
    """What was drawn so far.

    `at` adds a step; `loses` asks whether machines that count may be lost now, and reserves them.
    """

    deployment: Deployment
    rng: random.Random
    now: float = FIRST
    steps: list = field(default_factory=list)
    emptied: str = ""
    is_reserved: bool = False
    _number: int = 1
    _lost: list = field(default_factory=list)
    _core: list = field(default_factory=list)
    _replaced: dict = field(default_factory=dict)

    def __post_init__(self) -> None:
        given = self.deployment
        for zone in given.zones:
            self._core += [f"{zone}-{at}" for at in range(given.disks_per_zone + (zone in given.zones_with_extra_disk))]

    def at(self, delay: float, verb: str, *words: object) -> None:
        """Add a step, so many s from now."""
        self.steps.append((round(self.now + delay, 3), verb, [str(word) for word in words]))

    def seconds(self, low: float, high: float) -> float:
        """A span between these."""
        return round(self.rng.uniform(low, high), 2)

    def loses(self, *, seconds: float, count: int = 1) -> bool:
        """May so many more machines that count be lost for so long? They count until they have caught up."""
        lost = sum(until > self.now for until in self._lost)
        if self.is_reserved or lost + count > self.deployment.max_lost_machines:
            return False
        self._lost += [self.now + seconds + self.deployment.bounds["catch_up_s"] + MARGIN] * count
        return True

    def loses_all(self, *, seconds: float) -> bool:
        """The same for a trouble that needs the whole core well: of a zone, or of all at once."""
        if any(until > self.now for until in self._lost):
            return False
        return self.loses(seconds=seconds, count=self.deployment.max_lost_machines)

    def whole_at(self) -> float:
        """When nothing counts as lost any more."""
        return max([self.now, *self._lost])

    def core(self) -> str:
        """A machine that holds state."""
        return self.rng.choice(self._core)

    def some_core(self, *, roles: bool = True) -> str:
        """A machine that holds state, by its name or by what it did last."""
        role = self.rng.choice(("leader", "reader", "seed", ""))
        return role if role and roles else self.core()

    def plain(self) -> str:
        """A machine that holds no state; of the others if there are none."""
        names = [
            f"{zone}-{self.deployment.disks_per_zone + (zone in self.deployment.zones_with_extra_disk) + at}"
            for zone in self.deployment.zones
            for at in range(self.deployment.plain_per_zone)
        ]
        return self.rng.choice(names)

    def replaced(self, *, machine: str) -> None:
        """A machine was replaced: the next steps name the new one."""
        base = machine.split("-new", maxsplit=1)[0]
        self._replaced[base] = self._replaced.get(base, 0) + 1
        self._core = [f"{base}-new{self._replaced[base]}" if name == machine else name for name in self._core]

    def zone(self) -> str:
        """A zone."""
        return self.rng.choice(sorted(self.deployment.zones))

    def service(self) -> str:
        """A service."""
        return self.rng.choice(self.deployment.services).name

    def worker(self) -> str:
        """A worker, as steps name it."""
        return f"{self.service()}@{self.zone()}"

    def number(self, *, count: int = 1) -> int:
        """The number of the next version, the first of so many: they climb in uneven steps."""
        first = self._number + self.rng.randrange(1, 5)
        self._number = first + count - 1
        return first

    def change(self, *, delay: float = 0.0, words: tuple = (), number: int = 0) -> None:
        """A sound change of the configuration."""
        number = number or self.number()
        route, services = self.rng.choice(
            (
                ("notes-read", ("notes", "tracks")),
                ("track-read", ("tracks", "orders")),
                ("order-place", ("orders", "notes")),
            )
        )
        split = [f"{name}={self.rng.randrange(0, 4)}" for name in services[1:]] + [f"{services[0]}=1"]
        if self.rng.random() < 0.6:
            self.at(delay, "patch", number, route, *split, *words)
        else:
            self.at(delay, "split", route, *split)
            self.at(delay, "put", number, *words)


def draw_day(
    *, deployment: Deployment, seed: int, seconds: float, kinds: dict[str, Callable], times: float = 0.3
) -> tuple[list, float]:
    """(steps, end) of one day with so many s of trouble.

    Every kind comes up before one comes twice; one that would lose too many machines at once waits its turn.
    """
    day = Day(deployment=deployment, rng=random.Random(f"{seed}/day"))
    rng, until = day.rng, FIRST + seconds
    deck: list[str] = []
    waiting: list[str] = []
    waits: collections.Counter = collections.Counter()
    while day.now < until:
        turn = waiting + (deck if deck else rng.sample(sorted(kinds), len(kinds)))
        first = turn[0] if waits[turn[0]] >= PATIENCE else ""
        waiting, deck = [], []
        for at, kind in enumerate(turn):
            day.is_reserved = bool(first) and kind != first
            day.steps.append((round(day.now, 3), "mark", kind.split()))
            if kinds[kind](day):
                deck = turn[at + 1 :]
                waits[kind] = 0
                break
            day.steps.pop()
            waiting.append(kind)
            waits[kind] += 1
        day.now += day.seconds(*GAP)
    if day.emptied:
        day.at(0.0, "take-back", day.emptied)
    day.now = max(until, day.whole_at()) + CLOSING
    _close(day=day)
    end = day.now + END
    day.now = 0.0
    day.at(FIRST, "load", end - FIRST - 2.0, times)
    return sorted(day.steps, key=lambda step: step[0]), round(end, 3)


CLOSINGS = ("power_off_all", "wipe_after_ack", "wipe_after_ack power", "kill_all")
MOMENTS = {"": "answered", "timed": "sent", "taken": "taken"}


def _close(*, day: Day) -> None:
    """One more change, and the closing fault.

    At its acknowledgement, soon after its sending, or when a client's work is taken.
    """
    kind, how = day.rng.choice(CLOSINGS), day.rng.choice(sorted(MOMENTS))
    day.at(0.0, "mark", "closing", *kind.split(), *([how] if how else []))
    upon = (MOMENTS[how], LIGHT - 1.0)
    if kind == "kill_all":
        day.at(0.0, "upon", *upon, "kill", "all@all")
    if kind.startswith("wipe"):
        day.at(0.0, "upon", *upon, "dark", "leader" if day.rng.random() < 0.5 else day.core(), "wipe")
    if kind == "power_off_all" or "power" in kind:
        day.at(0.0, "upon", *upon, "dark", "all")
    day.change(delay=0.001)
    day.at(LIGHT, "light", "all")
    day.at(READ, "read-back")
