"""Drawn days: every kind of fault that the users' bench lists is drawn and takes effect, within the fault budget."""

from __future__ import annotations

import collections

import pytest

from simulation.hosted.deployment import make_small
from simulation.hosted.draw import draw_day
from simulation.hosted.draw_others import ALL_KINDS
from simulation.hosted.drawn_deployment import draw_deployment
from simulation.hosted.scenario import read_scenario, run_scenario
from simulation.hosted.verbs import Verbs, find_fault
from simulation.hosted.world import World

BENCH_LIST = """
hot_key; retry_abuse; give_up; burst; shift
srv_crash; srv_crash dark; srv_crash gone; srv_crash across; srv_crash all; srv_slow; srv_flap
srv_grey errors; srv_grey shed; srv_grey busy; srv_grey hang; srv_grey reset; srv_grey mute
srv_grey slow; srv_grey one_zone
srv_lying_health errors; srv_lying_health hang; srv_lying_health reset; srv_lying_health bad
release; replace_with_reuse; replace_with_reuse drain; replace_with_reuse dark; scale_out; scale_in; scale_in spot
cold_return; cold_return dark; idle_race; answer_lost; garble; garble extra
node_kill; node_kill power; node_kill core; node_kill core leader; node_kill core reader; node_kill core seed
node_kill core meet; node_kill core race; node_kill core hard; node_kill core drain
node_kill core power; node_kill core power meet; node_kill core power race
node_kill core power hard; node_kill core power drain
roll_term; roll_term core; roll_term remove; roll_term busy
herd_kill; herd_kill core; herd_kill core power; herd_kill core taken
replace_core; replace_core planned
after_ack_kill; after_ack_kill kill; after_ack_kill timed; after_ack_kill taken
after_ack_wipe; after_ack_wipe lot; after_ack_wipe timed; after_ack_wipe taken
zone_loss; zone_cut; one_way; one_way all; one_way all in
core_cut; core_cut one_way; core_cut seeds; core_cut both; core_cut reset; core_cut refuse
core_cut leader; core_cut reader; core_cut seed; core_cut meet; core_cut race; core_cut hard; core_cut drain
node_cut; node_cut servers; node_freeze; node_freeze core; node_slow; node_slow core; seed_turnover
disk_slow; disk_full; disk_stall; clock_step back; clock_step ahead; hup; reset_conns; reset_conns core
config_change route; config_change weights; config_change timeout; config_change idle; config_storm
config_race; config_race alike; config_race many; big_config; ack_lost; evacuate; evacuate warm
bad_config cut-short; bad_config service; bad_config place; bad_config sum; bad_config timeout; bad_config older
bad_config same
bad_config stale; bad_config shared-key
"""
"""Output of `fleetbench kinds` for the contracts in force on the four deployments, with the variants of `how`."""
KINDS = [kind.strip() for line in BENCH_LIST.strip().splitlines() for kind in line.split(";")]
CLOSINGS = {"power_off_all", "wipe_after_ack", "wipe_after_ack power", "kill_all"}


def test_every_kind_and_variant_that_the_bench_lists_can_be_drawn() -> None:
    assert not set(KINDS) - set(ALL_KINDS)


def test_over_sixty_seeds_every_kind_and_closing_fault_is_drawn_more_than_once() -> None:
    seen: collections.Counter = collections.Counter()
    for seed in range(1, 61):
        steps, _ = draw_day(deployment=draw_deployment(seed=seed), seed=seed, seconds=60.0, kinds=ALL_KINDS)
        seen.update(" ".join(words) for _, verb, words in steps if verb == "mark")
    assert [kind for kind in ALL_KINDS if seen[kind] < 2] == []
    for closing in CLOSINGS:
        for how in ("", " timed", " taken"):
            assert seen[f"closing {closing}{how}"], (closing, how)


@pytest.mark.parametrize("kind", sorted(ALL_KINDS))
def test_each_kind_draws_valid_scenario_steps(kind: str) -> None:
    steps, end = draw_day(deployment=draw_deployment(seed=3), seed=1, seconds=12.0, kinds={kind: ALL_KINDS[kind]})
    assert any(verb == "mark" and " ".join(words) == kind for _, verb, words in steps)
    assert [find_fault(verb=verb, words=words) for _, verb, words in steps if find_fault(verb=verb, words=words)] == []
    assert all(0.0 <= when < end for when, _, _ in steps)


def test_deployments_are_drawn_in_all_sizes_that_the_users_describe() -> None:
    drawn = [draw_deployment(seed=seed) for seed in range(1, 100)]
    sizes = {
        deployment.disks_per_zone * len(deployment.zones) + len(deployment.zones_with_extra_disk)
        for deployment in drawn
    }
    assert sizes == set(range(3, 9))
    assert {deployment.max_lost_machines for deployment in drawn} == {1, 2}
    assert all(
        deployment.max_lost_machines == 1
        or deployment.disks_per_zone * len(deployment.zones) + len(deployment.zones_with_extra_disk) >= 5
        for deployment in drawn
    )


LOSS_VERBS = {"kill", "outage", "freeze", "cut-core", "fill", "stall-disk", "replace", "slow-node", "stop"}


@pytest.mark.parametrize("seed", range(1, 20))
def test_no_more_core_machines_are_lost_at_once_than_the_budget(seed: int) -> None:
    deployment = draw_deployment(seed=seed)
    core = {
        f"{zone}-{at}"
        for zone in deployment.zones
        for at in range(deployment.disks_per_zone + (zone in deployment.zones_with_extra_disk))
    }
    steps, _ = draw_day(deployment=deployment, seed=seed, seconds=100.0, kinds=ALL_KINDS)
    catch_up = deployment.bounds["catch_up_s"]
    taken = []
    for when, verb, words in steps:
        name = words[0].removeprefix("all@").split("-new")[0] if words else ""
        if verb in LOSS_VERBS and name in core:
            taken.append(when)
    for at, when in enumerate(taken):
        assert sum(when - catch_up < earlier <= when for earlier in taken[: at + 1]) <= deployment.max_lost_machines


EFFECTS = [
    ("lose-acks 1 9; put 7", "acks-lost"),
    ("lose notes@all 6", "answers-lost"),
    ("garble notes@all 6", "garbled"),
    ("repeat notes@all 6", "surplus"),
    ("forget notes@all 0.05 6", "idle-races"),
    ("grey notes@all errors 6 1", "grey-errors"),
    ("grey notes@all mute 6 1 ens-z1", "grey-mute"),
    ("lie notes@all hang 6", "grey-hang"),
    ("reset-connections all 1", "callers-reset"),
    ("cut worker plain+core 2 reset", "lines-reset"),
    ("hup all", "hups"),
    ("put 7 again=2", "late-orders"),
    ("upon answered 5 kill all@leader; put 7", "upon-answered"),
    ("upon sent 5 outage leader 1; put 7", "upon-sent"),
    ("upon taken 5 kill all@taker", "upon-taken"),
]


def test_the_steps_have_their_effects() -> None:
    """The steps run one after the other in one day; counters of the simulated world show their effects."""
    lines = ["fleet drawn-2", "seeds 1", "at 4 load 80 0.5"]
    for at, (text, _) in enumerate(EFFECTS):
        lines += [f"at {6 + 5 * at} {step.strip().replace('put 7', f'put {7 + at}')}" for step in text.split(";")]
    lines.append(f"end {10 + 5 * len(EFFECTS)}")
    outcome = run_scenario(scenario=read_scenario(text="\n".join(lines)), seed=1)
    assert [effect for _, effect in EFFECTS if not outcome.world.count[effect]] == []


def test_a_one_way_cut_blocks_one_way_until_the_connections_end() -> None:
    world = World(deployment=make_small(), seed=1, end=10.0)
    verbs = Verbs(world=world)
    here, there = (world.machines[name].node for name in ("gdl-nave-0", "ens-cava-0"))
    verbs.do("cut-core", ["gdl-nave-0", "5", "one_way"])
    assert world.network.is_cut(a=here, b=there) and not world.network.is_cut(a=there, b=here)
    assert world.network.is_severed(a=there, b=here)
    world.clock.run(until=world.begin + 4.0)
    assert world.network.is_cut(a=there, b=here)
    world.clock.run(until=world.begin + 6.0)
    assert not world.network.is_cut(a=here, b=there)


def test_each_cut_heals_by_itself() -> None:
    world = World(deployment=make_small(), seed=1, end=10.0)
    verbs = Verbs(world=world)
    verbs.do("cut", ["gdl-nave-0", "core", "2"])
    verbs.do("cut", ["ens-cava-0", "core", "6"])
    world.clock.run(until=world.begin + 3.0)
    nodes = {name: machine.node for name, machine in world.machines.items()}
    assert not world.network.is_cut(a=nodes["gdl-nave-0"], b=nodes["ens-lagar-0"])
    assert world.network.is_cut(a=nodes["ens-cava-0"], b=nodes["ens-lagar-0"])


def test_clients_still_reach_a_zone_that_is_cut_off_from_the_others() -> None:
    world = World(deployment=make_small(), seed=1, end=10.0)
    Verbs(world=world).do("cut-zone", ["gdl-nave", "5"])
    inside, outside = world.machines["gdl-nave-0"].node, world.machines["ens-cava-0"].node
    client = next(client.node for client in world.clients if client.node.zone == "ens-cava")
    assert world.network.is_severed(a=inside, b=outside)
    assert not world.network.is_severed(a=client, b=inside)


def test_a_replacement_starts_before_or_after_the_replaced_machine_ends() -> None:
    world = World(deployment=make_small(), seed=1, end=40.0)
    verbs = Verbs(world=world)
    world.start()
    world.clock.run(until=world.begin + 3.0)
    verbs.do("replace", ["gdl-nave-0", "2", "planned"])
    world.clock.run(until=world.begin + 4.0)
    assert world.machines["gdl-nave-0-new1"].processes["controller"].owner is not None
    assert world.machines["gdl-nave-0"].processes["controller"].owner is not None
    world.clock.run(until=world.begin + 13.0)
    assert world.machines["gdl-nave-0"].is_removed
    verbs.do("replace", ["ens-cava-0", "1"])
    assert world.machines["ens-cava-0"].is_removed
    world.clock.run(until=world.begin + 13.5)
    assert world.machines["ens-cava-0-new1"].processes["controller"].owner is None
    world.clock.run(until=world.begin + 14.5)
    assert world.machines["ens-cava-0-new1"].processes["controller"].owner is not None
