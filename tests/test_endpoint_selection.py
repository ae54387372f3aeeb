"""Endpoint selection.

Pool by weight; zone by tier, health, home regions and evacuations; worker by open requests; limits of cold workers.
"""

from __future__ import annotations

import dataclasses

import pytest

from sailward import constants
from sailward.events import RequestReceived
from sailward.routing.proxied_request import Refusal
from sailward.routing.request import Request, build_request
from tests.proxy_kit import NAMES, ForwarderHarness, make_plan, make_worker

ZONES = ("north-a", "north-b", "south-a", "south-b")


def make(*, workers: list | None = None, proxies: int = 1, **match: object) -> ForwarderHarness:
    listed = (
        workers if workers is not None else [make_worker(f"{zone}{at}", zone=zone) for zone in ZONES for at in range(2)]
    )
    return ForwarderHarness(workers=listed, plan=make_plan(**match), proxies=proxies)


def make_request(bench: ForwarderHarness, **fields: object) -> Request:
    plan, rng = bench.context.plan, bench.endpoint_selector.rng
    event = RequestReceived(token="front 1", method="GET", path="/a/", query={}, headers={"host": "shop"}, body=b"")
    request = build_request(event=event, plan=plan, now=bench.now, names=NAMES, rng=rng)
    return dataclasses.replace(request, match=plan.matches[0], expires_at=bench.now + 3.0, **fields)


def select(bench: ForwarderHarness, **fields: object):
    return bench.endpoint_selector.step(now=bench.now, request=make_request(bench, **fields))


def count_zones(bench: ForwarderHarness, *, count: int = 60) -> dict:
    counts: dict = {}
    for _ in range(count):
        choice = select(bench)
        name = choice.reason if isinstance(choice, Refusal) else choice.zone
        counts[name] = counts.get(name, 0) + 1
    return counts


def fail_workers(bench: ForwarderHarness, *names: str) -> None:
    for name in names:
        bench.passive_health.record_event(now=bench.now, key=name, event="dark")
    bench.context.zone_health.step(now=bench.now, counts=bench.context.counts())


def test_all_requests_stay_in_the_own_region_while_it_is_healthy() -> None:
    counts = count_zones(make(), count=200)
    assert set(counts) == {"north-a", "north-b"} and min(counts.values()) > 60


def test_below_the_spill_threshold_a_share_goes_to_the_other_region() -> None:
    bench = make()
    fail_workers(bench, "north-a0", "north-b0")
    counts = count_zones(bench, count=400)
    spilled = counts.get("south-a", 0) + counts.get("south-b", 0)
    assert 0.15 * 400 < spilled < 0.45 * 400


def test_a_region_without_healthy_workers_sends_all_requests_elsewhere() -> None:
    bench = make()
    fail_workers(bench, "north-a0", "north-a1", "north-b0", "north-b1")
    assert set(count_zones(bench)) == {"south-a", "south-b"}


@pytest.mark.parametrize("homes", [["south"], ["north"]])
def test_home_regions_bind_even_if_only_other_regions_are_healthy(homes: list) -> None:
    bench = make(homes=homes)
    assert set(count_zones(bench)) <= {zone for zone in ZONES if zone.split("-")[0] in homes}
    fail_workers(bench, *[f"{zone}{at}" for zone in ZONES if zone.split("-")[0] in homes for at in range(2)])
    assert set(count_zones(bench)) == {"no-worker"}


def test_an_evacuated_zone_gets_no_requests_and_an_evacuated_home_region_still_binds() -> None:
    bench = make()
    bench.context.evacuated_zones = frozenset({"north-a"})
    assert set(count_zones(bench)) == {"north-b"}
    bench = make(homes=["north"])
    bench.context.evacuated_zones = frozenset({"north-a", "north-b"})
    assert set(count_zones(bench)) == {"no-worker"}


def test_leaving_workers_get_no_requests() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1", leaving=True)])
    assert {select(bench).key for _ in range(30)} == {"w0"}
    bench.update_workers(workers=[make_worker("w0", leaving=True), make_worker("w1", leaving=True)])
    assert isinstance(select(bench), Refusal)


def test_a_request_is_not_sent_again_to_a_worker_that_was_tried() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1")])
    assert {select(bench, tried_workers={"w0"}).key for _ in range(20)} == {"w1"}
    assert isinstance(select(bench, tried_workers={"w0", "w1"}), Refusal)


def test_pools_are_drawn_by_weight_even_if_one_has_no_worker() -> None:
    workers = [make_worker("r0"), make_worker("r1")]
    bench = make(workers=workers, pools=[{"pool": "red", "weight": 70}, {"pool": "blue", "weight": 30}])
    refused = sum(isinstance(select(bench), Refusal) for _ in range(1000))
    assert 230 < refused < 370


def test_retries_stay_with_the_pool_that_was_drawn() -> None:
    workers = [make_worker(f"{service}{at}", service=service) for service in ("red", "blue") for at in range(4)]
    bench = make(workers=workers, pools=[{"pool": "red", "weight": 1}, {"pool": "blue", "weight": 1}])
    for _ in range(40):
        request = make_request(bench)
        services = set()
        for _ in range(3):
            worker = bench.endpoint_selector.step(now=bench.now, request=request)
            request.tried_workers.add(worker.key)
            services.add(worker.service)
        assert len(services) == 1


def test_a_worker_gets_no_more_than_this_proxys_share_of_its_queue() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1")], proxies=8)
    share = -(-4 * constants.WORKER_QUEUE_DEPTH // 8)
    limit = int(
        min(
            max(constants.CONCURRENCY_WINDOW_MIN, constants.CONCURRENCY_SHARE_FACTOR * share),
            constants.CONCURRENCY_WINDOW_INITIAL,
        )
    )
    for _ in range(2 * limit):
        bench.endpoint_selector.record_sent(key=select(bench).key)
    assert bench.endpoint_selector.open_requests == {"w0": limit, "w1": limit} and select(bench).reason == "no-room"
    bench.endpoint_selector.record_ended(key="w0")
    assert select(bench).key == "w0"


def test_the_slower_of_two_workers_gets_fewer_requests() -> None:
    bench = make(workers=[make_worker("w0"), make_worker("w1")])
    bench.passive_health.record_event(now=bench.now, key="w0", event="pass", elapsed=0.5)
    bench.passive_health.record_event(now=bench.now, key="w1", event="pass", elapsed=0.1)
    assert select(bench).key == "w1"
    for _ in range(5):
        bench.endpoint_selector.record_sent(key="w1")
    assert select(bench).key == "w0"


def test_a_full_worker_is_skipped_until_its_backoff_ends() -> None:
    bench = make(workers=[make_worker("w0")])
    bench.passive_health.record_event(now=bench.now, key="w0", event="full")
    assert select(bench).reason == "no-room"
    bench.now += constants.WORKER_FULL_BACKOFF
    assert select(bench).key == "w0"


def test_cold_workers_stay_within_their_rate_limit_over_all_proxies() -> None:
    names = [f"p{at}" for at in range(6)]
    sent = 0
    for name in names:
        bench = make(workers=[make_worker("w0", slow_start=9.0)])
        bench.context.name, bench.context.peers, bench.context.proxy_count = (
            name,
            dict.fromkeys(names, "north"),
            len(names),
        )
        for _ in range(200):
            sent += not isinstance(select(bench), Refusal)
            bench.now += 0.02
    assert 6.0 <= sent <= 6.0 * 4 + 5.0


def test_warm_workers_are_preferred_to_cold_ones() -> None:
    bench = make(workers=[make_worker("w0", slow_start=9.0), make_worker("w1")])
    assert {select(bench).key for _ in range(30)} == {"w1"}


def test_after_an_evacuation_the_workers_of_the_zone_count_as_cold() -> None:
    bench = make(workers=[make_worker("w0")])
    bench.passive_health.begin_slow_start(now=bench.now, zone="north-a", plan=bench.context.plan)
    accepted = sum(not isinstance(select(bench), Refusal) for _ in range(50))
    assert accepted <= 1
    bench.now += 3.0 + constants.SLOW_START_MARGIN + 0.1
    assert not isinstance(select(bench), Refusal)


def make_ranged(**worker: object) -> ForwarderHarness:
    return ForwarderHarness(
        workers=[make_worker("w0", **worker), make_worker("w1", zone="south-a")], plan=make_plan(ranged=True)
    )


def test_keys_go_only_to_their_owner() -> None:
    bench = make_ranged()
    assert select(bench, key=5).reason == "key-unowned"
    bench.assign_keys(owner="w1", start=100, end=200)
    assert select(bench, key=150).key == "w1"
    assert select(bench, key=99).reason == "key-unowned" and select(bench, key=201).reason == "key-unowned"
    bench.assign_keys(owner="w1", state="moving")
    assert select(bench, key=150).reason == "key-moving"


def test_an_owner_that_is_lost_evacuated_or_outside_the_home_regions_gets_no_requests() -> None:
    bench = make_ranged()
    bench.assign_keys(owner="w0")
    fail_workers(bench, "w0")
    assert select(bench, key=5).reason == "owner-lost"
    bench = make_ranged()
    bench.assign_keys(owner="w0")
    bench.context.evacuated_zones = frozenset({"north-a"})
    assert select(bench, key=5).reason == "owner-lost"
    bench = make_ranged()
    bench.assign_keys(owner="w1")
    bench.context.plan = dataclasses.replace(
        bench.context.plan, matches=(dataclasses.replace(bench.context.plan.matches[0], homes=frozenset({"north"})),)
    )
    assert isinstance(select(bench, key=5), Refusal)
    bench.assign_keys(owner="unlisted")
    assert select(bench, key=5).reason == "owner-lost"


def test_a_cold_owner_is_rate_limited() -> None:
    bench = make_ranged(slow_start=5.0)
    bench.assign_keys(owner="w0")
    accepted = 0
    for _ in range(100):
        accepted += not isinstance(select(bench, key=5), Refusal)
        bench.now += 0.01
    assert 1 <= accepted <= 6
