"""The simulated platform: the paged list of workers, with a revision."""

from __future__ import annotations

from simulation.fake_worker import FakeWorker
from simulation.sim.environment import Environment


class Platform:
    """Keeps the list of workers; each change increments the revision."""

    address = "10.2.0.1:80"

    def __init__(self, *, world: Environment) -> None:
        self._world = world
        self._rows: dict[str, dict] = {}
        self._last_generations: dict[str, int] = {}
        self.revision = 0
        self.epoch = 1
        self.is_up = True

    def list_worker(self, *, worker: FakeWorker, address: str) -> None:
        """Add a worker to the list, or a new generation that replaces the earlier one.

        A generation identifies one start of a worker and is never reused: a ValueError if it was listed before.
        """
        if worker.generation < self.next_generation(name=worker.name):
            raise ValueError(f"generation {worker.generation} of {worker.name} was listed before")
        self._last_generations[worker.name] = worker.generation
        before = self._rows.get(worker.name)
        self._rows[worker.name] = {
            "id": worker.name,
            "generation": worker.generation,
            "service": worker.service,
            "address": address,
            "hall": worker.zone,
            "leaving": False,
        }
        self.revision += 1
        if before and before["generation"] < worker.generation:
            self._record(row=before, k="gone")

    def next_generation(self, *, name: str) -> int:
        """The lowest generation of a worker that was never listed."""
        return self._last_generations.get(name, 0) + 1

    def names(self) -> set:
        """The names of the listed workers."""
        return set(self._rows)

    def mark_leaving(self, *, name: str) -> None:
        """Mark a worker as leaving."""
        row = self._rows[name]
        self._rows[name] = {**row, "leaving": True}
        self.revision += 1
        self._record(row=row, k="leaving")

    def unlist(self, *, name: str) -> None:
        """Remove a worker from the list."""
        row = self._rows.pop(name)
        self.revision += 1
        self._record(row=row, k="gone")

    def page(self, *, after: str, limit: int) -> dict:
        """One page of the list: at most `limit` workers whose names follow `after`."""
        names = sorted(name for name in self._rows if name > after)
        rows = [self._rows[name] for name in names[:limit]]
        return {
            "epoch": self.epoch,
            "revision": self.revision,
            "total": len(self._rows),
            "workers": rows,
            "next": rows[-1]["id"] if len(names) > limit else "",
        }

    def _record(self, *, row: dict, k: str) -> None:
        self._world.history.add(
            t=self._world.clock.now, k=k, worker=f"{row['id']}/{row['generation']}", revision=self.revision
        )
