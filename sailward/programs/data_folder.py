"""Opening a program's data folder: an unusable one ends the process, and the log says what the operator can do."""

from __future__ import annotations

import sys
from typing import NoReturn

from sailward import constants
from sailward.runtime.logs import write_log
from sailward.storage.disk import DamagedFile, Disk, FolderInUse, NewerFormat

REJOIN_ADVICE = "move the folder away and rejoin this controller with an empty one"


def open_folder(*, disk: Disk, folder: str) -> list[dict]:
    """Open the folder and return the records in its data file.

    The process ends with exit code 5 if they can't be read, and with 7 if another process uses the folder.
    """
    try:
        opened = disk.open()
    except OSError as fault:
        _exit(event="disk-failed", fields={"reason": fault}, code=constants.EXIT_DISK)
    if isinstance(opened, DamagedFile):
        fields = {"folder": folder, "offset": opened.offset, "todo": REJOIN_ADVICE}
        _exit(event="disk-damaged", fields=fields, code=constants.EXIT_DISK)
    if isinstance(opened, NewerFormat):
        fields = {
            "folder": folder,
            "what": opened.unsupported,
            "todo": f"start the newer version again, or {REJOIN_ADVICE}",
        }
        _exit(event="disk-newer", fields=fields, code=constants.EXIT_DISK)
    if isinstance(opened, FolderInUse):
        _exit(event="folder-taken", fields={"folder": opened.folder}, code=constants.EXIT_IN_USE)
    return opened.records


def _exit(*, event: str, fields: dict, code: int) -> NoReturn:
    write_log(event=event, fields=fields, level="error")
    sys.exit(code)
