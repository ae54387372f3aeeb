"""Each owner handles each kind of event at any time: no event crashes its process because the owner lacks a handler."""

from __future__ import annotations

import ast
import dataclasses
import inspect
import json
import random

import pytest

from sailward import events
from sailward.control.controller import Controller
from sailward.discovery.peer_table import Location
from sailward.events import ClientDisconnected, LogEvent, RequestReceived, Respond, SendMessage, TimerFired
from sailward.proxy.directory_server import DirectoryServer
from sailward.proxy.proxy import Proxy, ProxyOptions
from sailward.proxy.tenant_proxy import TenantProxy
from tests.core_net import ZONES, CoreNet

MESSAGE = {"kind": "want", "register": "config"}
EVENTS = [
    events.TimerFired(wall=7.0),
    events.MessageReceived(sender="10.0.0.9:7620", body=MESSAGE),
    events.RecordsSynced(seq=0),
    events.DiskWriteFailed(seq=0, full=True, reason="no room"),
    events.RequestReceived(token="desk 1", method="GET", path="/status", query={}, headers={}, body=b""),
    events.ClientDisconnected(token="desk 1"),
    events.CallFinished(token="x 1", code=0, headers={}, body=b"", fault="reset", sent=False),
    events.CallFinished(token="probe 1", code=0, headers={}, body=b"", fault="reset", sent=False),
    events.CallFinished(token="page 1", code=0, headers={}, body=b"", fault="reset", sent=False),
    events.CallFinished(token="grant 1", code=0, headers={}, body=b"", fault="reset", sent=False),
    events.CallFinished(token="release 1", code=0, headers={}, body=b"", fault="reset", sent=False),
    events.ConfigValidated(token="check 1", verdict=None),
    events.ShutdownRequested(),
]


@dataclasses.dataclass(frozen=True)
class EventOfLaterVersion:
    """An event type that no owner knows."""


def make_location(*, kind: str) -> Location:
    return Location(
        name="d1",
        kind=kind,
        zone="gdl-a",
        region="gdl",
        post="10.0.0.8:7620",
        http="10.0.0.8:80",
        seeds=("10.0.0.9:7620",),
    )


def make_net() -> CoreNet:
    net = CoreNet(zones=list(ZONES)[:3])
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    assert net.run(30.0, until=lambda: len(net.voting()) == 3)
    net.run(3.0)
    return net


def make_controller() -> Controller:
    return make_net().machines[0].controller


def make_proxy() -> Proxy:
    return Proxy(location=make_location(kind="proxy"), start=1, rng=random.Random(1), options=ProxyOptions())


def make_tenant_proxy() -> TenantProxy:
    return TenantProxy(location=make_location(kind="proxy"), nonce="n", start=1, rng=random.Random(1), now=0.0)


def make_directory() -> DirectoryServer:
    return DirectoryServer(location=make_location(kind="directory"), start=1, rng=random.Random(1))


OWNERS = {
    "controller": make_controller,
    "proxy": make_proxy,
    "tenant-proxy": make_tenant_proxy,
    "directory": make_directory,
}


def test_the_event_union_lists_every_event_that_an_edge_can_give() -> None:
    assert {type(event) for event in EVENTS} == set(events.Event.__args__)


def test_each_public_class_of_the_module_is_an_event_or_a_command() -> None:
    public = {cls for _, cls in inspect.getmembers(events, inspect.isclass) if cls.__module__ == events.__name__}
    assert public - {events.UnexpectedEvents, events.RefusedInput} == {*events.Event.__args__, *events.Command.__args__}


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("event", EVENTS, ids=lambda event: f"{type(event).__name__}-{getattr(event, 'token', '')}")
def test_every_owner_answers_every_event_with_commands(owner: str, event: object) -> None:
    instance = OWNERS[owner]()
    commands = instance.step(now=50.0, event=event)
    assert all(isinstance(command, events.Command) for command in commands)
    # the owner goes on working afterwards
    instance.step(now=50.1, event=TimerFired(wall=7.1))


@pytest.mark.parametrize("owner", OWNERS)
def test_an_unknown_event_is_logged_and_counted_and_does_not_stop_the_owner(owner: str) -> None:
    instance = OWNERS[owner]()
    for count in (1, 2):
        commands = instance.step(now=50.0, event=EventOfLaterVersion())
        logs = [
            command for command in commands if isinstance(command, LogEvent) and command.event == "event-unexpected"
        ]
        assert [log.fields for log in logs] == [{"type": "EventOfLaterVersion", "count": count}]
    instance.step(now=50.1, event=TimerFired(wall=7.1))


def test_an_unknown_event_is_not_handled_as_a_tick() -> None:
    proxy = make_proxy()
    commands = proxy.step(now=50.0, event=EventOfLaterVersion())
    assert not [command for command in commands if isinstance(command, SendMessage)]
    commands = proxy.step(now=50.0, event=TimerFired(wall=7.0))
    assert [command for command in commands if isinstance(command, SendMessage)]


def test_an_order_whose_client_disconnects_before_it_has_begun_is_dropped() -> None:
    net = make_net()
    machine = net.voting()[0]
    controller = machine.controller
    token = "desk left"
    event = RequestReceived(token=token, method="POST", path="/evacuation/gdl-b", query={}, headers={}, body=b"")
    net.give(machine, event=event)
    net.give(machine, event=ClientDisconnected(token=token))
    net.run(10.0)
    # a client that has closed only its sending side can still read the answer
    assert net.answers[token].code == 503 and b"nothing was changed" in net.answers[token].body
    assert not controller.admin_api.jobs
    orders = controller.learner.values.get("orders")
    assert orders is None or "gdl-b" not in json.loads(orders.value["text"])["emptied"]


def test_an_order_that_has_begun_goes_on_when_its_client_disconnects() -> None:
    net = make_net()
    machine = net.voting()[0]
    controller = machine.controller
    token = "desk left"
    event = RequestReceived(token=token, method="POST", path="/evacuation/gdl-b", query={}, headers={}, body=b"")
    net.give(machine, event=event)
    assert net.run(10.0, until=lambda: any(op.endswith("/change") for op in controller.admin_api.jobs))
    net.give(machine, event=ClientDisconnected(token=token))
    net.run(10.0)
    # nobody reads the answer any more, but it is given as for any other order
    assert isinstance(net.answers[token], Respond) and net.answers[token].code == 200
    assert json.loads(controller.learner.values["orders"].value["text"])["emptied"] == ["gdl-b"]


def test_an_order_of_another_client_of_the_same_controller_is_not_affected() -> None:
    net = make_net()
    machine = net.voting()[0]
    for zone in ("gdl-b", "ens-b"):
        net.give(
            machine,
            event=RequestReceived(
                token=f"desk {zone}", method="POST", path=f"/evacuation/{zone}", query={}, headers={}, body=b""
            ),
        )
    net.give(machine, event=ClientDisconnected(token="desk gdl-b"))
    net.run(10.0)
    assert net.answers["desk ens-b"].code == 200
    assert json.loads(machine.controller.learner.values["orders"].value["text"])["emptied"] == ["ens-b"]


@pytest.mark.parametrize("owner", [Controller, Proxy, TenantProxy, DirectoryServer])
def test_each_owner_lists_every_event_in_its_match(owner: type) -> None:
    """The type checker proves the same by `Never` at the end of the match; this test needs no type checker."""
    tree = ast.parse(inspect.getsource(inspect.getmodule(owner)))
    matches = [
        {pattern.cls.id for pattern in ast.walk(node) if isinstance(pattern, ast.MatchClass)}
        for node in ast.walk(tree)
        if isinstance(node, ast.Match) and isinstance(node.subject, ast.Name) and node.subject.id == "event"
    ]
    assert {event_type.__name__ for event_type in events.Event.__args__} in matches
