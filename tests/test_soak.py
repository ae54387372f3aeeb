"""A short soak test: real daemons under a few seconds of overlapping faults, with callers that disconnect early."""

from __future__ import annotations

import asyncio
from pathlib import Path

from simulation.soak.run import Soak


def test_overlapping_faults_cause_no_violation(tmp_path: Path) -> None:
    verdict = asyncio.run(Soak(seed=4, seconds=5.0, folder=tmp_path).run())
    assert not verdict.violations, verdict.violations[:10]
    assert verdict.figures["left-and-run"] and verdict.figures["served"] and verdict.figures["changes"]
