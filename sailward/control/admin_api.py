"""The operators' interface of a controller: configurations and hall orders."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.config.check import Fault, Unsound
from sailward.config.dialect import Dialect, Order, Outcome, OwnDialect, refused_unsound
from sailward.config.history import Labelled, read_labelled, write_labelled
from sailward.consensus.proposer import Accepted, Begin, Refused, Settled, Unknown
from sailward.control.homes import find_homeless
from sailward.control.repair import change_members, keeps_majority
from sailward.events import Asked, Check, Checked, Log


@dataclass(kw_only=True)
class Job:
    """One operators' exchange under way; `number` and `text` are the register's as read for it."""

    token: str
    order: Order
    dialect: Dialect
    turns: int = 0
    number: int = 0
    text: str = ""
    written: dict = field(default_factory=dict)
    notes: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class AdminApi:
    """Owner of the operators' exchanges. `step` gives (commands, proposer's begins).

    What the `dialect` does not know is read as the product's own words. `halls` are known without a configuration.
    """

    identity: str
    dialect: Dialect = field(default_factory=OwnDialect)
    halls: frozenset = frozenset()
    wait: float = field(default_factory=lambda: constants.OPERATION_EXPIRY)
    jobs: dict = field(default_factory=dict)
    count: int = 0
    full: dict = field(default_factory=dict)
    controllers: dict = field(default_factory=dict)

    def step(self, *, event: Asked | Settled | Checked) -> tuple[list, list]:
        """Take an operator's exchange, the end of an operation begun for one, or of a check."""
        match event:
            case Asked():
                return self._take(event=event)
            case Checked():
                job = self.jobs.pop(event.token, None)
                return self._after_check(job=job, verdict=event.verdict) if job else ([], [])
            case Settled():
                return self._settle(event=event)

    def _settle(self, *, event: Settled) -> tuple[list, list]:
        job = self.jobs.pop(event.op, None)
        if job is None:
            return [], []
        if event.op.endswith("/read"):
            return self._after_read(job=job, outcome=event.outcome)
        return self._after_change(job=job, outcome=event.outcome)

    def drop(self, *, token: str) -> list:
        """The caller of this exchange has left: its order ends here, unless its change has begun, which goes on."""
        waiting = [op for op, job in self.jobs.items() if job.token == token and not op.endswith("/change")]
        return [self._drop_job(op=op) for op in waiting]

    def _drop_job(self, *, op: str) -> Log:
        job = self.jobs.pop(op)
        return Log(event="order-dropped", fields={"register": job.order.register, "by": job.order.kind})

    def _take(self, *, event: Asked) -> tuple[list, list]:
        dialect, order = self.dialect, self.dialect.read(event=event)
        if order is None:
            dialect = OwnDialect()
            order = dialect.read(event=event)
        if isinstance(order, Order) and order.register == "config" and dialect.is_labelled != self.dialect.is_labelled:
            order = Outcome(
                kind="refused", code=404, reason="unknown", detail="configurations are written in another dialect here"
            )
        if isinstance(order, Outcome):
            return [dialect.answer(token=event.token, order=None, outcome=order)], []
        return [], [self._begin_read(job=Job(token=event.token, order=order, dialect=dialect))]

    def _begin(self, *, job: Job, kind: str, **fields: object) -> Begin:
        self.count += 1
        op = f"{self.identity}/desk{self.count}/{kind}"
        self.jobs[op] = job
        return Begin(op=op, register=job.order.register, **fields)

    def _begin_read(self, *, job: Job) -> Begin:
        return self._begin(job=job, kind="read", wait=self.wait)

    def _end(self, *, job: Job, outcome: Outcome) -> tuple[list, list]:
        return [job.dialect.answer(token=job.token, order=job.order, outcome=outcome)], []

    def _after_read(self, *, job: Job, outcome: Accepted | Refused | Unknown) -> tuple[list, list]:
        if not isinstance(outcome, Accepted):
            return self._end(
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
            return self._end(job=job, outcome=Outcome(kind="shown", value=outcome.value))
        if job.order.register == "config" and job.dialect.is_labelled:
            return self._weigh_labelled(job=job)
        if job.order.expected is not None and job.order.expected != job.number:
            detail = f"the current number is {job.number}, not {job.order.expected}"
            return self._end(job=job, outcome=_stale(number=job.number, detail=detail))
        if job.order.register in ("orders", "voters"):
            made = (self._make_orders if job.order.register == "orders" else self._make_voters)(job=job)
            return (
                self._end(job=job, outcome=made)
                if isinstance(made, Outcome)
                else ([], [self._begin_change(job=job, text=made)])
            )
        written = json.loads(job.text)["written"] if job.text else {}
        return self._begin_check(job=job, written=written)

    def _weigh_labelled(self, *, job: Job) -> tuple[list, list]:
        """Judge a change of a labelled configuration by the one that is current."""
        order, current = job.order, read_labelled(text=job.text)
        is_same = order.kind == "put" and current.written is not None and order.given == current.written
        if current.has(digest=order.digest) or is_same:
            # taken before, maybe by another controller: what is sent again is answered again
            return self._end(job=job, outcome=Outcome(kind="accepted", number=job.number))
        if order.expected != current.label:
            return self._end(
                job=job, outcome=_stale(number=current.label, detail=f"the current version is {current.label}")
            )
        return self._begin_check(job=job, written=current.written or {}, current=current)

    def _begin_check(self, *, job: Job, written: dict, current: Labelled | None = None) -> tuple[list, list]:
        given = job.order.given
        if job.order.kind == "patch":
            given = job.dialect.merge(written=written, patch=given)
        config = given if isinstance(given, Unsound) else job.dialect.expand(written=given)
        if isinstance(config, Unsound):
            return self._end(job=job, outcome=refused_unsound(unsound=config))
        if current is not None and job.dialect.label(written=given) <= current.label:
            return self._end(job=job, outcome=refused_unsound(unsound=_not_newer(label=current.label)))
        job.written = given
        self.count += 1
        token = f"{self.identity}/desk{self.count}/check"
        self.jobs[token] = job
        return [Check(token=token, config=config)], []

    def _begin_change(self, *, job: Job, text: str) -> Begin:
        return self._begin(
            job=job,
            kind="change",
            expected=job.number,
            text=text,
            wait=self.wait + len(text) * constants.ROUND_PER_BYTE,
        )

    def _after_check(self, *, job: Job, verdict: object) -> tuple[list, list]:
        if isinstance(verdict, Unsound):
            return self._end(job=job, outcome=refused_unsound(unsound=verdict))
        job.notes = {"warnings": [{"path": one.path, "reason": one.reason} for one in verdict.warnings]}
        if job.dialect.is_labelled:
            text = write_labelled(
                before=read_labelled(text=job.text),
                written=job.written,
                label=job.dialect.label(written=job.written),
                digest=job.order.digest,
            )
        else:
            before = json.loads(job.text)["full"].get("label") if job.text else None
            if before is not None and "label" in verdict.full and verdict.full["label"] <= before:
                return self._end(job=job, outcome=refused_unsound(unsound=_not_newer(label=before)))
            text = json.dumps({"written": verdict.written, "full": verdict.full}, separators=(",", ":"))
        if job.order.is_dry:
            return self._end(
                job=job, outcome=Outcome(kind="sound", number=job.number, notes={"dry": True, **job.notes})
            )
        if len(text) > 2 * constants.CONFIG_BYTES:
            return self._end(
                job=job,
                outcome=Outcome(
                    kind="refused", code=413, reason="too-large", detail="too large with its templates stamped out"
                ),
            )
        return [], [self._begin_change(job=job, text=text)]

    def _make_orders(self, *, job: Job) -> str | Outcome:
        emptied = set(json.loads(job.text)["emptied"]) if job.text else set()
        hall, kind = job.order.given, job.order.kind
        if (
            hall not in self.full.get("halls", {})
            and hall not in self.halls
            and not (kind == "refill" and hall in emptied)
        ):
            return Outcome(
                kind="refused", code=404, reason="hall-unknown", detail=f"no hall {hall!r} in the configuration"
            )
        if job.dialect.is_labelled and (hall in emptied) == (kind == "empty"):
            # ordered before: a resent order needs no change
            return Outcome(kind="accepted", number=job.number)
        if kind == "empty":
            emptied |= {hall}
            homeless = find_homeless(full=self.full, emptied=emptied)
            if homeless and not job.order.is_confirmed:
                return Outcome(
                    kind="refused",
                    code=409,
                    reason="homes-left-empty",
                    notes={"tenants": homeless},
                    detail="these tenants would have no hall at home: confirm=yes empties it all the same",
                )
        else:
            emptied -= {hall}
        return json.dumps({"emptied": sorted(emptied)})

    def _make_voters(self, *, job: Job) -> str | Outcome:
        """One member more or less, by its identity or its name; never one that would cost the majority."""
        kind, given = job.order.kind, job.order.given
        members = json.loads(job.text)["members"] if job.text else {}
        names = {one.split("#")[0]: one for one in (members if kind == "part" else self.controllers)}
        identity = names.get(given, given)
        if kind == "join":
            if identity in members or identity not in self.controllers:
                return Outcome(
                    kind="refused", code=409, reason="not-waiting", detail=f"no empty controller {given!r} waits"
                )
            text = change_members(text=job.text, add=(identity, self.controllers[identity]["post"]))
        else:
            if identity not in members:
                return Outcome(kind="refused", code=404, reason="voter-unknown", detail=f"no voter {given!r}")
            text = change_members(text=job.text, drop=identity)
        well = {name for name, entry in self.controllers.items() if entry["fit"]}
        if len(members) + (1 if kind == "join" else -1) < 1 or not keeps_majority(text=text, well=well):
            return Outcome(
                kind="refused",
                code=409,
                reason="majority-lost",
                detail=f"only {sorted(well)} vote now: that set would have no majority",
            )
        size = len(json.loads(text)["members"])
        return json.dumps({**json.loads(text), "size": size}, sort_keys=True)

    def _after_change(self, *, job: Job, outcome: Accepted | Refused | Unknown) -> tuple[list, list]:
        if isinstance(outcome, Accepted):
            log = Log(
                event="accepted",
                fields={"register": job.order.register, "number": outcome.number, "by": job.order.kind},
            )
            commands, begins = self._end(
                job=job, outcome=Outcome(kind="accepted", number=outcome.number, notes=job.notes)
            )
            return [log, *commands], begins
        if isinstance(outcome, Unknown):
            return self._end(
                job=job,
                outcome=Outcome(
                    kind="unknown",
                    code=504,
                    reason=outcome.reason,
                    detail="it may be in force, now or later: read it back",
                ),
            )
        if outcome.reason != "number":
            return self._end(
                job=job,
                outcome=Outcome(kind="unavailable", code=503, reason=outcome.reason, detail="nothing was changed"),
            )
        job.turns += 1
        if (job.order.register == "orders" or job.dialect.is_labelled) and job.turns < 5:
            return [], [self._begin_read(job=job)]
        if job.dialect.is_labelled:
            # who won may have been this very change, taken by another controller: nothing definite can be said
            return self._end(
                job=job,
                outcome=Outcome(
                    kind="unavailable", code=503, reason="contended", detail="read it back, or send it again"
                ),
            )
        return self._end(job=job, outcome=_stale(number=outcome.value["number"], detail="another change was first"))


def _stale(*, number: int, detail: str) -> Outcome:
    return Outcome(kind="refused", code=412, reason="number", number=number, detail=detail)


def _not_newer(*, label: int) -> Unsound:
    return Unsound(faults=(Fault(path="label", reason=f"must be over the current one, {label}"),))
