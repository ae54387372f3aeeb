"""Configurations with numbers as large or as small as JSON holds, alone and together, in each owner that reads them."""

from __future__ import annotations

import functools
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailward.config.check import ValidConfig, check_config
from sailward.routing.plan import plan_of
from tests.core_net import CONFIG, ZONES, make_written
from tests.fuzz_kit import BOUNDED, put
from tests.test_fuzz_operators import judge, to_json

LARGEST, SMALLEST = 1.7976931348623157e308, 5e-324
"""The largest and the smallest number over 0 that a float holds."""
MAGNITUDES = (0, SMALLEST, 1e-308, 1e-9, 0.5, 1, 2**31, 2**53, 10**18 - 1, 1e18, 1e30, 1e308, LARGEST)
"""Numbers of every size that JSON from outside may hold, none of them negative."""
SPLIT = ("listeners", 0, "ruleset", 0, "verdict", "split_to")


def make_document(*, split: list[tuple[str, float]] | None = None) -> dict:
    """A document that builds on r7; `split`: the services and weights of its first route."""
    document = make_written(label=8)
    if split is not None:
        put(document, SPLIT, [{"service": service, "weight": weight} for service, weight in split])
    return document


def send(*, document: dict, method: str) -> int:
    """The status code of a controller's answer to the whole document, or to a patch that names all its items."""
    body = document
    if method == "PATCH":
        sections = {name: document[name] for name in ("listeners", "pools", "limits")}
        body = {"generation": document["generation"], "upsert": sections}
    return judge(dialect="platform", method=method, path="/config", headers={"if-match": "r7"}, body=to_json(body)).code


def shares_of_first_route(document: dict) -> dict[str, float]:
    """The part of the requests that each service gets on the first route of the plan that a proxy makes."""
    written = CONFIG.read_written(json.dumps(document).encode())
    verdict = check_config(config=CONFIG.expand(written, ZONES))
    assert isinstance(verdict, ValidConfig), verdict
    path = document["listeners"][0]["ruleset"][0]["matcher"]["path_prefix"]
    shares = next(match for match in plan_of(full=verdict.full, number=1).matches if match.path == path).shares
    total = sum(weight for _, weight in shares)
    return {service: weight / total for service, weight in shares}


# Guards against the ValueError that ended every controller: the weights of one service added up to infinity.
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize("weight", [1e308, LARGEST])
def test_two_huge_weights_of_one_service_are_accepted(method: str, weight: float) -> None:
    assert send(document=make_document(split=[("red", weight), ("red", weight)]), method=method) == 200


# Guards against weights that lose their proportion, or all of their effect, where they are scaled.
@pytest.mark.parametrize(
    ("split", "shares"),
    [
        ([("red", LARGEST), ("red", LARGEST), ("white", LARGEST)], {"red": 2 / 3, "white": 1 / 3}),
        ([("red", SMALLEST), ("white", SMALLEST), ("red", SMALLEST)], {"red": 2 / 3, "white": 1 / 3}),
        ([("red", 10**18 - 1), ("white", 10**18 - 1)], {"red": 0.5, "white": 0.5}),
        ([("red", 1e308), ("white", 1e308), ("red", 0)], {"red": 0.5, "white": 0.5}),
        ([("red", 0.25), ("white", 0.5), ("red", 0.25)], {"red": 0.5, "white": 0.5}),
        ([("red", 90), ("white", 10)], {"red": 0.9, "white": 0.1}),
        ([("red", 600_000), ("red", 600_000), ("white", 400_000)], {"red": 0.75, "white": 0.25}),
    ],
)
def test_weights_of_any_size_keep_their_proportion(split: list, shares: dict) -> None:
    assert shares_of_first_route(make_document(split=split)) == pytest.approx(shares, abs=2e-6)


# Guards against a part that gets no request at all beside one that is larger by hundreds of orders of magnitude.
def test_the_smallest_weight_beside_the_largest_is_not_zero() -> None:
    shares = shares_of_first_route(make_document(split=[("red", LARGEST), ("white", SMALLEST)]))
    assert 0 < shares["white"] < 1e-5


WEIGHTS = st.lists(st.tuples(st.sampled_from(["red", "white"]), st.sampled_from(MAGNITUDES)), min_size=1, max_size=6)


# Guards against any other exception in a controller by weights that are valid together, or an answer that is unclear.
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@settings(BOUNDED, max_examples=100)
@given(split=WEIGHTS)
def test_any_weights_that_do_not_add_up_to_zero_are_accepted(method: str, split: list) -> None:
    expected = 200 if any(weight > 0 for _, weight in split) else 400
    assert send(document=make_document(split=split), method=method) == expected


NAMES_OF_NUMBERS = (
    "weight",
    "deadline_s",
    "max_tries",
    "target_s",
    "priority",
    "max_conns",
    "cold_s",
    "cold_rate_s",
    "warm_s",
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout_s",
    "idle_timeout_s",
)
WHOLE = frozenset({"max_tries", "priority", "max_conns", "max_header_bytes", "max_body_bytes"})
OVER_ZERO = frozenset({"deadline_s", "max_tries", "max_header_bytes", "header_timeout_s", "idle_timeout_s"})


def make_full_document() -> dict:
    """A document that has every number that the pages name."""
    document = make_document()
    document["pools"] = [{**pool, "cold_s": 3.0, "cold_rate_s": 6.0, "warm_s": 3.0} for pool in document["pools"]]
    return document


def paths_of_numbers(value: object, path: tuple = ()) -> list[tuple]:
    """The paths of all numbers of a document."""
    if isinstance(value, (dict, list)):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        return [found for key, inner in items for found in paths_of_numbers(inner, (*path, key))]
    return [path] if isinstance(value, (int, float)) and not isinstance(value, bool) else []


def is_proper(*, name: str, number: float) -> bool:
    """Do the pages allow this number under this name? Of weights, each alone."""
    if number < 0 or (number == 0 and name in OVER_ZERO):
        return False
    return name not in WHOLE or float(number).is_integer()


def test_the_document_has_every_number() -> None:
    assert {path[-1] for path in paths_of_numbers(make_full_document())} == set(NAMES_OF_NUMBERS)


@st.composite
def documents(draw: st.DrawFn, *, has_improper: bool = False) -> dict:
    """A document with one to all of its numbers replaced by extreme ones; proper ones unless `has_improper`."""
    document = make_full_document()
    paths = paths_of_numbers(document)
    for path in draw(st.lists(st.sampled_from(paths), min_size=1, max_size=len(paths), unique=True)):
        numbers = [*MAGNITUDES, -SMALLEST, -1, -LARGEST] if has_improper else MAGNITUDES
        put(
            document,
            path,
            draw(st.sampled_from([n for n in numbers if has_improper or is_proper(name=path[-1], number=n)])),
        )
    for listener in document["listeners"]:
        for rule in listener["ruleset"]:
            if not any(part["weight"] for part in rule["verdict"]["split_to"]):
                rule["verdict"]["split_to"][0]["weight"] = draw(st.sampled_from(MAGNITUDES[1:]))
    return document


# Guards against a proper configuration that is refused, or never answered, for the size of its numbers.
@pytest.mark.parametrize("name", NAMES_OF_NUMBERS)
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
def test_any_proper_size_of_one_number_is_accepted(method: str, name: str) -> None:
    for number in (number for number in MAGNITUDES if is_proper(name=name, number=number)):
        document = make_full_document()
        for path in paths_of_numbers(document):
            if path[-1] == name and (name != "weight" or path[-2] == 0):
                put(document, path, number)
        assert send(document=document, method=method) == 200, number


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@settings(BOUNDED, max_examples=150)
@given(document=documents())
def test_proper_numbers_of_any_size_together_are_accepted(method: str, document: dict) -> None:
    assert send(document=document, method=method) == 200


# Guards against an improper number that is accepted because others are extreme.
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@settings(BOUNDED, max_examples=150)
@given(document=documents(has_improper=True))
def test_improper_numbers_among_others_are_refused(method: str, document: dict) -> None:
    numbers = {
        path: functools.reduce(lambda inner, key: inner[key], path, document) for path in paths_of_numbers(document)
    }
    is_all_proper = all(is_proper(name=path[-1], number=number) for path, number in numbers.items())
    assert send(document=document, method=method) == (200 if is_all_proper else 400)
