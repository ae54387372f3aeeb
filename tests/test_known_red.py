"""Known failures: only listed tests may fail without failing the run; verdicts and listed commands are printed."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import read_known_red

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest

def test_good():
    pass

@pytest.mark.parametrize("name", ["a", "b"])
def test_bad(name):
    assert name == ""

def test_worse():
    raise OSError("away")
"""
GOOD, BAD_A, BAD_B, WORSE = (f"test_some.py::test_{name}" for name in ("good", "bad[a]", "bad[b]", "worse"))


def run_pytest(*, folder: Path, listed: list[str] | None, workers: int = 0) -> subprocess.CompletedProcess[str]:
    """Run TESTS as CI does, with a list of known failures that has these lines, or without a list."""
    shutil.copy(Path(__file__).with_name("conftest.py"), folder / "conftest.py")
    folder.joinpath("test_some.py").write_text(TESTS, "utf-8")
    if listed is not None:
        folder.joinpath("KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in listed), "utf-8")
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-n",
            str(workers),
            "--rootdir",
            str(folder),
            "--known-red=KNOWN-RED.txt",
        ],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )


def last_line(completed: subprocess.CompletedProcess[str]) -> str:
    return completed.stdout.strip().splitlines()[-1]


@pytest.mark.parametrize("workers", [0, 2])
def test_listed_failures_are_passed_over_and_printed(tmp_path: Path, workers: int) -> None:
    listed = [f"{test}, some cause, with a comma, #7" for test in (BAD_A, BAD_B, WORSE)]
    completed = run_pytest(folder=tmp_path, listed=listed, workers=workers)
    assert completed.returncode == 0, completed.stdout
    assert last_line(completed).startswith("1 passed, 3 xfailed in ")
    for test in (BAD_A, BAD_B, WORSE):
        assert f"failed, as known: {test}: some cause, with a comma (#7)" in completed.stdout


def test_any_other_failure_fails(tmp_path: Path) -> None:
    completed = run_pytest(folder=tmp_path, listed=[f"{BAD_A}, cause, #7", f"{WORSE}, cause, #7"])
    assert completed.returncode == 1
    assert last_line(completed).startswith("1 failed, 1 passed, 2 xfailed in ")
    assert f"FAILED {BAD_B}" in completed.stdout


def test_a_listed_test_that_passes_is_printed_as_such(tmp_path: Path) -> None:
    listed = [f"{test}, cause, #7" for test in (GOOD, BAD_A, BAD_B)]
    completed = run_pytest(folder=tmp_path, listed=listed)
    assert f"PASSED: take it off the list: {GOOD}: cause (#7)" in completed.stdout
    assert completed.returncode == 1 and f"FAILED {WORSE}" in completed.stdout


def test_a_listed_test_that_is_not_there_is_printed_as_not_run(tmp_path: Path) -> None:
    completed = run_pytest(folder=tmp_path, listed=["test_some.py::test_gone, cause, #7"])
    assert completed.returncode == 1 and "not run: test_some.py::test_gone" in completed.stdout


def test_a_listed_command_is_printed_and_covers_no_test(tmp_path: Path) -> None:
    listed = [f"{test}, cause, #7" for test in (BAD_A, BAD_B)]
    command = f"python -m pytest {WORSE}, seed 3"
    completed = run_pytest(folder=tmp_path, listed=[*listed, f"`{command}`, seen, twice, #8"])
    assert f"a command, not run here: {command}: seen, twice (#8)" in completed.stdout
    assert completed.returncode == 1 and f"FAILED {WORSE}" in completed.stdout


def test_the_list_may_be_as_long_as_it_must(tmp_path: Path) -> None:
    listed = [f"{test}, cause, #7" for test in (BAD_A, BAD_B, WORSE, GOOD)] + ["`sh a.sh`, cause, #7"]
    completed = run_pytest(folder=tmp_path, listed=listed)
    assert completed.returncode == 0, completed.stdout
    assert last_line(completed).startswith("3 xfailed, 1 xpassed in ")


ILL_FORMED = [
    [f"{BAD_A}, cause"],
    [f"{BAD_A}, cause, "],
    [f"{BAD_A}, , #7"],
    [f"{BAD_A} cause, #7"],
    [f"{BAD_A}, cause, #7"] * 2,
    ["`sh a.sh`, cause, #7", "`sh a.sh`, another cause, #8"],
    ["sh a.sh, cause, #7"],
    ["test_some, cause, #7"],
    ["`sh a.sh`, cause"],
    ["`sh a.sh, cause, #7"],
    ["``, cause, #7"],
    ["` `, cause, #7"],
    ["`sh a.sh` cause, #7"],
]


@pytest.mark.parametrize("listed", ILL_FORMED)
def test_a_list_that_is_ill_formed_is_refused(listed: list[str]) -> None:
    with pytest.raises(ValueError, match=r"listed twice|not 'test or `command`, cause, issue'|begins with no test"):
        read_known_red(text="\n".join(listed))


@pytest.mark.parametrize("listed", [[f"{BAD_A}, cause"], [f"{BAD_A}, cause, #7", f"{BAD_B}, cause, #7", "sh a.sh"]])
def test_a_list_that_is_refused_covers_nothing(tmp_path: Path, listed: list[str]) -> None:
    completed = run_pytest(folder=tmp_path, listed=listed)
    assert completed.returncode == 1 and last_line(completed).startswith("3 failed, 1 passed in ")
    assert "it covers nothing" in completed.stdout


def test_without_a_list_every_failure_counts(tmp_path: Path) -> None:
    completed = run_pytest(folder=tmp_path, listed=None)
    assert completed.returncode == 1 and last_line(completed).startswith("3 failed, 1 passed in ")


def test_the_list_of_this_project_is_sound() -> None:
    path = ROOT / "KNOWN-RED.txt"
    listed = read_known_red(text=path.read_text("utf-8")) if path.exists() else []
    for known in listed:
        if known.command:
            continue
        file, _, function = known.test.partition("::")
        assert file != "tests/test_known_red.py", "this check covers itself"
        assert f"def {function.partition('[')[0]}(" in ROOT.joinpath(file).read_text("utf-8"), known.test
