"""Simulated callers: ask a directory for proxies, send requests, check the results and retry after `Retry-After`."""

from __future__ import annotations

import itertools
import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sailward.events import RequestReceived, Respond
from simulation.deployments import CallerKind
from simulation.fake_worker import judge_body

if TYPE_CHECKING:
    from simulation.sim.world import World

ANSWER_TIMEOUT = 8.0
"""s that a caller waits for an answer."""
MAX_TRIES = 6
"""Tries of one order, the first included."""


@dataclass(kw_only=True)
class Order:
    """One logical request of a caller, over all of its tries; `try_number` is that of the last try sent."""

    kind: CallerKind
    nonce: str
    key: str
    shard_key: str = ""
    try_number: int = 0


class Callers:
    """All callers of one fleet, with open-loop arrivals."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._rng = random.Random(f"{world.seed}/callers")
        self._count = itertools.count(1)
        self._known: dict[str, tuple[float, list]] = {}
        self.rate = 0.0
        self.immediate_retry_share = 0.0
        self.lost_answer_share = 0.0
        self.flood_rates: dict = {}

    def set_rate(self, *, rate: float) -> None:
        """Set the rate of new orders per second; 0 stops them."""
        is_starting, self.rate = self.rate == 0 and rate > 0, rate
        if is_starting:
            self._send_next()

    def order(
        self,
        *,
        kind: CallerKind,
        key: str = "",
        proxy: str = "",
        try_number: int = 0,
        nonce: str = "",
        max_tries: int | None = None,
    ) -> Order:
        """Send one order at once; the order is retried up to `max_tries`."""
        number = next(self._count)
        order = Order(
            kind=kind,
            nonce=nonce or f"n{number}",
            key=key or (f"k{number}" if kind.unsafe else ""),
            try_number=try_number,
            shard_key=self._choose_shard_key(kind=kind, key=key),
        )
        self._send(order=order, proxy=proxy, max_tries=MAX_TRIES if max_tries is None else max_tries)
        return order

    def flood(self, *, kind: CallerKind, shard_key: str, rate: float) -> None:
        """Add a stream of orders that are never retried, at `rate` per second; a rate of 0 ends it."""
        name = (kind.tenant, kind.path)
        is_starting, self.flood_rates[name] = not self.flood_rates.get(name) and rate > 0, rate
        if is_starting:
            self._send_flood(kind=kind, shard_key=shard_key)

    def _send_flood(self, *, kind: CallerKind, shard_key: str) -> None:
        rate = self.flood_rates[(kind.tenant, kind.path)]
        if rate <= 0:
            return
        number = next(self._count)
        shard_key = shard_key or (f"part{self._rng.randrange(kind.shard_keys)}" if kind.shard_keys else "")
        order = Order(kind=kind, nonce=f"f{number}", key=f"f{number}" if kind.unsafe else "", shard_key=shard_key)
        self._send(order=order, proxy="", max_tries=1)
        self._world.clock.after(self._rng.expovariate(rate), lambda: self._send_flood(kind=kind, shard_key=shard_key))

    def _choose_shard_key(self, *, kind: CallerKind, key: str) -> str:
        if not kind.shard_keys:
            return ""
        # retries of one order use the same shard key
        return f"part{(sum(key.encode()) if key else self._rng.randrange(10**6)) % kind.shard_keys}"

    def _send_next(self) -> None:
        if self.rate <= 0:
            return
        kinds = self._world.deployment.callers
        kind = self._rng.choices(kinds, weights=[kind.traffic_share for kind in kinds])[0]
        self.order(kind=kind)
        self._world.clock.after(self._rng.expovariate(self.rate), self._send_next)

    def _proxies(self, *, region: str) -> list[str]:
        now = self._world.clock.now
        at, known = self._known.get(region, (-1e9, []))
        if now - at < 1.0 and known:
            return known
        nodes = [node for node in self._world.nodes.values() if node.location.kind == "directory"]
        self._rng.shuffle(nodes)
        for node in nodes:
            if not node.is_up:
                continue
            answers: list[Respond | None] = []
            event = RequestReceived(
                token=f"ask {next(self._count)}",
                method="GET",
                path="/proxies",
                headers={},
                body=b"",
                query={"region": region, "hall": "", "caller": str(self._rng.random())},
            )
            node.receive_request(event=event, answer=answers.append)
            if answers and answers[0] is not None and answers[0].code == 200:
                known = [row["address"] for row in json.loads(answers[0].body)["proxies"]]
                self._known[region] = (now, known)
                return known
        return known

    def _choose(self, *, order: Order) -> str:
        """The address of the proxy for the order's next try, "" if no proxy is known."""
        known = self._proxies(region=order.kind.region)
        if not known:
            return ""
        proxy = self._rng.choice(known[:3]) if order.try_number == 0 else self._rng.choice(known)
        if self._world.by_http[proxy].owner is not None:
            return proxy
        # connection refused: use the next address on the list at once
        return next((address for address in known if self._world.by_http[address].owner is not None), proxy)

    def _send(self, *, order: Order, proxy: str, max_tries: int) -> None:
        world = self._world
        proxy = proxy or self._choose(order=order)
        if not proxy:
            self._retry_later(order=order, max_tries=max_tries - 1, wait=1.0)
            return
        order.try_number += 1
        node = world.by_http.get(proxy)
        token = f"x {order.nonce} {order.try_number} {next(self._count)}"
        headers = {
            "sailward-tenant": order.kind.tenant,
            "x-caller": order.nonce,
            "x-caller-try": str(order.try_number),
            "sailward-try": str(order.try_number),
            "content-type": "application/json",
        }
        if order.key:
            headers["idempotency-key"] = order.key
        event = RequestReceived(
            token=token,
            method="POST" if order.kind.unsafe else "GET",
            path=f"{order.kind.path}/{order.shard_key}",
            query={"n": order.nonce},
            headers=headers,
            body=b'{"lot": 1}' if order.kind.unsafe else b"",
        )
        world.history.add(
            t=world.clock.now,
            k="sent",
            nonce=order.nonce,
            key=order.key,
            turn=order.try_number,
            tenant=order.kind.tenant,
            path=order.kind.path,
            unsafe=order.kind.unsafe,
            proxy=node.location.name,
            region=order.kind.region,
        )
        finished: list = []
        refused: list = []

        def receive_answer(answer: Respond | None) -> None:
            if finished:
                return
            finished.append(1)
            world.clock.after(
                self._delay(),
                lambda: self._on_answer(
                    order=order, answer=answer, proxy=node.location.name, max_tries=max_tries, is_accepted=not refused
                ),
            )

        def deliver_request() -> None:
            if node.owner is None:
                refused.append(1)
            node.receive_request(event=event, answer=receive_answer)

        world.clock.after(self._delay(), deliver_request)

        def time_out() -> None:
            if not finished:
                finished.append(1)
                self._on_answer(
                    order=order, answer=None, proxy=node.location.name, max_tries=max_tries, is_timed_out=True
                )

        world.clock.after(ANSWER_TIMEOUT, time_out)

    def _delay(self) -> float:
        return self._rng.uniform(0.0003, 0.003)

    def _on_answer(
        self,
        *,
        order: Order,
        answer: Respond | None,
        proxy: str,
        max_tries: int,
        is_timed_out: bool = False,
        is_accepted: bool = True,
    ) -> None:
        world = self._world
        if answer and self._rng.random() < self.lost_answer_share:
            answer, is_accepted = None, False
        code = answer.code if answer else 0
        verdict = judge_body(code=code, body=answer.body, nonce=order.nonce, path=order.kind.path) if answer else ""
        error_body = {}
        if answer and code >= 400:
            try:
                error_body = json.loads(answer.body)
            except ValueError:
                error_body = {}
        headers = {name.lower(): value for name, value in answer.headers.items()} if answer else {}
        world.history.add(
            t=world.clock.now,
            k="got",
            nonce=order.nonce,
            key=order.key,
            turn=order.try_number,
            code=code,
            tenant=order.kind.tenant,
            path=order.kind.path,
            unsafe=order.kind.unsafe,
            proxy=proxy,
            ran=headers.get("sailward-ran", ""),
            verdict=verdict,
            reason=error_body.get("error", ""),
            held=is_timed_out,
            taken=is_accepted,
            part=order.shard_key,
            stream=order.nonce[0],
            retry_after=headers.get("retry-after", ""),
            worker=self._worker(answer=answer),
        )
        if verdict == "good" or code in (400, 404, 405, 413, 422, 428):
            return
        retries_at_once = order.kind.retries_at_once or self._rng.random() < self.immediate_retry_share
        wait = 0.02 if retries_at_once else float(headers.get("retry-after") or 1.0) * self._rng.uniform(1.0, 1.5)
        self._retry_later(order=order, max_tries=max_tries, wait=wait)

    def _worker(self, *, answer: Respond | None) -> str:
        try:
            return json.loads(answer.body).get("worker", "") if answer and answer.code < 400 else ""
        except (ValueError, AttributeError):
            return ""

    def _retry_later(self, *, order: Order, max_tries: int, wait: float) -> None:
        if order.try_number < max_tries:
            self._world.clock.after(wait, lambda: self._send(order=order, proxy="", max_tries=max_tries))
