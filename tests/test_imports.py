"""Imports go one way: the layers in pyproject.toml hold, and a layer that is turned round is found."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONFIG = ROOT / "pyproject.toml"


def lint_imports(*, config: Path) -> subprocess.CompletedProcess[str]:
    """Run the linter of imports on the product, by the contracts of a configuration."""
    script = "import sys; from importlinter.cli import lint_imports; sys.exit(lint_imports(sys.argv[1]))"
    command = [sys.executable, "-c", script, str(config)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_imports_go_downwards_only() -> None:
    done = lint_imports(config=CONFIG)
    assert done.returncode == 0, done.stdout[-3000:]


def test_a_layer_that_is_turned_round_is_found(tmp_path: Path) -> None:
    text = CONFIG.read_text("utf-8")
    turned = text.replace('  "administration",\n  "shards",\n', '  "shards",\n  "administration",\n').replace(
        '  "sailward.config",\n  "sailward.routing",\n', '  "sailward.routing",\n  "sailward.config",\n'
    )
    assert turned != text
    config = tmp_path / "pyproject.toml"
    config.write_text(turned, "utf-8")
    assert lint_imports(config=config).returncode == 1
