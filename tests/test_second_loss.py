"""How soon a core bears the next loss after one: in simulated time, at budgets of one and two, at several sizes."""

from __future__ import annotations

import pytest

from sailward.consensus.proposer import majority_size
from sailward.events import ShutdownRequested
from tests.core_net import CoreNet, Machine, make_written
from tests.test_bootstrap import found, put

CATCH_UP = 4.0
"""s. After a loss is made up for, the users bear so long until the next one may come."""
ZONES = ["gdl-a", "ens-a", "gdl-b", "ens-b", "gdl-a", "ens-a", "gdl-b", "ens-b"]
SIZES = [(4, 1), (5, 1), (6, 1), (8, 1), (6, 2), (8, 2)]
"""(machines that may vote, losses to be borne at once)."""


def bears(net: CoreNet, *, losses: int) -> bool:
    """Would a majority of the newest set act on after so many more losses?"""
    up = [one.controller for one in net.machines if one.controller is not None]
    newest = max((one.voters for one in up), key=lambda voters: voters.number)
    acting = [machine for machine in up if machine.voting and machine.voters.number == newest.number]
    return len(acting) - losses >= majority_size(members=newest.members)


def make_core(*, machines: int, budget: int, seed: int = 1, spare: int = 0) -> CoreNet:
    """A core at its full size; `spare` machines more stand dark at its end."""
    net = CoreNet(zones=(ZONES * 2)[: machines + spare], budget=budget, seed=seed)
    for machine in net.machines[:machines]:
        net.after(net.rng.uniform(0, 0.5), lambda machine=machine: net.start(machine, bootstrap=True))
    assert net.run(10.0, until=lambda: len(net.voting()) == 2 * budget + 1 and bears(net, losses=budget))
    net.run(1.0)
    return net


def time_until_borne(net: CoreNet, *, losses: int, most: float = 12.0) -> float:
    """Seconds until the core bears so many losses; `most` if it never does."""
    begun = net.now
    return net.now - begun if net.run(most, until=lambda: bears(net, losses=losses)) else most


def a_voter(net: CoreNet, *, at: int = 0) -> Machine:
    """One of those that act."""
    return net.voting()[at]


@pytest.mark.parametrize(("machines", "budget"), SIZES)
def test_a_wiped_voter_is_made_up_for_within_the_bound_of_its_return(machines: int, budget: int) -> None:
    net = make_core(machines=machines, budget=budget)
    put(net, label=1, on="0")
    lost = [a_voter(net, at=at) for at in range(budget)]
    for one in lost:
        net.kill(one, wipe=True)
    net.run(1.0)
    for one in lost:
        net.start(one)
    assert time_until_borne(net, losses=budget) < CATCH_UP


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("machines", "budget"), SIZES)
def test_a_voter_gone_for_good_is_made_up_for_within_the_bound_of_its_successors_start(
    machines: int, budget: int, seed: int
) -> None:
    net = make_core(machines=machines, budget=budget, spare=budget, seed=seed)
    put(net, label=1, on="0")
    for _ in range(budget):
        net.kill(a_voter(net), wipe=True)
    net.run(1.0)
    for fresh in net.machines[machines:]:
        net.start(fresh)
    assert time_until_borne(net, losses=budget) < CATCH_UP


@pytest.mark.parametrize(("machines", "budget"), SIZES)
def test_a_voter_that_is_told_to_stop_goes_when_another_has_copied(machines: int, budget: int) -> None:
    net = make_core(machines=machines, budget=budget)
    put(net, label=1, on="0")
    old = a_voter(net)
    begun = net.now
    net.give(old, event=ShutdownRequested())
    assert net.run(5.0, until=lambda: old.controller is None)
    assert net.now - begun < 1.5
    assert bears(net, losses=budget)


@pytest.mark.parametrize("seed", range(4))
def test_what_only_the_leaving_one_and_the_next_lost_one_hold_is_kept(seed: int) -> None:
    net = make_core(machines=4, budget=1, seed=seed)
    leaving, lost, behind = net.voting()
    # reads of their own would spread the value
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
    # a controller that was cut off reads at a majority before it serves again
    del behind.controller.catch_up.step
    net.run(0.2)
    # until it has shown contact with a majority it answers 503, and its operator asks again
    deadline = net.now + 2.0
    shown = None
    while net.now < deadline and shown != make_written(label=1):
        shown = net.ask(behind, method="GET", path="/config", wait=deadline - net.now)[1]
        net.run(0.1)
    assert shown == make_written(label=1)


def test_one_that_is_told_to_stop_goes_at_once_where_none_can_take_its_place() -> None:
    net = found(zones=ZONES[:3])
    begun = net.now
    net.give(net.machines[0], event=ShutdownRequested())
    assert net.machines[0].controller is None
    assert net.now == begun


def test_all_that_are_told_to_stop_at_once_go_within_the_grace() -> None:
    net = make_core(machines=4, budget=1)
    put(net, label=1, on="0")
    for machine in net.machines:
        net.give(machine, event=ShutdownRequested())
    assert net.run(4.5, until=lambda: not any(one.controller for one in net.machines))
    for machine in net.machines:
        net.start(machine)
    assert net.run(4.0, until=lambda: len(net.voting()) == 3)
    assert net.ask(net.voting()[0], method="GET", path="/config")[1] == make_written(label=1)


def test_a_roll_of_all_loses_nothing_and_the_core_bears_a_loss_after_each() -> None:
    net = make_core(machines=4, budget=1)
    put(net, label=1, on="0")
    for machine in list(net.machines):
        net.give(machine, event=ShutdownRequested())
        assert net.run(4.5, until=lambda machine=machine: machine.controller is None)
        assert bears(net, losses=1)
        net.run(0.4)
        net.start(machine)
        net.run(1.0)
    assert net.ask(net.voting()[0], method="GET", path="/config")[1] == make_written(label=1)


def test_a_newcomer_that_dies_while_it_copies_holds_up_neither_the_leaving_one_nor_the_core() -> None:
    net = make_core(machines=5, budget=1)
    put(net, label=1, on="0")
    leaving = a_voter(net)
    waiting = [machine for machine in net.machines if machine not in net.voting()]
    for one in waiting:
        # it never finishes its copy
        one.controller.membership.copying.step = lambda **_: []
    net.give(leaving, event=ShutdownRequested())
    assert net.run(4.5, until=lambda: leaving.controller is None)
    put(net, label=2, on="r1")
    for one in waiting:
        net.kill(one)
        net.start(one)
    assert net.run(8.0, until=lambda: bears(net, losses=1))
