"""Operators' calls that this version can't translate or check: each is refused, and the controller goes on."""

from __future__ import annotations

import json
from unittest import mock

import pytest

from sailward.config.check import InvalidConfig, ValidConfig
from sailward.events import ValidateConfig
from sailward.runtime import config_validation
from sailward.runtime.config_validation import validate_config
from tests.core_net import make_written
from tests.test_fuzz_operators import GOOD, ask, make_controller, register_values, to_json

CHANGE = {"generation": "r8", "upsert": {"pools": [{"name": "red", "max_conns": 3}]}}
HEADERS = {"if-match": "r7"}


# Guards against an exception in a dialect, which ended every controller that the operator carried the call to.
@pytest.mark.parametrize(
    ("method", "part"), [("PUT", "read"), ("PUT", "expand"), ("PATCH", "read"), ("PATCH", "merge"), ("PATCH", "expand")]
)
def test_a_change_whose_translation_fails_is_refused_and_the_controller_goes_on(method: str, part: str) -> None:
    owner = make_controller(is_platform=True)
    before = register_values(owner)
    body = to_json(make_written(label=8) if method == "PUT" else CHANGE)
    with mock.patch.object(owner.admin_api.dialect, part, side_effect=ValueError("cannot convert float NaN")):
        [refused] = ask(owner, method=method, path="/config", headers=HEADERS, body=body)
    assert refused.code == 400 and "cannot convert" in json.loads(refused.body)["faults"][0]["reason"]
    assert register_values(owner) == before and sum(owner.refused.counts.values()) == 1
    [accepted] = ask(owner, method=method, path="/config", headers=HEADERS, body=body)
    assert accepted.code == 200


# Guards against an exception on the thread that checks a configuration: the operator never got an answer.
@pytest.mark.parametrize("part", ["check_config", "plan_of"])
def test_a_configuration_whose_check_fails_is_refused(part: str) -> None:
    command = ValidateConfig(token="desk 1", config=GOOD)
    assert isinstance(validate_config(command=command).verdict, ValidConfig)
    with mock.patch.object(config_validation, part, side_effect=OverflowError("too large")):
        verdict = validate_config(command=command)
    assert verdict.token == "desk 1" and isinstance(verdict.verdict, InvalidConfig)


# Guards against the same in the product's own dialect, whose changes are merged by another function.
def test_a_document_of_the_own_dialect_is_refused_too() -> None:
    owner = make_controller(is_platform=False)
    with mock.patch.object(owner.admin_api.dialect, "merge", side_effect=RecursionError("deep")):
        [refused] = ask(owner, method="PATCH", path="/config", headers={}, body=b"{}")
    assert refused.code == 422
    changed = {**GOOD, "label": 4}
    [accepted] = ask(owner, method="PUT", path="/config", headers={}, body=to_json(changed))
    assert accepted.code == 200
