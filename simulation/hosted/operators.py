"""Simulated operators: they send configurations and evacuations with retries, and keep track of versions."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sailward.events import Respond
from simulation.hosted.deployment import WantedConfig, make_written
from simulation.hosted.environment import Environment
from simulation.hosted.network import Node
from simulation.hosted.operator_call import FINAL_STATUSES, OperatorCall

if TYPE_CHECKING:
    from simulation.hosted.process import Process

ANSWER_TIMEOUT = 1.0
"""s without a response before the operator closes the connection and asks another daemon."""
MAX_EDITS_IN_FLIGHT = 8
"""Edits that may be in flight at once."""
RETRY_TIME = 5.0
"""s for which a call other than a change of the configuration is retried."""


@dataclass(frozen=True, kw_only=True)
class SendOptions:
    """How an order is sent: first to `first_machine`; if `is_pinned`, to no other machine.

    If `resend_after` is set, the first acknowledgement is lost, and the order is sent again this many s later.
    """

    first_machine: str = ""
    is_pinned: bool = False
    resend_after: float = 0.0


@dataclass(kw_only=True)
class Version:
    """One configuration that was sent, and its outcome: open, acked, refused or unknown.

    `accepted_at` is when a controller first acknowledged it, whether or not the operator received that; `ended_at` and
    `code` are the time and the status of its final response; `lost_acks` counts the acknowledgements that never reached
    the operator.
    """

    number: int
    base: int
    written: dict
    sent_at: float
    is_valid: bool = True
    outcome: str = "open"
    acked_at: float = float("inf")
    accepted_at: float = float("inf")
    ended_at: float = float("inf")
    code: int = 0
    lost_acks: int = 0

    def routes(self) -> dict:
        """{(host, prefix): (services that may run it, homes)}."""
        routes = {}
        for listener in self.written["listeners"]:
            for rule in listener["ruleset"]:
                verdict = rule["verdict"]
                split = verdict.get("split_to") or [{"service": verdict.get("service"), "weight": 1}]
                services = frozenset(part["service"] for part in split if part["weight"] > 0)
                routes[(listener["hostname"], rule["matcher"]["path_prefix"])] = (
                    services,
                    frozenset(verdict.get("home_regions", ())),
                )
        return routes


@dataclass(kw_only=True)
class Operator:
    """Owner of the orders. Each method begins an order; the history shows how it ended."""

    world: Environment
    node: Node
    versions: dict = field(default_factory=dict)
    order: list = field(default_factory=list)
    wanted: WantedConfig = field(default_factory=WantedConfig)
    evacuated_zones: set = field(default_factory=set)
    answer_timeout: float = ANSWER_TIMEOUT
    lost_ack_share: float = 0.0
    edits_in_flight: int = 0

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
        options: SendOptions | None = None,
    ) -> None:
        """Send a whole configuration as the operator currently wants it; `spoil` and `spoil_body` make it invalid."""
        written = self._wanted_config(number=number)
        self._send(
            number=number,
            base=base,
            written=written,
            method="PUT",
            body=written,
            spoil=spoil,
            spoil_body=spoil_body,
            options=options,
        )

    def _wanted_config(self, *, number: int) -> dict:
        return make_written(deployment=self.world.deployment, number=number, wanted=self.wanted)

    def patch(
        self, *, number: int, route: str, weights: dict, options: SendOptions | None = None, is_informed: bool = False
    ) -> None:
        """Change one route by name.

        It builds on the newest version that this operator knows to be acknowledged; with `is_informed`, on the newest
        that a controller acknowledged at all.
        """
        self.wanted.weights = {**self.wanted.weights, route: weights}
        wanted = self._wanted_config(number=number)
        listener = next(
            entry for entry in wanted["listeners"] if any(rule["name"] == route for rule in entry["ruleset"])
        )
        rule = next(rule for rule in listener["ruleset"] if rule["name"] == route)
        base = max(
            (
                version
                for version in self.versions.values()
                if version.outcome == "acked" or (is_informed and version.accepted_at < float("inf"))
            ),
            key=lambda version: version.number,
        )
        # whatever the patch does not name stays as it is in the version that it builds on
        written = {**copy.deepcopy(base.written), "generation": wanted["generation"]}
        for entry in written["listeners"]:
            entry["ruleset"] = [rule if old["name"] == route else old for old in entry["ruleset"]]
        body = {
            "generation": written["generation"],
            "upsert": {"listeners": [{"hostname": listener["hostname"], "ruleset": [rule]}]},
        }
        self._send(number=number, base=base.number, written=written, method="PATCH", body=body, options=options)

    def evacuate(self, *, zone: str, is_refill: bool = False, first_machine: str = "") -> None:
        """Evacuate a zone, or with `is_refill` end its evacuation."""
        world, started_at = self.world, self.world.clock.now
        kind = "refill" if is_refill else "empty"

        arrivals: list[float] = []

        def end(code: int) -> None:
            world.history.add(
                t=world.clock.now, k="ordered", kind=kind, zone=zone, code=code, begun=started_at, arrivals=arrivals
            )
            if is_refill:
                # one of the attempts to send it may have taken effect only now
                world.history.add(t=world.clock.now, k="refilling", zone=zone)
            if code == 200:
                self.evacuated_zones = self.evacuated_zones - {zone} if is_refill else self.evacuated_zones | {zone}

        if is_refill:
            # nothing is guaranteed about the zone from the moment the order is sent
            world.history.add(t=started_at, k="refilling", zone=zone)
        self._call(
            method="DELETE" if is_refill else "POST",
            path=f"/evacuation/{zone}",
            headers={},
            body=b"",
            until=started_at + RETRY_TIME,
            on_done=end,
            first_machine=first_machine,
            on_arrived=lambda: arrivals.append(world.clock.now),
        )

    def read_back(self, *, machine: str = "", row_kind: str = "read-back") -> None:
        """Read the newest configuration; `row_kind` is the kind of the row in the history."""
        world, started_at = self.world, self.world.clock.now

        def end(code: int, body: bytes = b"") -> None:
            world.history.add(
                t=world.clock.now,
                k=row_kind,
                code=code,
                begun=started_at,
                written=json.loads(body) if code == 200 else None,
            )

        self._call(
            method="GET",
            path="/config",
            headers={},
            body=b"",
            until=started_at + world.deployment.bounds["contact_s"] + 2.0,
            on_done=end,
            first_machine=machine,
            wants_body=True,
        )

    def edit(self, *, first_machine: str = "", retry_pause: float = 0.0) -> None:
        """Read the configuration and change one route on top of it, if fewer than MAX_EDITS_IN_FLIGHT are in flight.

        The change is sent as a whole configuration or as a patch. `retry_pause` is the time in s before each retry,
        instead of the usual backoff.
        """
        if self.edits_in_flight >= MAX_EDITS_IN_FLIGHT:
            return
        self.edits_in_flight += 1

        def on_read(code: int, body: bytes = b"") -> None:
            if code != 200:
                self.edits_in_flight -= 1
                return
            self._send_edit(written=json.loads(body), first_machine=first_machine, retry_pause=retry_pause)

        self._read(path="/config", kind="config-read", on_done=on_read)

    def read_orders(self) -> None:
        """Read which zones are evacuated."""
        self._read(path="/orders", kind="orders-read", on_done=lambda code, body=b"": None)

    def _send_edit(self, *, written: dict, first_machine: str, retry_pause: float) -> None:
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
            options=SendOptions(first_machine=first_machine),
            retry_pause=retry_pause,
            on_ended=self._on_edit_ended,
        )

    def _on_edit_ended(self) -> None:
        self.edits_in_flight -= 1

    def _read(self, *, path: str, kind: str, on_done: Callable) -> None:
        world, started_at = self.world, self.world.clock.now

        def end(code: int, body: bytes = b"") -> None:
            if code == 200:
                world.history.add(t=world.clock.now, k=kind, begun=started_at, body=json.loads(body))
            on_done(code, body)

        self._call(
            method="GET",
            path=path,
            headers={},
            body=b"",
            until=started_at + RETRY_TIME,
            on_done=end,
            first_machine="",
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
        spoil: Callable | None = None,
        spoil_body: Callable | None = None,
        options: SendOptions | None = None,
        retry_pause: float = 0.0,
        on_ended: Callable[[], None] | None = None,
    ) -> None:
        world, options = self.world, options or SendOptions()
        base = self.newest() if base is None else base
        if spoil:
            written = copy.deepcopy(written)
            spoil(written)
            body = written
        key = (number, len(self.versions))
        version = self.versions[key] = Version(
            number=number, base=base, written=written, sent_at=world.clock.now, is_valid=spoil is spoil_body is None
        )
        world.history.add(t=world.clock.now, k="config-sent", number=number, base=base, valid=version.is_valid)

        def end(code: int) -> None:
            version.outcome = "acked" if code == 200 else "refused" if code in FINAL_STATUSES else "unknown"
            version.acked_at = world.clock.now if code == 200 else float("inf")
            version.ended_at, version.code = world.clock.now, code
            world.history.add(
                t=world.clock.now,
                k="config-ended",
                number=number,
                base=base,
                code=code,
                valid=version.is_valid,
                begun=version.sent_at,
                lost=version.lost_acks,
                waits_from=version.sent_at + (options.resend_after + ANSWER_TIMEOUT if options.resend_after else 0.0),
            )
            if on_ended:
                on_ended()
            if code == 200:
                world.on_acknowledged()

        def on_lost() -> None:
            version.lost_acks += 1

        def on_response(answer: Respond) -> None:
            now = world.clock.now
            if answer.code == 200:
                version.accepted_at = min(version.accepted_at, now)
            elif answer.code in FINAL_STATUSES and version.accepted_at < float("inf"):
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
            on_done=end,
            first_machine=options.first_machine,
            is_pinned=options.is_pinned,
            resend_after=options.resend_after,
            on_response=on_response,
            retry_pause=retry_pause,
            on_lost=on_lost,
        )

    def _call(self, **fields: object) -> None:
        OperatorCall(operator=self, **fields).begin()

    def controller_on(self, *, machine: str) -> Process | None:
        """The controller on this machine, if it is listed."""
        return next(
            (controller for controller in self._listed_controllers() if controller.machine.node.name == machine), None
        )

    def pick_controller(self, *, avoid: Process | None) -> Process | None:
        """Any listed controller other than `avoid`."""
        candidates = [controller for controller in self._listed_controllers() if controller is not avoid]
        return self.world.rng.choice(candidates) if candidates else None

    def draw_lost_ack(self) -> bool:
        """Draws whether the next acknowledgement is lost."""
        is_lost = self.lost_ack_share > 0 and self._rng.random() < self.lost_ack_share
        self.world.count["acks-lost"] += is_lost
        return is_lost

    def _listed_controllers(self) -> list:
        now, lag = self.world.clock.now, self.world.deployment.bounds["seed_lag_s"]
        return [
            controller
            for controller in self.world.controllers()
            if controller.machine.listed_from <= now and now <= controller.machine.listed_until + lag
        ]
