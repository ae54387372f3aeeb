"""Tenant requests in flight in a proxy: admits, claims, forwards, retries, or gives up at once."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.proposer import OperationFinished
from sailward.events import CallFinished, CancelCall, Command, LogEvent, RequestReceived, Respond, StartCall
from sailward.routing.attempt_budget import LOOKUP, AttemptBudget
from sailward.routing.fair_queues import FairQueues
from sailward.routing.idempotency import Claims, Lost, Replayed, Won
from sailward.routing.idempotency_cache import CachedClaim
from sailward.routing.load_balancer import LoadBalancer
from sailward.routing.proxied_request import (
    ProxiedRequest,
    Refusal,
    answer_refusal,
    build_proxied_request,
    headers_to_worker,
    may_promise_not_run,
    rematch_request,
)
from sailward.routing.response_check import Bad, Good, Unsent, WorkerRefused, judge_result
from sailward.routing.shards_in_use import ShardsInUse
from sailward.wire_types import Message

NO_ROOM = Refusal(code=503, reason="no-room", detail="every worker that may serve is at its bound")
CLAIMS_IN_DOUBT = Refusal(
    code=503,
    reason="claims-in-doubt",
    detail="the core lost claims: an exchange that may have been sent before is not sent on until their life is over",
)
NO_LEASE = Refusal(code=503, reason="no-lease", detail="this proxy is cut off from the core")


@dataclass(kw_only=True)
class ProxiedRequests:
    """Owns all tenant requests of this proxy. `step` returns (commands, operations for the proposer to start)."""

    identity: str
    load_balancer: LoadBalancer
    claims: Claims
    queues: FairQueues = field(default_factory=FairQueues)
    attempt_budget: AttemptBudget = field(default_factory=AttemptBudget)
    live: dict = field(default_factory=dict)
    in_flight: dict = field(default_factory=dict)
    call_deadlines: dict = field(default_factory=dict)
    tally: Counter = field(default_factory=Counter)
    count: int = 0
    now: float = 0.0
    shards_in_use: ShardsInUse = field(default_factory=ShardsInUse)
    loads: deque = field(default_factory=deque)

    def step(
        self,
        *,
        now: float,
        event: RequestReceived | CallFinished | OperationFinished | tuple[str, Message] | None,
        is_acting: bool,
    ) -> tuple[list, list]:
        """Process an event, finished operation, peer's message or None (timer tick); `is_acting`: lease held."""
        self.now = now
        if isinstance(event, RequestReceived):
            return self._on_request(now=now, event=event, is_acting=is_acting)
        if isinstance(event, CallFinished):
            commands, operations = self._on_call_finished(now=now, event=event, is_acting=is_acting)
        elif event is None:
            commands, operations = self._on_timer(now=now, is_acting=is_acting), []
            verdicts = self.claims.step(now=now, event=None)[2]
            commands += self._on_verdicts(now=now, verdicts=verdicts, is_acting=is_acting)
        else:
            commands, operations, verdicts = self.claims.step(now=now, event=event)
            commands += self._on_verdicts(now=now, verdicts=verdicts, is_acting=is_acting)
        dispatched, started = self._dispatch_waiting(now=now, is_acting=is_acting)
        return commands + dispatched, operations + started

    def rates(self, *, now: float) -> dict[str, float]:
        """Requests per s forwarded for each service, averaged over the last RETRY_BUDGET_WINDOW."""
        while self.loads and self.loads[0][0] < now - constants.RETRY_BUDGET_WINDOW:
            self.loads.popleft()
        counts = Counter(service for _, service in self.loads)
        return {service: round(count / constants.RETRY_BUDGET_WINDOW, 1) for service, count in counts.items()}

    def busy(self, *, now: float) -> list[str]:
        """Labels of the slots in which a request forwarded by this proxy may still run."""
        return self.shards_in_use.labels(now=now, in_flight=self.in_flight.values())

    def on_client_disconnected(self, *, now: float, token: str) -> list[Command]:
        """The client closed the connection: a request that is safe or was not sent is given up with a final response.

        An unsafe request that was sent continues, and its result is kept for the client's retry.
        """
        self.now = now
        request = self.live.get(token)
        if request is None or (request.is_unsafe and request.is_sent):
            return []
        in_flight = [call for call, other in self.in_flight.items() if other is request]
        for call in in_flight:
            del self.in_flight[call]
            self.call_deadlines.pop(call, None)
            self.load_balancer.record_ended(key=request.worker)
            self.shards_in_use.record_abandoned(request=request)
        refusal = self._refuse(request=request, reason="caller-left", detail="its connection was closed")
        return [*(CancelCall(token=call) for call in in_flight), refusal]

    def end_all(self, *, now: float) -> list[Command]:
        """Answer all requests that are left because the process is stopping."""
        self.now = now
        return [
            self._refuse(request=request, refusal=Refusal(code=504 if request.is_sent else 503, reason="stopping"))
            for request in list(self.live.values())
        ]

    def _on_request(self, *, now: float, event: RequestReceived, is_acting: bool) -> tuple[list, list]:
        self.count += 1
        request = build_proxied_request(
            event=event,
            plan=self.load_balancer.routing_state.plan,
            now=now,
            exchange_id=f"{self.identity}.{self.count}",
            wall_time=self.load_balancer.routing_state.wall_time(now=now),
        )
        is_not_run = may_promise_not_run(event=event)
        if not is_acting and not (isinstance(request, Refusal) and request.code == 413):
            # without a lease the configuration may be stale, so that even "no such tenant" could be wrong
            request = NO_LEASE
        if isinstance(request, Refusal):
            self.tally[f"refused-{request.reason}"] += 1
            if request.code == 503 and event.headers.get("sailward-try", "1") == "1":
                self.attempt_budget.credit(now=now)
            return [answer_refusal(token=event.token, refusal=request, is_not_run=is_not_run)], []
        cached = self.claims.cache.by_digest.get(request.digest) if request.key else None
        is_replay = cached is not None and cached.state != "unsent"
        refusal = self._charge_budget(now=now, request=request, cached=cached, is_replay=is_replay)
        if refusal is not None:
            return [refusal], []
        self.live[request.token] = request
        if is_replay or (
            len(self.in_flight) < constants.MAX_OPEN_EXCHANGES and not self.queues.has_items(name=request.queue_name)
        ):
            dispatched = self._dispatch(now=now, request=request)
            if dispatched is not None:
                return dispatched
        request.state = "waiting"
        if not self.queues.step(name=request.queue_name, item=request.token, share=request.tenant.share):
            return [self._refuse(request=request, reason="line-full", detail="this tenant's line is full")], []
        return [], []

    def _charge_budget(
        self, *, now: float, request: ProxiedRequest, cached: CachedClaim | None, is_replay: bool
    ) -> Respond | None:
        """Charge the request to the attempt budget; the refusal if that is spent or the claim may have been lost."""
        is_retry = request.try_number > 1 or (cached is not None and cached.state == "unsent")
        if is_replay:
            request.charged_to = ""
        elif request.is_unsafe and is_retry and cached is None:
            # a retry whose claim is not known here adds no load on workers until it is forwarded
            request.charged_to = self.attempt_budget.lookup(now=now)
        else:
            request.charged_to = self.attempt_budget.step(now=now, is_first=not is_retry, is_client_retry=True)
        if not is_replay and not request.charged_to:
            refusal = Refusal(code=503, reason="too-many-repeats", detail="repeats are over their share of the traffic")
            return self._refuse(request=request, refusal=refusal)
        is_unclaimed_retry = request.is_unsafe and cached is None and request.try_number != 1
        in_doubt = is_unclaimed_retry and self.load_balancer.routing_state.has_unknown_outcomes(now=now)
        return self._refuse(request=request, refusal=CLAIMS_IN_DOUBT) if in_doubt else None

    def _dispatch(self, *, now: float, request: ProxiedRequest) -> tuple[list, list] | None:
        """Select a worker, claim the key if the request is unsafe, and forward; None to wait for worker capacity."""
        if not self.claims.may_have_forwarded(request=request):
            choice = self._select_worker(now=now, request=request)
            if isinstance(choice, Refusal):
                return None if choice.reason == "no-room" else ([self._refuse(request=request, refusal=choice)], [])
        if request.is_unsafe and not request.has_claim:
            request.state = "claiming"
            commands, operations, verdicts = self.claims.step(now=now, event=request)
            return commands + self._on_verdicts(now=now, verdicts=verdicts, is_acting=True), operations
        return self._forward(now=now, request=request), []

    def _select_worker(self, *, now: float, request: ProxiedRequest) -> Refusal | None:
        refusal = rematch_request(request=request, plan=self.load_balancer.routing_state.plan)
        choice = refusal or self.load_balancer.step(now=now, request=request)
        if isinstance(choice, Refusal):
            return choice
        request.selected_worker = choice
        return None

    def _forward(self, *, now: float, request: ProxiedRequest) -> list[Command]:
        has_plan_changed = request.plan_number != self.load_balancer.routing_state.plan.number
        if (
            request.selected_worker is None
            or has_plan_changed
            or not self.load_balancer.is_choice_valid(request=request)
        ):
            refusal = self._select_worker(now=now, request=request)
            if refusal is not None:
                return [self._refuse(request=request, refusal=refusal)]
        worker, request.selected_worker = request.selected_worker, None
        if request.attempts == 0:
            self.tally["sent-on"] += 1
        request.attempts += 1
        request.worker, request.state, request.is_sent = worker.key, "sent", True
        request.tried_workers.add(worker.key)
        self.load_balancer.record_sent(key=worker.key)
        token = f"x {request.exchange_id} {request.attempts}"
        self.in_flight[token] = request
        time_left = max(0.05, request.expires_at - now)
        timeout = time_left if request.is_unsafe or request.attempts >= constants.MAX_ATTEMPTS else time_left / 2
        request.sent_at = now
        self.loads.append((now, request.service.name))
        self.call_deadlines[token] = now + timeout + constants.QUEUE_TIMEOUT
        worker_timeout = min(timeout, request.service.expiry)
        return [
            StartCall(
                token=token,
                owner=worker.key,
                address=worker.address,
                method=request.method,
                path=request.path,
                headers=headers_to_worker(request=request, worker=worker.key, timeout=worker_timeout),
                body=request.body,
                timeout=worker_timeout,
                fresh=request.is_unsafe,
            )
        ]

    def _on_verdicts(self, *, now: float, verdicts: list, is_acting: bool) -> list[Command]:
        commands: list[Command] = []
        for verdict in verdicts:
            request = verdict.request
            if isinstance(verdict, Won):
                request.has_claim = True
                if request.charged_to == LOOKUP:
                    request.charged_to = self.attempt_budget.step(now=now, is_first=False, is_client_retry=True)
                    if not request.charged_to and not request.is_answered:
                        commands.append(
                            self._refuse(
                                request=request,
                                reason="too-many-repeats",
                                detail="repeats are over their share of the traffic",
                            )
                        )
                        continue
                if request.is_answered or not is_acting or now >= request.expires_at:
                    self._mark_unsent(request=request)
                    if not request.is_answered:
                        commands.append(self._refuse(request=request, reason="no-lease", detail="lost while claiming"))
                else:
                    commands += self._forward(now=now, request=request)
            elif request.is_answered:
                continue
            elif isinstance(verdict, Replayed):
                commands.append(
                    self._respond(
                        request=request,
                        code=verdict.code,
                        body=verdict.body,
                        headers={**verdict.headers, "Sailward-Repeat": "kept"},
                    )
                )
            elif isinstance(verdict, Lost):
                commands.append(self._refuse(request=request, refusal=verdict.refusal))
        return commands

    def _on_call_finished(self, *, now: float, event: CallFinished, is_acting: bool) -> tuple[list, list]:
        request = self.in_flight.pop(event.token, None)
        self.call_deadlines.pop(event.token, None)
        if request is None:
            return [], []
        self.load_balancer.record_ended(key=request.worker)
        verdict = judge_result(request=request, event=event)
        if isinstance(verdict, Good) and not self._may_retry_elsewhere(request=request, verdict=verdict):
            return self._finish(request=request, verdict=verdict), []
        commands = (
            [] if isinstance(verdict, Good) else self._update_worker_health(now=now, request=request, verdict=verdict)
        )
        must_not_rerun = self._record_verdict(request=request, verdict=verdict)
        if request.is_answered:
            if request.is_unsafe and not must_not_rerun:
                self._mark_unsent(request=request)
            return commands, []
        may_retry = (
            not must_not_rerun and is_acting and request.attempts < constants.MAX_ATTEMPTS and now < request.expires_at
        )
        if may_retry and self.attempt_budget.step(now=now, is_first=False):
            self.tally["tried-again"] += 1
            return commands + self._forward(now=now, request=request), []
        if isinstance(verdict, Good):
            return commands + self._finish(request=request, verdict=verdict), []
        code = 504 if getattr(verdict, "reason", "") == "timed-out" else 502
        refusal = Refusal(code=code if isinstance(verdict, Bad) else 503, reason="worker-failed", detail=verdict.reason)
        return [*commands, self._refuse(request=request, refusal=refusal)], []

    def _record_verdict(self, *, request: ProxiedRequest, verdict: object) -> bool:
        """Record the outcome of an attempt; True if the request is unsafe and may have run without a full response."""
        must_not_rerun = request.is_unsafe and isinstance(verdict, Bad)
        request.may_have_run = request.may_have_run or isinstance(verdict, (Bad, Good))
        if isinstance(verdict, Bad):
            self.shards_in_use.record_abandoned(request=request)
        if must_not_rerun:
            cached = self.claims.cache.by_digest.get(request.digest)
            if cached is not None:
                cached.state = "unknown"
        elif isinstance(verdict, (Unsent, WorkerRefused)):
            request.is_sent = request.may_have_run
        return must_not_rerun

    def _may_retry_elsewhere(self, *, request: ProxiedRequest, verdict: Good) -> bool:
        return (
            not request.is_unsafe
            and verdict.code in (502, 503, 504)
            and not request.is_answered
            and request.attempts < constants.MAX_ATTEMPTS
        )

    def _update_worker_health(self, *, now: float, request: ProxiedRequest, verdict: object) -> list[Command]:
        event = {"Unsent": "refused"}.get(type(verdict).__name__, "")
        if isinstance(verdict, Bad):
            event = "stranger" if verdict.is_stranger else "fail"
        commands = (
            self.load_balancer.routing_state.prober.record_event(now=now, key=request.worker, event=event)
            if event
            else []
        )
        fields = {"exchange": request.exchange_id, "worker": request.worker, "reason": verdict.reason}
        return [*commands, LogEvent(event="forwarding-failed", fields=fields)]

    def _finish(self, *, request: ProxiedRequest, verdict: Good) -> list[Command]:
        commands = (
            self.claims.finish(request=request, code=verdict.code, headers=verdict.headers, body=verdict.body)
            if request.is_unsafe
            else []
        )
        if request.is_answered:
            return commands
        return [
            *commands,
            self._respond(request=request, code=verdict.code, headers=verdict.headers, body=verdict.body),
        ]

    def _respond(self, *, request: ProxiedRequest, code: int, headers: dict, body: bytes) -> Respond:
        self.tally["answered"] += 1
        request.is_answered = True
        self.live.pop(request.token, None)
        return Respond(token=request.token, code=code, body=body, headers=headers)

    def _refuse(
        self, *, request: ProxiedRequest, reason: str = "", detail: str = "", refusal: Refusal | None = None
    ) -> Respond:
        refusal = refusal or Refusal(code=503, reason=reason, detail=detail)
        self.tally[f"refused-{refusal.reason}"] += 1
        if request.charged_to and request.attempts == 0:
            self.attempt_budget.refund(now=self.now, charged_to=request.charged_to, adds_load=refusal.code != 503)
            request.charged_to = ""
        if request.state == "waiting":
            self.queues.drop(item=request.token)
        if request.has_claim and not request.is_sent:
            self._mark_unsent(request=request)
        request.is_answered = True
        self.live.pop(request.token, None)
        is_not_run = not request.is_sent and (not request.is_unsafe or request.try_number == 1) and not refusal.state
        return answer_refusal(token=request.token, refusal=refusal, is_not_run=is_not_run)

    def _mark_unsent(self, *, request: ProxiedRequest) -> None:
        cached = self.claims.cache.by_digest.get(request.digest)
        if cached is not None and cached.state == "running":
            cached.state = "unsent"

    def _dispatch_waiting(self, *, now: float, is_acting: bool) -> tuple[list, list]:
        commands, operations, blocked = [], [], set()
        while is_acting and len(self.in_flight) < constants.MAX_OPEN_EXCHANGES:
            queued = self.queues.take(blocked=blocked)
            if queued is None:
                break
            request = self.live.get(queued[1])
            if request is None:
                continue
            dispatched = self._dispatch(now=now, request=request)
            if dispatched is None:
                self.queues.put_back(name=queued[0], item=queued[1])
                blocked.add(queued[0])
                continue
            commands, operations = commands + dispatched[0], operations + dispatched[1]
        return commands, operations

    def _on_timer(self, *, now: float, is_acting: bool) -> list[Command]:
        commands: list[Command] = []
        for request in list(self.live.values()):
            if request.state == "waiting" and (not is_acting or now - request.arrived_at >= constants.QUEUE_TIMEOUT):
                commands.append(self._refuse(request=request, refusal=NO_ROOM if is_acting else NO_LEASE))
            elif now >= request.expires_at:
                commands.append(self._refuse(request=request, refusal=Refusal(code=504, reason="expired")))
        for token, deadline in list(self.call_deadlines.items()):
            if now >= deadline:
                # the end of the call was never reported; whether the request ran is unknown
                timed_out = CallFinished(token=token, code=0, headers={}, body=b"", fault="timed-out", sent=True)
                commands += self._on_call_finished(now=now, event=timed_out, is_acting=False)[0]
        return commands
