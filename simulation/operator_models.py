"""What operators' calls do to the registers, one at a time: the models of the linearizability check."""

from __future__ import annotations

import functools
import hashlib
import json
from collections.abc import Hashable
from dataclasses import dataclass

from simulation.rules.meaning import merge_patch


@dataclass(frozen=True, kw_only=True)
class LabelledChange:
    """A configuration on top of the version `base`, which makes it the version `label`."""

    base: int
    label: int
    content: str


@dataclass(frozen=True, kw_only=True)
class LabelledLoss:
    """A change that was refused because another one was taken on top of `base`."""

    base: int


@dataclass(frozen=True, kw_only=True)
class LabelledRead:
    """The configuration was read: its version and content; version 0 if there is none."""

    label: int
    content: str = ""


class LabelledRegister:
    """A configuration whose operators give it growing versions: (version, content)."""

    initial = (0, "")

    def step(self, *, state: tuple, call: Hashable) -> tuple | None:
        """The state after the call; None if its answer can't be got in this state."""
        match call:
            case LabelledChange(base=base, label=label, content=content):
                return (label, content) if state[0] == base < label else None
            case LabelledLoss(base=base):
                return state if state[0] > base else None
            case LabelledRead(label=label, content=content):
                return state if state == (label, content) else None
        raise TypeError(call)

    def is_read(self, *, call: Hashable) -> bool:
        """Does this call leave every state as it is?"""
        return not isinstance(call, LabelledChange)


@dataclass(frozen=True, kw_only=True)
class NumberedChange:
    """A configuration, or a patch of one, as JSON.

    It got `number`, or an unknown one, on top of `expected` if it says so.
    """

    given: str
    is_patch: bool
    expected: int | None
    number: int | None


@dataclass(frozen=True, kw_only=True)
class NumberedRead:
    """The configuration was read: its number and content."""

    number: int
    content: str


class NumberedRegister:
    """A configuration that the product numbers itself: (number, content as JSON)."""

    initial = (0, "null")

    def step(self, *, state: tuple, call: Hashable) -> tuple | None:
        """The state after the call; None if its answer can't be got in this state."""
        number, content = state
        match call:
            case NumberedChange():
                if call.expected not in (None, number) or call.number not in (None, number + 1):
                    return None
                return number + 1, _patch(content=content, patch=call.given) if call.is_patch else call.given
            case NumberedRead():
                return state if state == (call.number, call.content) else None
        raise TypeError(call)

    def is_read(self, *, call: Hashable) -> bool:
        """Does this call leave every state as it is?"""
        return isinstance(call, NumberedRead)


@dataclass(frozen=True, kw_only=True)
class ZoneOrder:
    """A zone was ordered to be emptied, or to be taken back."""

    is_emptied: bool


@dataclass(frozen=True, kw_only=True)
class ZoneRead:
    """It was read whether a zone is emptied."""

    is_emptied: bool


class Zone:
    """Whether one zone is emptied. Zones don't touch each other, so each is checked by itself."""

    initial = False

    def step(self, *, state: bool, call: Hashable) -> bool | None:
        """The state after the call; None if its answer can't be got in this state."""
        match call:
            case ZoneOrder(is_emptied=is_emptied):
                return is_emptied
            case ZoneRead(is_emptied=is_emptied):
                return state if state == is_emptied else None
        raise TypeError(call)

    def is_read(self, *, call: Hashable) -> bool:
        """Does this call leave every state as it is?"""
        return isinstance(call, ZoneRead)


def canonical(*, config: object) -> str:
    """One text for one content."""
    return json.dumps(config, sort_keys=True, separators=(",", ":"), default=repr)


def digest(*, content: object) -> str:
    """A short word for a content."""
    return hashlib.blake2b(repr(content).encode(), digest_size=8).hexdigest()


@functools.lru_cache(maxsize=256)
def _patch(*, content: str, patch: str) -> str:
    return canonical(config=merge_patch(target=json.loads(content), patch=json.loads(patch)))
