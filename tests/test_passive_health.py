"""Worker health from the results of exchanges, from probes of workers in doubt, and from worker lists."""

from __future__ import annotations

import random

import pytest

from sailward import constants
from sailward.events import CallFinished, CloseConnections, StartCall
from sailward.routing.passive_health import PassiveHealth
from tests.proxy_kit import NAMES, logs, make_plan, make_worker

PLAN = make_plan()


def make(**worker: object) -> PassiveHealth:
    passive_health = PassiveHealth(names=NAMES, rng=random.Random(1))
    passive_health.update_workers(now=100.0, workers={"w0": make_worker("w0", **worker)})
    return passive_health


def due_probes(passive_health: PassiveHealth, *, now: float) -> list[StartCall]:
    return [
        command for command in passive_health.step(now=now, event=None, plan=PLAN) if isinstance(command, StartCall)
    ]


def finish_probe(
    passive_health: PassiveHealth, *, call: StartCall, now: float, code: int = 200, **headers: str
) -> list:
    reply_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return passive_health.step(
        now=now,
        plan=PLAN,
        event=CallFinished(
            token=call.token, code=code, headers=reply_headers, body=b"", fault="" if code else "timed-out", sent=True
        ),
    )


def test_no_worker_is_probed_while_exchanges_succeed() -> None:
    passive_health = make()
    for at in range(200):
        passive_health.record_event(now=100 + at * 0.05, key="w0", event="pass", elapsed=0.1)
        assert not due_probes(passive_health, now=100 + at * 0.05)
    assert passive_health.workers["w0"].mean_response_time == pytest.approx(0.1)


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
        (["unidentified"], "down"),
        (["fail", "fail", "unidentified"], "down"),
        (["unidentified", "pass"], "good"),
        (["unidentified", "stranger"], "gone"),
    ],
)
def test_state_after_results_of_exchanges(events: list, state: str) -> None:
    passive_health = make()
    for event in events:
        passive_health.record_event(now=101.0, key="w0", event=event)
    assert passive_health.workers["w0"].state == state
    assert passive_health.workers["w0"].is_healthy == (state in ("good", "doubt", "wary"))


def test_a_lost_worker_is_probed_until_it_recovers() -> None:
    passive_health = make()
    [log] = logs(passive_health.record_event(now=101.0, key="w0", event="refused"), event="worker-status")
    assert log.fields == {"worker": "w0", "from": "good", "to": "down", "by": "refused"}
    now, probes = 101.0, 0
    while now < 111.0:
        for call in due_probes(passive_health, now=now):
            assert (call.method, call.path, call.address) == ("GET", "/well", "w0:80") and call.headers[
                "x-expect"
            ] == "w0"
            assert not due_probes(passive_health, now=now)
            finish_probe(passive_health, call=call, now=now, code=0)
            probes += 1
        now += constants.TICK_INTERVAL
    assert 10 / constants.PROBE_MAX_BACKOFF / 1.3 < probes < 15
    while not (due := due_probes(passive_health, now=now)):
        now += constants.TICK_INTERVAL
    finish_probe(passive_health, call=due[0], now=now, x_who="w0")
    assert passive_health.workers["w0"].state == "good" and not due_probes(passive_health, now=now + 5.0)


def test_another_worker_at_the_address_is_a_stranger_for_good() -> None:
    passive_health = make()
    passive_health.record_event(now=101.0, key="w0", event="refused")
    [call] = due_probes(passive_health, now=102.0)
    finish_probe(passive_health, call=call, now=102.1, x_who="w7")
    assert passive_health.workers["w0"].state == "gone" and not due_probes(passive_health, now=120.0)


# Guards against a worker that is never used again for an answer that names no worker: its probe tells who it is.
@pytest.mark.parametrize(("answered_by", "state"), [("w0", "good"), ("w7", "gone")])
def test_a_probe_identifies_the_worker_after_an_answer_that_names_none(answered_by: str, state: str) -> None:
    passive_health = make()
    passive_health.record_event(now=101.0, key="w0", event="unidentified")
    [call] = due_probes(passive_health, now=101.0 + constants.PROBE_INITIAL_BACKOFF)
    finish_probe(passive_health, call=call, now=101.5, x_who=answered_by)
    assert passive_health.workers["w0"].state == state


# Guards against a probe for each request while a service's workers refuse what they have no key for.
def test_probes_are_backed_off_from_while_a_worker_stays_unidentified() -> None:
    passive_health, now, probes = make(), 101.0, 0
    while now < 131.0:
        passive_health.record_event(now=now, key="w0", event="unidentified")
        for call in due_probes(passive_health, now=now):
            finish_probe(passive_health, call=call, now=now, x_who="w0")
            probes += 1
        now += constants.TICK_INTERVAL
    assert probes < 2.5 * 30 / constants.PROBE_MAX_BACKOFF
    passive_health.record_event(now=now, key="w0", event="pass", elapsed=0.1)
    assert passive_health.workers["w0"].unidentified_count == 0


@pytest.mark.parametrize(
    ("cold_header", "slow_start"),
    [("2.5", 2.5), ("0", 0.0), ("", 0.0), ("x", 0.0), ("nan", 0.0), ("-3", 0.0), ("1e9", 0.0)],
)
def test_a_probe_reports_how_long_the_worker_stays_cold(cold_header: str, slow_start: float) -> None:
    passive_health = make()
    passive_health.record_event(now=101.0, key="w0", event="refused")
    [call] = due_probes(passive_health, now=102.0)
    finish_probe(passive_health, call=call, now=102.0, x_who="w0", x_cold=cold_header)
    assert max(0.0, passive_health.workers["w0"].slow_start_until - 102.0) == pytest.approx(slow_start)


def test_the_result_of_an_outdated_probe_is_ignored() -> None:
    passive_health = make()
    passive_health.record_event(now=101.0, key="w0", event="refused")
    [call] = due_probes(passive_health, now=102.0)
    passive_health.update_workers(now=102.0, workers={})
    assert finish_probe(passive_health, call=call, now=102.1, x_who="w0") == []
    passive_health.update_workers(now=103.0, workers={"w0": make_worker("w0")})
    assert (
        finish_probe(passive_health, call=call, now=103.1, code=0) == []
        and passive_health.workers["w0"].state == "good"
    )


def test_lists_start_slow_start_and_a_later_list_does_not_shorten_it() -> None:
    passive_health = make(slow_start=4.0)
    assert passive_health.workers["w0"].slow_start_until == pytest.approx(104.0)
    passive_health.update_workers(now=101.0, workers={"w0": make_worker("w0", slow_start=2.0)})
    assert passive_health.workers["w0"].slow_start_until == pytest.approx(104.0)
    passive_health.update_workers(now=110.0, workers={"w0": make_worker("w0", slow_start=3.0)})
    assert passive_health.workers["w0"].slow_start_until == pytest.approx(113.0)


def test_connections_to_a_worker_that_is_removed_from_the_list_are_closed() -> None:
    passive_health = make()
    assert passive_health.update_workers(now=101.0, workers={}) == [CloseConnections(owner="w0")]
    assert passive_health.record_event(now=101.0, key="w0", event="fail") == []


def test_a_full_worker_is_backed_off_from_and_not_marked_as_failed() -> None:
    passive_health = make()
    for _ in range(9):
        passive_health.record_event(now=101.0, key="w0", event="full")
    assert passive_health.workers["w0"].state == "good" and passive_health.workers["w0"].busy_until == pytest.approx(
        101.0 + constants.WORKER_FULL_BACKOFF
    )


def test_a_worker_that_returns_is_probed_under_a_new_token() -> None:
    """The result of a probe from before the worker left the list must not count for the worker listed again later."""
    passive_health = make()
    for _ in range(3):
        passive_health.record_event(now=100.0, key="w0", event="fail")
    before = due_probes(passive_health, now=101.0)[0]
    passive_health.update_workers(now=101.1, workers={})
    passive_health.update_workers(now=101.2, workers={"w0": make_worker("w0")})
    for _ in range(3):
        passive_health.record_event(now=101.2, key="w0", event="fail")
    after = due_probes(passive_health, now=102.0)[0]
    assert after.token != before.token
    finish_probe(passive_health, call=before, now=102.1)
    assert not passive_health.workers["w0"].is_healthy
    finish_probe(passive_health, call=after, now=102.1)
    assert passive_health.workers["w0"].is_healthy
