"""sailward-controller: stores the control plane's state on disk and replicates it.

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
import time
from pathlib import Path

from sailward import constants
from sailward.control.controller import Controller
from sailward.programs.common import (
    make_location,
    make_nonce,
    make_start_number,
    read_flags,
    read_settings,
    start_edges,
)
from sailward.programs.data_folder import open_folder
from sailward.runtime.loop import Loop, end_process
from sailward.runtime.startup import CONTROLLER_SCHEMA
from sailward.storage.disk import Disk


def main(argv: list[str] | None = None) -> None:
    """Run a controller until it is asked to stop."""
    settings = read_settings(flags=read_flags(doc=__doc__, argv=argv), schema=CONTROLLER_SCHEMA)
    loop = Loop()
    disk = Disk(folder=Path(settings["data"]), deliver=loop.deliver)
    records = open_folder(disk=disk, folder=settings["data"])
    nonce = make_nonce()
    owner = Controller(
        location=make_location(settings=settings, kind="controller"),
        platform=settings["platform"],
        nonce=nonce,
        start=make_start_number(),
        rng=random.Random(nonce),
        records=records,
        now=time.monotonic(),
    )
    edges = start_edges(
        settings=settings, loop=loop, max_body_bytes=constants.MAX_CONFIG_BYTES, has_http_client=True, disk=disk
    )
    end_process(last=loop.run(step=owner.step), http_server=edges.http_server)


if __name__ == "__main__":
    main()
