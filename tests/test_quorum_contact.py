"""Contact with a majority: what shows it, for how long, and what a controller without it says."""

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
        contact.finish_read(now=now, register=name, begun=now)


def test_contact_lasts_from_the_question_not_from_the_answer() -> None:
    contact = QuorumContact(started=0.0)
    contact.record_question(now=10.0, question=7)
    contact.on_answer(peer="post1", question=7)  # it came late: at 10.0 + LIFE - 0.1, say
    assert has(contact, now=10.0 + TTL) and not has(contact, now=10.0 + TTL + 0.01)


def test_an_answer_to_what_was_never_asked_or_is_forgotten_shows_nothing() -> None:
    contact = QuorumContact(started=0.0)
    contact.record_question(now=10.0, question=7)
    contact.on_answer(peer="post1", question=8)
    assert not has(contact, now=10.1)
    contact.step(now=10.0 + TTL + 0.1, members=MEMBERS, own="v0")
    contact.on_answer(peer="post1", question=7)
    assert not has(contact, now=10.0 + TTL + 0.1)


def test_a_question_that_is_sent_again_counts_from_the_first_time() -> None:
    contact = QuorumContact(started=0.0)
    contact.record_question(now=10.0, question="read")
    contact.record_question(now=11.0, question="read")
    contact.on_answer(peer="post1", question="read")
    assert contact.shown_at(now=11.1, members=MEMBERS, own="v0") == 10.0


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 6])
@pytest.mark.parametrize("is_voter", [True, False])
def test_it_is_a_majority_that_must_answer(size: int, is_voter: bool) -> None:
    members = {f"v{at}": f"post{at}" for at in range(size)}
    others = [post for name, post in members.items() if not (is_voter and name == "v0")]
    for count in range(len(others) + 1):
        for answering in itertools.combinations(others, count):
            contact = QuorumContact(started=0.0)
            contact.record_question(now=10.0, question=1)
            for post in answering:
                contact.on_answer(peer=post, question=1)
            expected = 2 * (count + is_voter) > size
            assert has(contact, now=10.5, members=members, own="v0" if is_voter else "") is expected


def test_without_voters_there_is_no_contact() -> None:
    assert not has(QuorumContact(started=0.0), now=1.0, members={}, own="")


def test_it_serves_only_when_each_register_was_read_after_the_gap() -> None:
    contact = QuorumContact(started=0.0)

    def reach(now: float) -> None:
        contact.record_question(now=now, question=f"q{now}")
        contact.on_answer(peer="post1", question=f"q{now}")
        contact.step(now=now, members=MEMBERS, own="v0")

    reach(1.0)
    assert not contact.may_serve(now=1.0, members=MEMBERS, own="v0")
    read_all(contact, now=1.1)
    assert contact.may_serve(now=1.1, members=MEMBERS, own="v0")
    contact.step(now=9.0, members=MEMBERS, own="v0")
    reach(9.5)
    assert not contact.may_serve(now=9.5, members=MEMBERS, own="v0")
    contact.finish_read(now=9.6, register="config", begun=8.9)
    assert contact.unread == set(CONTROL_REGISTERS)  # that read was begun before the gap was noticed
    for name in CONTROL_REGISTERS[:-1]:
        contact.finish_read(now=9.6, register=name, begun=9.5)
    assert not contact.may_serve(now=9.6, members=MEMBERS, own="v0")
    contact.finish_read(now=9.6, register=CONTROL_REGISTERS[-1], begun=9.5)
    assert contact.may_serve(now=9.6, members=MEMBERS, own="v0")


def test_a_process_that_stood_still_has_no_contact_when_it_goes_on() -> None:
    contact = QuorumContact(started=0.0)
    contact.record_question(now=1.0, question=1)
    contact.on_answer(peer="post1", question=1)
    contact.step(now=1.0, members=MEMBERS, own="v0")
    read_all(contact, now=1.0)
    # what waited for it is handled before any alarm: an answer to an old question, then an asking for configurations
    contact.on_answer(peer="post2", question=1)
    assert not contact.may_serve(now=31.0, members=MEMBERS, own="v0")


def serving(net: CoreNet) -> list[str]:
    return [
        machine.name
        for machine in net.machines
        if machine.controller is not None and machine.controller.contact_watch.may_serve(now=net.now)
    ]


def test_all_controllers_of_a_calm_core_serve_all_the_time() -> None:
    net = found()
    net.run(1.0)
    names = [machine.name for machine in net.machines]
    for _ in range(120):
        net.run(0.25)
        assert serving(net) == names


def test_a_controller_without_a_disk_outside_of_the_voters_serves_too() -> None:
    net = found(bare=frozenset({"m3"}))
    net.run(2.0)
    assert "m3" in serving(net) and "m3" not in net.members()


def test_one_that_is_cut_off_says_so_in_time_and_answers_nothing_definite() -> None:
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
        code, _, took = net.ask(cut, method=method, path=path, body=body, if_match=if_match)
        assert code == 503 and took < 0.1, (method, path)
        assert float(net.answers[f"desk {net.calls}"].headers["Retry-After"]) > 0
    assert net.ask(cut, method="GET", path="/status")[1]["contact"]["serves"] is False


def test_an_operator_gets_an_answer_in_time_at_the_very_moment_of_the_cut() -> None:
    for delay in (0.0, 0.5, 1.0, 1.5, 2.0):
        net = found(replace_after=99.0)
        put(net, label=1, on="0")
        net.cut = {"m0"}
        net.run(delay)
        for method, body in (("GET", b""), ("PUT", make_written(label=2))):
            code, _, took = net.ask(net.machines[0], method=method, path="/config", body=body, if_match="r1")
            assert code == 503 and took < constants.OPERATOR_QUORUM_TIMEOUT + 0.1, (delay, method, code, took)


def test_a_proxy_is_told_and_is_pushed_nothing_unless_it_has_no_other() -> None:
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
        return [one.body for one in cut.step(now=net.now, event=MessageReceived(sender="10.0.0.99:1", body=body))]

    [grant] = ask()
    assert grant["kind"] == "grant" and grant["contact"] is False
    assert {post for post, _, _ in grant["controllers"]} == {machine.post for machine in net.machines[1:]}
    *pushes, _ = ask(last_resort=True)
    assert "config" in {one["name"] for one in pushes} and all(pushe["contact"] is False for pushe in pushes)


def test_one_that_hears_the_others_sends_operators_there() -> None:
    net = found(replace_after=99.0)
    put(net, label=1, on="0")
    cellar = net.machines[0].controller
    cellar.contact_watch.contact.reached.clear()
    event = RequestReceived(token="desk x", method="GET", path="/config", query={}, headers={}, body=b"")
    [answer] = cellar.step(now=net.now, event=event)
    assert answer.code == 307
    assert answer.headers["Location"] in {f"http://{machine.post}/config" for machine in net.machines[1:]}


def test_after_a_cut_it_serves_the_newest_soon_and_never_an_older_one() -> None:
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


def test_the_numbers_in_heartbeats_bring_what_was_never_told() -> None:
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


def test_a_proxy_leaves_a_lead_that_lost_contact_at_once_and_asks_those_that_it_names() -> None:
    control_client = make_uplink()
    control_client.step(now=1.0, sender=None, body={"kind": "ask"})
    grant(control_client, now=1.1, sender="near", zone="north-a")
    grant(control_client, now=1.1, sender="far", zone="south-a")
    assert control_client.lead == "near"
    grant(
        control_client,
        now=1.5,
        sender="near",
        zone="north-a",
        contact=False,
        controllers=[["third", "north-b", "north"]],
    )
    assert control_client.lead == "far" and "third" in control_client.known
    asked = {one.to for one in control_client.step(now=1.5, sender=None, body={"kind": "ask"}) if hasattr(one, "to")}
    assert "third" in asked
    grant(control_client, now=1.6, sender="near", zone="north-a")
    assert control_client.lead == "near"


def test_a_proxy_follows_one_without_contact_only_if_none_with_contact_answers_for_long() -> None:
    control_client = make_uplink()
    begun, led_at = 1.0, None
    for at in range(100):
        now = begun + at * constants.TICK_INTERVAL
        for one in control_client.step(now=now, sender=None, body={"kind": "ask"}):
            if getattr(one, "to", "") == "near":
                grant(control_client, now=now + 0.01, sender="near", zone="north-a", contact=False)
        led_at = led_at or (now if control_client.lead else None)
    assert led_at is not None
    assert constants.LAST_RESORT_DELAY <= led_at - begun <= constants.LAST_RESORT_DELAY + 2 * constants.POLL_TIMEOUT
    grant(control_client, now=now, sender="far", zone="south-a")
    assert control_client.lead == "far" and not control_client.is_last_resort(now=now)


def test_an_answer_of_the_last_version_counts_as_one_with_contact() -> None:
    control_client = make_uplink()
    control_client.step(now=1.0, sender=None, body={"kind": "ask"})
    grant(control_client, now=1.1, sender="near", zone="north-a")
    assert control_client.lead == "near"


@pytest.mark.parametrize("controllers", [None, 3, "x", [3], [["a"]], [["a", 1, "c"]], [["a", "b", "c", "d"]]])
def test_names_of_others_that_are_no_names_are_passed_over(controllers: object) -> None:
    control_client = make_uplink()
    grant(control_client, now=1.1, sender="near", zone="north-a", contact=False, controllers=controllers)
    assert set(control_client.known) == {"near"}
