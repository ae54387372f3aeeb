"""Each invariant detects the fault that it guards against: the violation is counted and logged."""

from __future__ import annotations

import socket
from unittest import mock

import pytest

from sailward import constants
from sailward.events import ClientDisconnected, RequestReceived
from sailward.invariants import Invariant, check, violations
from sailward.routing.forwarding import Forwarder
from sailward.transport.http_server import HttpServer
from sailward.transport.http_server_departures import check_departures
from tests.http_server_harness import Harness, get
from tests.proxy_kit import ForwarderHarness, calls, logs, make_plan, make_worker

pytestmark = pytest.mark.plants_faults


@pytest.fixture
def edge():
    harness = Harness()
    yield harness
    harness.end()


def make_bench(**match: object) -> ForwarderHarness:
    return ForwarderHarness(workers=[make_worker("w0")], plan=make_plan(**match))


def disconnect(bench: ForwarderHarness, token: str) -> list:
    return bench.forwarder.step(now=bench.now, event=ClientDisconnected(token=token))


def test_an_invariant_that_holds_is_neither_counted_nor_logged() -> None:
    assert not check(invariant=Invariant.CALLERS_WATCHED, holds=True) and not violations


def test_a_disconnect_that_is_not_reported_is_a_violation(edge) -> None:
    with mock.patch.object(HttpServer, "_report_disconnect", lambda self, *, exchange, deliver: None):
        sock = edge.connect()
        sock.sendall(get())
        edge.wait(RequestReceived, 1)
        sock.shutdown(socket.SHUT_WR)
        edge.wait_until(lambda: violations[Invariant.DEPARTURES_REPORTED.value] > 0)


def test_a_disconnect_that_is_reported_is_no_violation(edge) -> None:
    sock = edge.connect()
    sock.sendall(get())
    edge.wait(RequestReceived, 1)
    sock.shutdown(socket.SHUT_WR)
    edge.wait(ClientDisconnected, 1)
    edge.pass_time(seconds=2 * constants.HTTP_SERVER_SWEEP_INTERVAL)
    assert not violations


def test_a_connection_that_is_not_read_from_is_a_violation(edge) -> None:
    sock = edge.connect()
    sock.sendall(get())
    edge.wait(RequestReceived, 1)

    def stop_watching() -> list:
        [connection] = edge.server._connections
        connection.watched_events = (False, False)
        return check_departures(connection=connection, pending=edge.server._pending)

    [log] = edge.on_reactor(stop_watching)
    assert (log.event, log.fields["invariant"]) == ("invariant-violated", "callers-watched")
    assert violations[Invariant.CALLERS_WATCHED.value] == 1


def test_an_attempt_for_a_client_that_has_disconnected_is_a_violation() -> None:
    bench = make_bench()
    while calls(bench.ask()):
        pass
    [waiting] = bench.forwarder.waiting.values()
    waiting.is_client_gone = True
    token = next(iter(bench.forwarder.calls))
    call = mock.Mock(token=token, headers={"x-id": bench.forwarder.calls[token].exchange_id})
    [log] = logs(bench.respond(call=call), event="invariant-violated")
    assert log.fields["invariant"] == "departed-not-served" and violations == {"departed-not-served": 1}


def test_an_attempt_that_is_not_cancelled_after_the_disconnect_is_a_violation() -> None:
    bench = make_bench()
    bench.ask()
    with mock.patch.object(Forwarder, "_remove_request", lambda self, *, request: []):
        disconnect(bench, "front 1")
    [log] = logs(bench.advance(constants.TICK_INTERVAL), event="invariant-violated")
    assert log.fields == {"invariant": "departed-not-running", "attempts": 1}


@pytest.mark.parametrize("kind", ["repeatable", "once"])
def test_a_disconnect_that_is_handled_is_no_violation(kind: str) -> None:
    bench = make_bench(kind=kind)
    bench.ask()
    disconnect(bench, "front 1")
    bench.advance(constants.TICK_INTERVAL)
    assert not violations
