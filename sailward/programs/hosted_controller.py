"""Running a controller as a hosted daemon."""

from __future__ import annotations

import os
import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from sailward import constants
from sailward.control.controller import Controller
from sailward.events import AppendRecords, RecordsSynced, RewriteRecords, ValidateConfig
from sailward.programs.data_folder import open_folder
from sailward.programs.hosted import (
    HostedDaemon,
    make_start_number,
    open_listener,
    response_handlers,
    run_owner,
    start_host,
)
from sailward.routing.plan import Limits
from sailward.runtime.config_validation import validate_config
from sailward.runtime.host import Host
from sailward.storage.disk import Disk


def run_controller(*, hosted: HostedDaemon) -> None:
    """Run a controller until it is asked to stop."""
    reactor, host = start_host(hosted=hosted)
    check_threads = ThreadPoolExecutor(max_workers=2)
    disk: Disk | NoDisk = NoDisk(host=host)
    records = []
    if hosted.data_folder:
        disk = Disk(folder=Path(hosted.data_folder), deliver=host.deliver_from_thread)
        records = open_folder(disk=disk, folder=hosted.data_folder)
    nonce = os.urandom(constants.NONCE_BYTES).hex()
    owner = Controller(
        location=hosted.location,
        platform=hosted.platform,
        nonce=nonce,
        start=make_start_number(),
        rng=random.Random(nonce),
        records=records,
        now=reactor.clock(),
        options=hosted.options,
    )
    limits = replace(Limits(), body_bytes=constants.MAX_CONFIG_BYTES, head_wait=constants.OPERATOR_HEAD_TIMEOUT)
    listeners = {
        edge: open_listener(hosted=hosted, edge=edge, reactor=reactor, host=host, limits=lambda: limits)
        for edge in hosted.listen
    }
    if isinstance(disk, Disk):
        check_threads.submit(disk.run)
    handlers = {
        AppendRecords: lambda command: disk.submit(command=command),
        RewriteRecords: lambda command: disk.submit(command=command),
        ValidateConfig: lambda command: check_threads.submit(
            lambda: host.deliver_from_thread(validate_config(command=command))
        ),
        **response_handlers(hosted=hosted, listeners=listeners),
    }
    run_owner(hosted=hosted, reactor=reactor, host=host, listeners=listeners, step=owner.step, handlers=handlers)


@dataclass(frozen=True, kw_only=True)
class NoDisk:
    """Stands in for the disk on a machine that has none.

    The records are lost when the process ends; the option `has_disk` tells the controller so, and its gossip entry the
    other controllers.
    """

    host: Host

    def submit(self, *, command: AppendRecords | RewriteRecords) -> None:
        """Report the records as synced at once."""
        self.host.deliver(RecordsSynced(seq=command.seq))
