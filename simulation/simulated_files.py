"""A data folder in memory that forgets at a loss of power what was not synced, each write and each name by itself."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

LOST, TORN, COMPLETE = "lost", "torn", "whole"
"""What becomes of a write that was not synced, when power is lost."""


class PowerLost(BaseException):
    """Power is lost in the middle of what the process does."""


@dataclass(kw_only=True)
class Inode:
    """A file's bytes: what lasts, and the writes and cuts since."""

    durable: bytes = b""
    current: bytearray = field(default_factory=bytearray)
    unsynced: list[tuple[int, bytes | None]] = field(default_factory=list)

    def write(self, *, offset: int, data: bytes) -> None:
        """Write at an offset; what lies between is zero."""
        _write(content=self.current, offset=offset, data=data)
        self.unsynced.append((offset, bytes(data)))

    def truncate(self, *, length: int) -> None:
        """Set the length."""
        _truncate(content=self.current, length=length)
        self.unsynced.append((length, None))

    def sync(self) -> None:
        """All of it lasts."""
        self.durable, self.unsynced = bytes(self.current), []


@dataclass(frozen=True, kw_only=True)
class NameChange:
    """A file made, renamed or removed; its folder is not synced yet."""

    kind: str
    name: str
    inode: Inode
    old: str = ""


class SimulatedFiles:
    """The calls of `sailward.storage.files.Files` on memory.

    `room` are the bytes that may still be written, None for no bound.

    `lose_power_at` is the number of the call before which power is lost; calls that only read don't count.
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
        """It is there."""

    def lock(self, *, name: str) -> bool:
        """Always granted."""
        return True

    def read(self, *, name: str) -> bytes:
        """All bytes of a file."""
        return bytes(self.names[name].current) if name in self.names else b""

    def size(self, *, name: str) -> int:
        """Bytes of a file."""
        return len(self.read(name=name))

    def open(self, *, name: str, is_empty: bool = False) -> int:
        """Open, make or empty a file."""
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
        """Write as much as there is room for."""
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
        """The file lasts, and a new one's name with it."""
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
        """Put a file in another's place."""
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
        """All names last."""
        self._count_call()
        self.durable, self.changes = dict(self.names), []

    def allocate(self, *, name: str, length: int) -> None:
        """Room kept aside: it is not modelled, but its file is made."""
        file = self.open(name=name)
        self.close(file=file)

    def count_undecided(self) -> int:
        """How many choices a loss of power has now: each changed name, then each write of each file."""
        return len(self.changes) + sum(len(inode.unsynced) for inode in self._inodes())

    def lose_power(self, *, choose: Callable[[tuple], object]) -> None:
        """Go back to what lasts; `choose` picks what becomes of each name (True.

        Kept) and each write (LOST, TORN, WHOLE).
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
        """All files are gone."""
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
