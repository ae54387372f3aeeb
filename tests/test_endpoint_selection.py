"""Placing.

Pool by weight, hall by tier, health, homes and orders, worker by open requests, and the bounds of cold ones.
"""

from __future__ import annotations

import dataclasses

import pytest

from sailward import constants
from sailward.routing.proxied_request import Refusal
from sailward.routing.request import Request
from tests.proxy_kit import Bench, make_plan, make_worker

ZONES = ("north-a", "north-b", "south-a", "south-b")


def make(*, workers: list | None = None, proxies: int = 1, **match: object) -> Bench:
    listed = (
        workers if workers is not None else [make_worker(f"{zone}{at}", zone=zone) for zone in ZONES for at in range(2)]
    )
    return Bench(workers=listed, plan=make_plan(**match), proxies=proxies)


def place(bench: Bench, **fields: object):
    plan = bench.context.plan
    match = plan.matches[0]
    request = Request(
        token="front 1",
        exchange_id="id",
        method="GET",
        target="/a/",
        headers={},
        body=b"",
        match=match,
        arrived_at=bench.now,
        service=plan.services["red"],
        expires_at=bench.now + 3.0,
        **fields,
    )
    return bench.endpoint_selector.step(now=bench.now, request=request)


def halls_of(bench: Bench, *, count: int = 60) -> dict:
    seen: dict = {}
    for _ in range(count):
        choice = place(bench)
        name = choice.reason if isinstance(choice, Refusal) else choice.zone
        seen[name] = seen.get(name, 0) + 1
    return seen


def down(bench: Bench, *names: str) -> None:
    for name in names:
        bench.passive_health.record_event(now=bench.now, key=name, event="dark")
    bench.context.zones.step(now=bench.now, counts=bench.context.counts())


def test_all_goes_to_the_own_region_while_it_is_well() -> None:
    seen = halls_of(make(), count=200)
    assert set(seen) == {"north-a", "north-b"} and min(seen.values()) > 60


def test_under_the_spill_threshold_a_part_goes_to_the_other_region() -> None:
    bench = make()
    down(bench, "north-a0", "north-b0")
    seen = halls_of(bench, count=400)
    away = seen.get("south-a", 0) + seen.get("south-b", 0)
    assert 0.15 * 400 < away < 0.45 * 400


def test_a_dark_region_sends_all_away() -> None:
    bench = make()
    down(bench, "north-a0", "north-a1", "north-b0", "north-b1")
    assert set(halls_of(bench)) == {"south-a", "south-b"}


@pytest.mark.parametrize("homes", [["south"], ["north"]])
def test_homes_bind_though_only_others_are_well(homes: list) -> None:
    bench = make(homes=homes)
    assert set(halls_of(bench)) <= {zone for zone in ZONES if zone.split("-")[0] in homes}
    down(bench, *[f"{zone}{at}" for zone in ZONES if zone.split("-")[0] in homes for at in range(2)])
    assert set(halls_of(bench)) == {"no-worker"}


def test_an_emptied_hall_gets_nothing_and_a_home_that_is_emptied_is_no_reason_to_leave_it() -> None:
    bench = make()
    bench.context.emptied = frozenset({"north-a"})
    assert set(halls_of(bench)) == {"north-b"}
    bench = make(homes=["north"])
    bench.context.emptied = frozenset({"north-a", "north-b"})
    assert set(halls_of(bench)) == {"no-worker"}


def test_leaving_workers_get_nothing() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1", leaving=True)])
    assert {place(bench).key for _ in range(30)} == {"w0"}
    bench.list(workers=[make_worker("w0", leaving=True), make_worker("w1", leaving=True)])
    assert isinstance(place(bench), Refusal)


def test_a_request_does_not_go_back_to_who_was_tried() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1")])
    assert {place(bench, tried_workers={"w0"}).key for _ in range(20)} == {"w1"}
    assert isinstance(place(bench, tried_workers={"w0", "w1"}), Refusal)


def test_pools_are_drawn_by_weight_though_one_has_no_worker() -> None:
    workers = [make_worker("r0"), make_worker("r1")]
    bench = make(workers=workers, pools=[{"pool": "red", "weight": 70}, {"pool": "blue", "weight": 30}])
    refused = sum(isinstance(place(bench), Refusal) for _ in range(1000))
    assert 230 < refused < 370


def test_further_tries_stay_with_the_pool_that_was_drawn() -> None:
    workers = [make_worker(f"{service}{at}", service=service) for service in ("red", "blue") for at in range(4)]
    bench = make(workers=workers, pools=[{"pool": "red", "weight": 1}, {"pool": "blue", "weight": 1}])
    plan = bench.context.plan
    for _ in range(40):
        request = Request(
            token="front 1",
            exchange_id="id",
            method="GET",
            target="/a/",
            headers={},
            body=b"",
            match=plan.matches[0],
            arrived_at=bench.now,
            service=plan.services["red"],
            expires_at=bench.now + 3.0,
        )
        services = set()
        for _ in range(3):
            worker = bench.endpoint_selector.step(now=bench.now, request=request)
            request.tried_workers.add(worker.key)
            services.add(worker.service)
        assert len(services) == 1


def test_a_worker_is_given_no_more_than_this_proxys_part_of_its_queue() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1")], proxies=8)
    part = -(-4 * constants.WORKER_QUEUE_DEPTH // 8)
    bound = int(
        min(
            max(constants.CONCURRENCY_WINDOW_MIN, constants.CONCURRENCY_SHARE_FACTOR * part),
            constants.CONCURRENCY_WINDOW_INITIAL,
        )
    )
    for _ in range(2 * bound):
        bench.endpoint_selector.took(key=place(bench).key)
    assert bench.endpoint_selector.open == {"w0": bound, "w1": bound} and place(bench).reason == "no-room"
    bench.endpoint_selector.left(key="w0")
    assert place(bench).key == "w0"


def test_the_slower_of_two_gets_less() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1")])
    bench.passive_health.record_event(now=bench.now, key="w0", event="pass", took=0.5)
    bench.passive_health.record_event(now=bench.now, key="w1", event="pass", took=0.1)
    assert place(bench).key == "w1"
    for _ in range(5):
        bench.endpoint_selector.took(key="w1")
    assert place(bench).key == "w0"


def test_a_full_worker_is_passed_over_for_a_moment() -> None:
    bench = make(workers=[make_worker("w0")])
    bench.passive_health.record_event(now=bench.now, key="w0", event="full")
    assert place(bench).reason == "no-room"
    bench.now += constants.WORKER_FULL_BACKOFF
    assert place(bench).key == "w0"


def test_cold_workers_over_the_fleet_stay_within_their_bound() -> None:
    names = [f"p{at}" for at in range(6)]
    sent = 0
    for name in names:
        bench = make(workers=[make_worker("w0", slow_start=9.0)])
        bench.context.name, bench.context.peers, bench.context.proxies = name, dict.fromkeys(names, "north"), len(names)
        for _ in range(200):
            sent += not isinstance(place(bench), Refusal)
            bench.now += 0.02
    assert 6.0 <= sent <= 6.0 * 4 + 5.0


def test_warm_ones_go_before_cold_ones() -> None:
    bench = make(workers=[make_worker("w0", slow_start=9.0), make_worker("w1")])
    assert {place(bench).key for _ in range(30)} == {"w1"}


def test_after_an_emptying_the_halls_workers_count_as_cold() -> None:
    bench = make(workers=[make_worker("w0")])
    bench.passive_health.begin_slow_start(now=bench.now, zone="north-a", plan=bench.context.plan)
    taken = sum(not isinstance(place(bench), Refusal) for _ in range(50))
    assert taken <= 1
    bench.now += 3.0 + constants.SLOW_START_MARGIN + 0.1
    assert not isinstance(place(bench), Refusal)


def make_ranged(**worker: object) -> Bench:
    return Bench(workers=[make_worker("w0", **worker), make_worker("w1", zone="south-a")], plan=make_plan(ranged=True))


def test_keys_go_to_their_owner_alone() -> None:
    bench = make_ranged()
    assert place(bench, key=5).reason == "key-unowned"
    bench.own(owner="w1", start=100, end=200)
    assert place(bench, key=150).key == "w1"
    assert place(bench, key=99).reason == "key-unowned" and place(bench, key=201).reason == "key-unowned"
    bench.own(owner="w1", state="moving")
    assert place(bench, key=150).reason == "key-moving"


def test_an_owner_that_is_lost_emptied_or_not_at_home_gets_nothing() -> None:
    bench = make_ranged()
    bench.own(owner="w0")
    down(bench, "w0")
    assert place(bench, key=5).reason == "owner-lost"
    bench = make_ranged()
    bench.own(owner="w0")
    bench.context.emptied = frozenset({"north-a"})
    assert place(bench, key=5).reason == "owner-lost"
    bench = make_ranged()
    bench.own(owner="w1")
    bench.context.plan = dataclasses.replace(
        bench.context.plan, matches=(dataclasses.replace(bench.context.plan.matches[0], homes=frozenset({"north"})),)
    )
    assert isinstance(place(bench, key=5), Refusal)
    bench.own(owner="unlisted")
    assert place(bench, key=5).reason == "owner-lost"


def test_a_cold_owner_is_bounded() -> None:
    bench = make_ranged(slow_start=5.0)
    bench.own(owner="w0")
    taken = 0
    for _ in range(100):
        taken += not isinstance(place(bench, key=5), Refusal)
        bench.now += 0.01
    assert 1 <= taken <= 6
