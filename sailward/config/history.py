"""The register text of a labelled configuration: the configuration as written, its label, and its change history.

A change is a compare-and-set: it builds on one label and, when it is accepted, sets the next. Labels only grow, so at
most one change is ever accepted on top of a label. The history holds the digest of every change that was accepted since
a known label. So whether a change that is sent again was accepted, or has been superseded for good, is decided by the
label that it builds on and by its digest, never by its number.

A digest has `DIGEST_LENGTH` letters. The history is stored in segments, each with the label that its first change built
on. The oldest segment is dropped as a whole, so labels need not be stored for each change.
"""

from __future__ import annotations

import base64
import enum
import hashlib
import json
from dataclasses import dataclass

from sailward import constants

DIGEST_LENGTH = 12
"""letters of base64, 9 bytes: an order is mistaken for one in a full history with a probability of 10^-18."""


class Verdict(enum.Enum):
    """The relation of a change to the current configuration."""

    NEXT = "it builds on the current label"
    TAKEN = "this very change is current or was"
    LOST = "another change was taken on top of the label that it builds on: it never will be"
    AHEAD = "it builds on a label that is not current yet: it may still be taken"
    FORGOTTEN = "it builds on a label before the history: it may have been taken, or may have lost"


@dataclass(frozen=True, kw_only=True)
class Segment:
    """Concatenated digests of consecutive accepted changes; the first of them built on `base_label`."""

    base_label: int
    digests: str = ""

    def contains(self, *, digest: str) -> bool:
        """Is this change in the segment?"""
        offsets = range(0, len(self.digests), DIGEST_LENGTH)
        return any(self.digests.startswith(digest, offset) for offset in offsets)

    def is_full(self) -> bool:
        """Must the next change start another segment?"""
        return len(self.digests) >= constants.HISTORY_SEGMENT_CHANGES * DIGEST_LENGTH

    def with_change(self, *, digest: str) -> Segment:
        """The segment with one more change."""
        return Segment(base_label=self.base_label, digests=self.digests + digest)


@dataclass(frozen=True, kw_only=True)
class LabelledConfig:
    """The content of a register; `history` has the newest segment last. An empty register has the label 0."""

    written: dict | None = None
    label: int = 0
    history: tuple[Segment, ...] = (Segment(base_label=0),)

    def classify(self, *, expected: int, digest: str) -> Verdict:
        """The relation of the change with this digest, which builds on the label `expected`, to this content."""
        if self.contains(digest=digest):
            return Verdict.TAKEN
        if expected == self.label:
            return Verdict.NEXT
        if expected > self.label:
            return Verdict.AHEAD
        return Verdict.LOST if expected >= self.history[0].base_label else Verdict.FORGOTTEN

    def contains(self, *, digest: str) -> bool:
        """Is this change in the history?"""
        return any(segment.contains(digest=digest) for segment in self.history)


def digest_change(*, method: str, expected: int | None, given: object) -> str:
    """Digest of a change; the same if the change is sent again, whatever the formatting of its JSON."""
    text = json.dumps([method, expected, given], sort_keys=True, separators=(",", ":"))
    return _shorten(digest=hashlib.blake2b(text.encode(), digest_size=12).digest())


def read_labelled(*, text: str) -> LabelledConfig:
    """Parse the text of a register."""
    if not text:
        return LabelledConfig()
    inner = json.loads(text)
    if "changes" in inner:
        history = tuple(Segment(base_label=base_label, digests=digests) for base_label, digests in inner["changes"])
    else:
        history = (_read_pairs(pairs=inner["history"], label=inner["label"]),)
    return LabelledConfig(written=inner["written"], label=inner["label"], history=history)


def write_labelled(*, before: LabelledConfig, written: dict, label: int, digest: str) -> str:
    """The text of a register after one more change."""
    *older, newest = before.history
    if newest.is_full():
        older, newest = [*older, newest], Segment(base_label=before.label)
    segments = [*older, newest.with_change(digest=digest)][-constants.HISTORY_SEGMENTS :]
    return json.dumps(
        {
            "written": written,
            "label": label,
            # the previous version reads its history from this field: an empty list keeps it working
            "history": [],
            "changes": [[segment.base_label, segment.digests] for segment in segments],
        },
        separators=(",", ":"),
    )


def _read_pairs(*, pairs: list, label: int) -> Segment:
    """The history as written by the previous version: [[label, digest in hex], ...].

    The label that the first of these changes built on is not known.
    """
    if not pairs:
        return Segment(base_label=label)
    digests = "".join(_shorten(digest=bytes.fromhex(digest)) for _, digest in pairs)
    return Segment(base_label=pairs[0][0], digests=digests)


def _shorten(*, digest: bytes) -> str:
    return base64.b64encode(digest[: DIGEST_LENGTH * 3 // 4]).decode()
