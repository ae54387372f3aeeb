"""A complete controller on simulated files, driven by hypothesis.

The rules are messages to a voter, syncs, kills, losses of power and a full disk.
"""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from sailward import constants
from sailward.control.bootstrap import Bootstrap
from sailward.control.controller import Controller
from sailward.control.controller_options import ControllerOptions
from sailward.discovery.peer_table import Location
from sailward.events import AppendRecords, ExitProcess, MessageReceived, RewriteRecords, SendMessage, TimerFired
from sailward.storage.disk import Disk, FileContents
from simulation.simulated_files import PowerLost, SimulatedFiles

POST, PROPOSER = "10.0.0.1:7620", "10.0.0.9:7620"
REGISTERS = ("config", "orders", "exchange/a")
BALLOTS = st.tuples(st.integers(1, 8), st.sampled_from("ab")).map(list)


class StorageMachine(RuleBasedStateMachine):
    """One voter. What it answered must be there after every start: `promised` and `voted` hold that by register."""

    make_files: type = SimulatedFiles

    @initialize()
    def found(self) -> None:
        self.now, self.incarnations, self.files = 0.0, 0, self.make_files()
        self.promised: dict[str, list] = {}
        self.voted: dict[str, tuple] = {}
        self.known_learnt, self.known_lasting, self.identity = 1, 0, ""
        self._start(is_first=True)
        self.tick(seconds=0.05)
        self.work()

    @rule(register=st.sampled_from(REGISTERS), ballot=BALLOTS)
    def prepare(self, register: str, ballot: list) -> None:
        self._on_message(kind="prepare", register=register, ballot=ballot)

    @rule(register=st.sampled_from(REGISTERS), ballot=BALLOTS)
    def accept(self, register: str, ballot: list) -> None:
        # a proposer proposes one value per ballot
        value = {"number": ballot[0], "mark": f"{register} {ballot}", "trail": [], "text": ""}
        self._on_message(kind="accept", register=register, ballot=ballot, value=value)

    @precondition(lambda self: "voters" in self.controller.learner.values)
    @rule()
    def learn_voters(self) -> None:
        """A newer set of voters with the same members was chosen."""
        known = self.controller.learner.values["voters"]
        number = known.value["number"] + 1
        value = {**known.value, "number": number, "mark": f"set {number}"}
        ballot = [number, "x"]
        self._step(
            MessageReceived(
                sender=PROPOSER, body={"kind": "chosen", "register": "voters", "ballot": ballot, "value": value}
            )
        )
        self.known_learnt = self.controller.voters.number

    @rule()
    def work(self) -> None:
        """The disk carries out the queued commands."""
        self.disk.run_pending()
        events, self.events[:] = list(self.events), []
        for event in events:
            self._step(event)

    @rule(seconds=st.sampled_from([0.05, 1.2]))
    def tick(self, seconds: float) -> None:
        self.now += seconds
        self._step(TimerFired(wall=self.now))

    @rule(written=st.integers(0, 3))
    def kill(self, written: int) -> None:
        """The process ends after the disk has carried out some of its queued commands."""
        for _ in range(written):
            if not self.disk.is_idle():
                self.disk.run_batch()
        self._start()

    @rule(calls=st.integers(0, 12), data=st.data())
    def lose_power(self, calls: int, data: st.DataObject) -> None:
        """Power is lost after this many file calls of the queued commands."""
        self.files.lose_power_at = self.files.steps + calls
        with contextlib.suppress(PowerLost):
            self.work()
        self.files.lose_power(choose=lambda options: data.draw(st.sampled_from(options)))
        self._start()

    @rule(room=st.sampled_from([0, 30, 200, 700]))
    def fill_disk(self, room: int) -> None:
        self.files.free_bytes = room

    @precondition(lambda self: self.files.free_bytes is not None)
    @rule()
    def make_room(self) -> None:
        self.files.free_bytes = None

    def _start(self, *, is_first: bool = False) -> None:
        self.incarnations += 1
        self.events: list = []
        self.disk = Disk(folder=Path("none"), deliver=self.events.append, files=self.files)
        room, self.files.free_bytes = (
            self.files.free_bytes,
            None,
        )  # opening a file, even with a torn end to truncate, needs no space
        found = self.disk.open()
        self.files.free_bytes = room
        assert isinstance(found, FileContents), found
        self.controller = Controller(
            location=Location(name="v", kind="controller", zone="z", region="r", post=POST, http=POST, seeds=(POST,)),
            platform="10.9.9.9:1",
            nonce=f"{self.incarnations}",
            start=self.incarnations,
            rng=random.Random(self.incarnations),
            records=found.records,
            now=self.now,
            options=ControllerOptions(bootstrap=Bootstrap(is_first=is_first, posts=(POST,)), is_mesh=True),
        )
        self._check_start()
        self.known_learnt = self.controller.voters.number

    def _check_start(self) -> None:
        controller = self.controller
        if self.promised or self.voted:
            assert controller.identity == self.identity, "the identity changed"
            assert controller.write_ahead.has_copied, "the record that the registers were copied is lost"
            assert controller.voters.number >= self.known_lasting, "a set of voters is lost"
        for register, ballot in self.promised.items():
            slot = controller.acceptor.slots.get(register)
            assert slot is not None and slot.promised >= ballot, f"{register}: a promise is lost"
        for register, (ballot, mark) in self.voted.items():
            slot = controller.acceptor.slots.get(register)
            assert slot is not None and slot.value is not None and slot.ballot >= ballot, f"{register}: a vote is lost"
            assert slot.ballot > ballot or slot.value["mark"] == mark, f"{register}: another value under a ballot"

    def _on_message(self, *, kind: str, register: str, ballot: list, **fields: object) -> None:
        body = {"kind": kind, "op": f"o{ballot}", "register": register, "ballot": ballot, **fields}
        self._step(MessageReceived(sender=PROPOSER, body={**body, "voters": self.controller.voters.number}))

    def _step(self, event: object) -> None:
        for command in self.controller.step(now=self.now, event=event):
            if isinstance(command, (AppendRecords, RewriteRecords)):
                self.disk.submit(command=command)
            elif isinstance(command, SendMessage) and command.to == PROPOSER:
                self._note_answer(body=command.body)
            assert not isinstance(command, ExitProcess), command

    def _note_answer(self, *, body: dict) -> None:
        if body["kind"] not in ("promise", "voted"):
            return
        register, ballot = body["register"], body["ballot"]
        self.identity = self.controller.identity
        write_ahead = self.controller.write_ahead
        if not write_ahead.pending_replies and write_ahead.synced_seq >= write_ahead.seq:
            # replies are sent in the order of the records: everything learnt before this one is durable
            self.known_lasting = max(self.known_lasting, self.known_learnt)
        if body["kind"] == "promise":
            self.promised[register] = max(ballot, self.promised.get(register, [0, ""]))
        else:
            mark = f"{register} {ballot}"
            self.voted[register] = max((ballot, mark), self.voted.get(register, ([0, ""], "")))


def shrink_file_bounds(monkeypatch: object) -> None:
    """Lower the bounds so that the file is rewritten after a few records."""
    monkeypatch.setattr(constants, "REWRITE_THRESHOLD_BYTES", 500)
    monkeypatch.setattr(constants, "REWRITE_FACTOR", 1)
    monkeypatch.setattr(constants, "RECORD_OVERHEAD_BYTES", 60)
