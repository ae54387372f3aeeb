"""A configuration shifts a route to another service and drops the old one, whose requests are in flight."""

from __future__ import annotations

import functools
import itertools
import threading
import time
from pathlib import Path

from common.case import has_trouble, run_case
from common.client import HOST, Connection, Outcome, resolve, run_together
from common.fleet import BOUNDS, ZONES, Fleet, Record
from common.operator import install_config, make_pool, make_rule, send_order
from common.worker import Worker

RECORD = Path(__file__).resolve().parent / "record.txt"
TRACK_WORK_S, ORDER_WORK_S = 1.5, 0.8
"""s that the workers take for a request, inside its deadline of 12 s and 5 s."""
TRAFFIC_S = 12.0
CHANGE_AFTER_S = 7.0
"""s from the start of the traffic to the change."""
CLIENTS_PER_PROXY = 3
SERVICES = {"reparto": TRACK_WORK_S, "entrega": TRACK_WORK_S, "pedidos": ORDER_WORK_S}
"""The workers' time by service; `entrega` takes the route of `reparto` over."""
NEW_RULE = make_rule(name="r-track", prefix="/reparto/", kind="idempotent", service="entrega")
PATCH = {
    "generation": "r2",
    "upsert": {"listeners": [{"hostname": HOST, "ruleset": [NEW_RULE]}], "pools": [make_pool(name="entrega")]},
    "remove": {"pools": ["reparto"]},
}


def call_in_turn(record: Record, *, address: str, name: str, method: str, path: str, until: float) -> list[Outcome]:
    """Send one request after the other on a kept connection; a new one is opened when it ends."""
    outcomes: list[Outcome] = []
    connection = Connection(record=record, address=address)
    while time.monotonic() < until:
        number = len(outcomes)
        outcomes.append(connection.send(method=method, path=f"{path}{number}", attempt=f"{name}-{number}"))
        if outcomes[-1].end != "answered":
            time.sleep(0.3)
            connection = Connection(record=record, address=address)
        elif outcomes[-1].code != 200:
            time.sleep(0.3)
    connection.close()
    return outcomes


def send_change(fleet: Fleet) -> None:
    """Send the change until it has a clear answer."""
    list(send_order(fleet, method="PATCH", path="/config", document=PATCH, if_match="r1", give_up_after=15))


def find_lost(*, record: Record, outcomes: list[Outcome], window: tuple[float, float]) -> tuple[list, list]:
    """The requests that a worker ran and whose connection then ended without an answer: (in the window, others)."""
    ran = {row["attempt"] for row in record.rows if row["event"] == "run"}
    lost = [outcome for outcome in outcomes if outcome.end in ("closed", "reset") and outcome.attempt in ran]
    inside = [outcome.attempt for outcome in lost if window[0] <= outcome.ended_at <= window[1]]
    return inside, [outcome.attempt for outcome in lost if outcome.attempt not in inside]


def play() -> bool:
    """Play the case; whether the rule was broken."""
    record = Record(path=RECORD)
    with Fleet(record=record, proxies_only=2) as fleet:
        for number, (service, zone) in enumerate(itertools.product(SERVICES, [*ZONES, *ZONES])):
            host, work_s = fleet.worker_host(number), SERVICES[service]
            worker = Worker(host=host, name=f"i-{number}", record=record, work_s=work_s)
            fleet.platform.add(zone=zone, name=worker.name, service=service, address=worker.address)
        install_config(fleet)
        fleet.wait_ready()
        time.sleep(BOUNDS["contact_s"])
        addresses = resolve(fleet, directory="proxy-1", zone="gdl-nave", region="gdl")
        addresses += resolve(fleet, directory="proxy-2", zone="ens-cava", region="ens")
        record.add("resolved", addresses=addresses)
        until = time.monotonic() + TRAFFIC_S
        tasks = [
            functools.partial(
                call_in_turn,
                record,
                address=address,
                name=f"{method.lower()}-{client}-{address}",
                method=method,
                path=path,
                until=until,
            )
            for address in addresses
            for client in range(CLIENTS_PER_PROXY)
            for method, path in (("GET", "/reparto/"), ("POST", "/pedidos/"))
        ]
        if has_trouble():
            change = threading.Timer(CHANGE_AFTER_S, send_change, args=(fleet,))
            change.daemon = True
            change.start()
        outcomes = run_together(tasks)
        time.sleep(1)
        window = find_window(record=record)
        lost, others = find_lost(record=record, outcomes=outcomes, window=window)
        ends = {process.name: process.own_ends for process in fleet.processes.values() if process.own_ends}
        for process in fleet.named("proxy"):
            if process.own_ends:
                record.add("fault", process=process.name, text=process.last_error())
        is_broken = len(lost) > 3 * max(1, len(others))
        record.add("verdict", window=window, lost=lost, lost_at_other_times=others, own_ends=ends, broken=is_broken)
        return is_broken


def find_window(*, record: Record) -> tuple[float, float]:
    """From the sending of the change until config_apply_s + 1 s past its acknowledgement."""
    sent = [row["t"] for row in record.rows if row["event"] == "order" and row["method"] == "PATCH"]
    if not sent:
        return (0.0, 0.0)
    acknowledged = [
        row["t"]
        for row in record.rows
        if row["event"] == "order-answered" and row["code"] == 200 and row["t"] > sent[0]
    ]
    return sent[0], (acknowledged[0] if acknowledged else sent[0]) + BOUNDS["config_apply_s"] + 1


if __name__ == "__main__":
    run_case(play)
