"""A controller's records on disk, synced in order, and the replies that wait for the sync."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import KNOWN_VOTERS_RECORD, slot_records
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

    `has_copied` is true if the slots hold all values chosen up to the voter set numbered `copied_under`.
    `completed_recovery` is the number of the last disaster recovery completed here, `known_voters` the stored record
    of the chosen voter set, `rewrite_seq` the sequence number of the file rewrite in progress, 0 if there is none.
    """

    identity: str
    slots: dict
    has_copied: bool = False
    copied_under: int = 0
    completed_recovery: int = 0
    known_voters: dict | None = None
    seq: int = 0
    synced_seq: int = 0
    record_count: int = 0
    file_bytes: int = 0
    live_bytes: int = 0
    rewrite_count: int = 0
    is_usable: bool = True
    rewrite_seq: int = 0
    pending_replies: deque = field(default_factory=deque)

    def step(self, *, records: list, replies: list) -> list[Command]:
        """Store the records; hold the replies back until everything stored before them is synced."""
        commands: list = []
        if records:
            self.seq, self.record_count = self.seq + 1, self.record_count + len(records)
            self.file_bytes += estimate_bytes(records=records)
            commands.append(AppendRecords(seq=self.seq, records=tuple(records)))
        if replies and self.synced_seq >= self.seq:
            return commands + replies
        if replies:
            self.pending_replies.append((self.seq, replies))
        if not self.rewrite_seq and self._needs_rewrite():
            commands.append(self.rewrite())
        return commands

    def start(self, *, records: list) -> None:
        """Count the records read at startup as the content of the file.

        Otherwise the file would grow with each restart, as records from before would not count towards a rewrite.
        """
        self.record_count, self.file_bytes = len(records), estimate_bytes(records=records)
        self.live_bytes = estimate_bytes(records=self._live_records())

    def _needs_rewrite(self) -> bool:
        max_records = max(constants.REWRITE_MIN_RECORDS, constants.REWRITE_FACTOR * (len(self.slots) + 1))
        max_bytes = max(constants.REWRITE_THRESHOLD_BYTES, constants.REWRITE_FACTOR * self.live_bytes)
        return self.record_count > max_records or self.file_bytes > max_bytes

    def store_known_voters(self, *, ballot: Ballot, value: RegisterValue) -> list[Command]:
        """Store the chosen voter set; after a restart these voters are asked for any newer set."""
        self.known_voters = {"k": "promise", "r": KNOWN_VOTERS_RECORD, "b": ballot, "v": value}
        return self.step(records=[self.known_voters], replies=[]) if self.is_usable else []

    def copied_record(self) -> dict:
        """The record that the copy is complete, and under which voter set."""
        return {"k": "copied", "n": self.copied_under}

    def rewrite(self) -> RewriteRecords:
        """Rewrite the file with the live records only."""
        records = self._live_records()
        self.seq += 1
        self.rewrite_seq, self.record_count, self.rewrite_count = self.seq, len(records), self.rewrite_count + 1
        self.file_bytes = self.live_bytes = estimate_bytes(records=records)
        return RewriteRecords(seq=self.seq, records=tuple(records))

    def _live_records(self) -> list:
        records = [
            {"k": "identity", "id": self.identity},
            *([self.copied_record()] if self.has_copied else []),
            *([{"k": "opened", "n": self.completed_recovery}] if self.completed_recovery else []),
            *([self.known_voters] if self.known_voters else []),
        ]
        for name, slot in self.slots.items():
            records += slot_records(name=name, slot=slot)
        return records

    def receive(self, *, event: RecordsSynced | DiskWriteFailed) -> list[Command]:
        """Handle the result of a write: release the pending replies, or drop them for good if it failed."""
        if isinstance(event, DiskWriteFailed):
            self.is_usable, self.rewrite_seq = False, 0
            self.pending_replies.clear()
            log = LogEvent(event="disk-failed", fields={"full": event.full, "reason": event.reason})
            # after a failed sync no later result on this file descriptor can be trusted
            return [log] if event.full else [log, ExitProcess(code=constants.EXIT_DISK)]
        commands: list = []
        if event.seq >= self.rewrite_seq > 0:
            self.rewrite_seq = 0
            if not self.is_usable:
                self.is_usable = True
                commands.append(LogEvent(event="disk-usable-again"))
        self.synced_seq = max(self.synced_seq, event.seq)
        while self.pending_replies and self.pending_replies[0][0] <= self.synced_seq:
            commands += self.pending_replies.popleft()[1]
        if self.is_usable and not self.rewrite_seq and self._needs_rewrite():
            # records stored during a rewrite, as after a long suspend, are cleared without waiting for the next change
            commands.append(self.rewrite())
        return commands


def estimate_bytes(*, records: list) -> int:
    """Estimated bytes of these records in the file, not counting JSON escapes in their texts."""
    texts = sum(len(record["v"]["text"]) for record in records if "v" in record)
    return constants.RECORD_OVERHEAD_BYTES * len(records) + texts
