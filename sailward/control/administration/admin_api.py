"""The operators' interface of a controller: configurations, and orders on zones and voters.

Each order is parsed, checked against the register's current value and attempted as a compare-and-swap. It is refused
only if it can never be accepted: it is invalid, or another change was accepted on top of the version that it builds on.
Whenever neither can be shown, the answer is inconclusive: "unavailable" (this request changed nothing) or "unknown" (it
may have changed the register, or may still do so).
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field

from sailward import constants
from sailward.config.check import Fault, InvalidConfig, ValidConfig
from sailward.config.dialect import (
    Dialect,
    NativeDialect,
    Order,
    Outcome,
    Untranslatable,
    read_call,
    refuse_invalid,
    translate_change,
)
from sailward.config.history import LabelledConfig, Verdict, read_labelled, write_labelled
from sailward.consensus.proposer import Accepted, OperationFinished, Refused, StartOperation, StepResult, Unknown
from sailward.control.administration.residency import find_tenants_without_home
from sailward.control.administration.zone_orders import read_zone_orders, write_zone_orders
from sailward.control.group.repair import change_members, keeps_majority
from sailward.events import Command, ConfigValidated, LogEvent, RefusedInput, RequestReceived, ValidateConfig


@dataclass(kw_only=True)
class Job:
    """One operator's request in flight; `number` and `text` are the register's, as last read for it.

    `initial_accepted`: how many orders of the same kind the register counted for the zone when it was first read; None
    until then. `attempts`: compare-and-swaps that failed because of another change. `is_caller_gone`: the client has
    disconnected. `waiting_since`: when the wait for the current round began, None until the next tick.
    `change_length`: characters in the change that is proposed.
    """

    token: str
    order: Order
    dialect: Dialect
    attempts: int = 0
    initial_accepted: int | None = None
    is_caller_gone: bool = False
    number: int = 0
    text: str = ""
    written: dict = field(default_factory=dict)
    notes: dict = field(default_factory=dict)
    waiting_since: float | None = None
    is_answered: bool = False
    change_length: int = 0


@dataclass(kw_only=True)
class AdminApi:
    """Owner of the operators' requests. `step` returns commands and the operations for the proposer to start.

    A request that `dialect` does not know is read in sailward's own dialect. `zones` are those known without a
    configuration. `timeout`: s for one operation. `jobs`: requests in flight, by the id of their operation or check.
    `refused`: the calls that this version could not translate.
    """

    identity: str
    dialect: Dialect = field(default_factory=NativeDialect)
    zones: frozenset = frozenset()
    timeout: float = field(default_factory=lambda: constants.OPERATION_TIMEOUT)
    jobs: dict = field(default_factory=dict)
    operation_count: int = 0
    full_config: dict = field(default_factory=dict)
    controllers: dict = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    refused: RefusedInput = field(default_factory=RefusedInput)

    def step(self, *, event: RequestReceived | OperationFinished | ConfigValidated) -> StepResult:
        """Handle an operator's request, or the result of an operation or a validation started for one."""
        match event:
            case RequestReceived():
                return self._on_request(event=event)
            case ConfigValidated():
                job = self.jobs.pop(event.token, None)
                return self._after_check(job=job, verdict=event.verdict) if job else StepResult([], [])
            case OperationFinished():
                return self._on_operation_finished(event=event)

    def _on_operation_finished(self, *, event: OperationFinished) -> StepResult:
        job = self.jobs.pop(event.op, None)
        if job is None:
            return StepResult([], [])
        if event.op.endswith("/read"):
            return self._after_read(job=job, outcome=event.outcome)
        return self._after_change(job=job, outcome=event.outcome)

    def on_client_disconnected(self, *, token: str) -> None:
        """Record that the client has disconnected: its order on a zone is not proposed any more.

        A change of the configuration goes on: it is safe however late it is accepted, and a large one may take longer
        to check than its client waits.
        """
        for job in self.jobs.values():
            job.is_caller_gone = job.is_caller_gone or job.token == token

    def _on_request(self, *, event: RequestReceived) -> StepResult:
        dialect = self.dialect
        order = read_call(dialect=dialect, event=event)
        if order is None:
            dialect = NativeDialect()
            order = read_call(dialect=dialect, event=event)
        logs: list[Command] = []
        if isinstance(order, Untranslatable):
            logs = self.refused.add(kind="call", reason=order.reason)
            order = refuse_invalid(invalid=order.as_invalid())
        if isinstance(order, Order) and order.register == "config" and dialect.is_labelled != self.dialect.is_labelled:
            order = Outcome(
                kind="refused", code=404, reason="unknown", detail="configurations are written in another dialect here"
            )
        if isinstance(order, Outcome):
            self.outcomes[order.kind] += 1
            return StepResult([*logs, dialect.answer(token=event.token, order=None, outcome=order)], [])
        return StepResult([], [self._begin_read(job=Job(token=event.token, order=order, dialect=dialect))])

    def _begin(
        self, *, job: Job, kind: str, timeout: float, expected: int = 0, text: str | None = None
    ) -> StartOperation:
        self.operation_count += 1
        op = f"{self.identity}/desk{self.operation_count}/{kind}"
        self.jobs[op], job.waiting_since, job.change_length = job, None, len(text or "")
        return StartOperation(op=op, register=job.order.register, expected=expected, text=text, timeout=timeout)

    def _begin_read(self, *, job: Job) -> StartOperation:
        is_zone_order = job.order.register == "orders" and job.dialect.is_labelled
        timeout = min(self.timeout, constants.ORDER_READ_TIMEOUT) if is_zone_order else self.timeout
        return self._begin(job=job, kind="read", timeout=timeout)

    def give_up(self, *, now: float, is_lost: bool) -> list[Command]:
        """Answer "unknown" where no majority answered within the time-out, or to all if contact with it is lost.

        The time-out is OPERATOR_QUORUM_TIMEOUT plus an allowance for the size of the change. An order on a zone that
        has not been proposed yet is dropped. A change of the configuration goes on after its answer: it is safe however
        late it is accepted, and is recognised if it is sent again. A validation involves no other controller, so it has
        no time-out here.
        """
        commands = []
        for op, job in list(self.jobs.items()):
            job.waiting_since = now if job.waiting_since is None else job.waiting_since
            is_late = not op.endswith("/check") and now - job.waiting_since > _quorum_timeout(job=job)
            if job.is_answered or not (is_lost or is_late):
                continue
            outcome = Outcome(kind="unknown", code=504, reason="no-answer", detail="no majority answered in time")
            commands += self._answer(job=job, outcome=outcome)[0]
            job.is_answered = True
            if job.order.register != "config" and not op.endswith("/change"):
                del self.jobs[op]
        return commands

    def _answer(self, *, job: Job, outcome: Outcome) -> StepResult:
        if job.is_answered:
            return StepResult([], [])
        self.outcomes[outcome.kind] += 1
        return StepResult([job.dialect.answer(token=job.token, order=job.order, outcome=outcome)], [])

    def _after_read(self, *, job: Job, outcome: Accepted | Refused | Unknown) -> StepResult:
        if not isinstance(outcome, Accepted):
            return self._answer(
                job=job,
                outcome=Outcome(
                    kind="unavailable",
                    code=503,
                    reason="no-majority",
                    detail="the core can't be read now; nothing was changed",
                ),
            )
        job.number, job.text = outcome.value["number"], outcome.value["text"]
        if job.order.kind == "get":
            return self._answer(job=job, outcome=Outcome(kind="shown", value=outcome.value))
        if job.order.register == "config" and job.dialect.is_labelled:
            return self._judge_labelled_change(job=job)
        if job.is_caller_gone and job.order.register == "orders":
            return self._drop_order(job=job)
        if job.order.expected is not None and job.order.expected != job.number:
            detail = f"the current number is {job.number}, not {job.order.expected}"
            return self._answer(job=job, outcome=_refuse_stale(number=job.number, detail=detail))
        if job.order.register in ("orders", "voters"):
            new_text = (self._apply_zone_order if job.order.register == "orders" else self._apply_voter_change)(job=job)
            if isinstance(new_text, Outcome):
                return self._answer(job=job, outcome=new_text)
            return StepResult([], [self._begin_change(job=job, text=new_text)])
        written = json.loads(job.text)["written"] if job.text else {}
        return self._begin_check(job=job, written=written)

    def _drop_order(self, *, job: Job) -> StepResult:
        log = LogEvent(event="order-dropped", fields={"register": job.order.register, "by": job.order.kind})
        # a client that closed only its sending side still reads the answer
        outcome = Outcome(
            kind="unavailable", code=503, reason="caller-left", detail="the caller left: nothing was changed"
        )
        commands, operations = self._answer(job=job, outcome=outcome)
        return StepResult([log, *commands], operations)

    def _judge_labelled_change(self, *, job: Job) -> StepResult:
        """Decide on a change of a labelled configuration by the current one."""
        order, current = job.order, read_labelled(text=job.text)
        verdict = current.classify(expected=order.expected or 0, digest=order.digest)
        if verdict is Verdict.NEXT:
            return self._begin_check(job=job, written=current.written or {}, current=current)
        if verdict is Verdict.TAKEN:
            # accepted before, perhaps through another controller: a request sent again gets the same answer
            return self._answer(job=job, outcome=Outcome(kind="accepted", number=job.number))
        # a label that is not above the version it builds on stays invalid even after that version is accepted
        label = job.dialect.label(written=order.argument) if isinstance(order.argument, dict) else 0
        is_never_valid = verdict is Verdict.AHEAD and label <= (order.expected or 0)
        if verdict is Verdict.LOST or is_never_valid:
            detail = f"the current version is {current.label}"
            return self._answer(job=job, outcome=_refuse_stale(number=current.label, detail=detail))
        return self._answer(job=job, outcome=_answer_undecided(verdict=verdict, order=order, current=current))

    def _begin_check(self, *, job: Job, written: dict, current: LabelledConfig | None = None) -> StepResult:
        change = translate_change(dialect=job.dialect, order=job.order, current=written)
        if isinstance(change, Untranslatable):
            logs = self.refused.add(kind="change", reason=change.reason)
            commands, operations = self._answer(job=job, outcome=refuse_invalid(invalid=change.as_invalid()))
            return StepResult([*logs, *commands], operations)
        if isinstance(change, InvalidConfig):
            return self._answer(job=job, outcome=refuse_invalid(invalid=change))
        if current is not None and job.dialect.label(written=change.written) <= current.label:
            return self._answer(job=job, outcome=refuse_invalid(invalid=_label_not_newer(label=current.label)))
        job.written = change.written
        self.operation_count += 1
        token = f"{self.identity}/desk{self.operation_count}/check"
        self.jobs[token] = job
        return StepResult([ValidateConfig(token=token, config=change.full)], [])

    def _begin_change(self, *, job: Job, text: str) -> StartOperation:
        return self._begin(
            job=job,
            kind="change",
            expected=job.number,
            text=text,
            timeout=self.timeout + len(text) * constants.ROUND_TIMEOUT_PER_BYTE,
        )

    def _after_check(self, *, job: Job, verdict: ValidConfig | InvalidConfig) -> StepResult:
        if isinstance(verdict, InvalidConfig):
            return self._answer(job=job, outcome=refuse_invalid(invalid=verdict))
        job.notes = {"warnings": [{"path": warning.path, "reason": warning.reason} for warning in verdict.warnings]}
        if job.dialect.is_labelled:
            text = write_labelled(
                before=read_labelled(text=job.text),
                written=job.written,
                label=job.dialect.label(written=job.written),
                digest=job.order.digest,
            )
        else:
            current_label = json.loads(job.text)["full"].get("label") if job.text else None
            if current_label is not None and "label" in verdict.full and verdict.full["label"] <= current_label:
                return self._answer(job=job, outcome=refuse_invalid(invalid=_label_not_newer(label=current_label)))
            text = json.dumps({"written": verdict.written, "full": verdict.full}, separators=(",", ":"))
        if job.order.is_dry_run:
            return self._answer(
                job=job, outcome=Outcome(kind="sound", number=job.number, extra={"dry": True, **job.notes})
            )
        if len(text) > 2 * constants.MAX_CONFIG_BYTES:
            return self._answer(
                job=job,
                outcome=Outcome(
                    kind="refused", code=413, reason="too-large", detail="too large with its templates stamped out"
                ),
            )
        return StepResult([], [self._begin_change(job=job, text=text)])

    def _apply_zone_order(self, *, job: Job) -> str | Outcome:
        """The register's text with this order applied, or the outcome if it is not applied."""
        zone, kind = str(job.order.argument), job.order.kind
        orders = read_zone_orders(text=job.text)
        is_known = zone in self.full_config.get("halls", {}) or zone in self.zones
        if not is_known and not (kind == "refill" and zone in orders.evacuated_zones):
            return Outcome(
                kind="refused", code=404, reason="hall-unknown", detail=f"no hall {zone!r} in the configuration"
            )
        accepted = orders.count(kind=kind, zone=zone)
        if job.initial_accepted is not None and accepted > job.initial_accepted:
            # an identical order was accepted since this one was first read, perhaps a copy of it: it counts for both
            return Outcome(kind="accepted", number=job.number)
        job.initial_accepted = accepted
        changed = orders.with_order(kind=kind, zone=zone)
        tenants_without_home = (
            find_tenants_without_home(full=self.full_config, evacuated_zones=set(changed.evacuated_zones))
            if kind == "empty"
            else []
        )
        if tenants_without_home and not job.order.is_confirmed:
            return Outcome(
                kind="refused",
                code=409,
                reason="homes-left-empty",
                extra={"tenants": tenants_without_home},
                detail="these tenants would have no hall at home: confirm=yes empties it all the same",
            )
        return write_zone_orders(orders=changed)

    def _apply_voter_change(self, *, job: Job) -> str | Outcome:
        """The text with one voter added or removed, by identity or name; refused if it would lose the majority."""
        kind, given = job.order.kind, job.order.argument
        members = json.loads(job.text)["members"] if job.text else {}
        identity_by_name = {
            member.split("#")[0]: member for member in (members if kind == "part" else self.controllers)
        }
        identity = identity_by_name.get(given, given)
        if kind == "join":
            if identity in members or identity not in self.controllers:
                return Outcome(
                    kind="refused", code=409, reason="not-waiting", detail=f"no empty controller {given!r} waits"
                )
            text = change_members(text=job.text, number=job.number, add=(identity, self.controllers[identity]["post"]))
        else:
            if identity not in members:
                return Outcome(kind="refused", code=404, reason="voter-unknown", detail=f"no voter {given!r}")
            text = change_members(text=job.text, number=job.number, drop=identity)
        voting = {name for name, entry in self.controllers.items() if entry["fit"]}
        if len(members) + (1 if kind == "join" else -1) < 1 or not keeps_majority(text=text, healthy=voting):
            return Outcome(
                kind="refused",
                code=409,
                reason="majority-lost",
                detail=f"only {sorted(voting)} vote now: that set would have no majority",
            )
        voter_count = len(json.loads(text)["members"])
        return json.dumps({**json.loads(text), "size": voter_count}, sort_keys=True)

    def _after_change(self, *, job: Job, outcome: Accepted | Refused | Unknown) -> StepResult:
        if isinstance(outcome, Accepted):
            fields = {"register": job.order.register, "number": outcome.number, "by": job.order.kind}
            if job.order.digest:
                fields |= {"builds_on": job.order.expected, "digest": job.order.digest}
            log = LogEvent(event="accepted", fields=fields)
            commands, operations = self._answer(
                job=job, outcome=Outcome(kind="accepted", number=outcome.number, extra=job.notes)
            )
            return StepResult([log, *commands], operations)
        if isinstance(outcome, Unknown):
            return self._answer(
                job=job,
                outcome=Outcome(
                    kind="unknown",
                    code=504,
                    reason=outcome.reason,
                    detail="it may be in force, now or later: read it back",
                ),
            )
        if outcome.reason != "number":
            return self._answer(
                job=job,
                outcome=Outcome(kind="unavailable", code=503, reason=outcome.reason, detail="nothing was changed"),
            )
        job.attempts += 1
        if (job.order.register == "orders" or job.dialect.is_labelled) and job.attempts < constants.MAX_ORDER_ATTEMPTS:
            return StepResult([], [self._begin_read(job=job)])
        if job.dialect.is_labelled:
            # the change that won may be this same one, sent through another controller: the result is inconclusive
            return self._answer(
                job=job,
                outcome=Outcome(
                    kind="unavailable", code=503, reason="contended", detail="read it back, or send it again"
                ),
            )
        return self._answer(
            job=job, outcome=_refuse_stale(number=outcome.value["number"], detail="another change was first")
        )


def _quorum_timeout(*, job: Job) -> float:
    """Seconds that a round at a majority may take: longer for large changes, as their clients wait longer too."""
    return constants.OPERATOR_QUORUM_TIMEOUT + job.change_length * constants.ROUND_TIMEOUT_PER_BYTE


def _refuse_stale(*, number: int, detail: str) -> Outcome:
    return Outcome(kind="refused", code=412, reason="number", number=number, detail=detail)


def _answer_undecided(*, verdict: Verdict, order: Order, current: LabelledConfig) -> Outcome:
    """The answer to a change that, by the history, is neither accepted yet nor superseded for good."""
    if verdict is Verdict.AHEAD:
        detail = f"it builds on {order.expected}, the current version is {current.label}: nothing was changed by now"
        return Outcome(kind="unavailable", code=503, reason="not-current-yet", number=current.label, detail=detail)
    detail = (
        f"it builds on {order.expected}, the history reaches back to {current.history[0].base_label}: "
        f"read the configuration, and look for digest {order.digest} in the logs of what was accepted"
    )
    return Outcome(kind="unknown", code=504, reason="history-too-short", number=current.label, detail=detail)


def _label_not_newer(*, label: int) -> InvalidConfig:
    return InvalidConfig(faults=(Fault(path="label", reason=f"must be over the current one, {label}"),))
