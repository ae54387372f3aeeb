"""An operator sends one patch with a needless empty list; the controllers must take or refuse it, and go on running."""

from __future__ import annotations

import time
from pathlib import Path

from common.case import has_trouble, run_case
from common.fleet import Fleet, Record
from common.operator import install_config, send_order
from common.worker import Worker

RECORD = Path(__file__).resolve().parent / "record.txt"
ORDER_SECONDS = 25.0
"""s for which the operator sends the order again while it has no clear answer."""


def make_patch(*, has_needless_list: bool) -> dict:
    """A patch that takes a route away; the needless list names no item of `generation` to be removed."""
    remove = {"routes": ["r-order"], **({"generation": []} if has_needless_list else {})}
    return {"generation": "r2", "upsert": {}, "remove": remove}


def play() -> bool:
    """Play the case; whether the rule was broken."""
    record = Record(path=RECORD)
    with Fleet(record=record) as fleet:
        for number, service in enumerate(("reparto", "pedidos")):
            worker = Worker(host=fleet.worker_host(number), name=f"i-{number}", record=record)
            fleet.platform.add(zone="gdl-nave", name=worker.name, service=service, address=worker.address)
        install_config(fleet)
        fleet.wait_ready()
        time.sleep(4)
        answers = list(
            send_order(
                fleet,
                method="PATCH",
                path="/config",
                document=make_patch(has_needless_list=has_trouble()),
                if_match="r1",
                give_up_after=ORDER_SECONDS,
            )
        )
        time.sleep(2)
        core = fleet.named("controller")
        ends = {process.name: len(process.own_ends) for process in core}
        failed = [name for name, count in ends.items() if count >= 3]
        for process in core:
            if process.own_ends:
                record.add("fault", process=process.name, text=process.last_error())
        is_broken = 2 * len(failed) >= len(core)
        record.add("verdict", ends_by_itself=ends, answers=answers, broken=is_broken)
        return is_broken


if __name__ == "__main__":
    run_case(play)
