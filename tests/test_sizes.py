"""No module is longer than MAX_LINES, so that each can be read at once."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_LINES = 400


def test_no_module_exceeds_the_maximum_length() -> None:
    paths = [
        path for name in ("sailward", "platform", "simulation", "tests") for path in ROOT.joinpath(name).rglob("*.py")
    ]
    lengths = {str(path.relative_to(ROOT)): len(path.read_text("utf-8").splitlines()) for path in paths}
    assert len(lengths) > 200
    assert {name: length for name, length in lengths.items() if length > MAX_LINES} == {}
