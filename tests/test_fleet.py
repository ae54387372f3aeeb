"""One small run of real processes: facts, not speed."""

from __future__ import annotations

import dataclasses
import json
import threading
from pathlib import Path

from simulation.checker import check_history
from simulation.deployments import make_arriaga
from simulation.real.callers import Callers
from simulation.real.fleet import Fleet
from simulation.run_fleet import bring_up, do_step


def make_small():
    """Four controllers, two proxies, one directory, one service of four workers."""
    whole = make_arriaga()
    keep = ("orders",)
    config = {
        **whole.config,
        "services": {name: whole.config["services"][name] for name in keep},
        "pools": {name: one for name, one in whole.config["pools"].items() if one["service"] in keep},
        "matches": [match for match in whole.config["matches"] if match["path"] == "/orders"],
    }
    daemons = [
        row
        for row in whole.daemons
        if row[1]
        in ("controller-0", "controller-1", "controller-2", "controller-3", "proxy-0", "proxy-2", "directory-0")
    ]
    workers = [row for row in whole.workers if row[1] in keep and row[0].endswith("-0")]
    callers = [caller for caller in whole.callers if caller.path == "/orders"]
    return dataclasses.replace(
        whole, config=config, daemons=tuple(daemons), workers=tuple(workers), callers=tuple(callers)
    )


def test_real_processes_keep_the_rules(tmp_path: Path) -> None:
    fleet = Fleet(deployment=make_small(), folder=tmp_path)
    try:
        bring_up(fleet=fleet)
        callers = Callers(
            deployment=fleet.deployment, seed=1, history=fleet.history, directories=[fleet.https["directory-0"]]
        )
        thread = threading.Thread(target=lambda: callers.run(rate=30, seconds=8))
        thread.start()
        do_step(fleet=fleet, verb="kill", name="controller-1")
        do_step(fleet=fleet, verb="kill", name="orders-gdl-a-0")
        do_step(fleet=fleet, verb="empty", name="ens-a")
        assert fleet.stop(name="proxy-2") == 0
        do_step(fleet=fleet, verb="start", name="controller-1")
        thread.join()
        history = fleet.whole_history()
        assert not check_history(history=history, deployment=fleet.deployment)
        assert sum(row["verdict"] == "good" for row in history.of(k="got")) > 50
        assert len(history.of(k="emptied")) == 1
        done = fleet.sailctl("get")
        assert done.returncode == 0 and json.loads(done.stdout)["config"] == fleet.deployment.config
        assert fleet.sailctl("put", "-", text=b'{"halls": 3}').returncode == 1
        assert fleet.sailctl("check", "-", text=done.stdout).returncode == 1
        done = fleet.sailctl("check", "-", text=json.dumps(fleet.deployment.config).encode())
        assert done.returncode == 0 and b"0 faults" in done.stdout
        proxy = f"--proxy={fleet.https['proxy-0']}"
        told = json.loads(fleet.sailctl("explain", "tapatia", "POST", "/orders/1", proxy).stdout)
        assert told["halls"]["ens-b"]["allowed"] is False and told["pools"]["orders-ensenada"]["drawn"] == 0.3
    finally:
        fleet.end()
