"""How soon after a loss a core tolerates the next: in simulated time, for fault budgets of one and two."""

from __future__ import annotations

import pytest

from sailward.consensus.proposer import majority_size
from sailward.events import ShutdownRequested
from tests.core_net import CoreNet, Machine, make_written
from tests.test_bootstrap import found, put

CATCH_UP = 4.0
"""s after the lost machine or its replacement starts within which the core must tolerate the next loss."""
ZONES = ["gdl-a", "ens-a", "gdl-b", "ens-b", "gdl-a", "ens-a", "gdl-b", "ens-b"]
SIZES = [(4, 1), (5, 1), (6, 1), (8, 1), (6, 2), (8, 2)]
"""(machines that may vote, simultaneous losses to tolerate)."""


def tolerates(net: CoreNet, *, losses: int) -> bool:
    """Would a majority of the newest voter set still vote after `losses` more?"""
    running = [machine.controller for machine in net.machines if machine.controller is not None]
    newest = max((controller.voters for controller in running), key=lambda voters: voters.number)
    voting = [machine for machine in running if machine.is_voting and machine.voters.number == newest.number]
    return len(voting) - losses >= majority_size(members=newest.members)


def make_core(*, machines: int, budget: int, seed: int = 1, spare: int = 0) -> CoreNet:
    """A core at its full size; `spare` further machines at the end of the list are not started."""
    net = CoreNet(zones=(ZONES * 2)[: machines + spare], budget=budget, seed=seed)
    for machine in net.machines[:machines]:
        net.after(net.rng.uniform(0, 0.5), lambda machine=machine: net.start(machine, bootstrap=True))
    assert net.run(10.0, until=lambda: len(net.voting()) == 2 * budget + 1 and tolerates(net, losses=budget))
    net.run(1.0)
    return net


def time_until_tolerated(net: CoreNet, *, losses: int, limit: float = 12.0) -> float:
    """Seconds until the core tolerates `losses`; `limit` if it does not within that time."""
    begun = net.now
    return net.now - begun if net.run(limit, until=lambda: tolerates(net, losses=losses)) else limit


def pick_voter(net: CoreNet, *, at: int = 0) -> Machine:
    """One of the voters."""
    return net.voting()[at]


@pytest.mark.parametrize(("machines", "budget"), SIZES)
def test_a_wiped_voter_is_replaced_within_the_bound_after_its_return(machines: int, budget: int) -> None:
    net = make_core(machines=machines, budget=budget)
    put(net, label=1, on="0")
    lost = [pick_voter(net, at=at) for at in range(budget)]
    for machine in lost:
        net.kill(machine, wipe=True)
    net.run(1.0)
    for machine in lost:
        net.start(machine)
    assert time_until_tolerated(net, losses=budget) < CATCH_UP


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("machines", "budget"), SIZES)
def test_a_permanently_lost_voter_is_replaced_within_the_bound_after_its_successors_start(
    machines: int, budget: int, seed: int
) -> None:
    net = make_core(machines=machines, budget=budget, spare=budget, seed=seed)
    put(net, label=1, on="0")
    for _ in range(budget):
        net.kill(pick_voter(net), wipe=True)
    net.run(1.0)
    for fresh in net.machines[machines:]:
        net.start(fresh)
    assert time_until_tolerated(net, losses=budget) < CATCH_UP


@pytest.mark.parametrize(("machines", "budget"), SIZES)
def test_a_voter_that_is_told_to_stop_exits_when_another_has_copied(machines: int, budget: int) -> None:
    net = make_core(machines=machines, budget=budget)
    put(net, label=1, on="0")
    leaving = pick_voter(net)
    begun = net.now
    net.give(leaving, event=ShutdownRequested())
    assert net.run(5.0, until=lambda: leaving.controller is None)
    assert net.now - begun < 1.5
    assert tolerates(net, losses=budget)


@pytest.mark.parametrize("seed", range(4))
def test_a_value_held_only_by_the_leaving_voter_and_the_next_lost_one_survives(seed: int) -> None:
    net = make_core(machines=4, budget=1, seed=seed)
    leaving, lost, behind = net.voting()
    # periodic reads would spread the value
    for machine in net.machines:
        machine.controller.catch_up.step = lambda **_: []
    net.cut = {behind.name}
    put(net, label=1, on="0")
    net.run(0.3)
    net.cut = set()
    net.give(leaving, event=ShutdownRequested())
    assert net.run(5.0, until=lambda: leaving.controller is None)
    net.kill(leaving, wipe=True)
    net.kill(lost, wipe=True)
    # after a partition a controller reads at a majority before it serves again
    del behind.controller.catch_up.step
    net.run(0.2)
    # until it has contact with a majority it answers 503, and the operator retries
    deadline = net.now + 2.0
    shown = None
    while net.now < deadline and shown != make_written(label=1):
        shown = net.ask(behind, method="GET", path="/config", wait=deadline - net.now)[1]
        net.run(0.1)
    assert shown == make_written(label=1)


def test_a_voter_that_is_told_to_stop_exits_at_once_if_none_can_replace_it() -> None:
    net = found(zones=ZONES[:3])
    begun = net.now
    net.give(net.machines[0], event=ShutdownRequested())
    assert net.machines[0].controller is None
    assert net.now == begun


def test_all_voters_told_to_stop_at_once_exit_within_the_grace_period() -> None:
    net = make_core(machines=4, budget=1)
    put(net, label=1, on="0")
    for machine in net.machines:
        net.give(machine, event=ShutdownRequested())
    assert net.run(4.5, until=lambda: not any(machine.controller for machine in net.machines))
    for machine in net.machines:
        net.start(machine)
    assert net.run(4.0, until=lambda: len(net.voting()) == 3)
    assert net.ask(net.voting()[0], method="GET", path="/config")[1] == make_written(label=1)


def test_a_rolling_restart_loses_nothing_and_the_core_tolerates_a_loss_after_each_step() -> None:
    net = make_core(machines=4, budget=1)
    put(net, label=1, on="0")
    for machine in list(net.machines):
        net.give(machine, event=ShutdownRequested())
        assert net.run(4.5, until=lambda machine=machine: machine.controller is None)
        assert tolerates(net, losses=1)
        net.run(0.4)
        net.start(machine)
        net.run(1.0)
    assert net.ask(net.voting()[0], method="GET", path="/config")[1] == make_written(label=1)


def test_a_newcomer_that_dies_while_copying_blocks_neither_the_leaving_voter_nor_the_core() -> None:
    net = make_core(machines=5, budget=1)
    put(net, label=1, on="0")
    leaving = pick_voter(net)
    waiting = [machine for machine in net.machines if machine not in net.voting()]
    for machine in waiting:
        # its copy never completes
        machine.controller.membership.copying.step = lambda **_: []
    net.give(leaving, event=ShutdownRequested())
    assert net.run(4.5, until=lambda: leaving.controller is None)
    put(net, label=2, on="r1")
    for machine in waiting:
        net.kill(machine)
        net.start(machine)
    assert net.run(8.0, until=lambda: tolerates(net, losses=1))
