"""What daemons on a reactor have in common, set up by an adapter's settings instead of a file of the product's own."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import sailward
from sailward import constants
from sailward.discovery.peer_table import Location
from sailward.events import (
    CancelCall,
    CloseConnections,
    RequestReceived,
    Respond,
    SendMessage,
    StartCall,
    WithdrawCall,
)
from sailward.routing.plan import Limits
from sailward.runtime.host import Host
from sailward.runtime.logs import start_logs, write_log
from sailward.runtime.reactor import Reactor
from sailward.transport.http_client import HttpClient
from sailward.transport.http_server import HttpServer
from sailward.transport.message_transport import MessageTransport
from sailward.wire_names import WireNames


@dataclass(frozen=True, kw_only=True)
class Words:
    """How the product's HTTP words are said here.

    `ask` turns what came into the product's, `answer` its answer back.
    """

    ask: Callable[[RequestReceived], RequestReceived] = lambda event: event
    answer: Callable[[Respond], Respond] = lambda command: command


@dataclass(frozen=True, kw_only=True)
class Hosted:
    """What an adapter says of this daemon.

    `listen` is {edge: address}; `data` the folder of the disk, if it has one; `options`
    are of the daemon's kind.
    """

    location: Location
    names: WireNames
    listen: dict
    words: Words = Words()
    log_level: str = "info"
    data: str = ""
    platform: str = ""
    options: object = None
    changed: Callable[[], tuple] | None = None


def begin_host(*, hosted: Hosted) -> tuple[Reactor, Host]:
    """The reactor of a process and its host, with the log begun."""
    start_logs(level=hosted.log_level, name=hosted.location.name)
    reactor = Reactor()
    return reactor, Host(reactor=reactor)


def start_number() -> int:
    """A number that grows from start to start: wall time in us, which orders a daemon's own starts and no more."""
    return time.time_ns() // 1000


def open_front(*, hosted: Hosted, edge: str, reactor: Reactor, host: Host, limits: Callable[[], Limits]) -> HttpServer:
    """Open one of the daemon's listeners; an address in use ends the process with EXIT_IN_USE."""

    def deliver(event: object) -> None:
        host.deliver(hosted.words.ask(event) if isinstance(event, RequestReceived) and edge != "front" else event)

    try:
        return HttpServer(
            reactor=reactor,
            address=hosted.listen[edge],
            name=edge,
            deliver=deliver,
            limits=limits,
        )
    except OSError as fault:
        write_log(
            event="address-taken", fields={"edge": edge, "address": hosted.listen[edge], "reason": fault}, level="error"
        )
        sys.exit(constants.EXIT_IN_USE)


def answer_handlers(*, hosted: Hosted, fronts: dict) -> dict:
    """What carries out the owner's answers, by the listener that their token names."""

    def answer(command: Respond) -> None:
        edge = command.token.split(" ", 1)[0]
        fronts[edge].answer(command=command if edge == "front" else hosted.words.answer(command))

    return {Respond: answer}


def serve_owner(*, hosted: Hosted, reactor: Reactor, host: Host, step: Callable, handlers: dict) -> None:
    """Serve the owner until it stops, and end the process with its code."""
    http_client = HttpClient(reactor=reactor, deliver=host.deliver, names=hosted.names)
    try:
        message_transport = MessageTransport(reactor=reactor, address=hosted.location.post, deliver=host.deliver)
    except OSError as fault:
        write_log(event="address-taken", fields={"address": hosted.location.post, "reason": fault}, level="error")
        sys.exit(constants.EXIT_IN_USE)
    host.handlers = {
        SendMessage: lambda command: message_transport.send(to=command.to, body=command.body),
        StartCall: lambda command: http_client.start(call=command),
        CancelCall: lambda command: http_client.cancel(token=command.token),
        WithdrawCall: lambda command: http_client.withdraw(token=command.token),
        CloseConnections: lambda command: http_client.close_connections(owner=command.owner),
        **handlers,
    }
    write_log(
        event="started",
        fields={
            "post": hosted.location.post,
            "hall": hosted.location.zone,
            "version": sailward.__version__,
            **hosted.listen,
        },
    )
    # what start-up made lives as long as the process: it need not be looked at again
    gc.collect()
    gc.freeze()
    code = host.run(step=step)
    write_log(event="ended", fields={"code": code, **message_transport.counts})
    sys.stderr.flush()
    os._exit(code)
