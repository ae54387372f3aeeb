"""Opening a program's data folder: an unusable one ends the process, and the log says what the operator can do."""

from __future__ import annotations

import sys
from typing import NoReturn

from sailward import constants
from sailward.runtime.logs import write_log
from sailward.storage.disk import Damaged, Disk, Newer, Taken

BRING_IN = "move the folder away and rejoin this controller with an empty one"


def open_folder(*, disk: Disk, folder: str) -> list[dict]:
    """Open the folder and return the records in its data file.

    The process ends with exit code 5 if they can't be read, and with 7 if another process uses the folder.
    """
    try:
        found = disk.open()
    except OSError as fault:
        _end(event="disk-failed", fields={"reason": fault}, code=constants.EXIT_DISK)
    if isinstance(found, Damaged):
        fields = {"folder": folder, "offset": found.offset, "todo": BRING_IN}
        _end(event="disk-damaged", fields=fields, code=constants.EXIT_DISK)
    if isinstance(found, Newer):
        fields = {"folder": folder, "what": found.what, "todo": f"start the newer version again, or {BRING_IN}"}
        _end(event="disk-newer", fields=fields, code=constants.EXIT_DISK)
    if isinstance(found, Taken):
        _end(event="folder-taken", fields={"folder": found.folder}, code=constants.EXIT_IN_USE)
    return found.records


def _end(*, event: str, fields: dict, code: int) -> NoReturn:
    write_log(event=event, fields=fields, level="error")
    sys.exit(code)
