"""Arbitrary operator calls: each gets one answer; a refusal has a reason and changes nothing."""

from __future__ import annotations

import collections
import copy
import functools
import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailward.config.check import check_config
from sailward.control.bootstrap import Bootstrap
from sailward.control.controller import Controller
from sailward.control.controller_options import ControllerOptions
from sailward.discovery.peer_table import Location
from sailward.events import (
    AppendRecords,
    ConfigValidated,
    MessageReceived,
    RecordsSynced,
    RequestReceived,
    Respond,
    RewriteRecords,
    SendMessage,
    TimerFired,
    ValidateConfig,
)
from tests.core_net import CONFIG, OPERATORS, ZONES, make_written
from tests.fuzz_kit import ANYTHING, BOUNDED, near

GOOD = {
    "halls": {"gdl-a": {"region": "gdl"}, "ens-a": {"region": "ens"}},
    "services": {"stock": {"rate": 50}, "orders": {"slots": 8, "cold_rate": 2}},
    "pools": {
        "stock": {"service": "stock", "preferred": ["gdl-a"], "fallback": ["ens-a"]},
        "orders": {"service": "orders", "preferred": ["gdl-a", "ens-a"]},
    },
    "tenants": {"brand": {"homes": ["gdl"], "share": 2}},
    "matches": [
        {"path": "/stock", "pools": [{"pool": "stock", "weight": 1}]},
        {"path": "/orders", "methods": ["POST"], "tenants": ["brand"], "pools": [{"pool": "orders", "weight": 1}]},
    ],
    "templates": {"brand": {"parameters": {"who": {"type": "string"}}, "shape": {"tenants": {"${who}": {}}}}},
    "stamps": {"one": {"template": "brand", "parameters": {"who": "other"}}},
    "label": 1,
}
OTHER_FIELDS = {"colour": "blue", "numbers": [1, 2], "origin": {"name": "x"}, "brands": [{"name": "a"}], "none": None}
"""Fields that a configuration may have besides those that the pages name."""
WRITTEN = {**make_written(label=7), **OTHER_FIELDS}
POST = "10.0.0.1:7620"
DEPTHS = (40, 65, 300, 900, 990, 3000, 100_000)


def pump(owner: Controller, *, now: float, event: object) -> list[Respond]:
    """Carry out an owner's commands until it gives no more; return its answers."""
    waiting, answers = collections.deque([event]), []
    while waiting:
        for command in owner.step(now=now, event=waiting.popleft()):
            if isinstance(command, Respond):
                answers.append(command)
            elif isinstance(command, (AppendRecords, RewriteRecords)):
                json.dumps(command.records)
                waiting.append(RecordsSynced(seq=command.seq))
            elif isinstance(command, ValidateConfig):
                waiting.append(ConfigValidated(token=command.token, verdict=check_config(config=command.config)))
            elif isinstance(command, SendMessage) and command.to == POST:
                waiting.append(MessageReceived(sender=POST, body=copy.deepcopy(command.body)))
    return answers


def make_controller(*, is_platform: bool) -> Controller:
    """A group of a single controller, with a configuration in force."""
    options = ControllerOptions(bootstrap=Bootstrap(is_first=True, posts=(POST,)), zones=tuple(ZONES.items()))
    if is_platform:
        options = ControllerOptions(
            dialect=OPERATORS.OperatorsDialect(zones=ZONES),
            expand=lambda written: CONFIG.expand(written, ZONES),
            bootstrap=options.bootstrap,
            zones=options.zones,
        )
    location = Location(name="c1", kind="controller", zone="gdl-a", region="gdl", post=POST, http=POST, seeds=(POST,))
    owner = Controller(
        location=location, platform="", nonce="1", start=1, rng=random.Random(1), records=[], now=0.0, options=options
    )
    pump(owner, now=0.1, event=TimerFired(wall=1.0))
    headers, given_config = ({"if-match": "0"}, WRITTEN) if is_platform else ({}, GOOD)
    (answer,) = ask(owner, method="PUT", path="/config", headers=headers, body=json.dumps(given_config).encode())
    assert answer.code == 200, answer.body
    return owner


@functools.cache
def controllers() -> dict:
    return {"own": make_controller(is_platform=False), "platform": make_controller(is_platform=True)}


def ask(
    owner: Controller, *, method: str, path: str, headers: dict, body: bytes | None, query: dict | None = None
) -> list[Respond]:
    event = RequestReceived(token="desk 1", method=method, path=path, query=query or {}, headers=headers, body=body)
    answers = pump(owner, now=1.0, event=event)
    for heartbeat in range(1, 8):
        answers += pump(owner, now=1.0 + heartbeat, event=TimerFired(wall=2.0 + heartbeat))
    return answers


def register_values(owner: Controller) -> dict:
    return {name: (learned.value["number"], learned.value["text"]) for name, learned in owner.learner.values.items()}


def judge(*, dialect: str, **request: object) -> Respond:
    """Check that a call gets one answer, and that a refusal has a reason and changes nothing."""
    owner = copy.deepcopy(controllers()[dialect])
    before = register_values(owner)
    answers = ask(owner, **request)
    # a call that this version can't translate is refused, but its translation should not have failed
    assert len(answers) == 1 and not owner.refused.counts, (answers, owner.refused.counts)
    (answer,) = answers
    assert answer.token == "desk 1"
    assert answer.code in (200, 400, 404, 409, 412, 413, 422, 503), answer
    body = json.loads(answer.body)
    if answer.code != 200:
        assert body["error"], answer
        assert register_values(owner) == before
    return answer


def to_json(value: object) -> bytes:
    return json.dumps(value, default=lambda item: item.hex()).encode()


PATHS = ["/config", "/orders", "/voters", "/status", "/workers", "/found", "/found-anew", "/", "", "//", "/config/"]
PATHS += ["/halls/gdl-a/empty", "/halls/gdl-a/refill", "/evacuation/gdl-a", "/voters/c1/join", "/voters/c1/part"]
SEGMENTS = st.sampled_from(["config", "halls", "voters", "evacuation", "gdl-a", "empty", "join", "\ud800", "", "é"])
ANY_PATH = st.sampled_from(PATHS) | st.lists(SEGMENTS | st.text(max_size=5), max_size=4).map(
    lambda segments: "/" + "/".join(segments)
)
METHODS = st.sampled_from(["GET", "PUT", "PATCH", "POST", "DELETE", "HEAD", "OPTIONS", "BREW", ""])
IF_MATCH = st.sampled_from(["0", "r7", '"r7"', "W/r7", "r8", "7", '"1"', "*", "", "-1", "r" + "9" * 40, "é", "²"])
HEADERS = st.dictionaries(st.text(max_size=5), st.text(max_size=5), max_size=2) | IF_MATCH.map(
    lambda version: {"if-match": version}
)
QUERY = st.dictionaries(st.sampled_from(["confirm", "dry", "x"]), st.sampled_from(["yes", "", "no"]), max_size=2)
CONFIGS = [GOOD, make_written(label=8), {**GOOD, "label": 3}]
PATCHES = [
    {"generation": "r8", "upsert": {"pools": [{"name": "red", "max_conns": 3}]}, "remove": {"routes": ["p0"]}},
    {"generation": "r9", "upsert": {"listeners": [{"hostname": "x", "ruleset": []}], "limits": {}}, "limits": {}},
    {"services": {"stock": None}},
    {"survivors": ["c1"]},
    {"members": {POST + "#0": POST}},
]
FIELDS = st.sampled_from([*WRITTEN, "routes", "services", "hosts", "upsert", "absent"])
NAMES = st.sampled_from(["red", "white", "r-0", "r-1", "one.example", "a", "x", ""])
ITEMS = st.builds(lambda name: {"name": name, "hostname": name, "ruleset": []}, NAMES)
PATCHES_OF_ANY_FIELD = st.fixed_dictionaries(
    {"generation": st.sampled_from(["r8", "r12"])},
    optional={
        "upsert": st.dictionaries(FIELDS, st.lists(ITEMS, max_size=2), max_size=3),
        "remove": st.dictionaries(FIELDS, st.lists(NAMES, max_size=2), max_size=3),
    },
)
BODIES = (
    st.none()
    | st.binary(max_size=30)
    | ANYTHING.map(to_json)
    | near(st.sampled_from(CONFIGS)).map(to_json)
    | near(st.sampled_from(PATCHES)).map(to_json)
    | st.sampled_from(CONFIGS + PATCHES).map(to_json)
    | st.sampled_from([b'{"a":1,"a":2}', b'{"generation":NaN}', b"{", b'"\\ud800"', b"\xff\xfe", b"[]" * 3, b" "])
)


@pytest.mark.parametrize("dialect", ["own", "platform"])
@settings(BOUNDED, max_examples=250)
@given(method=METHODS, path=ANY_PATH, headers=HEADERS, body=BODIES, query=QUERY)
def test_any_call_gets_one_clear_answer(
    dialect: str, method: str, path: str, headers: dict, body: bytes | None, query: dict
) -> None:
    judge(dialect=dialect, method=method, path=path, headers=headers, body=body, query=query)


@pytest.mark.parametrize("dialect", ["own", "platform"])
@settings(BOUNDED, max_examples=250)
@given(
    method=st.sampled_from(["PUT", "PATCH"]), headers=IF_MATCH.map(lambda version: {"if-match": version}), body=BODIES
)
def test_any_configuration_gets_one_clear_answer(dialect: str, method: str, headers: dict, body: bytes | None) -> None:
    judge(dialect=dialect, method=method, path="/config", headers=headers, body=body)


# Guards against an exception in the merge of a patch, which ended every controller that the patch was sent to.
@settings(BOUNDED, max_examples=250)
@given(patch=PATCHES_OF_ANY_FIELD)
def test_a_patch_of_any_field_gets_one_clear_answer(patch: dict) -> None:
    judge(dialect="platform", method="PATCH", path="/config", headers={"if-match": "r7"}, body=to_json(patch))


# Guards against the same by the very patch of the review: a needless empty list beside what it removes.
def test_a_needless_empty_list_does_not_keep_a_patch_from_being_accepted() -> None:
    patch = {"generation": "r8", "upsert": {}, "remove": {"routes": ["r-1"], "generation": []}}
    answer = judge(dialect="platform", method="PATCH", path="/config", headers={"if-match": "r7"}, body=to_json(patch))
    assert answer.code == 200


@pytest.mark.parametrize("dialect", ["own", "platform"])
@pytest.mark.parametrize("path", ["/config", "/found", "/found-anew"])
@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("form", ["lists", "maps", "field", "patch"])
def test_deep_nesting_is_refused_at_any_depth(dialect: str, path: str, depth: int, form: str) -> None:
    nested = b"[" * depth + b"]" * depth
    if form == "maps":
        nested = b'{"a":' * depth + b"1" + b"}" * depth
    elif form in ("field", "patch"):
        valid = json.dumps(CONFIGS[1] if dialect == "platform" else GOOD).encode()
        nested = valid[:-1] + b',"origin":{"a":' + nested + b"}}"
    method = "POST" if path != "/config" else "PATCH" if form == "patch" else "PUT"
    answer = judge(
        dialect=dialect,
        method=method,
        path=path,
        headers={"if-match": "r7"} if dialect == "platform" else {},
        body=nested,
    )
    assert 400 <= answer.code < 500 or (depth < 64 and form in ("field", "patch"))
