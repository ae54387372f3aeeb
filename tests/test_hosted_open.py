"""Faults of the daemons for the users' platform that are found and not mended yet: each test moves to its part's file when it passes."""
from __future__ import annotations

import pytest

from sailward import constants
from tests.proxy_kit import Bench, answers, make_plan
from tests.test_fleet_view import make_pair, make_proxy


def test_a_lost_telling_of_the_fleet_does_not_make_proxies_vanish() -> None:
    pair = make_pair()
    pair.is_cut = True
    pair.proxies["c1"].append(make_proxy("p3", now=pair.now, hall="south-a"))
    pair.run(1.5)
    pair.is_cut = False
    pair.run(4.0)
    assert pair.names("c0") == ["p0", "p1", "p2", "p3"]


@pytest.mark.parametrize("phase", [0.01, 0.025, 0.029, 0.04])
def test_a_refusal_for_want_of_a_worker_comes_within_a_quarter_of_the_aim(phase: float) -> None:
    bench = Bench(workers=[], plan=make_plan(target_s=0.4))
    commands, waited, step = bench.ask(), 0.0, phase
    while not answers(commands):
        commands, waited, step = bench.wait(step), waited + step, constants.TICK
    assert waited <= 0.25 * 0.4
