"""Safeguards taken out on purpose: a scenario must fail without the one that it tests."""
from __future__ import annotations

import contextlib
from collections.abc import Callable
from unittest import mock

from sailward import constants


def _constant(name: str, value: float) -> Callable:
    return lambda: mock.patch.object(constants, name, value)


@contextlib.contextmanager
def _nothing():
    yield


SABOTAGE: dict[str, Callable] = {
    "lease": _constant("LEASE", 1e9),
}
