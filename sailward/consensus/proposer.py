"""The proposer: reads and changes registers in two rounds (prepare, accept) at a majority of the voters."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from sailward import constants
from sailward.consensus.acceptor import FIRST_BALLOT
from sailward.consensus.voter_set import VoterSet
from sailward.events import Command, SendMessage
from sailward.wire_types import Ballot, Message, RegisterValue

EMPTY_VALUE: RegisterValue = {"number": 0, "mark": "", "trail": [], "text": ""}


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change with this number was chosen; `value` is the current value, which may be a later one."""

    number: int
    ballot: Ballot
    value: RegisterValue


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The change is not in force and never will be; `value` is the current value if it is known."""

    reason: str
    value: RegisterValue
    ballot: Ballot


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The change may take effect, now or later: read the register to find out."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class OperationFinished:
    """An operation has ended."""

    op: str
    register: str
    outcome: Accepted | Refused | Unknown


@dataclass(frozen=True, kw_only=True)
class StartOperation:
    """Begin an operation: a read if `text` is None, else a change of the value numbered `expected`.

    `use_first_ballot` first attempts a single round under the shared first ballot, for a register that likely has no
    value yet. `timeout` is in s.
    """

    op: str
    register: str
    expected: int = 0
    text: str | None = None
    use_first_ballot: bool = False
    timeout: float = constants.OPERATION_TIMEOUT


class Phase(StrEnum):
    """The round that an operation is in."""

    READ = "read"
    FIRST = "first"
    PREPARE = "prepare"
    ACCEPT = "accept"


REPLIES = {Phase.READ: "told", Phase.FIRST: "voted", Phase.PREPARE: "promise", Phase.ACCEPT: "voted"}
"""The kind of a voter's reply to each round."""


@dataclass(kw_only=True)
class Operation:
    """One operation in progress.

    `change_id` identifies its change. `voters` are the members of voter set `number`; the current round is decided by
    their `answers`, which are keyed by address. `may_be_accepted`: some voter may have accepted its change.
    `refused_by`: voters that refused the round under the first ballot.
    """

    request: StartOperation
    change_id: str
    expiry: float
    voters: Mapping[str, str]
    number: int = 0
    phase: Phase = Phase.READ
    ballot: Ballot = field(default_factory=lambda: [0, ""])
    answers: dict = field(default_factory=dict)
    value: RegisterValue = field(default_factory=EMPTY_VALUE.copy)
    may_be_accepted: bool = False
    retry_at: float = 0.0
    attempts: int = 0
    highest_round: int = 0
    refused_by: set = field(default_factory=set)


class ProposerResult(NamedTuple):
    """The result of a step of the proposer: commands to carry out, and the operations that this step finished."""

    commands: list[Command]
    finished: list[OperationFinished]


class StepResult(NamedTuple):
    """The result of a step of an owner that changes registers: commands to carry out, and operations to start."""

    commands: list[Command]
    operations: list[StartOperation]


class Proposer:
    """Owner of the operations that this process has begun. `step` returns commands and the finished operations."""

    def __init__(self, *, identity: str, rng: random.Random) -> None:
        self.identity = identity
        self._rng = rng
        self._count = 0
        self._pending: dict[str, Operation] = {}
        self._round = 0

    def step(
        self, *, now: float, voters: VoterSet, event: StartOperation | tuple[str, Message] | None
    ) -> ProposerResult:
        """Process an operation to start, a message (sender, body) from a voter, or None for a timer tick."""
        if isinstance(event, StartOperation):
            return self._begin(now=now, voters=voters, request=event)
        if event is None:
            return self._on_timer(now=now, voters=voters)
        sender, body = event
        # operation ids contain the process's name, so a reply to another process's operation is never mistaken for ours
        operation = self._pending.get(body["op"])
        if (
            operation is None
            or body["register"] != operation.request.register
            or sender not in operation.voters.values()
        ):
            return ProposerResult([], [])
        return self._on_reply(now=now, operation=operation, sender=sender, body=body)

    def _begin(self, *, now: float, voters: VoterSet, request: StartOperation) -> ProposerResult:
        if not voters.members:
            outcome = Refused(reason="no-voters", value=EMPTY_VALUE, ballot=[0, ""])
            return ProposerResult([], [OperationFinished(op=request.op, register=request.register, outcome=outcome)])
        self._count += 1
        operation = Operation(
            request=request,
            change_id=f"{self.identity}.{self._count}",
            expiry=now + request.timeout,
            voters=voters.members,
            number=voters.number,
            highest_round=self._round,
        )
        self._pending[request.op] = operation
        operation.phase = Phase.READ if request.text is None else Phase.PREPARE
        if request.use_first_ballot and request.expected == 0 and request.text is not None:
            operation.phase, operation.ballot, operation.may_be_accepted = Phase.FIRST, FIRST_BALLOT, True
            operation.value = {"number": 1, "mark": operation.change_id, "trail": [], "text": request.text}
        return ProposerResult(self._open_round(now=now, operation=operation), [])

    def _open_round(self, *, now: float, operation: Operation) -> list[Command]:
        size = len(operation.request.text or "") + len(operation.value.get("text", ""))
        operation.answers, operation.retry_at = (
            {},
            now + constants.ROUND_TIMEOUT + size * constants.ROUND_TIMEOUT_PER_BYTE,
        )
        body = {"op": operation.request.op, "register": operation.request.register, "voters": operation.number}
        if operation.phase == Phase.READ:
            body["kind"] = "read"
        elif operation.phase == Phase.FIRST:
            body |= {"kind": "first", "value": operation.value}
        elif operation.phase == Phase.PREPARE:
            self._round = max(self._round, operation.highest_round) + 1
            operation.ballot = [self._round, self.identity]
            body |= {"kind": "prepare", "ballot": operation.ballot}
        else:
            body |= {"kind": "accept", "ballot": operation.ballot, "value": operation.value}
        return [SendMessage(to=address, body=body) for address in sorted(set(operation.voters.values()))]

    def _on_timer(self, *, now: float, voters: VoterSet) -> ProposerResult:
        commands, finished = [], []
        for operation in list(self._pending.values()):
            if now >= operation.expiry:
                finished.append(self._give_up(operation=operation))
            elif now >= operation.retry_at:
                operation.voters, operation.number = voters.members, voters.number
                operation.phase, operation.attempts = Phase.PREPARE, operation.attempts + 1
                commands += self._open_round(now=now, operation=operation)
        return ProposerResult(commands, finished)

    def _give_up(self, *, operation: Operation) -> OperationFinished:
        if operation.may_be_accepted:
            return self._finish(operation=operation, outcome=Unknown(reason="accept-round-unfinished"))
        return self._finish(
            operation=operation, outcome=Refused(reason="no-majority", value=EMPTY_VALUE, ballot=[0, ""])
        )

    def _finish(self, *, operation: Operation, outcome: Accepted | Refused | Unknown) -> OperationFinished:
        del self._pending[operation.request.op]
        return OperationFinished(op=operation.request.op, register=operation.request.register, outcome=outcome)

    def _on_reply(self, *, now: float, operation: Operation, sender: str, body: Message) -> ProposerResult:
        kind = body["kind"]
        if kind == "nack" and operation.phase == Phase.FIRST:
            return ProposerResult(self._on_register_taken(now=now, operation=operation, sender=sender), [])
        if kind == "nack":
            return ProposerResult(self._on_nack(now=now, operation=operation, body=body), [])
        expected = REPLIES[operation.phase]
        if kind != expected or (kind != "told" and body["ballot"] != operation.ballot):
            return ProposerResult([], [])
        operation.answers[sender] = body.get("vote", [])
        quorum_size = fast_quorum_size if operation.phase == Phase.FIRST else majority_size
        needed = quorum_size(members=operation.voters)
        if len(operation.answers) < needed:
            return ProposerResult([], [])
        if operation.phase == Phase.READ:
            return self._evaluate_read(now=now, operation=operation)
        if operation.phase == Phase.PREPARE:
            return self._evaluate_promises(now=now, operation=operation)
        return ProposerResult(
            [], [self._finish(operation=operation, outcome=self._evaluate_votes(operation=operation))]
        )

    def _on_register_taken(self, *, now: float, operation: Operation, sender: str) -> list[Command]:
        operation.refused_by.add(sender)
        if len(operation.refused_by) <= len(operation.voters) - fast_quorum_size(members=operation.voters):
            return []
        operation.phase = Phase.PREPARE
        return self._open_round(now=now, operation=operation)

    def _on_nack(self, *, now: float, operation: Operation, body: Message) -> list[Command]:
        if body["reason"] != "promised" or body["ballot"] != operation.ballot or operation.phase == Phase.READ:
            return []
        operation.highest_round = max(operation.highest_round, body["round"])
        operation.attempts += 1
        backoff = constants.PROPOSER_BACKOFF * self._rng.random() * min(operation.attempts, 8)
        operation.retry_at, operation.phase = min(operation.retry_at, now + backoff), Phase.PREPARE
        operation.ballot, operation.answers = [0, ""], {}
        return []

    def _evaluate_read(self, *, now: float, operation: Operation) -> ProposerResult:
        votes = list(operation.answers.values())
        for vote in votes:
            is_first = bool(vote) and vote[0] == FIRST_BALLOT
            needed = fast_quorum_size(members=operation.voters) if is_first else majority_size(members=operation.voters)
            if votes.count(vote) >= needed:
                ballot, value = vote if vote else ([0, ""], EMPTY_VALUE)
                return ProposerResult(
                    [], [self._finish(operation=operation, outcome=_read_outcome(ballot=ballot, value=value))]
                )
        operation.retry_at = (
            now if len(votes) == len(operation.voters) else min(operation.retry_at, now + constants.PROPOSER_BACKOFF)
        )
        return ProposerResult([], [])

    def _evaluate_promises(self, *, now: float, operation: Operation) -> ProposerResult:
        value = possibly_chosen_value(votes=list(operation.answers.values()), members=operation.voters)
        request = operation.request
        if request.text is None or operation.change_id in (value["mark"], *value["trail"]):
            operation.value = value
        elif value["number"] == request.expected:
            previous_ids = [value["mark"], *value["trail"]][: constants.REGISTER_HISTORY_LENGTH]
            operation.value = {
                "number": value["number"] + 1,
                "mark": operation.change_id,
                "trail": previous_ids,
                "text": request.text,
            }
            operation.may_be_accepted = True
        else:
            operation.value = value
        if operation.value["number"] == 0:
            return ProposerResult(
                [],
                [
                    self._finish(operation=operation, outcome=_read_outcome(ballot=[0, ""], value=EMPTY_VALUE))
                    if request.text is None
                    else self._refuse(operation=operation)
                ],
            )
        operation.phase = Phase.ACCEPT
        return ProposerResult(self._open_round(now=now, operation=operation), [])

    def _refuse(self, *, operation: Operation) -> OperationFinished:
        return self._finish(
            operation=operation, outcome=Refused(reason="number", value=operation.value, ballot=operation.ballot)
        )

    def _evaluate_votes(self, *, operation: Operation) -> Accepted | Refused | Unknown:
        is_ours = operation.change_id in (operation.value["mark"], *operation.value["trail"])
        if operation.request.text is None:
            return _read_outcome(ballot=operation.ballot, value=operation.value)
        if is_ours:
            return Accepted(number=operation.request.expected + 1, ballot=operation.ballot, value=operation.value)
        if (
            operation.may_be_accepted
            and operation.value["number"] > operation.request.expected + constants.REGISTER_HISTORY_LENGTH
        ):
            return Unknown(reason="trail-too-short")
        return Refused(reason="number", value=operation.value, ballot=operation.ballot)


def _read_outcome(*, ballot: Ballot, value: RegisterValue) -> Accepted:
    return Accepted(number=value["number"], ballot=ballot, value=value)


def possibly_chosen_value(*, votes: list, members: Mapping[str, str]) -> RegisterValue:
    """The value that may have been chosen, given the votes of some of the voters; empty if none can have been.

    Under the first ballot, voters may hold different values: a value can have been chosen only if enough of these
    voters hold it to reach that ballot's quorum together with all voters that have not answered.
    """
    cast_votes = [vote for vote in votes if vote]
    highest_ballot = max((vote[0] for vote in cast_votes), default=[0, ""])
    candidates: list[RegisterValue] = [vote[1] for vote in cast_votes if vote[0] == highest_ballot]
    if highest_ballot != FIRST_BALLOT:
        return candidates[0] if candidates else EMPTY_VALUE
    needed = fast_quorum_size(members=members) + len(votes) - len(members)
    for value in candidates:
        if sum(other["mark"] == value["mark"] for other in candidates) >= needed:
            return value
    return EMPTY_VALUE


def fast_quorum_size(*, members: Mapping[str, str]) -> int:
    """The quorum of the first ballot: any two such quorums and any majority have a voter in common."""
    return (2 * len(members) - majority_size(members=members)) // 2 + 1


def majority_size(*, members: Mapping[str, str]) -> int:
    """The number of these voters that form a majority."""
    return len(members) // 2 + 1


def blocking_size(*, members: Mapping[str, str]) -> int:
    """The number of these voters that always have a member in common with every majority."""
    return len(members) - majority_size(members=members) + 1
