"""Reads histories and names each broken rule. It never asks the product."""

from __future__ import annotations

from simulation.deployments import Deployment
from simulation.history import History
from simulation.rules import Broken
from simulation.rules.control import Changes, check_emptied, check_in_force, check_registers, check_weights
from simulation.rules.exchanges import (
    check_answered,
    check_crashes,
    check_promises,
    check_results,
    check_retries,
    check_runs_once,
    check_stops,
)
from simulation.rules.operator_orders import check_operator_orders
from simulation.rules.places import check_bounds, check_flood, check_homes, check_keys, check_left
from simulation.rules.service import check_borne, check_fairness, check_recovery


def check_history(*, history: History, deployment: Deployment) -> list[Broken]:
    """Every breach of what must never happen."""
    runs, zones, daemons = history.of(k="run"), deployment.zones, list(deployment.daemons)
    proxies = sum(kind == "proxy" for kind, _, _ in daemons)
    changes = Changes(history=history)
    return [
        *check_runs_once(runs=runs),
        *check_promises(history=history, runs=runs),
        *check_results(history=history),
        *check_answered(history=history),
        *check_left(history=history, runs=runs),
        *check_in_force(changes=changes, runs=runs),
        *check_registers(history=history, changes=changes),
        *check_operator_orders(history=history),
        *check_weights(history=history, changes=changes, runs=runs, zones=zones),
        *check_emptied(history=history, runs=runs),
        *check_homes(history=history, runs=runs, zones=zones),
        *check_retries(history=history, runs=runs, proxies=proxies),
        *check_flood(history=history, runs=runs, proxies=proxies),
        *check_bounds(history=history, runs=runs, proxies=proxies),
        *check_keys(history=history, runs=runs),
        *check_crashes(history=history),
        *check_stops(history=history),
        *check_recovery(history=history, daemons=daemons),
        *check_borne(history=history, daemons=daemons, zones=zones),
        *check_fairness(history=history),
    ]
