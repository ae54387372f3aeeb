"""sailward-controller: a machine that holds the state of the control side, on a disk.

Usage:
  sailward-controller --settings FILE [options]
  sailward-controller [options]
  sailward-controller (-h | --help | --version)

Options:
  --settings FILE    Settings in TOML; a flag goes before the file.
  --name NAME        This daemon's name, one of its own in the fleet.
  --hall HALL        The hall (zone) it stands in.
  --region REGION    The region of the hall.
  --post ADDRESS     IP:port for messages between sailward's processes.
  --http ADDRESS     IP:port for operators.
  --seeds LIST       One to three IP:port of other processes' posts, with commas.
  --platform ADDRESS IP:port of the platform's list of workers.
  --data FOLDER      The data folder.
  --log-level LEVEL  debug, info, warning or error [default is info].
  -h --help          Show this.
  --version          Show the version.

Exit codes: 0 stopped; 2 bad flags or settings; 5 disk failed, damaged or of a newer version;
7 address or folder in use; 70 fault.
"""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

from sailward import constants
from sailward.control.controller import Controller
from sailward.programs.common import make_nonce, make_place, make_start, read_flags, read_settings, start_edges
from sailward.runtime.logs import write_log
from sailward.runtime.loop import Loop, end_process
from sailward.runtime.startup import CONTROLLER
from sailward.storage.disk import Damaged, Disk, Newer, Taken


def main(argv: list[str] | None = None) -> None:
    """Run a controller until it is told to stop."""
    settings = read_settings(flags=read_flags(doc=__doc__, argv=argv), schema=CONTROLLER)
    loop = Loop()
    disk = Disk(folder=Path(settings["data"]), tell=loop.tell)
    try:
        found = disk.open()
    except OSError as fault:
        write_log(event="disk-failed", fields={"reason": fault}, level="error")
        sys.exit(constants.EXIT_DISK)
    if isinstance(found, Damaged):
        write_log(
            event="disk-damaged",
            fields={
                "folder": settings["data"],
                "offset": found.offset,
                "todo": "move the folder away and bring this controller in anew",
            },
            level="error",
        )
        sys.exit(constants.EXIT_DISK)
    if isinstance(found, Newer):
        write_log(
            event="disk-newer",
            fields={
                "folder": settings["data"],
                "what": found.what,
                "todo": "start the newer version again, or move the folder away and bring this controller in anew",
            },
            level="error",
        )
        sys.exit(constants.EXIT_DISK)
    if isinstance(found, Taken):
        write_log(event="folder-taken", fields={"folder": found.folder}, level="error")
        sys.exit(constants.EXIT_TAKEN)
    nonce = make_nonce()
    owner = Controller(
        place=make_place(settings=settings, kind="controller"),
        platform=settings["platform"],
        nonce=nonce,
        start=make_start(),
        rng=random.Random(nonce),
        records=found.records,
        now=time.monotonic(),
    )
    edges = start_edges(settings=settings, loop=loop, limit=constants.CONFIG_BYTES, calling=True, disk=disk)
    end_process(code=loop.run(step=owner.step), web=edges.web)


if __name__ == "__main__":
    main()
