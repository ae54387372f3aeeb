"""The fleet that controllers send to each other and to proxies: proxies, unreachable workers and loads of keys."""

from __future__ import annotations

import json

import pytest

from sailward import constants
from sailward.consensus.messages import check_message
from sailward.control.proxies.proxy_registry import ProxyRegistry
from sailward.control.proxies.subscribers import Subscriber
from sailward.events import SendMessage

ZONES = {"c0": ("north-a", "north"), "c1": ("south-a", "south")}


def make_entry(post: str, *, start: int = 1) -> dict:
    return {
        "id": post,
        "post": post,
        "hall": ZONES[post][0],
        "region": ZONES[post][1],
        "start": start,
        "kind": "controller",
    }


def make_proxy(name: str, *, now: float, fit: bool = True, zone: str = "north-a", **report: object) -> Subscriber:
    entry = {
        "id": name,
        "http": f"{name}:80",
        "hall": zone,
        "region": zone.split("-", maxsplit=1)[0],
        "fit": fit,
        "kind": "proxy",
    }
    return Subscriber(entry=entry, first_seen_at=now, last_seen_at=now, report=report)


class ControllerPair:
    """Two controllers, the proxies that poll each, and the messages between them, which may be lost."""

    def __init__(self) -> None:
        self.now = 100.0
        self.fleets = {
            post: ProxyRegistry(post=post, zone=zone, region=region) for post, (zone, region) in ZONES.items()
        }
        self.proxies: dict = {post: [] for post in ZONES}
        self.starts = dict.fromkeys(ZONES, 1)
        self.is_cut = False

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for post, fleet in self.fleets.items():
                for proxy in self.proxies[post]:
                    proxy.last_seen_at = self.now
                controllers = [make_entry(zone, start=self.starts[zone]) for zone in ZONES]
                for command in fleet.step(
                    now=self.now, event=None, proxies=self.proxies[post], controllers=controllers
                ):
                    self.deliver(sender=post, command=command)
            self.now += constants.TICK_INTERVAL

    def deliver(self, *, sender: str, command: SendMessage) -> None:
        assert isinstance(command, SendMessage) and isinstance(check_message(body=command.body), dict)
        if self.is_cut:
            return
        for reply in self.fleets[command.to].step(
            now=self.now, event=(sender, command.body), proxies=[], controllers=[]
        ):
            self.deliver(sender=command.to, command=reply)

    def names(self, post: str) -> list:
        return [row[0] for row in self.fleet_of(post)["proxies"]]

    def fleet_of(self, post: str) -> dict:
        return json.loads(self.fleets[post].value()["text"])


def make_pair() -> ControllerPair:
    pair = ControllerPair()
    pair.proxies = {
        "c0": [make_proxy("p0", now=pair.now), make_proxy("p1", now=pair.now)],
        "c1": [make_proxy("p2", now=pair.now, zone="south-a")],
    }
    pair.run(3.0)
    return pair


def test_every_controller_publishes_the_whole_fleet() -> None:
    pair = make_pair()
    assert pair.names("c0") == pair.names("c1") == ["p0", "p1", "p2"]
    assert pair.fleet_of("c0")["cellars"] == [["c0", "north-a", "north"], ["c1", "south-a", "south"]]


def test_the_number_rises_only_with_changes() -> None:
    pair = make_pair()
    before = pair.fleets["c0"].value()["number"]
    pair.run(5.0)
    assert pair.fleets["c0"].value()["number"] == before
    pair.proxies["c1"][0].entry = {**pair.proxies["c1"][0].entry, "fit": False}
    pair.run(3.0)
    assert pair.fleets["c0"].value()["number"] == before + 1 and pair.fleet_of("c0")["proxies"][2][4] is False


def test_silent_or_gone_proxy_is_not_published() -> None:
    pair = make_pair()
    pair.proxies["c1"] = []
    pair.run(constants.PROXY_TIMEOUT + 3.0)
    assert pair.names("c0") == ["p0", "p1"]


def test_proxy_that_moves_to_another_controller_is_published_once() -> None:
    pair = make_pair()
    pair.proxies["c1"].append(make_proxy("p0", now=pair.now))
    pair.run(3.0)
    assert pair.names("c0") == pair.names("c1") == ["p0", "p1", "p2"]


def test_reports_of_a_lost_controller_expire() -> None:
    pair = make_pair()
    pair.is_cut = True
    pair.run(constants.PROXY_REPORT_TTL + 1.0)
    assert pair.names("c0") == ["p0", "p1"]


def test_whole_fleet_is_published_again_after_a_partition() -> None:
    pair = make_pair()
    pair.is_cut = True
    pair.run(constants.PROXY_REPORT_TTL + 1.0)
    pair.is_cut = False
    pair.run(3.0)
    assert pair.names("c0") == pair.names("c1") == ["p0", "p1", "p2"]


def test_restarted_controller_receives_the_whole_fleet() -> None:
    pair = make_pair()
    pair.fleets["c1"] = ProxyRegistry(post="c1", zone="south-a", region="south")
    pair.starts["c1"] = 2
    pair.run(3.0)
    assert pair.names("c1") == ["p0", "p1", "p2"]


def test_unreachable_workers_are_counted_with_the_number_of_reporters() -> None:
    pair = make_pair()
    for proxy in pair.proxies["c0"]:
        proxy.report = {"down": ["w1"]}
    pair.run(3.0)
    for post in ZONES:
        assert pair.fleets[post].down(now=pair.now, proxies=pair.proxies[post]) == {"w1": (2, 3)}


def test_key_loads_add_up_over_the_fleet_and_decay() -> None:
    pair = make_pair()
    for turn in range(int(3 * constants.KEY_LOAD_WINDOW)):
        for post, proxies in pair.proxies.items():
            for proxy in proxies:
                proxy.report = {"turn": turn, "lead": post, "loads": {"red": {"7": 30, "8": 1}}}
        pair.run(1.0)
    for post in ZONES:
        loads = pair.fleets[post].loads(now=pair.now, service="red")
        assert 60 < loads[7] < 120 and loads[8] < loads[7] / 10
    for proxies in pair.proxies.values():
        for proxy in proxies:
            proxy.report = {}
    pair.run(5 * constants.KEY_LOAD_WINDOW)
    assert sum(pair.fleets["c0"].loads(now=pair.now, service="red").values()) == pytest.approx(0.0, abs=3.0)


def test_lost_report_does_not_remove_proxies() -> None:
    pair = make_pair()
    pair.is_cut = True
    pair.proxies["c1"].append(make_proxy("p3", now=pair.now, zone="south-a"))
    pair.run(1.5)
    pair.is_cut = False
    pair.run(4.0)
    assert pair.names("c0") == ["p0", "p1", "p2", "p3"]
