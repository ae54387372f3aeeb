"""Texts for people: usage, faults and refusals, compared with snapshots."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from sailward.client.forecast import forecast
from sailward.config.check import check_config, read_config
from sailward.events import RequestReceived
from sailward.routing.plan import read_plan
from sailward.routing.proxied_request import Refusal, answer_refusal, build_proxied_request
from sailward.runtime.startup import COMMON_SCHEMA, CONTROLLER_SCHEMA, read_startup
from simulation.deployments import make_arriaga
from simulation.real.fleet import free_addresses

CONFIG = make_arriaga().config
GOOD = """name = "s-0"
hall = "gdl-a"
region = "guadalajara"
post = "127.0.0.1:7000"
http = "127.0.0.1:7100"
seeds = ["127.0.0.1:7001"]
"""


def run(program: str, *arguments: str) -> tuple[int, str, str]:
    done = subprocess.run(
        [sys.executable, "-m", f"sailward.programs.{program}", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


@pytest.mark.parametrize("program", ["controller", "proxy", "directory", "sailctl"])
def test_help_and_bad_flags(program: str, snapshot) -> None:
    code, out, _ = run(program, "--help")
    assert code == 0
    assert out == snapshot
    assert run(program, "--no-such-flag")[0] == 2


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("unknown", GOOD + "speed = 3\n"),
        ("ill-typed", GOOD.replace('"s-0"', "5")),
        ("missing", "name = 'x'\n"),
        ("address", GOOD.replace("127.0.0.1:7100", "localhost:7100")),
        ("seeds", GOOD.replace('["127.0.0.1:7001"]', "[]")),
        ("not-toml", "name = "),
    ],
)
def test_bad_settings_name_the_fault_and_end_with_2(name: str, text: str, snapshot, tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    code, _, err = run("proxy", "--settings", str(path))
    assert code == 2
    assert err.replace(str(path), f"{name}.toml") == snapshot


def test_flags_go_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(GOOD)
    settings = read_startup(flags={"--settings": str(path), "--hall": "gdl-b"}, schema=COMMON_SCHEMA)
    assert (settings["hall"], settings["log_level"]) == ("gdl-b", "info")
    assert len(read_startup(flags={"--settings": str(path)}, schema=CONTROLLER_SCHEMA).faults) == 2


@pytest.mark.parametrize(
    "text",
    [
        "{",
        "[]",
        '{"halls": {}, "halls": {}}',
        '{"speed": NaN}',
        "{}",
        json.dumps({**CONFIG, "speed": 1}),
        json.dumps({**CONFIG, "pools": {"p": {"service": "none", "preferred": ["gdl-a", "gdl-a", "nowhere"]}}}),
        json.dumps({**CONFIG, "matches": [{"path": "/x", "pools": [{"pool": "stock-guadalajara", "weight": 0}]}]}),
        json.dumps({**CONFIG, "matches": [{"path": "stock", "pools": []}]}),
        json.dumps({**CONFIG, "tenants": {"t": {"homes": ["atlantis"]}}}),
        json.dumps({**CONFIG, "stamps": {"a": {"template": "none"}}}),
        json.dumps(
            {
                **CONFIG,
                "templates": {
                    "t": {
                        "parameters": {"n": {"type": "integer"}},
                        "shape": {"tenants": {"${stamp}": {"share": "${n}"}}},
                    }
                },
                "stamps": {
                    "a": {"template": "t"},
                    "b": {"template": "t", "parameters": {"n": "3"}},
                    "c": {"template": "t", "parameters": {"n": 3, "m": 1}},
                },
            }
        ),
        "x" * (1 << 20) + "y",
    ],
    ids=range(13),
)
def test_unsound_configurations_list_every_fault(text: str, snapshot) -> None:
    config = read_config(text=text)
    faults = config.faults if not isinstance(config, dict) else check_config(config=config).faults
    assert [f"{fault.path}: {fault.reason}" for fault in faults] == snapshot


def test_a_template_is_stamped_out_and_changed_by_parameters_alone() -> None:
    config = {
        **CONFIG,
        "templates": {
            "brand": {
                "parameters": {"home": {"type": "list"}, "share": {"type": "integer", "default": 1}},
                "shape": {"tenants": {"${stamp}": {"homes": "${home}", "share": "${share}"}}},
            }
        },
        "stamps": {
            "azul": {"template": "brand", "parameters": {"home": ["ensenada"]}},
            "rojo": {
                "template": "brand",
                "parameters": {"home": ["guadalajara"], "share": 3},
                "overlay": {"tenants": {"rojo": {"share": 5}}},
            },
        },
    }
    full = check_config(config=config).full
    assert full["tenants"]["azul"] == {"homes": ["ensenada"], "share": 1}
    assert full["tenants"]["rojo"] == {"homes": ["guadalajara"], "share": 5}


@pytest.mark.parametrize(
    ("method", "path", "headers", "body"),
    [
        ("GET", "/stock/1", {}, b""),
        ("GET", "/stock/1", {"sailward-tenant": "nobody"}, b""),
        ("GET", "/nothing", {"sailward-tenant": "hotels"}, b""),
        ("BREW", "/stock", {"sailward-tenant": "hotels"}, b""),
        ("POST", "/orders", {"sailward-tenant": "hotels"}, b""),
        ("POST", "/orders", {"sailward-tenant": "hotels"}, None),
        ("GET", "/stock", {"sailward-tenant": "hotels", "sailward-try": "zero"}, b""),
        ("GET", "/deliveries", {"sailward-tenant": "hotels"}, b""),
        ("POST", "/orders", {"sailward-tenant": "hotels", "idempotency-key": "k" * 300}, b""),
    ],
    ids=range(9),
)
def test_bad_requests_are_refused_with_json(
    method: str, path: str, headers: dict, body: bytes | None, snapshot
) -> None:
    full = check_config(config=CONFIG).full
    plan = read_plan(value={"number": 1, "text": json.dumps({"written": CONFIG, "full": full})})
    event = RequestReceived(token="t", method=method, path=path, query={}, headers=headers, body=body)
    refusal = build_proxied_request(event=event, plan=plan, now=0.0, exchange_id="x")
    assert isinstance(refusal, Refusal)
    answer = answer_refusal(token="t", refusal=refusal, is_not_run=True)
    assert (answer.code, answer.headers, json.loads(answer.body)) == snapshot


def test_a_check_against_the_fleet_tells_moves_shortages_and_empty_homes(snapshot) -> None:
    full = check_config(config=CONFIG).full
    new = json.loads(json.dumps(full))
    new["matches"][0]["pools"][0]["weight"] = 10
    new["halls"]["far"] = {"region": "far"}
    workers = [
        {"id": name, "generation": 1, "service": service, "hall": zone, "address": "127.0.0.1:1", "leaving": False}
        for name, service, zone in make_arriaga().workers
        if not (service == "orders" and zone.startswith("gdl"))
    ]
    workers.append({**workers[0], "id": "lost", "hall": "attic", "service": "wine"})
    findings = forecast(full=new, current_full=full, workers=workers, rates={"stock": 450.0, "notes": 900.0}, states={})
    assert [f"{finding.kind}: {finding.path}: {finding.text}" for finding in findings] == snapshot


def test_sailctl_reports_that_no_controller_answers(tmp_path: Path) -> None:
    controllers = ",".join(free_addresses(count=2))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    for command in (("status",), ("put", str(path)), ("found",), ("empty", "gdl-a")):
        code, _, err = run("sailctl", "--controllers", controllers, *command)
        assert code == 3 and "answer" in err
    assert run("sailctl", "--controllers", controllers, "put", str(tmp_path / "none.json"))[0] == 2
    assert run("sailctl", "--controllers", controllers, "put", str(path), "--if-match", "x")[0] == 2
