"""No owner fails on a message that check_message accepts; what it refuses, it refuses with a reason."""

from __future__ import annotations

import copy
import functools
import json
import random
from pathlib import Path

from flatbuffers import flexbuffers
from hypothesis import given, settings
from hypothesis import strategies as st

from sailward.consensus.messages import FIELDS, BadMessage, check_message, pack_message, read_message
from sailward.control.controller import Controller
from sailward.discovery.peer_table import Location
from sailward.events import MessageReceived, Respond, TimerFired
from sailward.proxy.directory_server import DirectoryServer
from sailward.proxy.proxy import Proxy, ProxyOptions
from sailward.proxy.tenant_proxy import TenantProxy
from sailward.transport.message_transport import LENGTH, PLAIN, pack_body, read_body
from tests.core_net import CONFIG, ZONES, CoreNet, make_written
from tests.fuzz_kit import ANYTHING, BOUNDED, near

EXAMPLES = json.loads((Path(__file__).parent / "fixtures" / "message-examples.json").read_text("utf-8"))


def _with_bytes(value: object) -> object:
    if isinstance(value, dict):
        return (
            bytes(value["$bytes"]) if "$bytes" in value else {name: _with_bytes(inner) for name, inner in value.items()}
        )
    return [_with_bytes(inner) for inner in value] if isinstance(value, list) else value


VALID = [_with_bytes(body) for rows in EXAMPLES.values() for body in rows]


def make_location(*, kind: str) -> Location:
    return Location(
        name="d1",
        kind=kind,
        zone="gdl-a",
        region="gdl",
        post="10.0.0.8:7620",
        http="10.0.0.8:80",
        seeds=("10.0.0.1:7620",),
    )


@functools.cache
def make_running_net() -> CoreNet:
    net = CoreNet(zones=list(ZONES)[:3])
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    assert net.run(30.0, until=lambda: len(net.voting()) == 3)
    code, _, _ = net.ask(net.machines[0], method="PUT", path="/config", body=make_written(label=7), if_match="0")
    assert code == 200
    net.run(2.0)
    return net


@functools.cache
def owners() -> dict:
    """One owner of each kind as in a running fleet, and a controller that has just started on an empty disk."""
    net = make_running_net()
    proxy = Proxy(
        location=make_location(kind="proxy"),
        start=1,
        rng=random.Random(1),
        options=ProxyOptions(expand=lambda given: CONFIG.expand(given, ZONES), regions=tuple(ZONES.items())),
    )
    for name, learned in net.machines[0].controller.learner.values.items():
        body = {"kind": "push", "seq": 1, "name": name, "number": 1, "ballot": learned.ballot, "value": learned.value}
        proxy.step(now=net.now, event=MessageReceived(sender="10.0.0.1:7620", body=body))
    return {
        "voter": net.machines[0].controller,
        "fresh": Controller(
            location=make_location(kind="controller"),
            platform="",
            nonce="1",
            start=1,
            rng=random.Random(1),
            records=[],
            now=0.0,
        ),
        "proxy": proxy,
        "tenant proxy": TenantProxy(
            location=make_location(kind="proxy"), nonce="1", start=1, rng=random.Random(1), now=0.0
        ),
        "directory": DirectoryServer(location=make_location(kind="directory"), start=1, rng=random.Random(1)),
    }


def deliver(*, bodies: list) -> None:
    """Deliver messages to a copy of an owner of each kind, then advance the time."""
    now = make_running_net().now
    for name, owner in owners().items():
        owner_copy = copy.deepcopy(owner)
        for at, body in enumerate(bodies):
            sender = "10.0.0.1:7620" if at % 2 else "10.0.0.2:7620"
            commands = owner_copy.step(now=now, event=MessageReceived(sender=sender, body=copy.deepcopy(body)))
            assert not [command for command in commands if isinstance(command, Respond)], name
        for heartbeat in range(1, 60, 6):
            owner_copy.step(now=now + 0.05 * heartbeat, event=TimerFired(wall=7.0 + heartbeat))


def over_the_wire(*, body: object) -> dict | BadMessage | None:
    """The body as decoded by the receiver; None if it can't be encoded."""
    try:
        frame = pack_body(body=body)
    except Exception:  # noqa: BLE001 - what can't be sent is never received
        return None
    _, encoding = LENGTH.unpack_from(frame)
    return read_body(payload=frame[LENGTH.size :], encoding=encoding)


def test_each_example_is_accepted_and_every_kind_has_one() -> None:
    assert set(EXAMPLES) == set(FIELDS)
    for body in VALID:
        assert check_message(body=body) is body
        assert over_the_wire(body=body) == body
        assert read_message(payload=pack_message(body=body)) == body
    deliver(bodies=VALID)


@settings(BOUNDED, max_examples=400)
@given(bodies=st.lists(near(st.sampled_from(VALID)), min_size=1, max_size=3))
def test_what_the_check_accepts_no_owner_trips_over(bodies: list) -> None:
    accepted = []
    for body in bodies:
        checked = check_message(body=body)
        if isinstance(checked, BadMessage):
            assert checked.reason
            continue
        came = over_the_wire(body=body)
        if came is not None:
            assert isinstance(came, BadMessage) or came["kind"] == body["kind"]
            accepted += [came] if isinstance(came, dict) else []
    if accepted:
        deliver(bodies=accepted)


@settings(BOUNDED, max_examples=400)
@given(body=ANYTHING | st.fixed_dictionaries({"kind": st.sampled_from(sorted(FIELDS)) | ANYTHING}))
def test_the_check_refuses_any_other_value_with_a_reason(body: object) -> None:
    checked = check_message(body=body)
    assert checked is body or checked.reason


@settings(BOUNDED, max_examples=600)
@given(payload=st.binary(max_size=200), encoding=st.integers(0, 255))
def test_random_bytes_are_refused_with_a_reason(payload: bytes, encoding: int) -> None:
    for read in (read_message(payload=payload), read_body(payload=payload, encoding=encoding)):
        assert isinstance(read, dict) or read.reason


@settings(BOUNDED, max_examples=300)
@given(body=st.sampled_from(VALID), cuts=st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 255)), max_size=4))
def test_damaged_frames_are_refused_or_pass_the_check(body: dict, cuts: list) -> None:
    frame = bytearray(pack_body(body=body))
    _, encoding = LENGTH.unpack_from(frame)
    payload = frame[LENGTH.size :]
    for at, value in cuts:
        payload[at % len(payload)] = value
    read = read_body(payload=bytes(payload), encoding=encoding)
    if isinstance(read, BadMessage):
        assert read.reason
    else:
        deliver(bodies=[read])


def test_a_register_name_reserved_for_the_data_file_is_refused() -> None:
    body = {**_with_bytes(EXAMPLES["accept"][0]), "register": "known/voters"}
    assert check_message(body=body) == BadMessage(reason="field:accept.register")
    # frames in the other form are checked in the same way
    assert PLAIN == 0 and flexbuffers.Loads(pack_message(body=body))["register"] == "known/voters"
