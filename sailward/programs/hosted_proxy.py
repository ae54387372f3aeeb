"""The proxy with its directory as a hosted daemon."""

from __future__ import annotations

import random

from sailward.events import DrainConnections
from sailward.programs.hosted import Hosted, answer_handlers, begin_host, open_front, serve_owner, start_number
from sailward.proxy.proxy import Proxy


def run_proxy(*, hosted: Hosted) -> None:
    """Run a proxy with its directory until it is told to stop."""
    reactor, host = begin_host(hosted=hosted)
    owner = Proxy(location=hosted.location, start=start_number(), rng=random.Random(), options=hosted.options)
    fronts = {
        edge: open_front(hosted=hosted, edge=edge, reactor=reactor, host=host, limits=lambda: owner.context.plan.limits)
        for edge in hosted.listen
    }

    def leave(command: DrainConnections) -> None:
        for front in fronts.values():
            front.drain()
            if command.shut:
                front.close_listener()

    if hosted.changed:
        host.on_reload = lambda: setattr(owner.control_client, "seeds", hosted.changed())
    serve_owner(
        hosted=hosted,
        reactor=reactor,
        host=host,
        step=owner.step,
        handlers={DrainConnections: leave, **answer_handlers(hosted=hosted, fronts=fronts)},
    )
