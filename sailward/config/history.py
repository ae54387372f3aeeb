"""The register's text of a labelled configuration: what was written, its label, digests of the changes that made it.

A change is a compare-and-set: it builds on one label and, when it is taken, gives the next. Labels only grow, so at
most one change is ever taken on top of a label. The history holds the digest of each change taken from a known label
on; so whether a change that is sent again was taken, or lost for good, is decided by what it builds on and by its
digest, never by its number.

A digest has `DIGEST_LENGTH` letters. The history is kept in segments, each with the label that its first change built
on; the oldest segment is dropped as a whole, so no label is stored for each change.
"""

from __future__ import annotations

import base64
import enum
import hashlib
import json
from dataclasses import dataclass

from sailward import constants

DIGEST_LENGTH = 12
"""letters of base64, 9 bytes: by chance one order in 10^18 is taken for one of a full history."""


class Verdict(enum.Enum):
    """How a change stands to the configuration that is current."""

    NEXT = "it builds on the current label"
    TAKEN = "this very change is current or was"
    LOST = "another change was taken on top of the label that it builds on: it never will be"
    AHEAD = "it builds on a label that is not current yet: it may still be taken"
    FORGOTTEN = "it builds on a label before the history: it may have been taken, or may have lost"


@dataclass(frozen=True, kw_only=True)
class Segment:
    """Digests of changes taken in a row, joined; the first of them built on the label `since`."""

    base_label: int
    digests: str = ""

    def contains(self, *, digest: str) -> bool:
        """Is this change among them?"""
        offsets = range(0, len(self.digests), DIGEST_LENGTH)
        return any(self.digests.startswith(digest, offset) for offset in offsets)

    def is_full(self) -> bool:
        """Does the next change begin another segment?"""
        return len(self.digests) >= constants.HISTORY_SEGMENT_CHANGES * DIGEST_LENGTH

    def with_change(self, *, digest: str) -> Segment:
        """The segment with one change more."""
        return Segment(base_label=self.base_label, digests=self.digests + digest)


@dataclass(frozen=True, kw_only=True)
class LabelledConfig:
    """What a register holds; `history` has the newest segment last. A register that is empty has the label 0."""

    written: dict | None = None
    label: int = 0
    history: tuple[Segment, ...] = (Segment(base_label=0),)

    def classify(self, *, expected: int, digest: str) -> Verdict:
        """How the change with this digest, which builds on the label `expected`, stands to what is held."""
        if self.contains(digest=digest):
            return Verdict.TAKEN
        if expected == self.label:
            return Verdict.NEXT
        if expected > self.label:
            return Verdict.AHEAD
        return Verdict.LOST if expected >= self.history[0].base_label else Verdict.FORGOTTEN

    def contains(self, *, digest: str) -> bool:
        """Does the history hold this very change?"""
        return any(segment.contains(digest=digest) for segment in self.history)


def digest_change(*, method: str, expected: int | None, given: object) -> str:
    """What is the same for a change that is sent again unchanged, however its JSON is laid out."""
    text = json.dumps([method, expected, given], sort_keys=True, separators=(",", ":"))
    return _shorten(digest=hashlib.blake2b(text.encode(), digest_size=12).digest())


def read_labelled(*, text: str) -> LabelledConfig:
    """What the text of a register holds."""
    if not text:
        return LabelledConfig()
    inner = json.loads(text)
    if "changes" in inner:
        history = tuple(Segment(base_label=base_label, digests=digests) for base_label, digests in inner["changes"])
    else:
        history = (_read_pairs(pairs=inner["history"], label=inner["label"]),)
    return LabelledConfig(written=inner["written"], label=inner["label"], history=history)


def write_labelled(*, before: LabelledConfig, written: dict, label: int, digest: str) -> str:
    """The text with one change more."""
    *older, newest = before.history
    if newest.is_full():
        older, newest = [*older, newest], Segment(base_label=before.label)
    segments = [*older, newest.with_change(digest=digest)][-constants.HISTORY_SEGMENTS :]
    return json.dumps(
        {
            "written": written,
            "label": label,
            # what the last version calls its history: it finds none, and does not stumble
            "history": [],
            "changes": [[segment.base_label, segment.digests] for segment in segments],
        },
        separators=(",", ":"),
    )


def _read_pairs(*, pairs: list, label: int) -> Segment:
    """The history as the last version wrote it: [[label, digest in hex], ...].

    What the first of them built on is not known.
    """
    if not pairs:
        return Segment(base_label=label)
    digests = "".join(_shorten(digest=bytes.fromhex(digest)) for _, digest in pairs)
    return Segment(base_label=pairs[0][0], digests=digests)


def _shorten(*, digest: bytes) -> str:
    return base64.b64encode(digest[: DIGEST_LENGTH * 3 // 4]).decode()
