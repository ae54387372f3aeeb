"""A core of controllers in simulated time: two regions 55 ms apart, disk syncs, kills, wipes and partitions."""

from __future__ import annotations

import heapq
import json
import random
from pathlib import Path

from sailward.config.check import check_config
from sailward.consensus.messages import check_message
from sailward.control.bootstrap import Bootstrap
from sailward.control.controller import Controller
from sailward.control.controller_options import ControllerOptions
from sailward.discovery.peer_table import Location
from sailward.events import (
    AppendRecords,
    CallFinished,
    ConfigValidated,
    ExitProcess,
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
from sailward.runtime.adapter import load_part

FOLDER = Path(__file__).parent.parent / "platform"
CONFIG = load_part(folder=FOLDER, name="config")
OPERATORS = load_part(folder=FOLDER, name="operators")
WORKERS = load_part(folder=FOLDER, name="workers")
ZONES = {"gdl-a": "gdl", "ens-a": "ens", "gdl-b": "gdl", "ens-b": "ens"}
TICK, SYNC = 0.05, 0.002


class Machine:
    """One machine with a disk and, while it runs, a controller."""

    def __init__(self, *, name: str, zone: str, post: str) -> None:
        self.name, self.zone, self.post = name, zone, post
        self.disk: list[dict] = []
        self.controller: Controller | None = None
        self.incarnation, self.starts = 0, 0


class CoreNet:
    """Machines, messages and operators' calls in simulated time."""

    def __init__(
        self,
        *,
        zones: list[str],
        seeds: int = 3,
        budget: int = 1,
        seed: int = 1,
        bare: frozenset = frozenset(),
        **options: object,
    ) -> None:
        self.bare = bare
        self.now, self._queue, self._count = 0.0, [], 0
        self.rng = random.Random(seed)
        self.machines = [Machine(name=f"m{at}", zone=zone, post=f"10.0.0.{at}:7620") for at, zone in enumerate(zones)]
        self.posts = tuple(machine.post for machine in self.machines[:seeds])
        self.budget = budget
        self.cut: set = set()
        self.answers: dict[str, Respond] = {}
        self.calls = 0
        self.rows: list[dict] = []
        self.options = {
            "list_rate": 37.0,
            "replace_after": 1.0,
            "repair_interval": 0.25,
            "copy_retry_interval": 0.25,
            **options,
        }

    def after(self, delay: float, action) -> None:
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay, self._count, action))

    def run(self, seconds: float, until=None) -> bool:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
            if until is not None and until():
                return True
        self.now = end
        return False

    def start(self, machine: Machine, *, bootstrap: bool = False, start: int | None = None) -> None:
        machine.incarnation, machine.starts = machine.incarnation + 1, machine.starts + 1
        options = ControllerOptions(
            dialect=OPERATORS.OperatorsDialect(zones=ZONES),
            expand=lambda written: CONFIG.expand(written, ZONES),
            reader=WORKERS.WorkersReader(),
            zones=tuple(ZONES.items()),
            bootstrap=Bootstrap(is_first=bootstrap, posts=self.posts, budget=self.budget),
            is_mesh=True,
            publishes_proxy_list=True,
            has_disk=machine.name not in self.bare,
            **self.options,
        )
        location = Location(
            name=machine.name,
            kind="controller",
            zone=machine.zone,
            region=ZONES[machine.zone],
            post=machine.post,
            http=machine.post,
            seeds=self.posts,
        )
        nonce = f"{self.rng.getrandbits(48):012x}"
        if machine.name in self.bare:
            machine.disk = []
        machine.controller = Controller(
            location=location,
            platform="10.9.9.9:1",
            nonce=nonce,
            start=start or int(1e6 + self.now * 1e6),
            rng=random.Random(nonce),
            records=list(machine.disk),
            now=self.now,
            options=options,
        )
        self._tick(machine=machine, incarnation=machine.incarnation)

    def kill(self, machine: Machine, *, wipe: bool = False) -> None:
        machine.controller, machine.incarnation = None, machine.incarnation + 1
        if wipe:
            machine.disk = []

    def voting(self) -> list[Machine]:
        return [machine for machine in self.machines if machine.controller is not None and machine.controller.is_voting]

    def members(self) -> list[str]:
        newest = max(
            (machine.controller.voters for machine in self.machines if machine.controller),
            key=lambda voters: voters.number,
        )
        return sorted(newest.members.values())

    def ask(
        self,
        machine: Machine,
        *,
        method: str,
        path: str,
        body: object = b"",
        if_match: str | None = None,
        wait: float = 8.0,
    ) -> tuple:
        """(code, body, seconds) of an operator's call; code 0 if there was no answer."""
        token = self.send(machine, method=method, path=path, body=body, if_match=if_match)
        begun = self.now
        self.run(wait, until=lambda: token in self.answers)
        if token not in self.answers:
            return 0, None, self.now - begun
        answer = self.answers[token]
        return answer.code, json.loads(answer.body or b"null"), self.now - begun

    def send(self, machine: Machine, *, method: str, path: str, body: object = b"", if_match: str | None = None) -> str:
        self.calls += 1
        token = f"desk {self.calls}"
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        headers = {} if if_match is None else {"if-match": if_match}
        event = RequestReceived(token=token, method=method, path=path, query={}, headers=headers, body=data)
        self.after(0.0, lambda: self.give(machine, event=event))
        return token

    def give(self, machine: Machine, *, event: object) -> None:
        if machine.controller is None:
            return
        incarnation = machine.incarnation
        for command in machine.controller.step(now=self.now, event=event):
            if machine.incarnation == incarnation:
                self._carry_out(machine=machine, command=command)

    def _later(self, machine: Machine, *, delay: float, event: object) -> None:
        incarnation = machine.incarnation
        self.after(delay, lambda: self.give(machine, event=event) if machine.incarnation == incarnation else None)

    def _tick(self, *, machine: Machine, incarnation: int) -> None:
        if machine.incarnation == incarnation:
            self.give(machine, event=TimerFired(wall=1000.0 + self.now))
            self.after(TICK, lambda: self._tick(machine=machine, incarnation=incarnation))

    def _carry_out(self, *, machine: Machine, command: object) -> None:
        if isinstance(command, SendMessage):
            to = next(
                (other for other in self.machines if other.post == command.to and other.controller is not None), None
            )
            assert isinstance(check_message(body=command.body), dict), command.body
            if to is None or ({machine.name, to.name} & self.cut and machine is not to):
                return
            is_same_region = ZONES[machine.zone] == ZONES[to.zone]
            delay = 0.0001 if to is machine else 0.0014 if is_same_region else 0.055
            self._later(to, delay=delay, event=MessageReceived(sender=machine.post, body=command.body))
        elif isinstance(command, Respond):
            self.answers[command.token] = command
        elif isinstance(command, (AppendRecords, RewriteRecords)):
            self.after(
                SYNC,
                lambda incarnation=machine.incarnation: self._synced(
                    machine=machine, command=command, incarnation=incarnation
                ),
            )
        elif isinstance(command, ValidateConfig):
            self._later(
                machine,
                delay=0.02,
                event=ConfigValidated(token=command.token, verdict=check_config(config=command.config)),
            )
        elif isinstance(command, StartCall):
            body = json.dumps({"instances": self.rows, "next_token": None}).encode()
            self._later(
                machine,
                delay=0.005,
                event=CallFinished(token=command.token, code=200, headers={}, body=body, fault="", sent=True),
            )
        elif isinstance(command, ExitProcess):
            self.kill(machine)

    def _synced(self, *, machine: Machine, command: AppendRecords | RewriteRecords, incarnation: int) -> None:
        if machine.incarnation != incarnation:
            return
        machine.disk = (machine.disk if isinstance(command, AppendRecords) else []) + list(command.records)
        self.give(machine, event=RecordsSynced(seq=command.seq))


def make_written(*, label: int, routes: int = 4, weight: int = 90) -> dict:
    """A configuration in the platform's format."""

    def rule(at: int) -> dict:
        return {
            "name": f"r-{at}",
            "route_kind": "idempotent" if at % 2 else "nonidempotent",
            "target_s": 0.4,
            "priority": at % 3,
            "matcher": {"path_prefix": f"/p{at}/"},
            "verdict": {
                "split_to": [{"service": "red", "weight": weight}, {"service": "white", "weight": 10}],
                "deadline_s": 2.5,
                "max_tries": 2,
                "home_regions": ["gdl"] if at % 4 == 0 else [],
            },
        }

    return {
        "generation": f"r{label}",
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_s": 3, "idle_timeout_s": 15},
        "listeners": [
            {"hostname": "one.example", "ruleset": [rule(at) for at in range(0, routes, 2)]},
            {"hostname": "two.example", "ruleset": [rule(at) for at in range(1, routes, 2)]},
        ],
        "pools": [
            {"name": "red", "health_path": "/health", "max_conns": 130, "cold_s": 3.0, "cold_rate_s": 6.0},
            {
                "name": "white",
                "health_path": "/health",
                "max_conns": 130,
                "cold_s": 3.0,
                "cold_rate_s": 6.0,
                "sharded": True,
                "warm_s": 3.0,
            },
        ],
    }
