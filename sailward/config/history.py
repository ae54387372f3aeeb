"""The register's text of a labelled configuration: what was written, its label, and the changes that made it."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from sailward import constants


@dataclass(frozen=True, kw_only=True)
class Labelled:
    """What a register holds; `history` is [[label, digest], ...], the newest last."""

    written: dict | None = None
    label: int = 0
    history: tuple = ()

    def has(self, *, digest: str) -> bool:
        """Was this very change taken, lately or now?"""
        return any(known == digest for _, known in self.history)


def digest_change(*, method: str, expected: int | None, given: object) -> str:
    """What is the same for a change that is sent again unchanged, however its JSON is laid out."""
    text = json.dumps([method, expected, given], sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def read_labelled(*, text: str) -> Labelled:
    """What the text of a register holds."""
    if not text:
        return Labelled()
    inner = json.loads(text)
    return Labelled(
        written=inner["written"], label=inner["label"], history=tuple(tuple(one) for one in inner["history"])
    )


def write_labelled(*, before: Labelled, written: dict, label: int, digest: str) -> str:
    """The text with one change more."""
    history = [*before.history, (label, digest)][-constants.LABELS_KEPT :]
    return json.dumps({"written": written, "label": label, "history": history}, separators=(",", ":"))
