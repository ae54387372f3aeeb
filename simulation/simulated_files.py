"""An in-memory data folder; a loss of power may drop each unsynced write and each unsynced name independently."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

LOST, TORN, COMPLETE = "lost", "torn", "whole"
"""Outcomes of an unsynced write when power is lost."""


class PowerLost(BaseException):
    """Raised by the call before which power is lost."""


@dataclass(kw_only=True)
class Inode:
    """The bytes of a file: durable content, current content, and the unsynced writes and truncations.

    An unsynced entry is (offset, data), or (length, None) for a truncation.
    """

    durable: bytes = b""
    current: bytearray = field(default_factory=bytearray)
    unsynced: list[tuple[int, bytes | None]] = field(default_factory=list)

    def write(self, *, offset: int, data: bytes) -> None:
        """Write at an offset; a gap is filled with zeros."""
        _write(content=self.current, offset=offset, data=data)
        self.unsynced.append((offset, bytes(data)))

    def truncate(self, *, length: int) -> None:
        """Set the length."""
        _truncate(content=self.current, length=length)
        self.unsynced.append((length, None))

    def sync(self) -> None:
        """Make the current content durable."""
        self.durable, self.unsynced = bytes(self.current), []


@dataclass(frozen=True, kw_only=True)
class NameChange:
    """A file was created, renamed or removed, and the folder is not synced yet."""

    kind: str
    name: str
    inode: Inode
    old: str = ""


class SimulatedFiles:
    """Implements the calls of `sailward.storage.files.Files` in memory.

    `free_bytes` are the bytes that may still be written, None for no limit. `steps` counts the calls that change
    something. `lose_power_at` is the number of the call before which power is lost.
    """

    def __init__(self) -> None:
        self.names: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.changes: list[NameChange] = []
        self.handles: dict[int, Inode] = {}
        self.next_handle = 3
        self.steps = 0
        self.lose_power_at = -1
        self.free_bytes: int | None = None

    def make_folder(self) -> None:
        """The folder always exists."""

    def lock(self, *, name: str) -> bool:
        """Always succeeds."""
        return True

    def read(self, *, name: str) -> bytes:
        """The content of a file; empty if there is none."""
        return bytes(self.names[name].current) if name in self.names else b""

    def size(self, *, name: str) -> int:
        """The length of a file in bytes."""
        return len(self.read(name=name))

    def open(self, *, name: str, is_empty: bool = False) -> int:
        """Open a file; create it if it is missing, truncate it if `is_empty`."""
        self._count_call()
        if name not in self.names:
            self.names[name] = Inode()
            self.changes.append(NameChange(kind="made", name=name, inode=self.names[name]))
        elif is_empty:
            self.names[name].truncate(length=0)
        handle, self.next_handle = self.next_handle, self.next_handle + 1
        self.handles[handle] = self.names[name]
        return handle

    def write_at(self, *, file: int, data: bytes, offset: int) -> None:
        """Write as much as fits; ENOSPC if that is not all."""
        self._count_call()
        allowed = len(data) if self.free_bytes is None else min(self.free_bytes, len(data))
        if allowed:
            self.handles[file].write(offset=offset, data=data[:allowed])
        if self.free_bytes is not None:
            self.free_bytes -= allowed
        if allowed < len(data):
            raise OSError(errno.ENOSPC, "no room")

    def truncate(self, *, file: int, length: int) -> None:
        """Set the length; refused on a full disk."""
        self._count_call()
        if self.free_bytes == 0:
            raise OSError(errno.ENOSPC, "no room")
        self.handles[file].truncate(length=length)

    def sync(self, *, file: int) -> None:
        """Make the file durable, and the name of a new file with it."""
        self._count_call()
        inode = self.handles[file]
        inode.sync()
        for change in [change for change in self.changes if change.kind == "made" and change.inode is inode]:
            _apply(names=self.durable, change=change)
            self.changes.remove(change)

    def close(self, *, file: int) -> None:
        """Close a file."""
        del self.handles[file]

    def rename(self, *, old: str, new: str) -> None:
        """Rename a file, replacing the target."""
        self._count_call()
        change = NameChange(kind="renamed", name=new, inode=self.names[old], old=old)
        _apply(names=self.names, change=change)
        self.changes.append(change)

    def remove(self, *, name: str) -> None:
        """Remove a file if it is there."""
        if name not in self.names:
            return
        self._count_call()
        change = NameChange(kind="removed", name=name, inode=self.names[name])
        _apply(names=self.names, change=change)
        self.changes.append(change)

    def sync_names(self) -> None:
        """Make all names durable."""
        self._count_call()
        self.durable, self.changes = dict(self.names), []

    def allocate(self, *, name: str, length: int) -> None:
        """Reserve space: not modelled, but the file is created."""
        file = self.open(name=name)
        self.close(file=file)

    def count_undecided(self) -> int:
        """The number of choices that `lose_power` makes now: each changed name, then each unsynced write."""
        return len(self.changes) + sum(len(inode.unsynced) for inode in self._inodes())

    def lose_power(self, *, choose: Callable[[tuple], object]) -> None:
        """Revert to the durable state.

        `choose` decides for each changed name (True: kept) and each unsynced write (COMPLETE, LOST, TORN).
        """
        inodes = self._inodes()
        names = dict(self.durable)
        for change in self.changes:
            if choose((True, False)):
                _apply(names=names, change=change)
        for inode in inodes:
            content = bytearray(inode.durable)
            for offset, data in inode.unsynced:
                outcome = choose((COMPLETE, LOST, TORN))
                if outcome == LOST:
                    continue
                if data is None:
                    _truncate(content=content, length=offset)
                else:
                    _write(content=content, offset=offset, data=data if outcome == COMPLETE else data[: len(data) // 2])
            inode.current, inode.durable, inode.unsynced = content, bytes(content), []
        self.names, self.durable, self.changes, self.handles = names, dict(names), [], {}
        self.lose_power_at = -1

    def wipe(self) -> None:
        """Remove all files."""
        self.names, self.durable, self.changes, self.handles = {}, {}, [], {}

    def _inodes(self) -> list[Inode]:
        inodes = [*self.names.values(), *self.durable.values(), *(change.inode for change in self.changes)]
        return list({id(inode): inode for inode in inodes}.values())

    def _count_call(self) -> None:
        if self.steps == self.lose_power_at:
            raise PowerLost
        self.steps += 1


def _apply(*, names: dict, change: NameChange) -> None:
    if change.kind == "removed":
        if names.get(change.name) is change.inode:
            del names[change.name]
        return
    names[change.name] = change.inode
    if change.old and names.get(change.old) is change.inode:
        del names[change.old]


def _write(*, content: bytearray, offset: int, data: bytes) -> None:
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


def _truncate(*, content: bytearray, length: int) -> None:
    if len(content) < length:
        content.extend(bytes(length - len(content)))
    del content[length:]
