"""Strict mypy over the product and the adapter: no file has more errors than tests/typing_open.txt lists for it.

`python -m tests.test_types` lowers the counts in the list where errors were fixed; it never raises one.
"""

from __future__ import annotations

import collections
import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_ERRORS = Path(__file__).with_name("typing_open.txt")
ADAPTER = "sailward_platform"
"""The name under which sailward/runtime/adapter.py imports the folder platform/, which is not a package itself."""
ERROR = re.compile(r"(?P<file>[^:]+):\d+: error: ")


def read_known_errors() -> dict[str, int]:
    """The listed number of errors of each file."""
    rows = (line.split() for line in KNOWN_ERRORS.read_text("utf-8").splitlines() if line and not line.startswith("#"))
    return {file: int(count) for file, count in rows}


def check_types(*, folder: Path) -> list[str]:
    """All errors. `folder` is an empty folder for the cache, and for a link through which mypy finds the adapter."""
    adapter = folder / ADAPTER
    adapter.symlink_to(ROOT / "platform", target_is_directory=True)
    command = [sys.executable, "-m", "mypy", "--config-file", "pyproject.toml", "--cache-dir", str(folder / "cache")]
    result = subprocess.run(
        [*command, "-p", "sailward", "-p", ADAPTER],
        cwd=ROOT,
        env={"MYPYPATH": str(folder), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode in (0, 1), result.stdout + result.stderr
    return [line.replace(str(adapter), "platform") for line in result.stdout.splitlines() if ERROR.match(line)]


def count_by_file(*, errors: list[str]) -> dict[str, int]:
    """The number of errors of each file."""
    matches = (ERROR.match(line) for line in errors)
    return dict(collections.Counter(match["file"] for match in matches if match))


def test_no_file_has_more_errors_than_listed(tmp_path: Path) -> None:
    errors = check_types(folder=tmp_path)
    counts, listed = count_by_file(errors=errors), read_known_errors()
    exceeded = {file for file, count in counts.items() if count > listed.get(file, 0)}
    assert not exceeded, "\n".join(line for line in errors if line.split(":")[0] in exceeded)


def test_the_list_names_existing_files_only() -> None:
    assert [file for file in read_known_errors() if not ROOT.joinpath(file).is_file()] == []


def main() -> None:
    """Rewrite the list with the counts that have become lower."""
    with tempfile.TemporaryDirectory() as folder:
        counts = count_by_file(errors=check_types(folder=Path(folder)))
    lowered = {file: min(count, counts.get(file, 0)) for file, count in read_known_errors().items()}
    rows = [f"{file} {count}" for file, count in sorted(lowered.items()) if count]
    comments = [line for line in KNOWN_ERRORS.read_text("utf-8").splitlines() if line.startswith("#")]
    KNOWN_ERRORS.write_text("\n".join([*comments, *rows]) + "\n", "utf-8")


if __name__ == "__main__":
    main()
