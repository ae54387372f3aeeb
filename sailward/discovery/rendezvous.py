"""Rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score_pair(*, key: str, name: str) -> int:
    """The weight of this name for this key; identical on all daemons."""
    return int.from_bytes(hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), "big")


def choose_names(*, key: str, names: Iterable[str], count: int) -> list[str]:
    """The `count` names with the highest weights for this key, best first."""
    return sorted(names, key=lambda name: (-score_pair(key=key, name=name), name))[:count]
