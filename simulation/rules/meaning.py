"""What a configuration means, read from what the operator wrote; written apart from the product's own reading."""

from __future__ import annotations

import copy
import re


def lay_over(*, target: object, patch: object) -> object:
    """RFC 7396: the target with the patch laid over it."""
    if not isinstance(patch, dict):
        return copy.deepcopy(patch)
    made = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            made.pop(name, None)
        else:
            made[name] = lay_over(target=made.get(name), patch=value)
    return made


def mean(*, config: object) -> dict | None:
    """{matches, homes, rates} of a configuration; None if it can't be read."""
    try:
        full = _stamp_out(config=config)
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
            "homes": {name: one["homes"] for name, one in full["tenants"].items() if one.get("homes")},
            "tenants": sorted(full["tenants"]),
            "rates": {name: one.get("rate", 0) for name, one in full["services"].items()},
            "slots": {name: one.get("slots", 0) for name, one in full["services"].items()},
        }
    except (KeyError, TypeError, AttributeError, IndexError):
        return None


def find_match(*, meaning: dict, tenant: str, path: str) -> dict | None:
    """The match that an exchange of this tenant falls under."""
    if tenant not in meaning["tenants"]:
        return None
    for match in meaning["matches"]:
        if (path == match["path"] or path.startswith(match["path"].rstrip("/") + "/")) and (
            not match["tenants"] or tenant in match["tenants"]
        ):
            return match
    return None


def permits(*, meaning: dict, run: dict) -> bool:
    """May this run be, under this configuration?"""
    match = find_match(meaning=meaning, tenant=run["tenant"], path=run["path"].split("?")[0])
    return match is not None and match["service"] == run["asked"] and run["hall"] in match["halls"]


def _stamp_out(*, config: dict) -> dict:
    full = copy.deepcopy({name: part for name, part in config.items() if name not in ("templates", "stamps")})
    for name, stamp in sorted((config.get("stamps") or {}).items()):
        template = config["templates"][stamp["template"]]
        given = {one: rule.get("default") for one, rule in (template.get("parameters") or {}).items()}
        given |= {**(stamp.get("parameters") or {}), "stamp": name}
        shape = _lay_deep(under=_put_in(shape=template["shape"], given=given), over=stamp.get("overlay") or {})
        for part in ("pools", "tenants"):
            full.setdefault(part, {}).update(shape.get(part, {}))
        full.setdefault("matches", []).extend(shape.get("matches", []))
    full.setdefault("tenants", {})
    return full


def _put_in(*, shape: object, given: dict) -> object:
    if isinstance(shape, dict):
        return {_put_in(shape=name, given=given): _put_in(shape=value, given=given) for name, value in shape.items()}
    if isinstance(shape, list):
        return [_put_in(shape=one, given=given) for one in shape]
    if not isinstance(shape, str):
        return copy.deepcopy(shape)
    whole = re.fullmatch(r"\$\{([a-z0-9_]+)\}", shape)
    return (
        copy.deepcopy(given[whole[1]])
        if whole
        else re.sub(r"\$\{([a-z0-9_]+)\}", lambda one: str(given[one[1]]), shape)
    )


def _lay_deep(*, under: object, over: object) -> object:
    if isinstance(under, dict) and isinstance(over, dict):
        return {
            name: _lay_deep(under=under[name], over=over[name])
            if name in under and name in over
            else copy.deepcopy(over.get(name, under.get(name)))
            for name in {**under, **over}
        }
    return copy.deepcopy(over)
