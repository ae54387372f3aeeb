"""The state of a controller and of a proxy does not grow with the number of changes.

Nor does it grow with the number of daemons that were once present.
"""

from __future__ import annotations

import json
import random
from collections import Counter, deque

from sailward.control.controller import Controller
from sailward.control.controller_options import ControllerOptions
from sailward.discovery.peer_table import Location
from sailward.events import MessageReceived, TimerFired
from sailward.proxy.proxy import Proxy, ProxyOptions
from simulation.core_group import EMPTY_EXPANSION, CoreGroup

CONTAINERS = (dict, list, set, frozenset, tuple, deque)


def count_state(*, owner: object) -> Counter:
    """The number of items in all containers reachable from `owner`, by path; strings count by their length."""
    counts: Counter = Counter()
    seen: set = set()
    pending = [("", owner)]
    while pending:
        path, value = pending.pop()
        if id(value) in seen or isinstance(value, (type, random.Random)) or callable(value):
            continue
        seen.add(id(value))
        if isinstance(value, str):
            counts[path] += len(value) // 1000
        elif isinstance(value, CONTAINERS):
            counts[path] += len(value)
            items = value.values() if isinstance(value, dict) else value
            pending += [(f"{path}[]", item) for item in items]
        elif hasattr(value, "__dict__"):
            pending += [(f"{path}.{name}", item) for name, item in vars(value).items()]
    return counts


def find_growth(*, before: Counter, after: Counter, slack: int = 3) -> dict:
    """The paths at which the count has grown by more than `slack`, which allows for normal variation."""
    return {path: (before[path], count) for path, count in after.items() if count > before[path] + slack}


def test_group_state_is_no_larger_after_400_changes_than_after_100() -> None:
    group = CoreGroup(folder=None, size=4)
    for at, member in enumerate(group.members):
        group.start(member=member, is_first=at < 3)
    group.run(seconds=2.0)
    counts = []
    for round_ in range(2):
        for number in range((100, 300)[round_]):
            assert group.change(text=json.dumps({"written": {}, "label": 1000 + number}), at=group.members[number % 3])
        group.run(seconds=8.0)
        counts.append([count_state(owner=member.controller) for member in group.members])
    for before, after in zip(*counts, strict=True):
        assert find_growth(before=before, after=after) == {}


class Reader:
    """A stand-in for the reader of a platform's list; no answer ever arrives."""

    def path(self, *, token: str) -> str:
        """Any path."""
        return "/workers"

    def read(self, *, body: bytes) -> None:
        """Nothing."""
        return


def make_hosted_controller() -> Controller:
    post = "10.0.0.1:7620"
    return Controller(
        location=Location(name="c0", kind="controller", zone="z", region="r", post=post, http=post, seeds=(post,)),
        platform="10.9.9.9:1",
        nonce="1",
        start=1,
        rng=random.Random(1),
        records=[],
        now=0.0,
        options=ControllerOptions(
            is_mesh=True, publishes_proxy_list=True, reader=Reader(), expand=lambda written: EMPTY_EXPANSION
        ),
    )


def meet_daemons(*, controller: Controller, first: int, count: int, now: float) -> float:
    """Proxies and controllers that each send messages once and are never heard from again."""
    for number in range(first, first + count):
        now += 0.1
        entry = {"id": f"p{number}", "kind": "proxy", "hall": "z", "region": "r", "http": f"10.1.{number}.1:1"}
        entry |= {"start": number, "fit": True, "version": "", "post": f"10.1.{number}.1:2", "beat": 1, "identity": ""}
        report = {"turn": 1, "lead": controller.location.post, "loads": {}, "paces": {}, "down": []}
        sender = entry["post"]
        events = [
            {"kind": "ask", "seq": 1, "have": {}, "report": report, "daemon": entry},
            {
                "kind": "gossip",
                "entries": [{**entry, "kind": "controller", "asks": "", "id": f"c{number}"}],
                "reply": True,
            },
            {"kind": "fleet", "number": 1, "rows": [], "loads": {}, "down": {}},
            {"kind": "list", "number": 1, "rows": json.dumps([])},
            {
                "kind": "copy",
                "after": "",
                "ballot": [1, "x"],
                "value": {"number": 0, "mark": "", "trail": [], "text": ""},
            },
        ]
        for body in events:
            controller.step(now=now, event=MessageReceived(sender=sender, body=body))
        controller.step(now=now, event=TimerFired(wall=now))
    for _ in range(1400):
        now += 0.05
        controller.step(now=now, event=TimerFired(wall=now))
    return now


def test_a_controller_forgets_the_daemons_that_are_gone() -> None:
    controller = make_hosted_controller()
    now = meet_daemons(controller=controller, first=1, count=100, now=0.0)
    before = count_state(owner=controller)
    meet_daemons(controller=controller, first=1000, count=150, now=now)
    assert find_growth(before=before, after=count_state(owner=controller)) == {}


def push(*, proxy: Proxy, now: float, name: str, number: int, text: str) -> None:
    lead = proxy.control_client.followed_controller or "10.0.0.1:7620"
    value = {"number": number, "mark": lead, "trail": [], "text": text}
    body = {"kind": "push", "seq": number, "name": name, "number": number, "ballot": [number, "x"], "value": value}
    proxy.step(now=now, event=MessageReceived(sender=lead, body=body))


def run_proxy(*, proxy: Proxy, first: int, count: int, now: float) -> float:
    """A new configuration, list of workers and fleet every half second."""
    for number in range(first, first + count):
        now += 0.5
        grant = {"kind": "grant", "seq": number, "newest": {}, "identity": "c", "voting": True, "proxies": 1}
        grant |= {"view": {"place": ["z", "r"]}}
        proxy.step(now=now, event=MessageReceived(sender="10.0.0.1:7620", body=grant))
        push(proxy=proxy, now=now, name="config", number=number, text='{"written":{},"label":1}')
        row = {"id": f"w{number}", "service": "s", "address": f"10.2.{number}.1:80", "hall": "z", "leaving": False}
        row |= {"generation": 0, "capacity": 4, "cold_s": 0.0}
        push(proxy=proxy, now=now, name="workers", number=number, text=json.dumps([row]))
        fleet = {"proxies": [[f"p{number}", "10.1.1.1:1", "z", "r", True]], "down": [f"w{number}/0"]}
        fleet["cellars"] = [["10.0.0.1:7620", "z", "r"], [f"10.3.{number}.1:7620", "z", "r"]]
        push(proxy=proxy, now=now, name="fleet", number=number, text=json.dumps(fleet))
        proxy.step(now=now, event=TimerFired(wall=now))
    for _ in range(200):
        now += 3.5
        proxy.step(now=now, event=TimerFired(wall=now))
    push(proxy=proxy, now=now, name="fleet", number=first + count, text=json.dumps({"proxies": [], "cellars": []}))
    return now


def test_proxy_state_is_no_larger_after_400_changes_and_workers_than_after_100() -> None:
    post = "10.1.0.1:7621"
    location = Location(name="p0", kind="proxy", zone="z", region="r", post=post, http=post, seeds=("10.0.0.1:7620",))
    proxy = Proxy(
        location=location,
        start=1,
        rng=random.Random(1),
        options=ProxyOptions(regions=(("z", "r"),), expand=lambda written: EMPTY_EXPANSION),
    )
    now = run_proxy(proxy=proxy, first=1, count=100, now=0.0)
    before = count_state(owner=proxy)
    run_proxy(proxy=proxy, first=1000, count=300, now=now)
    assert proxy.learner.number(name="config") == 1299 and len(proxy.endpoint_table.workers) == 1
    assert find_growth(before=before, after=count_state(owner=proxy)) == {}
