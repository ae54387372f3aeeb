"""A core that bootstraps itself, grows, and repairs itself after losses."""

from __future__ import annotations

import pytest

from sailward.control.bootstrap import Bootstrap
from sailward.control.group.repair import Repair
from tests.core_net import CoreNet, make_written

FOUR = ["gdl-a", "ens-a", "gdl-b", "ens-b"]


def found(*, zones: list[str] = FOUR, budget: int = 1, seeds: int = 3, seed: int = 1, **options: object) -> CoreNet:
    net = CoreNet(zones=zones, budget=budget, seeds=seeds, seed=seed, **options)
    for machine in net.machines:
        net.after(net.rng.uniform(0, 0.5), lambda machine=machine: net.start(machine, bootstrap=True))
    net.run(2.0)
    return net


def put(net: CoreNet, *, label: int, on: str) -> None:
    for _ in range(12):
        for machine in net.voting():
            if (
                net.ask(machine, method="PUT", path="/config", body=make_written(label=label), if_match=on, wait=1.0)[0]
                == 200
            ):
                return
        net.run(0.3)
    raise AssertionError(f"{label} was never taken")


def test_three_seeds_found_one_core_without_messages_and_the_fourth_waits() -> None:
    net = found()
    assert [machine.name for machine in net.voting()] == ["m0", "m1", "m2"]
    assert {machine.controller.voters.number for machine in net.machines} == {1}
    put(net, label=3, on="0")
    assert net.members() == sorted(net.posts)


def test_founding_ends_with_one_core_though_a_founder_is_dead() -> None:
    net = CoreNet(zones=FOUR)
    net.start(net.machines[0], bootstrap=True)
    net.start(net.machines[3], bootstrap=True)
    net.run(1.0)
    net.start(net.machines[1], bootstrap=True)
    assert net.run(6.0, until=lambda: len(net.voting()) == 3)
    assert net.machines[3].controller.is_voting and not net.machines[2].controller
    net.start(net.machines[2], bootstrap=False)
    net.run(3.0)
    assert len(net.voting()) == 3
    put(net, label=1, on="0")


def test_the_core_grows_to_the_size_of_its_budget_spread_over_zones() -> None:
    net = found(zones=["gdl-a", "ens-a", "gdl-b", "gdl-a", "gdl-a", "ens-b", "gdl-b"], budget=2)
    assert net.run(8.0, until=lambda: len(net.voting()) == 5 and len(net.members()) == 5)
    assert net.machines[5].controller.is_voting
    assert len({machine.zone for machine in net.voting()}) == 4


def test_fewer_seeds_than_the_target_grow_as_well() -> None:
    net = found(seeds=1)
    assert net.run(8.0, until=lambda: len(net.voting()) == 3)


@pytest.mark.parametrize("at", [0, 1, 2])
def test_a_wiped_voter_is_replaced_within_seconds_of_its_return(at: int) -> None:
    net = found(zones=FOUR[:3])
    put(net, label=1, on="0")
    machine = net.machines[at]
    net.kill(machine, wipe=True)
    net.run(1.0)
    begun = net.now
    net.start(machine)
    assert net.run(3.0, until=lambda: machine.controller.is_voting)
    assert net.now - begun < 2.5
    # the next voter may be lost at once
    other = net.machines[(at + 1) % 3]
    net.kill(other, wipe=True)
    put(net, label=2, on="r1")
    net.start(other)
    assert net.run(3.0, until=lambda: len(net.voting()) == 3)
    assert net.ask(machine, method="GET", path="/config")[1]["generation"] == "r2"


def test_a_voter_that_stays_down_is_replaced_and_does_not_vote_on_its_return() -> None:
    net = found()
    put(net, label=1, on="0")
    lost = net.machines[1]
    net.kill(lost)
    assert net.run(7.0, until=lambda: net.machines[3].controller.is_voting)
    net.start(lost)
    net.run(2.0)
    assert not lost.controller.is_voting and len(net.members()) == 3
    put(net, label=2, on="r1")


def test_a_replacement_at_a_new_address_votes() -> None:
    net = found(zones=[*FOUR[:3], "gdl-b"])
    net.kill(net.machines[3], wipe=True)
    put(net, label=1, on="0")
    net.kill(net.machines[2], wipe=True)
    net.run(0.5)
    net.start(net.machines[3])
    assert net.run(7.0, until=lambda: net.machines[3].controller.is_voting)
    assert net.ask(net.machines[3], method="GET", path="/config")[0] == 200


def test_a_newcomer_that_dies_before_it_has_copied_does_not_block_repair() -> None:
    net = found()
    put(net, label=1, on="0")
    net.kill(net.machines[2], wipe=True)
    net.run(7.0, until=lambda: net.machines[3].post in net.members())
    net.kill(net.machines[3], wipe=True)
    net.run(1.0)
    net.start(net.machines[2])
    assert net.run(8.0, until=lambda: len(net.voting()) == 3)
    put(net, label=2, on="r1")


def test_a_newcomer_that_cannot_copy_is_replaced() -> None:
    net = found()
    net.kill(net.machines[2], wipe=True)
    net.machines[3].controller.membership.copying.step = lambda **_: []
    net.run(7.0, until=lambda: net.machines[3].post in net.members())
    net.start(net.machines[2])
    assert net.run(14.0, until=lambda: len(net.voting()) == 3)
    assert not net.machines[3].controller.is_voting


def test_all_killed_at_once_come_back_with_what_was_acknowledged() -> None:
    net = found()
    put(net, label=1, on="0")
    assert net.ask(net.machines[0], method="POST", path="/evacuation/ens-a")[0] == 200
    for machine in net.machines:
        net.kill(machine)
    net.run(0.5)
    for machine in net.machines:
        net.start(machine)
    assert net.run(1.0, until=lambda: len(net.voting()) == 3)
    code, body, _ = net.ask(net.machines[2], method="GET", path="/config")
    assert code == 200 and body == make_written(label=1)
    net.run(1.0)
    assert '"ens-a"' in net.machines[1].controller.learner.values["orders"].value["text"]


def test_one_wiped_while_all_others_are_killed() -> None:
    net = found()
    put(net, label=1, on="0")
    for machine in net.machines:
        net.kill(machine, wipe=machine is net.machines[0])
    net.run(0.5)
    for machine in net.machines:
        net.start(machine)
    assert net.run(4.0, until=lambda: len(net.voting()) == 3)
    assert net.ask(net.machines[3], method="GET", path="/config")[1] == make_written(label=1)


def test_a_partitioned_and_replaced_voter_can_choose_nothing() -> None:
    net = found()
    put(net, label=1, on="0")
    net.cut = {"m1"}
    assert net.run(8.0, until=lambda: net.machines[3].controller.is_voting)
    assert net.ask(net.machines[1], method="PUT", path="/config", body=make_written(label=2), if_match="r1")[0] in (
        0,
        503,
    )
    put(net, label=3, on="r1")
    net.cut = set()
    net.run(7.0)
    assert not net.machines[1].controller.is_voting
    assert net.ask(net.machines[1], method="GET", path="/config")[1]["generation"] == "r3"


@pytest.mark.parametrize("seed", range(6))
def test_losses_in_turn_lose_nothing_that_was_acknowledged(seed: int) -> None:
    net = found(seed=seed)
    for label in range(1, 7):
        put(net, label=label, on=f"r{label - 1}" if label > 1 else "0")
        lost = net.rng.choice(net.machines)
        net.kill(lost, wipe=net.rng.random() < 0.6)
        net.run(net.rng.uniform(0.3, 4.0))
        net.start(lost)
        net.run(4.0)
        assert len(net.voting()) == 3
        assert net.ask(net.rng.choice(net.machines), method="GET", path="/config")[1]["generation"] == f"r{label}"


def test_target_and_founders() -> None:
    bootstrap = Bootstrap(is_first=True, posts=("a:1", "b:1", "c:1"), budget=2)
    assert bootstrap.target_size == 5 and bootstrap.is_founder(post="c:1") and not bootstrap.is_founder(post="d:1")
    assert not Bootstrap(is_first=False, posts=("a:1",), budget=1).is_founder(post="a:1")


def test_default_repair_intervals() -> None:
    assert (Repair().replace_after, Repair().check_interval_s, Repair().is_self_managed) == (20.0, 1.0, False)


def test_a_newcomer_knows_a_value_held_only_by_the_lost_voter_and_one_other() -> None:
    net = found()
    put(net, label=1, on="0")
    for machine in net.machines:
        # no periodic reads: they would repair the stale register that this test is about
        machine.controller.catch_up.step = lambda **_: []
    net.run(1.0)
    net.cut = {"m1"}
    put(net, label=2, on="r1")
    net.run(0.5)
    net.kill(net.machines[2], wipe=True)
    net.cut = set()
    assert net.run(8.0, until=lambda: net.machines[3].controller.is_voting)
    net.kill(net.machines[0], wipe=True)
    net.run(0.2)
    assert net.ask(net.machines[1], method="GET", path="/config")[1] == make_written(label=2)


@pytest.mark.parametrize("other", [1, 2, 3, 4])
def test_a_repair_does_not_wait_for_a_voter_that_died_with_it(other: int) -> None:
    net = found(zones=["gdl-a", "ens-a", "gdl-b", "ens-b", "gdl-a"], budget=2)
    assert net.run(8.0, until=lambda: len(net.voting()) == 5)
    net.run(1.0)
    net.kill(net.machines[0], wipe=True)
    net.kill(net.machines[other])
    net.start(net.machines[0])
    begun = net.now
    assert net.run(6.0, until=lambda: net.machines[0].controller.is_voting)
    assert net.now - begun < 2.3


@pytest.mark.parametrize("bare", [{"m0"}, {"m1", "m2"}, {"m0", "m1", "m2"}])
def test_founders_without_a_disk_make_room_for_those_that_have_one(bare: set) -> None:
    net = found(zones=["gdl-a", "ens-a", "gdl-b", "gdl-a", "ens-b", "gdl-b", "ens-a"], budget=1, bare=frozenset(bare))
    assert len(net.voting()) >= 2
    assert net.run(8.0, until=lambda: len(net.voting()) == 3 and not {machine.name for machine in net.voting()} & bare)
    put(net, label=1, on="0")
    for machine in net.machines:
        net.kill(machine)
    net.run(0.5)
    for machine in net.machines:
        net.start(machine)
    net.run(6.0)
    assert net.ask(net.voting()[0], method="GET", path="/config", wait=2.0)[0] == 200
    assert not {machine.name for machine in net.voting()} & bare


def test_a_diskless_controller_is_never_added_to_the_voters_but_takes_changes() -> None:
    net = found(zones=[*FOUR, "gdl-a"], bare=frozenset({"m4"}))
    net.kill(net.machines[0])
    net.kill(net.machines[3])
    net.run(12.0)
    assert "m4" not in {machine.name for machine in net.voting()}
    for label, on in ((1, "0"), (2, "r1")):
        assert (
            net.ask(
                net.machines[4], method="PUT", path="/config", body=make_written(label=label), if_match=on, wait=2.0
            )[0]
            == 200
        )
