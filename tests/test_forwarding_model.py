"""All orders of a proxy's events within bounds: each attempt is checked against what the worker did with it."""

from __future__ import annotations

from unittest import mock

import pytest

from sailward.routing import forwarding, plan, worker_response
from tests.forwarding_model import Breach, explore


@pytest.mark.parametrize(
    ("kind", "max_attempts", "requests", "depth", "min_states"),
    [("once", 2, 1, 5, 300), ("once", 3, 1, 5, 300), ("repeatable", 2, 1, 4, 300), ("once", 2, 2, 4, 300)],
)
def test_no_order_of_events_violates_an_invariant(
    kind: str, max_attempts: int, requests: int, depth: int, min_states: int
) -> None:
    assert explore(kind=kind, max_attempts=max_attempts, requests=requests, depth=depth) > min_states


def always_retry(old):
    return lambda self, *, now, request, verdict: True


def always_report_not_run(old):
    def give_up(self, *, now, request, refusal):
        request.may_have_run = False
        return old(self, now=now, request=request, refusal=forwarding.Refusal(code=503, reason=refusal.reason))

    return give_up


def accept_unmarked_not_run(old):
    def judge(*, request, worker, event, names):
        if event.code in worker_response.NOT_RUN_CODES:
            return worker_response.WorkerRejected(code=event.code, why="full")
        return old(request=request, worker=worker, event=event, names=names)

    return judge


def pass_every_response_on(old):
    def judge(*, request, worker, event, names):
        if event.code:
            code = 200 if event.code == 503 else event.code
            return worker_response.CompleteResponse(code=code, headers=event.headers, body=event.body, is_failure=False)
        return old(request=request, worker=worker, event=event, names=names)

    return judge


def treat_every_fault_as_unsent(old):
    def judge(*, request, worker, event, names):
        return (
            worker_response.NotSent(reason=event.fault)
            if event.fault
            else old(request=request, worker=worker, event=event, names=names)
        )

    return judge


def cancel_every_attempt(old):
    def end(self, *, request):
        commands = old(self, request=request)
        return [*commands, *(forwarding.CancelCall(token=token) for token in request.attempts)]

    return end


@pytest.mark.plants_faults
@pytest.mark.parametrize(
    ("owner", "name", "make", "breach"),
    [
        (forwarding.Forwarder, "_may_retry", always_retry, "TWICE"),
        (forwarding.Forwarder, "_give_up", always_report_not_run, "REFUSED"),
        (forwarding.Forwarder, "_remove_request", cancel_every_attempt, "a non-repeatable attempt was canceled"),
        (forwarding, "judge_reply", accept_unmarked_not_run, "TWICE|REFUSED"),
        (forwarding, "judge_reply", pass_every_response_on, "MIXED"),
        (forwarding, "judge_reply", treat_every_fault_as_unsent, "TWICE|REFUSED"),
        (plan.Match, "is_repeatable", lambda old: property(lambda self: True), "TWICE|canceled"),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_a_planted_fault_is_found(owner, name, make, breach) -> None:
    with (
        mock.patch.object(owner, name, make(getattr(owner, name))),
        pytest.raises(Breach, match=breach),
    ):
        explore(kind="once", max_attempts=2, requests=1, depth=4)
