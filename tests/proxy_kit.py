"""Helpers for tests of the components of a proxy: a plan, workers, a forwarder, and events."""

from __future__ import annotations

import random

from sailward.discovery.endpoint_table import Worker
from sailward.events import CallFinished, CancelCall, LogEvent, RequestReceived, Respond, StartCall
from sailward.routing.endpoint_selection import EndpointSelector, SelectionContext
from sailward.routing.forwarding import Forwarder
from sailward.routing.passive_health import PassiveHealth
from sailward.routing.plan import Plan, plan_of
from sailward.routing.retry_budget import RetryBudget
from sailward.routing.shards import OPEN, Shard, ShardTable, write_shards
from sailward.routing.zone_health import ZoneHealthTable
from sailward.wire_names import WireNames

NAMES = WireNames(
    exchange_id="x-id",
    time_budget="x-left",
    expected_worker="x-expect",
    answered_by="x-who",
    not_run="x-not-run",
    not_run_value="",
    slow_start="x-cold",
    shard_key="x-key",
    handover="x-hand",
    response_marker="x-seal",
)
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}


def make_plan(*, ranged: bool = False, services: tuple = ("red", "blue"), **match: object) -> Plan:
    """A plan with these services, and one rule for host `shop` and path /a with the given fields."""
    rule = {
        "path": "/a",
        "methods": [],
        "tenants": [],
        "pools": [{"pool": "red", "weight": 1}],
        "host": "shop",
        "kind": "repeatable",
        "expiry_s": 4.0,
        "tries": 2,
        "target_s": 0.5,
        "rank": 0,
        "homes": [],
        **match,
    }
    service = {
        "expiry_s": 3.0,
        "rate": 100,
        "cold_rate": 6.0,
        "cold_ramp_s": 0,
        "result_bytes": 1 << 20,
        "digest_required": False,
        "slots": 0,
        "keys": "ranged" if ranged else "own",
        "health_path": "/well",
        "connections": 130,
        "cold_s": 3.0,
    }
    pools = {name: {"service": name, "preferred": [], "fallback": [], "tiers": "near"} for name in services}
    return plan_of(
        number=1,
        full={
            "halls": {zone: {"region": region} for zone, region in ZONES.items()},
            "pools": pools,
            "tenants": {},
            "services": {name: service if name == "red" else {**service, "keys": "own"} for name in services},
            "matches": [rule],
        },
    )


def make_worker(
    name: str,
    *,
    zone: str = "north-a",
    service: str = "red",
    leaving: bool = False,
    slow_start: float = 0.0,
    capacity: int = 4,
) -> Worker:
    """A worker from a list without generations."""
    return Worker(
        name=name,
        generation=0,
        service=service,
        address=f"{name}:80",
        zone=zone,
        leaving=leaving,
        capacity=capacity,
        slow_start=slow_start,
        is_incarnation=True,
    )


class ForwarderHarness:
    """A forwarder with its workers and plan, and the clock that its steps are given."""

    def __init__(
        self,
        *,
        workers: list[Worker],
        plan: Plan | None = None,
        proxies: int = 1,
        seed: int = 1,
        ratio: float = 0.2,
        slack: float = 60.0,
    ) -> None:
        self.now = 100.0
        rng = random.Random(seed)
        self.passive_health = PassiveHealth(names=NAMES, rng=rng)
        self.context = SelectionContext(
            name="p0",
            zone="north-a",
            region="north",
            regions=dict(ZONES),
            passive_health=self.passive_health,
            zone_health=ZoneHealthTable(hold_down=1.0),
            plan=plan or make_plan(),
        )
        self.context.proxy_count = proxies
        self.endpoint_selector = EndpointSelector(context=self.context, rng=rng)
        self.forwarder = Forwarder(
            endpoint_selector=self.endpoint_selector,
            names=NAMES,
            budget=RetryBudget(ratio=ratio, slack=slack, window=10.0),
        )
        self.update_workers(workers=workers)
        self.count = 0

    def update_workers(self, *, workers: list[Worker]) -> list:
        """Apply a list of workers, and update the zone health."""
        listed = {worker.key: worker for worker in workers}
        commands = self.passive_health.update_workers(now=self.now, workers=listed)
        self.context.update_workers(workers=listed)
        self.context.zone_health.step(now=self.now, counts=self.context.counts())
        return commands

    def assign_keys(self, *, owner: str, state: str = OPEN, start: int = 0, end: int = 65535) -> None:
        """Set the owner of a key range of `red`; all other keys have no owner."""
        parts = [Shard(start=0, end=start - 1, owner="", fencing_token=1, state=OPEN)] if start else []
        parts.append(Shard(start=start, end=end, owner=owner, fencing_token=2, state=state, next_owner=""))
        if end < 65535:
            parts.append(Shard(start=end + 1, end=65535, owner="", fencing_token=3, state=OPEN))
        text = write_shards(table=ShardTable(granter="g", takeover_number=1, fencing_token=9, shards=tuple(parts)))
        self.context.shards.step(name="slots/red", value={"number": 1, "text": text})

    def ask(
        self,
        *,
        path: str = "/a/1",
        method: str = "GET",
        host: str = "shop",
        within: str = "3000",
        body: bytes = b"",
        **headers: str,
    ) -> list:
        """Step the forwarder with a client's request."""
        self.count += 1
        sent_headers = {
            "host": host,
            "x-id": f"id{self.count}",
            "x-left": within,
            "cookie": "c=1",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return self.forwarder.step(
            now=self.now,
            event=RequestReceived(
                token=f"front {self.count}",
                method=method,
                path=path,
                query={},
                headers=sent_headers,
                body=body,
                target=path + "?q=%20",
            ),
        )

    def respond(self, *, call: StartCall, code: int = 200, body: bytes = b"whole", **headers: str) -> list:
        """Step the forwarder with the worker's answer to a call."""
        reply_headers = {
            "x-id": call.headers.get("x-id", ""),
            "x-seal": "s",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        reply_headers = {name: value for name, value in reply_headers.items() if value is not None}
        return self.forwarder.step(
            now=self.now,
            event=CallFinished(token=call.token, code=code, headers=reply_headers, body=body, fault="", sent=True),
        )

    def fail_call(self, *, call: StartCall, fault: str, sent: bool) -> list:
        """Step the forwarder with a call that ended without an answer."""
        return self.forwarder.step(
            now=self.now, event=CallFinished(token=call.token, code=0, headers={}, body=b"", fault=fault, sent=sent)
        )

    def advance(self, seconds: float) -> list:
        """Advance the clock, and step the forwarder."""
        self.now += seconds
        return self.forwarder.step(now=self.now, event=None)


def calls(commands: list) -> list[StartCall]:
    """The calls among the commands."""
    return [command for command in commands if isinstance(command, StartCall)]


def answers(commands: list) -> list[Respond]:
    """The responses among the commands."""
    return [command for command in commands if isinstance(command, Respond)]


def cancels(commands: list) -> list[CancelCall]:
    """The cancelled calls among the commands."""
    return [command for command in commands if isinstance(command, CancelCall)]


def logs(commands: list, *, event: str) -> list[LogEvent]:
    """The log lines of one event among the commands."""
    return [command for command in commands if isinstance(command, LogEvent) and command.event == event]
