"""What is known of workers: by exchanges first, by probes where these are in doubt, by lists what is cold or gone."""

from __future__ import annotations

import random

import pytest

from sailward import constants
from sailward.events import Call, Called, HangUp
from sailward.routing.passive_health import Evidence
from tests.proxy_kit import NAMES, logs, make_plan, make_worker

PLAN = make_plan()


def make(**worker: object) -> Evidence:
    evidence = Evidence(names=NAMES, rng=random.Random(1))
    evidence.follow(now=100.0, workers={"w0": make_worker("w0", **worker)})
    return evidence


def look(evidence: Evidence, *, now: float) -> list[Call]:
    return [one for one in evidence.step(now=now, event=None, plan=PLAN) if isinstance(one, Call)]


def tell(evidence: Evidence, *, call: Call, now: float, code: int = 200, **headers: str) -> list:
    given = {name.replace("_", "-"): value for name, value in headers.items()}
    return evidence.step(
        now=now,
        plan=PLAN,
        event=Called(
            token=call.token, code=code, headers=given, body=b"", fault="" if code else "timed-out", sent=True
        ),
    )


def test_nobody_is_probed_while_exchanges_go_well() -> None:
    evidence = make()
    for at in range(200):
        evidence.note(now=100 + at * 0.05, key="w0", event="pass", took=0.1)
        assert not look(evidence, now=100 + at * 0.05)
    assert evidence.shown["w0"].pace == pytest.approx(0.1)


@pytest.mark.parametrize(
    ("events", "state"),
    [
        (["fail"], "doubt"),
        (["fail", "fail"], "wary"),
        (["fail", "fail", "fail"], "down"),
        (["refused"], "down"),
        (["dark"], "down"),
        (["stranger"], "gone"),
        (["fail", "pass"], "good"),
        (["stranger", "pass"], "gone"),
        (["fail", "stranger"], "gone"),
    ],
)
def test_how_exchanges_move_a_worker(events: list, state: str) -> None:
    evidence = make()
    for event in events:
        evidence.note(now=101.0, key="w0", event=event)
    assert evidence.shown["w0"].state == state
    assert evidence.shown["w0"].is_healthy == (state in ("good", "doubt", "wary"))


def test_a_lost_worker_is_probed_until_it_is_back() -> None:
    evidence = make()
    [log] = logs(evidence.note(now=101.0, key="w0", event="refused"), event="worker-status")
    assert log.fields == {"worker": "w0", "from": "good", "to": "down", "by": "refused"}
    now, seen = 101.0, 0
    while now < 111.0:
        for call in look(evidence, now=now):
            assert (call.method, call.path, call.address) == ("GET", "/well", "w0:80") and call.headers[
                "x-expect"
            ] == "w0"
            assert not look(evidence, now=now)
            tell(evidence, call=call, now=now, code=0)
            seen += 1
        now += constants.TICK
    assert 10 / constants.PROBE_LONGEST / 1.3 < seen < 15
    while not (due := look(evidence, now=now)):
        now += constants.TICK
    tell(evidence, call=due[0], now=now, x_who="w0")
    assert evidence.shown["w0"].state == "good" and not look(evidence, now=now + 5.0)


def test_another_worker_at_the_address_is_a_stranger_for_good() -> None:
    evidence = make()
    evidence.note(now=101.0, key="w0", event="refused")
    [call] = look(evidence, now=102.0)
    tell(evidence, call=call, now=102.1, x_who="w7")
    assert evidence.shown["w0"].state == "gone" and not look(evidence, now=120.0)


@pytest.mark.parametrize(
    ("told", "cold"), [("2.5", 2.5), ("0", 0.0), ("", 0.0), ("x", 0.0), ("nan", 0.0), ("-3", 0.0), ("1e9", 0.0)]
)
def test_a_probe_tells_how_long_it_stays_cold(told: str, cold: float) -> None:
    evidence = make()
    evidence.note(now=101.0, key="w0", event="refused")
    [call] = look(evidence, now=102.0)
    tell(evidence, call=call, now=102.0, x_who="w0", x_cold=told)
    assert max(0.0, evidence.shown["w0"].cold_until - 102.0) == pytest.approx(cold)


def test_a_probe_that_was_overtaken_says_nothing() -> None:
    evidence = make()
    evidence.note(now=101.0, key="w0", event="refused")
    [call] = look(evidence, now=102.0)
    evidence.follow(now=102.0, workers={})
    assert tell(evidence, call=call, now=102.1, x_who="w0") == []
    evidence.follow(now=103.0, workers={"w0": make_worker("w0")})
    assert tell(evidence, call=call, now=103.1, code=0) == [] and evidence.shown["w0"].state == "good"


def test_lists_tell_who_is_cold_and_a_later_telling_does_not_shorten_it() -> None:
    evidence = make(cold=4.0)
    assert evidence.shown["w0"].cold_until == pytest.approx(104.0)
    evidence.follow(now=101.0, workers={"w0": make_worker("w0", cold=2.0)})
    assert evidence.shown["w0"].cold_until == pytest.approx(104.0)
    evidence.follow(now=110.0, workers={"w0": make_worker("w0", cold=3.0)})
    assert evidence.shown["w0"].cold_until == pytest.approx(113.0)


def test_who_goes_from_the_list_is_hung_up_on() -> None:
    evidence = make()
    assert evidence.follow(now=101.0, workers={}) == [HangUp(owner="w0")]
    assert evidence.note(now=101.0, key="w0", event="fail") == []


def test_full_is_a_pause_and_no_fault() -> None:
    evidence = make()
    for _ in range(9):
        evidence.note(now=101.0, key="w0", event="full")
    assert evidence.shown["w0"].state == "good" and evidence.shown["w0"].busy_until == pytest.approx(
        101.0 + constants.FULL_PAUSE
    )


def test_a_worker_that_comes_back_is_probed_under_a_token_of_its_own() -> None:
    """The end of a probe begun before it left the list says nothing of the one begun after it came back."""
    evidence = make()
    for _ in range(3):
        evidence.note(now=100.0, key="w0", event="fail")
    before = look(evidence, now=101.0)[0]
    evidence.follow(now=101.1, workers={})
    evidence.follow(now=101.2, workers={"w0": make_worker("w0")})
    for _ in range(3):
        evidence.note(now=101.2, key="w0", event="fail")
    after = look(evidence, now=102.0)[0]
    assert after.token != before.token
    tell(evidence, call=before, now=102.1)
    assert not evidence.shown["w0"].is_healthy
    tell(evidence, call=after, now=102.1)
    assert evidence.shown["w0"].is_healthy
