"""The controller's storage: one append-only file of checksummed frames, synced, and rewritten when it is long."""

from __future__ import annotations

import contextlib
import errno
import json
import queue
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from sailward import constants
from sailward.events import AppendRecords, DiskWriteFailed, RecordsSynced, RewriteRecords
from sailward.storage.files import Files
from sailward.storage.records import RECORD_CHECKS, is_record

DATA_FILE = "registers"
"""Name of the data file."""
NEW_DATA_FILE = "registers.new"
"""Name of the file that a rewrite writes before renaming it to the data file."""
RESERVE_FILE = "reserve"
"""Name of the file that reserves space for a rewrite on a full disk."""
LOCK_FILE = "lock"
"""Name of the file that is locked by the process using the folder."""
FRAME_HEADER = struct.Struct(">4sII")
"""Header of a frame: MAGIC, length of the body in bytes, CRC-32 of the body."""
MAGIC = b"swf1"
"""Begins each frame; its last character is the format version."""


@dataclass(frozen=True, kw_only=True)
class DamagedFile:
    """The file is damaged before its end, or holds invalid records."""

    offset: int


@dataclass(frozen=True, kw_only=True)
class NewerFormat:
    """The file was written by a newer version, in a format or with records that this version can't read."""

    unsupported: str


@dataclass(frozen=True, kw_only=True)
class FolderInUse:
    """Another process uses the folder."""

    folder: str


@dataclass(frozen=True, kw_only=True)
class FileContents:
    """The records, and the length of the valid part of the file in bytes."""

    records: list
    length: int


def pack_frame(*, records: tuple | list) -> bytes:
    """Encode records as a frame; each frame is written by one append and sync."""
    body = json.dumps(list(records), separators=(",", ":")).encode()
    return FRAME_HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def read_frames(*, data: bytes) -> FileContents | DamagedFile | NewerFormat:
    """Read all records. A torn last frame is ignored; an invalid frame with a valid one after it is damage."""
    records, offset = [], 0
    while offset < len(data):
        body = _read_frame_body(data=data, offset=offset)
        if body is None:
            if _is_newer_format(data=data, offset=offset):
                return NewerFormat(unsupported=f"form {data[offset : offset + len(MAGIC)].decode('ascii')}")
            follows = data.find(MAGIC, offset + 1)
            while follows >= 0:
                if _read_frame_body(data=data, offset=follows) is not None:
                    return DamagedFile(offset=offset)
                follows = data.find(MAGIC, follows + 1)
            break
        found = _records_in(body=body)
        if found is None:
            return DamagedFile(offset=offset)
        records += found
        offset += FRAME_HEADER.size + len(body)
    unknown = sorted({record["k"] for record in records} - set(RECORD_CHECKS))
    if unknown:
        return NewerFormat(unsupported=f"records {','.join(unknown)}")
    return FileContents(records=records, length=offset)


def _records_in(*, body: bytes) -> list | None:
    """The records of a frame; None if its body is no list of records although the checksum matches."""
    try:
        found = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, list) and all(map(is_record, found)) else None


def _is_newer_format(*, data: bytes, offset: int) -> bool:
    """Is this a frame of a newer format? After the start only if it is complete: a torn one may look like anything."""
    magic = data[offset : offset + len(MAGIC)]
    is_other_version = len(magic) == len(MAGIC) and magic != MAGIC and magic[:3] == MAGIC[:3] and magic[3:].isdigit()
    return is_other_version and (
        offset == 0 or _read_frame_body(data=MAGIC + data[offset + len(MAGIC) :], offset=0) is not None
    )


def _read_frame_body(*, data: bytes, offset: int) -> bytes | None:
    if offset + FRAME_HEADER.size > len(data):
        return None
    magic, length, checksum = FRAME_HEADER.unpack_from(data, offset)
    body = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
    return body if magic == MAGIC and len(body) == length and zlib.crc32(body) == checksum else None


class Disk:
    """Task that owns the data folder. `run` writes the queued commands forever.

    At most one write to the data file is unsynced at any time: a loss of power can tear only the last frame.
    """

    def __init__(self, *, folder: Path, deliver: Callable[[object], None], files: Files | None = None) -> None:
        self._files, self._deliver = files or Files(folder=folder), deliver
        self._folder = folder
        self._queue: queue.Queue = queue.Queue()
        self._file = -1
        self._length = 0

    def open(self) -> FileContents | DamagedFile | NewerFormat | FolderInUse:
        """Lock the folder and read the data file."""
        self._files.make_folder()
        if not self._files.lock(name=LOCK_FILE):
            return FolderInUse(folder=str(self._folder))
        found = read_frames(data=self._files.read(name=DATA_FILE))
        if isinstance(found, (DamagedFile, NewerFormat)):
            return found
        self._file, self._length = self._files.open(name=DATA_FILE), found.length
        self._files.truncate(file=self._file, length=found.length)
        self._files.sync(file=self._file)
        self._files.remove(name=NEW_DATA_FILE)
        self._files.sync_names()
        self._make_reserve()
        return found

    def submit(self, *, command: AppendRecords | RewriteRecords) -> None:
        """Queue a command."""
        self._queue.put(command)

    def close(self) -> None:
        """Close the data file; queued commands are not written."""
        if self._file >= 0:
            self._files.close(file=self._file)
            self._file = -1

    def run(self) -> None:
        """Write and sync forever, with many appends in one batch."""
        while True:
            self.run_batch()

    def run_pending(self) -> None:
        """Carry out the commands queued now."""
        while not self.is_idle():
            self.run_batch()

    def run_batch(self) -> None:
        """Carry out the next batch; waits for one if there is none."""
        self._carry_out(batch=self._next_batch())

    def is_idle(self) -> bool:
        """Is the queue empty?"""
        return self._queue.empty()

    def _next_batch(self) -> list:
        batch = [self._queue.get()]
        while not isinstance(batch[-1], RewriteRecords):
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return batch

    def _carry_out(self, *, batch: list) -> None:
        appends = [command for command in batch if isinstance(command, AppendRecords)]
        if appends:
            self._append(appends=appends)
        if isinstance(batch[-1], RewriteRecords):
            self._rewrite(command=batch[-1])

    def _append(self, *, appends: list[AppendRecords]) -> None:
        frame = pack_frame(records=[record for append in appends for record in append.records])
        try:
            # at the end of the valid part: this overwrites what a failed earlier write left after it
            self._files.write_at(file=self._file, data=frame, offset=self._length)
        except OSError as error:
            with contextlib.suppress(OSError):
                self._files.truncate(file=self._file, length=self._length)
            return self._deliver(
                DiskWriteFailed(seq=appends[-1].seq, full=_is_out_of_space(error=error), reason=str(error))
            )
        try:
            self._files.sync(file=self._file)
        except OSError as error:
            return self._deliver(DiskWriteFailed(seq=appends[-1].seq, full=False, reason=str(error)))
        self._length += len(frame)
        return self._deliver(RecordsSynced(seq=appends[-1].seq))

    def _rewrite(self, *, command: RewriteRecords) -> None:
        frame = pack_frame(records=command.records)
        try:
            file = self._write_new_file(frame=frame)
        except OSError as error:
            return self._deliver(DiskWriteFailed(seq=command.seq, full=True, reason=str(error)))
        try:
            self._files.sync(file=file)
            self._files.rename(old=NEW_DATA_FILE, new=DATA_FILE)
            self._files.sync_names()
        except OSError as error:
            return self._deliver(DiskWriteFailed(seq=command.seq, full=False, reason=str(error)))
        self._files.close(file=self._file)
        self._file, self._length = file, len(frame)
        self._make_reserve()
        return self._deliver(RecordsSynced(seq=command.seq))

    def _write_new_file(self, *, frame: bytes) -> int:
        """Write the new file and return it open; if there is no space, remove the reserve and try again."""
        try:
            return self._try_write_new_file(frame=frame)
        except OSError:
            self._files.remove(name=RESERVE_FILE)
            return self._try_write_new_file(frame=frame)

    def _try_write_new_file(self, *, frame: bytes) -> int:
        file = self._files.open(name=NEW_DATA_FILE, is_empty=True)
        try:
            self._files.write_at(file=file, data=frame, offset=0)
        except OSError:
            # release its descriptor and its space: the rewrite is tried again within a second
            self._files.close(file=file)
            with contextlib.suppress(OSError):
                self._files.remove(name=NEW_DATA_FILE)
            raise
        return file

    def _make_reserve(self) -> None:
        try:
            if self._files.size(name=RESERVE_FILE) != constants.DISK_RESERVE_BYTES:
                self._files.allocate(name=RESERVE_FILE, length=constants.DISK_RESERVE_BYTES)
        except OSError:
            with contextlib.suppress(OSError):
                self._files.remove(name=RESERVE_FILE)


def _is_out_of_space(*, error: OSError) -> bool:
    return error.errno in (errno.ENOSPC, errno.EDQUOT)
