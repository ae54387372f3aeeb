"""Keys of a sharded service stay without an owner after the service was taken out and put back."""

from __future__ import annotations

import functools
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from support.client import KeptConnection, start_threads  # noqa: E402 - the path must be set first
from support.deployment import (  # noqa: E402 - the path must be set first
    HAS_TROUBLE,
    CannotRun,
    Deployment,
    make_config,
    make_pool,
    make_rule,
)
from support.fleet import wait_until  # noqa: E402 - the path must be set first

GAP_S = 0.33
"""s from one change to the next in a storm."""
STORM_CHANGES = 12
"""Changes in one storm, 4 s."""
STORMS = 3
REST_S = 6.0
"""s after each storm."""
APPLY_S = 2.5
"""`config_apply_s`."""
CONTACT_S = 4.0
"""`contact_s`."""
JUDGED_S = 25.0
"""s of calm that are judged."""
WORKERS_IN_ZONE = 2
FIRST, ADDED = "/notes/2f", "/stock/2f"


def make_version(*, number: int, has_stock: bool) -> dict:
    """A version with or without the route and the pool of the sharded service."""
    rules = [make_rule(name="r-notes", path="/notes/", kind="idempotent", service="catalogo")]
    pools = [make_pool(name="catalogo")]
    if has_stock:
        rules.append(make_rule(name="r-stock", path="/stock/", kind="idempotent", service="bodega"))
        pools.append(make_pool(name="bodega", is_sharded=True))
    return make_config(generation=f"r{number}", rules=rules, pools=pools)


def change(*, deployment: Deployment, number: int, has_stock: bool) -> None:
    """Send a version until it is acknowledged."""
    config = make_version(number=number, has_stock=has_stock)
    names = deployment.fleet.names("controller")

    def is_taken() -> bool:
        match = f"r{number - 2}"
        return any(deployment.order("PUT", "/config", config, name=name, match=match)[0] == 200 for name in names)

    if not wait_until(is_taken, seconds=10):
        raise CannotRun(f"r{number} was not acknowledged")


def play(*, deployment: Deployment) -> int:
    """Run the case: 1 if a rule was broken, 0 if not."""
    fleet = deployment.fleet
    for at, zone in enumerate(fleet.ips):
        deployment.add_worker(name=f"i-notes-{at}", service="catalogo", zone=zone, work_ms=20, options=("silent",))
        for part in range(WORKERS_IN_ZONE):
            deployment.add_worker(
                name=f"i-stock-{at}-{part}",
                service="bodega",
                zone=zone,
                work_ms=20,
                is_sharded=True,
                options=("silent", "far"),
            )
    deployment.start(config=make_version(number=5, has_stock=True))
    is_over = False
    clients = [
        KeptConnection(
            front=fleet.address(name, "front"), name=f"{name}{path}", method="GET", paths=(path,), is_sharded=True
        )
        for name in fleet.names("proxy")
        for path in (FIRST, ADDED)
    ]
    threads = start_threads([functools.partial(client.run, until=lambda: is_over, pause=0.05) for client in clients])
    time.sleep(6)
    number = 5
    for storm in range(STORMS):
        deployment.note(f"storm {storm}")
        for at in range(STORM_CHANGES):
            begun_at = time.monotonic()
            number += 2
            change(deployment=deployment, number=number, has_stock=at % 2 == 1 or not HAS_TROUBLE)
            time.sleep(max(0.0, begun_at + GAP_S - time.monotonic()))
        time.sleep(REST_S)
    judged_from = time.monotonic() + APPLY_S + CONTACT_S
    deployment.note(f"r{number} has the service; nothing is changed from here on")
    time.sleep(APPLY_S + CONTACT_S + JUDGED_S)
    is_over = True
    for thread in threads:
        thread.join(timeout=10)
    return judge(deployment=deployment, clients=clients, judged_from=judged_from)


def judge(*, deployment: Deployment, clients: list[KeptConnection], judged_from: float) -> int:
    """CONFIG: in calm times, 20 or more requests on later routes, served under a quarter as often as on the first.

    A request that was still open at the end is not judged.
    """
    tries = [one for client in clients for one in client.tries]
    by_second: dict[int, Counter] = {}
    for one in tries:
        route = "first" if FIRST in one.name else "added"
        by_second.setdefault(int(one.sent_at - deployment.began_at), Counter())[f"{route} {one.end}"] += 1
    for second, counts in sorted(by_second.items()):
        deployment.note(f"sent in second {second}: {dict(counts)}")
    served = {}
    for path in (FIRST, ADDED):
        ends = [one.end for one in tries if path in one.name and one.sent_at >= judged_from and one.end != "open"]
        served[path] = sum(end == "200" for end in ends) / max(1, len(ends))
        deployment.note(f"{path}: {len(ends)} requests judged, {served[path]:.3f} served, ends {dict(Counter(ends))}")
        if len(ends) < 20:
            raise CannotRun("too few requests")
    if not served[FIRST]:
        raise CannotRun("the first route was not served")
    return 1 if served[ADDED] < served[FIRST] / 4 else 0


def main() -> int:
    """Run the case in its own deployment."""
    with Deployment(case=CASE) as deployment:
        try:
            code = play(deployment=deployment)
        except CannotRun as fault:
            deployment.note(f"could not run: {fault}")
            code = 2
        deployment.note(f"exit code {code}")
        return code


if __name__ == "__main__":
    sys.exit(main())
