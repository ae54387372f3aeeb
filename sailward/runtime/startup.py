"""Startup settings: a TOML file and flags, checked."""

from __future__ import annotations

import ipaddress
import tomllib
from dataclasses import dataclass
from pathlib import Path

from cerberus import Validator

NAME = {"type": "string", "regex": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"}


def _check_address(field: str, value: object, error) -> None:
    if not isinstance(value, str):
        return
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        sound = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        sound = False
    if not sound:
        error(field, "must be an IP number and a port, as in 10.0.0.1:7000")


ADDRESS = {"type": "string", "check_with": _check_address}
COMMON = {
    "name": {**NAME, "required": True},
    "hall": {**NAME, "required": True},
    "region": {**NAME, "required": True},
    "post": {**ADDRESS, "required": True},
    "http": {**ADDRESS, "required": True},
    "seeds": {"type": "list", "schema": ADDRESS, "required": True, "minlength": 1, "maxlength": 3},
    "log_level": {"type": "string", "allowed": ["debug", "info", "warning", "error"], "default": "info"},
}
CONTROLLER = {
    **COMMON,
    "data": {"type": "string", "minlength": 1, "required": True},
    "platform": {**ADDRESS, "required": True},
}


@dataclass(frozen=True, kw_only=True)
class BadStartup:
    """The settings can't be used: each fault with its path."""

    faults: tuple


def read_startup(*, flags: dict, schema: dict) -> dict | BadStartup:
    """The settings from the file that the flags name, the flags going before the file."""
    settings: dict = {}
    path = flags.get("--settings")
    if path:
        try:
            settings = tomllib.loads(Path(path).read_text("utf-8"))
        except OSError as fault:
            return BadStartup(faults=(f"{path}: {fault.strerror}",))
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
            return BadStartup(faults=(f"{path}: not TOML: {fault}",))
    for name in schema:
        given = flags.get("--" + name.replace("_", "-"))
        if given is not None:
            settings[name] = given.split(",") if name == "seeds" else given
    validator = Validator(schema)
    if validator.validate(settings):
        return validator.document
    return BadStartup(
        faults=tuple(
            f"{path or 'flags'}: {where}: {reason}" for where, reason in _flatten(errors=validator.errors, path="")
        )
    )


def _flatten(*, errors: object, path: str):
    if isinstance(errors, dict):
        for name, inner in errors.items():
            yield from _flatten(errors=inner, path=f"{path}.{name}" if path else str(name))
    elif isinstance(errors, list):
        for inner in errors:
            yield from _flatten(errors=inner, path=path)
    else:
        yield path, errors
