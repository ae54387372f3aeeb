"""A control group on virtual time whose data files are real.

Controllers that are killed, wiped, frozen, cut off and added.
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

LINK = 0.002
"""s that a message takes: two zones of one region."""
SYNC = 0.002
"""s that a sync takes on the group's clock; the real one is not counted."""
EMPTY_FULL = {"halls": {}, "services": {}, "pools": {}, "tenants": {}, "matches": []}
"""A configuration's full form without content: the group measures the register, not its expansion."""


class UnlockedFiles(Files):
    """The real files without the lock: all members run in one process, one life after the other."""

    def lock(self, *, name: str) -> bool:
        """Always granted."""
        return True


@dataclass(kw_only=True)
class Member:
    """One machine, its data folder, and its controller while that runs."""

    name: str
    post: str
    files: Files | SimulatedFiles
    controller: Controller | None = None
    disk: Disk | None = None
    events: list = field(default_factory=list)
    life: int = 0
    is_cut: bool = False
    frozen: list | None = None
    received: Counter = field(default_factory=Counter)
    received_bytes: Counter = field(default_factory=Counter)

    def file_bytes(self) -> int:
        """Bytes of its data file."""
        return self.files.size(name="registers")


class CoreGroup:
    """Members, their messages and their clock. The first `founders` of them found the group.

    Without a `folder` the files are simulated. `delays` gives, for each message, after how long it arrives: none if it
    is lost, several if it is doubled. `watch` is called with each member that starts, before its first event.
    """

    def __init__(self, *, folder: Path | None, size: int, founders: int = 3, seed: int = 1) -> None:
        self.now = 0.0
        self.delays: Callable[[], list[float]] = lambda: [LINK]
        self.sync_time: Callable[[], float] = lambda: SYNC
        self.watch: Callable[[Member], None] = lambda member: None
        self._line: list = []
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
        """A further machine with an empty disk; it does not run yet."""
        at = len(self.members)
        files = SimulatedFiles() if self._folder is None else UnlockedFiles(folder=self._folder / f"m{at}")
        member = Member(name=f"m{at}", post=f"10.0.0.{at}:7620", files=files)
        self.members.append(member)
        return member

    def posts(self) -> tuple[str, ...]:
        """The founders' addresses."""
        return tuple(member.post for member in self.members[: self._founders])

    def start(self, *, member: Member, is_first: bool = False) -> None:
        """Start a controller on what its folder holds."""
        member.life += 1
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
                seeds=self.posts(),
            ),
            platform="10.9.9.9:1",
            nonce=nonce,
            start=int(1e6 + self.now * 1e6),
            rng=random.Random(nonce),
            records=found.records,
            now=self.now,
            options=ControllerOptions(
                bootstrap=Bootstrap(is_first=is_first, posts=self.posts()),
                is_mesh=True,
                publishes_proxy_list=True,
                expand=lambda written: EMPTY_FULL,
                replace_after=2.0,
                repair_interval=0.25,
                copy_retry_interval=0.25,
            ),
        )
        self.watch(member)
        self._tick(member=member, life=member.life)

    def lose_power(self, *, member: Member, choose: Callable[[tuple], object]) -> None:
        """End a controller, and its simulated files lose what was not synced, as `choose` says."""
        member.controller, member.life, member.frozen = None, member.life + 1, None
        member.files.lose_power(choose=choose)

    def wipe(self, *, member: Member) -> None:
        """End a controller, and its files are gone."""
        self.kill(member=member)
        member.files.remove(name="registers")

    def kill(self, *, member: Member) -> None:
        """End a controller at once."""
        if member.controller is not None:
            member.disk.close()
        member.controller, member.life, member.frozen = None, member.life + 1, None

    def freeze(self, *, member: Member) -> None:
        """It stands still; what arrives waits, as far as the senders' queues go."""
        member.frozen = []

    def thaw(self, *, member: Member) -> None:
        """It goes on with what waited."""
        held, member.frozen = member.frozen or [], None
        for event in held:
            self._give(member=member, event=event)
        self._tick(member=member, life=member.life)

    def change(self, *, text: str, at: Member, wait: float = 3.0) -> bool:
        """Change the configuration's register through one member; was it accepted?"""
        expected = at.controller.learner.number(name="config")
        self.begin_change(text=text, at=at, wait=wait)
        self.run(seconds=wait, until=lambda: at.controller.learner.number(name="config") > expected)
        return at.controller.learner.number(name="config") > expected

    def begin_change(self, *, text: str, at: Member, wait: float = 3.0) -> None:
        """Begin a change of the configuration's register, on top of what this member holds."""
        self._changes += 1
        operation = f"{at.controller.proposer.identity}/measure{self._changes}"
        expected = at.controller.learner.number(name="config")
        begin = StartOperation(op=operation, register="config", expected=expected, text=text, timeout=wait)
        self._carry_out_all(member=at, commands=at.controller.registers.begin(now=self.now, operations=[begin]))

    def run(self, *, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time go on, until the condition holds if there is one."""
        end = self.now + seconds
        while self._line and self._line[0][0] <= end:
            self.now, _, act = heapq.heappop(self._line)
            act()
            if until is not None and until():
                return True
        self.now = end
        return False

    def _after(self, *, delay: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._line, (self.now + delay, self._count, act))

    def _tick(self, *, member: Member, life: int) -> None:
        if member.life != life or member.frozen is not None:
            return
        self._give(member=member, event=TimerFired(wall=1000.0 + self.now))
        self._after(delay=constants.TICK_INTERVAL, act=lambda: self._tick(member=member, life=life))

    def _give(self, *, member: Member, event: object) -> None:
        if member.controller is None:
            return
        if member.frozen is not None:
            if not isinstance(event, TimerFired) and len(member.frozen) < constants.SEND_QUEUE_LENGTH:
                member.frozen.append(event)
            return
        self._carry_out_all(member=member, commands=member.controller.step(now=self.now, event=event))

    def _carry_out_all(self, *, member: Member, commands: list) -> None:
        life = member.life
        for command in commands:
            if member.life == life:
                self._carry_out(member=member, command=command)

    def _carry_out(self, *, member: Member, command: object) -> None:
        if isinstance(command, SendMessage):
            self._send_message(member=member, command=command)
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            member.disk.submit(command=command)
            self._after(delay=self.sync_time(), act=lambda life=member.life: self._sync(member=member, life=life))
        elif isinstance(command, ExitProcess):
            self.kill(member=member)

    def _send_message(self, *, member: Member, command: SendMessage) -> None:
        to = next((one for one in self.members if one.post == command.to), None)
        if to is None or to.controller is None or (to is not member and (to.is_cut or member.is_cut)):
            return
        if to is self.measured and to is not member:
            to.received[command.body["kind"]] += 1
            to.received_bytes[command.body["kind"]] += len(pack_message(body=command.body))
        event, life = MessageReceived(sender=member.post, body=command.body), to.life
        for delay in [0.0001] if to is member else self.delays():
            self._after(delay=delay, act=lambda: self._give(member=to, event=event) if to.life == life else None)

    def _sync(self, *, member: Member, life: int) -> None:
        if member.life != life:
            return
        member.disk.run_pending()
        events, member.events[:] = list(member.events), []
        for event in events:
            self._give(member=member, event=event)
