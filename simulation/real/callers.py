"""Simulated callers over HTTP: threads that send requests at a given rate."""

from __future__ import annotations

import http.client
import itertools
import json
import random
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from simulation.deployments import Deployment
from simulation.fake_worker import judge_body
from simulation.history import History

MAX_TRIES = 6
ANSWER_TIMEOUT = 8.0
"""s."""


class Callers:
    """All callers of a real fleet."""

    def __init__(self, *, deployment: Deployment, directories: list[str], history: History, seed: int) -> None:
        self._deployment, self._directories, self._history = deployment, directories, history
        self._rng = random.Random(seed)
        self._count = itertools.count(1)
        self._proxy_lists: dict[str, tuple[float, list]] = {}
        self._threads = ThreadPoolExecutor(max_workers=128)
        self._lock = threading.Lock()
        self._open = 0
        self._over = threading.Event()
        self.lag = 0.0

    def run(self, *, rate: float, seconds: float) -> None:
        """Send requests at this rate for this long, then wait for the last answers."""
        end = time.monotonic() + seconds
        send_at = time.monotonic()
        kinds = self._deployment.callers
        while send_at < end:
            send_at += self._rng.expovariate(rate)
            time.sleep(max(0.0, send_at - time.monotonic()))
            self.lag = max(self.lag, time.monotonic() - send_at)
            kind = self._rng.choices(kinds, weights=[one.traffic_share for one in kinds])[0]
            self._threads.submit(self._send_order, kind)
        self._threads.shutdown(wait=True)

    def _send_order(self, kind) -> None:
        number = next(self._count)
        part = f"part{number % kind.shard_keys}" if kind.shard_keys else ""
        nonce, key = f"n{number}", f"k{number}" if kind.unsafe else ""
        for try_number in range(1, MAX_TRIES + 1):
            pause = self._send(kind=kind, nonce=nonce, key=key, try_number=try_number, part=part)
            if pause is None:
                return
            time.sleep(0.02 if kind.retries_at_once else pause * self._rng.uniform(1.0, 1.5))

    def _list_proxies(self, *, region: str) -> list[str]:
        fetched_at, proxies = self._proxy_lists.get(region, (-1e9, []))
        if time.monotonic() - fetched_at < 1.0 and proxies:
            return proxies
        for directory in self._rng.sample(self._directories, len(self._directories)):
            try:
                code, _, body = send_request(
                    address=directory, method="GET", path=f"/proxies?region={region}&hall=&caller={self._rng.random()}"
                )
            except OSError:
                continue
            if code == 200:
                proxies = [row["address"] for row in json.loads(body)["proxies"]]
                self._proxy_lists[region] = (time.monotonic(), proxies)
                return proxies
        return proxies

    def _choose_proxy(self, *, proxies: list[str], try_number: int) -> str:
        proxy = self._rng.choice(proxies[:3] if try_number == 1 else proxies)
        if not is_listening(address=proxy):
            # nothing listens at this address: fail over to the next one on the list at once
            proxy = next((peer for peer in proxies if peer != proxy and is_listening(address=peer)), proxy)
        return proxy

    def _send(self, *, kind, nonce: str, key: str, try_number: int, part: str) -> float | None:
        proxies = self._list_proxies(region=kind.region)
        if not proxies:
            return 1.0
        proxy = self._choose_proxy(proxies=proxies, try_number=try_number)
        headers = {
            "Sailward-Tenant": kind.tenant,
            "X-Caller": nonce,
            "X-Caller-Try": str(try_number),
            "Sailward-Try": str(try_number),
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        request_fields = {
            "nonce": nonce,
            "key": key,
            "turn": try_number,
            "tenant": kind.tenant,
            "path": kind.path,
            "unsafe": kind.unsafe,
            "proxy": proxy,
        }
        started_at = time.monotonic()
        self._history.add(t=started_at, k="sent", region=kind.region, **request_fields)
        code, response_headers, body = 0, {}, b""
        fault, has_timed_out = "", False
        try:
            code, response_headers, body = send_request(
                address=proxy,
                method="POST" if kind.unsafe else "GET",
                headers=headers,
                path=f"{kind.path}/{part}?n={nonce}",
                body=b'{"lot": 1}' if kind.unsafe else b"",
            )
        except TimeoutError:
            has_timed_out = True
        except (OSError, http.client.HTTPException) as error:
            fault = type(error).__name__
        verdict = judge_body(code=code, body=body, nonce=nonce, path=kind.path) if code else ""
        reason = json.loads(body).get("error", "") if code >= 400 and body else fault
        self._history.add(
            t=time.monotonic(),
            k="got",
            code=code,
            ran=response_headers.get("sailward-ran", ""),
            verdict=verdict,
            reason=reason,
            held=has_timed_out,
            retry_after=response_headers.get("retry-after", ""),
            took=time.monotonic() - started_at,
            taken=fault != "ConnectionRefusedError",
            **request_fields,
        )
        if verdict == "good" or code in (400, 404, 405, 413, 422, 428):
            return None
        return float(response_headers.get("retry-after") or 1.0)


def is_listening(*, address: str) -> bool:
    """Whether the address accepts connections."""
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
        return True
    except OSError:
        return False


def send_request(
    *,
    address: str,
    method: str,
    path: str,
    headers: dict | None = None,
    body: bytes = b"",
    timeout: float = ANSWER_TIMEOUT,
) -> tuple[int, dict, bytes]:
    """Send an HTTP request and read the complete response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body or None, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
        return response.status, {name.lower(): value for name, value in response.getheaders()}, text
    finally:
        connection.close()
