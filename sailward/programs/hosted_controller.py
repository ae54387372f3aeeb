"""The controller as a hosted daemon."""

from __future__ import annotations

import os
import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from sailward import constants
from sailward.config.check import check_config
from sailward.control.controller import Controller
from sailward.events import AppendRecords, ConfigValidated, RecordsSynced, RewriteRecords, ValidateConfig
from sailward.programs.data_folder import open_folder
from sailward.programs.hosted import Hosted, answer_handlers, begin_host, open_front, serve_owner, start_number
from sailward.routing.plan import Limits
from sailward.runtime.host import Host
from sailward.storage.disk import Disk


def run_controller(*, hosted: Hosted) -> None:
    """Run a controller until it is told to stop."""
    reactor, host = begin_host(hosted=hosted)
    checks = ThreadPoolExecutor(max_workers=2)
    disk: Disk | NoDisk = NoDisk(host=host)
    records = []
    if hosted.data:
        disk = Disk(folder=Path(hosted.data), deliver=host.deliver_from_thread)
        records = open_folder(disk=disk, folder=hosted.data)
    nonce = os.urandom(constants.NONCE_BYTES).hex()
    owner = Controller(
        location=hosted.location,
        platform=hosted.platform,
        nonce=nonce,
        start=start_number(),
        rng=random.Random(nonce),
        records=records,
        now=reactor.clock(),
        options=hosted.options,
    )
    limits = replace(Limits(), body_bytes=constants.MAX_CONFIG_BYTES, head_wait=constants.OPERATOR_HEAD_TIMEOUT)
    fronts = {
        edge: open_front(hosted=hosted, edge=edge, reactor=reactor, host=host, limits=lambda: limits)
        for edge in hosted.listen
    }
    if isinstance(disk, Disk):
        checks.submit(disk.run)
    handlers = {
        AppendRecords: lambda command: disk.submit(command=command),
        RewriteRecords: lambda command: disk.submit(command=command),
        ValidateConfig: lambda command: checks.submit(_check, host, command),
        **answer_handlers(hosted=hosted, fronts=fronts),
    }
    serve_owner(hosted=hosted, reactor=reactor, host=host, step=owner.step, handlers=handlers)


@dataclass(frozen=True, kw_only=True)
class NoDisk:
    """The place of the disk on a machine that has none.

    What is stored is lost with the process, and the core is told so.
    """

    host: Host

    def submit(self, *, command: AppendRecords | RewriteRecords) -> None:
        """Take records as stored."""
        self.host.deliver(RecordsSynced(seq=command.seq))


def _check(host: Host, command: ValidateConfig) -> None:
    verdict = check_config(config=command.config)
    host.deliver_from_thread(ConfigValidated(token=command.token, verdict=verdict))
