"""The architecture page names only files and items that exist, and a name that doesn't is found."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT.joinpath("docs/architecture.md").read_text("utf-8")
QUOTED = re.compile(r"`([^`\n]+)`")
NOT_CODE = {"front", "config", "voters", "registers-0.1.0"}
"""An edge, registers and a fixture: names that are strings in the code."""
PROGRAMS = {"sailward-controller", "sailward-proxy", "sailward-directory", "sailctl"}


def defined_names() -> set[str]:
    """Every module, package, class, function and method of the product and the adapter."""
    names = set()
    for folder in ("sailward", "platform"):
        for path in ROOT.joinpath(folder).rglob("*.py"):
            names |= {path.stem, path.parent.name}
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if isinstance(node, (ast.ClassDef, ast.FunctionDef)):
                    names.add(node.name)
    return names


def find_unknown(*, page: str) -> list[str]:
    """What a page quotes that is neither a file or folder of the repository nor a name in the code."""
    names = defined_names() | PROGRAMS | NOT_CODE
    quoted = QUOTED.findall(re.sub(r"```.*?```", "", page, flags=re.DOTALL))
    return [word for word in quoted if word not in names and not ROOT.joinpath(word).exists()]


def test_every_name_on_the_page_exists() -> None:
    assert find_unknown(page=PAGE) == []


@pytest.mark.parametrize("word", ["sailward/nowhere.py", "NoSuchOwner", "_no_such_method"])
def test_a_name_that_does_not_exist_is_found(word: str) -> None:
    assert find_unknown(page=f"{PAGE}\n`{word}`\n") == [word]
