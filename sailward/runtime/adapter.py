"""Loading of the platform adapter's folder by its path, because its name is that of a standard library module.

The folder has no `__init__.py`: with one, `python -m` at the root of the repository would import it instead of the
standard module.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from types import ModuleType

PACKAGE = "sailward_platform"
"""The package name under which the folder's modules are imported."""


def load_adapter(*, folder: Path) -> ModuleType:
    """Register the folder as a package, once, so that its modules can be imported.

    Raises FileNotFoundError if the folder does not exist.
    """
    known = sys.modules.get(PACKAGE)
    if known is not None:
        return known
    if not folder.is_dir():
        raise FileNotFoundError(f"{folder}: no such folder")
    module = ModuleType(PACKAGE, "Translation between a platform and the product.")
    module.__path__ = [str(folder)]
    sys.modules[PACKAGE] = module
    return module


def load_part(*, folder: Path, name: str) -> ModuleType:
    """Import one module of the folder."""
    load_adapter(folder=folder)
    return importlib.import_module(f"{PACKAGE}.{name}")
