"""A short stop soak: real proxies get SIGTERM, again and with SIGHUP, in series while callers use what is open."""

from __future__ import annotations

import asyncio
from pathlib import Path

from simulation.soak.stop_run import StopSoak


def test_stops_in_series_lose_no_request(tmp_path: Path) -> None:
    verdict = asyncio.run(StopSoak(seed=3, seconds=30.0, folder=tmp_path, proxies=6).run())
    assert not verdict.violations, verdict.violations[:10]
    assert verdict.figures["served"] and verdict.figures["stops"] and verdict.figures["changes"]
