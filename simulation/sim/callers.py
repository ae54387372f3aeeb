"""The callers' stand-in: asks a directory for proxies, sends, judges the result, comes back when told."""

from __future__ import annotations

import itertools
import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sailward.events import RequestReceived, Respond
from simulation.deployments import CallerKind
from simulation.mind import judge_body

if TYPE_CHECKING:
    from simulation.sim.world import World

PATIENCE = 8.0
MOST_TRIES = 6


@dataclass(kw_only=True)
class Order:
    """What one caller wants once."""

    kind: CallerKind
    nonce: str
    key: str
    hot: str = ""
    turn: int = 0


class Callers:
    """All callers of one fleet."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._rng = random.Random(f"{world.seed}/callers")
        self._count = itertools.count(1)
        self._known: dict[str, tuple[float, list]] = {}
        self.rate = 0.0
        self.only: str = ""
        self.storm = 0.0
        self.losing = 0.0
        self.floods: dict = {}

    def set_rate(self, *, rate: float) -> None:
        """From now on this many orders a second; 0 for none."""
        begin, self.rate = self.rate == 0 and rate > 0, rate
        if begin:
            self._next()

    def order(
        self,
        *,
        kind: CallerKind,
        key: str = "",
        proxy: str = "",
        turn: int = 0,
        nonce: str = "",
        most: int | None = None,
    ) -> Order:
        """One order, at once."""
        number = next(self._count)
        order = Order(
            kind=kind,
            nonce=nonce or f"n{number}",
            key=key or (f"k{number}" if kind.unsafe else ""),
            turn=turn,
            hot=self._part(kind=kind, key=key),
        )
        self._send(order=order, proxy=proxy, most=MOST_TRIES if most is None else most)
        return order

    def flood(self, *, kind: CallerKind, hot: str, rate: float) -> None:
        """From now on one more stream of orders, none of them repeated; 0 ends it."""
        name = (kind.tenant, kind.path)
        begin, self.floods[name] = not self.floods.get(name) and rate > 0, rate
        if begin:
            self._fill(kind=kind, hot=hot)

    def _fill(self, *, kind: CallerKind, hot: str) -> None:
        rate = self.floods[(kind.tenant, kind.path)]
        if rate <= 0:
            return
        number = next(self._count)
        part = hot or (f"part{self._rng.randrange(kind.keys)}" if kind.keys else "")
        order = Order(kind=kind, nonce=f"f{number}", key=f"f{number}" if kind.unsafe else "", hot=part)
        self._send(order=order, proxy="", most=1)
        self._world.clock.after(self._rng.expovariate(rate), lambda: self._fill(kind=kind, hot=hot))

    def _part(self, *, kind: CallerKind, key: str) -> str:
        if not kind.keys:
            return ""
        # repeats of one order are for one key
        return f"part{(sum(key.encode()) if key else self._rng.randrange(10**6)) % kind.keys}"

    def _next(self) -> None:
        if self.rate <= 0:
            return
        kinds = self._world.deployment.callers
        kind = self._rng.choices(kinds, weights=[one.part for one in kinds])[0]
        self.order(kind=kind)
        self._world.clock.after(self._rng.expovariate(self.rate), self._next)

    def _proxies(self, *, region: str) -> list[str]:
        now = self._world.clock.now
        at, known = self._known.get(region, (-1e9, []))
        if now - at < 1.0 and known:
            return known
        nodes = [node for node in self._world.nodes.values() if node.location.kind == "directory"]
        self._rng.shuffle(nodes)
        for node in nodes:
            if not node.up:
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
            node.ask(event=event, answer=answers.append)
            if answers and answers[0] is not None and answers[0].code == 200:
                known = [row["address"] for row in json.loads(answers[0].body)["proxies"]]
                self._known[region] = (now, known)
                return known
        return known

    def _choose(self, *, order: Order) -> str:
        """The address of the proxy that the order goes to next, "" if none is known."""
        known = self._proxies(region=order.kind.region)
        if not known:
            return ""
        proxy = self._rng.choice(known[:3]) if order.turn == 0 else self._rng.choice(known)
        if self._world.by_http[proxy].owner is not None:
            return proxy
        # nobody listens there: the next address on the list, at once
        return next((address for address in known if self._world.by_http[address].owner is not None), proxy)

    def _send(self, *, order: Order, proxy: str, most: int) -> None:
        world = self._world
        proxy = proxy or self._choose(order=order)
        if not proxy:
            self._again(order=order, most=most - 1, wait=1.0)
            return
        order.turn += 1
        node = world.by_http.get(proxy)
        token = f"x {order.nonce} {order.turn} {next(self._count)}"
        headers = {
            "sailward-tenant": order.kind.tenant,
            "x-caller": order.nonce,
            "x-caller-try": str(order.turn),
            "sailward-try": str(order.turn),
            "content-type": "application/json",
        }
        if order.key:
            headers["idempotency-key"] = order.key
        event = RequestReceived(
            token=token,
            method="POST" if order.kind.unsafe else "GET",
            path=f"{order.kind.path}/{order.hot}",
            query={"n": order.nonce},
            headers=headers,
            body=b'{"lot": 1}' if order.kind.unsafe else b"",
        )
        world.history.add(
            t=world.clock.now,
            k="sent",
            nonce=order.nonce,
            key=order.key,
            turn=order.turn,
            tenant=order.kind.tenant,
            path=order.kind.path,
            unsafe=order.kind.unsafe,
            proxy=node.location.name,
            region=order.kind.region,
        )
        ended: list = []
        refused: list = []

        def got(answer: Respond | None) -> None:
            if ended:
                return
            ended.append(1)
            world.clock.after(
                self._delay(),
                lambda: self._got(order=order, answer=answer, proxy=node.location.name, most=most, taken=not refused),
            )

        def arrive() -> None:
            if node.owner is None:
                refused.append(1)
            node.ask(event=event, answer=got)

        world.clock.after(self._delay(), arrive)

        def wait_out() -> None:
            if not ended:
                ended.append(1)
                self._got(order=order, answer=None, proxy=node.location.name, most=most, held=True)

        world.clock.after(PATIENCE, wait_out)

    def _delay(self) -> float:
        return self._rng.uniform(0.0003, 0.003)

    def _got(
        self, *, order: Order, answer: Respond | None, proxy: str, most: int, held: bool = False, taken: bool = True
    ) -> None:
        world = self._world
        if answer and self._rng.random() < self.losing:
            answer, taken = None, False
        code = answer.code if answer else 0
        verdict = judge_body(code=code, body=answer.body, nonce=order.nonce, path=order.kind.path) if answer else ""
        seen = {}
        if answer and code >= 400:
            try:
                seen = json.loads(answer.body)
            except ValueError:
                seen = {}
        headers = {name.lower(): value for name, value in answer.headers.items()} if answer else {}
        world.history.add(
            t=world.clock.now,
            k="got",
            nonce=order.nonce,
            key=order.key,
            turn=order.turn,
            code=code,
            tenant=order.kind.tenant,
            path=order.kind.path,
            unsafe=order.kind.unsafe,
            proxy=proxy,
            ran=headers.get("sailward-ran", ""),
            verdict=verdict,
            reason=seen.get("error", ""),
            held=held,
            taken=taken,
            part=order.hot,
            stream=order.nonce[0],
            retry_after=headers.get("retry-after", ""),
            worker=self._worker(answer=answer),
        )
        if verdict == "good" or code in (400, 404, 405, 413, 422, 428):
            return
        eager = order.kind.eager or self._rng.random() < self.storm
        wait = 0.02 if eager else float(headers.get("retry-after") or 1.0) * self._rng.uniform(1.0, 1.5)
        self._again(order=order, most=most, wait=wait)

    def _worker(self, *, answer: Respond | None) -> str:
        try:
            return json.loads(answer.body).get("worker", "") if answer and answer.code < 400 else ""
        except (ValueError, AttributeError):
            return ""

    def _again(self, *, order: Order, most: int, wait: float) -> None:
        if order.turn < most:
            self._world.clock.after(wait, lambda: self._send(order=order, proxy="", most=most))
