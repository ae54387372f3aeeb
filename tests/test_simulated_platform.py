"""The simulated platform guarantees that a generation names a single start of a worker and is never reused."""

from __future__ import annotations

import collections

import pytest

from simulation.sim.scenario import read_scenario, run_scenario

MOVED_THEN_REPLACED = """
title A worker moves, both of its processes are replaced, and its address goes to another service
fleet arriaga
at 0 ready 4
at 6 worker-move stock-gdl-b-0 52
at 7 worker-replace-if stock-gdl-b-0
at 8 readdress stock-gdl-b-0 orders ens-b
at 9 worker-replace-if stock-gdl-b-0
end 12
"""


def test_no_generation_is_started_twice() -> None:
    outcome = run_scenario(scenario=read_scenario(text=MOVED_THEN_REPLACED), seed=1)
    starts = collections.Counter(row["worker"] for row in outcome.world.history.of(k="worker-started"))
    assert starts["stock-gdl-b-0/3"] == 1
    assert max(starts.values()) == 1


def test_a_generation_that_was_listed_is_refused() -> None:
    world = run_scenario(scenario=read_scenario(text="fleet arriaga\nend 1"), seed=1).world
    address, machine = world.find_machine(name="stock-gdl-b-0")
    world.platform.unlist(name="stock-gdl-b-0")
    with pytest.raises(ValueError, match="was listed before"):
        world.platform.list_worker(worker=machine.worker, address=address)
