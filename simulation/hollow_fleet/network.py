"""Virtual time and a network that counts.

Each message's bytes, and the processor time of each step, packing and unpacking.
"""

from __future__ import annotations

import heapq
import json
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward import constants
from sailward.config.check import check_config
from sailward.consensus.messages import BadMessage
from sailward.events import (
    AppendRecords,
    CallFinished,
    ConfigValidated,
    ExitProcess,
    LogEvent,
    MessageReceived,
    RecordsSynced,
    RequestReceived,
    Respond,
    RewriteRecords,
    SendMessage,
    StartCall,
    TimerFired,
    ValidateConfig,
)
from sailward.storage.disk import pack_frame
from sailward.transport.message_transport import LENGTH, pack_body, read_body

LINKS = ("zone", "region", "regions")
"""Within a zone, between zones of a region, between regions."""
SAMPLE = 24
"""A message of a kind and shape is packed anew each so many times; the others count as the last one did."""
SYNC = 0.0005
"""s that a disk takes to sync, as on the sites."""
API = 0.005
"""s that the platform's list and a worker's grant take."""
CACHED = 4000
"""sizes that are kept."""


@dataclass(kw_only=True, eq=False)
class Member:
    """One daemon: its owner while it is up, and what it has cost."""

    name: str
    role: str
    zone: str
    region: str
    post: str
    make: Callable
    owner: object = None
    life: int = 0
    records: list = field(default_factory=list)
    queue: deque = field(default_factory=deque)
    is_waiting: bool = False
    busy_until: float = 0.0
    tick_at: float = 0.0
    cost: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)
    heard: Counter = field(default_factory=Counter)
    longest: float = 0.0


@dataclass(kw_only=True)
class Weight:
    """What one message weighs: its frame's bytes, and the s of packing and of unpacking it."""

    size: int = 0
    pack: float = 0.0
    unpack: float = 0.0
    uses: int = 0
    is_readable: bool = True


class Scale:
    """Weighs messages by the product's own packing. `step` gives the Weight of a body."""

    def __init__(self) -> None:
        self._kept: dict = {}

    def step(self, *, body: dict) -> Weight:
        """Weigh it, or take the weight of one like it."""
        key = _shape_of(body=body)
        weight = self._kept.get(key)
        if weight is None:
            if len(self._kept) > CACHED:
                self._kept.clear()
            weight = self._kept[key] = Weight()
        is_large = weight.size > 20 * constants.MESSAGE_TRANSPORT_COMPRESSION_MIN_BYTES
        if weight.uses == 0 or (weight.uses % SAMPLE == 0 and not is_large):
            begun = time.process_time()
            frame = pack_body(body=body)
            packed = time.process_time()
            length, encoding = LENGTH.unpack_from(frame)
            read = read_body(payload=frame[LENGTH.size :], encoding=encoding)
            ended = time.process_time()
            is_readable = not isinstance(read, BadMessage) and length <= constants.MAX_FRAME_BYTES
            uses, share = weight.uses, 1.0 if weight.uses == 0 else 0.3
            weight = self._kept[key] = Weight(
                size=len(frame),
                is_readable=is_readable,
                uses=uses,
                pack=weight.pack + share * (packed - begun - weight.pack),
                unpack=weight.unpack + share * (ended - packed - weight.unpack),
            )
        weight.uses += 1
        return weight


def _shape_of(*, body: dict) -> tuple:
    kind = body["kind"]
    if "value" in body and isinstance(body["value"], dict):
        return (kind, body.get("name") or body.get("register", ""), body["value"]["text"])
    if kind == "ask":
        report = body["report"]
        return (kind, len(body["have"]), len(report.get("down", ())), sum(map(len, report.get("loads", {}).values())))
    sizes = tuple(len(value) for value in body.values() if isinstance(value, (list, dict)))
    return (kind, *(size if size < 16 else size // 16 * 16 for size in sizes))


class Network:
    """Runs members on virtual time. A member is busy for as long as its steps, packing and unpacking took here."""

    def __init__(self, *, delays: tuple[float, float, float], pages: list[bytes], is_charged: bool = True) -> None:
        self.now = 0.0
        self.members: dict[str, Member] = {}
        self.watch: Callable[[Member, LogEvent], None] = lambda member, log: None
        self.answers: dict[str, Respond] = {}
        self.cut: set[str] = set()
        self.messages: Counter = Counter()
        self.bytes: Counter = Counter()
        self.lost: Counter = Counter()
        self.disk: Counter = Counter()
        self.steps: defaultdict = defaultdict(lambda: [0, 0.0])
        self.calls: Counter = Counter()
        self._delays, self._pages, self._is_charged = dict(zip(LINKS, delays, strict=True)), pages, is_charged
        self._scale = Scale()
        self._line: list = []
        self._count = 0

    def add(self, *, member: Member) -> None:
        """Know a member; it is not up yet."""
        self.members[member.post] = member

    def after(self, *, delay: float, act: Callable[[], None]) -> None:
        """Run `act` after so many s."""
        self._count += 1
        heapq.heappush(self._line, (self.now + delay, self._count, act))

    def run(self, *, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time go on; was what is waited for reached?"""
        end, look = self.now + seconds, self.now
        while self._line and self._line[0][0] <= end:
            self.now, _, act = heapq.heappop(self._line)
            act()
            if until is not None and self.now >= look:
                look = self.now + 0.01
                if until():
                    return True
        self.now = end
        return until is not None and until()

    def start(self, *, member: Member, delay: float = 0.0) -> None:
        """Bring a member up; its ticks are spread by its own delay."""
        member.life += 1
        life = member.life

        def begin() -> None:
            if member.life == life:
                member.owner = member.make(member=member, now=self.now)
                member.busy_until = member.tick_at = self.now
                self._tick(member=member, life=life)

        self.after(delay=delay, act=begin)

    def kill(self, *, member: Member) -> None:
        """End it at once; its disk stays."""
        member.life += 1
        member.owner, member.is_waiting = None, False
        member.queue.clear()

    def give(self, *, member: Member, event: object, cost: float = 0.0, delay: float = 0.0) -> None:
        """An event for a member after so many s; `cost` is what taking it in costs before the step."""
        life = member.life
        self.after(delay=delay, act=lambda: self._arrive(member=member, life=life, event=event, cost=cost))

    def link(self, *, one: Member, other: Member) -> str:
        """The class of the link between two members."""
        return "zone" if one.zone == other.zone else "region" if one.region == other.region else "regions"

    def _tick(self, *, member: Member, life: int) -> None:
        if member.life == life:
            self._arrive(member=member, life=life, event=TimerFired(wall=1000.0 + self.now), cost=0.0)
            member.tick_at = max(member.tick_at + constants.TICK_INTERVAL, member.busy_until)
            self.after(delay=member.tick_at - self.now, act=lambda: self._tick(member=member, life=life))

    def _arrive(self, *, member: Member, life: int, event: object, cost: float) -> None:
        if member.life != life or member.owner is None:
            return
        if member.is_waiting or member.busy_until > self.now:
            member.queue.append((event, cost))
            if not member.is_waiting:
                member.is_waiting = True
                self.after(delay=member.busy_until - self.now, act=lambda: self._drain(member=member, life=life))
            return
        self._take(member=member, event=event, cost=cost)

    def _drain(self, *, member: Member, life: int) -> None:
        if member.life != life:
            return
        member.is_waiting = False
        while member.queue:
            if member.busy_until > self.now:
                member.is_waiting = True
                self.after(delay=member.busy_until - self.now, act=lambda: self._drain(member=member, life=life))
                return
            event, cost = member.queue.popleft()
            self._take(member=member, event=event, cost=cost)
            if member.life != life:
                return

    def _take(self, *, member: Member, event: object, cost: float) -> None:
        what = event.body["kind"] if isinstance(event, MessageReceived) else type(event).__name__
        begun = time.process_time()
        commands = member.owner.step(now=self.now, event=event)
        took = time.process_time() - begun
        member.cost["step"] += took
        member.cost["unpack"] += cost
        row = self.steps[(member.role, what)]
        row[0] += 1
        row[1] += took + cost
        ready, life = self.now + cost + took, member.life
        for command in commands:
            if member.life != life:
                return
            ready += self._carry_out(member=member, command=command, ready=ready - self.now)
        member.longest = max(member.longest, ready - self.now)
        member.busy_until = ready if self._is_charged else self.now

    def _carry_out(self, *, member: Member, command: object, ready: float) -> float:
        ready = ready if self._is_charged else 0.0
        if isinstance(command, SendMessage):
            return self._send(member=member, to=self.members.get(command.to), body=command.body, ready=ready)
        if isinstance(command, LogEvent):
            self.watch(member, command)
        elif isinstance(command, Respond):
            self.answers[command.token] = command
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self._store(member=member, command=command, ready=ready)
        elif isinstance(command, ValidateConfig):
            begun = time.process_time()
            verdict = check_config(config=command.config)
            took = time.process_time() - begun
            member.cost["check"] += took
            self.give(member=member, event=ConfigValidated(token=command.token, verdict=verdict), delay=ready + took)
        elif isinstance(command, StartCall):
            self._call(member=member, command=command, ready=ready)
        elif isinstance(command, ExitProcess):
            self.kill(member=member)
        return 0.0

    def _send(self, *, member: Member, to: Member | None, body: dict, ready: float) -> float:
        if to is member:
            self.give(member=member, event=MessageReceived(sender=member.post, body=body), delay=ready)
            return 0.0
        weight = self._scale.step(body=body)
        member.cost["pack"] += weight.pack
        member.sent["messages"] += 1
        member.sent["bytes"] += weight.size
        if to is None or to.owner is None or (member.region in self.cut) != (to.region in self.cut):
            self.lost["unreachable"] += 1
            return weight.pack
        link = self.link(one=member, other=to)
        self.messages[(body["kind"], link)] += 1
        self.bytes[(body["kind"], link)] += weight.size
        to.heard["messages"] += 1
        to.heard["bytes"] += weight.size
        if not weight.is_readable:
            self.lost["unreadable"] += 1
            return weight.pack
        delay = ready + self._delays[link] + (weight.pack if self._is_charged else 0.0)
        self.give(member=to, event=MessageReceived(sender=member.post, body=body), cost=weight.unpack, delay=delay)
        return weight.pack

    def _store(self, *, member: Member, command: AppendRecords | RewriteRecords, ready: float) -> None:
        size = len(pack_frame(records=command.records))
        self.disk["syncs"] += 1
        self.disk["bytes"] += size
        member.records = (member.records if isinstance(command, AppendRecords) else []) + list(command.records)
        self.give(member=member, event=RecordsSynced(seq=command.seq), delay=ready + SYNC)

    def _call(self, *, member: Member, command: StartCall, ready: float) -> None:
        is_list = command.owner == "platform"
        self.calls["list" if is_list else "worker"] += 1
        if is_list:
            token = command.path.rpartition("=")[2] if "=" in command.path else "0"
            body = self._pages[int(token) // max(1, _rows_in(pages=self._pages))] if self._pages else b""
        else:
            body = b"{}"
        headers = {} if is_list else {"instance-id": command.owner}
        called = CallFinished(token=command.token, code=200, headers=headers, body=body, fault="", sent=True)
        self.give(member=member, event=called, delay=ready + API)


def _rows_in(*, pages: list[bytes]) -> int:
    return len(json.loads(pages[0])["instances"])


def ask_operator(
    *, network: Network, member: Member, token: str, method: str, path: str, body: bytes, if_match: str
) -> None:
    """An operator's call; too large a body is not read, as at the front."""
    given = body if len(body) <= constants.MAX_CONFIG_BYTES else None
    network.give(
        member=member,
        event=RequestReceived(
            token=token, method=method, path=path, query={}, headers={"if-match": if_match}, body=given
        ),
    )
