"""Forwarding by routes: attempts at workers, retries, hedges, not-run statuses, and when a request is given up."""

from __future__ import annotations

import pytest

from sailward import constants
from sailward.events import ClientDisconnected, WithdrawCall
from tests.proxy_kit import ForwarderHarness, answers, calls, cancels, logs, make_plan, make_worker

NOT_RUN_CODES = (408, 421, 429, 503)


def make(*, workers: int = 3, proxies: int = 1, slack: float = 60.0, **match: object) -> ForwarderHarness:
    return ForwarderHarness(
        workers=[make_worker(f"w{index}") for index in range(workers)],
        plan=make_plan(**match),
        proxies=proxies,
        slack=slack,
    )


def test_a_request_is_forwarded_unchanged_to_the_selected_worker() -> None:
    bench = make()
    [call] = calls(
        bench.ask(method="POST", body=b"x" * 9, te="trailers", connection="close", expect="100-continue", x_tag="kept")
    )
    assert (call.method, call.path, call.body, call.address) == ("POST", "/a/1?q=%20", b"x" * 9, f"{call.owner}:80")
    assert call.headers["x-expect"] == call.owner and call.headers["x-id"] == "id1" and call.headers["x-tag"] == "kept"
    assert int(call.headers["x-left"]) <= 3000 and call.timeout <= 3.0
    assert not {"te", "connection", "expect"} & set(call.headers)
    [answer] = answers(
        bench.respond(call=call, code=201, content_type="text/x", connection="close", keep_alive="timeout=5")
    )
    assert (answer.token, answer.code, answer.body) == ("front 1", 201, b"whole")
    assert answer.headers["x-seal"] == "s" and answer.headers["content-type"] == "text/x"
    assert not {"connection", "keep-alive"} & set(answer.headers)
    assert not bench.forwarder.live and not bench.forwarder.calls and not bench.endpoint_selector.open_requests


@pytest.mark.parametrize(
    ("within", "expiry", "time_left"), [("3000", 4.0, 3.0), ("9000", 4.0, 4.0), ("", 4.0, 4.0), ("x", 4.0, 4.0)]
)
def test_the_time_left_is_the_lesser_of_the_clients_and_the_routes(
    within: str, expiry: float, time_left: float
) -> None:
    [call] = calls(make(expiry_s=expiry).ask(within=within))
    assert call.timeout == pytest.approx(time_left) and int(call.headers["x-left"]) == pytest.approx(
        time_left * 1000, abs=2
    )


def test_a_request_without_a_route_is_refused_at_once() -> None:
    bench = make()
    assert [answer.code for answer in answers(bench.ask(path="/other"))] == [404]
    assert [answer.code for answer in answers(bench.ask(host="elsewhere"))] == [404]
    assert [answer.code for answer in answers(bench.ask(host="SHOP:8080"))] == []


@pytest.mark.parametrize("code", [200, 204, 302, 400, 404, 409, 499])
def test_a_workers_own_response_is_final(code: int) -> None:
    bench = make()
    [call] = calls(bench.ask())
    commands = bench.respond(call=call, code=code)
    assert [answer.code for answer in answers(commands)] == [code] and not calls(commands)


@pytest.mark.parametrize(
    ("fault", "sent"),
    [
        ("connection-lost", True),
        ("cut-short", True),
        ("malformed", True),
        ("another-exchange", True),
        ("timed-out", True),
        ("surplus", True),
    ],
)
def test_a_non_repeatable_request_that_may_have_run_is_neither_retried_nor_reported_as_not_run(
    fault: str, sent: bool
) -> None:
    bench = make(kind="once", tries=3)
    [call] = calls(bench.ask(method="POST", body=b"buy"))
    assert call.fresh
    commands = bench.fail_call(call=call, fault=fault, sent=sent)
    assert not calls(commands) and not calls(bench.advance(1.0))
    [answer] = answers(commands)
    assert answer.code in (502, 504) and "Retry-After" not in answer.headers


@pytest.mark.parametrize("code", [408, 429, 503, 421, 500, 502, 504])
def test_a_not_run_status_needs_the_workers_not_run_header(code: int) -> None:
    bench = make(kind="once", tries=3)
    [call] = calls(bench.ask(method="POST"))
    commands = bench.respond(call=call, code=code)
    assert not calls(commands)
    assert all(answer.code not in NOT_RUN_CODES for answer in answers(commands)) and len(answers(commands)) == 1


@pytest.mark.parametrize("code", [429, 503, 421])
def test_a_request_that_did_not_run_is_retried_at_another_worker_whatever_its_kind(code: int) -> None:
    bench = make(kind="once", tries=2)
    [first] = calls(bench.ask(method="POST", body=b"buy"))
    [second] = calls(bench.respond(call=first, code=code, x_not_run="1"))
    assert second.owner != first.owner and second.body == b"buy" and second.headers["x-id"] == "id1"
    commands = bench.respond(call=second, code=code, x_not_run="1")
    assert not calls(commands)
    [answer] = answers(commands)
    assert answer.code == 503 and float(answer.headers["Retry-After"]) > 0


def test_a_non_repeatable_request_that_was_never_sent_is_tried_elsewhere_then_reported_as_not_run() -> None:
    bench = make(workers=9, kind="once", tries=1)
    commands = bench.ask(method="POST")
    owners = []
    while calls(commands):
        [call] = calls(commands)
        owners.append(call.owner)
        commands = bench.fail_call(call=call, fault="refused", sent=False)
    assert len(owners) == constants.MAX_UNREACHABLE_WORKERS + 1 and len(set(owners)) == len(owners)
    assert [answer.code for answer in answers(commands)] == [503]


def test_a_repeatable_request_is_retried_up_to_its_limit() -> None:
    bench = make(workers=5, tries=3)
    commands = bench.ask()
    owners = []
    for _ in range(3):
        [call] = calls(commands)
        owners.append(call.owner)
        commands = bench.fail_call(call=call, fault="connection-lost", sent=True)
    assert not calls(commands) and len(set(owners)) == 3
    [answer] = answers(commands)
    assert answer.code == 502


def test_the_last_server_error_is_returned_when_all_attempts_fail() -> None:
    bench = make(tries=2)
    [first] = calls(bench.ask())
    [second] = calls(bench.respond(call=first, code=500, body=b"bad"))
    [answer] = answers(bench.respond(call=second, code=500, body=b"worse"))
    assert (answer.code, answer.body) == (500, b"worse")


def test_a_success_without_the_seal_is_not_passed_on() -> None:
    bench = make(tries=1)
    [call] = calls(bench.ask())
    assert [answer.code for answer in answers(bench.respond(call=call, x_seal=None))] == [502]


@pytest.mark.parametrize("name", ["another", None])
def test_a_response_to_another_request_is_not_passed_on(name: str | None) -> None:
    bench = make(tries=1, kind="once")
    [call] = calls(bench.ask())
    assert [answer.code for answer in answers(bench.respond(call=call, x_id=name))] == [502]


def test_an_address_that_has_another_worker_gets_no_further_requests() -> None:
    bench = make(workers=2, tries=4)
    [first] = calls(bench.ask())
    [second] = calls(bench.respond(call=first, code=421, x_not_run="1", x_who="someone-else"))
    assert second.owner != first.owner
    bench.respond(call=second)
    owners = set()
    for _ in range(6):
        [call] = calls(bench.ask())
        owners.add(call.owner)
        bench.respond(call=call)
    assert owners == {second.owner}


def test_the_retry_budget_limits_further_attempts() -> None:
    bench = make(workers=60, slack=10.0, proxies=2)
    retries = 0
    for _ in range(40):
        [call] = calls(bench.ask())
        commands = bench.fail_call(call=call, fault="cut-short", sent=True)
        for retry in calls(commands):
            retries += 1
            bench.respond(call=retry)
    assert 0 < retries <= 0.2 * 40 + 10.0 / 2
    assert bench.forwarder.tally["refused-budget"] > 0


def test_a_request_that_may_have_run_gets_502_when_the_budget_is_spent() -> None:
    bench = make(slack=0.0)
    [call] = calls(bench.ask())
    [answer] = answers(bench.fail_call(call=call, fault="cut-short", sent=True))
    assert answer.code == 502


def test_a_request_without_a_worker_is_refused_after_a_small_share_of_the_target() -> None:
    bench = make(workers=0, target_s=2.0)
    commands = bench.ask(method="POST")
    waited = 0.0
    while not answers(commands):
        commands = bench.advance(constants.TICK_INTERVAL)
        waited += constants.TICK_INTERVAL
        assert waited < 0.25 * 2.0
    [answer] = answers(commands)
    assert answer.code == 503 and float(answer.headers["Retry-After"]) > 0


def test_a_waiting_request_is_forwarded_when_a_worker_appears() -> None:
    bench = make(workers=0)
    commands = bench.ask()
    assert not calls(commands) and not answers(commands)
    bench.update_workers(workers=[make_worker("w9")])
    assert [call.owner for call in calls(bench.advance(0.05))] == ["w9"]


def test_a_silent_worker_is_waited_for_until_the_deadline() -> None:
    bench = make(kind="once", tries=3)
    [call] = calls(bench.ask(method="POST", within="2000"))
    for _ in range(39):
        assert not answers(bench.advance(0.05)) and not calls(bench.advance(0.0))
    [answer] = answers(bench.advance(0.06))
    assert answer.code == 504
    assert bench.respond(call=call) == []


def test_a_repeatable_request_at_a_silent_worker_is_hedged_within_the_budget_and_the_loser_canceled() -> None:
    bench = make(tries=2, target_s=0.5)
    for _ in range(40):
        bench.respond(call=calls(bench.ask())[0])
    [first] = calls(bench.ask())
    second = []
    while not second:
        second = calls(bench.advance(0.05))
    assert second[0].owner != first.owner and not calls(bench.advance(0.5))
    commands = bench.respond(call=second[0], body=b"quick")
    assert [answer.body for answer in answers(commands)] == [b"quick"]
    assert [cancel.token for cancel in cancels(commands)] == [first.token]
    assert not bench.endpoint_selector.open_requests


def test_a_client_disconnect_ends_a_repeatable_request_with_a_final_response() -> None:
    bench = make()
    [call] = calls(bench.ask())
    commands = bench.forwarder.step(now=bench.now, event=ClientDisconnected(token="front 1"))
    assert [cancel.token for cancel in cancels(commands)] == [call.token]
    # the client may have closed its sending side only; the request may have run, so the status must not deny that
    assert [answer.code for answer in answers(commands)] == [502]
    assert "Retry-After" not in answers(commands)[0].headers
    assert not bench.respond(call=call) and not bench.advance(0.5)
    assert not bench.endpoint_selector.open_requests and not bench.forwarder.live and not bench.forwarder.calls


def test_a_client_disconnect_does_not_end_a_non_repeatable_request_that_was_sent() -> None:
    bench = make(kind="once")
    [call] = calls(bench.ask(method="POST"))
    commands = bench.forwarder.step(now=bench.now, event=ClientDisconnected(token="front 1"))
    assert not cancels(commands) and not answers(commands)
    assert [command.token for command in commands] == [call.token] and isinstance(commands[0], WithdrawCall)
    assert [answer.code for answer in answers(bench.respond(call=call))] == [200]
    assert not bench.endpoint_selector.open_requests and not bench.forwarder.live and not bench.forwarder.calls


def test_a_non_repeatable_request_that_did_not_run_is_not_retried_after_its_client_disconnected() -> None:
    bench = make(kind="once", tries=3)
    [call] = calls(bench.ask(method="POST"))
    bench.forwarder.step(now=bench.now, event=ClientDisconnected(token="front 1"))
    commands = bench.respond(call=call, code=503, x_not_run="1")
    assert not calls(commands) and not calls(bench.advance(0.5))
    assert [answer.code for answer in answers(commands)] == [503]


def test_a_non_repeatable_request_that_was_not_sent_is_withdrawn_when_its_client_disconnects() -> None:
    bench = make(kind="once", tries=3)
    [call] = calls(bench.ask(method="POST"))
    bench.forwarder.step(now=bench.now, event=ClientDisconnected(token="front 1"))
    health = bench.passive_health.workers[call.owner]
    before = (health.state, health.window, health.busy_until)
    commands = bench.fail_call(call=call, fault="withdrawn", sent=False)
    assert [answer.code for answer in answers(commands)] == [503] and not calls(commands)
    assert (health.state, health.window, health.busy_until) == before, "a withdrawn call says nothing about the worker"
    assert not bench.endpoint_selector.open_requests and not bench.forwarder.live and not bench.forwarder.calls


@pytest.mark.parametrize("kind", ["repeatable", "once"])
def test_a_waiting_request_is_never_sent_after_its_client_disconnected(kind: str) -> None:
    bench = make(kind=kind, workers=1)
    while len(calls(bench.ask(method="POST"))) == 1:
        pass
    waiting = f"front {bench.count}"
    assert waiting in bench.forwarder.waiting
    commands = bench.forwarder.step(now=bench.now, event=ClientDisconnected(token=waiting))
    assert [(answer.token, answer.code) for answer in answers(commands)] == [(waiting, 503)]
    assert not bench.forwarder.waiting and waiting not in bench.forwarder.live


def test_nothing_is_sent_when_too_little_time_is_left() -> None:
    bench = make()
    commands = bench.ask(within="10")
    assert not calls(commands) and [answer.code for answer in answers(commands)] == [503]


def test_a_request_of_a_range_sharded_service_goes_to_the_owner_and_is_retried_there() -> None:
    bench = ForwarderHarness(workers=[make_worker("w0"), make_worker("w1")], plan=make_plan(ranged=True, tries=3))
    bench.assign_keys(owner="w1")
    [first] = calls(bench.ask(x_key="77"))
    assert first.owner == "w1"
    commands = bench.respond(call=first, code=421, x_not_run="1", x_who="w1")
    assert not answers(commands)
    retry = calls(commands)
    while not retry:
        retry = calls(bench.advance(0.05))
        assert bench.now < 101.0
    assert [call.owner for call in retry] == ["w1"]
    bucket = str(77 // constants.KEYS_PER_BUCKET)
    assert bench.forwarder.take_loads() == {"red": {bucket: 1}} and bench.forwarder.take_loads() == {}


@pytest.mark.parametrize("key", ["", "x", "70000", "-1"])
def test_a_range_sharded_service_needs_a_key(key: str) -> None:
    bench = ForwarderHarness(workers=[make_worker("w0")], plan=make_plan(ranged=True))
    bench.assign_keys(owner="w0")
    assert [answer.code for answer in answers(bench.ask(x_key=key))] == [400]


def test_a_refusal_is_logged_with_its_reason() -> None:
    bench = make(tries=1)
    [call] = calls(bench.ask())
    [log] = logs(bench.fail_call(call=call, fault="malformed", sent=True), event="given-up")
    assert log.fields["reason"] == "worker-malformed" and log.fields["code"] == 502


@pytest.mark.parametrize("phase", [0.01, 0.025, 0.029, 0.04])
def test_a_refusal_for_lack_of_a_worker_comes_within_a_quarter_of_the_target(phase: float) -> None:
    bench = ForwarderHarness(workers=[], plan=make_plan(target_s=0.4))
    commands, waited, step = bench.ask(), 0.0, phase
    while not answers(commands):
        commands, waited, step = bench.advance(step), waited + step, constants.TICK_INTERVAL
    assert waited <= 0.25 * 0.4


def test_a_hedge_that_the_budget_denies_leaves_the_first_attempt_in_flight() -> None:
    """First attempts leave the budget's window between the first attempt of a request and its hedge."""
    bench = make(proxies=200)
    for _ in range(20):
        call = calls(bench.ask())[0]
        bench.respond(call=call)
    bench.advance(9.9)
    call = calls(bench.ask())[0]
    commands = bench.advance(0.35)
    assert not answers(commands) and not cancels(commands) and not calls(commands)
    assert answers(bench.respond(call=call))[0].code == 200


def test_a_hedge_without_enough_time_leaves_the_first_attempt_in_flight() -> None:
    bench = make()
    for _ in range(20):
        bench.respond(call=calls(bench.ask())[0])
    call = calls(bench.ask(within="320"))[0]
    assert not answers(bench.advance(0.305))
    assert answers(bench.respond(call=call))[0].code == 200


@pytest.mark.parametrize("code", [400, 421, 429, 503])
def test_a_not_run_status_for_another_request_is_not_accepted_for_this_one(code: int) -> None:
    bench = make(kind="once")
    call = calls(bench.ask(method="POST"))[0]
    commands = bench.respond(call=call, code=code, x_not_run="1", x_id="id99")
    assert not calls(commands) and answers(commands)[0].code == 502
