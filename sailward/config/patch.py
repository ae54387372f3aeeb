"""JSON merge patch (RFC 7396)."""

from __future__ import annotations


def merge_patch(*, target: object, patch: object) -> object:
    """The target with the patch applied; null removes a name."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(target=merged.get(name), patch=value)
    return merged
