"""Operators' calls in a platform's words, end to end over three controllers."""

from __future__ import annotations

import copy
import json

import pytest

from sailward.config.dialect import OwnDialect
from tests.core_net import ZONES, CoreNet, make_written


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


def shown(net: CoreNet, at: int = 1) -> object:
    return net.ask(net.machines[at], method="GET", path="/config")[1]


def test_a_configuration_is_put_read_and_changed(net: CoreNet) -> None:
    assert net.ask(net.machines[0], method="GET", path="/config")[0] == 404
    assert put(net, make_written(label=5), "0") == 200
    assert shown(net) == make_written(label=5)
    assert put(net, make_written(label=7, weight=1), "r5", at=3) == 200
    assert shown(net) == make_written(label=7, weight=1)
    assert net.machines[2].controller.moves.plan.label == 7


@pytest.mark.parametrize("at", [0, 1, 3])
def test_a_large_one_is_answered_within_the_operators_patience(net: CoreNet, at: int) -> None:
    code, _, took = net.ask(
        net.machines[at], method="PUT", path="/config", body=make_written(label=1, routes=400), if_match="0"
    )
    assert code == 200 and took < 1.0


def test_with_one_of_three_lost_it_is_answered_as_soon(net: CoreNet) -> None:
    net.kill(net.machines[2])
    code, _, took = net.ask(net.machines[0], method="PUT", path="/config", body=make_written(label=1), if_match="0")
    assert code == 200 and took < 1.5


def test_what_is_sent_again_unchanged_is_answered_again_also_after_later_ones(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert put(net, make_written(label=1), "0", at=2) == 200
    change = {"generation": "r2", "remove": {"routes": ["r-1"]}}
    assert patch(net, change, "r1") == 200
    assert put(net, make_written(label=4), "r2") == 200
    assert patch(net, {"remove": {"routes": ["r-1"]}, "generation": "r2"}, "r1", at=1) == 200
    assert put(net, make_written(label=1), "0", at=1) == 200
    assert shown(net) == make_written(label=4)
    assert net.machines[0].controller.held.number(name="config") == 3


def test_what_is_sent_to_two_controllers_at_once_is_taken_once(net: CoreNet) -> None:
    tokens = [
        net.send(net.machines[at], method="PUT", path="/config", body=make_written(label=1), if_match="0")
        for at in (0, 1, 2)
    ]
    net.run(5.0)
    assert [net.answers[token].code for token in tokens] == [200, 200, 200]
    net.run(1.0)
    assert net.machines[1].controller.held.number(name="config") == 1


def test_of_two_on_top_of_one_version_one_wins(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    for label, labels in enumerate([(2, 2), (4, 5), (8, 7)]):
        current = shown(net)["generation"]
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
        assert shown(net) == make_written(label=labels[winner], weight=winner + label)


@pytest.mark.parametrize(
    ("if_match", "label", "code"),
    [
        ("r9", 12, 412),
        ("r1", 1, 400),
        ("r1", 0, 400),
        ("0", 3, 412),
        (None, 3, 412),
        ("banana", 3, 412),
        ('"r1"', 3, 200),
    ],
)
def test_wrong_versions(net: CoreNet, if_match: str | None, label: int, code: int) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert put(net, make_written(label=label, weight=3), if_match) == code
    assert shown(net)["generation"] == ("r3" if code == 200 else "r1")


def test_a_large_body_and_a_cut_one(net: CoreNet) -> None:
    assert put(net, None, "0") == 413
    assert put(net, json.dumps(make_written(label=1)).encode()[:-7], "0") == 400
    bad = make_written(label=1)
    bad["listeners"][0]["ruleset"][0]["verdict"]["max_tries"] = 0
    code, body, _ = net.ask(net.machines[0], method="PUT", path="/config", body=bad, if_match="0")
    assert code == 400 and body["faults"][0]["path"] == "listeners.0.ruleset.0.verdict.max_tries"
    assert shown(net) == {"error": "no-config"}


def test_without_a_majority_nothing_definite_is_said(net: CoreNet) -> None:
    for at in (1, 2, 3):
        net.kill(net.machines[at])
    for method, path in (("PUT", "/config"), ("GET", "/config"), ("POST", "/evacuation/ens-a")):
        body = make_written(label=1) if method == "PUT" else b""
        assert net.ask(net.machines[0], method=method, path=path, body=body, if_match="0")[0] == 503
    assert all(answer.headers.get("Retry-After") for answer in net.answers.values())


def test_a_change_whose_acknowledgement_was_lost_is_known_again(net: CoreNet) -> None:
    net.send(net.machines[0], method="PUT", path="/config", body=make_written(label=1), if_match="0")
    net.run(0.45)
    net.kill(net.machines[0])
    assert put(net, make_written(label=1), "0", at=1) == 200
    assert shown(net) == make_written(label=1)


def test_zones_are_evacuated_and_taken_back_any_number_of_times(net: CoreNet) -> None:
    def emptied() -> list:
        net.run(0.5)
        return json.loads(net.machines[2].controller.held.held["orders"].value["text"])["emptied"]

    for _ in range(2):
        assert net.ask(net.machines[0], method="POST", path="/evacuation/ens-a")[0] == 200
        assert emptied() == ["ens-a"]
    assert net.ask(net.machines[1], method="POST", path="/evacuation/gdl-b")[0] == 200
    assert emptied() == ["ens-a", "gdl-b"]
    for _ in range(2):
        assert net.ask(net.machines[3], method="DELETE", path="/evacuation/ens-a")[0] == 200
        assert emptied() == ["gdl-b"]
    assert net.ask(net.machines[0], method="POST", path="/evacuation/nowhere")[0] == 404
    assert net.ask(net.machines[0], method="DELETE", path="/evacuation/nowhere")[0] == 404


def test_all_zones_may_be_evacuated_whatever_is_at_home_there(net: CoreNet) -> None:
    assert put(net, make_written(label=1), "0") == 200
    assert [net.ask(net.machines[0], method="POST", path=f"/evacuation/{zone}")[0] for zone in ZONES] == [200] * 4


def test_two_orders_at_once_are_both_in_force(net: CoreNet) -> None:
    tokens = [
        net.send(net.machines[at], method="POST", path=f"/evacuation/{zone}")
        for at, zone in enumerate(["ens-a", "gdl-b"])
    ]
    net.run(6.0)
    assert [net.answers[token].code for token in tokens] == [200, 200]
    assert json.loads(net.machines[0].controller.held.held["orders"].value["text"])["emptied"] == ["ens-a", "gdl-b"]


def test_the_products_own_words_are_still_known_except_for_configurations(net: CoreNet) -> None:
    assert net.ask(net.machines[0], method="GET", path="/status")[0] == 200
    assert net.ask(net.machines[0], method="GET", path="/voters")[1]["voters"]["size"] == 3
    assert net.ask(net.machines[0], method="POST", path="/halls/ens-a/empty")[0] == 200
    assert net.ask(net.machines[0], method="DELETE", path="/config")[0] == 404
    assert OwnDialect().label(written={"label": 3}) == 3


def test_the_history_is_bounded(net: CoreNet) -> None:
    for label in range(1, 40):
        assert put(net, make_written(label=label), f"r{label - 1}" if label > 1 else "0") == 200
    inner = json.loads(net.machines[0].controller.held.held["config"].value["text"])
    assert len(inner["history"]) == 32 and inner["label"] == 39 and set(inner) == {"written", "history", "label"}
    assert put(net, make_written(label=1), "0") == 412


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
    hosts = {one["hostname"]: [rule["name"] for rule in one["ruleset"]] for one in shown(net)["listeners"]}
    assert hosts == {"one.example": ["r-2"], "two.example": ["r-1", "r-3", "r-0"]}


class Operator:
    """Sends one change again and again, to any controller, until it gets a definite answer."""

    def __init__(self, net: CoreNet, *, written: dict, if_match: str) -> None:
        self.net, self.written, self.if_match, self.code = net, written, if_match, 0
        self.token = ""
        self.turn()

    def turn(self) -> None:
        code = self.net.answers[self.token].code if self.token in self.net.answers else 0
        if code in (200, 400, 412):
            self.code = code
            return
        machine = self.net.rng.choice([one for one in self.net.machines if one.controller] or self.net.machines)
        self.token = self.net.send(machine, method="PUT", path="/config", body=self.written, if_match=self.if_match)
        self.net.after(self.net.rng.uniform(0.3, 1.2), self.turn)


@pytest.mark.parametrize("seed", range(8))
def test_operators_that_send_again_through_losses_get_one_winner_each_time(seed: int) -> None:
    net = CoreNet(zones=["gdl-a", "ens-a", "gdl-b", "ens-b"], seed=seed)
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    net.run(1.0)
    label, current = 0, "0"
    for turn in range(5):
        both = [
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
        assert net.run(15.0, until=lambda both=both: all(one.code for one in both))
        assert sorted(one.code for one in both) == [200, 412]
        winner = next(one for one in both if one.code == 200)
        label, current = int(winner.written["generation"][1:]), winner.written["generation"]
        net.run(4.0)
        assert [shown(net, at=at) for at in range(4)] == [winner.written] * 4
