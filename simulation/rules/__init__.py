"""What must never happen, judged from histories: one module for each part of the brief."""

from __future__ import annotations

from dataclasses import dataclass

TRANSIT_SLACK = 0.15
"""s beyond a bound of the brief: the way of a message and of a sending-on."""


@dataclass(frozen=True, kw_only=True)
class Violation:
    """One breach of one rule."""

    rule: str
    t: float
    detail: str
