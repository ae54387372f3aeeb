"""The workers as a receiver of lists knows them: leaving and gone stay so for a generation."""
from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Worker:
    """One worker of one generation."""

    name: str
    generation: int
    service: str
    address: str
    hall: str
    leaving: bool

    @property
    def key(self) -> str:
        """Its identity: what connections and results belong to."""
        return f"{self.name}/{self.generation}"


@dataclass(kw_only=True)
class WorkerBook:
    """Fold of all lists heard; `step` takes one and tells which keys came and went."""

    workers: dict = field(default_factory=dict)
    newest: dict = field(default_factory=dict)
    over: dict = field(default_factory=dict)
    revision: tuple = (-1, -1)

    def step(self, *, epoch: int, revision: int, workers: list) -> tuple[set, set]:
        """Fold a list: (came, went). A list older than one heard is not believed."""
        if (epoch, revision) < self.revision:
            return set(), set()
        self.revision = (epoch, revision)
        before = set(self.workers)
        book = {}
        for row in workers:
            worker = Worker(name=row["id"], generation=row["generation"], service=row["service"],
                            address=row["address"], hall=row["hall"],
                            leaving=row["leaving"] or self.over.get(row["id"], {}).get(row["generation"]) == "leaving")
            if self.over.get(worker.name, {}).get(worker.generation) == "gone":
                continue
            if worker.generation < self.newest.get(worker.name, 0):
                continue
            self.newest[worker.name] = worker.generation
            if worker.leaving:
                self._mark(worker=worker, state="leaving")
            book[worker.key] = worker
        for key in before - set(book):
            self._mark(worker=self.workers[key], state="gone")
        self.workers = book
        return set(book) - before, before - set(book)

    def _mark(self, *, worker: Worker, state: str) -> None:
        # only the newest few generations of a name can come up again
        marks = self.over.setdefault(worker.name, {})
        marks[worker.generation] = state
        while len(marks) > 4:
            del marks[min(marks)]
