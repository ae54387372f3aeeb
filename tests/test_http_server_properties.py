"""The server edge against scripts that hypothesis draws.

Callers' bytes cut anywhere, answers in any order, callers that leave.
"""

from __future__ import annotations

import os
from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from sailward.transport import http_server
from tests.http_server_script import ServerScript

SMALL = st.integers(0, 5)
STEPS = st.one_of(
    st.tuples(st.just("send"), SMALL, st.integers(0, 9)),
    st.tuples(st.just("send"), SMALL, st.integers(0, 3)),
    st.tuples(st.just("pair"), SMALL, st.integers(0, 9)),
    st.tuples(st.just("read"), SMALL, st.integers(1, 120)),
    st.tuples(st.just("read"), SMALL, st.just(1 << 16)),
    st.tuples(st.just("answer"), SMALL, SMALL),
    st.tuples(st.just("answer"), SMALL, SMALL),
    st.tuples(st.just("leave"), SMALL, SMALL),
    st.tuples(st.just("drain"), SMALL, SMALL),
    st.tuples(st.just("wait"), SMALL, SMALL),
    st.tuples(st.just("stop"), st.just(0), st.just(0)),
)

EXAMPLES = int(os.environ.get("SAILWARD_EXAMPLES", "200"))
"""scripts drawn; a wider run sets more."""


def play_all(*, examples: int = EXAMPLES) -> None:
    """Draw scripts and play each; raises AssertionError at the first that shows a breach."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=st.lists(STEPS, min_size=4, max_size=30))
    def play(steps: list[tuple]) -> None:
        ServerScript().play(steps=steps)

    play()


def test_no_script_brings_a_caller_another_callers_answer() -> None:
    play_all()


def answer_in_order_of_arrival() -> list:
    """An answer goes out as soon as it is there, not when its request's turn has come."""

    def answer(self, *, command):
        connection, exchange = self._pending.get(command.token, (None, None))
        if connection is not None:
            connection.exchanges.remove(exchange)
            connection.exchanges.appendleft(exchange)
        return old(self, command=command)

    old = http_server.HttpServer.answer
    return [mock.patch.object(http_server.HttpServer, "answer", answer)]


def reuse_tokens() -> list:
    """The number of a request is that of its place on its connection."""

    def ask(self, *, connection, body):
        self._numbers = iter([len(connection.exchanges)])
        old(self, connection=connection, body=body)

    old = http_server.HttpServer._deliver_request
    return [mock.patch.object(http_server.HttpServer, "_deliver_request", ask)]


def skip_reports_of_ended_connections() -> list:
    """A connection that ends is not told of."""
    return [mock.patch.object(http_server.HttpServer, "_discard_exchange", lambda self, *, exchange: None)]


def skip_reports_of_eof() -> list:
    """The end of a caller's bytes is not told of; that of its connection is."""

    def on_eof(self, *, connection):
        with mock.patch.object(http_server.HttpServer, "_report_disconnect", lambda self, *, exchange, deliver: None):
            old(self, connection=connection)

    old = http_server.HttpServer._on_eof
    return [mock.patch.object(http_server.HttpServer, "_on_eof", on_eof)]


def read_past_the_last_request() -> list:
    """What comes behind a request that ends its connection is read as well."""

    def ask(self, *, connection, body):
        connection.reading.is_last, was_last = False, connection.reading.is_last
        exchange = connection.reading
        old(self, connection=connection, body=body)
        exchange.is_last = was_last

    old = http_server.HttpServer._deliver_request
    return [mock.patch.object(http_server.HttpServer, "_deliver_request", ask)]


@pytest.mark.plants_faults
@pytest.mark.parametrize(
    ("plant", "breach"),
    [
        (answer_in_order_of_arrival, "got the answer to"),
        (reuse_tokens, "a token that was given before"),
        (skip_reports_of_ended_connections, "a request whose caller left was not told of"),
        (skip_reports_of_eof, "a request whose caller left was not told of"),
        # what is read behind it is told, or its answer is dropped with the connection
        (read_past_the_last_request, "read behind a request that ends|an answer to a caller that is there was lost"),
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
