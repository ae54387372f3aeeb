"""A tenant proxy that is told to stop answers whatever it has read whole, and ends within its grace period."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from sailward import constants
from sailward.events import ExitProcess, Respond, ShutdownRequested
from simulation.real.fleet import free_addresses
from tests.test_departures_tenant import ProxyInWorld

TIMEOUT = 20.0


def test_requests_that_no_worker_answers_are_answered_before_the_process_ends() -> None:
    proxy = ProxyInWorld()
    safe, unsafe = proxy.ask(path="/stock/1"), proxy.ask(path="/orders/1", method="POST", key="k-stop")
    proxy.run(seconds=0.3)
    requests = proxy.node.owner.proxied_requests
    for request in requests.live.values():
        request.expires_at += 60.0
    requests.call_deadlines = {token: at + 60.0 for token, at in requests.call_deadlines.items()}
    proxy.node.deliver(event=ShutdownRequested())
    proxy.run(seconds=constants.STOP_GRACE + 1.0)
    exits = [index for index, command in enumerate(proxy.commands) if isinstance(command, ExitProcess)]
    answered = {command.token for command in proxy.commands[: exits[0]] if isinstance(command, Respond)}
    assert {safe, unsafe} <= answered


def test_a_repeated_request_to_stop_does_not_prolong_the_stop() -> None:
    proxy = ProxyInWorld()
    proxy.node.deliver(event=ShutdownRequested())
    deadline = proxy.node.owner.stop_deadline
    proxy.run(seconds=1.0)
    proxy.node.deliver(event=ShutdownRequested())
    assert proxy.node.owner.stop_deadline == deadline


@pytest.fixture
def real_proxy(tmp_path: Path) -> Iterator[tuple[subprocess.Popen, str]]:
    """A real proxy process without controllers, which answers every request with 503."""
    post, http, seed = free_addresses(count=3)
    settings = {"name": "p1", "hall": "a", "region": "r", "post": post, "http": http, "seeds": [seed]}
    file = tmp_path / "p1.toml"
    file.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()), "utf-8")
    with (tmp_path / "p1.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "sailward.programs.proxy", "--settings", str(file)], stdout=log, stderr=log
        )
    try:
        wait_until_serving(address=http)
        yield process, http
    finally:
        process.kill()
        process.wait()


def test_requests_that_become_whole_while_a_proxy_stops_are_answered(
    real_proxy: tuple[subprocess.Popen, str],
) -> None:
    process, address = real_proxy
    process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    answers: dict[float, bytes] = {}
    ends = [constants.DEREGISTRATION_DELAY + 0.15 * number for number in range(-2, 8)]
    threads = [
        threading.Thread(target=lambda end=end: answers.update({end: upload(address=address, until=stopped_at + end)}))
        for end in ends
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(TIMEOUT)
    assert {end: answer[:12] for end, answer in answers.items()} == dict.fromkeys(ends, b"HTTP/1.1 503")
    assert process.wait(TIMEOUT) == 0


def connect(*, address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=TIMEOUT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def wait_until_serving(*, address: str) -> None:
    deadline = time.monotonic() + TIMEOUT
    while True:
        try:
            with connect(address=address) as sock:
                ask(sock=sock)
            return
        except OSError:
            assert time.monotonic() < deadline, "the proxy does not serve"
            time.sleep(0.05)


def upload(*, address: str, until: float) -> bytes:
    """Send a request whose last byte leaves at `until`; returns the start of the answer, b"" if there is none."""
    with connect(address=address) as sock:
        try:
            sock.sendall(b"POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n")
            for left in range(19, -1, -1):
                time.sleep(max(0.0, (until - time.monotonic()) / (left + 1)))
                sock.sendall(b"x")
            return sock.recv(65536)
        except OSError:
            return b""


def ask(*, sock: socket.socket) -> bytes:
    sock.sendall(b"GET /stock/1 HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = b""
    while b"\r\n\r\n" not in answer:
        data = sock.recv(65536)
        assert data, "the connection closed without an answer"
        answer += data
    head, _, body = answer.partition(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")
    )
    while len(body) < length:
        body += sock.recv(65536)
    return head
