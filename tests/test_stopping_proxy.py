"""A graceful shutdown of a proxy.

Every accepted request is answered before the process ends, even if no worker answers it.
"""

from __future__ import annotations

import json
import random

from sailward import constants
from sailward.discovery.peer_table import Location
from sailward.events import (
    DrainConnections,
    ExitProcess,
    MessageReceived,
    RequestReceived,
    Respond,
    ShutdownRequested,
    StartCall,
    TimerFired,
)
from sailward.proxy.proxy import Proxy, ProxyOptions

CONTROLLER = "10.0.0.1:7000"
CONFIG = {
    "halls": {"gdl-a": {"region": "gdl"}},
    "tenants": {},
    "limits": {},
    "label": 1,
    "services": {
        "stock": {
            "expiry_s": 3,
            "rate": 1000,
            "cold_rate": 5,
            "cold_ramp_s": 0,
            "result_bytes": 1 << 20,
            "digest_required": False,
            "slots": 0,
            "keys": "by-home",
        }
    },
    "pools": {"stock": {"service": "stock", "preferred": [], "fallback": [], "tiers": "near"}},
    "matches": [
        {
            "path": "/a/",
            "methods": [],
            "tenants": [],
            "host": "h",
            "kind": "repeatable",
            "expiry_s": 20,
            "tries": 2,
            "target_s": 1,
            "pools": [{"pool": "stock", "weight": 1}],
        }
    ],
}
WORKER = {
    "id": "w1",
    "generation": 0,
    "service": "stock",
    "address": "10.1.0.1:80",
    "hall": "gdl-a",
    "leaving": False,
    "capacity": 4,
    "cold_s": 0,
}


def make_proxy() -> Proxy:
    location = Location(
        name="p1",
        kind="proxy",
        zone="gdl-a",
        region="gdl",
        post="10.0.0.2:7001",
        http="10.0.0.2:80",
        seeds=(CONTROLLER,),
    )
    proxy = Proxy(
        location=location,
        start=1,
        rng=random.Random(1),
        options=ProxyOptions(regions=(("gdl-a", "gdl"),), deregistration_delay=3.0, stop_grace=5.2),
    )
    proxy.step(now=0.0, event=TimerFired())
    view = {"place": ["gdl-a", "gdl"]}
    proxy.step(
        now=0.1,
        event=MessageReceived(
            sender=CONTROLLER,
            body={"kind": "grant", "seq": 1, "newest": {}, "identity": "c", "voting": True, "proxies": 0, "view": view},
        ),
    )
    for name, text in (("config", json.dumps({"full": CONFIG})), ("workers", json.dumps([WORKER]))):
        value = {"number": 1, "mark": "m", "trail": [], "text": text}
        proxy.step(
            now=0.1,
            event=MessageReceived(
                sender=CONTROLLER,
                body={"kind": "push", "seq": 1, "name": name, "number": 1, "ballot": [1, "c"], "value": value},
            ),
        )
    assert proxy.is_ready
    return proxy


def ask(*, proxy: Proxy, now: float, token: str) -> list:
    return proxy.step(
        now=now,
        event=RequestReceived(
            token=token,
            method="GET",
            path="/a/x",
            query={},
            target="/a/x",
            body=b"",
            headers={"host": "h", "sailward-exchange": token, "sailward-within": "20000"},
        ),
    )


def run_on(*, proxy: Proxy, start: float, end: float) -> list:
    commands, now = [], start
    while now < end:
        now += constants.TICK_INTERVAL
        commands += [(now, command) for command in proxy.step(now=now, event=TimerFired())]
        if any(isinstance(command, ExitProcess) for _, command in commands):
            break
    return commands


def test_a_request_that_no_worker_answers_is_answered_before_the_process_ends() -> None:
    proxy = make_proxy()
    assert any(isinstance(command, StartCall) for command in ask(proxy=proxy, now=0.2, token="front 1"))
    assert any(isinstance(command, DrainConnections) for command in proxy.step(now=0.3, event=ShutdownRequested()))
    commands = [command for _, command in run_on(proxy=proxy, start=0.3, end=10.0)]
    answers = [command for command in commands if isinstance(command, Respond)]
    assert [(answer.token, answer.code) for answer in answers] == [("front 1", 504)]
    assert isinstance(commands[-1], ExitProcess) and commands.index(answers[0]) < len(commands) - 1


def test_an_idle_proxy_stops_after_clients_have_had_time_to_move_away() -> None:
    proxy = make_proxy()
    proxy.step(now=0.3, event=ShutdownRequested())
    assert not proxy.is_ready
    commands = run_on(proxy=proxy, start=0.3, end=10.0)
    assert any(isinstance(command, DrainConnections) and command.shut for _, command in commands)
    assert isinstance(commands[-1][1], ExitProcess) and 3.0 < commands[-1][0] < 4.0


def test_a_repeated_request_to_stop_does_not_prolong_the_stop() -> None:
    proxy = make_proxy()
    proxy.step(now=0.3, event=ShutdownRequested())
    run_on(proxy=proxy, start=0.3, end=2.0)
    commands = proxy.step(now=2.0, event=ShutdownRequested())
    assert not any(isinstance(command, DrainConnections) for command in commands)
    assert run_on(proxy=proxy, start=2.0, end=10.0)[-1][0] < 4.0
