"""The controller's disk: one append-only file of checksummed frames, synced, rewritten when long."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import json
import os
import queue
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from sailward import constants
from sailward.events import DiskFailed, Rewrite, Store, Synced

HEAD = struct.Struct(">4sII")
MAGIC = b"swf1"
RECORDS = frozenset({"identity", "copied", "opened", "left", "promise", "vote", "drop"})


@dataclass(frozen=True, kw_only=True)
class Damaged:
    """The file is damaged before its end."""

    offset: int


@dataclass(frozen=True, kw_only=True)
class Newer:
    """The file was written by a newer version, in a form or with records that this one can't read."""

    what: str


@dataclass(frozen=True, kw_only=True)
class Taken:
    """Another process uses the folder."""

    folder: str


@dataclass(frozen=True, kw_only=True)
class Read:
    """The records, and how long the sound part of the file is."""

    records: list
    length: int


def pack_frame(*, records: tuple | list) -> bytes:
    """The frame of these records: one frame is one sync."""
    body = json.dumps(list(records), separators=(",", ":")).encode()
    return HEAD.pack(MAGIC, len(body), zlib.crc32(body)) + body


def read_frames(*, data: bytes) -> Read | Damaged | Newer:
    """All records. A torn last frame is left out; a bad one with a sound one behind it is damage."""
    records, at = [], 0
    while at < len(data):
        body = _body_at(data=data, at=at)
        if body is None:
            if _is_newer(data=data, at=at):
                return Newer(what=f"form {data[at : at + len(MAGIC)].decode('ascii')}")
            follows = data.find(MAGIC, at + 1)
            while follows >= 0:
                if _body_at(data=data, at=follows) is not None:
                    return Damaged(offset=at)
                follows = data.find(MAGIC, follows + 1)
            break
        records += json.loads(body)
        at += HEAD.size + len(body)
    unknown = sorted({str(record["k"]) for record in records} - RECORDS)
    if unknown:
        return Newer(what=f"records {','.join(unknown)}")
    return Read(records=records, length=at)


def _is_newer(*, data: bytes, at: int) -> bool:
    """Does a frame of another form stand here? In the middle only if it is whole: a torn one may look like anything."""
    magic = data[at : at + len(MAGIC)]
    is_other = len(magic) == len(MAGIC) and magic != MAGIC and magic[:3] == MAGIC[:3] and magic[3:].isdigit()
    return is_other and (at == 0 or _body_at(data=MAGIC + data[at + len(MAGIC) :], at=0) is not None)


def _body_at(*, data: bytes, at: int) -> bytes | None:
    if at + HEAD.size > len(data):
        return None
    magic, length, check = HEAD.unpack_from(data, at)
    body = data[at + HEAD.size : at + HEAD.size + length]
    return body if magic == MAGIC and len(body) == length and zlib.crc32(body) == check else None


class Disk:
    """Task that owns the data folder. `run` writes what is in its line until told to end."""

    def __init__(self, *, folder: Path, tell: Callable[[object], None]) -> None:
        self._folder, self._tell = folder, tell
        self._line: queue.Queue = queue.Queue()
        self._file = -1
        self._length = 0

    def open(self) -> Read | Damaged | Newer | Taken:
        """Lock the folder and read what it holds."""
        self._folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return Taken(folder=str(self._folder))
        path = self._folder / "registers"
        found = read_frames(data=path.read_bytes() if path.exists() else b"")
        if isinstance(found, (Damaged, Newer)):
            return found
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._file, found.length)
        os.lseek(self._file, found.length, os.SEEK_SET)
        os.fsync(self._file)
        self._length = found.length
        self._sync_folder()
        self._make_reserve()
        return found

    def give(self, *, command: Store | Rewrite) -> None:
        """Put a command in line."""
        self._line.put(command)

    def run(self) -> None:
        """Write and sync, many stores at a time, for ever."""
        while True:
            batch = [self._line.get()]
            while not isinstance(batch[-1], Rewrite):
                try:
                    batch.append(self._line.get_nowait())
                except queue.Empty:
                    break
            stores = [one for one in batch if isinstance(one, Store)]
            if stores:
                self._append(stores=stores)
            if isinstance(batch[-1], Rewrite):
                self._rewrite(command=batch[-1])

    def _append(self, *, stores: list[Store]) -> None:
        frame = pack_frame(records=[record for store in stores for record in store.records])
        try:
            view = memoryview(frame)
            while view:
                view = view[os.write(self._file, view) :]
        except OSError as fault:
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, self._length)
                os.lseek(self._file, self._length, os.SEEK_SET)
            full = fault.errno in (errno.ENOSPC, errno.EDQUOT)
            return self._tell(DiskFailed(seq=stores[-1].seq, full=full, reason=str(fault)))
        try:
            os.fsync(self._file)
        except OSError as fault:
            return self._tell(DiskFailed(seq=stores[-1].seq, full=False, reason=str(fault)))
        self._length += len(frame)
        return self._tell(Synced(seq=stores[-1].seq))

    def _rewrite(self, *, command: Rewrite) -> None:
        path, fresh = self._folder / "registers", self._folder / "registers.new"
        with contextlib.suppress(OSError):
            (self._folder / "reserve").unlink()
        frame = pack_frame(records=command.records)
        try:
            file = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            view = memoryview(frame)
            while view:
                view = view[os.write(file, view) :]
        except OSError as fault:
            return self._tell(DiskFailed(seq=command.seq, full=True, reason=str(fault)))
        try:
            os.fsync(file)
            os.rename(fresh, path)
            self._sync_folder()
        except OSError as fault:
            return self._tell(DiskFailed(seq=command.seq, full=False, reason=str(fault)))
        os.close(self._file)
        self._file, self._length = file, len(frame)
        self._make_reserve()
        return self._tell(Synced(seq=command.seq))

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)

    def _make_reserve(self) -> None:
        path = self._folder / "reserve"
        if path.exists() and path.stat().st_size == constants.RESERVE_BYTES:
            return
        try:
            file = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
            os.posix_fallocate(file, 0, constants.RESERVE_BYTES)
            os.close(file)
        except OSError:
            with contextlib.suppress(OSError):
                path.unlink()
