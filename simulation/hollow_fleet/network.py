"""Virtual time and a simulated network with accounting.

It counts the bytes of each message, and the processor time of each step, of packing and of unpacking.
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
SAMPLE_INTERVAL = 24
"""One in so many messages of the same kind and shape is really packed; the others use its cached weight."""
SYNC_DELAY = 0.0005
"""s that a disk takes to sync, as in production."""
CALL_DELAY = 0.005
"""s that a call to the platform's list or to a worker takes."""
MAX_CACHED_WEIGHTS = 4000
"""Entries in the cache of weights."""


@dataclass(kw_only=True, eq=False)
class Member:
    """One daemon: its state machine (`owner`) while it is up, and its costs."""

    name: str
    role: str
    zone: str
    region: str
    post: str
    make: Callable
    owner: object = None
    incarnation: int = 0
    records: list = field(default_factory=list)
    queue: deque = field(default_factory=deque)
    is_waiting: bool = False
    busy_until: float = 0.0
    tick_at: float = 0.0
    cost: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)
    received: Counter = field(default_factory=Counter)
    longest_busy: float = 0.0


@dataclass(kw_only=True)
class Weight:
    """The cost of a message: the bytes of its frame, and the s of packing and of unpacking it."""

    size: int = 0
    pack: float = 0.0
    unpack: float = 0.0
    uses: int = 0
    is_readable: bool = True


class MessageScale:
    """Weighs messages with the product's own packing. `step` returns the Weight of a body."""

    def __init__(self) -> None:
        self._weights: dict = {}

    def step(self, *, body: dict) -> Weight:
        """Weigh a body, or return the cached weight of a similar one."""
        key = _cache_key(body=body)
        weight = self._weights.get(key)
        if weight is None:
            if len(self._weights) > MAX_CACHED_WEIGHTS:
                self._weights.clear()
            weight = self._weights[key] = Weight()
        is_large = weight.size > 20 * constants.MESSAGE_TRANSPORT_COMPRESSION_MIN_BYTES
        if weight.uses == 0 or (weight.uses % SAMPLE_INTERVAL == 0 and not is_large):
            started_at = time.process_time()
            frame = pack_body(body=body)
            packed = time.process_time()
            length, encoding = LENGTH.unpack_from(frame)
            read = read_body(payload=frame[LENGTH.size :], encoding=encoding)
            ended = time.process_time()
            is_readable = not isinstance(read, BadMessage) and length <= constants.MAX_FRAME_BYTES
            uses, share = weight.uses, 1.0 if weight.uses == 0 else 0.3
            weight = self._weights[key] = Weight(
                size=len(frame),
                is_readable=is_readable,
                uses=uses,
                pack=weight.pack + share * (packed - started_at - weight.pack),
                unpack=weight.unpack + share * (ended - packed - weight.unpack),
            )
        weight.uses += 1
        return weight


def _cache_key(*, body: dict) -> tuple:
    kind = body["kind"]
    if "value" in body and isinstance(body["value"], dict):
        return (kind, body.get("name") or body.get("register", ""), body["value"]["text"])
    if kind == "ask":
        report = body["report"]
        return (kind, len(body["have"]), len(report.get("down", ())), sum(map(len, report.get("loads", {}).values())))
    sizes = tuple(len(value) for value in body.values() if isinstance(value, (list, dict)))
    return (kind, *(size if size < 16 else size // 16 * 16 for size in sizes))


class Network:
    """Runs members on virtual time. A member is busy for the measured time of its steps, packing and unpacking."""

    def __init__(
        self, *, delays: tuple[float, float, float], pages: list[bytes], counts_busy_time: bool = True
    ) -> None:
        self.now = 0.0
        self.members: dict[str, Member] = {}
        self.on_log: Callable[[Member, LogEvent], None] = lambda member, log: None
        self.answers: dict[str, Respond] = {}
        self.cut_regions: set[str] = set()
        self.messages: Counter = Counter()
        self.bytes: Counter = Counter()
        self.lost: Counter = Counter()
        self.disk: Counter = Counter()
        self.steps: defaultdict = defaultdict(lambda: [0, 0.0])
        self.calls: Counter = Counter()
        self._delays, self._pages, self._counts_busy_time = (
            dict(zip(LINKS, delays, strict=True)),
            pages,
            counts_busy_time,
        )
        self._scale = MessageScale()
        self._timers: list = []
        self._count = 0

    def add(self, *, member: Member) -> None:
        """Register a member; it is not started yet."""
        self.members[member.post] = member

    def schedule(self, *, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` s."""
        self._count += 1
        heapq.heappush(self._timers, (self.now + delay, self._count, action))

    def run(self, *, seconds: float, condition: Callable[[], bool] | None = None) -> bool:
        """Advance the time, at most until the condition holds; returns whether it holds."""
        end, next_check = self.now + seconds, self.now
        while self._timers and self._timers[0][0] <= end:
            self.now, _, action = heapq.heappop(self._timers)
            action()
            if condition is not None and self.now >= next_check:
                next_check = self.now + 0.01
                if condition():
                    return True
        self.now = end
        return condition is not None and condition()

    def start(self, *, member: Member, delay: float = 0.0) -> None:
        """Start a member; different delays spread the ticks of the members."""
        member.incarnation += 1
        incarnation = member.incarnation

        def begin() -> None:
            if member.incarnation == incarnation:
                member.owner = member.make(member=member, now=self.now)
                member.busy_until = member.tick_at = self.now
                self._tick(member=member, incarnation=incarnation)

        self.schedule(delay=delay, action=begin)

    def kill(self, *, member: Member) -> None:
        """Kill a member; its disk remains."""
        member.incarnation += 1
        member.owner, member.is_waiting = None, False
        member.queue.clear()

    def deliver(self, *, member: Member, event: object, cost: float = 0.0, delay: float = 0.0) -> None:
        """Deliver an event to a member after `delay` s; `cost` is the s of unpacking before the step."""
        incarnation = member.incarnation
        self.schedule(
            delay=delay, action=lambda: self._on_event(member=member, incarnation=incarnation, event=event, cost=cost)
        )

    def link(self, *, first: Member, second: Member) -> str:
        """The class of the link between two members."""
        return "zone" if first.zone == second.zone else "region" if first.region == second.region else "regions"

    def _tick(self, *, member: Member, incarnation: int) -> None:
        if member.incarnation == incarnation:
            self._on_event(member=member, incarnation=incarnation, event=TimerFired(wall=1000.0 + self.now), cost=0.0)
            member.tick_at = max(member.tick_at + constants.TICK_INTERVAL, member.busy_until)
            self.schedule(
                delay=member.tick_at - self.now, action=lambda: self._tick(member=member, incarnation=incarnation)
            )

    def _on_event(self, *, member: Member, incarnation: int, event: object, cost: float) -> None:
        if member.incarnation != incarnation or member.owner is None:
            return
        if member.is_waiting or member.busy_until > self.now:
            member.queue.append((event, cost))
            if not member.is_waiting:
                member.is_waiting = True
                self.schedule(
                    delay=member.busy_until - self.now,
                    action=lambda: self._drain(member=member, incarnation=incarnation),
                )
            return
        self._step_owner(member=member, event=event, cost=cost)

    def _drain(self, *, member: Member, incarnation: int) -> None:
        if member.incarnation != incarnation:
            return
        member.is_waiting = False
        while member.queue:
            if member.busy_until > self.now:
                member.is_waiting = True
                self.schedule(
                    delay=member.busy_until - self.now,
                    action=lambda: self._drain(member=member, incarnation=incarnation),
                )
                return
            event, cost = member.queue.popleft()
            self._step_owner(member=member, event=event, cost=cost)
            if member.incarnation != incarnation:
                return

    def _step_owner(self, *, member: Member, event: object, cost: float) -> None:
        event_kind = event.body["kind"] if isinstance(event, MessageReceived) else type(event).__name__
        started_at = time.process_time()
        commands = member.owner.step(now=self.now, event=event)
        elapsed = time.process_time() - started_at
        member.cost["step"] += elapsed
        member.cost["unpack"] += cost
        row = self.steps[(member.role, event_kind)]
        row[0] += 1
        row[1] += elapsed + cost
        ready, incarnation = self.now + cost + elapsed, member.incarnation
        for command in commands:
            if member.incarnation != incarnation:
                return
            ready += self._execute(member=member, command=command, ready=ready - self.now)
        member.longest_busy = max(member.longest_busy, ready - self.now)
        member.busy_until = ready if self._counts_busy_time else self.now

    def _execute(self, *, member: Member, command: object, ready: float) -> float:
        ready = ready if self._counts_busy_time else 0.0
        if isinstance(command, SendMessage):
            return self._send(member=member, to=self.members.get(command.to), body=command.body, ready=ready)
        if isinstance(command, LogEvent):
            self.on_log(member, command)
        elif isinstance(command, Respond):
            self.answers[command.token] = command
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self._store(member=member, command=command, ready=ready)
        elif isinstance(command, ValidateConfig):
            started_at = time.process_time()
            verdict = check_config(config=command.config)
            elapsed = time.process_time() - started_at
            member.cost["check"] += elapsed
            self.deliver(
                member=member, event=ConfigValidated(token=command.token, verdict=verdict), delay=ready + elapsed
            )
        elif isinstance(command, StartCall):
            self._call(member=member, command=command, ready=ready)
        elif isinstance(command, ExitProcess):
            self.kill(member=member)
        return 0.0

    def _send(self, *, member: Member, to: Member | None, body: dict, ready: float) -> float:
        if to is member:
            self.deliver(member=member, event=MessageReceived(sender=member.post, body=body), delay=ready)
            return 0.0
        weight = self._scale.step(body=body)
        member.cost["pack"] += weight.pack
        member.sent["messages"] += 1
        member.sent["bytes"] += weight.size
        if to is None or to.owner is None or (member.region in self.cut_regions) != (to.region in self.cut_regions):
            self.lost["unreachable"] += 1
            return weight.pack
        link = self.link(first=member, second=to)
        self.messages[(body["kind"], link)] += 1
        self.bytes[(body["kind"], link)] += weight.size
        to.received["messages"] += 1
        to.received["bytes"] += weight.size
        if not weight.is_readable:
            self.lost["unreadable"] += 1
            return weight.pack
        delay = ready + self._delays[link] + (weight.pack if self._counts_busy_time else 0.0)
        self.deliver(member=to, event=MessageReceived(sender=member.post, body=body), cost=weight.unpack, delay=delay)
        return weight.pack

    def _store(self, *, member: Member, command: AppendRecords | RewriteRecords, ready: float) -> None:
        size = len(pack_frame(records=command.records))
        self.disk["syncs"] += 1
        self.disk["bytes"] += size
        member.records = (member.records if isinstance(command, AppendRecords) else []) + list(command.records)
        self.deliver(member=member, event=RecordsSynced(seq=command.seq), delay=ready + SYNC_DELAY)

    def _call(self, *, member: Member, command: StartCall, ready: float) -> None:
        is_list = command.owner == "platform"
        self.calls["list" if is_list else "worker"] += 1
        if is_list:
            token = command.path.rpartition("=")[2] if "=" in command.path else "0"
            body = self._pages[int(token) // max(1, _page_size(pages=self._pages))] if self._pages else b""
        else:
            body = b"{}"
        headers = {} if is_list else {"instance-id": command.owner}
        called = CallFinished(token=command.token, code=200, headers=headers, body=body, fault="", sent=True)
        self.deliver(member=member, event=called, delay=ready + CALL_DELAY)


def _page_size(*, pages: list[bytes]) -> int:
    return len(json.loads(pages[0])["instances"])


def send_operator_request(
    *, network: Network, member: Member, token: str, method: str, path: str, body: bytes, if_match: str
) -> None:
    """Send an operator's request; a body that is too large is not read, as by the real HTTP server."""
    readable_body = body if len(body) <= constants.MAX_CONFIG_BYTES else None
    network.deliver(
        member=member,
        event=RequestReceived(
            token=token, method=method, path=path, query={}, headers={"if-match": if_match}, body=readable_body
        ),
    )
