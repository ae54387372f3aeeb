"""Look-up of key ranges by proxies, and the placement of ranges on workers."""

from __future__ import annotations

import itertools
import json
import random

from sailward import constants
from sailward.control.shards.shard_plan import Span, estimate_throughputs, max_load_ratio, place_spans
from sailward.routing.shards import KEYS, MOVING, OPEN, Shard, ShardTable, ShardTables, read_shards, write_shards


def make_table(*, shards: tuple) -> ShardTable:
    return ShardTable(granter="c1", takeover_number=1, fencing_token=9, shards=shards)


def key_counts(*, spans: list[Span]) -> dict:
    counts: dict[str, int] = {}
    for span in spans:
        counts[span.owner] = counts.get(span.owner, 0) + span.end - span.start + 1
    return counts


def loads_by_bucket(*, loads: dict) -> dict:
    """Loads by bucket, from loads by 256ths of the key space."""
    width = constants.KEY_LOAD_BUCKETS // 256
    return {at * width + rest: rate / width for at, rate in loads.items() for rest in range(width)}


def assert_covers_all_keys(*, spans: list[Span]) -> None:
    assert spans[0].start == 0 and spans[-1].end == KEYS - 1
    assert all(span.end + 1 == following.start for span, following in itertools.pairwise(spans))
    assert all(span.start <= span.end for span in spans)


def keys_moved(*, before: list[Span], after: list[Span]) -> int:
    return sum(
        max(0, min(old.end, new.end) - max(old.start, new.start) + 1)
        for old in before
        for new in after
        if old.owner != new.owner
    )


def test_table_is_read_as_written() -> None:
    table = make_table(
        shards=(
            Shard(start=0, end=99, owner="a/1", fencing_token=3, state=OPEN),
            Shard(start=100, end=KEYS - 1, owner="b/1", fencing_token=4, state=MOVING, next_owner="a/1"),
        )
    )
    text = write_shards(table=table)
    assert read_shards(text=text) == table
    assert json.loads(text)["ranges"][1] == [100, KEYS - 1, "b/1", 4, "moving", "a/1"]


def test_tables_find_the_shard_of_a_key() -> None:
    table = make_table(
        shards=(
            Shard(start=0, end=99, owner="a/1", fencing_token=3, state=OPEN),
            Shard(start=100, end=KEYS - 1, owner="b/1", fencing_token=4, state=OPEN),
        )
    )
    tables = ShardTables()
    tables.step(name="slots/cart", value={"number": 1, "text": write_shards(table=table)})
    found = [tables.find(service="cart", key=key) for key in (0, 99, 100, KEYS - 1)]
    assert [shard.owner for shard in found] == ["a/1", "a/1", "b/1", "b/1"]
    assert tables.find(service="cart", key=KEYS) is None and tables.find(service="cart", key=-1) is None
    assert tables.find(service="none", key=0) is None


def test_tables_ignore_slot_tables_and_empty_ones() -> None:
    tables = ShardTables()
    tables.step(name="slots/cart", value={"number": 1, "text": '{"spaces":{"":[["a/1",1,1]]}}'})
    tables.step(name="slots/tray", value={"number": 0, "text": ""})
    assert tables.find(service="cart", key=0) is None and tables.find(service="tray", key=0) is None


def test_first_plan_gives_contiguous_ranges_by_weight() -> None:
    spans = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")],
        throughputs={"a": 1.0, "b": 2.0, "c": 1.0},
        loads={},
        is_balancing=False,
    )
    assert_covers_all_keys(spans=spans)
    assert key_counts(spans=spans) == {"a": KEYS // 4, "b": KEYS // 2, "c": KEYS // 4} and len(spans) == 3


def test_keys_stay_unowned_without_an_eligible_worker() -> None:
    assert place_spans(spans=[Span(start=0, end=KEYS - 1, owner="a")], throughputs={}, loads={}, is_balancing=True) == [
        Span(start=0, end=KEYS - 1, owner="")
    ]


def test_only_the_keys_of_a_lost_worker_move() -> None:
    throughputs = dict.fromkeys("abcdefgh", 1.0)
    before = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")], throughputs=throughputs, loads={}, is_balancing=False
    )
    del throughputs["c"]
    after = place_spans(spans=before, throughputs=throughputs, loads={}, is_balancing=True)
    assert_covers_all_keys(spans=after)
    assert keys_moved(before=before, after=after) == KEYS // 8 and "c" not in key_counts(spans=after)


def test_new_worker_gets_a_share_and_then_nothing_moves() -> None:
    throughputs = dict.fromkeys("abcd", 1.0)
    before = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")], throughputs=throughputs, loads={}, is_balancing=False
    )
    throughputs["e"] = 1.0
    after = place_spans(spans=before, throughputs=throughputs, loads={}, is_balancing=True)
    assert_covers_all_keys(spans=after)
    assert key_counts(spans=after)["e"] >= 0.5 * KEYS / 5 and keys_moved(before=before, after=after) <= KEYS / 5 + 2
    assert place_spans(spans=after, throughputs=throughputs, loads={}, is_balancing=True) == after
    assert place_spans(spans=before, throughputs=throughputs, loads={}, is_balancing=False) == before


def test_hot_ranges_are_split_off_with_few_keys() -> None:
    throughputs = dict.fromkeys("abcd", 1.0)
    before = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")], throughputs=throughputs, loads={}, is_balancing=False
    )
    loads = loads_by_bucket(loads={at: 100.0 if 10 <= at < 18 else 1.0 for at in range(256)})
    after = before
    for _ in range(4):
        after = place_spans(spans=after, throughputs=throughputs, loads=loads, is_balancing=True)
    assert_covers_all_keys(spans=after)
    assert keys_moved(before=before, after=after) < 0.1 * KEYS
    assert len({span.owner for span in after if span.start < 18 * 256 and span.end >= 10 * 256}) >= 3


def test_slight_load_moves_nothing() -> None:
    throughputs = dict.fromkeys("abcd", 1.0)
    before = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")], throughputs=throughputs, loads={}, is_balancing=False
    )
    assert (
        place_spans(
            spans=before, throughputs=throughputs, loads={3: constants.REBALANCE_MIN_RATE / 2}, is_balancing=True
        )
        == before
    )


def test_random_plans_cover_all_keys_and_converge() -> None:
    rng = random.Random(5)
    for _ in range(40):
        throughputs = {f"w{at}": rng.choice((1.0, 1.0, 2.0, 4.0)) for at in range(rng.randint(1, 20))}
        spans = [Span(start=0, end=KEYS - 1, owner="")]
        for _ in range(8):
            if len(throughputs) > 1 and rng.random() < 0.5:
                del throughputs[rng.choice(sorted(throughputs))]
            elif rng.random() < 0.5:
                throughputs[f"w{rng.randint(100, 999)}"] = 1.0
            start = rng.randint(0, 250)
            loads = (
                {at: rng.choice((1.0, 80.0)) if start <= at < start + 5 else 1.0 for at in range(256)}
                if rng.random() < 0.6
                else {}
            )
            loads = loads_by_bucket(loads=loads)
            before = None
            for _ in range(30):
                if before == spans:
                    break
                before, spans = spans, place_spans(spans=spans, throughputs=throughputs, loads=loads, is_balancing=True)
                assert_covers_all_keys(spans=spans)
                assert {span.owner for span in spans} <= set(throughputs)
            assert before == spans


def test_single_hot_key_stays_and_its_owner_gives_other_keys_away() -> None:
    throughputs = dict.fromkeys("abcd", 10.0)
    spans = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")], throughputs=throughputs, loads={}, is_balancing=False
    )
    loads = dict.fromkeys(range(constants.KEY_LOAD_BUCKETS), 0.01) | {100: 30.0}
    hot = 100 * constants.KEYS_PER_BUCKET
    owner = next(span.owner for span in spans if span.start <= hot <= span.end)
    for _ in range(10):
        spans = place_spans(spans=spans, throughputs=throughputs, loads=loads, is_balancing=True)
    assert next(span.owner for span in spans if span.start <= hot <= span.end) == owner
    assert key_counts(spans=spans)[owner] < 0.05 * KEYS
    assert place_spans(spans=spans, throughputs=throughputs, loads=loads, is_balancing=True) == spans


def test_uneven_load_without_queueing_moves_nothing() -> None:
    throughputs = dict.fromkeys("abcd", 100.0)
    spans = place_spans(
        spans=[Span(start=0, end=KEYS - 1, owner="")], throughputs=throughputs, loads={}, is_balancing=False
    )
    quarter = constants.KEY_LOAD_BUCKETS // 4
    loads = {at: 0.015 if at < quarter else 0.01 for at in range(constants.KEY_LOAD_BUCKETS)}
    assert max_load_ratio(spans=spans, throughputs=throughputs, loads=loads) > 1.2
    assert place_spans(spans=spans, throughputs=throughputs, loads=loads, is_balancing=True) == spans
    busy = {at: rate * 10 for at, rate in loads.items()}
    assert (
        place_spans(
            spans=spans,
            throughputs=dict.fromkeys("abcd", 110.0),
            loads=busy | dict.fromkeys(range(quarter), 0.3),
            is_balancing=True,
        )
        != spans
    )


def test_slow_workers_own_less_at_lower_total_load() -> None:
    throughputs = estimate_throughputs(
        capacities=dict.fromkeys("abcd", 4),
        latencies={"a": (0.15, 500), "b": (0.07, 500), "c": (0.07, 500), "d": (0.05, 500)},
    )
    assert throughputs["a"] < throughputs["b"] == throughputs["c"] < throughputs["d"]
    spans = [Span(start=0, end=KEYS - 1, owner="")]
    counts = {}
    for name, rate in (("calm", 0.2), ("busy", 0.9)):
        loads = {
            at: sum(throughputs.values()) * rate / constants.KEY_LOAD_BUCKETS
            for at in range(constants.KEY_LOAD_BUCKETS)
        }
        counts[name] = key_counts(
            spans=place_spans(spans=spans, throughputs=throughputs, loads=loads, is_balancing=False)
        )
    assert counts["calm"]["a"] < 0.6 * counts["busy"]["a"]
    assert counts["busy"]["a"] / KEYS > 0.9 * throughputs["a"] / sum(throughputs.values())


def test_workers_that_respond_within_half_a_millisecond_have_a_throughput() -> None:
    """Proxies report latencies in whole ms, so that of a fast worker is 0 and must not end the controller."""
    throughputs = estimate_throughputs(capacities={"a": 4, "b": 4}, latencies={"a": (0.0, 500), "b": (0.0, 500)})
    assert min(throughputs.values()) > 0


def test_latency_of_few_samples_counts_little_and_is_bounded() -> None:
    latencies = {"a": (0.01, 500), "b": (0.1, 500), "c": (0.1, 500), "d": (5.0, 500), "e": (1.0, 1)}
    throughputs = estimate_throughputs(capacities=dict.fromkeys("abcdef", 4), latencies=latencies)
    assert throughputs["f"] == throughputs["b"] and throughputs["e"] > 0.6 * throughputs["b"]
    assert (
        throughputs["a"] <= constants.LATENCY_MAX_RATIO * throughputs["b"] * 1.01
        and throughputs["d"] >= throughputs["b"] / constants.LATENCY_MAX_RATIO * 0.99
    )
