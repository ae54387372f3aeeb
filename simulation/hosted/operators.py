"""Operators of the platform's kind: configurations and evacuations with retries, and what they know of versions."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sailward.events import Answer
from simulation.hosted.deployment import make_written
from simulation.hosted.network import Spot

if TYPE_CHECKING:
    from simulation.hosted.process import Process
    from simulation.hosted.world import World

ENDS = (400, 409, 412, 413, 422)
SILENCE, LARGE = 1.0, 100_000
"""s without an answer before the connection is closed and another daemon is asked, and bytes over which that is
doubled."""
ORDER_TIME = 5.0
"""s for which an order that is no configuration is sent again."""


@dataclass(kw_only=True)
class Version:
    """One configuration that was sent, and what became of it: open, acked, refused or unknown."""

    number: int
    base: int
    written: dict
    sent: float
    is_valid: bool = True
    outcome: str = "open"
    acked: float = float("inf")

    def routes(self) -> dict:
        """{(host, prefix): (services that may run it, homes)}."""
        found = {}
        for listener in self.written["listeners"]:
            for rule in listener["ruleset"]:
                verdict = rule["verdict"]
                split = verdict.get("split_to") or [{"service": verdict.get("service"), "weight": 1}]
                services = frozenset(one["service"] for one in split if one["weight"] > 0)
                found[(listener["hostname"], rule["matcher"]["path_prefix"])] = (
                    services,
                    frozenset(verdict.get("home_regions", ())),
                )
        return found


@dataclass(kw_only=True)
class Operator:
    """Owner of the orders. Each method begins one; the history shows how it ended."""

    world: World
    spot: Spot
    versions: dict = field(default_factory=dict)
    order: list = field(default_factory=list)
    weights: dict = field(default_factory=dict)
    dropped: tuple = ()
    added: int = 0
    emptied: set = field(default_factory=set)
    patience: float = SILENCE

    def newest(self) -> int:
        """The newest version that was acknowledged, 0 if none."""
        return max((one.number for one in self.versions.values() if one.outcome == "acked"), default=0)

    def put(
        self, *, number: int, base: int | None = None, spoil: Callable[[dict], None] | None = None, first: str = ""
    ) -> None:
        """Send a whole configuration as the operator now wants it; `spoil` makes it invalid."""
        written = make_written(
            deployment=self.world.deployment,
            number=number,
            weights=self.weights,
            dropped=self.dropped,
            added=self.added,
        )
        self._send(number=number, base=base, written=written, method="PUT", body=written, spoil=spoil, first=first)

    def patch(self, *, number: int, route: str, weights: dict, first: str = "") -> None:
        """Change one route by name."""
        self.weights = {**self.weights, route: weights}
        wanted = make_written(deployment=self.world.deployment, number=number, weights=self.weights)
        listener = next(one for one in wanted["listeners"] if any(rule["name"] == route for rule in one["ruleset"]))
        rule = next(rule for rule in listener["ruleset"] if rule["name"] == route)
        base = max((one for one in self.versions.values() if one.outcome == "acked"), key=lambda one: one.number)
        # all that the patch does not name stays as it is in the version that it builds on
        written = {**copy.deepcopy(base.written), "generation": wanted["generation"]}
        for one in written["listeners"]:
            one["ruleset"] = [rule if old["name"] == route else old for old in one["ruleset"]]
        body = {
            "generation": written["generation"],
            "upsert": {"listeners": [{"hostname": listener["hostname"], "ruleset": [rule]}]},
        }
        self._send(number=number, base=base.number, written=written, method="PATCH", body=body, spoil=None, first=first)

    def evacuate(self, *, zone: str, is_back: bool = False) -> None:
        """Empty a zone, or take it back."""
        world, begun = self.world, self.world.clock.now
        kind = "refill" if is_back else "empty"

        def end(code: int) -> None:
            world.history.add(t=world.clock.now, k="ordered", kind=kind, zone=zone, code=code, begun=begun)
            if code == 200:
                self.emptied = self.emptied - {zone} if is_back else self.emptied | {zone}

        if is_back:
            # from the sending on nothing is promised of it any more
            world.history.add(t=begun, k="refilling", zone=zone)
        self._call(
            method="DELETE" if is_back else "POST",
            path=f"/evacuation/{zone}",
            headers={},
            body=b"",
            until=begun + ORDER_TIME,
            done=end,
        )

    def read_back(self, *, where: str = "") -> None:
        """Read the newest configuration."""
        world, begun = self.world, self.world.clock.now

        def end(code: int, body: bytes = b"") -> None:
            world.history.add(
                t=world.clock.now,
                k="read-back",
                code=code,
                begun=begun,
                written=json.loads(body) if code == 200 else None,
            )

        self._call(
            method="GET",
            path="/config",
            headers={},
            body=b"",
            until=begun + world.deployment.bounds["contact_s"] + 2.0,
            done=end,
            first=where,
            wants_body=True,
        )

    def _send(
        self,
        *,
        number: int,
        base: int | None,
        written: dict,
        method: str,
        body: dict,
        spoil: Callable | None,
        first: str,
    ) -> None:
        world = self.world
        base = self.newest() if base is None else base
        if spoil:
            written = copy.deepcopy(written)
            spoil(written)
            body = written
        key = (number, len(self.versions))
        version = self.versions[key] = Version(
            number=number, base=base, written=written, sent=world.clock.now, is_valid=spoil is None
        )
        world.history.add(t=world.clock.now, k="config-sent", number=number, base=base, valid=version.is_valid)

        def end(code: int) -> None:
            version.outcome = "acked" if code == 200 else "refused" if code in ENDS else "unknown"
            version.acked = world.clock.now if code == 200 else float("inf")
            world.history.add(
                t=world.clock.now,
                k="config-ended",
                number=number,
                base=base,
                code=code,
                valid=version.is_valid,
                begun=version.sent,
            )
            if code == 200:
                world.acknowledged()

        headers = {"if-match": f"r{base}" if base else "0", "content-type": "application/json"}
        self._call(
            method=method,
            path="/config",
            headers=headers,
            body=json.dumps(body).encode(),
            until=float("inf"),
            done=end,
            first=first,
        )

    def _call(
        self,
        *,
        method: str,
        path: str,
        headers: dict,
        body: bytes,
        until: float,
        done: Callable,
        first: str = "",
        wants_body: bool = False,
    ) -> None:
        world = self.world
        state = {"turn": 0, "odd": 0}

        def go(process: Process | None) -> None:
            settled = []

            def give_up() -> None:
                if not settled:
                    world.history.add(t=world.clock.now, k="operator-left", method=method, path=path)
                    leave()
                    take(None)

            def take(answer: Answer | None) -> None:
                if settled:
                    return
                settled.append(1)
                code = answer.code if answer is not None else 0
                state["odd"] += 400 <= code < 500 and code not in (*ENDS, 408, 429)
                if 200 <= code < 300 or code in ENDS or state["odd"] >= 3:
                    done(code, answer.body) if wants_body else done(code)
                    return
                state["turn"] += 1
                pause = min(1.0, 0.1 * 1.6 ** state["turn"])
                if world.clock.now + pause >= min(until, world.end):
                    done(0)
                    return
                world.clock.after(pause, lambda: go(self._pick(avoid=process)))

            leave = world.exchange(
                spot=self.spot,
                process=process,
                edge="desk",
                path=path,
                method=method,
                headers=headers,
                body=body,
                query={},
                done=take,
            )
            world.clock.after(self.patience * (2 if len(body) > LARGE else 1), give_up)

        start = next((one for one in self._listed() if one.machine.spot.name == first), None)
        go(start or self._pick(avoid=None))

    def _listed(self) -> list:
        now, lag = self.world.clock.now, self.world.deployment.bounds["seed_lag_s"]
        return [
            one
            for one in self.world.controllers()
            if one.machine.listed_from <= now and now <= one.machine.listed_until + lag
        ]

    def _pick(self, *, avoid: Process | None) -> Process | None:
        choice = [one for one in self._listed() if one is not avoid]
        return self.world.rng.choice(choice) if choice else None
