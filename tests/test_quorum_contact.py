"""Contact with a majority: what proves it, for how long, and how a controller without it replies."""

from __future__ import annotations

import itertools

import pytest

from sailward import constants
from sailward.consensus.learner import CONTROL_REGISTERS
from sailward.control.group.quorum_contact import QuorumContact
from sailward.events import MessageReceived, RequestReceived
from sailward.proxy.control_client import ControlClient
from tests.core_net import CoreNet, make_written
from tests.test_bootstrap import found, put

MEMBERS = {f"v{at}": f"post{at}" for at in range(3)}
TTL = constants.QUORUM_CONTACT_TTL


def has(contact: QuorumContact, *, now: float, members: dict = MEMBERS, own: str = "v0") -> bool:
    return contact.has_contact(now=now, members=members, own=own)


def read_all(contact: QuorumContact, *, now: float) -> None:
    for name in CONTROL_REGISTERS:
        contact.finish_read(now=now, register=name, begun_at=now)


def test_contact_lasts_from_the_request_not_from_the_reply() -> None:
    contact = QuorumContact(started_at=0.0)
    contact.record_request(now=10.0, request=7)
    contact.on_reply(peer="post1", request=7)  # however late it arrived
    assert has(contact, now=10.0 + TTL) and not has(contact, now=10.0 + TTL + 0.01)


def test_a_reply_to_an_unknown_or_expired_request_proves_nothing() -> None:
    contact = QuorumContact(started_at=0.0)
    contact.record_request(now=10.0, request=7)
    contact.on_reply(peer="post1", request=8)
    assert not has(contact, now=10.1)
    contact.step(now=10.0 + TTL + 0.1, members=MEMBERS, own="v0")
    contact.on_reply(peer="post1", request=7)
    assert not has(contact, now=10.0 + TTL + 0.1)


def test_a_retried_request_counts_from_its_first_sending() -> None:
    contact = QuorumContact(started_at=0.0)
    contact.record_request(now=10.0, request="read")
    contact.record_request(now=11.0, request="read")
    contact.on_reply(peer="post1", request="read")
    assert contact.last_majority_at(now=11.1, members=MEMBERS, own="v0") == 10.0


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 6])
@pytest.mark.parametrize("is_voter", [True, False])
def test_contact_takes_replies_of_a_majority(size: int, is_voter: bool) -> None:
    members = {f"v{at}": f"post{at}" for at in range(size)}
    others = [post for name, post in members.items() if not (is_voter and name == "v0")]
    for count in range(len(others) + 1):
        for answering in itertools.combinations(others, count):
            contact = QuorumContact(started_at=0.0)
            contact.record_request(now=10.0, request=1)
            for post in answering:
                contact.on_reply(peer=post, request=1)
            expected = 2 * (count + is_voter) > size
            assert has(contact, now=10.5, members=members, own="v0" if is_voter else "") is expected


def test_without_voters_there_is_no_contact() -> None:
    assert not has(QuorumContact(started_at=0.0), now=1.0, members={}, own="")


def test_it_serves_only_when_each_register_was_read_after_the_gap() -> None:
    contact = QuorumContact(started_at=0.0)

    def reach(now: float) -> None:
        contact.record_request(now=now, request=f"q{now}")
        contact.on_reply(peer="post1", request=f"q{now}")
        contact.step(now=now, members=MEMBERS, own="v0")

    reach(1.0)
    assert not contact.may_serve(now=1.0, members=MEMBERS, own="v0")
    read_all(contact, now=1.1)
    assert contact.may_serve(now=1.1, members=MEMBERS, own="v0")
    contact.step(now=9.0, members=MEMBERS, own="v0")
    reach(9.5)
    assert not contact.may_serve(now=9.5, members=MEMBERS, own="v0")
    contact.finish_read(now=9.6, register="config", begun_at=8.9)
    assert contact.unread_registers == set(CONTROL_REGISTERS)  # that read began before the gap was noticed
    for name in CONTROL_REGISTERS[:-1]:
        contact.finish_read(now=9.6, register=name, begun_at=9.5)
    assert not contact.may_serve(now=9.6, members=MEMBERS, own="v0")
    contact.finish_read(now=9.6, register=CONTROL_REGISTERS[-1], begun_at=9.5)
    assert contact.may_serve(now=9.6, members=MEMBERS, own="v0")


def test_a_process_resumed_after_a_suspend_has_no_contact() -> None:
    contact = QuorumContact(started_at=0.0)
    contact.record_request(now=1.0, request=1)
    contact.on_reply(peer="post1", request=1)
    contact.step(now=1.0, members=MEMBERS, own="v0")
    read_all(contact, now=1.0)
    # after a suspend, queued messages are handled before any timer: a reply to an old request, then a config request
    contact.on_reply(peer="post2", request=1)
    assert not contact.may_serve(now=31.0, members=MEMBERS, own="v0")


def serving(net: CoreNet) -> list[str]:
    return [
        machine.name
        for machine in net.machines
        if machine.controller is not None and machine.controller.contact_watch.may_serve(now=net.now)
    ]


def test_all_controllers_of_a_healthy_core_serve_all_the_time() -> None:
    net = found()
    net.run(1.0)
    names = [machine.name for machine in net.machines]
    for _ in range(120):
        net.run(0.25)
        assert serving(net) == names


def test_a_diskless_controller_that_is_not_a_voter_serves_too() -> None:
    net = found(bare=frozenset({"m3"}))
    net.run(2.0)
    assert "m3" in serving(net) and "m3" not in net.members()


def test_a_partitioned_controller_answers_503_in_time_and_nothing_definitive() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    net.cut = {"m0"}
    net.run(TTL + 0.1)
    assert "m0" not in serving(net)
    cut = net.machines[0]
    for method, path, body, if_match in (
        ("GET", "/config", b"", None),
        ("PUT", "/config", make_written(label=2), "r7"),
        ("PUT", "/config", make_written(label=2), "r1"),
        ("POST", "/evacuation/nowhere", b"", None),
        ("DELETE", "/evacuation/gdl-a", b"", None),
    ):
        code, _, seconds = net.ask(cut, method=method, path=path, body=body, if_match=if_match)
        assert code == 503 and seconds < 0.1, (method, path)
        assert float(net.answers[f"desk {net.calls}"].headers["Retry-After"]) > 0
    assert net.ask(cut, method="GET", path="/status")[1]["contact"]["serves"] is False


def test_an_operator_gets_an_answer_in_time_right_after_a_partition() -> None:
    for delay in (0.0, 0.5, 1.0, 1.5, 2.0):
        net = found(replace_after=99.0)
        put(net, label=1, on="0")
        net.cut = {"m0"}
        net.run(delay)
        for method, body in (("GET", b""), ("PUT", make_written(label=2))):
            code, _, seconds = net.ask(net.machines[0], method=method, path="/config", body=body, if_match="r1")
            assert code == 503 and seconds < constants.OPERATOR_QUORUM_TIMEOUT + 0.1, (delay, method, code, seconds)


def test_a_proxy_is_told_of_lost_contact_and_gets_pushes_only_as_a_last_resort() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    net.cut = {"m0"}
    net.run(TTL + 0.1)
    cut = net.machines[0].controller

    def ask(**report: object) -> list[dict]:
        daemon = {
            "id": "p",
            "kind": "proxy",
            "hall": "gdl-a",
            "region": "gdl",
            "http": "h",
            "start": 1,
            "fit": True,
        }
        body = {"kind": "ask", "seq": 1, "have": {}, "report": report, "daemon": daemon}
        return [
            command.body for command in cut.step(now=net.now, event=MessageReceived(sender="10.0.0.99:1", body=body))
        ]

    [grant] = ask()
    assert grant["kind"] == "grant" and grant["contact"] is False
    assert {post for post, _, _ in grant["controllers"]} == {machine.post for machine in net.machines[1:]}
    *pushes, _ = ask(last_resort=True)
    assert "config" in {push["name"] for push in pushes} and all(push["contact"] is False for push in pushes)


def test_a_controller_without_contact_redirects_operators_to_one_that_has_it() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    controller = net.machines[0].controller
    controller.contact_watch.contact.reached_at.clear()
    event = RequestReceived(token="desk x", method="GET", path="/config", query={}, headers={}, body=b"")
    [answer] = controller.step(now=net.now, event=event)
    assert answer.code == 307
    assert answer.headers["Location"] in {f"http://{machine.post}/config" for machine in net.machines[1:]}


def test_after_a_partition_it_soon_serves_the_newest_value_and_never_an_older_one() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    net.cut = {"m0"}
    net.run(TTL + 0.5)
    code, _, _ = net.ask(net.machines[1], method="PUT", path="/config", body=make_written(label=2), if_match="r1")
    assert code == 200
    net.run(20.0)
    net.cut = set()
    healed = net.now
    cut = net.machines[0].controller

    def serves() -> bool:
        if not cut.contact_watch.may_serve(now=net.now):
            return False
        assert cut.learner.number(name="config") == 2
        return True

    assert net.run(5.0, until=serves) and net.now - healed < 2.0


def test_the_numbers_in_heartbeats_trigger_a_read_of_an_unannounced_value() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    net.run(1.0)
    behind = net.machines[0].controller
    receive = behind.step
    lost = {"prepare", "accept", "chosen", "read"}
    behind.step = lambda *, now, event: (
        [] if isinstance(event, MessageReceived) and event.body["kind"] in lost else receive(now=now, event=event)
    )
    code, _, _ = net.ask(net.machines[1], method="PUT", path="/config", body=make_written(label=2), if_match="r1")
    assert code == 200 and behind.learner.number(name="config") == 1
    assert net.run(2.0, until=lambda: behind.learner.number(name="config") == 2)
    assert "m0" in serving(net)


def test_a_core_that_lost_its_majority_for_good_serves_proxies_as_a_last_resort_only() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    for machine in net.machines[1:]:
        net.kill(machine, wipe=True)
    net.run(30.0)
    assert serving(net) == []
    assert net.ask(net.machines[0], method="GET", path="/config")[0] == 503


def make_uplink() -> ControlClient:
    return ControlClient(zone="north-a", region="north", seeds=("near", "far"))


def grant(control_client: ControlClient, *, now: float, sender: str, zone: str, **more: object) -> None:
    control_client.step(now=now, sender=sender, body={"view": {"place": [zone, zone.partition("-")[0]]}, **more})


def test_a_proxy_leaves_a_lead_that_lost_contact_at_once_and_asks_the_controllers_it_names() -> None:
    control_client = make_uplink()
    control_client.step(now=1.0, sender=None, body={"kind": "ask"})
    grant(control_client, now=1.1, sender="near", zone="north-a")
    grant(control_client, now=1.1, sender="far", zone="south-a")
    assert control_client.followed_controller == "near"
    grant(
        control_client,
        now=1.5,
        sender="near",
        zone="north-a",
        contact=False,
        controllers=[["third", "north-b", "north"]],
    )
    assert control_client.followed_controller == "far" and "third" in control_client.controllers
    asked = {
        command.to
        for command in control_client.step(now=1.5, sender=None, body={"kind": "ask"})
        if hasattr(command, "to")
    }
    assert "third" in asked
    grant(control_client, now=1.6, sender="near", zone="north-a")
    assert control_client.followed_controller == "near"


def test_a_proxy_follows_a_controller_without_contact_only_as_a_last_resort() -> None:
    control_client = make_uplink()
    begun, led_at = 1.0, None
    for at in range(100):
        now = begun + at * constants.TICK_INTERVAL
        for command in control_client.step(now=now, sender=None, body={"kind": "ask"}):
            if getattr(command, "to", "") == "near":
                grant(control_client, now=now + 0.01, sender="near", zone="north-a", contact=False)
        led_at = led_at or (now if control_client.followed_controller else None)
    assert led_at is not None
    assert constants.LAST_RESORT_DELAY <= led_at - begun <= constants.LAST_RESORT_DELAY + 2 * constants.POLL_TIMEOUT
    grant(control_client, now=now, sender="far", zone="south-a")
    assert control_client.followed_controller == "far" and not control_client.is_last_resort(now=now)


def test_an_answer_of_the_previous_version_counts_as_one_with_contact() -> None:
    control_client = make_uplink()
    control_client.step(now=1.0, sender=None, body={"kind": "ask"})
    grant(control_client, now=1.1, sender="near", zone="north-a")
    assert control_client.followed_controller == "near"


@pytest.mark.parametrize("controllers", [None, 3, "x", [3], [["a"]], [["a", 1, "c"]], [["a", "b", "c", "d"]]])
def test_malformed_names_of_other_controllers_are_ignored(controllers: object) -> None:
    control_client = make_uplink()
    grant(control_client, now=1.1, sender="near", zone="north-a", contact=False, controllers=controllers)
    assert set(control_client.controllers) == {"near"}
