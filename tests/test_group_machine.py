"""Long random histories of a control group, and the planted faults that they must find."""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from sailward.consensus import learner, proposer
from sailward.control import controller
from sailward.control.group import copying
from tests.group_machine import GroupMachine
from tests.planted_faults import answer_before_sync

EXAMPLES = int(os.environ.get("SAILWARD_MODEL_EXAMPLES", "15"))
"""Histories of the unmodified product; long runs set a larger number by the environment variable."""
PLANTED_EXAMPLES, STEPS = 3000, 30
"""The most histories to search for a planted fault; the search ends with the first that exposes it. What hypothesis
draws also depends on the constants of the loaded modules, so the number needed varies: a copy from one voter was found
within 150 when this file ran alone, and between 600 and 3000 with the whole suite loaded."""


def run_machine(*, examples: int, phases: tuple = tuple(Phase)) -> None:
    run_state_machine_as_test(
        GroupMachine,
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


def test_a_group_agrees_keeps_what_it_acknowledged_and_catches_up() -> None:
    run_machine(examples=EXAMPLES, phases=(Phase.generate,))


def learn_older_value(monkeypatch: pytest.MonkeyPatch) -> None:
    def step(self, *, name, ballot, value):
        is_newer = name not in self.values or value["mark"] != self.values[name].value["mark"]
        self.values[name] = learner.LearnedValue(ballot=ballot, value=value)
        return is_newer

    monkeypatch.setattr(learner.Learner, "step", step)


def copy_from_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copying, "majority_size", lambda *, members: 1)


def copy_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copying.Copying, "merge_votes", lambda self, **_: {})


def propose_to_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(proposer, "majority_size", lambda *, members: 1)


def learn_own_vote_at_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """A restarted controller treats the last vote on its disk as the chosen value."""
    original = controller.Controller._tick

    def tick(self, *, now, event):
        slot = self.acceptor.slots.get("config")
        if "config" not in self.learner.values and slot is not None and slot.value is not None:
            self.learner.step(name="config", ballot=slot.ballot, value=slot.value)
        return original(self, now=now, event=event)

    monkeypatch.setattr(controller.Controller, "_tick", tick)


def keep_identity_without_data(monkeypatch: pytest.MonkeyPatch) -> None:
    """A wiped machine comes back with its identity as a founder and claims a complete copy of the registers."""
    original = controller.Controller.__init__

    def init(self, *, records, location, **fields):
        if not records:
            records = [{"k": "identity", "id": f"{location.post}#0"}, {"k": "copied"}]
        original(self, records=records, location=location, **fields)

    monkeypatch.setattr(controller.Controller, "__init__", init)


PLANTED = {
    "answers before the sync": answer_before_sync,
    "holds an older value": learn_older_value,
    "copies from one voter": copy_from_one,
    "copies nothing": copy_nothing,
    "proposes to one voter": propose_to_one,
    "serves its own last vote after a start": learn_own_vote_at_start,
    "keeps its identity on an empty disk": keep_identity_without_data,
}


@pytest.mark.parametrize("fault", PLANTED)
def test_it_finds_a_controller_that(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    PLANTED[fault](monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_machine(examples=PLANTED_EXAMPLES, phases=(Phase.generate,))
