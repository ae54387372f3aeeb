"""Measures the latency that a proxy adds to a request.

The real HTTP server, proxy and HTTP client run in a process of their own, in front of a fake worker.
"""

from __future__ import annotations

import contextlib
import multiprocessing
import random
import re
import selectors
import socket
import statistics
import time

from sailward.events import CancelCall, CloseConnections, MessageReceived, Respond, SendMessage, StartCall, WithdrawCall
from sailward.proxy.proxy import Proxy
from sailward.runtime.host import Host
from sailward.runtime.reactor import Reactor
from sailward.transport.http_client import HttpClient
from sailward.transport.http_server import HttpServer

from .deployment import Size, hosted_of, pushed_fleet, pushed_workers, zones_of
from .parts import CONTROLLER_ADDRESS, config_text, free_route, make_push

ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nInstance-Id: %s\r\n\r\n" + b"x" * 64
)
HEAD_END = b"\r\n\r\n"
OK = b"HTTP/1.1 200"


def measure_added(*, size: Size, count: int, callers: int, rate: float) -> dict:
    """Measure the added latency, as percentiles in s.

    Measured with sequential requests, and with requests that arrive at random, `rate` per second. Then measures the
    processor time per request with many concurrent callers.
    """
    method = multiprocessing.get_context("fork")
    worker_pipe, worker_end = method.Pipe()
    worker = method.Process(target=_serve_worker, kwargs={"pipe": worker_end}, daemon=True)
    worker.start()
    worker_port = worker_pipe.recv()
    proxy_pipe, proxy_end = method.Pipe()
    proxy = method.Process(
        target=_serve_proxy, kwargs={"pipe": proxy_end, "size": size, "worker_port": worker_port}, daemon=True
    )
    proxy.start()
    proxy_port = proxy_pipe.recv()
    path, headers = free_route(size=size)
    try:
        request = _make_request(path=path, headers=headers)
        figures = _compare_with_direct(ports=(worker_port, proxy_port), request=request, count=count)
        (direct, _), (through, refused) = (
            _send_at_rate(port=port, request=request, count=count, rate=rate) for port in (worker_port, proxy_port)
        )
        figures |= {
            f"paced_p{part}_s": _percentile(values=through, part=part) - _percentile(values=direct, part=part)
            for part in (50, 90, 99)
        }
        figures |= {"rate": rate, "paced_not_served": refused}
        return figures | _saturate(port=proxy_port, request=request, count=count, callers=callers, proxy=proxy_pipe)
    finally:
        proxy.terminate()
        worker.terminate()


def _compare_with_direct(*, ports: tuple, request: bytes, count: int) -> dict:
    socks = [socket.create_connection(("127.0.0.1", port)) for port in ports]
    times: tuple[list, list] = ([], [])
    for at in range(count + 50):
        for index, sock in enumerate(socks):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            started_at = time.perf_counter()
            _exchange(sock=sock, request=request)
            if at >= 50:
                times[index].append(time.perf_counter() - started_at)
    direct, through = (sorted(values) for values in times)
    added = {
        f"added_p{part}_s": _percentile(values=through, part=part) - _percentile(values=direct, part=part)
        for part in (50, 90, 99)
    }
    pairs = sorted(b - a for a, b in zip(*times, strict=True))
    return {
        **added,
        "direct_p50_s": _percentile(values=direct, part=50),
        "direct_p99_s": _percentile(values=direct, part=99),
        "pair_p50_s": _percentile(values=pairs, part=50),
        "pair_p99_s": _percentile(values=pairs, part=99),
    }


def _send_at_rate(*, port: int, request: bytes, count: int, rate: float) -> tuple[list[float], float]:
    """Sorted latencies in s of requests that arrive at random, and the share that was not served.

    The arrivals do not wait for earlier requests to finish.
    """
    rng, selector = random.Random(1), selectors.DefaultSelector()
    idle, sent_at, times, partial, refused = [], {}, [], {}, 0
    started_at = time.perf_counter()
    due = [started_at + rng.random() * 0.001]
    while len(due) < count:
        due.append(due[-1] + rng.expovariate(rate))
    due.reverse()
    while len(times) < count:
        now = time.perf_counter()
        while due and now >= due[-1]:
            sock = idle.pop() if idle else _connect(port=port, selector=selector)
            sent_at[sock] = due.pop()
            sock.sendall(request)
        for key, _ in selector.select(max(0.0, due[-1] - time.perf_counter()) if due else 1.0):
            data = partial.pop(key.fileobj, b"") + key.fileobj.recv(65536)
            if not _is_complete(data=data):
                partial[key.fileobj] = data
                continue
            refused += not data.startswith(OK)
            times.append(time.perf_counter() - sent_at.pop(key.fileobj))
            idle.append(key.fileobj)
    for key in list(selector.get_map().values()):
        key.fileobj.close()
    return sorted(times), refused / count


def _connect(*, port: int, selector) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    selector.register(sock, selectors.EVENT_READ)
    return sock


def _saturate(*, port: int, request: bytes, count: int, callers: int, proxy) -> dict:
    """Run many concurrent callers, each of which sends its next request as soon as it has an answer."""
    selector = selectors.DefaultSelector()
    for _ in range(callers):
        sock = socket.create_connection(("127.0.0.1", port))
        selector.register(sock, selectors.EVENT_READ)
        sock.sendall(request)
    proxy.send("cpu")
    cpu, started_at, done = proxy.recv(), time.perf_counter(), 0
    times, partial, refused = [], {}, 0
    sent = {key.fileobj: started_at for key in selector.get_map().values()}
    while done < count:
        for key, _ in selector.select():
            data = partial.pop(key.fileobj, b"") + key.fileobj.recv(65536)
            if not _is_complete(data=data):
                partial[key.fileobj] = data
                continue
            refused += not data.startswith(OK)
            now = time.perf_counter()
            times.append(now - sent[key.fileobj])
            sent[key.fileobj] = now
            done += 1
            key.fileobj.sendall(request)
    elapsed = time.perf_counter() - started_at
    proxy.send("cpu")
    cpu_used = proxy.recv() - cpu
    return {
        "callers": callers,
        "requests_s": done / elapsed,
        "pressed_not_served": refused / done,
        "cpu_s_a_request": cpu_used / done,
        "busy": cpu_used / elapsed,
        "requests_a_core_s": done / cpu_used,
        "pressed_p50_s": statistics.median(times),
    }


def _exchange(*, sock: socket.socket, request: bytes) -> bool:
    """Send one request and read the answer; returns whether it was served."""
    sock.sendall(request)
    data = b""
    while not _is_complete(data=data):
        chunk = sock.recv(65536)
        if not chunk:
            raise RuntimeError("the connection ended")
        data += chunk
    return data.startswith(OK)


def _is_complete(*, data: bytes) -> bool:
    head, end, body = data.lower().partition(HEAD_END)
    length = re.search(rb"content-length: *(\d+)", head)
    return bool(end) and len(body) >= (int(length.group(1)) if length else 0)


def _make_request(*, path: str, headers: dict) -> bytes:
    lines = [
        f"GET {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
        "expect-instance: w",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def _percentile(*, values: list, part: int) -> float:
    return values[min(len(values) - 1, len(values) * part // 100)]


def _serve_worker(*, pipe) -> None:
    """Answer every request immediately, with the headers that a worker's answer must have."""
    selector, listener = selectors.DefaultSelector(), socket.create_server(("127.0.0.1", 0), backlog=256)
    selector.register(listener, selectors.EVENT_READ)
    pipe.send(listener.getsockname()[1])
    buffers: dict = {}
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(sock, selectors.EVENT_READ)
                buffers[sock] = b""
                continue
            sock, data = key.fileobj, b""
            with contextlib.suppress(OSError):
                data = sock.recv(65536)
            if not data:
                selector.unregister(sock)
                sock.close()
                continue
            buffers[sock] += data
            while HEAD_END in buffers[sock]:
                head, _, buffers[sock] = buffers[sock].partition(HEAD_END)
                headers = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
                sock.sendall(ANSWER % (headers.get(b"attempt-id", b""), headers.get(b"expect-instance", b"")))


def _serve_proxy(*, pipe, size: Size, worker_port: int) -> None:
    """Run a proxy as `run_proxy` builds it, with its state pushed directly instead of by a controller."""
    reactor = Reactor()
    host = Host(reactor=reactor)
    hosted = hosted_of(size=size, role="proxy", index=0, zones=zones_of(size=size))
    owner = Proxy(location=hosted.location, start=1, rng=random.Random(1), options=hosted.options)
    owner.control_client.followed_controller = CONTROLLER_ADDRESS
    rows = pushed_workers(size=size)
    for row in {part.split('"')[0] for part in rows.split('"address":"')[1:]}:
        rows = rows.replace(f'"{row}"', f'"127.0.0.1:{worker_port}"')
    for name, text in (
        ("config", config_text(size=size)),
        ("workers", rows),
        ("fleet", pushed_fleet(size=size, zones=zones_of(size=size))),
    ):
        owner.step(
            now=reactor.clock(),
            event=MessageReceived(sender=CONTROLLER_ADDRESS, body=make_push(name=name, number=1, text=text)),
        )
    front = HttpServer(
        reactor=reactor,
        address="127.0.0.1:0",
        name="front",
        deliver=host.deliver,
        limits=lambda: owner.context.plan.limits,
    )
    http_client = HttpClient(reactor=reactor, deliver=host.deliver, names=hosted.names)
    host.handlers = {
        Respond: lambda command: front.answer(command=command),
        StartCall: lambda command: http_client.start(call=command),
        SendMessage: lambda command: None,
        CancelCall: lambda command: http_client.cancel(token=command.token),
        WithdrawCall: lambda command: http_client.withdraw(token=command.token),
        CloseConnections: lambda command: http_client.close_connections(owner=command.owner),
    }

    def report_cpu() -> None:
        while pipe.poll():
            pipe.recv()
            pipe.send(time.process_time())
        reactor.call_later(delay=0.02, callback=report_cpu)

    report_cpu()
    pipe.send(front.port)
    host.run(step=owner.step)
