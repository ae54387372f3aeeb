"""Cerberus's validation errors as (path, reason), one for each faulty field."""

from __future__ import annotations

from collections.abc import Iterator


def list_errors(*, errors: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Walk cerberus's nested errors; a path joins the names of the fields down to the faulty one with dots."""
    if isinstance(errors, dict):
        for name, field_errors in errors.items():
            yield from list_errors(errors=field_errors, path=f"{path}.{name}" if path else str(name))
    elif isinstance(errors, list):
        for field_errors in errors:
            yield from list_errors(errors=field_errors, path=path)
    else:
        yield path, str(errors)
