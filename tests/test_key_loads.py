"""Loads of keys: counted, encoded compactly and sent soon when they change; and the latencies of workers."""

from __future__ import annotations

import random

import pytest

from sailward import constants
from sailward.consensus.messages import pack_message
from sailward.control.proxies.key_loads import KeyLoads, WorkerLatencies, has_shifted, read_rates, write_rates
from sailward.control.proxies.proxy_registry import ProxyRegistry
from sailward.control.proxies.subscribers import Subscriber
from sailward.events import SendMessage

HERE, READER, OTHER = "c0", "c1", "c2"


def make_proxy(*, loads: dict, turn: int, times: dict | None = None) -> Subscriber:
    entry = {"id": "p0", "http": "p0:80", "hall": "north-a", "region": "north", "fit": True, "kind": "proxy"}
    report = {"loads": loads, "turn": turn, "lead": HERE, "paces": times or {}}
    return Subscriber(entry=entry, first_seen_at=0.0, last_seen_at=0.0, report=report)


def tick(*, fleet: ProxyRegistry, now: float, proxy: Subscriber) -> list[SendMessage]:
    proxy.last_seen_at = now
    controllers = [{"post": post, "hall": "north-a", "region": "north", "start": 1} for post in (HERE, READER, OTHER)]
    return fleet.step(now=now, event=None, proxies=[proxy], controllers=controllers)


def test_new_load_is_reported_at_its_full_rate_at_once() -> None:
    loads = KeyLoads()
    for at in range(4):
        loads.step(now=10.0 + at * 0.5, service="red", buckets={"5": 20, "90": 5})
        rates = loads.rates(now=10.0 + at * 0.5)["red"]
        assert 30 < rates[5] < 50 and rates[90] == pytest.approx(rates[5] / 4)


def test_load_that_ends_decays_and_is_forgotten() -> None:
    loads = KeyLoads()
    for at in range(20):
        loads.step(now=at * 0.5, service="red", buckets={"5": 20})
    assert sum(loads.rates(now=10.0 + 4 * constants.KEY_LOAD_WINDOW)["red"].values()) < 2.0
    loads.step(now=10.0 + 20 * constants.KEY_LOAD_WINDOW, service="red", buckets={"7": 20})
    assert set(loads.rates(now=10.0 + 20 * constants.KEY_LOAD_WINDOW)["red"]) == {7}


def test_encoded_rates_are_small_and_preserve_the_distribution() -> None:
    rng = random.Random(3)
    rates: dict = {}
    for _ in range(2000):
        bucket = min(constants.KEY_LOAD_BUCKETS - 1, int(300 + rng.paretovariate(0.7)))
        rates[bucket] = rates.get(bucket, 0.0) + 0.1
    rates[3000] = 80.0
    row = write_rates(rates=rates)
    assert (
        len(pack_message(body={"kind": "fleet", "number": 1, "rows": [], "down": {}, "loads": {"rates": {"red": row}}}))
        < 400
    )
    read = read_rates(row=row)
    assert sum(read.values()) == pytest.approx(sum(rates.values()), rel=0.01)
    assert read[3000] == pytest.approx(80.0, rel=0.15)
    for end in (301, 305, 330, 400, 2999, 3000):
        parts = [sum(rate for bucket, rate in distribution.items() if bucket <= end) for distribution in (rates, read)]
        assert parts[0] == pytest.approx(parts[1], abs=2.5 * sum(rates.values()) / constants.KEY_LOAD_QUANTILES)


def test_empty_rates_are_encoded_as_an_empty_row() -> None:
    assert write_rates(rates={}) == [] and read_rates(row=[]) == {}
    assert read_rates(row=write_rates(rates={9: 4.0})) == {9: pytest.approx(4.0)}


def test_random_variation_is_no_shift_but_a_new_hot_key_is() -> None:
    even = {at * 16: 1.0 for at in range(200)}
    assert not has_shifted(before=even, after={at + 1: rate * 1.1 for at, rate in even.items()})
    assert has_shifted(before=even, after=even | {3000: 150.0})
    assert has_shifted(before={}, after=even) and has_shifted(
        before=even, after={at: rate / 2 for at, rate in even.items()}
    )


def test_new_load_is_sent_at_once_to_readers_and_rarely_when_steady() -> None:
    fleet, now, sent = ProxyRegistry(post=HERE, zone="north-a", region="north"), 100.0, []
    fleet.load_readers = frozenset({READER})
    proxy = make_proxy(loads={}, turn=0)
    for _ in range(60):
        tick(fleet=fleet, now=now, proxy=proxy)
        now += constants.TICK_INTERVAL
    start = now
    for turn in range(1, 41):
        proxy.report = make_proxy(loads={"red": {"7": 10, "500": 4}}, turn=turn).report
        for _ in range(10):
            sent += [
                (now - start, message.to, message.body["loads"]) for message in tick(fleet=fleet, now=now, proxy=proxy)
            ]
            now += constants.TICK_INTERVAL
    with_loads = [(at, to) for at, to, loads in sent if loads]
    assert {to for _, to in with_loads} == {READER} and {to for _, to, _ in sent} == {READER, OTHER}
    assert with_loads[0][0] <= constants.KEY_LOAD_REPORT_MIN_INTERVAL
    assert (
        len([at for at, _ in with_loads if at > 5.0])
        <= 15.0 / min(constants.KEY_LOAD_REPORT_INTERVAL, constants.PROXY_REPORT_INTERVAL) * 2 + 1
    )


def test_queueing_hardly_changes_the_measured_latency() -> None:
    measured, rng = WorkerLatencies(), random.Random(5)
    for _ in range(100):
        work = rng.lognormvariate(0.0, 0.7)
        measured.step(
            now=1.0,
            times={
                "quick": [round(100 * work)],
                "slow": [round(250 * work)],
                "queueing": [round(100 * work) + (400 if rng.random() < 0.3 else 0)],
            },
        )
    means = {key: mean for key, (mean, _) in measured.latencies(now=2.0).items()}
    assert means["slow"] / means["quick"] == pytest.approx(2.5, rel=0.05)
    assert means["queueing"] < 1.7 * means["quick"]
    assert measured.latencies(now=3.0 + constants.LATENCY_TTL) == {}


def test_latencies_of_controllers_are_weighted_by_sample_count() -> None:
    fleet = ProxyRegistry(post=HERE, zone="north-a", region="north")
    proxy = make_proxy(loads={"red": {"7": 4}}, turn=1, times={"w0": [100, 100], "w1": [50]})
    [deliver, _] = tick(fleet=fleet, now=100.0, proxy=proxy)
    other = ProxyRegistry(post=READER, zone="north-a", region="north")
    tick(fleet=other, now=100.0, proxy=make_proxy(loads={}, turn=1, times={"w0": [400]}))
    other.step(now=100.1, event=(HERE, deliver.body), proxies=[], controllers=[])
    other.worker_latencies.step(now=100.1, times={"w0": [400]})
    latencies = other.latencies(now=100.2)
    assert (
        latencies["w0"][1] == 3
        and latencies["w0"][0] == pytest.approx(0.2)
        and latencies["w1"] == (pytest.approx(0.05), 1)
    )
