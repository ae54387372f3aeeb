"""The shape of a configuration.

The fields added since the first version, and the agreement of the quick check of matches with the full one.
"""

from __future__ import annotations

import copy
import json
import random

import pytest

from sailward.config import check as check_module
from sailward.config.check import InvalidConfig, ValidConfig, check_config
from sailward.consensus.proposer import Accepted, OperationFinished
from sailward.control.administration.admin_api import AdminApi
from sailward.events import ConfigValidated, RequestReceived, ValidateConfig
from sailward.routing.plan import plan_of, read_plan
from simulation.deployments import make_arriaga

CONFIG = make_arriaga().config
POOL = next(iter(CONFIG["pools"]))
SERVICE = CONFIG["pools"][POOL]["service"]
OTHER = next(name for name, pool in CONFIG["pools"].items() if pool["service"] != SERVICE)


def with_match(**more: object) -> dict:
    return {
        **CONFIG,
        "matches": [*CONFIG["matches"], {"path": "/more", "pools": [{"pool": POOL, "weight": 1}], **more}],
    }


def faults(config: dict) -> list[str]:
    verdict = check_config(config=config)
    return [f"{fault.path}: {fault.reason}" for fault in verdict.faults] if isinstance(verdict, InvalidConfig) else []


def test_a_match_may_set_host_kind_times_rank_and_homes() -> None:
    full = check_config(
        config=with_match(
            host="one.example",
            name="more",
            kind="once",
            expiry_s=2.5,
            tries=3,
            target_s=0.4,
            rank=2,
            homes=["guadalajara"],
        )
    ).full
    match = plan_of(full=full, number=1).match(path="/more/1", method="GET", tenant="", host="one.example")
    assert (match.kind, match.expiry, match.max_attempts, match.target, match.rank, match.homes) == (
        "once",
        2.5,
        3,
        0.4,
        2,
        {"guadalajara"},
    )


@pytest.mark.parametrize(
    "more",
    [
        {"kind": "twice"},
        {"expiry_s": 0.01},
        {"expiry_s": 4000},
        {"tries": 0},
        {"tries": 11},
        {"tries": 1.5},
        {"rank": -1},
        {"homes": "x"},
        {"host": "a b"},
        {"host": 3},
        {"across": 1},
        {"target_s": -1},
        {"name": "x" * 2000},
    ],
)
def test_fields_of_a_match_out_of_bounds_are_faults(more: dict) -> None:
    found = faults(with_match(**more))
    assert found and found[0].startswith(f"matches.{len(CONFIG['matches'])}.{next(iter(more))}")


def test_the_same_path_under_two_hosts_is_two_matches() -> None:
    pools = [{"pool": POOL, "weight": 1}]
    one, two = ({"path": "/x", "host": host, "pools": pools} for host in ("a.example", "b.example"))
    assert not faults({**CONFIG, "matches": [one, two]})
    assert faults({**CONFIG, "matches": [one, two, one]}) == [
        "matches.2: the same as matches.0: it could never be used"
    ]


def test_pools_of_different_services_require_the_across_flag() -> None:
    pools = [{"pool": POOL, "weight": 1}, {"pool": OTHER, "weight": 1}]
    config = {**CONFIG, "tenants": {}, "matches": [{"path": "/x", "pools": pools}]}
    assert any("different services" in fault for fault in faults(config))
    assert not faults({**config, "matches": [{"path": "/x", "pools": pools, "across": True}]})


def test_a_pool_near_the_proxy_lists_no_zones() -> None:
    near = {**CONFIG, "pools": {**CONFIG["pools"], "near": {"service": SERVICE, "tiers": "near"}}}
    verdict = check_config(config=near)
    assert isinstance(verdict, ValidConfig) and verdict.full["pools"]["near"]["preferred"] == []
    assert not any("near" in warning.path for warning in verdict.warnings)
    assert plan_of(full=verdict.full, number=1).pools["near"].is_near
    far = {**CONFIG, "pools": {**CONFIG["pools"], "far": {"service": SERVICE}}}
    assert any(fault.startswith("pools.far.preferred") for fault in faults(far))


def test_homes_without_a_zone_are_warned_of_not_refused() -> None:
    verdict = check_config(config=with_match(homes=["atlantis"]))
    assert [warning.path for warning in verdict.warnings if "atlantis" in warning.reason] == [
        f"matches.{len(CONFIG['matches'])}.homes"
    ]


def test_services_limits_label_and_origin() -> None:
    services = {
        **CONFIG["services"],
        "keyed": {"keys": "ranged", "health_path": "/health", "connections": 130, "cold_s": 3, "warm_s": 2},
    }
    config = {
        **CONFIG,
        "services": services,
        "label": 7,
        "origin": {"any": [1, {"thing": None}]},
        "limits": {"head_bytes": 100, "body_bytes": 200, "head_wait": 1.5, "idle_wait": 9},
    }
    verdict = check_config(config=config)
    plan = plan_of(full=verdict.full, number=1)
    assert (
        plan.services["keyed"].is_ranged
        and plan.services["keyed"].connections == 130
        and plan.label == 7
        and plan.limits.head_bytes == 100
    )
    assert verdict.full["origin"] == config["origin"]
    assert faults({**config, "services": {**services, "keyed": {"keys": "ranged", "slots": 4}}}) == [
        "services.keyed.slots: keys in ranges know no slots: leave them at 0"
    ]
    assert sorted(faults({**config, "label": -1, "limits": {"speed": 1}})) == [
        "label: min value is 0",
        "limits.speed: unknown field",
    ]


def corrupt(config: dict, rng: random.Random) -> dict:
    config = copy.deepcopy(config)
    for _ in range(rng.randint(0, 3)):
        match = rng.choice(config["matches"])
        name = rng.choice(
            [
                "path",
                "methods",
                "tenants",
                "pools",
                "host",
                "kind",
                "tries",
                "expiry_s",
                "homes",
                "odd",
                "across",
                "rank",
                "name",
            ]
        )
        value = rng.choice(
            [
                None,
                "",
                "x",
                "/x\n",
                [],
                ["GET"],
                ["get"],
                [3],
                {},
                0,
                -1,
                2,
                1.5,
                True,
                float("nan"),
                "once",
                "a.example",
                [{"pool": POOL, "weight": True}],
                [{"pool": POOL, "weight": -1}],
                [{"pool": POOL}],
                [{"pool": "x y", "weight": 1}],
                [{"pool": POOL, "weight": 1}] * 40,
                [{"pool": POOL, "weight": 1, "more": 2}],
                [POOL],
            ]
        )
        match[name] = value
        if rng.random() < 0.1:
            match.pop("path", None)
    if rng.random() < 0.1:
        config["matches"] = rng.choice([{}, None, [3], ["x"], [*config["matches"], 5]])
    return config


def test_the_quick_check_agrees_with_the_full_one(monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(7)
    base = {
        **CONFIG,
        "matches": [
            *with_match(host="a.example", kind="once")["matches"][-4:],
            {"path": "/y", "pools": [{"pool": OTHER, "weight": 3}]},
        ],
    }
    corrupted = [corrupt(base, rng) for _ in range(120)]
    quick = [check_config(config=copy.deepcopy(config)) for config in corrupted]
    monkeypatch.setattr(check_module, "split_matches", lambda *, matches: ({}, []))
    for config, verdict in zip(corrupted, quick, strict=True):
        slow = check_config(config=copy.deepcopy(config))
        assert type(slow) is type(verdict), (config["matches"], slow, verdict)
        if isinstance(slow, ValidConfig):
            assert slow.full == verdict.full and slow.warnings == verdict.warnings
        else:
            assert sorted(map(str, slow.faults)) == sorted(map(str, verdict.faults)), config["matches"]
    assert len({type(verdict) for verdict in quick}) == 2


def test_a_register_that_holds_only_the_written_form_is_expanded() -> None:
    full = check_config(config=CONFIG).full
    value = {"number": 3, "text": json.dumps({"written": {"any": "words"}, "label": 1, "history": []})}
    plan = read_plan(value=value, expand=lambda written: full if written == {"any": "words"} else {})
    assert plan.services.keys() == full["services"].keys()
    assert (
        read_plan(value={"number": 3, "text": json.dumps({"written": {}, "full": full})}, expand=lambda _: {}).number
        == 3
    )


@pytest.mark.parametrize(
    ("before", "label", "is_taken"), [(None, 3, True), (3, None, True), (3, 3, False), (3, 2, False), (3, 4, True)]
)
def test_a_label_of_the_operators_must_grow_where_both_have_one(
    before: int | None, label: int | None, is_taken: bool
) -> None:
    def labelled(given: int | None) -> dict:
        return CONFIG if given is None else {**CONFIG, "label": given}

    admin_api = AdminApi(identity="x")
    body = json.dumps(labelled(label)).encode()
    _, begins = admin_api.step(
        event=RequestReceived(token="t", method="PUT", path="/config", query={}, headers={}, body=body)
    )
    old = check_config(config=labelled(before))
    value = {"number": 1, "mark": "m", "trail": [], "text": json.dumps({"written": old.written, "full": old.full})}
    commands, _ = admin_api.step(
        event=OperationFinished(
            op=begins[0].op, register="config", outcome=Accepted(number=1, ballot=[1, "x"], value=value)
        )
    )
    assert isinstance(commands[0], ValidateConfig)
    commands, begins = admin_api.step(
        event=ConfigValidated(token=commands[0].token, verdict=check_config(config=commands[0].config))
    )
    assert (len(begins) == 1) == is_taken
    if not is_taken:
        assert commands[0].code == 422 and json.loads(commands[0].body)["faults"][0]["path"] == "label"
