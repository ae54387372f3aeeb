"""A controller's records on disk, synced in order, and the replies that wait for the sync."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import KNOWN, slot_records
from sailward.events import (
    AppendRecords,
    Command,
    DiskWriteFailed,
    ExitProcess,
    LogEvent,
    RecordsSynced,
    RewriteRecords,
)
from sailward.wire_types import Ballot, RegisterValue


@dataclass(kw_only=True)
class WriteAhead:
    """Owner of the order between records and replies: a reply leaves only after the records before it are synced.

    `copied` is true if the slots hold all values chosen up to the voter set numbered `under`. `opened` is the number
    of the last disaster recovery completed here, `known` the stored record of the chosen voter set. `rewriting` is the
    sequence number of the file rewrite in progress, 0 if there is none. Sizes are in bytes.
    """

    identity: str
    slots: dict
    copied: bool = False
    under: int = 0
    opened: int = 0
    known: dict | None = None
    seq: int = 0
    synced: int = 0
    count: int = 0
    size: int = 0
    live_size: int = 0
    rewrites: int = 0
    usable: bool = True
    rewriting: int = 0
    waiting: deque = field(default_factory=deque)

    def step(self, *, records: list, replies: list) -> list[Command]:
        """Store the records; hold the replies back until everything stored before them is synced."""
        commands: list = []
        if records:
            self.seq, self.count = self.seq + 1, self.count + len(records)
            self.size += estimate_bytes(records=records)
            commands.append(AppendRecords(seq=self.seq, records=tuple(records)))
        if replies and self.synced >= self.seq:
            return commands + replies
        if replies:
            self.waiting.append((self.seq, replies))
        if not self.rewriting and self._needs_rewrite():
            commands.append(self.rewrite())
        return commands

    def start(self, *, records: list) -> None:
        """Count the records read at startup as the content of the file.

        Otherwise the file would grow with each restart, as records from before would not count towards a rewrite.
        """
        self.count, self.size = len(records), estimate_bytes(records=records)
        self.live_size = estimate_bytes(records=self._live_records())

    def _needs_rewrite(self) -> bool:
        max_records = max(constants.REWRITE_MIN_RECORDS, constants.REWRITE_FACTOR * (len(self.slots) + 1))
        max_bytes = max(constants.REWRITE_THRESHOLD_BYTES, constants.REWRITE_FACTOR * self.live_size)
        return self.count > max_records or self.size > max_bytes

    def know(self, *, ballot: Ballot, value: RegisterValue) -> list[Command]:
        """Store the chosen voter set; after a restart these voters are asked for any newer set."""
        self.known = {"k": "promise", "r": KNOWN, "b": ballot, "v": value}
        return self.step(records=[self.known], replies=[]) if self.usable else []

    def copied_record(self) -> dict:
        """The record that the copy is complete, and under which voter set."""
        return {"k": "copied", "n": self.under}

    def rewrite(self) -> RewriteRecords:
        """Rewrite the file with the live records only."""
        records = self._live_records()
        self.seq += 1
        self.rewriting, self.count, self.rewrites = self.seq, len(records), self.rewrites + 1
        self.size = self.live_size = estimate_bytes(records=records)
        return RewriteRecords(seq=self.seq, records=tuple(records))

    def _live_records(self) -> list:
        records = [
            {"k": "identity", "id": self.identity},
            *([self.copied_record()] if self.copied else []),
            *([{"k": "opened", "n": self.opened}] if self.opened else []),
            *([self.known] if self.known else []),
        ]
        for name, slot in self.slots.items():
            records += slot_records(name=name, slot=slot)
        return records

    def receive(self, *, event: RecordsSynced | DiskWriteFailed) -> list[Command]:
        """Handle the result of a write: release the pending replies, or drop them for good if it failed."""
        if isinstance(event, DiskWriteFailed):
            self.usable, self.rewriting = False, 0
            self.waiting.clear()
            log = LogEvent(event="disk-failed", fields={"full": event.full, "reason": event.reason})
            # after a failed sync no later result on this file descriptor can be trusted
            return [log] if event.full else [log, ExitProcess(code=constants.EXIT_DISK)]
        commands: list = []
        if event.seq >= self.rewriting > 0:
            self.rewriting = 0
            if not self.usable:
                self.usable = True
                commands.append(LogEvent(event="disk-usable-again"))
        self.synced = max(self.synced, event.seq)
        while self.waiting and self.waiting[0][0] <= self.synced:
            commands += self.waiting.popleft()[1]
        if self.usable and not self.rewriting and self._needs_rewrite():
            # records stored during a rewrite, as after a long suspend, are cleared without waiting for the next change
            commands.append(self.rewrite())
        return commands


def estimate_bytes(*, records: list) -> int:
    """Estimated bytes of these records in the file, not counting JSON escapes in their texts."""
    texts = sum(len(record["v"]["text"]) for record in records if "v" in record)
    return constants.RECORD_OVERHEAD_BYTES * len(records) + texts
