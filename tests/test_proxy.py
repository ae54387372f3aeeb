"""A complete proxy: start-up until it is ready, pushed data, its listeners, and shutdown."""

from __future__ import annotations

import json
import random
from pathlib import Path

import pytest

from sailward import constants
from sailward.consensus.messages import check_message
from sailward.discovery.peer_table import Location
from sailward.events import (
    CallFinished,
    DrainConnections,
    ExitProcess,
    MessageReceived,
    RequestReceived,
    Respond,
    SendMessage,
    ShutdownRequested,
    StartCall,
    TimerFired,
)
from sailward.proxy.proxy import Proxy, ProxyOptions
from sailward.runtime.adapter import load_part
from tests.core_net import CONFIG, ZONES, make_written

WIRE = load_part(folder=Path(__file__).parent.parent / "platform", name="wire")
PLACE = Location(
    name="p0",
    kind="proxy",
    zone="gdl-a",
    region="gdl",
    post="10.0.0.9:7621",
    http="10.0.0.9:8641",
    seeds=("c0", "c1", "c2"),
)
WORKERS = [
    {
        "id": f"w{at}",
        "generation": 0,
        "service": service,
        "address": f"10.9.0.{at}:80",
        "hall": "gdl-a",
        "leaving": False,
        "capacity": 4,
        "cold_s": 0.0,
    }
    for at, service in enumerate(("red", "red", "white"))
]
ROWS = [
    ["p0", "10.0.0.9:8641", "gdl-a", "gdl", True],
    ["p1", "10.0.0.8:8641", "gdl-b", "gdl", True],
    ["p2", "10.0.0.7:8641", "ens-a", "ens", True],
    ["p3", "10.0.0.6:8641", "gdl-b", "gdl", False],
]


class ProxyHarness:
    """A proxy, the controller `c0` that answers it, and the commands that the proxy returned."""

    def __init__(self) -> None:
        options = ProxyOptions(
            names=WIRE.NAMES,
            regions=tuple(ZONES.items()),
            expand=lambda written: CONFIG.expand(written, ZONES),
            retry_slack=60.0,
            hold_down=1.0,
            deregistration_delay=3.0,
            stop_grace=5.2,
        )
        self.proxy = Proxy(location=PLACE, start=1, rng=random.Random(1), options=options)
        self.now, self.count, self.log = 100.0, 0, []
        self.answering = {"c0"}

    def give(self, event: object) -> list:
        commands = self.proxy.step(now=self.now, event=event)
        self.log += commands
        for command in commands:
            if isinstance(command, SendMessage):
                assert isinstance(check_message(body=command.body), dict), command.body
                if command.body["kind"] == "ask" and command.to in self.answering:
                    self.receive(
                        {
                            "kind": "grant",
                            "seq": command.body["seq"],
                            "newest": {},
                            "identity": "c0#0",
                            "voting": True,
                            "proxies": 1,
                            "view": {},
                        },
                        sender=command.to,
                    )
        return commands

    def receive(self, body: dict, *, sender: str = "c0") -> list:
        return self.give(MessageReceived(sender=sender, body=check_message(body=body)))

    def run(self, seconds: float) -> list:
        commands, end = [], self.now + seconds
        while self.now < end:
            self.now += constants.TICK_INTERVAL
            commands += self.give(TimerFired(wall=self.now))
        return commands

    def push(self, name: str, value: object, *, number: int = 1, sender: str = "c0") -> list:
        text = json.dumps(value)
        return self.receive(
            {
                "kind": "push",
                "seq": number,
                "name": name,
                "number": number,
                "ballot": [number, "x"],
                "value": {"number": number, "mark": f"m{number}", "trail": [], "text": text},
            },
            sender=sender,
        )

    def ask(
        self, edge: str, path: str, *, method: str = "GET", headers: dict | None = None, query: dict | None = None
    ) -> list:
        self.count += 1
        event = RequestReceived(
            token=f"{edge} {self.count}",
            method=method,
            path=path,
            query=query or {},
            headers=headers or {},
            body=b"",
            target=path,
        )
        return self.give(event if edge == "front" else WIRE.translate_directory_request(event))

    def request(self, *, host: str = "two.example", path: str = "/p1/x") -> list:
        return self.ask("front", path, headers={"host": host, "attempt-id": f"a{self.count}", "time-budget": "2000"})

    def code(self, edge: str, path: str, **more: object) -> int:
        return next(command.code for command in self.ask(edge, path, **more) if isinstance(command, Respond))


@pytest.fixture
def bench() -> ProxyHarness:
    bench = ProxyHarness()
    bench.run(3.0)
    bench.push("config", {"written": make_written(label=5)})
    bench.push("workers", WORKERS)
    bench.push("fleet", {"proxies": ROWS, "cellars": [["c0", "gdl-a", "gdl"], ["c1", "ens-a", "ens"]]})
    return bench


def calls(commands: list) -> list[StartCall]:
    return [command for command in commands if isinstance(command, StartCall)]


def test_it_is_ready_when_it_has_both_a_configuration_and_a_worker_list() -> None:
    bench = ProxyHarness()
    bench.run(3.0)
    assert (
        bench.code("ready", "/readiness") == 503 and bench.code("front", "/x", headers={"host": "two.example"}) == 503
    )
    bench.push("config", {"written": make_written(label=5)})
    assert bench.code("ready", "/readiness") == 503
    bench.push("workers", WORKERS)
    assert bench.code("ready", "/readiness") == 200


def test_every_push_is_acknowledged_and_an_older_one_changes_nothing(bench: ProxyHarness) -> None:
    newer = bench.push("config", {"written": make_written(label=9, weight=0)}, number=3)
    assert [
        command.body["number"]
        for command in newer
        if isinstance(command, SendMessage) and command.body["kind"] == "ack"
    ] == [3]
    older = bench.push("config", {"written": make_written(label=7)}, number=2)
    assert [
        command.body["number"]
        for command in older
        if isinstance(command, SendMessage) and command.body["kind"] == "ack"
    ] == [2]
    assert bench.proxy.context.plan.label == 9


# Guards against the end of every proxy by a configuration that drops a service whose requests are in flight.
def test_a_configuration_that_drops_a_service_leaves_its_requests_whole(bench: ProxyHarness) -> None:
    written = make_written(label=5, weight=1000)
    bench.push("config", {"written": written}, number=2)
    [first] = calls(bench.request())
    for listener in written["listeners"]:
        for rule in listener["ruleset"]:
            rule["verdict"]["split_to"] = [{"service": "white", "weight": 1}]
    bench.push("config", {"written": {**written, "generation": "r6", "pools": written["pools"][1:]}}, number=3)
    assert bench.proxy.context.plan.label == 6 and "red" not in bench.proxy.context.plan.services
    refused = CallFinished(token=first.token, code=0, headers={}, body=b"", fault="refused", sent=False)
    [second] = calls(bench.give(refused))
    assert {first.owner, second.owner} == {"w0", "w1"}
    seal = {"attempt-id": second.headers["attempt-id"], "server-seal": "x"}
    [answer] = bench.give(CallFinished(token=second.token, code=200, headers=seal, body=b"ok", fault="", sent=True))
    assert isinstance(answer, Respond) and answer.code == 200


def test_lists_are_accepted_only_from_the_followed_controller(bench: ProxyHarness) -> None:
    bench.push("workers", WORKERS[:1], number=2, sender="c1")
    assert len(bench.proxy.endpoint_table.workers) == 3
    bench.push("workers", WORKERS[:2], number=2)
    assert len(bench.proxy.endpoint_table.workers) == 2


def test_a_draining_worker_stays_draining_after_an_outdated_list(bench: ProxyHarness) -> None:
    bench.push("workers", [WORKERS[0], {**WORKERS[1], "leaving": True}, WORKERS[2]], number=2)
    bench.push("workers", WORKERS, number=3)
    assert bench.proxy.endpoint_table.workers["w1"].leaving and not bench.proxy.endpoint_table.workers["w0"].leaving


def test_unexpected_messages_are_logged_and_change_nothing(bench: ProxyHarness) -> None:
    bench.receive({"kind": "gossip", "entries": [], "reply": False})
    bench.push("nonsense", {}, number=4)
    assert bench.code("ready", "/readiness") == 200


def test_the_directory_lists_the_fit_proxies_of_the_callers_region(bench: ProxyHarness) -> None:
    [answer] = bench.ask("directory", "/resolve", query={"name": "two.example", "region": "gdl", "zone": "gdl-b"})
    answered = json.loads(WIRE.translate_directory_response(answer, ttl=2.0).body)
    assert answered == {"addresses": ["10.0.0.8:8641", "10.0.0.9:8641"], "ttl_s": 2.0}
    [answer] = bench.ask("directory", "/resolve", query={"region": "atlantis"})
    assert len(json.loads(WIRE.translate_directory_response(answer, ttl=2.0).body)["addresses"]) == 3
    assert bench.code("directory", "/other") == 404 and bench.code("directory", "/resolve", method="POST") == 404


def test_before_any_proxy_is_known_the_directory_fails_instead_of_returning_an_empty_list() -> None:
    assert ProxyHarness().code("directory", "/resolve") == 503


def test_polls_report_the_configuration_and_the_workers_found_down(bench: ProxyHarness) -> None:
    bench.log.clear()
    [call] = calls(bench.request())
    bench.give(CallFinished(token=call.token, code=0, headers={}, body=b"", fault="refused", sent=False))
    bench.run(1.0)
    polls = [
        command.body for command in bench.log if isinstance(command, SendMessage) and command.body["kind"] == "ask"
    ]
    assert (
        polls[-1]["have"]["config"][0] == 1
        and polls[-1]["daemon"]["fit"]
        and polls[-1]["report"]["down"] == [call.owner]
    )


def test_an_evacuation_applies_at_once_and_its_end_starts_slow_start(bench: ProxyHarness) -> None:
    bench.push("orders", {"emptied": ["gdl-a"]})
    assert not calls(bench.request())
    bench.push("orders", {"emptied": []}, number=2)
    assert all(health.slow_start_until > bench.now for health in bench.proxy.passive_health.workers.values())


def test_shutdown_drains_in_order(bench: ProxyHarness) -> None:
    commands = bench.give(ShutdownRequested())
    assert [command.shut for command in commands if isinstance(command, DrainConnections)] == [False]
    assert any(
        isinstance(command, SendMessage) and command.body["kind"] == "ask" and not command.body["daemon"]["fit"]
        for command in commands
    )
    assert bench.code("ready", "/readiness") == 503
    bench.run(2.0)
    [call] = calls(bench.request())
    commands = bench.run(1.2)
    assert [command.shut for command in commands if isinstance(command, DrainConnections)] == [True] and not any(
        isinstance(command, ExitProcess) for command in commands
    )
    commands = bench.give(
        CallFinished(
            token=call.token,
            code=200,
            headers={"attempt-id": call.headers["attempt-id"], "server-seal": "x"},
            body=b"ok",
            fault="",
            sent=True,
        )
    )
    assert [command.code for command in commands if isinstance(command, Respond)] == [200]
    assert any(isinstance(command, ExitProcess) and command.code == 0 for command in bench.run(0.2))


def test_an_idle_proxy_stops_once_clients_had_time_to_leave(bench: ProxyHarness) -> None:
    bench.give(ShutdownRequested())
    assert not any(isinstance(command, ExitProcess) for command in bench.run(2.5))
    assert any(isinstance(command, ExitProcess) for command in bench.run(1.0))


def test_it_keeps_serving_without_controllers(bench: ProxyHarness) -> None:
    bench.answering = set()
    bench.run(20.0)
    assert not bench.proxy.control_client.has_recent_answer(now=bench.now)
    assert calls(bench.request()) and bench.code("ready", "/readiness") == 200
