"""A service that was once configured without `sharded` is never served again, also after the configuration is right."""

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

MISTAKE_S = 5.0
"""s for which the version with the mistake is in force."""
APPLY_S = 2.5
"""`config_apply_s`."""
CONTACT_S = 4.0
"""`contact_s`."""
JUDGED_S = 30.0
"""s of calm that are judged."""
FIRST, ADDED = "/notes/2f", "/stock/2f"


def make_version(*, number: int, is_sharded: bool | None) -> dict:
    """A version; the route of the sharded service is added later (None: not yet)."""
    rules = [make_rule(name="r-notes", path="/notes/", kind="idempotent", service="catalogo")]
    pools = [make_pool(name="catalogo")]
    if is_sharded is not None:
        rules.append(make_rule(name="r-stock", path="/stock/", kind="idempotent", service="bodega"))
        pools.append(make_pool(name="bodega", is_sharded=is_sharded))
    return make_config(generation=f"r{number}", rules=rules, pools=pools)


def change(*, deployment: Deployment, number: int, expected: int, is_sharded: bool) -> None:
    """Send a version until it is acknowledged."""
    config = make_version(number=number, is_sharded=is_sharded)
    names = deployment.fleet.names("controller")

    def is_taken() -> bool:
        return any(
            deployment.order("PUT", "/config", config, name=name, match=f"r{expected}")[0] == 200 for name in names
        )

    if not wait_until(is_taken, seconds=10):
        raise CannotRun(f"r{number} was not acknowledged")


def play(*, deployment: Deployment) -> int:
    """Run the case: 1 if a rule was broken, 0 if not."""
    fleet = deployment.fleet
    for at, zone in enumerate(fleet.ips):
        deployment.add_worker(name=f"i-notes-{at}", service="catalogo", zone=zone, work_ms=20, options=("silent",))
        deployment.add_worker(
            name=f"i-stock-{at}", service="bodega", zone=zone, work_ms=20, is_sharded=True, options=("silent",)
        )
    deployment.start(config=make_version(number=5, is_sharded=None))
    is_over = False
    clients = [
        KeptConnection(
            front=fleet.address(name, "front"), name=f"{name}{path}", method="GET", paths=(path,), is_sharded=True
        )
        for name in fleet.names("proxy")
        for path in (FIRST, ADDED)
    ]
    threads = start_threads([functools.partial(client.run, until=lambda: is_over, pause=0.05) for client in clients])
    time.sleep(2)
    change(deployment=deployment, number=7, expected=5, is_sharded=not HAS_TROUBLE)
    time.sleep(MISTAKE_S)
    change(deployment=deployment, number=9, expected=7, is_sharded=True)
    judged_from = time.monotonic() + APPLY_S + CONTACT_S
    deployment.note("r9 is acknowledged: the service is sharded, as its workers are; nothing is changed from here on")
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
