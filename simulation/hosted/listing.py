"""The platform's endpoint list: it lags behind, is read in pages, and limits the rate of calls."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.workers import Worker

PAGE_SIZE = 12
"""Workers on a page: few, so that reading the whole list takes several pages."""
CRASHED_LISTED_TIME = 4.0
"""s for which a worker that crashed is still listed."""


@dataclass(kw_only=True)
class SimulatedEndpointList:
    """Owner of the list. `change` records a worker's new state, `page` returns what a caller is told."""

    lag: float
    rate: float
    is_down: bool = False
    rows: dict = field(default_factory=dict)
    _snapshots: list = field(default_factory=list)
    _tokens: float = 5.0
    _refilled_at: float = 0.0

    def set_state(self, *, now: float, worker: Worker, state: str) -> float:
        """Set a worker's state: `admitted`, `draining` or `gone`; returns when callers are told of it."""
        if state == "gone":
            self.rows.pop(worker.id, None)
        else:
            self.rows[worker.id] = (worker, state)
        self._snapshots.append((now, dict(self.rows)))
        return now + self.lag

    def page(self, *, now: float, token: str) -> tuple[int, bytes]:
        """The (code, body) of the response to one call."""
        self._tokens, self._refilled_at = min(self.rate, self._tokens + self.rate * (now - self._refilled_at)), now
        if self.is_down:
            return 503, b"{}"
        if self._tokens < 1.0:
            return 429, b"{}"
        self._tokens -= 1.0
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self.lag:
            self._snapshots.pop(0)
        rows = self._snapshots[0][1] if self._snapshots and self._snapshots[0][0] <= now - self.lag else {}
        names = sorted(rows)
        start = int(token[2:]) if token else 0
        zones: dict = {}
        for name in names[start : start + PAGE_SIZE]:
            worker, state = rows[name]
            zones.setdefault(worker.node.zone, []).append(
                {
                    "id": worker.id,
                    "service": worker.service,
                    "address": worker.address,
                    "generation": "v1",
                    "capacity": worker.capacity,
                    "state": state,
                    "cold_left_s": round(max(0.0, worker.slow_start_until - now), 3),
                }
            )
        next_token = f"p-{start + PAGE_SIZE}" if start + PAGE_SIZE < len(names) else None
        return 200, json.dumps({"instances": zones, "next_token": next_token}).encode()
