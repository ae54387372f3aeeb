"""The platform's configuration documents: which are accepted, which are refused, and their expanded form."""

from __future__ import annotations

import copy
import itertools
import json

import pytest

from sailward.config.check import InvalidConfig, ValidConfig, check_config
from sailward.routing.plan import plan_of
from tests.core_net import CONFIG, ZONES, make_written


def read(written: object) -> object:
    return CONFIG.read_written(json.dumps(written).encode())


def changed(path: str, value: object) -> dict:
    written = make_written(label=3)
    *parts, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    inner = written
    for part in parts:
        inner = inner[part]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return written


RULE = "listeners.0.ruleset.0"


@pytest.mark.parametrize(
    ("path", "value", "fault_path"),
    [
        ("generation", "12", "generation"),
        ("generation", None, "generation"),
        ("generation", "r-1", "generation"),
        ("generation", 3, "generation"),
        ("listeners", None, "listeners"),
        ("pools", {}, "pools"),
        ("listeners.0", "x", "listeners.0"),
        ("listeners.0.hostname", "", ""),
        ("listeners.0.hostname", " ", ""),
        ("listeners.0.hostname", None, "listeners.0.hostname"),
        ("listeners.0.ruleset", None, ""),
        (f"{RULE}.name", None, f"{RULE}.name"),
        (f"{RULE}.route_kind", "safe", f"{RULE}.route_kind"),
        (f"{RULE}.route_kind", ["idempotent"], ""),
        (f"{RULE}.route_kind", None, f"{RULE}.route_kind"),
        (f"{RULE}.matcher", None, ""),
        (f"{RULE}.matcher.path_prefix", "x/", ""),
        (f"{RULE}.verdict", None, f"{RULE}.verdict"),
        (f"{RULE}.verdict.max_tries", 0, f"{RULE}.verdict.max_tries"),
        (f"{RULE}.verdict.max_tries", None, ""),
        (f"{RULE}.verdict.max_tries", "2", ""),
        (f"{RULE}.verdict.max_tries", True, ""),
        (f"{RULE}.verdict.deadline_s", None, ""),
        (f"{RULE}.verdict.deadline_s", "2", ""),
        (f"{RULE}.verdict.deadline_s", 0, ""),
        (f"{RULE}.verdict.home_regions", "gdl", ""),
        (f"{RULE}.verdict.split_to.0.weight", -1, f"{RULE}.verdict.split_to.0.weight"),
        (f"{RULE}.verdict.split_to.0.weight", None, ""),
        (f"{RULE}.verdict.split_to.0.service", "blue", f"{RULE}.verdict.split_to.0.service"),
        (f"{RULE}.verdict.split_to", [], f"{RULE}.verdict.split_to"),
        (f"{RULE}.verdict.split_to", None, f"{RULE}.verdict.service"),
        (f"{RULE}.verdict.split_to", [{"service": "red", "weight": 0}], f"{RULE}.verdict.split_to"),
        (f"{RULE}.name", "r-1", "listeners.1.ruleset.0.name"),
        (f"{RULE}.matcher.path_prefix", "/p2/", ""),
        ("pools.0.name", "white", "pools.1.name"),
        ("pools.0.name", None, "pools.0.name"),
        ("pools.0.max_conns", -1, ""),
        ("pools.0.cold_s", "3", ""),
        ("limits.max_body_bytes", "x", ""),
        ("limits", [], "limits"),
        (f"{RULE}.priority", -1, ""),
        (f"{RULE}.target_s", "fast", ""),
    ],
)
def test_invalid_fields_are_refused_with_their_path(path: str, value: object, fault_path: str) -> None:
    found = read(changed(path, value))
    assert isinstance(found, InvalidConfig)
    assert any(fault.path.startswith(fault_path) for fault in found.faults), found.faults


@pytest.mark.parametrize("cut", [0, 1, 10, 400, -1])
def test_a_document_cut_short_is_refused(cut: int) -> None:
    assert isinstance(CONFIG.read_written(json.dumps(make_written(label=3)).encode()[:cut]), InvalidConfig)


@pytest.mark.parametrize(
    "body", [b"[]", b"null", b'"x"', b"\xff\xfe", b'{"generation":"r1","generation":"r2"}', b"[" * 100000]
)
def test_malformed_documents_are_refused(body: bytes) -> None:
    assert isinstance(CONFIG.read_written(body), InvalidConfig)


@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity", "1e999"])
def test_infinite_and_nan_numbers_are_refused(number: str) -> None:
    body = json.dumps(make_written(label=3)).replace('"deadline_s": 2.5', f'"deadline_s": {number}', 1)
    assert isinstance(CONFIG.read_written(body.encode()), InvalidConfig)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (f"{RULE}.verdict.deadline_s", 0.001),
        (f"{RULE}.verdict.deadline_s", 1e9),
        (f"{RULE}.verdict.max_tries", 99),
        (f"{RULE}.priority", 0),
        (f"{RULE}.verdict.home_regions", ["atlantis"]),
        (f"{RULE}.verdict.home_regions", None),
        (f"{RULE}.colour", "blue"),
        ("more", {"a": [1]}),
        (f"{RULE}.target_s", None),
        (f"{RULE}.priority", None),
        ("limits", None),
        ("pools.0.cold_s", 0),
        ("pools.0.cold_rate_s", 0),
        ("pools.0.protocol", "h1"),
        ("pools.0.max_conns", 10**9),
        (f"{RULE}.matcher.path_prefix", "/"),
        (f"{RULE}.matcher.path_prefix", "/a/b/c/"),
        (f"{RULE}.name", "any name \u2013 1"),
        (f"{RULE}.verdict.split_to.0.weight", 0.25),
        (f"{RULE}.verdict.split_to.0.weight", 10**12),
        (f"{RULE}.verdict.split_to.0.service", "white"),
        ("listeners.0.hostname", "UP.Example"),
        ("listeners.0.ruleset", []),
        ("listeners", []),
        ("limits.idle_timeout_s", 0.5),
        ("pools.0.health_path", None),
    ],
)
def test_a_proper_configuration_is_never_refused(path: str, value: object) -> None:
    written = read(changed(path, value))
    assert isinstance(written, dict), written
    verdict = check_config(config=CONFIG.expand(written, ZONES))
    assert isinstance(verdict, ValidConfig), verdict
    plan_of(full=verdict.full, number=1)


def test_the_full_form_has_everything_that_the_plan_needs() -> None:
    full = CONFIG.expand(make_written(label=12), ZONES)
    plan = plan_of(full=full, number=4)
    assert (plan.number, plan.label, plan.limits.body_bytes, plan.limits.head_wait, plan.limits.idle_wait) == (
        4,
        12,
        1 << 26,
        3.0,
        15.0,
    )
    match = plan.match(path="/p0/2f", method="POST", tenant="", host="one.example")
    assert (match.kind, match.expiry, match.max_attempts, match.target, match.rank) == ("once", 2.5, 2, 0.4, 0)
    assert match.shares == (("red", 90), ("white", 10)) and match.homes == {"gdl"}
    assert plan.match(path="/p1/", method="GET", tenant="", host="two.example").is_repeatable
    assert plan.match(path="/p1/", method="GET", tenant="", host="one.example") is None
    red, white = plan.services["red"], plan.services["white"]
    assert (red.is_ranged, red.health_path, red.connections, red.slow_start, red.slow_start_rate) == (
        False,
        "/health",
        130,
        3.0,
        6.0,
    )
    assert (white.is_ranged, white.warm_up, white.slots) == (True, 3.0, 0)
    assert plan.pools["red"].is_near and plan.regions == ZONES
    assert check_config(config=full).full == full


def test_a_single_service_is_a_pool_of_its_own() -> None:
    written = changed(f"{RULE}.verdict", {"service": "red", "deadline_s": 3, "max_tries": 1})
    assert CONFIG.expand(written, ZONES)["matches"][0]["pools"] == [{"pool": "red", "weight": 1}]


def test_patches_alter_named_items() -> None:
    written = make_written(label=1)
    rule = {**copy.deepcopy(written["listeners"][0]["ruleset"][1]), "target_s": 9}
    new = {**copy.deepcopy(rule), "name": "r-new", "matcher": {"path_prefix": "/new/"}}
    merged = CONFIG.merge(
        written,
        {
            "generation": "r2",
            "limits": {"max_body_bytes": 5},
            "remove": {"routes": ["r-1", "unknown"]},
            "upsert": {
                "listeners": [
                    {"hostname": "one.example", "ruleset": [rule]},
                    {"hostname": "new.example", "ruleset": [new]},
                ],
                "pools": [{"name": "blue"}, {"name": "red", "max_conns": 7}],
            },
        },
    )
    assert merged["generation"] == "r2" and merged["limits"] == {"max_body_bytes": 5}
    assert [
        (listener["hostname"], [rule["name"] for rule in listener["ruleset"]]) for listener in merged["listeners"]
    ] == [
        ("one.example", ["r-0", "r-2"]),
        ("two.example", ["r-3"]),
        ("new.example", ["r-new"]),
    ]
    assert merged["listeners"][0]["ruleset"][1]["target_s"] == 9
    assert [pool["name"] for pool in merged["pools"]] == ["red", "white", "blue"] and merged["pools"][0] == {
        "name": "red",
        "max_conns": 7,
    }
    assert written == make_written(label=1)


def test_removing_the_last_rule_of_a_host_removes_the_host() -> None:
    merged = CONFIG.merge(make_written(label=1), {"generation": "r2", "remove": {"routes": ["r-0", "r-2"]}})
    assert [listener["hostname"] for listener in merged["listeners"]] == ["two.example"]


@pytest.mark.parametrize(
    "patch",
    [
        {"upsert": {}},
        {"generation": "r2", "upsert": []},
        {"generation": "r2", "remove": {"routes": "r-1"}},
        {"generation": "r2", "remove": []},
        {"generation": "r2", "upsert": {"listeners": [{"hostname": "x"}]}},
        {"generation": "r2", "upsert": {"listeners": [{"ruleset": []}]}},
        {"generation": "r2", "upsert": {"pools": [{"max_conns": 3}]}},
        {"generation": "r2", "upsert": {"listeners": [{"hostname": "x", "ruleset": [3]}]}},
        {"generation": "r2", "upsert": {"routes": [{"name": "r-1"}]}},
        {"generation": "r2", "remove": {"limits": ["idle_timeout_s"]}},
    ],
)
def test_patches_that_cannot_be_read(patch: dict) -> None:
    assert isinstance(CONFIG.read_patch(json.dumps(patch).encode()), InvalidConfig)


@pytest.mark.parametrize(
    "patch",
    [
        {"generation": "r2", "remove": {"pools": ["red"]}},
        {"generation": "r2", "remove": {"services": ["white"]}},
        {
            "generation": "r2",
            "upsert": {
                "listeners": [{"hostname": "", "ruleset": [make_written(label=1)["listeners"][0]["ruleset"][0]]}]
            },
        },
        {"generation": "r2", "upsert": {"pools": [{"name": "red"}, {"name": "red", "max_conns": 3}]}},
        {
            "generation": "r2",
            "upsert": {
                "listeners": [
                    {
                        "hostname": "one.example",
                        "ruleset": [{**make_written(label=1)["listeners"][0]["ruleset"][0], "name": "r-9"}],
                    }
                ]
            },
        },
    ],
)
def test_patches_that_make_an_unsound_configuration(patch: dict) -> None:
    assert isinstance(CONFIG.read_patch(json.dumps(patch).encode()), dict)
    assert isinstance(CONFIG.merge(make_written(label=1), patch), InvalidConfig)


FIELDS_WITHOUT_NAMES = {
    "text": "blue",
    "number": 3,
    "nothing": None,
    "object": {"name": "x"},
    "numbers": [1, 2],
    "lists": [["name"]],
    "unnamed": [{"colour": "blue"}],
    "oddly_named": [{"name": ["x"]}],
}


# Guards against an exception in the merge of a patch, which ended every controller that the patch was sent to.
@pytest.mark.parametrize("field", ["generation", *FIELDS_WITHOUT_NAMES])
@pytest.mark.parametrize("operation", ["upsert", "remove"])
def test_a_patch_cannot_alter_a_field_without_named_items(field: str, operation: str) -> None:
    written = {**make_written(label=1), **FIELDS_WITHOUT_NAMES}
    items = ["x"] if operation == "remove" else [{"name": "x"}]
    patch = CONFIG.read_patch(json.dumps({"generation": "r2", operation: {field: items}}).encode())
    assert isinstance(patch, dict)
    merged = CONFIG.merge(written, patch)
    assert isinstance(merged, InvalidConfig) and [fault.path for fault in merged.faults] == [field]


# Guards against the same exception where the patch names nothing.
@pytest.mark.parametrize(
    ("operation", "field"),
    [
        *itertools.product(("upsert", "remove"), ("generation", "routes", "pools", "listeners", *FIELDS_WITHOUT_NAMES)),
        ("remove", "limits"),
        ("remove", "absent"),
    ],
)
def test_an_empty_list_in_a_patch_alters_nothing(operation: str, field: str) -> None:
    written = {**make_written(label=1), **FIELDS_WITHOUT_NAMES}
    patch = CONFIG.read_patch(json.dumps({"generation": "r2", operation: {field: []}}).encode())
    assert CONFIG.merge(written, patch) == {**written, "generation": "r2"}


def test_named_items_of_other_fields_are_altered_too() -> None:
    written = {**make_written(label=1), "brands": [{"name": "a", "share": 1}, {"name": "b"}]}
    patch = {"generation": "r2", "upsert": {"brands": [{"name": "a", "share": 2}]}, "remove": {"brands": ["b", "c"]}}
    assert CONFIG.merge(written, patch)["brands"] == [{"name": "a", "share": 2}]


@pytest.mark.parametrize(
    ("version", "number"),
    [("r12", 12), ("r0", 0), ("12", None), ("r", None), ("rx", None), ("", None), (12, None), ("r-1", None)],
)
def test_versions(version: object, number: int | None) -> None:
    assert CONFIG.read_version(version) == number
    assert number is None or CONFIG.format_version(number) == version


@pytest.mark.parametrize(
    ("text", "number"), [("0", 0), ("r5", 5), ('"r5"', 5), (" r5 ", 5), ("", None), ("5", None), ("*", None)]
)
def test_if_match(text: str, number: int | None) -> None:
    assert CONFIG.read_if_match(text) == number
