"""Configurations that take effect while requests are in flight: each request ends by the one that it arrived under."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailward import constants
from sailward.events import CallFinished
from sailward.routing.plan import Plan
from tests.fuzz_kit import BOUNDED
from tests.proxy_kit import ForwarderHarness, answers, calls, cancels, make_plan, make_worker

TARGET_S = 0.5


def make(*, workers: int = 2, ranged: bool = False, **match: object) -> ForwarderHarness:
    listed = [make_worker(f"w{index}") for index in range(workers)] + [make_worker("b0", service="blue")]
    return ForwarderHarness(workers=listed, plan=make_plan(ranged=ranged, target_s=TARGET_S, **match))


def plan_without_red(**match: object) -> Plan:
    """A plan in which the route leads to `blue`, and the service `red` is gone."""
    return make_plan(services=("blue",), pools=[{"pool": "blue", "weight": 1}], target_s=TARGET_S, **match)


# Guards against StopIteration in the selection of a worker: one change of configuration ended every proxy at once.
@pytest.mark.parametrize("kind", ["repeatable", "once"])
def test_a_retry_goes_on_at_the_service_that_a_change_dropped(kind: str) -> None:
    bench = make(kind=kind)
    [first] = calls(bench.ask(method="POST"))
    bench.context.plan = plan_without_red()
    [second] = calls(bench.respond(call=first, code=503, x_not_run="1"))
    assert {first.owner, second.owner} == {"w0", "w1"}
    [answer] = answers(bench.respond(call=second))
    assert (answer.code, answer.body) == (200, b"whole")


# Guards against the same end of every proxy by a hedge.
def test_a_hedge_goes_on_at_the_service_that_a_change_dropped() -> None:
    bench = make()
    [first] = calls(bench.ask())
    bench.context.plan = plan_without_red()
    [second] = calls(bench.advance(constants.HEDGE_DELAY_RATIO * TARGET_S + 0.01))
    assert {first.owner, second.owner} == {"w0", "w1"}
    assert [answer.code for answer in answers(bench.respond(call=first))] == [200]


# Guards against the same end of every proxy by a request that waits for a worker.
def test_a_waiting_request_is_forwarded_to_the_service_that_a_change_dropped() -> None:
    bench = make(workers=1)
    sent: list = []
    while not bench.forwarder.waiting:
        sent += calls(bench.ask())
    bench.context.plan = plan_without_red()
    commands = bench.respond(call=sent[0])
    assert [answer.code for answer in answers(commands)] == [200]
    assert [call.owner for call in calls(commands)] == ["w0"] and not bench.forwarder.waiting


# Guards against a request that hangs, or ends its proxy, when the workers go with their service.
def test_a_request_whose_service_and_workers_are_gone_gets_a_final_answer() -> None:
    bench = make(kind="once")
    [call] = calls(bench.ask(method="POST"))
    bench.context.plan = plan_without_red()
    bench.update_workers(workers=[make_worker("b0", service="blue")])
    commands = bench.respond(call=call, code=503, x_not_run="1") + bench.advance(constants.QUEUE_TIMEOUT + 0.1)
    [answer] = answers(commands)
    assert answer.code == 503 and float(answer.headers["Retry-After"]) > 0 and not bench.forwarder.live


# Guards against the loss of a drawn share: the other shares of its route stay in the configuration.
def test_a_retry_stays_with_its_drawn_pool_when_a_split_loses_it() -> None:
    bench = make(pools=[{"pool": "red", "weight": 1}, {"pool": "blue", "weight": 1}])
    first = next(call for _ in range(20) for call in calls(bench.ask()) if call.owner != "b0")
    bench.context.plan = plan_without_red()
    [second] = calls(bench.respond(call=first, code=503, x_not_run="1"))
    assert {first.owner, second.owner} == {"w0", "w1"}


# Guards against an end of the proxy when a divided service is dropped, or a service becomes divided or undivided.
@pytest.mark.parametrize("was_ranged", [True, False])
@pytest.mark.parametrize("change", ["dropped", "other-kind"])
def test_a_request_outlives_a_change_of_its_services_division(was_ranged: bool, change: str) -> None:
    bench = make(ranged=was_ranged)
    bench.assign_keys(owner="w0")
    [call] = calls(bench.ask(x_key="5"))
    bench.context.plan = plan_without_red() if change == "dropped" else make_plan(ranged=not was_ranged)
    commands = bench.respond(call=call, code=421, x_not_run="1")
    for _ in range(100):
        commands += bench.advance(constants.TICK_INTERVAL)
        commands += [command for call in calls(commands) for command in bench.respond(call=call)]
    assert len(answers(commands)) == 1 and not bench.forwarder.live


# Guards against requests that a change makes go back: new ones follow the configuration in force at once.
def test_a_new_request_follows_the_new_configuration() -> None:
    bench = make()
    [old] = calls(bench.ask())
    bench.context.plan = plan_without_red()
    [new] = calls(bench.ask())
    assert old.owner in ("w0", "w1") and new.owner == "b0"


def finish_probes(*, bench: ForwarderHarness, seconds: float) -> None:
    """Let time pass; every probe of a worker is answered with the worker's own identity."""
    for _ in range(round(seconds / constants.TICK_INTERVAL)):
        bench.advance(constants.TICK_INTERVAL)
        for probe in calls(bench.passive_health.step(now=bench.now, event=None, plan=bench.context.plan)):
            passed = CallFinished(
                token=probe.token, code=200, headers={"x-who": probe.owner}, body=b"", fault="", sent=True
            )
            bench.passive_health.step(now=bench.now, event=passed, plan=bench.context.plan)


# Guards against a service that is refused for good, as one version of the configuration lacked `sharded`: its workers
# rejected what they had no key for, and the proxies took them for strangers, whatever later versions said.
@pytest.mark.parametrize("mistake", ["added", "dropped"])
def test_a_service_that_a_version_had_undivided_is_served_under_the_next(mistake: str) -> None:
    bench = make(ranged=mistake == "dropped")
    bench.assign_keys(owner="w0")
    if mistake == "dropped":
        [call] = calls(bench.ask(x_key="5"))
        assert [answer.code for answer in answers(bench.respond(call=call))] == [200]
    bench.context.plan = make_plan(ranged=False, target_s=TARGET_S)
    for _ in range(6):
        rejected = calls(bench.ask(x_key="5"))
        while rejected:
            rejected = calls(bench.respond(call=rejected.pop(), code=421, x_not_run="1"))
        finish_probes(bench=bench, seconds=0.2)
    bench.context.plan = make_plan(ranged=True, target_s=TARGET_S)
    finish_probes(bench=bench, seconds=2 * constants.PROBE_MAX_BACKOFF)
    [call] = calls(bench.ask(x_key="5"))
    assert call.owner == "w0" and [answer.code for answer in answers(bench.respond(call=call))] == [200]


# Guards against requests to another worker at a used address: an answer that names it is final.
def test_an_answer_of_another_worker_is_final() -> None:
    bench = make(workers=1)
    [call] = calls(bench.ask())
    bench.respond(call=call, code=421, x_not_run="1", x_who="w7")
    finish_probes(bench=bench, seconds=5.0)
    assert bench.passive_health.workers["w0"].state == "gone"


RED, BLUE = {"pool": "red", "weight": 1}, {"pool": "blue", "weight": 1}
PLANS = st.builds(
    lambda shares, ranged, is_dropped, **match: make_plan(
        services=tuple(share["pool"] for share in shares) if is_dropped else ("red", "blue"),
        ranged=ranged,
        pools=shares,
        **match,
    ),
    shares=st.sampled_from([[RED], [BLUE], [RED, BLUE], [BLUE, RED]]),
    ranged=st.booleans(),
    is_dropped=st.booleans(),
    kind=st.sampled_from(["repeatable", "once"]),
    tries=st.integers(1, 3),
    homes=st.sampled_from([[], ["north"], ["south"], ["atlantis"]]),
    path=st.sampled_from(["/a", "/a/1", "/b"]),
)
WORKER_LISTS = st.sets(st.sampled_from(["w0", "w1", "b0"])).map(
    lambda names: [make_worker(name, service="red" if name[0] == "w" else "blue") for name in sorted(names)]
)
OUTCOMES = st.sampled_from(["served", "full", "stranger", "unsent", "lost"])
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("plan"), PLANS),
        st.tuples(st.just("workers"), WORKER_LISTS),
        st.tuples(st.just("ask"), st.sampled_from(["GET", "POST"])),
        st.tuples(st.just("end"), OUTCOMES),
        st.tuples(st.just("wait"), st.sampled_from([0.05, 0.31, 2.0])),
    ),
    max_size=30,
)


class RequestsUnderChanges:
    """A forwarder under drawn changes: calls without an outcome, and the answers to each request."""

    def __init__(self) -> None:
        self.bench = make()
        self.bench.assign_keys(owner="w0")
        self.open_calls: dict = {}
        self.codes: dict = {}

    def apply(self, *, event: str, value: object) -> None:
        bench = self.bench
        if event == "plan":
            bench.context.plan = value
            commands = bench.forwarder.step(now=bench.now, event=None)
        elif event == "workers":
            commands = bench.update_workers(workers=value)
        elif event == "ask":
            commands = bench.ask(method=value, x_key="5")
        elif event == "wait":
            commands = bench.advance(value)
        else:
            commands = self._end_call(outcome=value)
        self._record(commands=commands)

    def _end_call(self, *, outcome: str) -> list:
        if not self.open_calls:
            return []
        call = self.open_calls.pop(next(iter(self.open_calls)))
        if outcome == "served":
            return self.bench.respond(call=call)
        if outcome in ("full", "stranger"):
            return self.bench.respond(call=call, code=503 if outcome == "full" else 421, x_not_run="1")
        fault = {"unsent": "refused", "lost": "connection-lost"}[outcome]
        return self.bench.fail_call(call=call, fault=fault, sent=outcome == "lost")

    def _record(self, *, commands: list) -> None:
        self.open_calls |= {call.token: call for call in calls(commands)}
        for cancel in cancels(commands):
            self.open_calls.pop(cancel.token, None)
        for answer in answers(commands):
            self.codes.setdefault(answer.token, []).append(answer.code)


# Guards against any other end of the proxy, and any lost answer, by a change while requests are in flight.
@BOUNDED
@given(events=EVENTS)
def test_every_request_gets_one_answer_whatever_changes(events: list) -> None:
    history = RequestsUnderChanges()
    for event, value in events:
        history.apply(event=event, value=value)
    for _ in range(3):
        history.apply(event="wait", value=constants.DEFAULT_REQUEST_TIMEOUT)
    assert set(history.codes) == {f"front {number + 1}" for number in range(history.bench.count)}
    assert all(len(codes) == 1 for codes in history.codes.values()) and not history.bench.forwarder.live
