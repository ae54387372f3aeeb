"""The HTTP client against scripts drawn by hypothesis.

Responses are reordered, duplicated, late, truncated or reset, and calls are cancelled.
"""

from __future__ import annotations

import functools
import os
from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from sailward.routing import worker_response
from sailward.transport import http_client, http_exchange
from tests.http_client_script import ClientScript

SMALL = st.integers(0, 3)
STEPS = st.one_of(
    st.tuples(st.just("give"), SMALL, SMALL, SMALL),
    st.tuples(st.just("round"), SMALL, SMALL, st.integers(0, 13)),
    st.tuples(st.just("round"), SMALL, SMALL, st.sampled_from([0, 0, 3, 7, 8])),
    st.tuples(st.just("late_round"), st.integers(0, 1), SMALL, st.sampled_from([0, 0, 4, 9])),
    st.tuples(st.just("cancelled_round"), st.integers(0, 1), SMALL, st.sampled_from([0, 0, 4, 9])),
    st.tuples(st.just("reset_round"), st.integers(0, 1), SMALL, SMALL),
    st.tuples(st.just("connect"), SMALL, st.just(0), st.just(0)),
    st.tuples(st.just("writable"), SMALL, st.just(0), st.just(0)),
    st.tuples(st.just("answer"), SMALL, SMALL, st.integers(0, 13)),
    st.tuples(st.just("answer"), SMALL, st.just(0), st.just(0)),
    st.tuples(st.just("deliver"), SMALL, SMALL, st.just(0)),
    st.tuples(st.just("deliver"), SMALL, st.just(3), st.just(0)),
    st.tuples(st.just("end"), SMALL, SMALL, st.just(0)),
    st.tuples(st.just("cancel"), SMALL, st.just(0), st.just(0)),
    st.tuples(st.just("hang_up"), SMALL, st.just(0), st.just(0)),
    st.tuples(st.just("wait"), SMALL, st.just(0), st.just(0)),
)
EXAMPLES = int(os.environ.get("SAILWARD_EXAMPLES", "250"))
"""Number of scripts drawn; a longer run sets more."""


def play_all(*, examples: int = EXAMPLES) -> None:
    """Draw scripts and play each; raises AssertionError at the first violation."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=st.lists(STEPS, min_size=4, max_size=24))
    def play(steps: list[tuple]) -> None:
        ClientScript().play(steps=steps)

    play()


def test_no_script_brings_an_answer_to_another_call_or_a_request_out_twice() -> None:
    play_all()


def match_by_order_alone() -> list:
    """A response is matched to the current request by order, whatever exchange id it carries."""

    def unnamed(self, *, response):
        fault = old(self, response=response)
        self._echoes_exchange_id = True
        return "" if fault == "another-exchange" else fault

    def judge(*, request, worker, event, names):
        event.headers.update({names.exchange_id: request.exchange_id} if event.code else {})
        return old_judge(request=request, worker=worker, event=event, names=names)

    old, old_judge = http_exchange.Exchange._on_head, worker_response.judge_reply
    return [
        mock.patch.object(http_exchange.Exchange, "_on_head", unnamed),
        mock.patch("tests.http_client_script.judge_reply", judge),
    ]


def send_again_after_a_reset() -> list:
    """A request whose connection ends before its response is sent again."""

    def fail(self, *, running, fault):
        if fault != "connection-lost" or running.connection is None:
            return old(self, running=running, fault=fault)
        connection, running.connection = running.connection, None
        self._close(connection=connection, is_aborted=True)
        running.unsent = memoryview(running.exchange.request)
        return self._dial(running=running)

    old = http_client.HttpClient._fail
    return [mock.patch.object(http_client.HttpClient, "_fail", fail)]


def reuse_without_a_check() -> list:
    """A kept connection is reused although a late response waits on it, and exchange ids are not compared."""
    return [mock.patch.object(http_client, "_peek", lambda *, sock: http_client.CLEAN), *match_by_order_alone()]


def keep_after_a_cancel() -> list:
    """A cancelled call's connection is returned to the pool.

    The next call takes the response to the cancelled one for its own.
    """

    def cancel(self, *, token):
        running = self._running.get(token)
        if running is not None and running.connection is not None and running.connection.is_open:
            connection = running.connection
            running.connection = connection.running = None
            readable = functools.partial(self._on_readable, connection=connection)
            self._reactor.watch(sock=connection.sock, readable=readable)
            self._return_to_pool(connection=connection, idle=10.0)
        old(self, token=token)

    old = http_client.HttpClient.cancel
    return [mock.patch.object(http_client.HttpClient, "cancel", cancel), *match_by_order_alone()]


def reuse_connections_for_unsafe_requests() -> list:
    """Unsafe requests use kept connections: a surplus refusal without an exchange id is taken for theirs."""

    def start(self, *, call):
        object.__setattr__(call, "fresh", False)
        old(self, call=call)
        self._reactor.run_soon()
        object.__setattr__(call, "fresh", call.method == "POST")

    old = http_client.HttpClient.start
    return [mock.patch.object(http_client.HttpClient, "start", start)]


@pytest.mark.parametrize(
    ("plant", "breach"),
    [
        (match_by_order_alone, "got b"),
        (send_again_after_a_reset, "sent twice"),
        (reuse_without_a_check, "got b"),
        (keep_after_a_cancel, "got b"),
        (reuse_connections_for_unsafe_requests, "was refused by another's answer"),
    ],
    ids=lambda param: getattr(param, "__name__", ""),
)
def test_a_planted_fault_is_found(plant, breach: str) -> None:
    patches = plant()
    for patch in patches:
        patch.start()
    try:
        with pytest.raises(AssertionError, match=breach):
            play_all(examples=4 * EXAMPLES)
    finally:
        for patch in reversed(patches):
            patch.stop()
