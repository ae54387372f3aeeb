"""Operators' calls in a platform's API format, end to end over a group of controllers."""

from __future__ import annotations

import copy
import hashlib
import json

import pytest

from sailward import constants
from sailward.config.dialect import NativeDialect
from sailward.config.history import Segment, Verdict, digest_change, read_labelled, write_labelled
from sailward.control.administration import admin_api
from sailward.control.administration.admin_api import AdminApi
from sailward.control.administration.zone_orders import ZoneOrders
from sailward.events import ClientDisconnected
from tests.core_net import SYNC, ZONES, CoreNet, make_written


@pytest.fixture
def net() -> CoreNet:
    net = CoreNet(zones=["gdl-a", "ens-a", "gdl-b", "ens-b"])
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    net.run(1.0)
    return net


def put(net: CoreNet, written: object, if_match: str | None, at: int = 0, **more: object) -> int:
    return net.ask(net.machines[at], method="PUT", path="/config", body=written, if_match=if_match, **more)[0]


def patch(net: CoreNet, given: object, if_match: str, at: int = 0) -> int:
    return net.ask(net.machines[at], method="PATCH", path="/config", body=given, if_match=if_match)[0]


def read_config(net: CoreNet, at: int = 1) -> object:
    return net.ask(net.machines[at], method="GET", path="/config")[1]


def test_a_configuration_is_put_read_and_changed(net: CoreNet) -> None:
    assert net.ask(net.machines[0], method="GET", path="/config")[0] == 404
    assert put(net, make_written(label=5), "0") == 200
    assert read_config(net) == make_written(label=5)
    assert put(net, make_written(label=7, weight=1), "r5", at=3) == 200
    assert read_config(net) == make_written(label=7, weight=1)
    assert net.machines[2].controller.shard_moves.plan.label == 7


@pytest.mark.parametrize("at", [0, 1, 3])
def test_a_large_configuration_is_answered_within_a_second(net: CoreNet, at: int) -> None:
    code, _, seconds = net.ask(
        net.machines[at], method="PUT", path="/config", body=make_written(label=1, routes=400), if_match="0"
    )
    assert code == 200 and seconds < 1.0


def test_a_change_is_answered_as_soon_with_one_controller_lost(net: CoreNet) -> None:
    net.kill(net.machines[2])
    code, _, seconds = net.ask(net.machines[0], method="PUT", path="/config", body=make_written(label=1), if_match="0")
    assert code == 200 and seconds < 1.5


def test_a_resent_change_gets_the_same_answer_even_after_later_changes(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert put(net, make_written(label=1), "0", at=2) == 200
    change = {"generation": "r2", "remove": {"routes": ["r-1"]}}
    assert patch(net, change, "r1") == 200
    assert put(net, make_written(label=4), "r2") == 200
    assert patch(net, {"remove": {"routes": ["r-1"]}, "generation": "r2"}, "r1", at=1) == 200
    assert put(net, make_written(label=1), "0", at=1) == 200
    assert read_config(net) == make_written(label=4)
    assert net.machines[0].controller.learner.number(name="config") == 3


def test_a_change_sent_to_several_controllers_at_once_is_applied_once(net: CoreNet) -> None:
    tokens = [
        net.send(net.machines[at], method="PUT", path="/config", body=make_written(label=1), if_match="0")
        for at in (0, 1, 2)
    ]
    net.run(5.0)
    assert [net.answers[token].code for token in tokens] == [200, 200, 200]
    net.run(1.0)
    assert net.machines[1].controller.learner.number(name="config") == 1


def test_of_two_changes_on_one_version_only_one_is_accepted(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    for label, labels in enumerate([(2, 2), (4, 5), (8, 7)]):
        current = read_config(net)["generation"]
        tokens = [
            net.send(
                net.machines[at],
                method="PUT",
                path="/config",
                body=make_written(label=one, weight=at + label),
                if_match=current,
            )
            for at, one in enumerate(labels)
        ]
        net.run(6.0)
        assert sorted(net.answers[token].code for token in tokens) == [200, 412]
        winner = next(at for at, token in enumerate(tokens) if net.answers[token].code == 200)
        assert read_config(net) == make_written(label=labels[winner], weight=winner + label)


@pytest.mark.parametrize(
    ("if_match", "label", "code"),
    [
        ("r1", 1, 400),
        ("r1", 0, 400),
        ("0", 3, 412),
        (None, 3, 412),
        ("banana", 3, 412),
        ('"r1"', 3, 200),
    ],
)
def test_changes_with_wrong_versions_are_refused(net: CoreNet, if_match: str | None, label: int, code: int) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert put(net, make_written(label=label, weight=3), if_match) == code
    assert read_config(net)["generation"] == ("r3" if code == 200 else "r1")


def test_oversized_truncated_and_invalid_bodies_are_refused(net: CoreNet) -> None:
    assert put(net, None, "0") == 413
    assert put(net, json.dumps(make_written(label=1)).encode()[:-7], "0") == 400
    bad = make_written(label=1)
    bad["listeners"][0]["ruleset"][0]["verdict"]["max_tries"] = 0
    code, body, _ = net.ask(net.machines[0], method="PUT", path="/config", body=bad, if_match="0")
    assert code == 400 and body["faults"][0]["path"] == "listeners.0.ruleset.0.verdict.max_tries"
    assert read_config(net) == {"error": "no-config"}


def test_calls_are_answered_503_without_a_majority(net: CoreNet) -> None:
    for at in (1, 2, 3):
        net.kill(net.machines[at])
    for method, path in (("PUT", "/config"), ("GET", "/config"), ("POST", "/evacuation/ens-a")):
        body = make_written(label=1) if method == "PUT" else b""
        assert net.ask(net.machines[0], method=method, path=path, body=body, if_match="0")[0] == 503
    assert all(answer.headers.get("Retry-After") for answer in net.answers.values())


def test_a_resent_change_is_recognized_after_its_acknowledgement_was_lost(net: CoreNet) -> None:
    net.send(net.machines[0], method="PUT", path="/config", body=make_written(label=1), if_match="0")
    net.run(0.45)
    net.kill(net.machines[0])
    assert put(net, make_written(label=1), "0", at=1) == 200
    assert read_config(net) == make_written(label=1)


def test_evacuating_and_restoring_zones_is_idempotent(net: CoreNet) -> None:
    def evacuated_zones() -> list:
        net.run(0.5)
        return json.loads(net.machines[2].controller.learner.values["orders"].value["text"])["emptied"]

    for _ in range(2):
        assert net.ask(net.machines[0], method="POST", path="/evacuation/ens-a")[0] == 200
        assert evacuated_zones() == ["ens-a"]
    assert net.ask(net.machines[1], method="POST", path="/evacuation/gdl-b")[0] == 200
    assert evacuated_zones() == ["ens-a", "gdl-b"]
    for _ in range(2):
        assert net.ask(net.machines[3], method="DELETE", path="/evacuation/ens-a")[0] == 200
        assert evacuated_zones() == ["gdl-b"]
    assert net.ask(net.machines[0], method="POST", path="/evacuation/nowhere")[0] == 404
    assert net.ask(net.machines[0], method="DELETE", path="/evacuation/nowhere")[0] == 404


def test_all_zones_may_be_evacuated_whichever_tenants_are_bound_to_them(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert [net.ask(net.machines[0], method="POST", path=f"/evacuation/{zone}")[0] for zone in ZONES] == [200] * 4


def test_two_concurrent_orders_both_take_effect(net: CoreNet) -> None:
    tokens = [
        net.send(net.machines[at], method="POST", path=f"/evacuation/{zone}")
        for at, zone in enumerate(["ens-a", "gdl-b"])
    ]
    net.run(6.0)
    assert [net.answers[token].code for token in tokens] == [200, 200]
    orders = net.machines[0].controller.learner.values["orders"].value["text"]
    assert json.loads(orders)["emptied"] == ["ens-a", "gdl-b"]


def orders_of(net: CoreNet) -> dict:
    return json.loads(net.machines[0].controller.learner.values["orders"].value["text"])


def test_a_copy_of_an_order_that_waited_does_not_undo_the_opposite_that_followed(net: CoreNet) -> None:
    slow = net.machines[0]
    # the copy has read the register, and its change is in flight when its machine's messages are cut off
    token = net.send(slow, method="POST", path="/evacuation/ens-a")
    net.run(0.2, until=lambda: any(op.endswith("/change") for op in slow.controller.admin_api.jobs))
    net.cut = {slow.name}
    assert net.ask(net.machines[1], method="POST", path="/evacuation/ens-a")[0] == 200
    assert net.ask(net.machines[2], method="DELETE", path="/evacuation/ens-a")[0] == 200
    net.cut = set()
    net.run(6.0)
    assert net.answers[token].code in (200, 503)
    assert orders_of(net)["emptied"] == []


def test_an_order_whose_caller_disconnected_before_its_change_began_changes_nothing(net: CoreNet) -> None:
    token = net.send(net.machines[0], method="POST", path="/evacuation/ens-a")
    net.after(0.001, lambda: net.give(net.machines[0], event=ClientDisconnected(token=token)))
    net.run(3.0)
    assert net.answers[token].code == 503
    assert "orders" not in net.machines[0].controller.learner.values


def test_a_change_continues_after_its_caller_has_disconnected(net: CoreNet) -> None:
    token = net.send(net.machines[0], method="PUT", path="/config", body=make_written(label=1), if_match="0")
    net.after(0.01, lambda: net.give(net.machines[0], event=ClientDisconnected(token=token)))
    net.run(3.0)
    assert net.answers[token].code == 200 and read_config(net) == make_written(label=1)


def test_an_order_that_was_left_half_accepted_is_not_finished_after_the_opposite(net: CoreNet) -> None:
    # its change has a majority of promises, but only its own machine votes for it; then the caller disconnects
    lone, near, far = net.machines[0], net.machines[2], net.machines[1]
    token = net.send(lone, method="POST", path="/evacuation/ens-a")
    promised = near.controller.voter.acceptor.slots["orders"].promised
    assert net.run(1.0, until=lambda: near.controller.voter.acceptor.slots["orders"].promised != promised)
    net.run(SYNC + 0.0005)
    net.cut = {lone.name}
    net.run(0.02)
    assert is_voted(lone) and not is_voted(near) and not is_voted(far)
    net.give(lone, event=ClientDisconnected(token=token))
    assert net.ask(near, method="DELETE", path="/evacuation/ens-a")[0] == 200
    net.cut = set()
    net.run(4.0)
    # a read through the machine that voted finds the opposite order
    assert net.ask(lone, method="GET", path="/orders")[1]["orders"]["emptied"] == []
    assert orders_of(net)["emptied"] == []


def without_change(old):
    """Fault: an order whose zone is already in the wanted state is acknowledged without a change."""

    def make(self, *, job):
        orders = admin_api.read_zone_orders(text=job.text)
        if (job.order.argument in orders.evacuated_zones) == (job.order.kind == "empty"):
            return admin_api.Outcome(kind="accepted", number=job.number)
        return old(self, job=job)

    return make


def test_the_order_tests_fail_without_their_safeguards(net: CoreNet, monkeypatch) -> None:
    with monkeypatch.context() as planted, pytest.raises(AssertionError):
        planted.setattr(ZoneOrders, "count", lambda self, *, kind, zone: 0)
        test_a_copy_of_an_order_that_waited_does_not_undo_the_opposite_that_followed(net)
    fresh = CoreNet(zones=list(ZONES))
    for machine in fresh.machines:
        fresh.start(machine, bootstrap=True)
    fresh.run(1.0)
    with monkeypatch.context() as planted, pytest.raises(AssertionError):
        planted.setattr(AdminApi, "_apply_zone_order", without_change(AdminApi._apply_zone_order))
        test_an_order_that_was_left_half_accepted_is_not_finished_after_the_opposite(fresh)


def is_voted(machine) -> bool:
    slot = machine.controller.voter.acceptor.slots.get("orders")
    return slot is not None and slot.value is not None


def test_the_native_api_remains_available_except_for_configurations(net: CoreNet) -> None:
    assert net.ask(net.machines[0], method="GET", path="/status")[0] == 200
    assert net.ask(net.machines[0], method="GET", path="/voters")[1]["voters"]["size"] == 3
    assert net.ask(net.machines[0], method="POST", path="/halls/ens-a/empty")[0] == 200
    assert net.ask(net.machines[0], method="DELETE", path="/config")[0] == 404
    assert NativeDialect().label(written={"label": 3}) == 3


def test_a_change_on_a_future_version_is_not_refused_as_it_may_still_be_accepted(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert put(net, make_written(label=12, weight=3), "r9") == 503
    # a change whose version does not exceed the one that it builds on can never be accepted
    assert put(net, make_written(label=9, weight=3), "r9") == 412
    assert put(net, make_written(label=4, weight=3), "r9") == 412
    assert read_config(net)["generation"] == "r1"
    assert put(net, make_written(label=9, weight=4), "r1") == 200
    assert put(net, make_written(label=12, weight=3), "r9", at=2) == 200
    assert read_config(net) == make_written(label=12, weight=3)


def test_the_history_is_bounded_and_older_changes_get_an_indefinite_answer(net: CoreNet, monkeypatch) -> None:
    monkeypatch.setattr(constants, "HISTORY_SEGMENT_CHANGES", 16)
    for label in range(1, 40):
        assert put(net, make_written(label=label), f"r{label - 1}" if label > 1 else "0") == 200
    inner = json.loads(net.machines[0].controller.learner.values["config"].value["text"])
    assert [(since, len(digests) // 12) for since, digests in inner["changes"]] == [(16, 16), (32, 7)]
    assert inner["label"] == 39 and set(inner) == {"written", "history", "changes", "label"}
    for label in range(17, 40):
        assert put(net, make_written(label=label), f"r{label - 1}", at=label % 4) == 200
        assert put(net, make_written(label=40, weight=label), f"r{label - 1}", at=label % 4) == 412
    for label in range(1, 17):
        assert put(net, make_written(label=label), f"r{label - 1}" if label > 1 else "0", at=label % 4) == 503
    assert read_config(net) == make_written(label=39)


def test_the_same_content_on_top_of_another_version_is_another_change(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert put(net, make_written(label=3), "r1") == 200
    assert put(net, make_written(label=5), "r3") == 200
    # r3 was accepted on top of r1, so no other change can be
    assert put(net, make_written(label=5), "r1") == 412
    assert put(net, make_written(label=5), "r5") == 400


def test_a_history_written_by_the_previous_version_is_read_and_extended(net: CoreNet) -> None:
    first, second = make_written(label=1), make_written(label=2, weight=7)
    pairs = []
    for label, written, expected in ((1, first, 0), (2, second, 1)):
        text = json.dumps(["PUT", expected, written], sort_keys=True, separators=(",", ":"))
        pairs.append([label, hashlib.blake2b(text.encode(), digest_size=12).hexdigest()])
    held = read_labelled(text=json.dumps({"written": second, "label": 2, "history": pairs}))
    taken = digest_change(method="PUT", expected=0, given=first)
    assert held.classify(expected=0, digest=taken) is Verdict.TAKEN
    assert held.classify(expected=1, digest=digest_change(method="PUT", expected=1, given=second)) is Verdict.TAKEN
    assert held.classify(expected=1, digest=digest_change(method="PUT", expected=1, given=first)) is Verdict.LOST
    # the previous version did not store what its first change built on, so another change on that can't be decided
    assert held.classify(expected=0, digest=digest_change(method="PUT", expected=0, given=second)) is Verdict.FORGOTTEN
    later = read_labelled(text=write_labelled(before=held, written=first, label=5, digest="d" * 12))
    assert later.classify(expected=0, digest=taken) is Verdict.TAKEN and later.label == 5
    assert later.classify(expected=2, digest="e" * 12) is Verdict.LOST
    assert later.classify(expected=5, digest="e" * 12) is Verdict.NEXT
    assert later.classify(expected=6, digest="e" * 12) is Verdict.AHEAD


def test_a_digest_is_found_only_at_the_offset_of_a_digest() -> None:
    segment = Segment(base_label=0).with_change(digest="abcdefghijkl").with_change(digest="mnopqrstuvwx")
    assert segment.contains(digest="abcdefghijkl") and segment.contains(digest="mnopqrstuvwx")
    assert not segment.contains(digest="ghijklmnopqr")


def test_a_patch_moves_a_rule_to_another_host(net: CoreNet) -> None:
    written = make_written(label=1)
    assert put(net, written, "0") == 200
    rule = copy.deepcopy(written["listeners"][0]["ruleset"][0])
    rule["verdict"]["max_tries"] = 1
    assert (
        patch(
            net, {"generation": "r2", "upsert": {"listeners": [{"hostname": "two.example", "ruleset": [rule]}]}}, "r1"
        )
        == 200
    )
    listeners = read_config(net)["listeners"]
    hosts = {listener["hostname"]: [rule["name"] for rule in listener["ruleset"]] for listener in listeners}
    assert hosts == {"one.example": ["r-2"], "two.example": ["r-1", "r-3", "r-0"]}


class Operator:
    """Retries one change at random controllers until it gets a definite answer."""

    def __init__(self, net: CoreNet, *, written: dict, if_match: str) -> None:
        self.net, self.written, self.if_match, self.code = net, written, if_match, 0
        self.token = ""
        self.turn()

    def turn(self) -> None:
        code = self.net.answers[self.token].code if self.token in self.net.answers else 0
        if code in (200, 400, 412):
            self.code = code
            return
        machine = self.net.rng.choice([peer for peer in self.net.machines if peer.controller] or self.net.machines)
        self.token = self.net.send(machine, method="PUT", path="/config", body=self.written, if_match=self.if_match)
        self.net.after(self.net.rng.uniform(0.3, 1.2), self.turn)


@pytest.mark.parametrize("seed", range(8))
def test_of_two_operators_that_retry_through_failures_one_wins_each_time(seed: int) -> None:
    net = CoreNet(zones=["gdl-a", "ens-a", "gdl-b", "ens-b"], seed=seed)
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    net.run(1.0)
    label, current = 0, "0"
    for turn in range(5):
        operators = [
            Operator(net, written=make_written(label=label + 1 + at % 2, weight=at + 2 * turn), if_match=current)
            for at in range(2)
        ]
        net.run(net.rng.uniform(0.05, 0.45))
        lost = net.rng.choice(net.machines)
        how = net.rng.random()
        if how < 0.4:
            net.cut = {lost.name}
        else:
            net.kill(lost, wipe=how > 0.7)
        net.run(net.rng.uniform(0.5, 3.0))
        net.cut = set()
        if lost.controller is None:
            net.start(lost)
        assert net.run(15.0, until=lambda operators=operators: all(operator.code for operator in operators))
        assert sorted(operator.code for operator in operators) == [200, 412]
        winner = next(operator for operator in operators if operator.code == 200)
        label, current = int(winner.written["generation"][1:]), winner.written["generation"]
        net.run(4.0)
        assert [read_config(net, at=at) for at in range(4)] == [winner.written] * 4
