"""Loading the folder that translates for a platform: by its path, as its own name belongs to a module of the language.

The folder has no `__init__.py`: with one, `python -m` at the root of the repository would find it in that module's
place.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from types import ModuleType

PACKAGE = "sailward_platform"
"""The name under which the folder's modules are known here."""


def load_adapter(*, folder: Path) -> ModuleType:
    """The folder as a package, made once: its modules can be imported from then on.

    FileNotFoundError if there is none.
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
    """One module of the folder."""
    load_adapter(folder=folder)
    return importlib.import_module(f"{PACKAGE}.{name}")
