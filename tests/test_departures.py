"""Client disconnects: running attempts end, requests not yet sent are never sent, and no state is left behind."""

from __future__ import annotations

import threading

import pytest

from sailward import constants
from tests.http_server_harness import WAIT_TIMEOUT
from tests.proxy_path import ProxyPath, request


@pytest.fixture
def make_path():
    paths: list[ProxyPath] = []

    def make(**match: object) -> ProxyPath:
        paths.append(ProxyPath(**match))
        return paths[-1]

    yield make
    for path in paths:
        path.end()


def test_a_client_disconnect_ends_a_repeatable_request_at_the_worker(make_path) -> None:
    path = make_path()
    client_socket = path.send(request("1"))
    call = path.next_call()
    client_socket.close()
    assert call.has_ended.wait(WAIT_TIMEOUT), "the worker runs on for a client that has disconnected"
    path.until(lambda: path.front.connection_count() == 0)


def test_a_disconnect_after_more_requests_than_are_read_ahead_ends_all_of_them(make_path) -> None:
    path = make_path(workers=constants.HTTP_SERVER_PIPELINE_DEPTH)
    client_socket = path.send(*(request(str(number)) for number in range(2 * constants.HTTP_SERVER_PIPELINE_DEPTH)))
    calls = [path.next_call() for _ in range(constants.HTTP_SERVER_PIPELINE_DEPTH)]
    client_socket.close()
    for call in calls:
        assert call.has_ended.wait(WAIT_TIMEOUT), "the worker runs on for a client that has disconnected"
    path.settle()
    assert path.calls.empty(), "a request reached the worker after its client had disconnected"
    path.until(lambda: path.front.connection_count() == 0)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_whose_client_disconnected_before_it_was_read_is_never_sent(make_path, method: str) -> None:
    """A proxy that was delayed finds the request and the close of the connection in one pass."""
    path = make_path(kind="once" if method == "POST" else "repeatable")
    is_sent = threading.Event()
    path.reactor.call_from_thread(callback=lambda: is_sent.wait(WAIT_TIMEOUT))
    path.send(request("1", method=method)).close()
    is_sent.set()
    path.settle()
    assert path.calls.empty(), "a request reached the worker although its client had disconnected before"
    assert not path.bench.forwarder.live
    path.until(lambda: path.front.connection_count() == 0)
