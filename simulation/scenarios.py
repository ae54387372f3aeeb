"""Scenario files: their grammar, parsing, and sweeps over many seeds. Each simulator implements the steps itself."""

from __future__ import annotations

import collections
import contextlib
import sys
import time
import traceback
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

from sailward import constants


@dataclass(kw_only=True)
class Scenario:
    """One scenario as its file describes it; `steps` are (s from the begin, verb, words).

    For `drawn` s, further steps are drawn from the seed, of these `kinds` or of all. `must_fail_without` are pairs of a
    safeguard and the rule that must be broken without it.
    """

    title: str = ""
    rule: str = ""
    fleet: str = ""
    seeds: range = range(1, 4)
    steps: list = field(default_factory=list)
    expects: list = field(default_factory=list)
    constants: dict = field(default_factory=dict)
    must_fail_without: list = field(default_factory=list)
    end: float = 30.0
    drawn: float = 0.0
    kinds: tuple = ()


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The result of a run: rule violations, failed expectations, values of all expectations, the world at its end."""

    violations: list
    failed: list
    figures: dict
    world: Any


@dataclass(frozen=True, kw_only=True)
class Grammar:
    """The grammar of a simulator's scenario files.

    `fleet` and `seeds` are the defaults. Text after `comment` in a line is ignored. `find_fault` returns the error in a
    verb and its words, or "". `safeguards` makes the patches that disable a safeguard.
    """

    fleet: str
    seeds: range
    comment: str
    find_fault: Callable[..., str]
    safeguards: dict[str, Callable]
    can_draw: bool = False

    def read(self, *, text: str) -> Scenario:
        """Parse a scenario; a ValueError names the line and the error."""
        scenario = Scenario(fleet=self.fleet, seeds=self.seeds)
        readers = {
            "title": self._read_text,
            "rule": self._read_text,
            "fleet": self._read_text,
            "seeds": self._read_seeds,
            "at": self._read_at,
            "every": self._read_every,
            "with": self._read_constant,
            "end": self._read_end,
            "expect": self._read_expectation,
            "fails": self._read_safeguard,
        }
        if self.can_draw:
            readers["draw"] = self._read_draw
        for number, line in enumerate(text.splitlines(), start=1):
            words = line.split(self.comment)[0].split()
            if not words:
                continue
            if words[0] not in readers:
                raise ValueError(f"line {number}: unknown word {words[0]!r}")
            try:
                readers[words[0]](scenario=scenario, words=words)
            except ValueError as error:
                raise ValueError(f"line {number}: {error}") from error
        return scenario

    def _read_text(self, *, scenario: Scenario, words: list[str]) -> None:
        setattr(scenario, words[0], " ".join(words[1:]))

    def _read_seeds(self, *, scenario: Scenario, words: list[str]) -> None:
        scenario.seeds = read_range(text=words[1])

    def _read_at(self, *, scenario: Scenario, words: list[str]) -> None:
        """`at SECOND VERB ...`: a step."""
        self._add(scenario=scenario, times=[float(words[1])], verb=words[2], words=words[3:])

    def _read_every(self, *, scenario: Scenario, words: list[str]) -> None:
        """`every SECONDS from BEGIN to END VERB ...`: a repeated step."""
        step, begin, end = float(words[1]), float(words[3]), float(words[5])
        times = [begin + step * count for count in range(round((end - begin) / step))]
        self._add(scenario=scenario, times=times, verb=words[6], words=words[7:])

    def _add(self, *, scenario: Scenario, times: list[float], verb: str, words: list[str]) -> None:
        error = self.find_fault(verb=verb, words=words)
        if error:
            raise ValueError(error)
        scenario.steps += [(second, verb, words) for second in times]

    def _read_constant(self, *, scenario: Scenario, words: list[str]) -> None:
        """`with CONSTANT VALUE`: override a constant, for example a lifetime too long to simulate."""
        if not hasattr(constants, words[1]):
            raise ValueError(f"no constant {words[1]!r}")
        scenario.constants[words[1]] = float(words[2])

    def _read_draw(self, *, scenario: Scenario, words: list[str]) -> None:
        """`draw SECONDS [KIND ...]`: for so many s, faults are drawn from the seed."""
        scenario.drawn, scenario.kinds = float(words[1]), tuple(words[2:])

    def _read_end(self, *, scenario: Scenario, words: list[str]) -> None:
        scenario.end = float(words[1])

    def _read_expectation(self, *, scenario: Scenario, words: list[str]) -> None:
        scenario.expects.append(words[1:])

    def _read_safeguard(self, *, scenario: Scenario, words: list[str]) -> None:
        """`fails without SAFEGUARD by RULE`."""
        if words[2] not in self.safeguards:
            raise ValueError(f"no safeguard {words[2]!r}")
        scenario.must_fail_without.append((words[2], words[4]))

    def run(self, *, scenario: Scenario, seed: int, without: str, play: Callable[..., Outcome]) -> Outcome:
        """Run the scenario with this seed and its constants; `without` names a safeguard to disable."""
        with contextlib.ExitStack() as stack:
            for name, value in scenario.constants.items():
                stack.enter_context(mock.patch.object(constants, name, value))
            for patch in self.safeguards[without]() if without else ():
                stack.enter_context(patch)
            return play(scenario=scenario, seed=seed)


def read_range(*, text: str) -> range:
    """Parse `FIRST-LAST` or a single number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@dataclass(frozen=True, kw_only=True)
class Sweep:
    """Runs of scenario files with many seeds, several at once.

    `begin_of` returns the time on a world's clock at which a run begins, `logs_of` the lines of its logs.
    """

    read: Callable[..., Scenario]
    run: Callable[..., Outcome]
    begin_of: Callable[[Any], float]
    logs_of: Callable[[Any], list[str]]
    kinds_of: Callable[[Any], collections.Counter] | None = None

    def run_one(self, *, path: str, seed: int, without: str, logs: bool) -> tuple[bool, str, collections.Counter]:
        """Run one seed of one file: (whether it passed, text to print, how often each kind of fault was drawn)."""
        scenario = self.read(text=Path(path).read_text("utf-8"))
        name = f"{Path(path).stem} seed {seed}"
        started_at = time.perf_counter()
        try:
            outcome = self.run(scenario=scenario, seed=seed, without=without)
        except Exception:  # noqa: BLE001 - an exception in the simulator fails this run but must not end the sweep
            return False, f"{name}: fault\n{traceback.format_exc()}", collections.Counter()
        speed = scenario.end / (time.perf_counter() - started_at)
        begin = self.begin_of(outcome.world)
        lines = [
            f"{name}: {len(outcome.violations)} broken, {len(outcome.failed)} failed, {speed:.1f} times real time",
            *(
                f"  broken {violation.rule} at {violation.t - begin:.2f}: {violation.detail}"
                for violation in outcome.violations[:8]
            ),
            *(f"  failed {error}" for error in outcome.failed),
            *(f"  {words}: {figure}" for words, figure in outcome.figures.items()),
            *(self.logs_of(outcome.world) if logs else ()),
        ]
        kinds = self.kinds_of(outcome.world) if self.kinds_of else collections.Counter()
        return not outcome.violations and not outcome.failed, "\n".join(lines), kinds

    def run_all(self, *, flags: dict) -> None:
        """Run all files with all their seeds, print the results, and exit with 1 if a run failed."""
        jobs = []
        for path in flags["FILE"]:
            seeds = self.read(text=Path(path).read_text("utf-8")).seeds
            seeds = read_range(text=flags["--seeds"]) if flags["--seeds"] else seeds
            jobs += [(path, seed) for seed in seeds]
        unsound, kinds = 0, collections.Counter()
        with ProcessPoolExecutor(max_workers=int(flags["--jobs"])) as pool:
            futures = [
                pool.submit(self.run_one, path=path, seed=seed, without=flags["--without"] or "", logs=flags["--logs"])
                for path, seed in jobs
            ]
            for done, future in enumerate(as_completed(futures), start=1):
                is_sound, text, drawn = future.result()
                unsound += not is_sound
                kinds += drawn
                print(f"[{done}/{len(jobs)}, {unsound} not sound] {text}", flush=True)
        for kind, times in sorted(kinds.items()):
            print(f"{times:6} {kind}")
        print(f"{len(jobs)} runs, {unsound} not sound")
        sys.exit(1 if unsound else 0)


def show_logs(*, rows: list, begin: float) -> list[str]:
    """Log lines by time; `rows` are (time, process name, event, fields)."""
    ordered = sorted(rows, key=lambda row: row[0])
    return [f"  {moment - begin:8.3f} {name} {event} {fields}" for moment, name, event, fields in ordered]
