"""Lists of workers without revision numbers.

Complete passes, artefacts of paging, back-off, and how a receiver merges the lists.
"""

from __future__ import annotations

import json

import pytest

from sailward import constants
from sailward.control.endpoints.incarnations import Incarnations
from sailward.control.proxies.subscribers import Subscribers
from sailward.discovery.endpoint_pages import FailedPass, Pager
from sailward.discovery.endpoint_table import EndpointTable
from sailward.events import CallFinished, SendMessage
from tests.core_net import WORKERS, CoreNet


def entry(name: str, **overrides: object) -> dict:
    return {
        "id": name,
        "service": "red",
        "address": "10.1.1.1:80",
        "generation": "v1",
        "capacity": 4,
        "state": "admitted",
        "cold_left_s": 0,
        **overrides,
    }


def row(name: str, **overrides: object) -> dict:
    return {
        "id": name,
        "generation": 0,
        "service": "red",
        "address": "a:1",
        "hall": "gdl-a",
        "leaving": False,
        "capacity": 4,
        "cold_s": 0.0,
        **overrides,
    }


def page(*entries: dict, token: str | None = None, zone: str = "gdl-a") -> bytes:
    return json.dumps({"instances": {zone: list(entries)}, "next_token": token}).encode()


class Platform:
    """A pager whose calls are answered by the test."""

    def __init__(self, **overrides: object) -> None:
        self.pager = Pager(platform="10.9.9.9:1", reader=WORKERS.WorkersReader(), **overrides)
        self.now = 0.0
        self.paths: list[str] = []

    def run_pass(self, *pages: bytes | int) -> list | None:
        """Run one pass over these pages (an int is a status code); the ids it returns, or None."""
        self.now = max(self.now, self.pager.next_at)
        commands, complete_list = self.pager.step(now=self.now, event=None)
        for page in pages:
            call = commands[0]
            self.paths.append(call.path)
            code = page if isinstance(page, int) else 200
            commands, complete_list = self.pager.step(
                now=self.now,
                event=CallFinished(
                    token=call.token,
                    code=code,
                    headers={},
                    body=page if isinstance(page, bytes) else b"",
                    fault="",
                    sent=True,
                ),
            )
        return None if complete_list is None else [worker["id"] for worker in complete_list.workers]


def test_pages_are_asked_for_by_token_and_read_into_rows() -> None:
    found = WORKERS.WorkersReader().read(body=page(entry("i-1", state="draining", cold_left_s=2.5), token="p-50"))
    assert (
        found.rows
        == [
            {
                "id": "i-1",
                "generation": 0,
                "service": "red",
                "address": "10.1.1.1:80",
                "hall": "gdl-a",
                "leaving": True,
                "capacity": 4,
                "cold_s": 2.5,
            }
        ]
        and found.next == "p-50"
    )
    platform = Platform()
    assert platform.run_pass(page(entry("i-1"), token="p/ 1"), page(entry("i-2"), zone="ens-a")) == ["i-1", "i-2"]
    assert platform.paths == ["/workers", "/workers?page_token=p%2F%201"]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"instances":{}}',
        b'{"instances":3,"next_token":null}',
        page({"id": "x"}),
        page(entry("")),
        b'{"instances":{"a":3},"next_token":null}',
        page(entry("i", state=None)),
        page(entry("i"), token=3),
    ],
)
def test_unreadable_pages_fail_the_pass(body: bytes) -> None:
    assert isinstance(WORKERS.WorkersReader().read(body=body), FailedPass)
    assert Platform().run_pass(body) is None


def test_a_plain_list_with_zones_is_read_too() -> None:
    body = json.dumps({"instances": [{**entry("i-1"), "zone": "ens-a"}], "next_token": None}).encode()
    assert WORKERS.WorkersReader().read(body=body).rows[0]["hall"] == "ens-a"


def test_a_failed_pass_is_discarded_and_the_next_ones_back_off() -> None:
    platform = Platform()
    assert platform.run_pass(page(entry("i-1"))) == ["i-1"]
    waits = []
    for _ in range(6):
        assert platform.run_pass(page(entry("i-1"), token="p"), 429) is None
        waits.append(platform.pager.next_at - platform.now)
    assert waits == sorted(waits) and waits[0] < waits[3] and waits[-1] <= constants.ENDPOINT_LIST_MAX_BACKOFF
    assert platform.run_pass(page(entry("i-1"))) == ["i-1"]
    assert platform.pager.next_at - platform.now <= constants.ENDPOINT_LIST_INTERVAL


def test_a_later_row_wins_and_a_row_missing_from_one_pass_of_many_pages_is_kept_once() -> None:
    platform = Platform()
    assert platform.run_pass(page(entry("i-1"), entry("i-2"), token="p"), page(entry("i-1", state="draining"))) == [
        "i-1",
        "i-2",
    ]
    assert platform.pager.rows["i-1"]["leaving"]
    assert platform.run_pass(page(entry("i-1"), token="p"), page(entry("i-3"))) == ["i-1", "i-2", "i-3"]
    assert platform.run_pass(page(entry("i-1"), token="p"), page(entry("i-3"))) == ["i-1", "i-3"]
    assert platform.run_pass(page(entry("i-3"))) == ["i-3"]


@pytest.mark.parametrize(("rate", "pollers", "pages"), [(37.0, 3, 1), (37.0, 4, 20), (0.0, 4, 4), (2.0, 3, 1)])
def test_all_pollers_together_stay_under_half_of_the_rate(rate: float, pollers: int, pages: int) -> None:
    platform = Platform(rate=rate, pollers=pollers)
    body = [page(entry(f"i-{at}"), token=str(at) if at < pages - 1 else None) for at in range(pages)]
    platform.run_pass(*body)
    first_pass_at = platform.pager.next_at
    platform.run_pass(*body)
    pause = platform.pager.next_at - first_pass_at
    assert pause >= constants.ENDPOINT_LIST_INTERVAL and (rate == 0 or pages * pollers / pause < rate / 2)


def test_a_pass_over_an_endless_list_fails() -> None:
    assert Platform().run_pass(*[page(entry("i-1"), token="p")] * constants.ENDPOINT_LIST_MAX_PAGES) is None


def test_a_decreasing_cold_time_is_no_update_but_an_increase_is() -> None:
    incarnations = Incarnations(post="a:1", number=100)
    assert incarnations.step(now=0.0, rows=[row("i-1", cold_s=3.0)])
    assert not incarnations.step(now=1.0, rows=[row("i-1", cold_s=2.1)])
    assert json.loads(incarnations.value["text"])[0]["cold_s"] == 2.1 and incarnations.number == 101
    assert not incarnations.step(now=4.0, rows=[row("i-1")])
    assert json.loads(incarnations.value["text"])[0]["cold_s"] == 0
    assert not incarnations.step(now=5.0, rows=[row("i-1")])
    assert incarnations.step(now=6.0, rows=[row("i-1", cold_s=3.0)])
    assert incarnations.step(now=6.5, rows=[row("i-1", cold_s=2.5, leaving=True)])
    assert (
        incarnations.step(now=7.0, rows=[])
        and incarnations.value["mark"] == "a:1"
        and incarnations.value["number"] == 104
    )


def test_leaving_and_removed_workers_remain_so_despite_a_stale_list() -> None:
    table = EndpointTable()
    assert table.replace(now=0.0, workers=[row("i-1"), row("i-2", capacity=7, cold_s=2.0)]) == ({"i-1", "i-2"}, set())
    assert (table.workers["i-2"].capacity, table.workers["i-2"].slow_start, table.workers["i-2"].key) == (7, 2.0, "i-2")
    table.replace(now=10.0, workers=[row("i-1", leaving=True), row("i-2")])
    table.replace(now=10.5, workers=[row("i-1"), row("i-2")])
    assert table.workers["i-1"].leaving
    assert table.replace(now=11.0, workers=[row("i-2")]) == (set(), {"i-1"})
    assert table.replace(now=11.1, workers=[row("i-1"), row("i-2")]) == (set(), set())
    assert set(table.workers) == {"i-2"}


def test_a_recently_added_worker_that_an_older_list_lacks_is_added_again() -> None:
    table = EndpointTable()
    table.replace(now=0.0, workers=[row("i-1")])
    table.replace(now=10.0, workers=[row("i-1"), row("i-new")])
    table.replace(now=10.2, workers=[row("i-1")])
    assert table.replace(now=10.7, workers=[row("i-1"), row("i-new")]) == ({"i-new"}, set())


def ask(have: list | None) -> dict:
    daemon = {"kind": "proxy", "id": "p", "start": 1}
    return {"kind": "ask", "have": {} if have is None else {"workers": have}, "report": {}, "daemon": daemon}


def test_a_list_is_pushed_only_to_proxies_that_follow_this_controller() -> None:
    updates_by_name = {"workers": (101, [0, ""], {"number": 101, "mark": "a:1", "trail": [], "text": "[]"})}
    for have, is_pushed in (
        (None, True),
        ([-1, "", [0, ""]], True),
        ([-1, "a:1", [0, ""]], True),
        ([100, "a:1", [0, ""]], True),
        ([101, "a:1", [0, ""]], False),
        ([7, "b:1", [0, ""]], False),
        ([500, "a:1", [0, ""]], True),
    ):
        commands = Subscribers(post="a:1").step(now=1.0, event=("p:1", ask(have)), updates=updates_by_name)
        assert [command.body["number"] for command in commands if isinstance(command, SendMessage)] == (
            [101] if is_pushed else []
        ), have


def test_a_push_is_repeated_only_when_a_request_shows_that_it_was_lost() -> None:
    updates_by_name = {"workers": (101, [0, ""], {"number": 101, "mark": "a:1", "trail": [], "text": "[]"})}
    subscribers = Subscribers(post="a:1")
    assert subscribers.step(now=1.0, event=("p:1", ask([100, "a:1", [0, ""]])), updates=updates_by_name)
    assert not subscribers.step(now=1.4, event=None, updates=updates_by_name)
    assert subscribers.step(now=1.5, event=("p:1", ask([100, "a:1", [0, ""]])), updates=updates_by_name)
    assert not subscribers.step(now=2.0, event=("p:1", ask([101, "a:1", [0, ""]])), updates=updates_by_name)


def test_controllers_page_through_the_list_and_publish_it() -> None:
    net = CoreNet(zones=["gdl-a", "ens-a", "gdl-b", "ens-b"])
    net.rows = [{**entry("i-1"), "zone": "gdl-a"}]
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    net.run(2.0)
    listed = net.ask(net.machines[0], method="GET", path="/workers")[1]["workers"]
    assert [row["id"] for row in listed] == ["i-1"] and listed[0]["capacity"] == 4
