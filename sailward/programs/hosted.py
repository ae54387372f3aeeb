"""Start-up code of the daemons that run on a reactor and get their settings from a platform adapter."""

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
class HttpTranslation:
    """Translation between the platform's HTTP interfaces and sailward's own.

    `request` turns a request on the wire into sailward's form, `response` sailward's response into the platform's.
    """

    request: Callable[[RequestReceived], RequestReceived] = lambda event: event
    response: Callable[[Respond], Respond] = lambda command: command


@dataclass(frozen=True, kw_only=True)
class HostedDaemon:
    """What a platform adapter specifies for a daemon.

    `listen` is {edge: address}; `data_folder` is "" on a machine without a disk; `platform` is the address of the
    platform's list of workers; `options` are those of the daemon's kind. `reread_seeds` reads the seeds again.
    """

    location: Location
    names: WireNames
    listen: dict
    translation: HttpTranslation = HttpTranslation()
    log_level: str = "info"
    data_folder: str = ""
    platform: str = ""
    options: object = None
    reread_seeds: Callable[[], tuple] | None = None


def start_host(*, hosted: HostedDaemon) -> tuple[Reactor, Host]:
    """Start logging, and make the reactor of the process and its host."""
    start_logs(level=hosted.log_level, name=hosted.location.name)
    reactor = Reactor()
    return reactor, Host(reactor=reactor)


def make_start_number() -> int:
    """A number that grows with each start: wall time in us, used only to order one daemon's own starts."""
    return time.time_ns() // 1000


def open_listener(
    *, hosted: HostedDaemon, edge: str, reactor: Reactor, host: Host, limits: Callable[[], Limits]
) -> HttpServer:
    """Open one of the daemon's listeners; an address in use ends the process with EXIT_IN_USE."""

    def deliver(event: object) -> None:
        host.deliver(
            hosted.translation.request(event) if isinstance(event, RequestReceived) and edge != "front" else event
        )

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


def response_handlers(*, hosted: HostedDaemon, listeners: dict) -> dict:
    """The handler of the owner's responses: it sends each on the listener that the token names."""

    def respond(command: Respond) -> None:
        edge = command.token.split(" ", 1)[0]
        listeners[edge].answer(command=command if edge == "front" else hosted.translation.response(command))

    return {Respond: respond}


def run_owner(
    *,
    hosted: HostedDaemon,
    reactor: Reactor,
    host: Host,
    listeners: dict[str, HttpServer],
    step: Callable,
    handlers: dict,
) -> None:
    """Run the owner until it stops, and end the process with its exit code."""
    http_client = HttpClient(reactor=reactor, deliver=host.deliver, names=hosted.names)
    try:
        message_transport = MessageTransport(reactor=reactor, address=hosted.location.post, deliver=host.deliver)
    except OSError as fault:
        write_log(event="address-taken", fields={"address": hosted.location.post, "reason": fault}, level="error")
        sys.exit(constants.EXIT_IN_USE)
    host.servers = tuple(listeners.values())
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
    # objects made during start-up live as long as the process: the collector need not scan them again
    gc.collect()
    gc.freeze()
    code = host.run(step=step)
    for edge, listener in listeners.items():
        write_log(event="connections-at-end", fields={"edge": edge, **listener.states()})
    write_log(event="ended", fields={"code": code, **message_transport.counts})
    sys.stderr.flush()
    os._exit(code)
