"""A bounded model of the forwarding owner.

All orders of its events, and what the workers really did with each sending.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward.events import CancelCall, ClientDisconnected, Respond, StartCall
from sailward.routing.forwarding import Forwarder
from sailward.routing.retry_budget import RetryBudget
from tests.proxy_kit import NAMES, ForwarderHarness, make_plan, make_worker

PROMISES = (408, 421, 429, 503)
RAN = {"served", "failed", "lost", "silent", "misnamed", "unmarked"}
"""Ends of a sending after which the worker has run the request, though not all of them show it."""
NOT_RUN = {"full", "stranger", "unsent"}
"""Ends of a sending that prove that the worker did not run it."""


class Breach(AssertionError):
    """A rule is broken; `trace` is the shortest way to it."""

    def __init__(self, *, what: str, trace: tuple) -> None:
        super().__init__(f"{what} after {' '.join(':'.join(map(str, one)) for one in trace)}")


@dataclass(kw_only=True)
class Sending:
    """One call for a request and, once known, what became of it."""

    call: StartCall
    end: str = ""

    @property
    def may_run(self) -> bool:
        """Has it run, or may it still?"""
        return self.end not in NOT_RUN


@dataclass(kw_only=True)
class Told:
    """What one request of a caller brought about; `is_lost` if the process died under it."""

    is_left: bool = False
    is_lost: bool = False
    answers: list = field(default_factory=list)
    sendings: list[Sending] = field(default_factory=list)


class Model:
    """One history: the owner, its requests, and the checks after each event."""

    def __init__(self, *, kind: str, attempts: int, workers: int) -> None:
        self.kind, self.attempts = kind, attempts
        self.bench = ForwarderHarness(
            workers=[make_worker(f"w{at}") for at in range(workers)], plan=make_plan(kind=kind, tries=attempts)
        )
        self.asked: list[Told] = []
        self.incarnations = 1
        self.is_stopped = False
        self.trace: tuple = ()

    def events(self, *, requests: int) -> list[tuple]:
        """What may happen next."""
        found: list[tuple] = [("wait", 0.31), ("wait", 4.0)]
        if len(self.asked) < requests and not self.is_stopped:
            found.append(("ask",))
        for at, told in enumerate(self.asked):
            for number, sending in enumerate(told.sendings):
                if not sending.end:
                    found += [("end", at, number, end) for end in sorted(RAN | NOT_RUN)]
            if not told.answers and not told.is_left:
                found.append(("leave", at))
        if self.asked and not self.is_stopped:
            found.append(("stop",))
            if self.incarnations < 2:
                found.append(("kill",))
        return found

    def step(self, *, event: tuple) -> None:
        """Let it happen, and check."""
        self.trace += (event,)
        self._take(commands=getattr(self, f"_do_{event[0]}")(*event[1:]))

    def state(self) -> tuple:
        """What distinguishes this history's future from another's."""
        requests = tuple(
            (
                told.is_left,
                tuple(answer.code for answer in told.answers),
                tuple(sending.end for sending in told.sendings),
                self._owner_state(at=at),
            )
            for at, told in enumerate(self.asked)
        )
        workers = tuple(
            sorted(
                (shown.state, shown.busy_until > self.bench.now) for shown in self.bench.passive_health.workers.values()
            )
        )
        return requests, workers, self.incarnations, self.is_stopped, round(self.bench.now, 2)

    def _owner_state(self, *, at: int) -> tuple:
        request = self.bench.forwarder.live.get(f"front {at + 1}")
        return (request.sent, request.unsent, request.ran, len(request.attempts)) if request else ()

    def _do_ask(self) -> list:
        self.asked.append(Told())
        return self.bench.ask(method="POST" if self.kind == "once" else "GET")

    def _do_wait(self, seconds: float) -> list:
        return self.bench.advance(seconds)

    def _do_leave(self, at: int) -> list:
        self.asked[at].is_left = True
        commands = self.bench.forwarder.step(now=self.bench.now, event=ClientDisconnected(token=f"front {at + 1}"))
        self._check_leave(at=at, commands=commands)
        return commands

    def _check_leave(self, *, at: int, commands: list) -> None:
        """What may be repeated ends at once, with a final answer; what may not goes on if it is under way."""
        cancelled = {command.token for command in commands if isinstance(command, CancelCall)}
        open_calls = {sending.call.token for sending in self.asked[at].sendings if not sending.end}
        goes_on = open_calls if self.kind == "once" else set()
        if cancelled != open_calls - goes_on:
            self._break(what="GONE: runs on, or is broken off, after its caller left")
        has_answer = any(isinstance(command, Respond) for command in commands)
        if has_answer == bool(goes_on):
            self._break(what="no final answer when its caller left, or one although it goes on")

    def _do_stop(self) -> list:
        self.is_stopped = True
        return self.bench.forwarder.end_all(now=self.bench.now)

    def _do_kill(self) -> list:
        """The process is killed and started.

        Its callers' connections end, and no end of a call is told to the new one.
        """
        self.incarnations += 1
        old = self.bench.forwarder
        budget = RetryBudget(ratio=0.2, slack=60.0, window=10.0)
        self.bench.forwarder = Forwarder(endpoint_selector=old.endpoint_selector, names=NAMES, budget=budget)
        for told in self.asked:
            told.is_left = told.is_left or not told.answers
            told.is_lost = told.is_lost or not told.answers
            for sending in told.sendings:
                sending.end = sending.end or "lost"
        return []

    def _do_end(self, at: int, number: int, end: str) -> list:
        sending = self.asked[at].sendings[number]
        sending.end, call = end, sending.call
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

    def _take(self, *, commands: list) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                told = self.asked[int(command.headers["x-id"].removeprefix("id")) - 1]
                self._check_sending(told=told)
                told.sendings.append(Sending(call=command))
            elif isinstance(command, CancelCall):
                self._check_cancel(token=command.token)
            elif isinstance(command, Respond):
                at = int(command.token.removeprefix("front ")) - 1
                self.asked[at].answers.append(command)
                self._check_answer(told=self.asked[at], name=f"id{at + 1}")
        for told in self.asked:
            if told.answers and self.kind == "once":
                self._check_promise(told=told)

    def _check_sending(self, *, told: Told) -> None:
        if told.answers or told.is_left:
            self._break(what="sent after its end")
        if self.kind == "once" and any(sending.may_run for sending in told.sendings):
            self._break(what="TWICE: sent although an earlier sending may run")
        if sum(sending.end != "unsent" for sending in told.sendings) + 1 > self.attempts:
            self._break(what="BUDGET: sent to more workers than its route allows")

    def _check_cancel(self, *, token: str) -> None:
        for told in self.asked:
            for sending in told.sendings:
                if sending.call.token == token:
                    sending.end = "lost"
                    if self.kind == "once":
                        self._break(what="a once-only sending was broken off")

    def _check_answer(self, *, told: Told, name: str) -> None:
        answer = told.answers[-1]
        if len(told.answers) > 1 or told.is_lost:
            self._break(what="answered twice, or by a process that never had it")
        if told.is_left and self.kind != "once" and answer.code not in (502, 503):
            self._break(what="served after its caller left")
        seal = answer.headers.get("x-seal")
        if 200 <= answer.code < 300 and answer.body != name.encode():
            self._break(what="MIXED: another's body")
        if 200 <= answer.code < 300 and seal != "s":
            self._break(what="MIXED: a success without a seal")
        if seal is not None and (answer.code, seal) not in ((200, "s"), (500, "sealed-500")):
            self._break(what="MIXED: a seal with another status than its worker gave")

    def _check_promise(self, *, told: Told) -> None:
        if told.answers[0].code in PROMISES and any(sending.may_run for sending in told.sendings):
            self._break(what=f"REFUSED: {told.answers[0].code} although it ran, or may run")

    def _break(self, *, what: str) -> None:
        raise Breach(what=what, trace=self.trace)


def explore(*, kind: str, attempts: int, requests: int, depth: int, workers: int = 3) -> int:
    """Play all orders of events up to a depth, breadth first; the number of distinct states. Raises Breach."""
    seen: set = set()
    front: list[tuple] = [()]
    for _ in range(depth):
        later = []
        for trace in front:
            for event in _replay(kind=kind, attempts=attempts, workers=workers, trace=trace).events(requests=requests):
                model = _replay(kind=kind, attempts=attempts, workers=workers, trace=trace)
                model.step(event=event)
                state = model.state()
                if state not in seen:
                    seen.add(state)
                    later.append((*trace, event))
        front = later
    return len(seen)


def _replay(*, kind: str, attempts: int, workers: int, trace: tuple) -> Model:
    model = Model(kind=kind, attempts=attempts, workers=workers)
    for event in trace:
        model.step(event=event)
    return model
