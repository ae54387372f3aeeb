"""Requests in flight in a proxy: selects a worker, forwards, retries and hedges within the budget, or gives up."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.events import (
    CallFinished,
    CancelCall,
    ClientDisconnected,
    Command,
    LogEvent,
    RequestReceived,
    Respond,
    StartCall,
    WithdrawCall,
)
from sailward.invariants import Invariant, check
from sailward.routing.endpoint_selection import EndpointSelector
from sailward.routing.passive_health import EVENT_BY_FAULT
from sailward.routing.proxied_request import Refusal
from sailward.routing.request import (
    Attempt,
    Request,
    build_request,
    headers_to_caller,
    headers_to_worker,
    refusal_response,
)
from sailward.routing.retry_budget import RetryBudget
from sailward.routing.worker_response import Broken, CompleteResponse, NotSent, WorkerRejected, judge_reply
from sailward.wire_names import WireNames

TRANSIENT_REFUSALS = frozenset({"no-room", "key-moving", "key-unowned", "owner-lost", "owner-cold", "no-worker"})
"""Refusals whose cause may clear within moments: the request waits for a short while before it is refused."""

PROXY_FAULTS = frozenset({"too-late", "withdrawn"})
"""Call faults that say nothing about the health of the worker."""


@dataclass(kw_only=True)
class Forwarder:
    """Owns the requests in flight in this proxy.

    `step` takes RequestReceived, CallFinished, ClientDisconnected, or None for a timer tick.
    """

    endpoint_selector: EndpointSelector
    names: WireNames
    budget: RetryBudget
    live: dict = field(default_factory=dict)
    calls: dict = field(default_factory=dict)
    calls_by_worker: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    tally: Counter = field(default_factory=Counter)
    count: int = 0

    def step(self, *, now: float, event: RequestReceived | CallFinished | ClientDisconnected | None) -> list[Command]:
        """Process one event and return the resulting commands."""
        match event:
            case RequestReceived():
                return self._on_request(now=now, event=event)
            case CallFinished():
                return self._on_call_finished(now=now, event=event) + self._dispatch_waiting(now=now)
            case ClientDisconnected():
                return self._on_client_disconnected(now=now, token=event.token)
            case None:
                return self._on_timer(now=now)

    def take_loads(self) -> dict:
        """Return {service: {bucket: requests}} of range-sharded services since the last call, and reset the counts."""
        loads, self.loads = self.loads, {}
        return {
            service: {str(bucket): count for bucket, count in buckets.items()} for service, buckets in loads.items()
        }

    def end_all(self, *, now: float) -> list[Command]:
        """Fail all requests in flight because the process is stopping."""
        return [
            command
            for request in list(self.live.values())
            for command in self._give_up(
                now=now, request=request, refusal=Refusal(code=504 if request.attempts_sent else 503, reason="stopping")
            )
        ]

    def _on_request(self, *, now: float, event: RequestReceived) -> list[Command]:
        selector = self.endpoint_selector
        request = build_request(event=event, plan=selector.context.plan, now=now, names=self.names, rng=selector.rng)
        if isinstance(request, Refusal):
            return [refusal_response(token=event.token, refusal=request)]
        self.live[request.token] = request
        self.tally["taken"] += 1
        if request.service.is_ranged and request.key >= 0:
            buckets = self.loads.setdefault(request.service.name, Counter())
            buckets[request.key // constants.KEYS_PER_BUCKET] += 1
        return self._select_and_forward(now=now, request=request)

    def _select_and_forward(self, *, now: float, request: Request) -> list[Command]:
        """Forward the request now, let it wait for a short while, or refuse it."""
        choice = self.endpoint_selector.step(now=now, request=request)
        if not isinstance(choice, Refusal):
            self.waiting.pop(request.token, None)
            return self._forward(now=now, request=request, worker=choice)
        if request.waiting_since < 0:
            request.waiting_since = now
        if (
            choice.reason in TRANSIENT_REFUSALS
            and now + constants.TICK_INTERVAL - request.waiting_since
            <= self._max_wait(request=request, reason=choice.reason)
        ):
            self.waiting[request.token] = request
            return []
        return self._give_up(now=now, request=request, refusal=choice)

    def _max_wait(self, *, request: Request, reason: str) -> float:
        """Maximum time in s that a request may wait.

        A share of the target response time: small when it waits for capacity, larger when its key lacks an owner.
        """
        share = (
            constants.KEY_WAIT_RATIO
            if reason in ("key-moving", "key-unowned", "owner-lost")
            else constants.QUEUE_WAIT_RATIO
        )
        return min(constants.QUEUE_TIMEOUT, share * (request.match.target or constants.QUEUE_TIMEOUT))

    def _forward(self, *, now: float, request: Request, worker: Worker) -> list[Command]:
        """Forward the request if enough time is left and the retry budget allows it; give up otherwise."""
        if request.expires_at - now <= constants.MIN_REMAINING_TIME:
            code = 504 if request.attempts_sent else 503
            return self._give_up(now=now, request=request, refusal=Refusal(code=code, reason="expired"))
        is_first = not request.attempts_sent and not request.attempts_unsent
        if (is_first or request.attempts_sent) and not self._take_budget(now=now, request=request, is_first=is_first):
            return self._give_up(now=now, request=request, refusal=Refusal(code=503, reason="budget"))
        return self._start_attempt(now=now, request=request, worker=worker)

    def _take_budget(self, *, now: float, request: Request, is_first: bool, is_hedge: bool = False) -> bool:
        return self.budget.step(
            now=now,
            service=request.service.name,
            is_first=is_first,
            proxies=self.endpoint_selector.context.proxy_count,
            is_hedge=is_hedge,
        )

    def _start_attempt(self, *, now: float, request: Request, worker: Worker) -> list[Command]:
        """Start one attempt at this worker, and record it."""
        violation = check(
            invariant=Invariant.DEPARTED_NOT_SERVED, holds=not request.is_client_gone, route=request.match.path
        )
        self.count += 1
        token = f"x {self.count}"
        request.attempts_sent, request.waiting_since = request.attempts_sent + 1, -1.0
        request.attempts[token] = Attempt(worker=worker.key, started_at=now)
        if not request.service.is_ranged:
            request.tried_workers.add(worker.key)
        may_hedge = request.match.is_repeatable and request.attempts_sent < request.max_attempts
        request.hedge_at = now + self._hedge_delay(request=request) if may_hedge else float("inf")
        self.calls[token] = request
        self.calls_by_worker.setdefault(worker.key, {})[token] = None
        self.endpoint_selector.record_sent(key=worker.key)
        self.tally["sent"] += 1
        context, time_left = self.endpoint_selector.context, request.expires_at - now
        return [
            *violation,
            StartCall(
                token=token,
                owner=worker.key,
                address=worker.address,
                method=request.method,
                path=request.target,
                headers=headers_to_worker(request=request, worker=worker.key, time_left=time_left, names=self.names),
                body=request.body,
                timeout=time_left,
                # a reused connection may carry a late response, or be closed during the request: not used for a
                # request that must not run twice
                fresh=not request.match.is_repeatable,
                dial=constants.REGIONAL_CONNECT_TIMEOUT if context.regions.get(worker.zone) == context.region else 0.0,
            ),
        ]

    def _hedge_delay(self, *, request: Request) -> float:
        # a key has a single owner, so a hedge goes to the same worker: only when the response is most likely lost
        share = constants.KEY_OWNER_RETRY_RATIO if request.service.is_ranged else constants.HEDGE_DELAY_RATIO
        return max(constants.HEDGE_MIN_DELAY, share * (request.match.target or constants.HEDGE_MIN_DELAY))

    def _on_call_finished(self, *, now: float, event: CallFinished) -> list[Command]:  # noqa: C901 - one branch over the limit
        request = self.calls.pop(event.token, None)
        if request is None:
            return []
        attempt = request.attempts.pop(event.token)
        self._release_call(token=event.token, worker=attempt.worker)
        verdict = judge_reply(request=request, worker=attempt.worker, event=event, names=self.names)
        commands = self._record_outcome(now=now, attempt=attempt, verdict=verdict)
        if isinstance(verdict, CompleteResponse):
            self._record_overtaken(now=now, attempt=attempt)
        if request.token not in self.live:
            return commands
        if isinstance(verdict, CompleteResponse) and not verdict.is_failure:
            return commands + self._respond(request=request, verdict=verdict)
        if isinstance(verdict, NotSent):
            request.attempts_sent, request.attempts_unsent = request.attempts_sent - 1, request.attempts_unsent + 1
        elif isinstance(verdict, (Broken, CompleteResponse)):
            request.may_have_run = True
        elif verdict.why == "not-owner":
            request.rejected_by.add(attempt.worker)
        if request.attempts:
            return commands
        if self._may_retry(now=now, request=request, verdict=verdict):
            return commands + self._select_and_forward(now=now, request=request)
        if isinstance(verdict, CompleteResponse):
            return commands + self._respond(request=request, verdict=verdict)
        return commands + self._give_up(now=now, request=request, refusal=_refusal_for(verdict=verdict))

    def _release_call(self, *, token: str, worker: str) -> None:
        self.endpoint_selector.record_ended(key=worker)
        tokens = self.calls_by_worker.get(worker, {})
        tokens.pop(token, None)
        if not tokens:
            self.calls_by_worker.pop(worker, None)

    def _may_retry(self, *, now: float, request: Request, verdict: object) -> bool:
        if request.is_client_gone or now >= request.expires_at - constants.MIN_REMAINING_TIME:
            return False
        if isinstance(verdict, NotSent):
            return request.attempts_unsent <= constants.MAX_UNREACHABLE_WORKERS
        if request.attempts_sent >= request.max_attempts or (request.may_have_run and not request.match.is_repeatable):
            return False
        return not (isinstance(verdict, WorkerRejected) and verdict.why == "refused")

    def _record_overtaken(self, *, now: float, attempt: Attempt) -> None:
        """Count the completed attempt as having overtaken each earlier attempt that this worker has not answered.

        An attempt that was overtaken LOST_REQUEST_LATER_RESPONSES times is most likely lost at the worker.
        """
        health = self.endpoint_selector.context.passive_health.workers.get(attempt.worker)
        for token in self.calls_by_worker.get(attempt.worker, ()):
            request = self.calls.get(token)
            earlier = request.attempts.get(token) if request is not None else None
            if earlier is None or earlier.started_at >= attempt.started_at:
                continue
            earlier.overtaken_count += 1
            if earlier.overtaken_count == constants.LOST_REQUEST_LATER_RESPONSES and health is not None:
                self.tally["overtaken"] += 1
                self.endpoint_selector.context.passive_health.record_event(now=now, key=attempt.worker, event="lost")
                if request.hedge_at < float("inf"):
                    request.hedge_at = min(
                        request.hedge_at,
                        max(
                            now,
                            earlier.started_at + constants.LOST_REQUEST_LATENCY_RATIO * health.unloaded_response_time,
                        ),
                    )

    def _record_outcome(self, *, now: float, attempt: Attempt, verdict: object) -> list[Command]:
        if isinstance(verdict, CompleteResponse):
            event = "pass"
        elif isinstance(verdict, WorkerRejected):
            event = verdict.why if verdict.why in ("full", "unidentified", "stranger") else ""
        else:
            event = EVENT_BY_FAULT.get(verdict.reason, "" if verdict.reason in PROXY_FAULTS else "fail")
        if isinstance(verdict, (Broken, NotSent, WorkerRejected)):
            self.tally[f"{type(verdict).__name__}-{getattr(verdict, 'reason', getattr(verdict, 'why', ''))}"] += 1
        return (
            self.endpoint_selector.context.passive_health.record_event(
                now=now, key=attempt.worker, event=event, elapsed=now - attempt.started_at
            )
            if event
            else []
        )

    def _respond(self, *, request: Request, verdict: CompleteResponse) -> list[Command]:
        commands = self._remove_request(request=request)
        self.tally["answered"] += 1
        return [
            Respond(
                token=request.token,
                code=verdict.code,
                headers=headers_to_caller(headers=verdict.headers),
                body=verdict.body,
            ),
            *commands,
        ]

    def _give_up(self, *, now: float, request: Request, refusal: Refusal) -> list[Command]:
        commands = self._remove_request(request=request)
        code = refusal.code
        if request.may_have_run and code in (503, 429, 408, 421):
            # the request may have run: these codes would promise that it did not
            code = 502
        self.tally[f"refused-{refusal.reason}"] += 1
        log = LogEvent(
            event="given-up",
            fields={
                "reason": refusal.reason,
                "code": code,
                "route": request.match.path,
                "took": round(now - request.arrived_at, 3),
            },
        )
        return [
            refusal_response(token=request.token, refusal=Refusal(code=code, reason=refusal.reason)),
            log,
            *commands,
        ]

    def _remove_request(self, *, request: Request) -> list[Command]:
        """Remove a request that has its final response.

        Attempts still in flight are canceled, except those of a request that must not run twice: these run on, and
        their responses are discarded.
        """
        self.live.pop(request.token, None)
        self.waiting.pop(request.token, None)
        commands: list[Command] = []
        for token, attempt in list(request.attempts.items()):
            if request.match.is_repeatable:
                del request.attempts[token]
                self.calls.pop(token, None)
                self._release_call(token=token, worker=attempt.worker)
                commands.append(CancelCall(token=token))
        return commands

    def _on_client_disconnected(self, *, now: float, token: str) -> list[Command]:
        """The client closed the connection, or at least its sending side: no further attempt is started.

        A request that must not run twice continues if any byte of it has been sent. Any other is given up, with a
        final response for a client that still reads.
        """
        request = self.live.get(token)
        if request is None:
            return []
        request.is_client_gone = True
        self.tally["left"] += 1
        if request.attempts and not request.match.is_repeatable:
            self.tally["left-going-on"] += 1
            return [WithdrawCall(token=token) for token in request.attempts]
        code = 502 if request.attempts_sent else 503
        return self._give_up(now=now, request=request, refusal=Refusal(code=code, reason="caller-left"))

    def _dispatch_waiting(self, *, now: float) -> list[Command]:
        commands = []
        for request in sorted(self.waiting.values(), key=lambda waiting: (waiting.match.rank, waiting.arrived_at)):
            if request.token in self.waiting:
                commands += self._select_and_forward(now=now, request=request)
        return commands

    def _check_departed(self) -> list[Command]:
        """Check that no repeatable attempt runs for a finished request or one whose client has disconnected."""
        running = [
            request
            for request in self.calls.values()
            if request.match.is_repeatable and (request.is_client_gone or request.token not in self.live)
        ]
        return [*check(invariant=Invariant.DEPARTED_NOT_RUNNING, holds=not running, attempts=len(running))]

    def _on_timer(self, *, now: float) -> list[Command]:
        commands = self._dispatch_waiting(now=now) + self._check_departed()
        for request in list(self.live.values()):
            if now >= request.expires_at:
                code = 504 if request.attempts_sent else 503
                commands += self._give_up(now=now, request=request, refusal=Refusal(code=code, reason="expired"))
            elif now >= request.hedge_at:
                commands += self._hedge(now=now, request=request)
        return commands

    def _hedge(self, *, now: float, request: Request) -> list[Command]:
        """Start a second attempt because the first has not been answered for long; the first good response wins.

        The first attempt continues in any case.
        """
        request.hedge_at = float("inf")
        if request.expires_at - now <= constants.MIN_REMAINING_TIME:
            return []
        choice = self.endpoint_selector.step(now=now, request=request)
        if isinstance(choice, Refusal) or not self._take_budget(
            now=now, request=request, is_first=False, is_hedge=True
        ):
            return []
        self.tally["hedged"] += 1
        return self._start_attempt(now=now, request=request, worker=choice)


def _refusal_for(*, verdict: object) -> Refusal:
    if isinstance(verdict, WorkerRejected):
        return Refusal(code=verdict.code if verdict.why == "refused" else 503, reason=f"worker-{verdict.why}")
    if isinstance(verdict, NotSent):
        return Refusal(code=503, reason="unreachable")
    return Refusal(code=504 if verdict.reason == "timed-out" else 502, reason=f"worker-{verdict.reason}")
