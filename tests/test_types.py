"""mypy, strict, over the product and the adapter: no place more is open than tests/typing_open.txt lists.

`python -m tests.test_types` writes the list anew where counts have fallen; it never raises one.
"""

from __future__ import annotations

import collections
import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OPEN = Path(__file__).with_name("typing_open.txt")
ADAPTER = "sailward_platform"
"""The name under which sailward/runtime/adapter.py imports the folder platform/, which is no package by itself."""
ERROR = re.compile(r"(?P<file>[^:]+):\d+: error: ")


def read_open() -> dict[str, int]:
    """The open places by file, as the list has them."""
    rows = (line.split() for line in OPEN.read_text("utf-8").splitlines() if line and not line.startswith("#"))
    return {file: int(count) for file, count in rows}


def check_types(*, folder: Path) -> list[str]:
    """All errors; `folder` is an empty one for the cache, and for a link by which mypy finds the adapter."""
    adapter = folder / ADAPTER
    adapter.symlink_to(ROOT / "platform", target_is_directory=True)
    command = [sys.executable, "-m", "mypy", "--config-file", "pyproject.toml", "--cache-dir", str(folder / "cache")]
    done = subprocess.run(
        [*command, "-p", "sailward", "-p", ADAPTER],
        cwd=ROOT,
        env={"MYPYPATH": str(folder), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode in (0, 1), done.stdout + done.stderr
    return [line.replace(str(adapter), "platform") for line in done.stdout.splitlines() if ERROR.match(line)]


def count_by_file(*, errors: list[str]) -> dict[str, int]:
    """How many errors each file has."""
    matches = (ERROR.match(line) for line in errors)
    return dict(collections.Counter(match["file"] for match in matches if match))


def test_no_more_places_are_open_than_listed(tmp_path: Path) -> None:
    errors = check_types(folder=tmp_path)
    found, listed = count_by_file(errors=errors), read_open()
    risen = {file for file, count in found.items() if count > listed.get(file, 0)}
    assert not risen, "\n".join(line for line in errors if line.split(":")[0] in risen)


def test_the_list_names_only_files_that_are_there() -> None:
    assert [file for file in read_open() if not ROOT.joinpath(file).is_file()] == []


def main() -> None:
    """Write the list anew, with the counts that have fallen."""
    with tempfile.TemporaryDirectory() as folder:
        found = count_by_file(errors=check_types(folder=Path(folder)))
    lower = {file: min(count, found.get(file, 0)) for file, count in read_open().items()}
    rows = [f"{file} {count}" for file, count in sorted(lower.items()) if count]
    heads = [line for line in OPEN.read_text("utf-8").splitlines() if line.startswith("#")]
    OPEN.write_text("\n".join([*heads, *rows]) + "\n", "utf-8")


if __name__ == "__main__":
    main()
