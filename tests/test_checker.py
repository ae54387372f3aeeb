"""The checker: for each rule and branch, a history that keeps the rule and a similar one that breaks it."""

from __future__ import annotations

import copy

import pytest

from simulation.checker import check_history
from simulation.history import History
from tests.history_rows import (
    ALL_DOWN,
    ALL_UP,
    COLD_BOUND,
    FIRST_ATTEMPTS,
    FLEET,
    HOMES,
    MOVED,
    PINNED,
    STARTED,
    config_with,
    config_with_stamp,
    flood,
    got,
    order,
    put,
    read,
    refuse_attempts,
    refused,
    row,
    run,
    sent,
)

PAIRS = {
    "runs-twice": ([order(1, key="a"), order(2, key="b")], [order(1, key="a"), order(2, key="a")]),
    "runs-twice:rivals": (
        [order(1, key="a"), order(2, key="a", tenant="shops")],
        [order(1, key="a"), order(1, key="a", turn=2)],
    ),
    "not-run-ran": (
        [order(1, key="a", turn=2), refused(2, key="a", unsafe=True)],
        [order(1, key="a"), refused(2, key="a", unsafe=True)],
    ),
    "not-run-ran:later": (
        [refused(2, key="a", unsafe=True, ran="unknown"), order(5, key="a")],
        [refused(2, key="a", unsafe=True), order(5, key="a")],
    ),
    "not-run-ran:safe": (
        [run(1, nonce="s", turn=2), refused(2, nonce="s")],
        [run(1, nonce="s"), refused(2, nonce="s")],
    ),
    "wrong-result": ([got(1)], [got(1, verdict="not-mine")]),
    "wrong-result:cut": ([got(1)], [got(1, verdict="not-json")]),
    "refusal-without-word": ([refused(1)], [refused(1, ran="")]),
    "refusal-without-word:other": ([refused(1, ran="unknown")], [refused(1, ran="perhaps")]),
    "refusal-without-word:time": ([refused(1)], [refused(1, retry_after="")]),
    "held": ([sent(1, nonce="a"), got(3, nonce="a")], [sent(1, nonce="a"), got(6, nonce="a")]),
    "held:never": (
        [
            sent(1, nonce="a"),
            row(2, "daemon-down", daemon="proxy-0"),
            got(9, nonce="a", code=0, verdict="", held=True),
        ],
        [sent(1, nonce="a"), got(9, nonce="a", code=0, verdict="", held=True)],
    ),
    "unanswered": (
        [sent(1, nonce="a"), row(2, "daemon-down", daemon="proxy-0"), got(2, nonce="a", code=0, verdict="")],
        [sent(1, nonce="a"), row(2, "daemon-down", daemon="proxy-1"), got(2, nonce="a", code=0, verdict="")],
    ),
    "unanswered:lost": ([sent(1, nonce="a"), got(2, nonce="a"), row(30, "end")], [sent(1, nonce="a"), row(30, "end")]),
    "left-worker-served": (
        [row(1, "leaving", worker="stock-gdl-a-0/1", revision=5), row(2, "list-read", revision=5), run(4.5)],
        [row(1, "leaving", worker="stock-gdl-a-0/1", revision=5), row(2, "list-read", revision=5), run(4.8)],
    ),
    "left-worker-served:gone": (
        [row(1, "gone", worker="stock-gdl-a-0/1", revision=5), row(2, "list-read", revision=4), run(9)],
        [
            row(1, "gone", worker="stock-gdl-a-0/1", revision=5),
            row(2, "list-read", revision=6),
            row(9, "reached", worker="stock-gdl-a-0/1", nonce="n", turn=1),
        ],
    ),
    "config-not-in-force": (
        [put(1, 1), put(10, 2, PINNED), run(12.6, hall="ens-a")],
        [put(1, 1), put(10, 2, PINNED), run(12.7, hall="ens-a")],
    ),
    "config-not-in-force:service": (
        [put(1, 1), put(10, 2, MOVED), run(20, asked="notes")],
        [put(1, 1), put(10, 2, MOVED), run(20)],
    ),
    "config-not-in-force:tenant": (
        [put(1, 1), put(10, 2, config_with("tenants.hotels", None)), run(20, tenant="shops")],
        [put(1, 1), put(10, 2, config_with("tenants.hotels", None)), run(20)],
    ),
    "config-not-in-force:weight": (
        [put(1, 1), put(10, 2, PINNED), run(20, hall="gdl-b")],
        [put(1, 1), put(10, 2, PINNED), run(20, hall="ens-b")],
    ),
    "config-not-in-force:template": (
        [
            put(1, 1, config_with_stamp(["gdl-a"])),
            put(10, 2, config_with_stamp(["gdl-b"])),
            run(20, path="/azul", hall="gdl-b"),
        ],
        [put(1, 1, config_with_stamp(["gdl-a"])), put(10, 2, config_with_stamp(["gdl-b"])), run(20, path="/azul")],
    ),
    "config-not-in-force:patch": (
        [put(1, 1), put(10, 2, {"tenants": {"hotels": None}}, patch=True), run(20, tenant="shops")],
        [put(1, 1), put(10, 2, {"tenants": {"hotels": None}}, patch=True), run(20)],
    ),
    "config-not-in-force:unknown": (
        [put(1, 1, PINNED), put(9, 0, outcome="unknown"), run(20, hall="ens-a")],
        [put(1, 1, PINNED), put(9, 0, outcome="refused"), run(20, hall="ens-a")],
    ),
    "slipped-back": (
        [put(1, 1), put(20, 2, MOVED, begun=10), run(10.2, asked="notes"), run(12.7)],
        [put(1, 1), put(20, 2, MOVED, begun=10), run(10.2, asked="notes"), run(13.5)],
    ),
    "slipped-back:read": ([read(2, 1), read(3, 2)], [read(2, 2), read(3, 1)]),
    "bound-exceeded": (
        [COLD_BOUND, *[run(10 + at / 24) for at in range(100)]],
        [COLD_BOUND, *[run(10 + at / 40) for at in range(100)]],
    ),
    "bound-exceeded:lowered": (
        [COLD_BOUND, {**COLD_BOUND, "t": 20, "begun": 20, "rate": 2}, *[run(30 + at / 2) for at in range(20)]],
        [COLD_BOUND, {**COLD_BOUND, "t": 20, "begun": 20, "rate": 2}, *[run(30 + at / 20) for at in range(60)]],
    ),
    "weights-not-in-force": (
        [put(1, 1), *[run(20 + at / 100, hall="gdl-a" if at % 10 < 7 else "ens-a") for at in range(1000)]],
        [put(1, 1), *[run(20 + at / 100, hall="gdl-a" if at % 10 < 5 else "ens-a") for at in range(1000)]],
    ),
    "weights-not-in-force:changed": (
        [put(1, 1), put(10, 2, PINNED), *[run(20 + at / 100, hall="gdl-a") for at in range(300)]],
        [
            put(1, 1),
            put(
                10,
                2,
                config_with(
                    "matches.0.pools",
                    [{"pool": "stock-guadalajara", "weight": 0}, {"pool": "stock-ensenada", "weight": 1}],
                ),
            ),
            *[run(20 + at / 100, hall="gdl-a") for at in range(300)],
        ],
    ),
    "invalid-accepted": ([put(1, 1, [], outcome="refused", invalid=True)], [put(1, 1, [], invalid=True)]),
    "two-winners": ([put(1, 1), put(1, 2, PINNED)], [put(1, 1), put(1, 1, PINNED)]),
    "accepted-missing": ([put(1, 1), put(5, 2, PINNED), read(5.05, 1)], [put(1, 1), put(5, 2, PINNED), read(6, 1)]),
    "loser-in-force": (
        [put(1, 1), put(5, 0, PINNED, outcome="unknown"), read(6, 2, PINNED)],
        [put(1, 1), put(5, 0, PINNED, outcome="refused"), read(6, 2, PINNED)],
    ),
    "change-lost": (
        [
            put(1, 1),
            put(2, 2, {"services": {"stock": {"rate": 7}}}, patch=True),
            read(3, 2, config_with("services.stock.rate", 7)),
        ],
        [put(1, 1), put(2, 2, {"services": {"stock": {"rate": 7}}}, patch=True), read(3, 2)],
    ),
    "change-lost:both": (
        [
            put(1, 1),
            put(2, 2, {"services": {"stock": {"rate": 7}}}, patch=True),
            put(2, 3, {"tenants": {"shops": None}}, patch=True),
            read(
                3,
                3,
                {**config_with("services.stock.rate", 7), "tenants": config_with("tenants.shops", None)["tenants"]},
            ),
        ],
        [
            put(1, 1),
            put(2, 2, {"services": {"stock": {"rate": 7}}}, patch=True),
            put(2, 3, {"tenants": {"shops": None}}, patch=True),
            read(3, 3, config_with("tenants.shops", None)),
        ],
    ),
    "emptied-hall-served": (
        [row(1, "emptied", hall="gdl-a", begun=0), run(5.9)],
        [row(1, "emptied", hall="gdl-a", begun=0), run(6.1)],
    ),
    "emptied-hall-served:back": (
        [row(1, "emptied", hall="gdl-a", begun=0), row(8, "refilled", hall="gdl-a", begun=7.9), run(8)],
        [row(1, "emptied", hall="gdl-a", begun=0), row(8, "refilled", hall="gdl-a", begun=7.9), run(7)],
    ),
    "served-abroad": ([HOMES, run(1, tenant="tapatia")], [HOMES, run(1, tenant="tapatia", hall="ens-a")]),
    "stored-abroad": (
        [HOMES, row(1, "stored", tenant="hotels", region="ensenada", where="x")],
        [HOMES, row(1, "stored", tenant="tapatia", region="ensenada", where="x")],
    ),
    "retries": (
        [run(1 + at / 50, nonce=f"n{at % 170}") for at in range(200)],
        [run(1 + at / 50, nonce=f"n{at % 150}") for at in range(200)],
    ),
    "retries:small": (
        [run(1 + at / 10, nonce=f"n{at % 4}") for at in range(8)],
        [run(1 + at / 10, nonce="n") for at in range(10)],
    ),
    "retries:reached": (
        [run(1 + at / 50) for at in range(200)],
        [
            *[run(1 + at / 50, nonce=f"n{at}") for at in range(200)],
            *[row(3 + at / 50, "reached", worker="w", nonce=f"n{at}", turn=2) for at in range(90)],
        ],
    ),
    "cold-flooded": (
        [COLD_BOUND, STARTED, *[run(20.5 + at / 9) for at in range(12)]],
        [COLD_BOUND, STARTED, *[run(20.5 + at / 30) for at in range(12)]],
    ),
    "cold-flooded:sliding": (
        [COLD_BOUND, STARTED, *[run(20.9 + at / 60) for at in range(9)]],
        [COLD_BOUND, STARTED, *[run(20.9 + at / 60) for at in range(12)]],
    ),
    "cold-flooded:thawed": (
        [
            COLD_BOUND,
            row(20, "worker-back", worker="stock-gdl-a-0/1", away=1.0),
            *[run(20.5 + at / 30) for at in range(12)],
        ],
        [
            COLD_BOUND,
            row(20, "worker-back", worker="stock-gdl-a-0/1", away=4.0),
            *[run(20.5 + at / 30) for at in range(12)],
        ],
    ),
    "two-on-one-key": (
        [run(1, slot_key="a", until=2), run(2.1, slot_key="a", worker="other")],
        [run(1, slot_key="a", until=2), run(1.9, slot_key="a", worker="other")],
    ),
    "two-on-one-key:homes": (
        [HOMES, run(1, slot_key="a", until=2), run(1.9, slot_key="a", worker="o", tenant="tapatia")],
        [HOMES, run(1, slot_key="a", until=2), run(1.9, slot_key="a", worker="o", tenant="shops")],
    ),
    "crash": ([row(1, "daemon-down", daemon="controller-0")], [row(1, "crash", daemon="controller-0", fault="x")]),
    "stop-dropped": (
        [
            row(1, "planned-stop", daemon="proxy-0"),
            row(4, "stopped", daemon="proxy-0"),
            sent(2, nonce="a"),
            got(3, nonce="a"),
        ],
        [
            row(1, "planned-stop", daemon="proxy-0"),
            row(4, "stopped", daemon="proxy-0"),
            row(4, "daemon-down", daemon="proxy-0"),
            sent(2, nonce="a"),
            got(4, nonce="a", code=0, verdict=""),
        ],
    ),
    "stop-too-long": (
        [row(1, "planned-stop", daemon="s"), row(6.9, "stopped", daemon="s")],
        [row(1, "planned-stop", daemon="s"), row(7.1, "stopped", daemon="s")],
    ),
    "slow-recovery": (
        [*ALL_DOWN, *ALL_UP, *refuse_attempts(FIRST_ATTEMPTS, 3)],
        [*ALL_DOWN, *ALL_UP, *refuse_attempts(FIRST_ATTEMPTS, 10)],
    ),
    "slow-recovery:heal": (
        [row(35, "trouble", verb="heal", words=[]), *refuse_attempts(FIRST_ATTEMPTS, 3)],
        [row(35, "trouble", verb="heal", words=[]), *refuse_attempts(FIRST_ATTEMPTS, 10)],
    ),
    "not-borne": (
        [
            row(50, "trouble", verb="kill", words=["controller-0"]),
            row(50, "daemon-down", daemon="controller-0"),
            *FIRST_ATTEMPTS,
        ],
        [
            row(50, "trouble", verb="kill", words=["controller-0"]),
            row(50, "daemon-down", daemon="controller-0"),
            *refuse_attempts(FIRST_ATTEMPTS, 4),
        ],
    ),
    "not-borne:hall": (
        [
            row(50, "trouble", verb="power-off", words=["gdl-b"]),
            *[row(50, "daemon-down", daemon=n) for _, n, h in FLEET.daemons if h == "gdl-b"],
            *refuse_attempts(FIRST_ATTEMPTS, 4),
        ],
        [
            row(50, "trouble", verb="power-off", words=["gdl-b"]),
            *[row(50, "daemon-down", daemon=n) for _, n, h in FLEET.daemons if h == "gdl-b"],
            *refuse_attempts(FIRST_ATTEMPTS, 9),
        ],
    ),
    "unfair": (flood(45), flood(20)),
}


def judge(rows: list) -> set:
    return {violation.rule for violation in check_history(history=History(rows=copy.deepcopy(rows)), deployment=FLEET)}


@pytest.mark.parametrize("name", PAIRS)
def test_checker_tells_a_sound_history_from_a_broken_one(name: str) -> None:
    sound, broken = PAIRS[name]
    rule = name.split(":", maxsplit=1)[0]
    assert rule not in judge(sound)
    assert rule in judge(broken)
