"""The callers' stand-in over HTTP: threads that order at a given rate."""

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

MOST_TRIES = 6
PATIENCE = 8.0


class Callers:
    """All callers of a real fleet."""

    def __init__(self, *, deployment: Deployment, directories: list[str], history: History, seed: int) -> None:
        self._deployment, self._directories, self._history = deployment, directories, history
        self._rng = random.Random(seed)
        self._count = itertools.count(1)
        self._known: dict[str, tuple[float, list]] = {}
        self._threads = ThreadPoolExecutor(max_workers=128)
        self._lock = threading.Lock()
        self._open = 0
        self._over = threading.Event()
        self.lag = 0.0

    def run(self, *, rate: float, seconds: float) -> None:
        """Order at this rate for so long, then wait for the last results."""
        end = time.monotonic() + seconds
        at = time.monotonic()
        kinds = self._deployment.callers
        while at < end:
            at += self._rng.expovariate(rate)
            time.sleep(max(0.0, at - time.monotonic()))
            self.lag = max(self.lag, time.monotonic() - at)
            kind = self._rng.choices(kinds, weights=[one.traffic_share for one in kinds])[0]
            self._threads.submit(self._order, kind)
        self._threads.shutdown(wait=True)

    def _order(self, kind) -> None:
        number = next(self._count)
        part = f"part{number % kind.shard_keys}" if kind.shard_keys else ""
        nonce, key = f"n{number}", f"k{number}" if kind.unsafe else ""
        for turn in range(1, MOST_TRIES + 1):
            wait = self._send(kind=kind, nonce=nonce, key=key, turn=turn, part=part)
            if wait is None:
                return
            time.sleep(0.02 if kind.retries_at_once else wait * self._rng.uniform(1.0, 1.5))

    def _proxies(self, *, region: str) -> list[str]:
        at, known = self._known.get(region, (-1e9, []))
        if time.monotonic() - at < 1.0 and known:
            return known
        for directory in self._rng.sample(self._directories, len(self._directories)):
            try:
                code, _, body = ask(
                    address=directory, method="GET", path=f"/proxies?region={region}&hall=&caller={self._rng.random()}"
                )
            except OSError:
                continue
            if code == 200:
                known = [row["address"] for row in json.loads(body)["proxies"]]
                self._known[region] = (time.monotonic(), known)
                return known
        return known

    def _choose(self, *, known: list[str], turn: int) -> str:
        proxy = self._rng.choice(known[:3] if turn == 1 else known)
        if not is_open(address=proxy):
            # nobody listens there: the next address on the list, at once
            proxy = next((peer for peer in known if peer != proxy and is_open(address=peer)), proxy)
        return proxy

    def _send(self, *, kind, nonce: str, key: str, turn: int, part: str) -> float | None:
        known = self._proxies(region=kind.region)
        if not known:
            return 1.0
        proxy = self._choose(known=known, turn=turn)
        headers = {
            "Sailward-Tenant": kind.tenant,
            "X-Caller": nonce,
            "X-Caller-Try": str(turn),
            "Sailward-Try": str(turn),
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        common = {
            "nonce": nonce,
            "key": key,
            "turn": turn,
            "tenant": kind.tenant,
            "path": kind.path,
            "unsafe": kind.unsafe,
            "proxy": proxy,
        }
        began = time.monotonic()
        self._history.add(t=began, k="sent", region=kind.region, **common)
        code, seen, body = 0, {}, b""
        held = fault = ""
        try:
            code, seen, body = ask(
                address=proxy,
                method="POST" if kind.unsafe else "GET",
                headers=headers,
                path=f"{kind.path}/{part}?n={nonce}",
                body=b'{"lot": 1}' if kind.unsafe else b"",
            )
        except TimeoutError:
            held = "held"
        except (OSError, http.client.HTTPException) as error:
            fault = type(error).__name__
        verdict = judge_body(code=code, body=body, nonce=nonce, path=kind.path) if code else ""
        reason = json.loads(body).get("error", "") if code >= 400 and body else fault
        self._history.add(
            t=time.monotonic(),
            k="got",
            code=code,
            ran=seen.get("sailward-ran", ""),
            verdict=verdict,
            reason=reason,
            held=bool(held),
            retry_after=seen.get("retry-after", ""),
            took=time.monotonic() - began,
            taken=fault != "ConnectionRefusedError",
            **common,
        )
        if verdict == "good" or code in (400, 404, 405, 413, 422, 428):
            return None
        return float(seen.get("retry-after") or 1.0)


def is_open(*, address: str) -> bool:
    """Does anybody listen there?"""
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
        return True
    except OSError:
        return False


def ask(
    *, address: str, method: str, path: str, headers: dict | None = None, body: bytes = b"", wait: float = PATIENCE
) -> tuple[int, dict, bytes]:
    """One HTTP exchange, read whole."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=wait)
    try:
        connection.request(method, path, body=body or None, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
        return response.status, {name.lower(): value for name, value in response.getheaders()}, text
    finally:
        connection.close()
