"""Deliberate faults in the product that more than one property test must find."""

from __future__ import annotations

import pytest

from sailward.control.group import write_ahead


def answer_before_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replies are sent at once, before the records that they depend on are synced."""
    original = write_ahead.WriteAhead.step
    monkeypatch.setattr(
        write_ahead.WriteAhead,
        "step",
        lambda self, *, records, replies: [*original(self, records=records, replies=[]), *replies],
    )
