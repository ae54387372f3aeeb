"""Runs a case and turns its result into the exit code: 1 broken, 0 held, 2 could not run."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from collections.abc import Callable

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Whether the disruption is to be played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[], bool]) -> None:
    """Play the case, which returns whether the rule was broken, and exit."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        is_broken = play()
    except Exception:  # noqa: BLE001 - whatever fails in the script itself says nothing about the rule
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    sys.exit(BROKEN if is_broken else HELD)
