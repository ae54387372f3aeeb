"""Logs: one line of key=value pairs per event."""

from __future__ import annotations

import sys

import logbook

LOG = logbook.Logger("sailward")


def start_logs(*, level: str, name: str) -> None:
    """Write logs to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper(), bubble=False)
    handler.format_string = (
        "time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} level={record.level_name} who=" + name + " {record.message}"
    )
    handler.push_application()


def write_log(*, event: str, fields: dict, level: str = "info") -> None:
    """Log one event."""
    pairs = [f"event={event}", *(f"{name}={_quote(value=value)}" for name, value in fields.items())]
    getattr(LOG, level)(" ".join(pairs).replace("{", "(").replace("}", ")"))


def _quote(*, value: object) -> str:
    text = str(value)
    if text and all(char not in text for char in ' "=\n'):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", "\\n") + '"'
