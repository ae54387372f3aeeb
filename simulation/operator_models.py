"""Sequential models of operators' calls on the registers, for the linearizability check."""

from __future__ import annotations

import functools
import hashlib
import json
from collections.abc import Hashable
from dataclasses import dataclass

from simulation.rules.meaning import merge_patch


@dataclass(frozen=True, kw_only=True)
class LabelledChange:
    """A configuration that replaces the version `base` and becomes the version `label`."""

    base: int
    label: int
    content: str


@dataclass(frozen=True, kw_only=True)
class LabelledConflict:
    """A change that was refused because another one had already replaced `base`."""

    base: int


@dataclass(frozen=True, kw_only=True)
class LabelledRead:
    """The configuration was read: its version and content; version 0 if there is none."""

    label: int
    content: str = ""


class LabelledRegister:
    """A configuration to which operators give increasing versions; its state is (version, content)."""

    initial = (0, "")

    def step(self, *, state: tuple, call: Hashable) -> tuple | None:
        """The state after the call; None if its answer is impossible in this state."""
        match call:
            case LabelledChange(base=base, label=label, content=content):
                return (label, content) if state[0] == base < label else None
            case LabelledConflict(base=base):
                return state if state[0] > base else None
            case LabelledRead(label=label, content=content):
                return state if state == (label, content) else None
        raise TypeError(call)

    def is_read(self, *, call: Hashable) -> bool:
        """Whether this call leaves every state unchanged."""
        return not isinstance(call, LabelledChange)


@dataclass(frozen=True, kw_only=True)
class NumberedChange:
    """A configuration, or a patch of one, as JSON.

    It got `number`, or an unknown one if that is None. With `expected`, it applies only on top of that number.
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
    """A configuration to which the product gives numbers; its state is (number, content as JSON)."""

    initial = (0, "null")

    def step(self, *, state: tuple, call: Hashable) -> tuple | None:
        """The state after the call; None if its answer is impossible in this state."""
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
        """Whether this call leaves every state unchanged."""
        return isinstance(call, NumberedRead)


@dataclass(frozen=True, kw_only=True)
class ZoneOrder:
    """An order to evacuate a zone, or to take it back."""

    is_emptied: bool


@dataclass(frozen=True, kw_only=True)
class ZoneRead:
    """A read of whether a zone is evacuated."""

    is_emptied: bool


class Zone:
    """Whether one zone is evacuated. Zones are independent, so each is checked by itself."""

    initial = False

    def step(self, *, state: bool, call: Hashable) -> bool | None:
        """The state after the call; None if its answer is impossible in this state."""
        match call:
            case ZoneOrder(is_emptied=is_emptied):
                return is_emptied
            case ZoneRead(is_emptied=is_emptied):
                return state if state == is_emptied else None
        raise TypeError(call)

    def is_read(self, *, call: Hashable) -> bool:
        """Whether this call leaves every state unchanged."""
        return isinstance(call, ZoneRead)


def canonical(*, config: object) -> str:
    """The same text for the same content."""
    return json.dumps(config, sort_keys=True, separators=(",", ":"), default=repr)


def digest(*, content: object) -> str:
    """A short hash of a content."""
    return hashlib.blake2b(repr(content).encode(), digest_size=8).hexdigest()


@functools.lru_cache(maxsize=256)
def _patch(*, content: str, patch: str) -> str:
    return canonical(config=merge_patch(target=json.loads(content), patch=json.loads(patch)))
