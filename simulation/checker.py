"""Finds rule violations in histories, without using any code of the product."""

from __future__ import annotations

from simulation.deployments import Deployment
from simulation.history import History
from simulation.rules import Violation
from simulation.rules.control import (
    ConfigChanges,
    check_config_register,
    check_emptied_zones,
    check_in_force,
    check_weights,
)
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
from simulation.rules.places import (
    check_departed_workers,
    check_home_regions,
    check_rate_bounds,
    check_shard_keys,
    check_slow_start,
)
from simulation.rules.service import check_fairness, check_recovery, check_tolerated_losses


def check_history(*, history: History, deployment: Deployment) -> list[Violation]:
    """All violations of the rules."""
    runs, zones, daemons = history.of(k="run"), deployment.zones, list(deployment.daemons)
    proxies = sum(kind == "proxy" for kind, _, _ in daemons)
    changes = ConfigChanges(history=history)
    return [
        *check_runs_once(runs=runs),
        *check_promises(history=history, runs=runs),
        *check_results(history=history),
        *check_answered(history=history),
        *check_departed_workers(history=history, runs=runs),
        *check_in_force(changes=changes, runs=runs),
        *check_config_register(history=history, changes=changes),
        *check_operator_orders(history=history),
        *check_weights(history=history, changes=changes, runs=runs, zones=zones),
        *check_emptied_zones(history=history, runs=runs),
        *check_home_regions(history=history, runs=runs, zones=zones),
        *check_retries(history=history, runs=runs, proxies=proxies),
        *check_slow_start(history=history, runs=runs, proxies=proxies),
        *check_rate_bounds(history=history, runs=runs, proxies=proxies),
        *check_shard_keys(history=history, runs=runs),
        *check_crashes(history=history),
        *check_stops(history=history),
        *check_recovery(history=history, daemons=daemons),
        *check_tolerated_losses(history=history, daemons=daemons, zones=zones),
        *check_fairness(history=history),
    ]
