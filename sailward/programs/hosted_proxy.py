"""Running a proxy and its directory as one hosted daemon."""

from __future__ import annotations

import random

from sailward.events import DrainConnections
from sailward.programs.hosted import (
    HostedDaemon,
    make_start_number,
    open_listener,
    response_handlers,
    run_owner,
    start_host,
)
from sailward.proxy.proxy import Proxy
from sailward.runtime.logs import write_log


def run_proxy(*, hosted: HostedDaemon) -> None:
    """Run a proxy and its directory until it is asked to stop."""
    reactor, host = start_host(hosted=hosted)
    owner = Proxy(location=hosted.location, start=make_start_number(), rng=random.Random(), options=hosted.options)
    listeners = {
        edge: open_listener(
            hosted=hosted, edge=edge, reactor=reactor, host=host, limits=lambda: owner.context.plan.limits
        )
        for edge in hosted.listen
    }

    def drain(command: DrainConnections) -> None:
        for edge, listener in listeners.items():
            write_log(event="draining", fields={"edge": edge, "shut": command.shut, **listener.states()})
            # clients that still hold this address use their idle connections: the next answer closes them
            listener.drain(close_idle=command.shut)
            if command.shut:
                listener.close_listener()
                listener.refuse_requests()

    if hosted.reread_seeds:
        host.on_reload = lambda: setattr(owner.control_client, "seeds", hosted.reread_seeds())
    run_owner(
        hosted=hosted,
        reactor=reactor,
        host=host,
        listeners=listeners,
        step=owner.step,
        handlers={DrainConnections: drain, **response_handlers(hosted=hosted, listeners=listeners)},
    )
