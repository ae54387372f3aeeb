"""The workers as a receiver of lists knows them.

A worker that was seen as leaving or gone remains so for its generation, even if a list that lags says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants


@dataclass(frozen=True, kw_only=True)
class Worker:
    """One worker of one generation.

    `is_incarnation`: its name is unique to one start of the worker, and lists give no generation. `capacity`: the
    exchanges it can process concurrently, 0 if unknown. `slow_start`: s for which it remains cold, from the time at
    which the list was received.
    """

    name: str
    generation: int
    service: str
    address: str
    zone: str
    leaving: bool
    capacity: int = 0
    slow_start: float = 0.0
    is_incarnation: bool = False

    @property
    def key(self) -> str:
        """Its identity, to which connections and results are attributed."""
        return self.name if self.is_incarnation else f"{self.name}/{self.generation}"


@dataclass(kw_only=True)
class EndpointTable:
    """Merges all received lists. `step` and `replace` apply one and return the keys that were added and removed.

    `generation_states` gives the final states (leaving, gone) of each name's newest generations, for `step`; the three
    dicts of times serve `replace`.
    """

    workers: dict = field(default_factory=dict)
    newest_generation: dict = field(default_factory=dict)
    generation_states: dict = field(default_factory=dict)
    revision: tuple = (-1, -1)
    first_listed_at: dict = field(default_factory=dict)
    removed_at: dict = field(default_factory=dict)
    last_leaving_at: dict = field(default_factory=dict)

    def replace(self, *, now: float, workers: list) -> tuple[set, set]:
        """Apply a list of incarnations whose number can't be compared with the previous one's: (added, removed).

        A list from another sender may be slightly older or newer. Therefore a leaving worker remains leaving, and a
        removed worker remains removed for ENDPOINT_REMOVAL_TTL, unless it had been added just as recently; after that,
        a list that contains it is believed.
        """
        before = set(self.workers)
        self.removed_at = {
            name: at for name, at in self.removed_at.items() if now - at < constants.ENDPOINT_REMOVAL_TTL
        }
        table = {}
        for row in workers:
            name = row["id"]
            if name in self.removed_at:
                continue
            if row["leaving"]:
                self.last_leaving_at[name] = now
            table[name] = Worker(
                name=name,
                generation=0,
                service=row["service"],
                address=row["address"],
                zone=row["hall"],
                leaving=name in self.last_leaving_at,
                capacity=row["capacity"],
                slow_start=row["cold_s"],
                is_incarnation=True,
            )
            self.first_listed_at.setdefault(name, now)
        for name in before - set(table):
            if now - self.first_listed_at.pop(name, now) >= constants.ENDPOINT_REMOVAL_TTL:
                self.removed_at[name] = now
        self.last_leaving_at = {
            name: now if name in table else at
            for name, at in self.last_leaving_at.items()
            if name in table or now - at < constants.ENDPOINT_DEPARTURE_TTL
        }
        self.workers = table
        return set(table) - before, before - set(table)

    def step(self, *, epoch: int, revision: int, workers: list) -> tuple[set, set]:
        """Apply a list: (added, removed). A list older than one already received is ignored."""
        if (epoch, revision) < self.revision:
            return set(), set()
        self.revision = (epoch, revision)
        before = set(self.workers)
        table = {}
        for row in workers:
            worker = Worker(
                name=row["id"],
                generation=row["generation"],
                service=row["service"],
                address=row["address"],
                zone=row["hall"],
                leaving=row["leaving"] or self.generation_states.get(row["id"], {}).get(row["generation"]) == "leaving",
            )
            if self.generation_states.get(worker.name, {}).get(worker.generation) == "gone":
                continue
            if worker.generation < self.newest_generation.get(worker.name, 0):
                continue
            self.newest_generation[worker.name] = worker.generation
            if worker.leaving:
                self._record_state(worker=worker, state="leaving")
            table[worker.key] = worker
        for key in before - set(table):
            self._record_state(worker=self.workers[key], state="gone")
        self.workers = table
        return set(table) - before, before - set(table)

    def _record_state(self, *, worker: Worker, state: str) -> None:
        # only the newest few generations of a name can appear in a list again
        states = self.generation_states.setdefault(worker.name, {})
        states[worker.generation] = state
        while len(states) > 4:
            del states[min(states)]
