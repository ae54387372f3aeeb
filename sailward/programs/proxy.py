"""sailward-proxy: forwards requests to workers. It keeps nothing on disk.

Usage:
  sailward-proxy --settings FILE [options]
  sailward-proxy [options]
  sailward-proxy (-h | --help | --version)

Options:
  --settings FILE    Settings in TOML; a flag goes before the file.
  --name NAME        This daemon's name, one of its own in the fleet.
  --hall HALL        The hall (zone) it stands in.
  --region REGION    The region of the hall.
  --post ADDRESS     IP:port for messages between sailward's processes.
  --http ADDRESS     IP:port for callers.
  --seeds LIST       One to three IP:port of other processes' posts, with commas.
  --log-level LEVEL  debug, info, warning or error [default is info].
  -h --help          Show this.
  --version          Show the version.

Exit codes: 0 stopped; 2 bad flags or settings; 7 address in use; 70 fault.
"""

from __future__ import annotations

import random
import time

from sailward import constants
from sailward.programs.common import (
    make_location,
    make_nonce,
    make_start_number,
    read_flags,
    read_settings,
    start_edges,
)
from sailward.proxy.tenant_proxy import TenantProxy
from sailward.runtime.loop import Loop, end_process
from sailward.runtime.startup import COMMON_SCHEMA


def main(argv: list[str] | None = None) -> None:
    """Run a proxy until it is asked to stop."""
    settings = read_settings(flags=read_flags(doc=__doc__, argv=argv), schema=COMMON_SCHEMA)
    loop, nonce = Loop(), make_nonce()
    owner = TenantProxy(
        location=make_location(settings=settings, kind="proxy"),
        nonce=nonce,
        start=make_start_number(),
        rng=random.Random(nonce),
        now=time.monotonic(),
    )
    edges = start_edges(settings=settings, loop=loop, max_body_bytes=constants.MAX_BODY_BYTES, has_http_client=True)
    end_process(last=loop.run(step=owner.step), http_server=edges.http_server)


if __name__ == "__main__":
    main()
