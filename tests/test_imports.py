"""Imports follow the layers in pyproject.toml, and the check finds a pair of layers that is reversed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONFIG = ROOT / "pyproject.toml"


def lint_imports(*, config: Path) -> subprocess.CompletedProcess[str]:
    """Run import-linter on the product, with the contracts of this configuration."""
    script = "import sys; from importlinter.cli import lint_imports; sys.exit(lint_imports(sys.argv[1]))"
    command = [sys.executable, "-c", script, str(config)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_imports_go_from_higher_to_lower_layers_only() -> None:
    result = lint_imports(config=CONFIG)
    assert result.returncode == 0, result.stdout[-3000:]


def test_reversed_layers_are_found(tmp_path: Path) -> None:
    text = CONFIG.read_text("utf-8")
    reversed_text = text.replace('  "administration",\n  "shards",\n', '  "shards",\n  "administration",\n').replace(
        '  "sailward.config",\n  "sailward.routing",\n', '  "sailward.routing",\n  "sailward.config",\n'
    )
    assert reversed_text != text
    config = tmp_path / "pyproject.toml"
    config.write_text(reversed_text, "utf-8")
    assert lint_imports(config=config).returncode == 1
