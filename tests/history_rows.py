"""Rows of histories in the form that the simulators write, for the tests of the checker."""

from __future__ import annotations

import copy

from simulation.deployments import make_arriaga
from simulation.sim.operators import content_digest

FLEET = make_arriaga()
CONFIG = FLEET.config


def run(t: float, **fields: object) -> dict:
    return {
        "t": t,
        "k": "run",
        "worker": "stock-gdl-a-0/1",
        "service": "stock",
        "asked": "stock",
        "hall": "gdl-a",
        "region": "guadalajara",
        "key": "",
        "tenant": "hotels",
        "nonce": f"n{t}",
        "turn": 1,
        "path": "/stock/?n=1",
        "unsafe": False,
        "proxy": "proxy-0",
        "until": t + 0.01,
        "slot_key": "",
        **fields,
    }


def order(t: float, **fields: object) -> dict:
    return run(t, worker="orders-gdl-a-0/1", service="orders", asked="orders", path="/orders/", unsafe=True, **fields)


def sent(t: float, **fields: object) -> dict:
    return {
        "t": t,
        "k": "sent",
        "nonce": f"n{t}",
        "key": "",
        "turn": 1,
        "tenant": "hotels",
        "path": "/stock",
        "unsafe": False,
        "proxy": "proxy-0",
        "region": "ensenada",
        **fields,
    }


def got(t: float, **fields: object) -> dict:
    return {
        "t": t,
        "k": "got",
        "nonce": f"n{t}",
        "key": "",
        "turn": 1,
        "code": 200,
        "tenant": "hotels",
        "path": "/stock",
        "unsafe": False,
        "proxy": "proxy-0",
        "ran": "",
        "verdict": "good",
        "reason": "",
        "held": False,
        "taken": True,
        "retry_after": "",
        **fields,
    }


def refused(t: float, **fields: object) -> dict:
    return got(t, **{"code": 503, "ran": "not-run", "verdict": "", "reason": "no-room", "retry_after": "1", **fields})


def put(t: float, number: int, config: object = CONFIG, **fields: object) -> dict:
    return {
        "t": t,
        "k": "put",
        "begun": t - 0.1,
        "outcome": "accepted",
        "number": number,
        "code": 200,
        "invalid": False,
        "digest": content_digest(config=config),
        "given": config,
        "patch": False,
        "error": "",
        "controller": "",
        **fields,
    }


def read(t: float, number: int, config: object = CONFIG) -> dict:
    return {
        "t": t,
        "k": "read-back",
        "begun": t - 0.1,
        "number": number,
        "digest": content_digest(config=config),
        "config": config,
    }


def row(t: float, k: str, **fields: object) -> dict:
    return {"t": t, "k": k, **fields}


def config_with(path: str, value: object) -> dict:
    config = copy.deepcopy(CONFIG)
    *names, last = path.split(".")
    inner = config
    for name in names:
        inner = inner[int(name)] if name.isdigit() else inner[name]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return config


def config_with_stamp(zones: list) -> dict:
    shape = {
        "pools": {"${stamp}": {"service": "stock", "preferred": "${halls}"}},
        "tenants": {"${stamp}": {}},
        "matches": [{"path": "/${stamp}", "pools": [{"pool": "${stamp}", "weight": 1}]}],
    }
    return {
        **CONFIG,
        "templates": {"t": {"parameters": {"halls": {"type": "list"}}, "shape": shape}},
        "stamps": {"azul": {"template": "t", "parameters": {"halls": zones}}},
    }


HOMES = row(0, "homes", homes={"tapatia": ["guadalajara"]})
COLD_BOUND = row(0, "cold-bound", service="stock", cold=4, rate=20, ramp=10, begun=0)
PINNED = config_with("pools.stock-guadalajara.fallback", [])
PINNED["matches"][0]["pools"][1]["weight"] = 0
MOVED = config_with("pools.stock-guadalajara.service", "notes")
MOVED["pools"]["stock-ensenada"]["service"] = "notes"
STARTED = row(20, "worker-started", worker="stock-gdl-a-0/1")
FIRST_ATTEMPTS = [
    attempt
    for at in range(60)
    for attempt in (sent(50 + at / 10, nonce=f"m{at}"), got(50.01 + at / 10, nonce=f"m{at}"))
]
ALL_DOWN = [row(20, "daemon-down", daemon=name) for _, name, _ in FLEET.daemons]
ALL_UP = [row(35, "daemon-up", daemon=name) for _, name, _ in FLEET.daemons]


def refuse_attempts(rows: list, count: int, begin: float = 0.0) -> list:
    """The same rows, with the first `count` answers from `begin` on changed to refusals."""
    remaining, result = count, []
    for row in rows:
        is_refused = row["k"] == "got" and row["t"] >= begin and remaining > 0
        remaining -= is_refused
        result.append(
            {**row, "code": 503, "verdict": "", "ran": "not-run", "retry_after": "1", "reason": "x"}
            if is_refused
            else row
        )
    return result


def flood(rival_good: int) -> list:
    rows = [got(50 + at / 100, nonce=f"f{at}", tenant="shops") for at in range(300)]
    rows = refuse_attempts(rows, 100)
    mine = refuse_attempts([got(50 + at / 20, nonce=f"r{at}") for at in range(60)], 60 - rival_good)
    return rows + mine
