"""Granters, voters and workers in virtual time for the tests of granting; each hold is checked against all others."""

from __future__ import annotations

import heapq
import itertools
import json
import random
from dataclasses import dataclass, field

from sailward import constants
from sailward.control.shards.grant_targets import GrantContext
from sailward.control.shards.granting import Granting
from sailward.events import CallFinished, StartCall
from sailward.routing.shards import KEYS

CLOCK_SLOWNESS = 1 / 0.98
SERVICE = "cart"


@dataclass(frozen=True, kw_only=True)
class ListedWorker:
    name: str
    service: str
    address: str
    zone: str
    leaving: bool = False
    slow_start: float = 0.0


class Codec:
    def grant(self, *, start: int, end: int, fencing_token: int, hold: float, handover: str, owner: str) -> tuple:
        body = {"start": start, "end": end, "fence": fencing_token, "hold": hold, "handover": handover}
        return "POST", "/hold", {"owner": owner}, json.dumps(body).encode()

    def release(self, *, start: int, end: int, fencing_token: int, owner: str) -> tuple:
        return (
            "POST",
            "/let-go",
            {"owner": owner},
            json.dumps({"start": start, "end": end, "fence": fencing_token}).encode(),
        )

    def handover(self, *, headers: dict) -> str:
        return headers.get("passed-on", "")


@dataclass(kw_only=True)
class Hold:
    start: int
    end: int
    until: float
    fencing_token: int


@dataclass(kw_only=True)
class FakeWorker:
    """A worker's process: times holds by a slow clock, rejects lower fences, finishes requests before a release."""

    key: str
    address: str
    zone: str
    is_alive: bool = True
    is_leaving: bool = False
    slow_start: float = 0.0
    is_listed: bool = True
    is_unreachable: bool = False
    is_refusing: bool = False
    silent_to: set = field(default_factory=set)
    holds: list = field(default_factory=list)
    known_fences: list = field(default_factory=list)
    handovers: list = field(default_factory=list)

    @property
    def fault(self) -> str:
        """The fault of a call to its address, or ""."""
        if not self.is_alive or self.is_refusing:
            return "refused"
        return "no-connection" if self.is_unreachable else ""

    def current_holds(self, *, now: float) -> list[Hold]:
        return [hold for hold in self.holds if hold.until > now] if self.is_alive else []

    def handle_grant(self, *, now: float, body: dict) -> int:
        start, end, fencing_token = body["start"], body["end"], body["fence"]
        if any(first <= end and start <= last and fence > fencing_token for first, last, fence in self.known_fences):
            return 409
        self.known_fences.append((start, end, fencing_token))
        self.drop(start=start, end=end)
        self.holds.append(
            Hold(start=start, end=end, until=now + body["hold"] * CLOCK_SLOWNESS, fencing_token=fencing_token)
        )
        self.handovers.append(body["handover"])
        return 200

    def drop(self, *, start: int, end: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.end < start or end < hold.start:
                kept.append(hold)
                continue
            if hold.start < start:
                kept.append(Hold(start=hold.start, end=start - 1, until=hold.until, fencing_token=hold.fencing_token))
            if end < hold.end:
                kept.append(Hold(start=end + 1, end=hold.end, until=hold.until, fencing_token=hold.fencing_token))
        self.holds = kept


@dataclass(kw_only=True)
class Granter:
    """One incarnation of a controller, with its copy of the register and the read leases on it."""

    name: str
    incarnation: int
    granting: Granting
    value: dict = field(default_factory=lambda: {"number": 0, "text": ""})
    fresh: dict = field(default_factory=dict)
    is_up: bool = True
    is_cut: bool = False
    is_acting: bool = False
    blind: frozenset = frozenset()
    down_since: dict = field(default_factory=dict)


class World:
    """A register with compare-and-swap and read leases, granters, workers and a network, all in virtual time."""

    def __init__(self, *, seed: int, granters: int = 3, workers: int = 4, zones: int = 2, slowest: float = 0.5) -> None:
        self.rng = random.Random(seed)
        self.now, self.slowest = 0.0, slowest
        self.register = {"number": 0, "text": ""}
        self.ids, self.events = itertools.count(1), []
        self.granters = [self.start_granter(name=f"c{at}") for at in range(granters)]
        self.granters[0].is_acting = True
        self.workers: list[FakeWorker] = []
        self.zones = [f"h{at}" for at in range(zones)]
        for at in range(workers):
            self.start_worker(address=f"w{at}", zone=self.zones[at % zones])
        self.evacuated_zones: frozenset = frozenset()
        self.loads: dict = {}
        self.overlaps: list = []
        self.changes = 0
        self.calls: list = []

    def start_granter(self, *, name: str) -> Granter:
        incarnation = next(self.ids)
        return Granter(
            name=name,
            incarnation=incarnation,
            granting=Granting(service=SERVICE, own_name=f"{name}#{incarnation}", codec=Codec()),
        )

    def start_worker(self, *, address: str, zone: str) -> FakeWorker:
        worker = FakeWorker(key=f"{address}/{next(self.ids)}", address=address, zone=zone)
        self.workers.append(worker)
        return worker

    def at(self, *, delay: float, act: object) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.ids), act))

    def delay(self) -> float:
        return self.rng.uniform(0.0, self.slowest) if self.rng.random() < 0.2 else self.rng.uniform(0.001, 0.03)

    def run(self, *, seconds: float) -> None:
        """Advance the time tick by tick, and run the events due between the ticks."""
        until = self.now + seconds
        while self.now < until:
            tick = self.now + constants.TICK_INTERVAL
            while self.events and self.events[0][0] <= tick:
                self.now, _, act = heapq.heappop(self.events)
                act()
            self.now = tick
            for granter in self.granters:
                if granter.is_up:
                    if round(self.now / constants.TICK_INTERVAL) % 5 == 0:
                        self.ask(granter=granter)
                    self.step(granter=granter, event=None)

    def ask(self, *, granter: Granter) -> None:
        requested_at = self.now
        if granter.is_cut:
            return

        def arrive() -> None:
            number, value = self.register["number"], self.register
            if not granter.is_cut:
                self.at(
                    delay=self.delay(),
                    act=lambda: self.confirm(granter=granter, requested_at=requested_at, number=number, value=value),
                )

        self.at(delay=self.delay(), act=arrive)

    def confirm(self, *, granter: Granter, requested_at: float, number: int, value: dict) -> None:
        if granter.is_cut:
            return
        granter.fresh[number] = max(granter.fresh.get(number, -1e9), requested_at + constants.GRANT_CONFIRMATION_TTL)
        if number > granter.value["number"] and self.rng.random() < 0.7:
            granter.value = value

    def step(self, *, granter: Granter, event: CallFinished | None) -> None:
        listed_workers = {
            worker.key: ListedWorker(
                name=worker.key,
                service=SERVICE,
                address=worker.address,
                zone=worker.zone,
                leaving=worker.is_leaving,
                slow_start=worker.slow_start,
            )
            for worker in self.workers
            if worker.is_listed and worker.key not in granter.blind
        }
        context = GrantContext(
            value=granter.value,
            workers=listed_workers,
            fresh_until=granter.fresh.get(granter.value["number"], -1e9),
            is_acting=granter.is_acting,
            evacuated_zones=self.evacuated_zones,
            down_since=granter.down_since,
            loads=self.loads,
        )
        commands, changes = granter.granting.step(now=self.now, event=event, context=context)
        for command in commands:
            if isinstance(command, StartCall):
                self.call(granter=granter, call=command)
        for _, number, text in changes:
            self.changes += 1
            if not granter.is_cut:
                self.at(
                    delay=self.delay(),
                    act=lambda number=number, text=text: self.swap(granter=granter, number=number, text=text),
                )

    def swap(self, *, granter: Granter, number: int, text: str) -> None:
        if self.register["number"] != number:
            return
        value = self.register = {"number": number + 1, "text": text}
        chosen_at = self.now
        for other in self.granters:
            if not other.is_cut and (other is granter or self.rng.random() < 0.8):
                self.at(
                    delay=self.delay(),
                    act=lambda other=other: self.learn(granter=other, value=value, chosen_at=chosen_at),
                )

    def learn(self, *, granter: Granter, value: dict, chosen_at: float) -> None:
        if not granter.is_cut and value["number"] > granter.value["number"]:
            granter.value = value
            granter.fresh[value["number"]] = max(
                granter.fresh.get(value["number"], -1e9), chosen_at + constants.GRANT_CONFIRMATION_TTL
            )

    def call(self, *, granter: Granter, call: StartCall) -> None:
        self.calls.append((self.now, call))
        state = {"ended": False}

        def end(*, code: int, fault: str = "", headers: dict | None = None, sent: bool = True) -> None:
            if state["ended"] or not granter.is_up:
                return
            state["ended"] = True
            self.step(
                granter=granter,
                event=CallFinished(
                    token=call.token, code=code, headers=headers or {}, body=b"", fault=fault, sent=sent
                ),
            )

        def begin() -> None:
            if not granter.is_up:
                return
            if self.now > call.begin_by:
                end(code=0, fault="too-late", sent=False)
                return
            self.at(delay=self.flight(call=call), act=lambda: self.arrive(granter=granter, call=call, answer=answer))
            self.at(delay=call.timeout, act=lambda: end(code=0, fault="timed-out"))

        def answer(*, worker: FakeWorker, code: int, headers: dict | None = None, fault: str = "") -> None:
            if granter.name in worker.silent_to:
                return
            self.at(delay=self.delay(), act=lambda: end(code=code, headers=headers, fault=fault, sent=not fault))

        self.at(delay=self.rng.choice((0.0, 0.0, 0.1)), act=begin)

    def arrive(self, *, granter: Granter, call: StartCall, answer: object) -> None:
        worker = self.worker_at(address=call.address)
        if granter.name in worker.silent_to:
            return
        if worker.fault:
            answer(worker=worker, code=0, fault=worker.fault)
        elif worker.key != call.headers["owner"]:
            answer(worker=worker, code=421)
        else:
            self.serve(worker=worker, call=call, answer=answer)

    def flight(self, *, call: StartCall) -> float:
        """The time that a call is in transit; a delayed grant may arrive at the latest permitted time."""
        flight = self.delay()
        if flight > 0.4 and self.slowest >= 0.5 and call.path == "/hold":
            return self.rng.uniform(0.0, call.timeout + constants.GRANT_IN_FLIGHT_LIMIT - 0.01)
        return flight

    def worker_at(self, *, address: str) -> FakeWorker:
        """The live worker at the address, or the most recent one if none is alive."""
        here = [worker for worker in self.workers if worker.address == address]
        alive = [worker for worker in here if worker.is_alive]
        return alive[-1] if alive else here[-1]

    def serve(self, *, worker: FakeWorker, call: StartCall, answer: object) -> None:
        body = json.loads(call.body)
        if call.path == "/hold":
            code = worker.handle_grant(now=self.now, body=body)
            if code == 200:
                self.check(worker=worker)
            answer(worker=worker, code=code)
            return

        def done() -> None:
            worker.drop(start=body["start"], end=body["end"])
            answer(worker=worker, code=200, headers={"passed-on": f"from {worker.key}"})

        # the keys of running requests count as held until the answer
        self.at(delay=self.rng.choice((0.0, 0.02, 0.3)), act=done)

    def check(self, *, worker: FakeWorker) -> None:
        for other in self.workers:
            if other is not worker:
                for hold in worker.current_holds(now=self.now):
                    self.overlaps += [
                        (self.now, worker.key, other.key, hold, other_hold)
                        for other_hold in other.current_holds(now=self.now)
                        if hold.start <= other_hold.end and other_hold.start <= hold.end
                    ]

    def held_keys(self) -> int:
        """The number of keys held by live workers (a key held twice is recorded in `overlaps`)."""
        return sum(hold.end - hold.start + 1 for worker in self.workers for hold in worker.current_holds(now=self.now))

    def run_until_all_held(self, *, within: float) -> float:
        """Seconds until every key is held."""
        start = self.now
        while self.held_keys() < KEYS and self.now - start <= within:
            self.run(seconds=constants.TICK_INTERVAL)
        return self.now - start

    def keys_of(self, *, worker: FakeWorker) -> int:
        return sum(hold.end - hold.start + 1 for hold in worker.current_holds(now=self.now))


def make_settled(**settings: object) -> World:
    world = World(seed=1, slowest=0.03, **settings)
    world.run(seconds=5.0)
    assert world.held_keys() == KEYS
    return world


def loads_by_bucket(*, loads: dict) -> dict:
    """Loads by bucket, from loads by 256ths of the key space."""
    width = constants.KEY_LOAD_BUCKETS // 256
    return {at * width + rest: rate / width for at, rate in loads.items() for rest in range(width)}


def crash(*, world: World, worker: FakeWorker, unlist_after: float = 1.0, again_after: float = 1.5) -> None:
    worker.is_alive = False

    def vanish() -> None:
        worker.is_listed = False

    world.at(delay=unlist_after, act=vanish)
    world.at(delay=again_after, act=lambda: world.start_worker(address=worker.address, zone=worker.zone))
