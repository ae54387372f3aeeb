"""Validated startup settings from a TOML file and command-line flags."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from cerberus import Validator

from sailward.config.errors import list_errors

NAME_RULE = {"type": "string", "regex": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"}


def _check_address(field: str, value: object, error: Callable[[str, str], None]) -> None:
    if not isinstance(value, str):
        return
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        error(field, "must be an IP number and a port, as in 10.0.0.1:7000")


ADDRESS_RULE = {"type": "string", "check_with": _check_address}
COMMON_SCHEMA = {
    "name": {**NAME_RULE, "required": True},
    "hall": {**NAME_RULE, "required": True},
    "region": {**NAME_RULE, "required": True},
    "post": {**ADDRESS_RULE, "required": True},
    "http": {**ADDRESS_RULE, "required": True},
    "seeds": {"type": "list", "schema": ADDRESS_RULE, "required": True, "minlength": 1, "maxlength": 3},
    "log_level": {"type": "string", "allowed": ["debug", "info", "warning", "error"], "default": "info"},
}
CONTROLLER_SCHEMA = {
    **COMMON_SCHEMA,
    "data": {"type": "string", "minlength": 1, "required": True},
    "platform": {**ADDRESS_RULE, "required": True},
}


@dataclass(frozen=True, kw_only=True)
class BadStartup:
    """The settings are invalid; `faults` names each with its path."""

    faults: tuple


def read_startup(*, flags: dict, schema: dict) -> dict | BadStartup:
    """The settings from the file named by the flags; flags take precedence over the file."""
    settings: dict = {}
    path = flags.get("--settings")
    if path:
        try:
            settings = tomllib.loads(Path(path).read_text("utf-8"))
        except OSError as error:
            return BadStartup(faults=(f"{path}: {error.strerror}",))
        except (ValueError, RecursionError) as error:
            return BadStartup(faults=(f"{path}: not TOML: {error}",))
    for name in schema:
        given = flags.get("--" + name.replace("_", "-"))
        if given is not None:
            settings[name] = given.split(",") if name == "seeds" else given
    validator = Validator(schema)
    try:
        is_valid = validator.validate(settings)
    except Exception as error:  # noqa: BLE001 - cerberus raises on some unexpected types
        return BadStartup(faults=(f"{path or 'flags'}: unexpected structure: {error}",))
    if is_valid:
        document: dict = validator.document
        return document
    errors = list_errors(errors=validator.errors)
    return BadStartup(faults=tuple(f"{path or 'flags'}: {where}: {reason}" for where, reason in errors))
