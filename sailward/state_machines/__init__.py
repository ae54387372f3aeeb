"""State machines as data files, and their interpreter."""

from __future__ import annotations

import json
from pathlib import Path

FOLDER = Path(__file__).parent


class Chart:
    """A state machine read from a data file."""

    def __init__(self, *, name: str) -> None:
        chart = json.loads((FOLDER / f"{name}.json").read_text("utf-8"))
        self.initial: str = chart["initial"]
        self.marks: dict = chart.get("marks", {})
        self._moves: dict = chart["moves"]

    def step(self, *, state: str, event: str) -> str:
        """The state after this event: the same one if the file has no transition for it."""
        return self._moves[state].get(event, state)
