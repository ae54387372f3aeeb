"""Run a deployment as real processes, inject faults, and check the histories.

Usage:
  run_fleet [options] DEPLOYMENT

Options:
  --seconds N      How long the callers send requests [default: 20].
  --rate N         Requests per second; by default the deployment's own rate.
  --seed N         Seed of the callers [default: 1].
  --faults WORDS   Steps SECOND:VERB:NAME separated by commas; verbs are kill, start, stop, freeze, thaw, replace,
                   leave, empty, refill, mode, other (restart with the other checkout's code), this (restart
                   with this checkout's code).
                   For mode, NAME is WORKER/MODE/CHANCE; all is every daemon.
  --other DIR      Another checkout of this project, whose code all daemons start with: a roll-out by `this`.
  --folder DIR     Where settings, data, logs and histories are kept; a new one by default.
"""

from __future__ import annotations

import collections
import json
import sys
import tempfile
import threading
import time
from pathlib import Path

from docopt import docopt

from simulation.checker import check_history
from simulation.deployments import DEPLOYMENTS
from simulation.real.callers import Callers, send_request
from simulation.real.fleet import Fleet


def start_and_configure(*, fleet: Fleet) -> None:
    """Start all processes, found the control group, configure it, and wait until every proxy serves."""
    fleet.start_all()
    for command, text in ((("found",), b""), (("put", "-"), json.dumps(fleet.deployment.config).encode())):
        completed = fleet.sailctl(*command, text=text)
        if completed.returncode != 0:
            raise RuntimeError(f"sailctl {command}: {completed.returncode}: {completed.stderr.decode()}")
    for name in fleet.names_of(kind="proxy"):
        fleet.wait_for(check=lambda name=name: is_serving(fleet=fleet, name=name), what=f"{name} to serve")
    for name in fleet.names_of(kind="directory"):
        fleet.wait_for(
            check=lambda name=name: lists_all_proxies(fleet=fleet, name=name), what=f"{name} to list all proxies"
        )


def is_serving(*, fleet: Fleet, name: str) -> bool:
    """Whether the proxy holds its lease and sees all workers healthy."""
    status = fleet.status_of(name=name)
    states = collections.Counter(status.get("workers", {}).values())
    return bool(status.get("acting")) and states["good"] == len(fleet.workers)


def lists_all_proxies(*, fleet: Fleet, name: str) -> bool:
    """Whether the directory lists every proxy."""
    try:
        code, _, body = send_request(address=fleet.http_addresses[name], method="GET", path="/proxies")
    except OSError:
        return False
    return code == 200 and len(json.loads(body)["proxies"]) == len(fleet.names_of(kind="proxy"))


def inject_fault(*, fleet: Fleet, verb: str, name: str) -> None:
    """Run one step of `--faults`."""
    if verb not in ("start", "thaw", "refill", "empty"):
        fleet.history.add(t=time.monotonic(), k="trouble", verb=verb, words=[name])
    if verb not in VERBS:
        raise ValueError(f"no verb {verb!r}")
    if name != "all":
        VERBS[verb](fleet=fleet, verb=verb, name=name)
        return
    for kind in fleet.kinds:
        inject_fault(fleet=fleet, verb=verb, name=kind)


def _start(*, fleet: Fleet, verb: str, name: str) -> None:
    if name in fleet.kinds:
        fleet.start_daemon(name=name)
    else:
        fleet.start_worker(name=name)


def _signal(*, fleet: Fleet, verb: str, name: str) -> None:
    getattr(fleet, verb)(name=name)


def _switch_checkout(*, fleet: Fleet, verb: str, name: str) -> None:
    if verb == "other" and not fleet.other_checkout:
        raise ValueError("no --other checkout is given")
    (fleet.names_on_other_checkout.add if verb == "other" else fleet.names_on_other_checkout.discard)(name)
    fleet.stop(name=name)
    fleet.start_daemon(name=name)


def _replace(*, fleet: Fleet, verb: str, name: str) -> None:
    fleet.replace_worker(name=name)


def _mark_leaving(*, fleet: Fleet, verb: str, name: str) -> None:
    fleet.platform.set_worker(row={**fleet.workers[name], "leaving": True})


def _run_zone_order(*, fleet: Fleet, verb: str, name: str) -> None:
    started_at = time.monotonic()
    if fleet.sailctl(verb, name).returncode == 0:
        fleet.history.add(
            t=time.monotonic(), k="emptied" if verb == "empty" else "refilled", hall=name, begun=started_at
        )


def _set_mode(*, fleet: Fleet, verb: str, name: str) -> None:
    worker, mode, chance = name.split("/")
    send_request(
        address=fleet.workers[worker]["address"],
        method="POST",
        path="/simulation/mode",
        body=json.dumps({"mode": mode, "chance": float(chance)}).encode(),
    )


VERBS = {
    "start": _start,
    "stop": _signal,
    "kill": _signal,
    "freeze": _signal,
    "thaw": _signal,
    "other": _switch_checkout,
    "this": _switch_checkout,
    "replace": _replace,
    "leave": _mark_leaving,
    "empty": _run_zone_order,
    "refill": _run_zone_order,
    "mode": _set_mode,
}
"""The steps of `--faults`, by verb."""


def print_report(*, fleet: Fleet) -> list:
    """Print the figures; returns the violations."""
    history = fleet.merged_history()
    violations = check_history(history=history, deployment=fleet.deployment)
    results = history.of(k="got")
    good = sum(row["verdict"] == "good" for row in results)
    kinds = collections.Counter(
        f"{row['code']}-{row['reason']}-{row['ran']}" for row in results if row["verdict"] != "good"
    )
    response_times = sorted(row["took"] for row in results if row["verdict"] == "good")
    print(f"tries {len(results)}, good {good}, others {dict(kinds)}, runs {len(history.of(k='run'))}")
    if response_times:
        print(
            f"took: median {response_times[len(response_times) // 2] * 1000:.1f} ms, "
            f"99 of 100 under {response_times[int(len(response_times) * 0.99)] * 1000:.1f} ms"
        )
    for violation in violations[:10]:
        print(f"broken {violation.rule}: {violation.detail}")
    print(f"{len(violations)} broken rules")
    return violations


def main() -> None:
    """Run one deployment."""
    flags = docopt(__doc__)
    deployment = DEPLOYMENTS[flags["DEPLOYMENT"]]()
    folder = Path(flags["--folder"] or tempfile.mkdtemp(prefix="sailward-"))
    fleet = Fleet(deployment=deployment, folder=folder, other_checkout=flags["--other"] or "")
    fleet.names_on_other_checkout = set(fleet.kinds) if flags["--other"] else set()
    try:
        started_at = time.monotonic()
        start_and_configure(fleet=fleet)
        print(f"up after {time.monotonic() - started_at:.1f} s in {folder}")
        callers = Callers(
            deployment=deployment,
            seed=int(flags["--seed"]),
            history=fleet.history,
            directories=[fleet.http_addresses[name] for name in fleet.names_of(kind="directory")],
        )
        thread = threading.Thread(
            target=lambda: callers.run(
                rate=float(flags["--rate"] or deployment.rate), seconds=float(flags["--seconds"])
            )
        )
        started_at = time.monotonic()
        thread.start()
        for step in filter(None, (flags["--faults"] or "").split(",")):
            second, verb, name = step.split(":")
            time.sleep(max(0.0, started_at + float(second) - time.monotonic()))
            inject_fault(fleet=fleet, verb=verb, name=name)
        thread.join()
        print(f"callers lagged {callers.lag * 1000:.0f} ms at the most")
        fleet.history.write(path=str(folder / "callers.jsonl"))
        violations = print_report(fleet=fleet)
    finally:
        fleet.end()
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
