"""All orders of a proxy's events within bounds: sendings are counted against what the workers did with them."""

from __future__ import annotations

from unittest import mock

import pytest

from sailward.routing import forwarding, plan, worker_response
from tests.forwarding_model import Breach, explore


@pytest.mark.parametrize(
    ("kind", "attempts", "requests", "depth", "least"),
    [("once", 2, 1, 5, 300), ("once", 3, 1, 5, 300), ("repeatable", 2, 1, 4, 300), ("once", 2, 2, 4, 300)],
)
def test_no_order_of_events_breaks_a_rule(kind: str, attempts: int, requests: int, depth: int, least: int) -> None:
    assert explore(kind=kind, attempts=attempts, requests=requests, depth=depth) > least


def always_again(old):
    return lambda self, *, now, request, verdict: True


def promise_always(old):
    def give_up(self, *, now, request, refusal):
        request.ran = False
        return old(self, now=now, request=request, refusal=forwarding.Refusal(code=503, reason=refusal.reason))

    return give_up


def believe_unmarked(old):
    def judge(*, request, worker, event, names):
        if event.code in worker_response.PROMISES:
            return worker_response.WorkerRejected(code=event.code, why="full")
        return old(request=request, worker=worker, event=event, names=names)

    return judge


def hand_all_on(old):
    def judge(*, request, worker, event, names):
        if event.code:
            code = 200 if event.code == 503 else event.code
            return worker_response.CompleteResponse(code=code, headers=event.headers, body=event.body, is_failure=False)
        return old(request=request, worker=worker, event=event, names=names)

    return judge


def never_sent(old):
    def judge(*, request, worker, event, names):
        return (
            worker_response.NotSent(reason=event.fault)
            if event.fault
            else old(request=request, worker=worker, event=event, names=names)
        )

    return judge


def break_off_all(old):
    def end(self, *, request):
        commands = old(self, request=request)
        return [*commands, *(forwarding.CancelCall(token=token) for token in request.attempts)]

    return end


@pytest.mark.plants_faults
@pytest.mark.parametrize(
    ("owner", "name", "make", "breach"),
    [
        (forwarding.Forwarder, "_may_retry", always_again, "TWICE"),
        (forwarding.Forwarder, "_give_up", promise_always, "REFUSED"),
        (forwarding.Forwarder, "_remove_request", break_off_all, "a once-only sending was broken off"),
        (forwarding, "judge_reply", believe_unmarked, "TWICE|REFUSED"),
        (forwarding, "judge_reply", hand_all_on, "MIXED"),
        (forwarding, "judge_reply", never_sent, "TWICE|REFUSED"),
        (plan.Match, "is_repeatable", lambda old: property(lambda self: True), "TWICE|broken off"),
    ],
    ids=lambda one: getattr(one, "__name__", None),
)
def test_a_planted_fault_is_found(owner, name, make, breach) -> None:
    with (
        mock.patch.object(owner, name, make(getattr(owner, name))),
        pytest.raises(Breach, match=breach),
    ):
        explore(kind="once", attempts=2, requests=1, depth=4)
