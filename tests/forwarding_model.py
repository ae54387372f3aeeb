"""A bounded model of the forwarder: all orders of its events, and what the workers did with each attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward.events import CancelCall, ClientDisconnected, Respond, StartCall
from sailward.routing.forwarding import Forwarder
from sailward.routing.retry_budget import RetryBudget
from tests.proxy_kit import NAMES, ForwarderHarness, make_plan, make_worker

NOT_RUN_CODES = (408, 421, 429, 503)
RAN = {"served", "failed", "lost", "silent", "misnamed", "unmarked"}
"""Outcomes of an attempt with which the worker has run the request, although not every outcome shows that."""
NOT_RUN = {"full", "stranger", "unsent"}
"""Outcomes of an attempt that prove that the worker did not run the request."""


class Breach(AssertionError):
    """An invariant is violated; `trace` is a shortest sequence of events that leads there."""

    def __init__(self, *, what: str, trace: tuple) -> None:
        super().__init__(f"{what} after {' '.join(':'.join(map(str, event)) for event in trace)}")


@dataclass(kw_only=True)
class Attempt:
    """One call for a request and, once known, its outcome."""

    call: StartCall
    end: str = ""

    @property
    def may_run(self) -> bool:
        """May the worker have run the request, or still run it?"""
        return self.end not in NOT_RUN


@dataclass(kw_only=True)
class RequestRecord:
    """Responses and attempts of one client request; `is_proxy_gone`: the proxy was killed before it responded."""

    is_client_gone: bool = False
    is_proxy_gone: bool = False
    answers: list = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


class Model:
    """One history: the forwarder, its requests, and the checks after each event."""

    def __init__(self, *, kind: str, max_attempts: int, workers: int) -> None:
        self.kind, self.max_attempts = kind, max_attempts
        self.bench = ForwarderHarness(
            workers=[make_worker(f"w{index}") for index in range(workers)],
            plan=make_plan(kind=kind, tries=max_attempts),
        )
        self.records: list[RequestRecord] = []
        self.incarnations = 1
        self.is_stopped = False
        self.trace: tuple = ()

    def events(self, *, requests: int) -> list[tuple]:
        """The events that may come next."""
        events: list[tuple] = [("wait", 0.31), ("wait", 4.0)]
        if len(self.records) < requests and not self.is_stopped:
            events.append(("ask",))
        for index, record in enumerate(self.records):
            for attempt_index, attempt in enumerate(record.attempts):
                if not attempt.end:
                    events += [("end", index, attempt_index, end) for end in sorted(RAN | NOT_RUN)]
            if not record.answers and not record.is_client_gone:
                events.append(("disconnect", index))
        if self.records and not self.is_stopped:
            events.append(("stop",))
            if self.incarnations < 2:
                events.append(("kill",))
        return events

    def step(self, *, event: tuple) -> None:
        """Apply the event, and check the invariants."""
        self.trace += (event,)
        self._apply(commands=getattr(self, f"_do_{event[0]}")(*event[1:]))

    def state(self) -> tuple:
        """Whatever the further course of this history depends on."""
        requests = tuple(
            (
                record.is_client_gone,
                tuple(answer.code for answer in record.answers),
                tuple(attempt.end for attempt in record.attempts),
                self._owner_state(index=index),
            )
            for index, record in enumerate(self.records)
        )
        workers = tuple(
            sorted(
                (health.state, health.busy_until > self.bench.now)
                for health in self.bench.passive_health.workers.values()
            )
        )
        return requests, workers, self.incarnations, self.is_stopped, round(self.bench.now, 2)

    def _owner_state(self, *, index: int) -> tuple:
        request = self.bench.forwarder.live.get(f"front {index + 1}")
        return (
            (request.attempts_sent, request.attempts_unsent, request.may_have_run, len(request.attempts))
            if request
            else ()
        )

    def _do_ask(self) -> list:
        self.records.append(RequestRecord())
        return self.bench.ask(method="POST" if self.kind == "once" else "GET")

    def _do_wait(self, seconds: float) -> list:
        return self.bench.advance(seconds)

    def _do_disconnect(self, index: int) -> list:
        self.records[index].is_client_gone = True
        commands = self.bench.forwarder.step(now=self.bench.now, event=ClientDisconnected(token=f"front {index + 1}"))
        self._check_disconnect(index=index, commands=commands)
        return commands

    def _check_disconnect(self, *, index: int, commands: list) -> None:
        """A repeatable request ends at once, with a final response; any other continues if in flight."""
        cancelled = {command.token for command in commands if isinstance(command, CancelCall)}
        open_calls = {attempt.call.token for attempt in self.records[index].attempts if not attempt.end}
        continues = open_calls if self.kind == "once" else set()
        if cancelled != open_calls - continues:
            self._fail(what="GONE: an attempt runs on, or was canceled, after its client disconnected")
        has_answer = any(isinstance(command, Respond) for command in commands)
        if has_answer == bool(continues):
            self._fail(what="no final response when its client disconnected, or one although the request continues")

    def _do_stop(self) -> list:
        self.is_stopped = True
        return self.bench.forwarder.end_all(now=self.bench.now)

    def _do_kill(self) -> list:
        """The process is killed and restarted.

        Its clients' connections end, and the new process learns no outcome of the old one's calls.
        """
        self.incarnations += 1
        old = self.bench.forwarder
        budget = RetryBudget(ratio=0.2, slack=60.0, window=10.0)
        self.bench.forwarder = Forwarder(endpoint_selector=old.endpoint_selector, names=NAMES, budget=budget)
        for record in self.records:
            record.is_client_gone = record.is_client_gone or not record.answers
            record.is_proxy_gone = record.is_proxy_gone or not record.answers
            for attempt in record.attempts:
                attempt.end = attempt.end or "lost"
        return []

    def _do_end(self, index: int, attempt_index: int, end: str) -> list:
        attempt = self.records[index].attempts[attempt_index]
        attempt.end, call = end, attempt.call
        if end == "served":
            return self.bench.respond(call=call, body=call.headers["x-id"].encode())
        if end == "failed":
            return self.bench.respond(call=call, code=500, x_seal="sealed-500")
        if end == "full":
            return self.bench.respond(call=call, code=503, x_not_run="1")
        if end == "stranger":
            return self.bench.respond(call=call, code=421, x_not_run="1", x_who="another")
        if end == "misnamed":
            return self.bench.respond(call=call, code=503, x_not_run="1", x_id="id99")
        if end == "unmarked":
            return self.bench.respond(call=call, code=503)
        fault = {"lost": "connection-lost", "silent": "timed-out", "unsent": "refused"}[end]
        return self.bench.fail_call(call=call, fault=fault, sent=end != "unsent")

    def _apply(self, *, commands: list) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                record = self.records[int(command.headers["x-id"].removeprefix("id")) - 1]
                self._check_attempt(record=record)
                record.attempts.append(Attempt(call=command))
            elif isinstance(command, CancelCall):
                self._check_cancel(token=command.token)
            elif isinstance(command, Respond):
                index = int(command.token.removeprefix("front ")) - 1
                self.records[index].answers.append(command)
                self._check_answer(record=self.records[index], name=f"id{index + 1}")
        for record in self.records:
            if record.answers and self.kind == "once":
                self._check_not_run(record=record)

    def _check_attempt(self, *, record: RequestRecord) -> None:
        if record.answers or record.is_client_gone:
            self._fail(what="an attempt was started after the end of its request")
        if self.kind == "once" and any(attempt.may_run for attempt in record.attempts):
            self._fail(what="TWICE: an attempt was started although an earlier one may run")
        if sum(attempt.end != "unsent" for attempt in record.attempts) + 1 > self.max_attempts:
            self._fail(what="BUDGET: sent to more workers than the route allows")

    def _check_cancel(self, *, token: str) -> None:
        for record in self.records:
            for attempt in record.attempts:
                if attempt.call.token == token:
                    attempt.end = "lost"
                    if self.kind == "once":
                        self._fail(what="a non-repeatable attempt was canceled")

    def _check_answer(self, *, record: RequestRecord, name: str) -> None:
        answer = record.answers[-1]
        if len(record.answers) > 1 or record.is_proxy_gone:
            self._fail(what="answered twice, or by a process that never received the request")
        if record.is_client_gone and self.kind != "once" and answer.code not in (502, 503):
            self._fail(what="served after its client disconnected")
        seal = answer.headers.get("x-seal")
        if 200 <= answer.code < 300 and answer.body != name.encode():
            self._fail(what="MIXED: the body of another request")
        if 200 <= answer.code < 300 and seal != "s":
            self._fail(what="MIXED: a success without a seal")
        if seal is not None and (answer.code, seal) not in ((200, "s"), (500, "sealed-500")):
            self._fail(what="MIXED: a seal with another status than the worker sent")

    def _check_not_run(self, *, record: RequestRecord) -> None:
        if record.answers[0].code in NOT_RUN_CODES and any(attempt.may_run for attempt in record.attempts):
            self._fail(what=f"REFUSED: {record.answers[0].code} although the request ran, or may run")

    def _fail(self, *, what: str) -> None:
        raise Breach(what=what, trace=self.trace)


def explore(*, kind: str, max_attempts: int, requests: int, depth: int, workers: int = 3) -> int:
    """Run all orders of events up to a depth, breadth first; returns the number of distinct states. Raises Breach."""
    seen: set = set()
    frontier: list[tuple] = [()]
    for _ in range(depth):
        next_frontier = []
        for trace in frontier:
            for event in _replay(kind=kind, max_attempts=max_attempts, workers=workers, trace=trace).events(
                requests=requests
            ):
                model = _replay(kind=kind, max_attempts=max_attempts, workers=workers, trace=trace)
                model.step(event=event)
                state = model.state()
                if state not in seen:
                    seen.add(state)
                    next_frontier.append((*trace, event))
        frontier = next_frontier
    return len(seen)


def _replay(*, kind: str, max_attempts: int, workers: int, trace: tuple) -> Model:
    model = Model(kind=kind, max_attempts=max_attempts, workers=workers)
    for event in trace:
        model.step(event=event)
    return model
