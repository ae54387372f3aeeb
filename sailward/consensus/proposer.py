"""The proposer: changes and reads of registers in two rounds at a majority."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import FIRST
from sailward.events import Tell

EMPTY = {"number": 0, "mark": "", "trail": [], "text": ""}


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change with this number was chosen; `value` is what stands now, which may be a later one."""

    number: int
    ballot: list
    value: dict


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The change is not in force and never will be; `value` is the current one if it is known."""

    reason: str
    value: dict
    ballot: list


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The change may be in force, now or later: read back."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Settled:
    """An operation has ended."""

    op: str
    register: str
    outcome: Accepted | Refused | Unknown


@dataclass(frozen=True, kw_only=True)
class Begin:
    """Begin an operation: a read, or a change of the value numbered `expected`.

    `first` tries one round under the shared first ballot, for a register that likely has no value.
    """

    op: str
    register: str
    expected: int = 0
    text: str | None = None
    first: bool = False
    wait: float = constants.OPERATION_EXPIRY


@dataclass(kw_only=True)
class Operation:
    """One operation under way."""

    begin: Begin
    mark: str
    expiry: float
    voters: dict
    number: int = 0
    phase: str = "read"
    ballot: list = field(default_factory=lambda: [0, ""])
    answers: dict = field(default_factory=dict)
    value: dict = field(default_factory=dict)
    offered: bool = False
    again: float = 0.0
    tries: int = 0
    seen: int = 0
    against: set = field(default_factory=set)


class Proposer:
    """Owner of the operations that this process has begun. `step` gives (commands, settled)."""

    def __init__(self, *, identity: str, rng: random.Random) -> None:
        self.identity = identity
        self._rng = rng
        self._count = 0
        self._live: dict[str, Operation] = {}
        self._round = 0

    def step(self, *, now: float, voters: dict, event: object) -> tuple[list, list[Settled]]:
        """Take a Begin, a message from a voter (sender, body), or None for time going on."""
        if isinstance(event, Begin):
            return self._begin(now=now, voters=voters, begin=event)
        if event is None:
            return self._look_at_alarms(now=now, voters=voters)
        sender, body = event
        # the op on the wire carries the process's name, so that no other's is taken for it
        work = self._live.get(body["op"])
        if work is None or body["register"] != work.begin.register or sender not in work.voters.values():
            return [], []
        return self._hear(now=now, work=work, sender=sender, body=body)

    def _begin(self, *, now: float, voters: dict, begin: Begin) -> tuple[list, list[Settled]]:
        if not voters.get("members"):
            outcome = Refused(reason="no-voters", value=EMPTY, ballot=[0, ""])
            return [], [Settled(op=begin.op, register=begin.register, outcome=outcome)]
        self._count += 1
        work = Operation(
            begin=begin,
            mark=f"{self.identity}.{self._count}",
            expiry=now + begin.wait,
            voters=voters["members"],
            number=voters["number"],
            seen=self._round,
        )
        self._live[begin.op] = work
        work.phase = "read" if begin.text is None else "prepare"
        if begin.first and begin.expected == 0 and begin.text is not None:
            work.phase, work.ballot, work.offered = "first", FIRST, True
            work.value = {"number": 1, "mark": work.mark, "trail": [], "text": begin.text}
        return self._open_round(now=now, work=work), []

    def _open_round(self, *, now: float, work: Operation) -> list:
        size = len(work.begin.text or "") + len(work.value.get("text", ""))
        work.answers, work.again = {}, now + constants.ROUND_WAIT + size * constants.ROUND_PER_BYTE
        body = {"op": work.begin.op, "register": work.begin.register, "voters": work.number}
        if work.phase == "read":
            body["kind"] = "read"
        elif work.phase == "first":
            body |= {"kind": "first", "value": work.value}
        elif work.phase == "prepare":
            self._round = max(self._round, work.seen) + 1
            work.ballot = [self._round, self.identity]
            body |= {"kind": "prepare", "ballot": work.ballot}
        else:
            body |= {"kind": "accept", "ballot": work.ballot, "value": work.value}
        return [Tell(to=address, body=body) for address in sorted(set(work.voters.values()))]

    def _look_at_alarms(self, *, now: float, voters: dict) -> tuple[list, list[Settled]]:
        commands, settled = [], []
        for work in list(self._live.values()):
            if now >= work.expiry:
                settled.append(self._give_up(work=work))
            elif now >= work.again:
                work.voters, work.number = voters["members"], voters["number"]
                work.phase, work.tries = "prepare", work.tries + 1
                commands += self._open_round(now=now, work=work)
        return commands, settled

    def _give_up(self, *, work: Operation) -> Settled:
        if work.offered:
            return self._settle(work=work, outcome=Unknown(reason="accept-round-unfinished"))
        return self._settle(work=work, outcome=Refused(reason="no-majority", value=EMPTY, ballot=[0, ""]))

    def _settle(self, *, work: Operation, outcome: object) -> Settled:
        del self._live[work.begin.op]
        return Settled(op=work.begin.op, register=work.begin.register, outcome=outcome)

    def _hear(self, *, now: float, work: Operation, sender: str, body: dict) -> tuple[list, list[Settled]]:
        kind = body["kind"]
        if kind == "nack" and work.phase == "first":
            return self._hear_taken(now=now, work=work, sender=sender), []
        if kind == "nack":
            return self._hear_nack(now=now, work=work, body=body), []
        expected = {"first": "voted", "read": "told", "prepare": "promise", "accept": "voted"}[work.phase]
        if kind != expected or (kind != "told" and body["ballot"] != work.ballot):
            return [], []
        work.answers[sender] = body.get("vote", [])
        need = fast_of(members=work.voters) if work.phase == "first" else majority_of(members=work.voters)
        if len(work.answers) < need:
            return [], []
        if work.phase == "read":
            return self._judge_read(now=now, work=work)
        if work.phase == "prepare":
            return self._judge_promises(now=now, work=work)
        return [], [self._settle(work=work, outcome=self._judge_votes(work=work))]

    def _hear_taken(self, *, now: float, work: Operation, sender: str) -> list:
        work.against.add(sender)
        if len(work.against) <= len(work.voters) - fast_of(members=work.voters):
            return []
        work.phase = "prepare"
        return self._open_round(now=now, work=work)

    def _hear_nack(self, *, now: float, work: Operation, body: dict) -> list:
        if body["reason"] != "promised" or body["ballot"] != work.ballot or work.phase == "read":
            return []
        work.seen = max(work.seen, body["round"])
        work.tries += 1
        pause = constants.BACKOFF * self._rng.random() * min(work.tries, 8)
        work.again, work.phase = min(work.again, now + pause), "prepare"
        work.ballot, work.answers = [0, ""], {}
        return []

    def _judge_read(self, *, now: float, work: Operation) -> tuple[list, list[Settled]]:
        told = list(work.answers.values())
        for one in told:
            is_first = bool(one) and one[0] == FIRST
            need = fast_of(members=work.voters) if is_first else majority_of(members=work.voters)
            if told.count(one) >= need:
                ballot, value = one if one else ([0, ""], EMPTY)
                return [], [self._settle(work=work, outcome=_read(ballot=ballot, value=value))]
        work.again = now if len(told) == len(work.voters) else min(work.again, now + constants.BACKOFF)
        return [], []

    def _judge_promises(self, *, now: float, work: Operation) -> tuple[list, list[Settled]]:
        value = newest_of(votes=list(work.answers.values()), members=work.voters)
        begin = work.begin
        if begin.text is None or work.mark in (value["mark"], *value["trail"]):
            work.value = value
        elif value["number"] == begin.expected:
            trail = [value["mark"], *value["trail"]][: constants.TRAIL]
            work.value = {"number": value["number"] + 1, "mark": work.mark, "trail": trail, "text": begin.text}
            work.offered = True
        else:
            work.value = value
        if work.value["number"] == 0:
            return [], [
                self._settle(work=work, outcome=_read(ballot=[0, ""], value=EMPTY))
                if begin.text is None
                else self._refuse(work=work)
            ]
        work.phase = "accept"
        return self._open_round(now=now, work=work), []

    def _refuse(self, *, work: Operation) -> Settled:
        return self._settle(work=work, outcome=Refused(reason="number", value=work.value, ballot=work.ballot))

    def _judge_votes(self, *, work: Operation) -> Accepted | Refused | Unknown:
        ours = work.mark in (work.value["mark"], *work.value["trail"])
        if work.begin.text is None:
            return _read(ballot=work.ballot, value=work.value)
        if ours:
            return Accepted(number=work.begin.expected + 1, ballot=work.ballot, value=work.value)
        if work.offered and work.value["number"] > work.begin.expected + constants.TRAIL:
            return Unknown(reason="trail-too-short")
        return Refused(reason="number", value=work.value, ballot=work.ballot)


def _read(*, ballot: list, value: dict) -> Accepted:
    return Accepted(number=value["number"], ballot=ballot, value=value)


def newest_of(*, votes: list, members: dict) -> dict:
    """The value that may have been chosen, by the votes of so many voters; empty if none can have been.

    Under the first ballot voters may hold different values: one can have been chosen only if so many of
    these hold it that, with all others, they reach the quorum of that ballot.
    """
    cast = [vote for vote in votes if vote]
    top = max((vote[0] for vote in cast), default=[0, ""])
    newest = [vote[1] for vote in cast if vote[0] == top]
    if top != FIRST:
        return newest[0] if newest else EMPTY
    need = fast_of(members=members) + len(votes) - len(members)
    for value in newest:
        if sum(other["mark"] == value["mark"] for other in newest) >= need:
            return value
    return EMPTY


def fast_of(*, members: dict) -> int:
    """How many voters choose under the first ballot: any two such sets and a majority have one in common."""
    return (2 * len(members) - majority_of(members=members)) // 2 + 1


def majority_of(*, members: dict) -> int:
    """How many of these voters are a majority."""
    return len(members) // 2 + 1


def blocking_of(*, members: dict) -> int:
    """How many of these voters have one in common with every majority."""
    return len(members) - majority_of(members=members) + 1
