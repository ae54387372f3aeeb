"""How long the HTTP server keeps an idle connection: at least as long as it announced to the client."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sailward import constants
from sailward.events import Respond
from tests.http_server_harness import Harness, Reader, get


@pytest.fixture
def edge():
    harness = Harness()
    harness.answer_immediately = lambda event: Respond(token=event.token, code=200, body=b"whole")
    yield harness
    harness.end()


def test_a_shorter_idle_time_does_not_end_connections_that_were_promised_more(edge):
    """A configuration shortens the idle time while a client is idle to which the longer one was announced."""
    edge.limits = replace(edge.limits, idle_wait=15.0)
    sock = edge.connect()
    reader = Reader(sock)
    sock.sendall(get())
    assert reader.response()[0] == 200
    edge.limits = replace(edge.limits, idle_wait=1.0)
    edge.pass_time(seconds=0.8 * 15.0)
    sock.sendall(get())
    assert reader.response()[2] == b"whole"
    edge.pass_time(seconds=0.8 * 1.0)
    sock.sendall(get())
    assert reader.response()[2] == b"whole"
    edge.pass_time(seconds=1.0 + constants.HTTP_SERVER_IDLE_GRACE + 0.1)
    assert reader.is_ended()


@pytest.mark.parametrize("idle_wait", [0.5, 1.0, 2.0, 15.0])
def test_a_connection_may_be_reused_after_four_fifths_of_its_idle_time_and_a_slow_network(edge, idle_wait):
    edge.limits = replace(edge.limits, idle_wait=idle_wait)
    sock = edge.connect()
    reader = Reader(sock)
    for _ in range(3):
        sock.sendall(get())
        assert reader.response()[2] == b"whole"
        edge.pass_time(seconds=0.8 * idle_wait + 0.7)
