"""Start-up code shared by the daemons' programs."""

from __future__ import annotations

import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from docopt import DocoptExit, docopt

import sailward
from sailward import constants
from sailward.discovery.peer_table import Location
from sailward.runtime.logs import start_logs, write_log
from sailward.runtime.loop import Edges, Loop, run_guarded
from sailward.runtime.startup import BadStartup, read_startup
from sailward.storage.disk import Disk
from sailward.transport.address import ThreadedMessageTransport
from sailward.transport.curl_client import CurlClient
from sailward.transport.wsgi_server import WsgiServer


def read_flags(*, doc: str, argv: list[str] | None) -> dict:
    """Parse the flags; invalid ones end the process with the usage text and exit code 2."""
    try:
        return dict(docopt(doc, argv=argv, version=f"sailward {sailward.__version__}"))
    except DocoptExit as fault:
        print(fault.code, file=sys.stderr)
        sys.exit(constants.EXIT_USAGE)


def read_settings(*, flags: dict, schema: dict) -> dict:
    """Read the settings; invalid ones end the process with a list of all faults and exit code 2."""
    settings = read_startup(flags=flags, schema=schema)
    if isinstance(settings, BadStartup):
        for fault in settings.faults:
            print(fault, file=sys.stderr)
        sys.exit(constants.EXIT_USAGE)
    start_logs(level=settings["log_level"], name=settings["name"])
    return settings


def make_location(*, settings: dict, kind: str) -> Location:
    """The daemon's name, zone, region and addresses from the settings."""
    return Location(
        name=settings["name"],
        kind=kind,
        zone=settings["hall"],
        region=settings["region"],
        post=settings["post"],
        http=settings["http"],
        seeds=tuple(settings["seeds"]),
        version=sailward.__version__,
    )


def make_nonce() -> str:
    """A random string that is unique to this start of the process."""
    return os.urandom(constants.NONCE_BYTES).hex()


def make_start_number() -> int:
    """A number that grows with each start: wall time in us, used only to order one daemon's own starts."""
    return time.time_ns() // 1000


def start_edges(
    *, settings: dict, loop: Loop, max_body_bytes: int, has_http_client: bool, disk: Disk | None = None
) -> Edges:
    """Open the sockets and begin to serve; an address in use ends the process with EXIT_IN_USE."""
    threads = ThreadPoolExecutor(max_workers=2 * constants.HTTP_SERVER_THREADS)
    try:
        post = ThreadedMessageTransport(address=settings["post"], deliver=loop.deliver, threads=threads)
        web = WsgiServer(
            address=settings["http"],
            max_body_bytes=max_body_bytes,
            deliver=loop.deliver,
            threads=ThreadPoolExecutor(max_workers=constants.HTTP_SERVER_THREADS),
        )
    except (OSError, SystemExit) as fault:
        write_log(
            event="address-taken",
            fields={"post": settings["post"], "http": settings["http"], "reason": fault},
            level="error",
        )
        os._exit(constants.EXIT_IN_USE)
    calls = CurlClient(deliver=loop.deliver) if has_http_client else None
    edges = Edges(
        loop=loop,
        message_transport=post,
        http_server=web,
        calls=calls,
        disk=disk,
        checks=ThreadPoolExecutor(max_workers=1),
    )
    edges.connect()
    post.start()
    run_guarded(threads=threads, loop=loop, name="web", run=web.run)
    if calls:
        run_guarded(threads=threads, loop=loop, name="calls", run=calls.run)
    if disk:
        run_guarded(threads=threads, loop=loop, name="disk", run=disk.run)
    write_log(event="started", fields={"post": settings["post"], "http": settings["http"], "hall": settings["hall"]})
    return edges
