"""The option `--known-red FILE`: tests listed there run and their verdicts are printed, but they don't fail the run.

The file has a line for each known failure: `test, cause, issue`, or `command, cause, issue` with the command in
backquotes. Commands are printed, and not run. Any failure of a test that is not listed fails the run. A list that is
ill-formed is ignored, and tests/test_known_red.py fails on it.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from sailward.invariants import violations

COMMAND_OR_TEST = re.compile(r"`(?P<command>[^`]*\S[^`]*)`|(?P<test>[^`\s]+\.py::\S+?)(?=, )")


@dataclass(frozen=True, kw_only=True)
class KnownRed:
    """A known failure: the pytest node id of its test or the command that shows it, the cause, and the issue."""

    cause: str
    issue: str
    test: str = ""
    command: str = ""

    @property
    def name(self) -> str:
        """The test, or the command."""
        return self.test or self.command


def read_known_red(*, text: str) -> list[KnownRed]:
    """Parse the list; ValueError for a line without its three parts, or for what is listed twice."""
    listed = [_read_line(line=line) for line in text.splitlines() if line.strip()]
    if len({known.name for known in listed}) < len(listed):
        raise ValueError("a test or a command is listed twice")
    return listed


def _read_line(*, line: str) -> KnownRed:
    shown = COMMAND_OR_TEST.match(line)
    if shown is None:
        raise ValueError(f"begins with no test and no command in backquotes: {line}")
    comma, _, rest = line[shown.end() :].partition(" ")
    cause, _, issue = rest.rpartition(", ")
    if comma != "," or not (cause.strip() and issue.strip()):
        raise ValueError(f"not 'test or `command`, cause, issue': {line}")
    return KnownRed(test=shown["test"] or "", command=shown["command"] or "", cause=cause.strip(), issue=issue.strip())


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
        listed = {known.test: known for known in _read_file(config=config) if known.test}
    except ValueError:
        return
    for item in items:
        known = listed.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {known.cause} ({known.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each listed test with its verdict, and each listed command."""
    try:
        listed = _read_file(config=config)
    except ValueError as fault:
        terminalreporter.write_line(f"{config.getoption('--known-red')}: {fault}; it covers nothing", red=True)
        return
    if not listed:
        return
    terminalreporter.section("known red")
    for known in listed:
        verdict = _verdict_of(reporter=terminalreporter, test=known.test) if known.test else "a command, not run here"
        terminalreporter.write_line(f"{verdict}: {known.name}: {known.cause} ({known.issue})")


def _verdict_of(*, reporter: pytest.TerminalReporter, test: str) -> str:
    labels = {"xfailed": "failed, as known", "xpassed": "PASSED: take it off the list", "error": "error"}
    for outcome, label in labels.items():
        if any(getattr(report, "nodeid", "") == test for report in reporter.stats.get(outcome, [])):
            return label
    return "not run"
