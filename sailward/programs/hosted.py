"""The daemons on one reactor each, set up by an adapter's settings instead of a file of the product's own."""
from __future__ import annotations

import gc
import os
import random
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path

import sailward
from sailward import constants
from sailward.acts import Answer, Asked, Call, CancelCall, Check, Checked, HangUp, Leave, Rewrite, Store, Tell
from sailward.dock.courier import Courier
from sailward.dock.disk import Damaged, Disk, Newer, Taken
from sailward.dock.front import Front
from sailward.dock.host import Host
from sailward.dock.logs import start_logs, write_log
from sailward.dock.outbound import Outbound
from sailward.dock.reactor import Reactor
from sailward.dock.wire_names import WireNames
from sailward.house.cellar import Cellar
from sailward.house.options import CellarOptions
from sailward.house.proxy import Proxy, ProxyOptions
from sailward.label.check import check_config
from sailward.pour.plan import Limits
from sailward.roster.gossip import Place


@dataclass(frozen=True, kw_only=True)
class Words:
    """How the product's HTTP words are said here: `ask` turns what came into the product's, `answer` its answer back."""

    ask: Callable[[Asked], Asked] = lambda event: event
    answer: Callable[[Answer], Answer] = lambda command: command


@dataclass(frozen=True, kw_only=True)
class Hosted:
    """What an adapter says of this daemon. `listen` is {edge: address}; `data` the folder of the disk, if it has one."""

    place: Place
    names: WireNames
    listen: dict
    words: Words = Words()
    log_level: str = "info"
    data: str = ""
    platform: str = ""
    proxy: ProxyOptions = ProxyOptions()
    cellar: CellarOptions = field(default_factory=CellarOptions)
    changed: Callable[[], tuple] | None = None


def run_proxy(*, hosted: Hosted) -> None:
    """Run a proxy with its directory until it is told to stop."""
    reactor, host = _begin(hosted=hosted)
    owner = Proxy(place=hosted.place, start=_start(), rng=random.Random(), options=hosted.proxy)
    fronts = {edge: _open(hosted=hosted, edge=edge, reactor=reactor, host=host, limits=lambda: owner.scene.plan.limits)
              for edge in hosted.listen}

    def leave(command: Leave) -> None:
        for front in fronts.values():
            front.leave()
            if command.shut:
                front.close_listener()

    if hosted.changed:
        host.changed = lambda: setattr(owner.uplink, "seeds", hosted.changed())
    _serve(hosted=hosted, reactor=reactor, host=host, step=owner.step, handlers={Leave: leave, **_answers(hosted=hosted, fronts=fronts)})


def run_cellar(*, hosted: Hosted) -> None:
    """Run a cellar until it is told to stop."""
    reactor, host = _begin(hosted=hosted)
    disk = Disk(folder=Path(hosted.data), tell=host.tell_from_thread)
    records = _open_disk(hosted=hosted, disk=disk)
    nonce = os.urandom(constants.NONCE_BYTES).hex()
    owner = Cellar(place=hosted.place, platform=hosted.platform, nonce=nonce, start=_start(), rng=random.Random(nonce),
                   records=records, now=reactor.clock(), options=hosted.cellar)
    limits = replace(Limits(), body_bytes=constants.CONFIG_BYTES, head_wait=constants.OPERATOR_WAIT)
    fronts = {edge: _open(hosted=hosted, edge=edge, reactor=reactor, host=host, limits=lambda: limits) for edge in hosted.listen}
    checks = ThreadPoolExecutor(max_workers=2)
    checks.submit(disk.run)
    handlers = {Store: lambda one: disk.give(command=one), Rewrite: lambda one: disk.give(command=one),
                Check: lambda one: checks.submit(_check, host, one), **_answers(hosted=hosted, fronts=fronts)}
    _serve(hosted=hosted, reactor=reactor, host=host, step=owner.step, handlers=handlers)


def _begin(*, hosted: Hosted) -> tuple[Reactor, Host]:
    start_logs(level=hosted.log_level, name=hosted.place.name)
    reactor = Reactor()
    return reactor, Host(reactor=reactor)


def _start() -> int:
    return time.time_ns() // 1000


def _open(*, hosted: Hosted, edge: str, reactor: Reactor, host: Host, limits: Callable[[], Limits]) -> Front:
    def tell(event: object) -> None:
        host.tell(hosted.words.ask(event) if isinstance(event, Asked) and edge != "front" else event)
    try:
        return Front(reactor=reactor, address=hosted.listen[edge], name=edge, tell=tell, limits=limits)
    except OSError as fault:
        write_log(event="address-taken", fields={"edge": edge, "address": hosted.listen[edge], "reason": fault}, level="error")
        sys.exit(constants.EXIT_TAKEN)


def _answers(*, hosted: Hosted, fronts: dict) -> dict:
    def answer(command: Answer) -> None:
        edge = command.token.split(" ", 1)[0]
        fronts[edge].answer(command=command if edge == "front" else hosted.words.answer(command))
    return {Answer: answer}


def _serve(*, hosted: Hosted, reactor: Reactor, host: Host, step: Callable, handlers: dict) -> None:
    outbound = Outbound(reactor=reactor, tell=host.tell, names=hosted.names)
    try:
        courier = Courier(reactor=reactor, address=hosted.place.post, tell=host.tell)
    except OSError as fault:
        write_log(event="address-taken", fields={"address": hosted.place.post, "reason": fault}, level="error")
        sys.exit(constants.EXIT_TAKEN)
    host.handlers = {Tell: lambda one: courier.send(to=one.to, body=one.body), Call: lambda one: outbound.give(call=one),
                     CancelCall: lambda one: outbound.cancel(token=one.token), HangUp: lambda one: outbound.hang_up(owner=one.owner),
                     **handlers}
    write_log(event="started", fields={"post": hosted.place.post, "hall": hosted.place.hall, "version": sailward.__version__,
                                       **hosted.listen})
    # what start-up made lives as long as the process: it need not be looked at again
    gc.collect()
    gc.freeze()
    code = host.run(step=step)
    write_log(event="ended", fields={"code": code, **courier.counts})
    sys.stderr.flush()
    os._exit(code)


def _open_disk(*, hosted: Hosted, disk: Disk) -> list:
    try:
        found = disk.open()
    except OSError as fault:
        write_log(event="disk-failed", fields={"reason": fault}, level="error")
        sys.exit(constants.EXIT_DISK)
    if isinstance(found, (Damaged, Newer)):
        write_log(event="disk-damaged" if isinstance(found, Damaged) else "disk-newer", fields={"folder": hosted.data, "what": found,
                  "todo": "move the folder away and bring this cellar in anew"}, level="error")
        sys.exit(constants.EXIT_DISK)
    if isinstance(found, Taken):
        write_log(event="folder-taken", fields={"folder": found.folder}, level="error")
        sys.exit(constants.EXIT_TAKEN)
    return found.records


def _check(host: Host, command: Check) -> None:
    verdict = check_config(config=command.config)
    host.tell_from_thread(Checked(token=command.token, verdict=verdict))
