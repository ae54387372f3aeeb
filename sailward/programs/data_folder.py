"""Opening the data folder of a program: what can't be used ends the process, with what is to be done in the log."""

from __future__ import annotations

import sys
from typing import NoReturn

from sailward import constants
from sailward.runtime.logs import write_log
from sailward.storage.disk import DamagedFile, Disk, FolderInUse, NewerFormat

BRING_IN = "move the folder away and bring this controller in as an empty one"


def open_folder(*, disk: Disk, folder: str) -> list[dict]:
    """The records in the data file.

    The process ends with 5 if they can't be read, with 7 if another process has the folder.
    """
    try:
        found = disk.open()
    except OSError as fault:
        _end(event="disk-failed", fields={"reason": fault}, code=constants.EXIT_DISK)
    if isinstance(found, DamagedFile):
        fields = {"folder": folder, "offset": found.offset, "todo": BRING_IN}
        _end(event="disk-damaged", fields=fields, code=constants.EXIT_DISK)
    if isinstance(found, NewerFormat):
        fields = {"folder": folder, "what": found.unsupported, "todo": f"start the newer version again, or {BRING_IN}"}
        _end(event="disk-newer", fields=fields, code=constants.EXIT_DISK)
    if isinstance(found, FolderInUse):
        _end(event="folder-taken", fields={"folder": found.folder}, code=constants.EXIT_IN_USE)
    return found.records


def _end(*, event: str, fields: dict, code: int) -> NoReturn:
    write_log(event=event, fields=fields, level="error")
    sys.exit(code)
