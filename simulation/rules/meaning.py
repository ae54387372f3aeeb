"""The meaning of a configuration as the operator wrote it, independent of the product's own implementation."""

from __future__ import annotations

import copy
import re


def merge_patch(*, target: object, patch: object) -> object:
    """Apply a JSON merge patch (RFC 7396)."""
    if not isinstance(patch, dict):
        return copy.deepcopy(patch)
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(target=merged.get(name), patch=value)
    return merged


def interpret(*, config: object) -> dict | None:
    """{matches, homes, tenants, rates, slots} of a configuration; None if it is malformed."""
    try:
        full = _expand_templates(config=config)
        matches = []
        for match in full.get("matches", []):
            pools = [(share["weight"], full["pools"][share["pool"]]) for share in match["pools"]]
            matches.append(
                {
                    "path": match["path"],
                    "tenants": match.get("tenants") or [],
                    "service": pools[0][1]["service"],
                    "weights": [(weight, pool["preferred"], pool.get("fallback", [])) for weight, pool in pools],
                    "halls": sorted(
                        {
                            zone
                            for weight, pool in pools
                            if weight
                            for zone in (*pool["preferred"], *pool.get("fallback", []))
                        }
                    ),
                }
            )
        matches.sort(key=lambda match: (-len(match["path"]), not match["tenants"]))
        return {
            "matches": matches,
            "homes": {name: tenant["homes"] for name, tenant in full["tenants"].items() if tenant.get("homes")},
            "tenants": sorted(full["tenants"]),
            "rates": {name: service.get("rate", 0) for name, service in full["services"].items()},
            "slots": {name: service.get("slots", 0) for name, service in full["services"].items()},
        }
    except (KeyError, TypeError, AttributeError, IndexError):
        return None


def find_match(*, meaning: dict, tenant: str, path: str) -> dict | None:
    """The match that applies to a request of this tenant."""
    if tenant not in meaning["tenants"]:
        return None
    for match in meaning["matches"]:
        if (path == match["path"] or path.startswith(match["path"].rstrip("/") + "/")) and (
            not match["tenants"] or tenant in match["tenants"]
        ):
            return match
    return None


def permits(*, meaning: dict, run: dict) -> bool:
    """Whether this configuration permits the run."""
    match = find_match(meaning=meaning, tenant=run["tenant"], path=run["path"].split("?")[0])
    return match is not None and match["service"] == run["asked"] and run["hall"] in match["halls"]


def _expand_templates(*, config: dict) -> dict:
    full = copy.deepcopy({name: part for name, part in config.items() if name not in ("templates", "stamps")})
    for name, stamp in sorted((config.get("stamps") or {}).items()):
        template = config["templates"][stamp["template"]]
        values = {parameter: rule.get("default") for parameter, rule in (template.get("parameters") or {}).items()}
        values |= {**(stamp.get("parameters") or {}), "stamp": name}
        shape = _merge_overlay(
            base=_substitute(shape=template["shape"], values=values), overlay=stamp.get("overlay") or {}
        )
        for part in ("pools", "tenants"):
            full.setdefault(part, {}).update(shape.get(part, {}))
        full.setdefault("matches", []).extend(shape.get("matches", []))
    full.setdefault("tenants", {})
    return full


def _substitute(*, shape: object, values: dict) -> object:
    if isinstance(shape, dict):
        return {
            _substitute(shape=name, values=values): _substitute(shape=value, values=values)
            for name, value in shape.items()
        }
    if isinstance(shape, list):
        return [_substitute(shape=item, values=values) for item in shape]
    if not isinstance(shape, str):
        return copy.deepcopy(shape)
    placeholder = re.fullmatch(r"\$\{([a-z0-9_]+)\}", shape)
    return (
        copy.deepcopy(values[placeholder[1]])
        if placeholder
        else re.sub(r"\$\{([a-z0-9_]+)\}", lambda found: str(values[found[1]]), shape)
    )


def _merge_overlay(*, base: object, overlay: object) -> object:
    if isinstance(base, dict) and isinstance(overlay, dict):
        return {
            name: _merge_overlay(base=base[name], overlay=overlay[name])
            if name in base and name in overlay
            else copy.deepcopy(overlay.get(name, base.get(name)))
            for name in {**base, **overlay}
        }
    return copy.deepcopy(overlay)
