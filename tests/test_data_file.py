"""The data file: bounded in size, intact after a loss of power at any step, usable again after a full disk."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from sailward import constants
from sailward.consensus.acceptor import Acceptor, Slots, apply_record
from sailward.control.group.write_ahead import WriteAhead
from sailward.events import AppendRecords, DiskWriteFailed, RecordsSynced, RewriteRecords
from sailward.storage.disk import DamagedFile, Disk, FileContents
from simulation.simulated_files import COMPLETE, LOST, TORN, PowerLost, SimulatedFiles

TEXT = "x" * 90_000
"""A configuration of about 350 routes."""


def make_value(*, number: int, text: str = TEXT) -> dict:
    return {"number": number, "mark": f"m{number}", "trail": [], "text": text}


class Voter:
    """An acceptor with its write-ahead file on simulated files; the disk carries out commands at once."""

    def __init__(self, *, files: SimulatedFiles) -> None:
        self.files, self.events = files, []
        self.disk = Disk(folder=Path("none"), deliver=self.events.append, files=files)
        found = self.disk.open()
        assert isinstance(found, FileContents), found
        slots = Slots()
        for record in found.records:
            if record["k"] in ("vote", "promise"):
                apply_record(slots=slots, record=record, now=0.0)
        self.acceptor = Acceptor(slots=slots)
        self.write_ahead = WriteAhead(identity="v", slots=slots)
        self.write_ahead.start(records=found.records)

    def change(self, *, number: int, text: str = TEXT) -> bool:
        """Send one prepare and one accept; were both answered?"""
        replies_sent = 0
        ballot = [number, "p"]
        for body in (
            {"kind": "prepare", "register": "config", "op": "o", "ballot": ballot},
            {
                "kind": "accept",
                "register": "config",
                "op": "o",
                "ballot": ballot,
                "value": make_value(number=number, text=text),
            },
        ):
            records, reply = self.acceptor.step(now=0.0, body=body)
            replies_sent += self.work(commands=self.write_ahead.step(records=records, replies=[reply]))
        return replies_sent == 2

    def work(self, *, commands: list) -> int:
        """Carry out commands; returns how many replies were sent."""
        replies = [command for command in commands if isinstance(command, dict)]
        for command in commands:
            if isinstance(command, (AppendRecords, RewriteRecords)):
                self.disk.submit(command=command)
        self.disk.run_pending()
        events, self.events[:] = list(self.events), []
        return len(replies) + sum(self.work(commands=self.write_ahead.receive(event=event)) for event in events)


@pytest.mark.parametrize("starts", [1, 10])
def test_the_file_is_bounded_in_bytes_over_200_changes_of_a_large_configuration_and_many_starts(starts: int) -> None:
    files = SimulatedFiles()
    largest = 0
    for start in range(starts):
        voter = Voter(files=files)
        for number in range(1, 200 // starts + 1):
            assert voter.change(number=start * 1000 + number)
            largest = max(largest, files.size(name="registers"))
    assert largest <= constants.REWRITE_THRESHOLD_BYTES * 1.2 + 2 * len(TEXT)


def test_the_bound_leaves_a_value_alone_that_is_larger_than_it() -> None:
    files, text = SimulatedFiles(), "x" * 5_000_000
    voter = Voter(files=files)
    for number in range(1, 13):
        assert voter.change(number=number, text=text)
        assert files.size(name="registers") <= (constants.REWRITE_FACTOR + 1) * len(text) * 1.01
    assert voter.write_ahead.rewrite_count <= 12 / (constants.REWRITE_FACTOR - 1) + 2


def test_what_was_stored_behind_a_rewrite_is_cleared_away_without_a_further_change() -> None:
    files = SimulatedFiles()
    voter = Voter(files=files)
    commands: list = []
    for number in range(1, 201):
        body = {"kind": "accept", "register": "config", "op": "o", "ballot": [number, "p"]}
        records, _ = voter.acceptor.step(now=0.0, body={**body, "value": make_value(number=number)})
        commands += voter.write_ahead.step(records=records, replies=[])
    voter.work(commands=commands)
    assert files.size(name="registers") <= constants.REWRITE_THRESHOLD_BYTES * 1.2
    assert Voter(files=files).acceptor.slots["config"].value["number"] == 200


def run_rewrite(*, files: SimulatedFiles) -> tuple[list[int], list[int]]:
    """Two appends, a rewrite and two more appends; returns the numbers of those submitted and those acknowledged."""
    events: list = []
    given, synced = [], []
    try:
        disk = Disk(folder=Path("none"), deliver=events.append, files=files)
        disk.open()
        for seq in range(1, 6):
            record = {"k": "drop", "r": f"value {seq}"}
            given.append(seq)
            disk.submit(
                command=AppendRecords(seq=seq, records=(record,))
                if seq != 3
                else RewriteRecords(seq=seq, records=tuple({"k": "drop", "r": f"value {item}"} for item in given))
            )
            disk.run_pending()
            synced += [event.seq for event in events if isinstance(event, RecordsSynced)]
            events.clear()
    except PowerLost:
        pass
    synced += [event.seq for event in events if isinstance(event, RecordsSynced)]
    return given, synced


def lose_power_everywhere(*, make_files: type = SimulatedFiles) -> int:
    """Lose power before each call, with every outcome for each name and each write; returns how many histories ran.

    AssertionError names the history in which an acknowledged record is lost.
    """
    undisturbed = make_files()
    run_rewrite(files=undisturbed)
    histories = 0
    for step in range(undisturbed.steps + 1):
        probe = make_files()
        probe.lose_power_at = step
        run_rewrite(files=probe)
        choices: list[tuple] = []
        probe.lose_power(choose=lambda options, choices=choices: choices.append(options) or options[0])
        for fates in itertools.product(*choices):
            files = make_files()
            files.lose_power_at = step
            given, synced = run_rewrite(files=files)
            remaining_fates = iter(fates)
            files.lose_power(choose=lambda options, remaining_fates=remaining_fates: next(remaining_fates))
            found = Disk(folder=Path("none"), deliver=lambda event: None, files=files).open()
            assert isinstance(found, FileContents), (step, fates, found)
            recovered = [int(record["r"].split()[1]) for record in found.records]
            assert recovered == given[: len(recovered)], (step, fates, recovered)
            assert len(recovered) >= max(synced, default=0), (step, fates, recovered, synced)
            histories += 1
    return histories


def test_a_loss_of_power_at_any_step_of_a_rewrite_loses_nothing_that_was_acknowledged() -> None:
    assert lose_power_everywhere() > 50


class RenamesUnsynced(SimulatedFiles):
    """The sync of the new file is omitted."""

    def sync(self, *, file: int) -> None:
        if self.handles[file] is not self.names.get("registers.new"):
            super().sync(file=file)


class NamesUnsynced(SimulatedFiles):
    """The sync of the folder is omitted."""

    def sync_names(self) -> None:
        self._count_call()


class StoresUnsynced(SimulatedFiles):
    """The sync of the data file is omitted."""

    def sync(self, *, file: int) -> None:
        if self.handles[file] is not self.names.get("registers"):
            super().sync(file=file)


@pytest.mark.parametrize("fault", [RenamesUnsynced, NamesUnsynced, StoresUnsynced])
def test_each_sync_is_needed(fault: type) -> None:
    with pytest.raises(AssertionError):
        lose_power_everywhere(make_files=fault)


def test_a_full_disk_during_a_rewrite_leaves_the_old_file_and_no_descriptor_behind() -> None:
    files = SimulatedFiles()
    voter = Voter(files=files)
    assert voter.change(number=1)
    files.free_bytes = 50_000
    before = dict(files.handles)
    for _ in range(500):
        voter.work(commands=[voter.write_ahead.rewrite()])
        assert not voter.write_ahead.is_usable
    assert files.handles == before and "registers.new" not in files.names
    files.free_bytes = None
    voter.work(commands=[voter.write_ahead.rewrite()])
    assert voter.write_ahead.is_usable and voter.change(number=2)
    assert Voter(files=files).acceptor.slots["config"].value["number"] == 2


@pytest.mark.parametrize("room", [0, 1, 11, 300, 80_000])
def test_a_write_that_stops_midway_does_not_damage_the_file(room: int) -> None:
    files = SimulatedFiles()
    voter = Voter(files=files)
    assert voter.change(number=1)
    files.free_bytes = room
    records, reply = voter.acceptor.step(
        now=0.0, body={"kind": "prepare", "register": "config", "op": "o", "ballot": [2, "p"]}
    )
    long = [*records, {"k": "vote", "r": "other", "b": [2, "p"], "v": make_value(number=1)}]
    assert voter.work(commands=voter.write_ahead.step(records=long, replies=[reply])) == 0
    # space is free again before any truncation or rewrite, and the next frame is shorter than the torn one
    files.free_bytes = None
    voter.disk.submit(command=AppendRecords(seq=voter.write_ahead.seq + 1, records=({"k": "drop", "r": "x"},)))
    voter.disk.run_pending()
    found = Disk(folder=Path("none"), deliver=lambda event: None, files=files).open()
    assert isinstance(found, FileContents) and found.records[-1] == {"k": "drop", "r": "x"}


def test_a_full_disk_is_told_apart_from_a_broken_one() -> None:
    files = SimulatedFiles()
    events: list = []
    disk = Disk(folder=Path("none"), deliver=events.append, files=files)
    disk.open()
    files.free_bytes = 3
    disk.submit(command=AppendRecords(seq=1, records=({"k": "drop", "r": "x"},)))
    disk.run_pending()
    assert isinstance(events[0], DiskWriteFailed) and events[0].full


@pytest.mark.parametrize("fate", [LOST, TORN, COMPLETE])
def test_a_torn_end_is_cut_and_damage_before_it_is_named(fate: str) -> None:
    files = SimulatedFiles()
    voter = Voter(files=files)
    assert voter.change(number=1, text="short")
    files.lose_power_at = files.steps + 1
    with pytest.raises(PowerLost):
        voter.change(number=2, text="other")
    files.lose_power(choose=lambda options: fate if fate in options else True)
    again = Voter(files=files)
    assert again.acceptor.slots["config"].value["number"] == 1
    assert again.acceptor.slots["config"].promised == ([2, "p"] if fate == COMPLETE else [1, "p"])
    assert again.change(number=3, text="third")
    files.names["registers"].current[5] ^= 0x55
    assert isinstance(Disk(folder=Path("none"), deliver=lambda event: None, files=files).open(), DamagedFile)
