"""Arbitrary decoded values, and nearly valid variants of valid ones, for property tests of the edges."""

from __future__ import annotations

import copy

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

BOUNDED = settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
"""The same examples on every machine, without a wall-time limit."""
EDGE_CASES = st.sampled_from(
    [
        None,
        True,
        False,
        0,
        -1,
        1,
        2**31,
        2**62,
        2**63 - 1,
        -(2**63),
        10**400,
        0.0,
        -0.5,
        1e308,
        float("nan"),
        float("inf"),
        float("-inf"),
        "",
        "|",
        "0",
        "-1",
        "r1",
        "\x00",
        "\ud800",
        "\r\nx: y",
        "é",
        "{}",
        "[]",
        "null",
        '{"members": 5}',
        '{"emptied": [[]]}',
        '{"written": 5, "full": 5}',
        "[" * 5000,
        "voters",
        "config",
        "slots/x",
        "known/voters",
        b"",
        b"\xff",
        [],
        {},
        [[]],
        [{}],
        {"": []},
        ["same"],
    ]
)
SCALARS = EDGE_CASES | st.integers() | st.floats() | st.text(max_size=8) | st.binary(max_size=8)
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=6,
)


def paths_in(value: object, path: tuple = ()) -> list[tuple]:
    """The paths of a value's parts: the value itself, each field, each item."""
    found = [path]
    if isinstance(value, dict):
        for name in value:
            found += paths_in(value[name], (*path, name))
    elif isinstance(value, list):
        for at in range(min(len(value), 3)):
            found += paths_in(value[at], (*path, at))
    return found


def put(value: object, path: tuple, replacement: object) -> object:
    """The value with the part at `path` replaced."""
    if not path:
        return replacement
    inner = value
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = replacement
    return value


def drop(value: object, path: tuple) -> object:
    """The value without the part at `path`."""
    inner = value
    for step in path[:-1]:
        inner = inner[step]
    if path:
        del inner[path[-1]]
    return value


@st.composite
def near(draw: st.DrawFn, valid: st.SearchStrategy) -> object:
    """A valid value with one to three of its parts replaced or removed."""
    value = copy.deepcopy(draw(valid))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(paths_in(value)[1:] or [()]))
        is_dropped = draw(st.integers(0, 5)) == 0
        value = drop(value, path) if is_dropped else put(value, path, copy.deepcopy(draw(ANYTHING)))
    return value
