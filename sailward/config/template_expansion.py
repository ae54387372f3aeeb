"""Expands templates with parameters and overlays into a full configuration."""

from __future__ import annotations

import copy
import string

from deepmerge import Merger

PARAMETER_TYPES = {"string": str, "integer": int, "list": list}
OVERLAY_MERGER = Merger([(dict, ["merge"]), (list, ["override"])], ["override"], ["override"])
EXPANDABLE_PARTS = ("pools", "tenants", "matches")


class ParameterTemplate(string.Template):
    """Template text in which parameters are written ${name}."""

    idpattern = r"(?a:[a-z][a-z0-9_]*)"
    flags = 0


def expand_stamps(*, config: dict) -> tuple[dict, list[tuple[str, str]]]:
    """The configuration with each stamp's template expanded, and the faults as (path, reason)."""
    full = {name: copy.deepcopy(part) for name, part in config.items() if name not in ("templates", "stamps")}
    faults: list[tuple[str, str]] = []
    for name in sorted(config.get("stamps") or {}):
        stamp = config["stamps"][name]
        path = f"stamps.{name}"
        template = (config.get("templates") or {}).get(stamp["template"])
        if template is None:
            faults.append((f"{path}.template", f"no template {stamp['template']!r}"))
            continue
        given, stamp_faults = _fill_parameters(template=template, stamp=stamp, path=path)
        shape = _fill(shape=template["shape"], given={**given, "stamp": name}, path=path, faults=stamp_faults)
        faults += stamp_faults
        if stamp_faults:
            continue
        shape = OVERLAY_MERGER.merge(shape, copy.deepcopy(stamp.get("overlay") or {}))
        faults += _add_parts(full=full, shape=shape, path=path)
    return full, faults


def _fill_parameters(*, template: dict, stamp: dict, path: str) -> tuple[dict, list]:
    declared, given = template.get("parameters") or {}, stamp.get("parameters") or {}
    faults = [(f"{path}.parameters.{name}", "unknown parameter") for name in given if name not in declared]
    filled = {}
    for name, rule in declared.items():
        value = given.get(name, rule.get("default"))
        if value is None:
            faults.append((f"{path}.parameters.{name}", "missing"))
        elif not isinstance(value, PARAMETER_TYPES[rule["type"]]) or isinstance(value, bool):
            faults.append((f"{path}.parameters.{name}", f"must be of type {rule['type']}"))
        else:
            filled[name] = value
    return filled, faults


def _fill(*, shape: object, given: dict, path: str, faults: list) -> object:
    if isinstance(shape, dict):
        return {
            _fill(shape=name, given=given, path=path, faults=faults): _fill(
                shape=inner, given=given, path=path, faults=faults
            )
            for name, inner in shape.items()
        }
    if isinstance(shape, list):
        return [_fill(shape=inner, given=given, path=path, faults=faults) for inner in shape]
    if not isinstance(shape, str) or "$" not in shape:
        return shape
    pattern = ParameterTemplate(shape)
    if not pattern.is_valid():
        faults.append((path, f"ill-formed parameter in {shape!r}"))
        return shape
    names = pattern.get_identifiers()
    missing = [name for name in names if name not in given]
    if missing:
        # a parameter whose value was refused has a fault of its own already
        if not any(fault[0].endswith(f".{name}") for fault in faults for name in missing):
            faults.append((path, f"the template names {missing[0]!r}, which is no parameter"))
        return shape
    if len(names) == 1 and shape == "${" + names[0] + "}":
        return copy.deepcopy(given[names[0]])
    return pattern.substitute(given)


def _add_parts(*, full: dict, shape: dict, path: str) -> list[tuple[str, str]]:
    faults = []
    for part, inner in shape.items():
        if part not in EXPANDABLE_PARTS or not isinstance(inner, list if part == "matches" else dict):
            faults.append((f"{path}.{part}", f"a template holds {', '.join(EXPANDABLE_PARTS)} only"))
        elif part == "matches":
            full.setdefault(part, []).extend(inner)
        else:
            for name, child in inner.items():
                if name in full.setdefault(part, {}):
                    faults.append((f"{path}.{part}.{name}", "already there"))
                full[part][name] = child
    return faults
