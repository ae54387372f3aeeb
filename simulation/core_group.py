"""A control group in virtual time, with real data files if a folder is given.

Its controllers can be killed, wiped, frozen, cut off and added.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from sailward import constants
from sailward.consensus.messages import pack_message
from sailward.consensus.proposer import StartOperation
from sailward.control.bootstrap import Bootstrap
from sailward.control.controller import Controller
from sailward.control.controller_options import ControllerOptions
from sailward.discovery.peer_table import Location
from sailward.events import AppendRecords, ExitProcess, MessageReceived, RewriteRecords, SendMessage, TimerFired
from sailward.storage.disk import Disk, FileContents
from sailward.storage.files import Files
from simulation.simulated_files import SimulatedFiles

LINK_DELAY = 0.002
"""s that a message takes, as between two zones of one region."""
SYNC_TIME = 0.002
"""s of virtual time that a sync takes; real time is not counted."""
EMPTY_EXPANSION = {"halls": {}, "services": {}, "pools": {}, "tenants": {}, "matches": []}
"""An empty expanded form of a configuration: the group measures the register, not its expansion."""


class UnlockedFiles(Files):
    """The real files without the lock: all members run in one process, one incarnation after the other."""

    def lock(self, *, name: str) -> bool:
        """Always granted."""
        return True


@dataclass(kw_only=True)
class Member:
    """One machine, its data folder, and its controller while it runs."""

    name: str
    post: str
    files: Files | SimulatedFiles
    controller: Controller | None = None
    disk: Disk | None = None
    events: list = field(default_factory=list)
    incarnation: int = 0
    is_cut: bool = False
    frozen: list | None = None
    received: Counter = field(default_factory=Counter)
    received_bytes: Counter = field(default_factory=Counter)

    def file_bytes(self) -> int:
        """Bytes of its data file."""
        return self.files.size(name="registers")


class CoreGroup:
    """Members, their messages and their clock. The first `founders` of them found the group.

    Without a `folder` the files are simulated. `delays` gives the delays in s of each message's copies: none if it is
    lost, several if it is duplicated. `on_start` is called with each member that starts, before its first event.
    """

    def __init__(self, *, folder: Path | None, size: int, founders: int = 3, seed: int = 1) -> None:
        self.now = 0.0
        self.delays: Callable[[], list[float]] = lambda: [LINK_DELAY]
        self.sync_time: Callable[[], float] = lambda: SYNC_TIME
        self.on_start: Callable[[Member], None] = lambda member: None
        self._queue: list = []
        self._count = 0
        self._random = random.Random(seed)
        self._folder = folder
        self.members: list[Member] = []
        self._founders = founders
        self.measured: Member | None = None
        self._changes = 0
        for _ in range(size):
            self.add()

    def add(self) -> Member:
        """Add a machine with an empty disk; it does not run yet."""
        at = len(self.members)
        files = SimulatedFiles() if self._folder is None else UnlockedFiles(folder=self._folder / f"m{at}")
        member = Member(name=f"m{at}", post=f"10.0.0.{at}:7620", files=files)
        self.members.append(member)
        return member

    def founder_addresses(self) -> tuple[str, ...]:
        """The founders' addresses."""
        return tuple(member.post for member in self.members[: self._founders])

    def start(self, *, member: Member, is_first: bool = False) -> None:
        """Start a controller from its data folder."""
        member.incarnation += 1
        member.events = []
        member.disk = Disk(folder=Path(member.name), deliver=member.events.append, files=member.files)
        found = member.disk.open()
        assert isinstance(found, FileContents), found
        nonce = f"{self._random.getrandbits(48):012x}"
        member.controller = Controller(
            location=Location(
                name=member.name,
                kind="controller",
                zone=f"z{member.name}",
                region="r",
                post=member.post,
                http=member.post,
                seeds=self.founder_addresses(),
            ),
            platform="10.9.9.9:1",
            nonce=nonce,
            start=int(1e6 + self.now * 1e6),
            rng=random.Random(nonce),
            records=found.records,
            now=self.now,
            options=ControllerOptions(
                bootstrap=Bootstrap(is_first=is_first, posts=self.founder_addresses()),
                is_mesh=True,
                publishes_proxy_list=True,
                expand=lambda written: EMPTY_EXPANSION,
                replace_after=2.0,
                repair_interval=0.25,
                copy_retry_interval=0.25,
            ),
        )
        self.on_start(member)
        self._tick(member=member, incarnation=member.incarnation)

    def lose_power(self, *, member: Member, choose: Callable[[tuple], object]) -> None:
        """End a controller; its simulated files lose unsynced writes, as `choose` selects."""
        member.controller, member.incarnation, member.frozen = None, member.incarnation + 1, None
        member.files.lose_power(choose=choose)

    def wipe(self, *, member: Member) -> None:
        """End a controller and delete its data file."""
        self.kill(member=member)
        member.files.remove(name="registers")

    def kill(self, *, member: Member) -> None:
        """End a controller abruptly."""
        if member.controller is not None:
            member.disk.close()
        member.controller, member.incarnation, member.frozen = None, member.incarnation + 1, None

    def freeze(self, *, member: Member) -> None:
        """Suspend a member; messages to it wait, up to the length of a sender's queue."""
        member.frozen = []

    def thaw(self, *, member: Member) -> None:
        """Resume a member, which then handles the messages that waited."""
        waiting, member.frozen = member.frozen or [], None
        for event in waiting:
            self._deliver(member=member, event=event)
        self._tick(member=member, incarnation=member.incarnation)

    def change(self, *, text: str, at: Member, timeout: float = 3.0) -> bool:
        """Change the configuration's register through one member; returns whether it was accepted."""
        expected = at.controller.learner.number(name="config")
        self.begin_change(text=text, at=at, timeout=timeout)
        self.run(seconds=timeout, until=lambda: at.controller.learner.number(name="config") > expected)
        return at.controller.learner.number(name="config") > expected

    def begin_change(self, *, text: str, at: Member, timeout: float = 3.0) -> None:
        """Begin a change of the configuration's register on top of the version that this member holds."""
        self._changes += 1
        operation = f"{at.controller.proposer.identity}/measure{self._changes}"
        expected = at.controller.learner.number(name="config")
        start = StartOperation(op=operation, register="config", expected=expected, text=text, timeout=timeout)
        self._carry_out_all(member=at, commands=at.controller.registers.begin(now=self.now, operations=[start]))

    def run(self, *, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance time by so many s, or until the condition holds; returns whether it did."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self._queue)
            act()
            if until is not None and until():
                return True
        self.now = end
        return False

    def _after(self, *, delay: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay, self._count, act))

    def _tick(self, *, member: Member, incarnation: int) -> None:
        if member.incarnation != incarnation or member.frozen is not None:
            return
        self._deliver(member=member, event=TimerFired(wall=1000.0 + self.now))
        self._after(delay=constants.TICK_INTERVAL, act=lambda: self._tick(member=member, incarnation=incarnation))

    def _deliver(self, *, member: Member, event: object) -> None:
        if member.controller is None:
            return
        if member.frozen is not None:
            if not isinstance(event, TimerFired) and len(member.frozen) < constants.SEND_QUEUE_LENGTH:
                member.frozen.append(event)
            return
        self._carry_out_all(member=member, commands=member.controller.step(now=self.now, event=event))

    def _carry_out_all(self, *, member: Member, commands: list) -> None:
        incarnation = member.incarnation
        for command in commands:
            if member.incarnation == incarnation:
                self._carry_out(member=member, command=command)

    def _carry_out(self, *, member: Member, command: object) -> None:
        if isinstance(command, SendMessage):
            self._send_message(member=member, command=command)
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            member.disk.submit(command=command)
            self._after(
                delay=self.sync_time(),
                act=lambda incarnation=member.incarnation: self._sync(member=member, incarnation=incarnation),
            )
        elif isinstance(command, ExitProcess):
            self.kill(member=member)

    def _send_message(self, *, member: Member, command: SendMessage) -> None:
        receiver = next((other for other in self.members if other.post == command.to), None)
        if (
            receiver is None
            or receiver.controller is None
            or (receiver is not member and (receiver.is_cut or member.is_cut))
        ):
            return
        if receiver is self.measured and receiver is not member:
            receiver.received[command.body["kind"]] += 1
            receiver.received_bytes[command.body["kind"]] += len(pack_message(body=command.body))
        event, incarnation = MessageReceived(sender=member.post, body=command.body), receiver.incarnation
        for delay in [0.0001] if receiver is member else self.delays():
            self._after(
                delay=delay,
                act=lambda: (
                    self._deliver(member=receiver, event=event) if receiver.incarnation == incarnation else None
                ),
            )

    def _sync(self, *, member: Member, incarnation: int) -> None:
        if member.incarnation != incarnation:
            return
        member.disk.run_pending()
        events, member.events[:] = list(member.events), []
        for event in events:
            self._deliver(member=member, event=event)
