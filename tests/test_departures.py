"""A caller that has left: what ran for it ends, what had not begun never begins, and nothing of it stays behind."""

from __future__ import annotations

import threading

import pytest

from sailward import constants
from tests.http_server_harness import WAIT_TIMEOUT
from tests.proxy_path import ProxyPath, request


@pytest.fixture
def make_path():
    made: list[ProxyPath] = []

    def make(**match: object) -> ProxyPath:
        made.append(ProxyPath(**match))
        return made[-1]

    yield make
    for path in made:
        path.end()


def test_a_close_of_the_callers_connection_ends_a_repeatable_run(make_path) -> None:
    path = make_path()
    caller = path.send(request("1"))
    call = path.next_call()
    caller.close()
    assert call.has_ended.wait(WAIT_TIMEOUT), "the worker runs on for a caller that has left"
    path.until(lambda: path.front.connection_count() == 0)


def test_a_close_behind_more_requests_than_are_read_ahead_ends_all_of_them(make_path) -> None:
    path = make_path(workers=constants.HTTP_SERVER_PIPELINE_DEPTH)
    caller = path.send(*(request(str(number)) for number in range(2 * constants.HTTP_SERVER_PIPELINE_DEPTH)))
    calls = [path.next_call() for _ in range(constants.HTTP_SERVER_PIPELINE_DEPTH)]
    caller.close()
    for call in calls:
        assert call.has_ended.wait(WAIT_TIMEOUT), "the worker runs on for a caller that has left"
    path.settle()
    assert path.calls.empty(), "a request reached the worker after its caller had left"
    path.until(lambda: path.front.connection_count() == 0)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_whose_caller_left_before_it_was_read_is_never_sent(make_path, method: str) -> None:
    """A proxy that was held up finds the request and the close of its caller in one look."""
    path = make_path(kind="once" if method == "POST" else "repeatable")
    is_sent = threading.Event()
    path.reactor.call_from_thread(callback=lambda: is_sent.wait(WAIT_TIMEOUT))
    path.send(request("1", method=method)).close()
    is_sent.set()
    path.settle()
    assert path.calls.empty(), "a request reached the worker though its caller had left before"
    assert not path.bench.forwarder.live
    path.until(lambda: path.front.connection_count() == 0)
