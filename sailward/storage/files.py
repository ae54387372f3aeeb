"""The calls to the operating system that the data folder needs, in one place, so that tests can stand in for a disk."""

from __future__ import annotations

import contextlib
import fcntl
import os
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True)
class Files:
    """The files of one folder. Each method raises OSError as the system gives it."""

    folder: Path

    def make_folder(self) -> None:
        """Make the folder if it is not there; its name lasts when this returns."""
        if self.folder.is_dir():
            return
        self.folder.mkdir(parents=True, exist_ok=True)
        _sync_folder(path=self.folder.parent)

    def lock(self, *, name: str) -> bool:
        """Take the lock for as long as the process lives; False if another process has it."""
        file = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return False
        return True

    def read(self, *, name: str) -> bytes:
        """All bytes of a file; none if it is not there."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else b""

    def open(self, *, name: str, is_empty: bool = False) -> int:
        """Open a file for writing, made if it is not there; with `is_empty` what it held is dropped."""
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | (os.O_TRUNC if is_empty else 0), 0o600)

    def write_at(self, *, file: int, data: bytes, offset: int) -> None:
        """Write all the bytes at this offset, however many calls that takes."""
        view = memoryview(data)
        while view:
            written = os.pwrite(file, view, offset)
            view, offset = view[written:], offset + written

    def truncate(self, *, file: int, length: int) -> None:
        """Cut the file to this length."""
        os.ftruncate(file, length)

    def sync(self, *, file: int) -> None:
        """What was written to the file lasts when this returns."""
        os.fsync(file)

    def close(self, *, file: int) -> None:
        """Close a file."""
        os.close(file)

    def rename(self, *, old: str, new: str) -> None:
        """Put a file in another's place, in one step."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, *, name: str) -> None:
        """Remove a file if it is there."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def sync_names(self) -> None:
        """The names made, changed and removed in the folder last when this returns."""
        _sync_folder(path=self.folder)

    def size(self, *, name: str) -> int:
        """Bytes of a file, 0 if it is not there."""
        path = self.folder / name
        return path.stat().st_size if path.exists() else 0

    def allocate(self, *, name: str, length: int) -> None:
        """Make a file that takes this much room on the disk."""
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
