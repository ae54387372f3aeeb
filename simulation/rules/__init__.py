"""Rules that no run may break, judged from histories: one module for each part of the requirements."""

from __future__ import annotations

from dataclasses import dataclass

TRANSIT_SLACK = 0.15
"""s allowed beyond a required bound, for the transit of a message and the forwarding of a request."""


@dataclass(frozen=True, kw_only=True)
class Violation:
    """One violation of one rule, at time `t`."""

    rule: str
    t: float
    detail: str
