"""The system calls on the data folder, in one place, so that tests can simulate a disk."""

from __future__ import annotations

import contextlib
import fcntl
import os
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True)
class Files:
    """The files of one folder. Each method raises the operating system's OSError."""

    folder: Path

    def make_folder(self) -> None:
        """Create the folder if it does not exist; its directory entry is durable when this returns."""
        if self.folder.is_dir():
            return
        self.folder.mkdir(parents=True, exist_ok=True)
        _sync_folder(path=self.folder.parent)

    def lock(self, *, name: str) -> bool:
        """Take the lock for the lifetime of the process; False if another process holds it."""
        file = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return False
        return True

    def read(self, *, name: str) -> bytes:
        """All bytes of a file; empty if it does not exist."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else b""

    def open(self, *, name: str, is_empty: bool = False) -> int:
        """Open a file for writing and create it if it does not exist; with `is_empty` it is truncated."""
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | (os.O_TRUNC if is_empty else 0), 0o600)

    def write_at(self, *, file: int, data: bytes, offset: int) -> None:
        """Write all bytes at this offset, with as many calls as needed."""
        view = memoryview(data)
        while view:
            written = os.pwrite(file, view, offset)
            view, offset = view[written:], offset + written

    def truncate(self, *, file: int, length: int) -> None:
        """Truncate the file to this length."""
        os.ftruncate(file, length)

    def sync(self, *, file: int) -> None:
        """Make the file's contents durable."""
        os.fsync(file)

    def close(self, *, file: int) -> None:
        """Close a file."""
        os.close(file)

    def rename(self, *, old: str, new: str) -> None:
        """Replace a file by another one, atomically."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, *, name: str) -> None:
        """Remove a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def sync_names(self) -> None:
        """Make the folder's created, renamed and removed entries durable."""
        _sync_folder(path=self.folder)

    def size(self, *, name: str) -> int:
        """Size of a file in bytes, 0 if it does not exist."""
        path = self.folder / name
        return path.stat().st_size if path.exists() else 0

    def allocate(self, *, name: str, length: int) -> None:
        """Create a file that occupies this many bytes of disk space."""
        file = self.open(name=name)
        try:
            os.posix_fallocate(file, 0, length)
        finally:
            os.close(file)


def _sync_folder(*, path: Path) -> None:
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
