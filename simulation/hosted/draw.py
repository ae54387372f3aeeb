"""Long runs ("days") drawn by seed, as explicit steps of every kind of fault.

At most as many machines are lost at once as must be tolerated. A day is drawn before it runs, so that its later steps
don't depend on the run itself: a failing one can be shrunk step by step.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from simulation.hosted.deployment import Deployment

FIRST_FAULT_AT = 8.0
"""s at which the faults begin: by then the whole system has started and serves."""
GAP = (0.3, 1.6)
"""s between two faults."""
CATCH_UP_MARGIN = 0.5
"""s beyond `catch_up_s` for which a machine that was lost still counts as lost."""
CLOSING_DELAY, POWER_ON_DELAY, READ_BACK_DELAY, END_DELAY = 1.0, 7.0, 23.0, 27.0
"""s from the end of the last fault to the closing fault; from there to power for all, to the read-back and to the end
of the day."""
MAX_DEFERRALS = 3
"""Number of times that a kind of fault is deferred at most; then no other kind may lose core machines before it."""
MOMENT_WAIT = 8.0
"""s that a fault waits for the moment that triggers it."""


@dataclass(kw_only=True)
class Day:
    """A day as drawn so far.

    `add_step` adds a step; `reserve_losses` asks whether core machines may be lost now, and reserves their loss.
    """

    deployment: Deployment
    rng: random.Random
    now: float = FIRST_FAULT_AT
    steps: list = field(default_factory=list)
    emptied: str = ""
    is_budget_reserved: bool = False
    _number: int = 1
    _lost_until: list = field(default_factory=list)
    _core: list = field(default_factory=list)
    _replaced: dict = field(default_factory=dict)

    def __post_init__(self) -> None:
        deployment = self.deployment
        for zone in deployment.zones:
            self._core += [
                f"{zone}-{at}" for at in range(deployment.disks_per_zone + (zone in deployment.zones_with_extra_disk))
            ]

    def add_step(self, delay: float, verb: str, *words: object) -> None:
        """Add a step that runs so many s from now."""
        self.steps.append((round(self.now + delay, 3), verb, [str(word) for word in words]))

    def seconds(self, low: float, high: float) -> float:
        """A random span in s between these."""
        return round(self.rng.uniform(low, high), 2)

    def reserve_losses(self, *, seconds: float, count: int = 1) -> bool:
        """Reserve the loss of so many core machines, until they have caught up again; False if that is too many."""
        lost = sum(until > self.now for until in self._lost_until)
        if self.is_budget_reserved or lost + count > self.deployment.max_lost_machines:
            return False
        self._lost_until += [self.now + seconds + self.deployment.bounds["catch_up_s"] + CATCH_UP_MARGIN] * count
        return True

    def reserve_whole_budget(self, *, seconds: float) -> bool:
        """The same for a fault of a zone or of all machines, which needs that no core machine counts as lost."""
        if any(until > self.now for until in self._lost_until):
            return False
        return self.reserve_losses(seconds=seconds, count=self.deployment.max_lost_machines)

    def recovered_at(self) -> float:
        """When no machine counts as lost any more."""
        return max([self.now, *self._lost_until])

    def core(self) -> str:
        """A machine that holds state."""
        return self.rng.choice(self._core)

    def core_or_role(self, *, roles: bool = True) -> str:
        """A machine that holds state, by its name or by its role at the time of the step."""
        role = self.rng.choice(("leader", "reader", "seed", ""))
        return role if role and roles else self.core()

    def plain(self) -> str:
        """A machine that holds no state, and so is not part of the core."""
        names = [
            f"{zone}-{self.deployment.disks_per_zone + (zone in self.deployment.zones_with_extra_disk) + at}"
            for zone in self.deployment.zones
            for at in range(self.deployment.plain_per_zone)
        ]
        return self.rng.choice(names)

    def note_replacement(self, *, machine: str) -> None:
        """Note that a machine was replaced: later steps name the new one."""
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
        """The number of the next version, the first of `count`; numbers grow in uneven steps."""
        first = self._number + self.rng.randrange(1, 5)
        self._number = first + count - 1
        return first

    def change(self, *, delay: float = 0.0, words: tuple = (), number: int = 0) -> None:
        """Add a valid change of the configuration."""
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
            self.add_step(delay, "patch", number, route, *split, *words)
        else:
            self.add_step(delay, "split", route, *split)
            self.add_step(delay, "put", number, *words)


def draw_day(
    *, deployment: Deployment, seed: int, seconds: float, kinds: dict[str, Callable], times: float = 0.3
) -> tuple[list, float]:
    """(steps, end) of one day with so many s of faults.

    Every kind is drawn once before any is drawn again; one that would lose too many machines at once is deferred.
    """
    day = Day(deployment=deployment, rng=random.Random(f"{seed}/day"))
    rng, until = day.rng, FIRST_FAULT_AT + seconds
    remaining: list[str] = []
    deferred: list[str] = []
    deferrals: collections.Counter = collections.Counter()
    while day.now < until:
        order = deferred + (remaining if remaining else rng.sample(sorted(kinds), len(kinds)))
        overdue = order[0] if deferrals[order[0]] >= MAX_DEFERRALS else ""
        deferred, remaining = [], []
        for at, kind in enumerate(order):
            day.is_budget_reserved = bool(overdue) and kind != overdue
            day.steps.append((round(day.now, 3), "mark", kind.split()))
            if kinds[kind](day):
                remaining = order[at + 1 :]
                deferrals[kind] = 0
                break
            day.steps.pop()
            deferred.append(kind)
            deferrals[kind] += 1
        day.now += day.seconds(*GAP)
    if day.emptied:
        day.add_step(0.0, "take-back", day.emptied)
    day.now = max(until, day.recovered_at()) + CLOSING_DELAY
    _add_closing_fault(day=day)
    end = day.now + END_DELAY
    day.now = 0.0
    day.add_step(FIRST_FAULT_AT, "load", end - FIRST_FAULT_AT - 2.0, times)
    return sorted(day.steps, key=lambda step: step[0]), round(end, 3)


CLOSINGS = ("power_off_all", "wipe_after_ack", "wipe_after_ack power", "kill_all")
MOMENTS = {"": "answered", "timed": "sent", "taken": "taken"}


def _add_closing_fault(*, day: Day) -> None:
    """Add one more change and the closing fault.

    The fault occurs at the change's acknowledgement, soon after its sending, or when a proxy takes a client's request.
    """
    kind, how = day.rng.choice(CLOSINGS), day.rng.choice(sorted(MOMENTS))
    day.add_step(0.0, "mark", "closing", *kind.split(), *([how] if how else []))
    trigger = (MOMENTS[how], POWER_ON_DELAY - 1.0)
    if kind == "kill_all":
        day.add_step(0.0, "upon", *trigger, "kill", "all@all")
    if kind.startswith("wipe"):
        day.add_step(0.0, "upon", *trigger, "dark", "leader" if day.rng.random() < 0.5 else day.core(), "wipe")
    if kind == "power_off_all" or "power" in kind:
        day.add_step(0.0, "upon", *trigger, "dark", "all")
    day.change(delay=0.001)
    day.add_step(POWER_ON_DELAY, "light", "all")
    day.add_step(READ_BACK_DELAY, "read-back")
