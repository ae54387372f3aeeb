"""The cerberus schema of a configuration."""

from __future__ import annotations

from typing import Any

from sailward import constants

NAME = {"type": "string", "regex": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"}
ZONES = {"type": "list", "schema": NAME, "default": []}
AMOUNT = {"type": "number", "min": 0.1, "max": 1e6}

SERVICE = {
    "expiry_s": {"type": "number", "min": 0.05, "max": 5.0, "default": constants.DEFAULT_SERVICE_TIMEOUT},
    "rate": {**AMOUNT, "default": constants.DEFAULT_WORKER_RATE},
    "cold_rate": {**AMOUNT, "default": constants.SLOW_START_RATE},
    "cold_ramp_s": {"type": "number", "min": 0, "max": 3600, "default": constants.SLOW_START_RAMP},
    "result_bytes": {
        "type": "integer",
        "min": 1,
        "max": constants.MAX_RESULT_BYTES,
        "default": constants.MAX_RESULT_BYTES,
    },
    "digest_required": {"type": "boolean", "default": False},
    "timed_keys": {"type": "boolean", "default": False},
    "slots": {"type": "integer", "min": 0, "max": 1024, "default": 0},
    "keys": {"type": "string", "allowed": ["by-home", "shared", "ranged"], "default": "by-home"},
    "health_path": {"type": "string", "regex": r"^/[^?#\s]*$"},
    "connections": {"type": "integer", "min": 0, "max": 1000000},
    "cold_s": {"type": "number", "min": 0, "max": 86400},
    "warm_s": {"type": "number", "min": 0, "max": 86400},
}
POOL = {
    "service": {**NAME, "required": True},
    "preferred": {**ZONES, "required": True, "minlength": 1},
    "fallback": ZONES,
    "tiers": {"type": "string", "allowed": ["listed", "near"]},
}
PATH = r"^/[^?#\s]*$"
HOST = r"^[^\s/]{0,253}$"
METHOD = "^[A-Z]{1,16}$"
MATCH_KINDS = ["", "repeatable", "once"]
MATCH: dict[str, Any] = {
    "path": {"type": "string", "regex": PATH, "required": True},
    "methods": {"type": "list", "schema": {"type": "string", "regex": METHOD}, "default": []},
    "tenants": {"type": "list", "schema": NAME, "default": []},
    "pools": {
        "type": "list",
        "minlength": 1,
        "maxlength": 32,
        "required": True,
        "schema": {
            "type": "dict",
            "schema": {
                "pool": {**NAME, "required": True},
                "weight": {"type": "integer", "min": 0, "max": 1000000, "required": True},
            },
        },
    },
    "name": {"type": "string", "maxlength": 1000},
    "host": {"type": "string", "regex": HOST},
    "kind": {"type": "string", "allowed": MATCH_KINDS},
    "expiry_s": {"type": "number", "min": 0.05, "max": 3600},
    "tries": {"type": "integer", "min": 1, "max": 10},
    "target_s": {"type": "number", "min": 0, "max": 1e6},
    "rank": {"type": "integer", "min": 0},
    "homes": {"type": "list", "schema": NAME},
    "across": {"type": "boolean"},
}
TENANT = {
    "homes": {"type": "list", "schema": NAME, "default": []},
    "share": {"type": "integer", "min": 1, "max": 100, "default": 1},
}


def _by_name(*, shape: dict) -> dict:
    return {"type": "dict", "keysrules": NAME, "valuesrules": {"type": "dict", "schema": shape}, "default": {}}


TEMPLATE = {
    "parameters": {
        "type": "dict",
        "keysrules": {"type": "string", "regex": "^[a-z][a-z0-9_]{0,30}$"},
        "valuesrules": {
            "type": "dict",
            "schema": {
                "type": {"type": "string", "allowed": ["string", "integer", "list"], "required": True},
                "default": {"nullable": True},
            },
        },
        "default": {},
    },
    "shape": {"type": "dict", "required": True},
}
STAMP = {
    "template": {**NAME, "required": True},
    "parameters": {"type": "dict", "default": {}},
    "overlay": {"type": "dict", "default": {}},
}
LIMITS: dict[str, Any] = {
    "head_bytes": {"type": "integer", "min": 1, "max": 1 << 30},
    "body_bytes": {"type": "integer", "min": 0, "max": 1 << 40},
    "head_wait": {"type": "number", "min": 0.001, "max": 86400},
    "idle_wait": {"type": "number", "min": 0.001, "max": 86400},
}
CONFIG = {
    "halls": {
        "type": "dict",
        "keysrules": NAME,
        "required": True,
        "minlength": 1,
        "valuesrules": {"type": "dict", "schema": {"region": {**NAME, "required": True}}},
    },
    "services": {**_by_name(shape=SERVICE), "required": True, "minlength": 1},
    "pools": _by_name(shape=POOL),
    "tenants": _by_name(shape=TENANT),
    "matches": {"type": "list", "default": [], "schema": {"type": "dict", "schema": MATCH}},
    "templates": _by_name(shape=TEMPLATE),
    "stamps": _by_name(shape=STAMP),
    "limits": {"type": "dict", "schema": LIMITS},
    "label": {"type": "integer", "min": 0},
    "origin": {"type": "dict"},
}
