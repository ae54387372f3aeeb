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


@dataclass(frozen=True, kw_only=True)
class Sending:
    """How an order is sent: to the machine `first`, with `only` to no other.

    With `again`, its first acknowledgement is lost, and it is sent again so many s later.
    """

    first: str = ""
    only: bool = False
    again: float = 0.0


@dataclass(kw_only=True)
class Version:
    """One configuration that was sent, and what became of it: open, acked, refused or unknown."""

    number: int
    base: int
    written: dict
    sent: float
    is_valid: bool = True
    outcome: str = "open"
    taken: float = float("inf")
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
    deadlines: dict = field(default_factory=dict)
    idle: float = 15
    patience: float = SILENCE
    ack_loss: tuple = (0.0, 0.0)
    emptied: set = field(default_factory=set)

    def newest(self) -> int:
        """The newest version that was acknowledged, 0 if none."""
        return max((one.number for one in self.versions.values() if one.outcome == "acked"), default=0)

    def put(
        self,
        *,
        number: int,
        base: int | None = None,
        spoil: Callable[[dict], None] | None = None,
        spoil_body: Callable[[bytes], bytes] | None = None,
        how: Sending | None = None,
    ) -> None:
        """Send a whole configuration as the operator now wants it; `spoil` and `spoil_body` make it invalid."""
        self._send(
            number=number,
            base=base,
            written=self._wanted(number=number),
            method="PUT",
            body=None,
            spoil=spoil,
            spoil_body=spoil_body,
            how=how,
        )

    def older(self) -> int:
        """The version that was acknowledged before the newest."""
        acked = sorted(one.number for one in self.versions.values() if one.outcome == "acked")
        return acked[-2] if len(acked) > 1 else 0

    def _wanted(self, *, number: int) -> dict:
        return make_written(
            deployment=self.world.deployment,
            number=number,
            weights=self.weights,
            dropped=self.dropped,
            added=self.added,
            deadlines=self.deadlines,
            idle=self.idle,
        )

    def patch(
        self, *, number: int, route: str, weights: dict, how: Sending | None = None, informed: bool = False
    ) -> None:
        """Change one route by name; `informed`: on top of what was taken, acknowledged to this operator or not."""
        self.weights = {**self.weights, route: weights}
        wanted = self._wanted(number=number)
        listener = next(one for one in wanted["listeners"] if any(rule["name"] == route for rule in one["ruleset"]))
        rule = next(rule for rule in listener["ruleset"] if rule["name"] == route)
        base = max(
            (
                one
                for one in self.versions.values()
                if one.outcome == "acked" or (informed and one.taken < float("inf"))
            ),
            key=lambda one: one.number,
        )
        # all that the patch does not name stays as it is in the version that it builds on
        written = {**copy.deepcopy(base.written), "generation": wanted["generation"]}
        for one in written["listeners"]:
            one["ruleset"] = [rule if old["name"] == route else old for old in one["ruleset"]]
        body = {
            "generation": written["generation"],
            "upsert": {"listeners": [{"hostname": listener["hostname"], "ruleset": [rule]}]},
        }
        self._send(
            number=number,
            base=base.number,
            written=written,
            method="PATCH",
            body=body,
            spoil=None,
            spoil_body=None,
            how=how,
        )

    def evacuate(self, *, zone: str, is_back: bool = False) -> None:
        """Empty a zone, or take it back."""
        world, begun = self.world, self.world.clock.now
        kind = "refill" if is_back else "empty"

        def end(code: int) -> None:
            world.history.add(t=world.clock.now, k="ordered", kind=kind, zone=zone, code=code, begun=begun)
            if is_back:
                # one of its sendings may have taken effect only now
                world.history.add(t=world.clock.now, k="refilling", zone=zone)
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

    def read_back(self, *, where: str = "", row: str = "read-back") -> None:
        """Read the newest configuration; `row` is what the history calls it."""
        world, begun = self.world, self.world.clock.now

        def end(code: int, body: bytes = b"") -> None:
            world.history.add(
                t=world.clock.now,
                k=row,
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
            how=Sending(first=where),
            wants_body=True,
        )

    def _send(
        self,
        *,
        number: int,
        base: int | None,
        written: dict,
        method: str,
        body: dict | None,
        spoil: Callable | None,
        spoil_body: Callable | None,
        how: Sending | None,
    ) -> None:
        world = self.world
        base = self.newest() if base is None else base
        if spoil:
            written = copy.deepcopy(written)
            spoil(written)
        body = written if body is None else body
        key = (number, len(self.versions))
        version = self.versions[key] = Version(
            number=number, base=base, written=written, sent=world.clock.now, is_valid=spoil is spoil_body is None
        )
        world.history.add(t=world.clock.now, k="config-sent", number=number, base=base, valid=version.is_valid)

        again = how.again if how else 0.0

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
                waits_from=version.sent + (again + SILENCE if again else 0.0),
            )
            if code == 200:
                world.acknowledged()

        def made(answer: Answer) -> None:
            now = world.clock.now
            if answer.code == 200:
                version.taken = min(version.taken, now)
            elif answer.code in ENDS and version.taken < float("inf"):
                world.history.add(t=now, k="refused-taken", number=number, base=base, code=answer.code)

        world.happens(moment="sent")
        text = json.dumps(body).encode()
        headers = {"if-match": f"r{base}" if base else "0", "content-type": "application/json"}
        self._call(
            method=method,
            path="/config",
            headers=headers,
            body=spoil_body(text) if spoil_body else text,
            until=float("inf"),
            done=end,
            how=how,
            made=made,
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
        how: Sending | None = None,
        wants_body: bool = False,
        made: Callable | None = None,
    ) -> None:
        world, how = self.world, how or Sending()
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
                is_late = bool(how.again) and state["turn"] == 0
                is_ack = answer is not None and 200 <= answer.code < 300 and method != "GET"
                if is_ack and (is_late or self._loses_ack()):
                    world.count["late-orders"] += is_late
                    return
                settled.append(1)
                code = answer.code if answer is not None else 0
                state["odd"] += 400 <= code < 500 and code not in (*ENDS, 408, 429)
                if 200 <= code < 300 or code in ENDS or state["odd"] >= 3:
                    done(code, answer.body) if wants_body else done(code)
                    return
                state["turn"] += 1
                pause = how.again if is_late else min(1.0, 0.1 * 1.6 ** state["turn"])
                if world.clock.now + pause >= min(until, world.end):
                    done(0)
                    return
                world.clock.after(pause, lambda: go(process if how.only else self._pick(avoid=process)))

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
                made=made,
            )
            world.clock.after(self.patience * (2 if len(body) > LARGE else 1), give_up)

        start = next((one for one in self._listed() if one.machine.spot.name == how.first), None)
        go(start or self._pick(avoid=None))

    def _loses_ack(self) -> bool:
        share, until = self.ack_loss
        is_lost = self.world.clock.now < until and self.world.rng.random() < share
        self.world.count["acks-lost"] += is_lost
        return is_lost

    def _listed(self) -> list:
        now, lag = self.world.clock.now, self.world.deployment.bounds["seed_lag_s"]
        return [
            one for one in self.world.controllers() if one.machine.listed_from <= now <= one.machine.listed_until + lag
        ]

    def _pick(self, *, avoid: Process | None) -> Process | None:
        choice = [one for one in self._listed() if one is not avoid]
        return self.world.rng.choice(choice) if choice else None
