"""Grants of key ranges in virtual time: no key has two holders, and every key is held again within a time limit."""

from __future__ import annotations

import json

import pytest

from sailward import constants
from sailward.events import CallFinished, StartCall
from sailward.routing.shards import KEYS, read_shards
from tests.granting_fixture import Granter, World, crash, loads_by_bucket, make_settled


def test_first_grants_are_sent_at_once_and_renewed_without_a_gap() -> None:
    world = World(seed=1, slowest=0.03)
    assert world.run_until_all_held(within=2.0) < 1.0
    changes = world.changes
    for _ in range(100):
        world.run(seconds=0.1)
        assert world.held_keys() == KEYS
    assert world.changes == changes and not world.overlaps


def test_leaving_worker_is_drained_soon_and_keys_are_unheld_only_briefly() -> None:
    world = make_settled()
    worker = world.workers[1]
    worker.is_leaving = True
    gap, start = 0.0, world.now
    while world.keys_of(worker=worker) and world.now - start < 3.0:
        world.run(seconds=constants.TICK_INTERVAL)
        gap += constants.TICK_INTERVAL if world.held_keys() < KEYS else 0.0
    assert world.now - start < 1.5
    assert gap + world.run_until_all_held(within=2.0) < 1.0
    assert f"from {worker.key}" in [handover for other in world.workers for handover in other.handovers]
    assert not world.overlaps


def test_keys_leave_an_evacuated_zone_and_return_after_it() -> None:
    world = make_settled()
    world.evacuated_zones = frozenset({"h0"})
    world.run(seconds=3.0)
    assert world.held_keys() == KEYS
    assert not any(world.keys_of(worker=worker) for worker in world.workers if worker.zone == "h0")
    world.evacuated_zones = frozenset()
    world.run(seconds=20.0)
    assert all(world.keys_of(worker=worker) for worker in world.workers)
    assert world.held_keys() == KEYS and not world.overlaps


def test_keys_are_unowned_while_no_worker_is_eligible() -> None:
    world = make_settled()
    world.evacuated_zones = frozenset(world.zones)
    world.run(seconds=4.0)
    assert world.held_keys() == 0 and {shard.owner for shard in read_shards(text=world.register["text"]).shards} == {""}
    world.evacuated_zones = frozenset()
    assert world.run_until_all_held(within=3.0) < 2.0 and not world.overlaps


def test_worker_in_slow_start_gets_keys_only_if_there_is_no_other() -> None:
    world = World(seed=1, slowest=0.03, workers=2)
    world.workers[0].slow_start = 3.0
    world.run(seconds=3.0)
    assert world.keys_of(worker=world.workers[1]) == KEYS
    world.workers[1].is_leaving = True
    world.run(seconds=3.0)
    assert world.keys_of(worker=world.workers[0]) == KEYS and not world.overlaps


def test_crashed_worker_is_replaced_before_its_hold_expires() -> None:
    world = make_settled()
    crash(world=world, worker=world.workers[0])
    assert world.run_until_all_held(within=10.0) < 2.6
    assert not world.overlaps


def test_silent_worker_is_replaced_after_its_hold_expires() -> None:
    world = make_settled()
    world.workers[0].silent_to = {"c0", "c1", "c2"}
    start = world.now
    world.run(seconds=4.0)
    world.run_until_all_held(within=10.0)
    assert constants.GRANT_DURATION < world.now - start < 7.0
    assert not world.overlaps
    world.workers[0].silent_to = set()
    world.run(seconds=20.0)
    assert world.keys_of(worker=world.workers[0]) and world.held_keys() == KEYS and not world.overlaps


def test_unreachable_worker_may_still_hold_its_keys() -> None:
    world = make_settled()
    world.workers[0].is_unreachable = True
    world.run(seconds=1.5)
    world.workers[0].is_listed = False
    world.run(seconds=8.0)
    assert world.held_keys() == KEYS and not world.keys_of(worker=world.workers[0]) and not world.overlaps


def test_worker_behind_a_refusing_partition_may_still_hold_its_keys() -> None:
    world = make_settled()
    world.workers[0].is_refusing = True
    world.run(seconds=10.0)
    assert world.held_keys() == KEYS and not world.keys_of(worker=world.workers[0]) and not world.overlaps
    world.workers[0].is_refusing = False
    world.run(seconds=20.0)
    assert world.held_keys() == KEYS and not world.overlaps


def test_lost_granter_is_replaced_by_another() -> None:
    world = make_settled()
    world.granters[0].is_up = world.granters[0].is_acting = False
    world.run(seconds=1.0)
    world.granters[1].is_acting = True
    for _ in range(60):
        world.run(seconds=0.1)
        assert world.held_keys() == KEYS
    world.workers[0].is_leaving = True
    world.run(seconds=3.0)
    assert not world.keys_of(worker=world.workers[0]) and world.held_keys() == KEYS and not world.overlaps


def test_granter_without_a_read_lease_sends_nothing() -> None:
    world = make_settled()
    world.granters[0].is_cut = True
    world.run(seconds=constants.GRANT_CONFIRMATION_TTL)
    sent = len(world.calls)
    world.run(seconds=3.0)
    assert len(world.calls) == sent


def test_higher_fence_known_to_a_worker_is_exceeded() -> None:
    world = make_settled()
    worker = world.workers[0]
    worker.known_fences.append((0, KEYS - 1, 5000))
    worker.holds = []
    assert world.run_until_all_held(within=12.0) < 10.0
    assert max(shard.fencing_token for shard in read_shards(text=world.register["text"]).shards) >= 5000


def test_hot_keys_move_once_and_then_stay() -> None:
    world = make_settled()
    world.loads = loads_by_bucket(loads={at: 100.0 if 10 <= at < 18 else 1.0 for at in range(256)})
    world.run(seconds=25.0)
    hot = [
        worker
        for worker in world.workers
        if any(hold.start < 18 * 256 and hold.end >= 10 * 256 for hold in worker.current_holds(now=world.now))
    ]
    assert len(hot) >= 3
    changes = world.changes
    world.run(seconds=10.0)
    assert world.changes == changes and not world.overlaps
    shards = read_shards(text=world.register["text"]).shards
    assert len(shards) <= constants.MAX_RANGES_PER_WORKER * len(world.workers)


def test_two_acting_controllers_never_cause_two_holders() -> None:
    world = make_settled()
    world.granters[1].is_acting = True
    world.run(seconds=2.0)
    world.workers[0].is_leaving = True
    world.run(seconds=10.0)
    assert world.held_keys() == KEYS and not world.overlaps


def inject_fault(*, world: World) -> None:
    """Inject one random fault, change of a controller's view, or repair."""
    rng = world.rng
    granter = rng.choice(world.granters)
    living = [worker for worker in world.workers if worker.is_alive and worker.is_listed]
    worker = rng.choice(living)
    kind = rng.randrange(9)
    if kind == 0:
        for other in world.granters:
            other.is_acting = rng.random() < 0.5
    elif kind == 1:
        granter.is_cut = not granter.is_cut
    elif kind == 2:
        granter.is_up = False
        fresh = world.start_granter(name=granter.name)
        fresh.is_acting = granter.is_acting
        world.granters[world.granters.index(granter)] = fresh
    elif kind == 3 and len(living) > 2:
        crash(world=world, worker=worker, unlist_after=rng.uniform(0.3, 2.0), again_after=rng.uniform(0.2, 2.0))
    elif kind == 4:
        worker.silent_to = rng.choice((set(), {"c0"}, {"c0", "c1"}, {"c0", "c1", "c2"}))
    elif kind == 5:
        granter.down_since = {other.key: world.now - 2.0 for other in living if rng.random() < 0.3}
    elif kind == 6:
        world.evacuated_zones = frozenset(rng.sample(world.zones, k=rng.randrange(2)))
    elif kind == 7:
        granter.blind = frozenset(other.key for other in living if rng.random() < 0.2)
    else:
        worker.is_leaving = rng.random() < 0.5
        world.loads = loads_by_bucket(loads={at: rng.choice((1.0, 1.0, 1.0, 60.0)) for at in range(256)})


def end_faults(*, world: World) -> None:
    """End all faults; one controller acts."""
    world.evacuated_zones = frozenset()
    for granter in world.granters:
        granter.is_cut, granter.is_acting, granter.blind, granter.down_since = (
            False,
            granter.name == "c0",
            frozenset(),
            {},
        )
    for worker in world.workers:
        worker.silent_to, worker.is_leaving = set(), False


def run_with_faults(*, seed: int, rounds: int) -> World:
    world = World(seed=seed)
    world.run(seconds=3.0)
    for _ in range(rounds):
        inject_fault(world=world)
        world.run(seconds=world.rng.choice((0.1, 0.5, 1.0, 2.5)))
    return world


@pytest.mark.parametrize("seed", range(10))
def test_two_workers_never_hold_a_key_and_every_key_is_held_again(seed: int) -> None:
    world = run_with_faults(seed=seed, rounds=25)
    assert not world.overlaps
    end_faults(world=world)
    assert world.run_until_all_held(within=25.0) < 20.0
    assert not world.overlaps


@pytest.mark.parametrize("name", ["GRANT_FENCE_DELAY", "GRANT_CLOCK_DRIFT_FACTOR"])
def test_each_wait_is_needed(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    monkeypatch.setattr(constants, name, 0.0)
    assert any(run_with_faults(seed=seed, rounds=25).overlaps for seed in range(40))


def run_late_grant(*, wait: float) -> World:
    """Replace a granter while its last grants are in transit for the longest permitted time.

    Their worker's keys move to other workers meanwhile.
    """
    world = make_settled()
    first, second = world.granters[:2]
    worker = world.workers[0]

    def delay_grant(*, granter: Granter, call: StartCall) -> None:
        if granter is not first or call.path != "/hold" or call.headers["owner"] != worker.key:
            World.call(world, granter=granter, call=call)
            return

        def arrive() -> None:
            if worker.handle_grant(now=world.now, body=json.loads(call.body)) == 200:
                world.check(worker=worker)

        world.at(delay=call.timeout + constants.GRANT_IN_FLIGHT_LIMIT - 0.01, act=arrive)
        world.at(
            delay=call.timeout,
            act=lambda: world.step(
                granter=first,
                event=CallFinished(token=call.token, code=0, headers={}, body=b"", fault="timed-out", sent=True),
            ),
        )

    world.call = delay_grant
    world.run(seconds=wait)
    first.is_acting, second.is_acting, worker.is_leaving = False, True, True
    world.run(seconds=8.0)
    return world


def test_late_grant_of_the_previous_granter_causes_no_overlap(monkeypatch: pytest.MonkeyPatch) -> None:
    waits = [1.5 + at * 0.1 for at in range(8)]
    for wait in waits:
        world = run_late_grant(wait=wait)
        assert not world.overlaps and world.keys_of(worker=world.workers[0]) == 0
    monkeypatch.setattr(constants, "GRANT_FENCE_DELAY", 0.0)
    assert any(run_late_grant(wait=wait).overlaps for wait in waits)


def test_adjacent_ranges_of_one_owner_are_merged_when_others_move() -> None:
    world = make_settled()
    world.loads = loads_by_bucket(loads={at: 100.0 if 10 <= at < 18 else 1.0 for at in range(256)})
    world.run(seconds=12.0)
    before = len(read_shards(text=world.register["text"]).shards)
    world.loads = loads_by_bucket(loads={at: 100.0 if 200 <= at < 208 else 1.0 for at in range(256)})
    world.run(seconds=20.0)
    shards = read_shards(text=world.register["text"]).shards
    assert len(shards) <= before + 4 and world.held_keys() == KEYS and not world.overlaps
