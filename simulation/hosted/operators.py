"""Simulated operators: they send configurations and evacuations with retries, and keep track of versions."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sailward.events import Respond
from simulation.hosted.deployment import make_written
from simulation.hosted.environment import Environment
from simulation.hosted.network import Node
from simulation.hosted.operator_call import ENDS, OperatorCall

if TYPE_CHECKING:
    from simulation.hosted.process import Process

SILENCE = 1.0
"""s without a response before the operator closes the connection and asks another daemon."""
AT_ONCE = 8
"""Edits that may be in flight at once."""
ORDER_TIME = 5.0
"""s for which a call other than a change of the configuration is retried."""


@dataclass(frozen=True, kw_only=True)
class Sending:
    """How an order is sent: first to the machine `first`, with `only` to no other machine.

    If `again` is set, the first acknowledgement is lost, and the order is sent again `again` s later.
    """

    first: str = ""
    only: bool = False
    again: float = 0.0


@dataclass(kw_only=True)
class Version:
    """One configuration that was sent, and its outcome: open, acked, refused or unknown.

    `taken` is when a controller first acknowledged it, whether or not the operator received that; `ended` and `code`
    are the time and the status of its final response; `lost` counts the acknowledgements that never reached the
    operator.
    """

    number: int
    base: int
    written: dict
    sent: float
    is_valid: bool = True
    outcome: str = "open"
    acked: float = float("inf")
    taken: float = float("inf")
    ended: float = float("inf")
    code: int = 0
    lost: int = 0

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
    """Owner of the orders. Each method begins an order; the history shows how it ended."""

    world: Environment
    node: Node
    versions: dict = field(default_factory=dict)
    order: list = field(default_factory=list)
    weights: dict = field(default_factory=dict)
    dropped: tuple = ()
    added: int = 0
    deadlines: dict = field(default_factory=dict)
    idle: float = 15
    emptied: set = field(default_factory=set)
    patience: float = SILENCE
    lost_share: float = 0.0
    under_way: int = 0

    def __post_init__(self) -> None:
        self._rng = random.Random(f"{self.world.seed}/operator")

    def newest(self) -> int:
        """The newest version that was acknowledged, 0 if there is none."""
        return max((version.number for version in self.versions.values() if version.outcome == "acked"), default=0)

    def older(self) -> int:
        """The version that was acknowledged before the newest."""
        acked = sorted(version.number for version in self.versions.values() if version.outcome == "acked")
        return acked[-2] if len(acked) > 1 else 0

    def put(
        self,
        *,
        number: int,
        base: int | None = None,
        spoil: Callable[[dict], None] | None = None,
        spoil_body: Callable[[bytes], bytes] | None = None,
        how: Sending | None = None,
    ) -> None:
        """Send a whole configuration as the operator currently wants it; `spoil` and `spoil_body` make it invalid."""
        written = self._wanted(number=number)
        self._send(
            number=number,
            base=base,
            written=written,
            method="PUT",
            body=written,
            spoil=spoil,
            spoil_body=spoil_body,
            how=how,
        )

    def _wanted(self, *, number: int) -> dict:
        return make_written(
            deployment=self.world.deployment,
            number=number,
            weights=self.weights,
            dropped_routes=self.dropped,
            extra_routes=self.added,
            deadlines=self.deadlines,
            idle_timeout=self.idle,
        )

    def patch(
        self, *, number: int, route: str, weights: dict, how: Sending | None = None, informed: bool = False
    ) -> None:
        """Change one route by name.

        It builds on the newest version that this operator knows to be acknowledged; with `informed`, on the newest
        that a controller acknowledged at all.
        """
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
            key=lambda version: version.number,
        )
        # whatever the patch does not name stays as it is in the version that it builds on
        written = {**copy.deepcopy(base.written), "generation": wanted["generation"]}
        for one in written["listeners"]:
            one["ruleset"] = [rule if old["name"] == route else old for old in one["ruleset"]]
        body = {
            "generation": written["generation"],
            "upsert": {"listeners": [{"hostname": listener["hostname"], "ruleset": [rule]}]},
        }
        self._send(number=number, base=base.number, written=written, method="PATCH", body=body, how=how)

    def evacuate(self, *, zone: str, is_back: bool = False, first: str = "") -> None:
        """Evacuate a zone, or with `is_back` end its evacuation."""
        world, begun = self.world, self.world.clock.now
        kind = "refill" if is_back else "empty"

        arrivals: list[float] = []

        def end(code: int) -> None:
            world.history.add(
                t=world.clock.now, k="ordered", kind=kind, zone=zone, code=code, begun=begun, arrivals=arrivals
            )
            if is_back:
                # one of the attempts to send it may have taken effect only now
                world.history.add(t=world.clock.now, k="refilling", zone=zone)
            if code == 200:
                self.emptied = self.emptied - {zone} if is_back else self.emptied | {zone}

        if is_back:
            # nothing is guaranteed about the zone from the moment the order is sent
            world.history.add(t=begun, k="refilling", zone=zone)
        self._call(
            method="DELETE" if is_back else "POST",
            path=f"/evacuation/{zone}",
            headers={},
            body=b"",
            until=begun + ORDER_TIME,
            done=end,
            first=first,
            arrived=lambda: arrivals.append(world.clock.now),
        )

    def read_back(self, *, where: str = "", row: str = "read-back") -> None:
        """Read the newest configuration; `row` is the kind of the row in the history."""
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
            first=where,
            wants_body=True,
        )

    def edit(self, *, first: str = "", pause: float = 0.0) -> None:
        """Read the configuration and change one route on top of it, if fewer than AT_ONCE edits are in flight.

        The change is sent as a whole configuration or as a patch. `pause` is the time in s before each retry, instead
        of the usual backoff.
        """
        if self.under_way >= AT_ONCE:
            return
        self.under_way += 1

        def take(code: int, body: bytes = b"") -> None:
            if code != 200:
                self.under_way -= 1
                return
            self._change(written=json.loads(body), first=first, pause=pause)

        self._read(path="/config", kind="config-read", done=take)

    def read_orders(self) -> None:
        """Read which zones are evacuated."""
        self._read(path="/orders", kind="orders-read", done=lambda code, body=b"": None)

    def _change(self, *, written: dict, first: str, pause: float) -> None:
        base = int(written["generation"][1:])
        number = max([base, *(version.number for version in self.versions.values())]) + self._rng.randrange(0, 3)
        if number <= base:
            number = base + 1
        changed = copy.deepcopy(written)
        changed["generation"] = f"r{number}"
        listener = self._rng.choice(changed["listeners"])
        rule = self._rng.choice(listener["ruleset"])
        rule["target_s"] = round(self._rng.uniform(0.3, 1.5), 3)
        method, body = "PUT", changed
        if self._rng.random() < 0.5:
            upsert = {"listeners": [{"hostname": listener["hostname"], "ruleset": [rule]}]}
            method, body = "PATCH", {"generation": changed["generation"], "upsert": upsert}
        self._send(
            number=number,
            base=base,
            written=changed,
            method=method,
            body=body,
            how=Sending(first=first),
            pause=pause,
            then=self._edited,
        )

    def _edited(self) -> None:
        self.under_way -= 1

    def _read(self, *, path: str, kind: str, done: Callable) -> None:
        world, begun = self.world, self.world.clock.now

        def end(code: int, body: bytes = b"") -> None:
            if code == 200:
                world.history.add(t=world.clock.now, k=kind, begun=begun, body=json.loads(body))
            done(code, body)

        self._call(
            method="GET", path=path, headers={}, body=b"", until=begun + ORDER_TIME, done=end, first="", wants_body=True
        )

    def _send(
        self,
        *,
        number: int,
        base: int | None,
        written: dict,
        method: str,
        body: dict,
        spoil: Callable | None = None,
        spoil_body: Callable | None = None,
        how: Sending | None = None,
        pause: float = 0.0,
        then: Callable[[], None] | None = None,
    ) -> None:
        world, how = self.world, how or Sending()
        base = self.newest() if base is None else base
        if spoil:
            written = copy.deepcopy(written)
            spoil(written)
            body = written
        key = (number, len(self.versions))
        version = self.versions[key] = Version(
            number=number, base=base, written=written, sent=world.clock.now, is_valid=spoil is spoil_body is None
        )
        world.history.add(t=world.clock.now, k="config-sent", number=number, base=base, valid=version.is_valid)

        def end(code: int) -> None:
            version.outcome = "acked" if code == 200 else "refused" if code in ENDS else "unknown"
            version.acked = world.clock.now if code == 200 else float("inf")
            version.ended, version.code = world.clock.now, code
            world.history.add(
                t=world.clock.now,
                k="config-ended",
                number=number,
                base=base,
                code=code,
                valid=version.is_valid,
                begun=version.sent,
                lost=version.lost,
                waits_from=version.sent + (how.again + SILENCE if how.again else 0.0),
            )
            if then:
                then()
            if code == 200:
                world.on_acknowledged()

        def lose() -> None:
            version.lost += 1

        def made(answer: Respond) -> None:
            now = world.clock.now
            if answer.code == 200:
                version.taken = min(version.taken, now)
            elif answer.code in ENDS and version.taken < float("inf"):
                world.history.add(t=now, k="refused-taken", number=number, base=base, code=answer.code)

        world.on_moment(moment="sent")
        text = json.dumps(body).encode()

        headers = {"if-match": f"r{base}" if base else "0", "content-type": "application/json"}
        self._call(
            method=method,
            path="/config",
            headers=headers,
            body=spoil_body(text) if spoil_body else text,
            until=float("inf"),
            done=end,
            first=how.first,
            only=how.only,
            again=how.again,
            made=made,
            pause=pause,
            lost=lose,
        )

    def _call(self, **fields: object) -> None:
        OperatorCall(operator=self, **fields).begin()

    def named(self, *, machine: str) -> Process | None:
        """The controller on this machine, if it is listed."""
        return next((row for row in self._listed() if row.machine.node.name == machine), None)

    def pick(self, *, avoid: Process | None) -> Process | None:
        """Any listed controller other than `avoid`."""
        choice = [row for row in self._listed() if row is not avoid]
        return self.world.rng.choice(choice) if choice else None

    def loses(self) -> bool:
        """Draws whether the next acknowledgement is lost."""
        is_lost = self.lost_share > 0 and self._rng.random() < self.lost_share
        self.world.count["acks-lost"] += is_lost
        return is_lost

    def _listed(self) -> list:
        now, lag = self.world.clock.now, self.world.deployment.bounds["seed_lag_s"]
        return [
            controller
            for controller in self.world.controllers()
            if controller.machine.listed_from <= now and now <= controller.machine.listed_until + lag
        ]
