"""A small run of real processes: checks behaviour, not speed."""

from __future__ import annotations

import dataclasses
import json
import threading
from pathlib import Path

from simulation.checker import check_history
from simulation.deployments import make_arriaga
from simulation.real.callers import Callers
from simulation.real.fleet import Fleet
from simulation.run_fleet import inject_fault, start_and_configure


def make_small():
    """Four controllers, two proxies, one directory, one service of four workers."""
    full = make_arriaga()
    kept_services = ("orders",)
    config = {
        **full.config,
        "services": {name: full.config["services"][name] for name in kept_services},
        "pools": {name: pool for name, pool in full.config["pools"].items() if pool["service"] in kept_services},
        "matches": [match for match in full.config["matches"] if match["path"] == "/orders"],
    }
    daemons = [
        row
        for row in full.daemons
        if row[1]
        in ("controller-0", "controller-1", "controller-2", "controller-3", "proxy-0", "proxy-2", "directory-0")
    ]
    workers = [row for row in full.workers if row[1] in kept_services and row[0].endswith("-0")]
    callers = [caller for caller in full.callers if caller.path == "/orders"]
    return dataclasses.replace(
        full, config=config, daemons=tuple(daemons), workers=tuple(workers), callers=tuple(callers)
    )


def test_real_processes_keep_the_rules(tmp_path: Path) -> None:
    fleet = Fleet(deployment=make_small(), folder=tmp_path)
    try:
        start_and_configure(fleet=fleet)
        callers = Callers(
            deployment=fleet.deployment,
            seed=1,
            history=fleet.history,
            directories=[fleet.http_addresses["directory-0"]],
        )
        thread = threading.Thread(target=lambda: callers.run(rate=30, seconds=8))
        thread.start()
        inject_fault(fleet=fleet, verb="kill", name="controller-1")
        inject_fault(fleet=fleet, verb="kill", name="orders-gdl-a-0")
        inject_fault(fleet=fleet, verb="empty", name="ens-a")
        assert fleet.stop(name="proxy-2") == 0
        inject_fault(fleet=fleet, verb="start", name="controller-1")
        thread.join()
        history = fleet.merged_history()
        assert not check_history(history=history, deployment=fleet.deployment)
        assert sum(row["verdict"] == "good" for row in history.of(k="got")) > 50
        assert len(history.of(k="emptied")) == 1
        done = fleet.sailctl("get")
        assert done.returncode == 0 and json.loads(done.stdout)["config"] == fleet.deployment.config
        assert fleet.sailctl("put", "-", text=b'{"halls": 3}').returncode == 1
        assert fleet.sailctl("check", "-", text=done.stdout).returncode == 1
        done = fleet.sailctl("check", "-", text=json.dumps(fleet.deployment.config).encode())
        assert done.returncode == 0 and b"0 faults" in done.stdout
        proxy = f"--proxy={fleet.http_addresses['proxy-0']}"
        explained = json.loads(fleet.sailctl("explain", "tapatia", "POST", "/orders/1", proxy).stdout)
        assert explained["halls"]["ens-b"]["allowed"] is False and explained["pools"]["orders-ensenada"]["drawn"] == 0.3
    finally:
        fleet.end()
