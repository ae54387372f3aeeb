"""Look-up of key ranges by proxies, and the placement of ranges on workers."""

from __future__ import annotations

import itertools
import json
import random

from sailward import constants
from sailward.control.shards.shard_plan import Span, place, strain, weigh
from sailward.routing.shards import KEYS, MOVING, OPEN, Shard, ShardTable, ShardTables, read_shards, write_shards


def make_table(*, shards: tuple) -> ShardTable:
    return ShardTable(granter="c1", since=1, fencing_token=9, shards=shards)


def parts_of(*, spans: list[Span]) -> dict:
    parts: dict[str, int] = {}
    for span in spans:
        parts[span.owner] = parts.get(span.owner, 0) + span.end - span.start + 1
    return parts


def fine(*, loads: dict) -> dict:
    """Loads by bucket, from loads by 256ths of the key space."""
    width = constants.KEY_LOAD_BUCKETS // 256
    return {at * width + rest: rate / width for at, rate in loads.items() for rest in range(width)}


def assert_whole(*, spans: list[Span]) -> None:
    assert spans[0].start == 0 and spans[-1].end == KEYS - 1
    assert all(one.end + 1 == two.start for one, two in itertools.pairwise(spans))
    assert all(span.start <= span.end for span in spans)


def changed(*, before: list[Span], after: list[Span]) -> int:
    return sum(
        max(0, min(one.end, two.end) - max(one.start, two.start) + 1)
        for one in before
        for two in after
        if one.owner != two.owner
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


def test_book_finds_the_shard_of_a_key() -> None:
    table = make_table(
        shards=(
            Shard(start=0, end=99, owner="a/1", fencing_token=3, state=OPEN),
            Shard(start=100, end=KEYS - 1, owner="b/1", fencing_token=4, state=OPEN),
        )
    )
    book = ShardTables()
    book.step(name="slots/cart", value={"number": 1, "text": write_shards(table=table)})
    found = [book.find(service="cart", key=key) for key in (0, 99, 100, KEYS - 1)]
    assert [one.owner for one in found] == ["a/1", "a/1", "b/1", "b/1"]
    assert book.find(service="cart", key=KEYS) is None and book.find(service="cart", key=-1) is None
    assert book.find(service="none", key=0) is None


def test_book_passes_over_tables_of_slots_and_empty_ones() -> None:
    book = ShardTables()
    book.step(name="slots/cart", value={"number": 1, "text": '{"spaces":{"":[["a/1",1,1]]}}'})
    book.step(name="slots/tray", value={"number": 0, "text": ""})
    assert book.find(service="cart", key=0) is None and book.find(service="tray", key=0) is None


def test_first_plan_gives_contiguous_parts_by_weight() -> None:
    spans = place(
        spans=[Span(start=0, end=KEYS - 1, owner="")], able={"a": 1.0, "b": 2.0, "c": 1.0}, loads={}, is_balancing=False
    )
    assert_whole(spans=spans)
    assert parts_of(spans=spans) == {"a": KEYS // 4, "b": KEYS // 2, "c": KEYS // 4} and len(spans) == 3


def test_no_able_worker_leaves_keys_unowned() -> None:
    assert place(spans=[Span(start=0, end=KEYS - 1, owner="a")], able={}, loads={}, is_balancing=True) == [
        Span(start=0, end=KEYS - 1, owner="")
    ]


def test_only_the_keys_of_a_lost_worker_move() -> None:
    able = dict.fromkeys("abcdefgh", 1.0)
    before = place(spans=[Span(start=0, end=KEYS - 1, owner="")], able=able, loads={}, is_balancing=False)
    del able["c"]
    after = place(spans=before, able=able, loads={}, is_balancing=True)
    assert_whole(spans=after)
    assert changed(before=before, after=after) == KEYS // 8 and "c" not in parts_of(spans=after)


def test_new_worker_is_given_a_part_and_then_nothing_moves() -> None:
    able = dict.fromkeys("abcd", 1.0)
    before = place(spans=[Span(start=0, end=KEYS - 1, owner="")], able=able, loads={}, is_balancing=False)
    able["e"] = 1.0
    after = place(spans=before, able=able, loads={}, is_balancing=True)
    assert_whole(spans=after)
    assert parts_of(spans=after)["e"] >= 0.5 * KEYS / 5 and changed(before=before, after=after) <= KEYS / 5 + 2
    assert place(spans=after, able=able, loads={}, is_balancing=True) == after
    assert place(spans=before, able=able, loads={}, is_balancing=False) == before


def test_hot_keys_are_cut_off_with_few_keys() -> None:
    able = dict.fromkeys("abcd", 1.0)
    before = place(spans=[Span(start=0, end=KEYS - 1, owner="")], able=able, loads={}, is_balancing=False)
    loads = fine(loads={at: 100.0 if 10 <= at < 18 else 1.0 for at in range(256)})
    after = before
    for _ in range(4):
        after = place(spans=after, able=able, loads=loads, is_balancing=True)
    assert_whole(spans=after)
    assert changed(before=before, after=after) < 0.1 * KEYS
    assert len({one.owner for one in after if one.start < 18 * 256 and one.end >= 10 * 256}) >= 3


def test_slight_load_moves_nothing() -> None:
    able = dict.fromkeys("abcd", 1.0)
    before = place(spans=[Span(start=0, end=KEYS - 1, owner="")], able=able, loads={}, is_balancing=False)
    assert place(spans=before, able=able, loads={3: constants.REBALANCE_MIN_RATE / 2}, is_balancing=True) == before


def test_random_plans_are_whole_settle_and_stay_small() -> None:
    rng = random.Random(5)
    for _ in range(40):
        able = {f"w{at}": rng.choice((1.0, 1.0, 2.0, 4.0)) for at in range(rng.randint(1, 20))}
        spans = [Span(start=0, end=KEYS - 1, owner="")]
        for _ in range(8):
            if len(able) > 1 and rng.random() < 0.5:
                del able[rng.choice(sorted(able))]
            elif rng.random() < 0.5:
                able[f"w{rng.randint(100, 999)}"] = 1.0
            start = rng.randint(0, 250)
            loads = (
                {at: rng.choice((1.0, 80.0)) if start <= at < start + 5 else 1.0 for at in range(256)}
                if rng.random() < 0.6
                else {}
            )
            loads = fine(loads=loads)
            before = None
            for _ in range(30):
                if before == spans:
                    break
                before, spans = spans, place(spans=spans, able=able, loads=loads, is_balancing=True)
                assert_whole(spans=spans)
                assert {span.owner for span in spans} <= set(able)
            assert before == spans


def test_one_key_that_is_hot_stays_and_its_owner_gives_the_rest_away() -> None:
    able = dict.fromkeys("abcd", 10.0)
    spans = place(spans=[Span(start=0, end=KEYS - 1, owner="")], able=able, loads={}, is_balancing=False)
    loads = dict.fromkeys(range(constants.KEY_LOAD_BUCKETS), 0.01) | {100: 30.0}
    hot = 100 * constants.KEYS_PER_BUCKET
    owner = next(one.owner for one in spans if one.start <= hot <= one.end)
    for _ in range(10):
        spans = place(spans=spans, able=able, loads=loads, is_balancing=True)
    assert next(span.owner for span in spans if span.start <= hot <= span.end) == owner
    assert parts_of(spans=spans)[owner] < 0.05 * KEYS
    assert place(spans=spans, able=able, loads=loads, is_balancing=True) == spans


def test_uneven_load_that_nobody_queues_for_moves_nothing() -> None:
    able = dict.fromkeys("abcd", 100.0)
    spans = place(spans=[Span(start=0, end=KEYS - 1, owner="")], able=able, loads={}, is_balancing=False)
    quarter = constants.KEY_LOAD_BUCKETS // 4
    loads = {at: 0.015 if at < quarter else 0.01 for at in range(constants.KEY_LOAD_BUCKETS)}
    assert strain(spans=spans, able=able, loads=loads) > 1.2
    assert place(spans=spans, able=able, loads=loads, is_balancing=True) == spans
    busy = {at: rate * 10 for at, rate in loads.items()}
    assert (
        place(
            spans=spans,
            able=dict.fromkeys("abcd", 110.0),
            loads=busy | dict.fromkeys(range(quarter), 0.3),
            is_balancing=True,
        )
        != spans
    )


def test_slow_workers_own_the_less_the_less_there_is_to_do() -> None:
    able = weigh(
        capacities=dict.fromkeys("abcd", 4),
        paces={"a": (0.15, 500), "b": (0.07, 500), "c": (0.07, 500), "d": (0.05, 500)},
    )
    assert able["a"] < able["b"] == able["c"] < able["d"]
    spans = [Span(start=0, end=KEYS - 1, owner="")]
    parts = {}
    for name, rate in (("calm", 0.2), ("busy", 0.9)):
        loads = {at: sum(able.values()) * rate / constants.KEY_LOAD_BUCKETS for at in range(constants.KEY_LOAD_BUCKETS)}
        parts[name] = parts_of(spans=place(spans=spans, able=able, loads=loads, is_balancing=False))
    assert parts["calm"]["a"] < 0.6 * parts["busy"]["a"]
    assert parts["busy"]["a"] / KEYS > 0.9 * able["a"] / sum(able.values())


def test_a_pace_of_few_times_counts_little_and_none_is_far_from_the_middle() -> None:
    paces = {"a": (0.01, 500), "b": (0.1, 500), "c": (0.1, 500), "d": (5.0, 500), "e": (1.0, 1)}
    able = weigh(capacities=dict.fromkeys("abcdef", 4), paces=paces)
    assert able["f"] == able["b"] and able["e"] > 0.6 * able["b"]
    assert (
        able["a"] <= constants.LATENCY_MAX_RATIO * able["b"] * 1.01
        and able["d"] >= able["b"] / constants.LATENCY_MAX_RATIO * 0.99
    )
