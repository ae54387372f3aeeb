"""The operators' interface of a cellar: configurations and hall orders."""
from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.acts import Answer, Asked, Check, Checked, Log
from sailward.cask.proposer import Accepted, Begin, Refused, Settled, Unknown
from sailward.house.homes import find_homeless
from sailward.house.repair import change_members, keeps_majority
from sailward.label.check import Unsound, read_config
from sailward.label.patch import merge_patch
from sailward.pour.exchange import answer_json


@dataclass(kw_only=True)
class Job:
    """One operators' exchange under way."""

    token: str
    kind: str
    register: str
    expected: int | None = None
    given: object = None
    confirmed: bool = False
    turns: int = 0
    number: int = 0
    note: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class Desk:
    """Owner of the operators' exchanges. `step` gives (commands, proposer's begins)."""

    identity: str
    jobs: dict = field(default_factory=dict)
    count: int = 0
    full: dict = field(default_factory=dict)
    cellars: dict = field(default_factory=dict)

    def step(self, *, event: Asked | Settled | Checked) -> tuple[list, list]:
        """Take an operator's exchange, the end of an operation begun for one, or of a check."""
        if isinstance(event, Checked):
            job = self.jobs.pop(event.token, None)
            return self._after_check(job=job, verdict=event.verdict) if job else ([], [])
        if isinstance(event, Asked):
            job = self._read_job(event=event)
            return ([job], []) if isinstance(job, Answer) else ([], [self._begin_read(job=job)])
        job = self.jobs.pop(event.op, None)
        if job is None:
            return [], []
        if event.op.endswith("/read"):
            return self._after_read(job=job, outcome=event.outcome)
        return self._after_change(job=job, outcome=event.outcome)

    def _read_job(self, *, event: Asked) -> Job | Answer:
        if event.body is None:
            return _refuse(token=event.token, code=413, reason="too-large",
                           detail=f"at most {constants.CONFIG_BYTES} bytes")
        parts = event.path.strip("/").split("/")
        if parts == ["config"] and event.method in ("GET", "PUT", "PATCH"):
            return self._read_config_job(event=event)
        if parts == ["orders"] and event.method == "GET":
            return Job(token=event.token, kind="get", register="orders")
        if parts == ["voters"] and event.method == "GET":
            return Job(token=event.token, kind="get", register="voters")
        if len(parts) == 3 and parts[0] == "voters" and parts[2] in ("join", "part") and event.method == "POST":
            return Job(token=event.token, kind=parts[2], register="voters", given=parts[1])
        if len(parts) == 3 and parts[0] == "halls" and parts[2] in ("empty", "refill") and event.method == "POST":
            return Job(token=event.token, kind=parts[2], register="orders", given=parts[1],
                       confirmed=event.query.get("confirm") == "yes")
        return _refuse(token=event.token, code=404, reason="unknown", detail=f"{event.method} {event.path}"[:200])

    def _read_config_job(self, *, event: Asked) -> Job | Answer:
        if event.method == "GET":
            return Job(token=event.token, kind="get", register="config")
        expected = event.headers.get("if-match")
        if expected is not None:
            expected = expected.strip().strip('"')
            if not (expected.isascii() and expected.isdigit() and len(expected) < 16):
                return _refuse(token=event.token, code=400, reason="if-match", detail="If-Match is a number in quotes")
        given = read_config(text=event.body)
        if isinstance(given, Unsound):
            return _refuse_unsound(token=event.token, unsound=given)
        return Job(token=event.token, kind=event.method.lower(), register="config", given=given,
                   expected=None if expected is None else int(expected),
                   note={"dry": event.query.get("dry") == "yes"})

    def _begin(self, *, job: Job, kind: str, **fields: object) -> Begin:
        self.count += 1
        op = f"{self.identity}/desk{self.count}/{kind}"
        self.jobs[op] = job
        return Begin(op=op, register=job.register, **fields)

    def _begin_read(self, *, job: Job) -> Begin:
        return self._begin(job=job, kind="read")

    def _after_read(self, *, job: Job, outcome: Accepted | Refused | Unknown) -> tuple[list, list]:
        if not isinstance(outcome, Accepted):
            return [_refuse(token=job.token, code=503, reason="no-majority",
                            detail="the core can't be read now; nothing was changed")], []
        value = outcome.value
        if job.kind == "get":
            return [_show(token=job.token, register=job.register, value=value)], []
        if job.expected is not None and job.expected != value["number"]:
            return [_refuse(token=job.token, code=412, reason="number", number=value["number"],
                            detail=f"the current number is {value['number']}, not {job.expected}")], []
        job.number = value["number"]
        if job.register in ("orders", "voters"):
            made = (self._make_orders if job.register == "orders" else self._make_voters)(job=job, value=value)
            return ([made], []) if isinstance(made, Answer) else ([], [self._begin_change(job=job, text=made)])
        given = job.given
        if job.kind == "patch":
            old = json.loads(value["text"])["written"] if value["text"] else {}
            given = merge_patch(target=old, patch=given)
        self.count += 1
        token = f"{self.identity}/desk{self.count}/check"
        self.jobs[token] = job
        return [Check(token=token, config=given)], []

    def _begin_change(self, *, job: Job, text: str) -> Begin:
        wait = constants.OPERATION_EXPIRY + len(text) * constants.ROUND_PER_BYTE
        return self._begin(job=job, kind="change", expected=job.number, text=text, wait=wait)

    def _after_check(self, *, job: Job, verdict: object) -> tuple[list, list]:
        if isinstance(verdict, Unsound):
            return [_refuse_unsound(token=job.token, unsound=verdict)], []
        job.note["warnings"] = [{"path": one.path, "reason": one.reason} for one in verdict.warnings]
        if job.note.get("dry"):
            return [answer_json(token=job.token, code=200, body={"outcome": "sound", "number": job.number, **job.note})], []
        text = json.dumps({"written": verdict.written, "full": verdict.full}, separators=(",", ":"))
        if len(text) > 2 * constants.CONFIG_BYTES:
            return [_refuse(token=job.token, code=413, reason="too-large",
                            detail="too large with its templates stamped out")], []
        return [], [self._begin_change(job=job, text=text)]

    def _make_orders(self, *, job: Job, value: dict) -> str | Answer:
        emptied = set(json.loads(value["text"])["emptied"]) if value["text"] else set()
        hall = job.given
        if hall not in self.full.get("halls", {}) and not (job.kind == "refill" and hall in emptied):
            return _refuse(token=job.token, code=404, reason="hall-unknown", detail=f"no hall {hall!r} in the configuration")
        if job.kind == "empty":
            emptied |= {hall}
            homeless = find_homeless(full=self.full, emptied=emptied)
            if homeless and not job.confirmed:
                return _refuse(token=job.token, code=409, reason="homes-left-empty", tenants=homeless,
                               detail="these tenants would have no hall at home: confirm=yes empties it all the same")
        else:
            emptied -= {hall}
        return json.dumps({"emptied": sorted(emptied)})

    def _make_voters(self, *, job: Job, value: dict) -> str | Answer:
        """One member more or less, by its identity or its name; never one that would cost the majority."""
        members = json.loads(value["text"])["members"] if value["text"] else {}
        names = {one.split("#")[0]: one for one in (members if job.kind == "part" else self.cellars)}
        identity = names.get(job.given, job.given)
        if job.kind == "join":
            if identity in members or identity not in self.cellars:
                return _refuse(token=job.token, code=409, reason="not-waiting", detail=f"no empty cellar {job.given!r} waits")
            text = change_members(text=value["text"], add=(identity, self.cellars[identity]["post"]))
        else:
            if identity not in members:
                return _refuse(token=job.token, code=404, reason="voter-unknown", detail=f"no voter {job.given!r}")
            text = change_members(text=value["text"], drop=identity)
        well = {name for name, entry in self.cellars.items() if entry["fit"]}
        if len(members) + (1 if job.kind == "join" else -1) < 1 or not keeps_majority(text=text, well=well):
            return _refuse(token=job.token, code=409, reason="majority-lost",
                           detail=f"only {sorted(well)} vote now: that set would have no majority")
        size = len(json.loads(text)["members"])
        return json.dumps({**json.loads(text), "size": size}, sort_keys=True)

    def _after_change(self, *, job: Job, outcome: Accepted | Refused | Unknown) -> tuple[list, list]:
        if isinstance(outcome, Accepted):
            number = outcome.number
            body = {"outcome": "accepted", "number": number, **{k: v for k, v in job.note.items() if k != "dry"}}
            log = Log(event="accepted", fields={"register": job.register, "number": number, "by": job.kind})
            return [log, answer_json(token=job.token, code=200, body=body, headers={"ETag": f'"{number}"'})], []
        if isinstance(outcome, Unknown):
            return [_refuse(token=job.token, code=504, reason=outcome.reason, outcome="unknown",
                            detail="it may be in force, now or later: read it back")], []
        if outcome.reason != "number":
            return [_refuse(token=job.token, code=503, reason=outcome.reason, detail="nothing was changed")], []
        job.turns += 1
        if job.register == "orders" and job.turns < 5:
            return [], [self._begin_read(job=job)]
        return [_refuse(token=job.token, code=412, reason="number", number=outcome.value["number"],
                        detail="another change was first")], []


def _show(*, token: str, register: str, value: dict) -> Answer:
    inner = json.loads(value["text"]) if value["text"] else {}
    if register == "config":
        body = {"number": value["number"], "config": inner.get("written")}
    else:
        body = {"number": value["number"], register: inner}
    code = 200 if value["number"] or register == "orders" else 404
    return answer_json(token=token, code=code, body=body, headers={"ETag": f'"{value["number"]}"'})


def _refuse(*, token: str, code: int, reason: str, detail: str, outcome: str = "refused", **more: object) -> Answer:
    headers = {"Retry-After": str(constants.RETRY_AFTER)} if code >= 500 else {}
    return answer_json(token=token, code=code, headers=headers,
                       body={"outcome": outcome, "error": reason, "detail": detail, **more})


def _refuse_unsound(*, token: str, unsound: Unsound) -> Answer:
    faults = [{"path": fault.path, "reason": fault.reason} for fault in unsound.faults]
    return _refuse(token=token, code=422, reason="invalid", detail=f"{len(faults)} faults", faults=faults)
