"""The server edge against scripts that hypothesis draws.

Callers' bytes cut anywhere, answers in any order, callers that leave.
"""

from __future__ import annotations

import os
from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from sailward.transport import front
from tests.front_script import FrontScript

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
        FrontScript().play(steps=steps)

    play()


def test_no_script_brings_a_caller_another_callers_answer() -> None:
    play_all()


def answer_in_order_of_arrival() -> list:
    """An answer goes out as soon as it is there, not when its request's turn has come."""

    def answer(self, *, command):
        connection, exchange = self._asked.get(command.token, (None, None))
        if connection is not None:
            connection.exchanges.remove(exchange)
            connection.exchanges.appendleft(exchange)
        return old(self, command=command)

    old = front.Front.answer
    return [mock.patch.object(front.Front, "answer", answer)]


def reuse_tokens() -> list:
    """The number of a request is that of its place on its connection."""

    def ask(self, *, connection, body):
        self._numbers = iter([len(connection.exchanges)])
        old(self, connection=connection, body=body)

    old = front.Front._ask
    return [mock.patch.object(front.Front, "_ask", ask)]


def keep_silent_of_callers_that_left() -> list:
    """A connection that ends is not told of."""
    return [mock.patch.object(front.Front, "_forget", lambda self, *, exchange: None)]


def read_on_behind_the_last() -> list:
    """What comes behind a request that ends its connection is read as well."""

    def ask(self, *, connection, body):
        connection.reading.is_last, was = False, connection.reading.is_last
        exchange = connection.reading
        old(self, connection=connection, body=body)
        exchange.is_last = was

    old = front.Front._ask
    return [mock.patch.object(front.Front, "_ask", ask)]


@pytest.mark.parametrize(
    "plant",
    [answer_in_order_of_arrival, reuse_tokens, keep_silent_of_callers_that_left, read_on_behind_the_last],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_fault_is_found(plant) -> None:
    patches = plant()
    for patch in patches:
        patch.start()
    try:
        with pytest.raises(AssertionError):
            play_all(examples=4 * EXAMPLES)
    finally:
        for patch in reversed(patches):
            patch.stop()
