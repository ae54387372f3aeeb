"""The HTTP server against scripts drawn by hypothesis.

Clients' bytes are split anywhere, answers are given in any order, and clients disconnect.
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
    @given(steps=st.lists(STEPS, min_size=4, max_size=30))
    def play(steps: list[tuple]) -> None:
        ServerScript().play(steps=steps)

    play()


def test_no_script_brings_a_caller_another_callers_answer() -> None:
    play_all()


def answer_in_order_of_arrival() -> list:
    """An answer is sent as soon as it is given instead of in the order of the requests."""

    def answer(self, *, command):
        connection, exchange = self._pending.get(command.token, (None, None))
        if connection is not None:
            connection.exchanges.remove(exchange)
            connection.exchanges.appendleft(exchange)
        return old(self, command=command)

    old = http_server.HttpServer.answer
    return [mock.patch.object(http_server.HttpServer, "answer", answer)]


def reuse_tokens() -> list:
    """A request's token holds only its position on its connection, so that tokens repeat."""

    def ask(self, *, connection, body):
        self._numbers = iter([len(connection.exchanges)])
        old(self, connection=connection, body=body)

    old = http_server.HttpServer._deliver_request
    return [mock.patch.object(http_server.HttpServer, "_deliver_request", ask)]


def skip_reports_of_ended_connections() -> list:
    """The end of a connection is not reported."""
    return [mock.patch.object(http_server.HttpServer, "_discard_exchange", lambda self, *, exchange: None)]


def skip_reports_of_eof() -> list:
    """A client's EOF is not reported, but the end of its connection is."""

    def on_eof(self, *, connection):
        with mock.patch.object(http_server.HttpServer, "_report_disconnect", lambda self, *, exchange, deliver: None):
            old(self, connection=connection)

    old = http_server.HttpServer._on_eof
    return [mock.patch.object(http_server.HttpServer, "_on_eof", on_eof)]


def read_past_the_last_request() -> list:
    """Requests after one that ends its connection are read as well."""

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
        (reuse_tokens, "a token that was used before"),
        (skip_reports_of_ended_connections, "a request of a disconnected client was not reported"),
        (skip_reports_of_eof, "a request of a disconnected client was not reported"),
        # a later request is delivered, or its answer is lost with the connection
        (read_past_the_last_request, "read after a request that ends|an answer to a connected client was lost"),
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
