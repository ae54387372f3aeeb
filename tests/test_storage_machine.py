"""Long random histories of one voter and its data file, and the planted faults that they must find."""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from sailward.consensus import acceptor
from sailward.control.group import write_ahead
from sailward.events import DiskWriteFailed, RecordsSynced
from tests.planted_faults import answer_before_sync
from tests.storage_machine import StorageMachine, shrink_file_bounds
from tests.test_data_file import NamesUnsynced, RenamesUnsynced, StoresUnsynced

EXAMPLES = int(os.environ.get("SAILWARD_MODEL_EXAMPLES", "40"))
"""Number of histories without planted faults; longer runs set more by the environment."""
PLANTED_EXAMPLES, STEPS = 400, 40


def run_machine(*, machine: type, examples: int, phases: tuple = tuple(Phase)) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            derandomize=True,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_what_a_voter_answered_is_there_after_every_start(monkeypatch: pytest.MonkeyPatch) -> None:
    shrink_file_bounds(monkeypatch)
    run_machine(machine=StorageMachine, examples=EXAMPLES)


def take_failures_for_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    old = write_ahead.WriteAhead.receive
    monkeypatch.setattr(
        write_ahead.WriteAhead,
        "receive",
        lambda self, *, event: old(
            self, event=RecordsSynced(seq=event.seq) if isinstance(event, DiskWriteFailed) else event
        ),
    )


def drop_at_rewrite(kind: str):
    def plant(monkeypatch: pytest.MonkeyPatch) -> None:
        old = write_ahead.WriteAhead._live_records
        monkeypatch.setattr(
            write_ahead.WriteAhead,
            "_live_records",
            lambda self: [
                record for record in old(self) if record["k"] != kind or record.get("r") == acceptor.KNOWN_VOTERS_RECORD
            ],
        )

    return plant


def drop_known_at_rewrite(monkeypatch: pytest.MonkeyPatch) -> None:
    old = write_ahead.WriteAhead._live_records
    monkeypatch.setattr(
        write_ahead.WriteAhead,
        "_live_records",
        lambda self: [record for record in old(self) if record.get("r") != acceptor.KNOWN_VOTERS_RECORD],
    )


def answer_during_rewrite(monkeypatch: pytest.MonkeyPatch) -> None:
    """Waiting replies are sent when a rewrite begins, as if it had finished."""
    old = write_ahead.WriteAhead.rewrite

    def rewrite(self):
        command = old(self)
        self.synced_seq = self.seq
        return command

    monkeypatch.setattr(write_ahead.WriteAhead, "rewrite", rewrite)


PLANTED = {
    "answers before the sync": (answer_before_sync, StorageMachine.make_files),
    "failures taken for syncs": (take_failures_for_syncs, StorageMachine.make_files),
    "answers while a rewrite runs": (answer_during_rewrite, StorageMachine.make_files),
    "promises dropped at a rewrite": (drop_at_rewrite("promise"), StorageMachine.make_files),
    "votes dropped at a rewrite": (drop_at_rewrite("vote"), StorageMachine.make_files),
    "copied dropped at a rewrite": (drop_at_rewrite("copied"), StorageMachine.make_files),
    "identity dropped at a rewrite": (drop_at_rewrite("identity"), StorageMachine.make_files),
    "known voters dropped at a rewrite": (drop_known_at_rewrite, StorageMachine.make_files),
    "rewrite not synced before its rename": (None, RenamesUnsynced),
    "rename not synced": (None, NamesUnsynced),
    "stores not synced": (None, StoresUnsynced),
}


@pytest.mark.parametrize("fault", PLANTED)
def test_it_finds_a_voter_that(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    shrink_file_bounds(monkeypatch)
    plant, files = PLANTED[fault]
    if plant is not None:
        plant(monkeypatch)
    machine = type("Planted", (StorageMachine,), {"make_files": files})
    with pytest.raises(AssertionError):
        run_machine(machine=machine, examples=PLANTED_EXAMPLES, phases=(Phase.generate,))
