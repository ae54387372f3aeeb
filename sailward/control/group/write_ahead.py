"""A controller's place on the disk: records synced in order, and what waits for them."""

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
    """Owner of the order between records and replies. `step` stores, syncs, fails or rewrites.

    `copied` says that the slots hold what was chosen under the voters numbered `under`, and before.
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
        """Store the records; let the replies go only when all before them is synced."""
        commands: list = []
        if records:
            self.seq, self.count = self.seq + 1, self.count + len(records)
            self.size += estimate_bytes(records=records)
            commands.append(AppendRecords(seq=self.seq, records=tuple(records)))
        if replies and self.synced >= self.seq:
            return commands + replies
        if replies:
            self.waiting.append((self.seq, replies))
        if not self.rewriting and self._is_long():
            commands.append(self.rewrite())
        return commands

    def start(self, *, records: list) -> None:
        """Take the records of a start as what the file holds.

        Without it, a file that outlives many starts would grow with them.
        """
        self.count, self.size = len(records), estimate_bytes(records=records)
        self.live_size = estimate_bytes(records=self._live_records())

    def _is_long(self) -> bool:
        most_records = max(constants.REWRITE_MIN_RECORDS, constants.REWRITE_FACTOR * (len(self.slots) + 1))
        most_bytes = max(constants.REWRITE_THRESHOLD_BYTES, constants.REWRITE_FACTOR * self.live_size)
        return self.count > most_records or self.size > most_bytes

    def know(self, *, ballot: Ballot, value: RegisterValue) -> list[Command]:
        """Store the voters that are known to be chosen: after a start it is by them that the next set is found."""
        self.known = {"k": "promise", "r": KNOWN_VOTERS_RECORD, "b": ballot, "v": value}
        return self.step(records=[self.known], replies=[]) if self.usable else []

    def copied_record(self) -> dict:
        """What is stored of the copy that the slots come from."""
        return {"k": "copied", "n": self.under}

    def rewrite(self) -> RewriteRecords:
        """Replace the file by what is live."""
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
        """Fold the disk's word: what waited goes out, or is dropped for good."""
        if isinstance(event, DiskWriteFailed):
            self.usable, self.rewriting = False, 0
            self.waiting.clear()
            log = LogEvent(event="disk-failed", fields={"full": event.full, "reason": event.reason})
            # after a failed sync nothing on this descriptor can be believed again
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
        if self.usable and not self.rewriting and self._is_long():
            # what was stored behind a rewrite, as after a long sleep, is not left for the next change to clear away
            commands.append(self.rewrite())
        return commands


def estimate_bytes(*, records: list) -> int:
    """Bytes that these records take in the file, but for how JSON escapes their texts."""
    texts = sum(len(record["v"]["text"]) for record in records if "v" in record)
    return constants.RECORD_OVERHEAD_BYTES * len(records) + texts
