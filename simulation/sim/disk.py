"""The simulated disk, seeded: unsynced writes may be lost or torn, and the disk may be full, wiped or damaged."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailward.events import AppendRecords, RewriteRecords
from sailward.storage.disk import DamagedFile, FileContents, pack_frame, read_frames


@dataclass(kw_only=True)
class Disk:
    """The data file of one controller, in the product's own format."""

    rng: random.Random
    synced: bytes = b""
    pending: list = field(default_factory=list)
    is_full: bool = False
    sync_fails: bool = False
    delay_factor: float = 1.0
    room: int = 0
    has_reserve: bool = True

    def claim_room(self, *, command: AppendRecords | RewriteRecords) -> bool:
        """Whether the command's bytes fit. On a full disk the reserve admits one rewrite and 40 appends."""
        if not self.is_full:
            self.has_reserve = self.has_reserve or isinstance(command, RewriteRecords)
            return True
        if isinstance(command, RewriteRecords):
            was_reserved, self.has_reserve = self.has_reserve, False
            self.room += 40 if was_reserved else 0
            return was_reserved
        self.room -= 1
        return self.room >= 0

    def write(self, *, command: AppendRecords | RewriteRecords) -> float:
        """Queue the command; returns how long its sync takes, in s."""
        self.pending.append(command)
        return self.delay_factor * self.rng.uniform(0.001, 0.006)

    def sync(self, *, command: AppendRecords | RewriteRecords) -> None:
        """Make the command's bytes durable."""
        self.pending.remove(command)
        frame = pack_frame(records=command.records)
        self.synced = frame if isinstance(command, RewriteRecords) else self.synced + frame

    def lose_power(self) -> None:
        """Keep a random prefix of the unsynced appends, the last one perhaps torn."""
        for command in self.pending:
            if isinstance(command, RewriteRecords):
                continue
            frame = pack_frame(records=command.records)
            kept_bytes = self.rng.randrange(len(frame) + 1)
            self.synced += frame[:kept_bytes]
            if kept_bytes < len(frame):
                break
        self.pending.clear()

    def kill(self) -> None:
        """End the process: its written appends are kept with probability 0.7 each, up to the first that is not."""
        for command in self.pending:
            if isinstance(command, AppendRecords) and self.rng.random() < 0.7:
                self.synced += pack_frame(records=command.records)
            else:
                break
        self.pending.clear()

    def wipe(self) -> None:
        """Remove all data."""
        self.synced = b""
        self.pending.clear()

    def damage(self) -> None:
        """Corrupt one byte inside the file."""
        index = len(self.synced) // 3
        self.synced = self.synced[:index] + bytes([self.synced[index] ^ 0x5A]) + self.synced[index + 1 :]

    def read(self) -> FileContents | DamagedFile:
        """Read the file as at a start; a torn end is truncated."""
        found = read_frames(data=self.synced)
        if isinstance(found, FileContents):
            self.synced = self.synced[: found.length]
        return found
