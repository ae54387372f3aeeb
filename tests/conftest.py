"""The option `--known-red FILE`: tests listed there run and their verdicts are printed, but they don't fail the run.

The file has a line for each test, `test, cause, issue`, and at most MAX_LISTED lines. Any other failure fails the run.
A list that is too long or ill-formed is ignored, and tests/test_known_red.py fails on it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from sailward.invariants import violations

MAX_LISTED = 3
"""lines that the list may have: known failures must be fixed before more are added."""


@dataclass(frozen=True, kw_only=True)
class KnownRed:
    """A test that is known to fail: its pytest node id, the cause, and the issue for the fix."""

    test: str
    cause: str
    issue: str


def read_known_red(*, text: str) -> list[KnownRed]:
    """Parse the list; ValueError for a line without its three parts, a duplicate test, or too many lines."""
    listed = []
    for line in text.splitlines():
        if not line.strip():
            continue
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test.strip() and cause.strip() and issue.strip()):
            raise ValueError(f"not 'test, cause, issue': {line}")
        listed.append(KnownRed(test=test.strip(), cause=cause.strip(), issue=issue.strip()))
    if len({known.test for known in listed}) < len(listed):
        raise ValueError("a test is listed twice")
    if len(listed) > MAX_LISTED:
        raise ValueError(f"{len(listed)} tests are listed, {MAX_LISTED} at most")
    return listed


def _read_file(*, config: pytest.Config) -> list[KnownRed]:
    name = config.getoption("--known-red")
    path = Path(config.rootpath, name) if name else None
    return read_known_red(text=path.read_text("utf-8")) if path and path.exists() else []


@pytest.fixture(autouse=True)
def no_invariant_is_violated(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test during which an invariant was violated, unless it plants faults."""
    violations.clear()
    yield
    if request.node.get_closest_marker("plants_faults") is None:
        assert not violations, f"invariants violated: {dict(violations)}"
    violations.clear()


def pytest_configure(config: pytest.Config) -> None:
    """Register the project's marker."""
    config.addinivalue_line("markers", "plants_faults: takes a safeguard out, so that invariants may be violated")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option; a file that doesn't exist counts as an empty list."""
    parser.addoption("--known-red", metavar="FILE", default="", help="pass over the failures of the tests listed there")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail; one that passes doesn't fail the run either."""
    try:
        listed = {known.test: known for known in _read_file(config=config)}
    except ValueError:
        return
    for item in items:
        known = listed.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {known.cause} ({known.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each listed test with its verdict."""
    try:
        listed = _read_file(config=config)
    except ValueError as fault:
        terminalreporter.write_line(f"{config.getoption('--known-red')}: {fault}; it covers nothing", red=True)
        return
    if not listed:
        return
    terminalreporter.section("known red")
    for known in listed:
        verdict = _verdict_of(reporter=terminalreporter, test=known.test)
        terminalreporter.write_line(f"{verdict}: {known.test}: {known.cause} ({known.issue})")


def _verdict_of(*, reporter: pytest.TerminalReporter, test: str) -> str:
    labels = {"xfailed": "failed, as known", "xpassed": "PASSED: take it off the list", "error": "error"}
    for outcome, label in labels.items():
        if any(getattr(report, "nodeid", "") == test for report in reporter.stats.get(outcome, [])):
            return label
    return "not run"
