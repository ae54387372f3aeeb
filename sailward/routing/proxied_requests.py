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
from sailward.routing.idempotency_cache import Memory
from sailward.routing.load_balancer import LoadBalancer
from sailward.routing.proxied_request import (
    ProxiedRequest,
    Refusal,
    answer_refusal,
    headers_onward,
    is_promise_safe,
    refit_exchange,
    take_exchange,
)
from sailward.routing.response_check import Bad, Good, Unsent, WorkerRefused, judge_result
from sailward.routing.shards_in_use import ShardsInUse
from sailward.wire_types import Message


@dataclass(kw_only=True)
class ProxiedRequests:
    """Owns all tenant requests of this proxy. `step` returns (commands, operations for the proposer to start)."""

    identity: str
    load_balancer: LoadBalancer
    claims: Claims
    queues: FairQueues = field(default_factory=FairQueues)
    attempt_budget: AttemptBudget = field(default_factory=AttemptBudget)
    live: dict = field(default_factory=dict)
    sent: dict = field(default_factory=dict)
    calls: dict = field(default_factory=dict)
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
        acting: bool,
    ) -> tuple[list, list]:
        """Process an event, finished operation, peer's message or None (timer tick); `acting`: the lease is held."""
        self.now = now
        if isinstance(event, RequestReceived):
            return self._on_request(now=now, event=event, acting=acting)
        if isinstance(event, CallFinished):
            commands, operations = self._on_call_finished(now=now, event=event, acting=acting)
        elif event is None:
            commands, operations = self._on_timer(now=now, acting=acting), []
            verdicts = self.claims.step(now=now, event=None)[2]
            commands += self._on_verdicts(now=now, verdicts=verdicts, acting=acting)
        else:
            commands, operations, verdicts = self.claims.step(now=now, event=event)
            commands += self._on_verdicts(now=now, verdicts=verdicts, acting=acting)
        dispatched, started = self._dispatch_waiting(now=now, acting=acting)
        return commands + dispatched, operations + started

    def rates(self, *, now: float) -> dict[str, float]:
        """Requests per s forwarded for each service, averaged over the last RETRY_BUDGET_WINDOW."""
        while self.loads and self.loads[0][0] < now - constants.RETRY_BUDGET_WINDOW:
            self.loads.popleft()
        counts = Counter(service for _, service in self.loads)
        return {service: round(count / constants.RETRY_BUDGET_WINDOW, 1) for service, count in counts.items()}

    def busy(self, *, now: float) -> list[str]:
        """Labels of the slots in which a request forwarded by this proxy may still run."""
        return self.shards_in_use.labels(now=now, sent=self.sent.values())

    def leave(self, *, now: float, token: str) -> list[Command]:
        """The client closed the connection: a request that is safe or was not sent is given up with a final response.

        An unsafe request that was sent continues, and its result is kept for the client's retry.
        """
        self.now = now
        exchange = self.live.get(token)
        if exchange is None or (exchange.unsafe and exchange.sent):
            return []
        in_flight = [call for call, other in self.sent.items() if other is exchange]
        for call in in_flight:
            del self.sent[call]
            self.calls.pop(call, None)
            self.load_balancer.left(key=exchange.worker)
            self.shards_in_use.linger(exchange=exchange)
        refusal = self._refuse(exchange=exchange, reason="caller-left", detail="its connection was closed")
        return [*(CancelCall(token=call) for call in in_flight), refusal]

    def _on_request(self, *, now: float, event: RequestReceived, acting: bool) -> tuple[list, list]:
        self.count += 1
        exchange = take_exchange(
            event=event,
            plan=self.load_balancer.routing_state.plan,
            now=now,
            name=f"{self.identity}.{self.count}",
            clock=self.load_balancer.routing_state.clock(now=now),
        )
        is_not_run = is_promise_safe(event=event)
        if not acting and not (isinstance(exchange, Refusal) and exchange.code == 413):
            # without a lease the configuration may be stale, so that even "no such tenant" could be wrong
            exchange = Refusal(code=503, reason="no-lease", detail="this proxy is cut off from the controllers")
        if isinstance(exchange, Refusal):
            self._count_refusal(reason=exchange.reason)
            if exchange.code == 503 and event.headers.get("sailward-try", "1") == "1":
                self.attempt_budget.credit(now=now)
            return [answer_refusal(token=event.token, refusal=exchange, not_run=is_not_run)], []
        memory = self.claims.memory.by_digest.get(exchange.digest) if exchange.key else None
        is_replay = memory is not None and memory.state != "unsent"
        refusal = self._charge_budget(now=now, exchange=exchange, memory=memory, is_replay=is_replay)
        if refusal is not None:
            return [refusal], []
        self.live[exchange.token] = exchange
        if is_replay or (
            len(self.sent) < constants.MAX_OPEN_EXCHANGES and not self.queues.waits(name=exchange.queue_name)
        ):
            dispatched = self._dispatch(now=now, exchange=exchange)
            if dispatched is not None:
                return dispatched
        exchange.state = "waiting"
        if not self.queues.step(name=exchange.queue_name, item=exchange.token, share=exchange.tenant.share):
            return [self._refuse(exchange=exchange, reason="line-full", detail="this tenant's queue is full")], []
        return [], []

    def _charge_budget(
        self, *, now: float, exchange: ProxiedRequest, memory: Memory | None, is_replay: bool
    ) -> Respond | None:
        """Charge the request to the attempt budget; the refusal if that is spent or the claim may have been lost."""
        is_repeat = exchange.turn > 1 or (memory is not None and memory.state == "unsent")
        if is_replay:
            exchange.paid = ""
        elif exchange.unsafe and is_repeat and memory is None:
            # a retry whose claim is not known here adds no load on workers until it is forwarded
            exchange.paid = self.attempt_budget.lookup(now=now)
        else:
            exchange.paid = self.attempt_budget.step(now=now, first=not is_repeat, caller=True)
        if not is_replay and not exchange.paid:
            detail = "retries exceed their share of the traffic"
            return self._refuse(exchange=exchange, reason="too-many-repeats", detail=detail)
        is_unclaimed_repeat = exchange.unsafe and memory is None and exchange.turn != 1
        if is_unclaimed_repeat and self.load_balancer.routing_state.has_unknown_outcomes(now=now):
            detail = (
                "claims were lost: a request that may have been sent before is not forwarded until they have expired"
            )
            return self._refuse(exchange=exchange, reason="claims-in-doubt", detail=detail)
        return None

    def _dispatch(self, *, now: float, exchange: ProxiedRequest) -> tuple[list, list] | None:
        """Select a worker, claim the key if the request is unsafe, and forward; None to wait for worker capacity."""
        if not self.claims.remembers(exchange=exchange):
            choice = self._select_worker(now=now, exchange=exchange)
            if isinstance(choice, Refusal):
                return None if choice.reason == "no-room" else ([self._refuse(exchange=exchange, refusal=choice)], [])
        if exchange.unsafe and not exchange.claim:
            exchange.state = "claiming"
            commands, operations, verdicts = self.claims.step(now=now, event=exchange)
            return commands + self._on_verdicts(now=now, verdicts=verdicts, acting=True), operations
        return self._forward(now=now, exchange=exchange), []

    def _select_worker(self, *, now: float, exchange: ProxiedRequest) -> Refusal | None:
        refusal = refit_exchange(exchange=exchange, plan=self.load_balancer.routing_state.plan)
        choice = refusal or self.load_balancer.step(now=now, exchange=exchange)
        if isinstance(choice, Refusal):
            return choice
        exchange.chosen = choice
        return None

    def _forward(self, *, now: float, exchange: ProxiedRequest) -> list[Command]:
        has_plan_changed = exchange.plan != self.load_balancer.routing_state.plan.number
        if exchange.chosen is None or has_plan_changed or not self.load_balancer.stands(exchange=exchange):
            refusal = self._select_worker(now=now, exchange=exchange)
            if refusal is not None:
                return [self._refuse(exchange=exchange, refusal=refusal)]
        worker, exchange.chosen = exchange.chosen, None
        if exchange.attempts == 0:
            self.tally["sent-on"] += 1
        exchange.attempts += 1
        exchange.worker, exchange.state, exchange.sent = worker.key, "sent", True
        exchange.tried.add(worker.key)
        self.load_balancer.took(key=worker.key)
        token = f"x {exchange.name} {exchange.attempts}"
        self.sent[token] = exchange
        time_left = max(0.05, exchange.expiry - now)
        timeout = time_left if exchange.unsafe or exchange.attempts >= constants.MAX_ATTEMPTS else time_left / 2
        exchange.sent_at = now
        self.loads.append((now, exchange.service.name))
        self.calls[token] = now + timeout + constants.QUEUE_TIMEOUT
        worker_timeout = min(timeout, exchange.service.expiry)
        return [
            StartCall(
                token=token,
                owner=worker.key,
                address=worker.address,
                method=exchange.method,
                path=exchange.path,
                headers=headers_onward(exchange=exchange, worker=worker.key, timeout=worker_timeout),
                body=exchange.body,
                timeout=worker_timeout,
                fresh=exchange.unsafe,
            )
        ]

    def _on_verdicts(self, *, now: float, verdicts: list, acting: bool) -> list[Command]:
        commands: list[Command] = []
        for verdict in verdicts:
            exchange = verdict.exchange
            if isinstance(verdict, Won):
                exchange.claim = 1
                if exchange.paid == LOOKUP:
                    exchange.paid = self.attempt_budget.step(now=now, first=False, caller=True)
                    if not exchange.paid and not exchange.answered:
                        commands.append(
                            self._refuse(
                                exchange=exchange,
                                reason="too-many-repeats",
                                detail="retries exceed their share of the traffic",
                            )
                        )
                        continue
                if exchange.answered or not acting or now >= exchange.expiry:
                    self._mark_unsent(exchange=exchange)
                    if not exchange.answered:
                        commands.append(
                            self._refuse(exchange=exchange, reason="no-lease", detail="lost while claiming")
                        )
                else:
                    commands += self._forward(now=now, exchange=exchange)
            elif exchange.answered:
                continue
            elif isinstance(verdict, Replayed):
                commands.append(
                    self._respond(
                        exchange=exchange,
                        code=verdict.code,
                        body=verdict.body,
                        headers={**verdict.headers, "Sailward-Repeat": "kept"},
                    )
                )
            elif isinstance(verdict, Lost):
                commands.append(self._refuse(exchange=exchange, refusal=verdict.refusal))
        return commands

    def _on_call_finished(self, *, now: float, event: CallFinished, acting: bool) -> tuple[list, list]:
        exchange = self.sent.pop(event.token, None)
        self.calls.pop(event.token, None)
        if exchange is None:
            return [], []
        self.load_balancer.left(key=exchange.worker)
        verdict = judge_result(exchange=exchange, event=event)
        if isinstance(verdict, Good) and not self._retry_elsewhere(exchange=exchange, verdict=verdict):
            return self._finish(exchange=exchange, verdict=verdict), []
        commands = (
            [] if isinstance(verdict, Good) else self._update_worker_health(now=now, exchange=exchange, verdict=verdict)
        )
        must_not_rerun = self._record_verdict(exchange=exchange, verdict=verdict)
        if exchange.answered:
            if exchange.unsafe and not must_not_rerun:
                self._mark_unsent(exchange=exchange)
            return commands, []
        may_retry = (
            not must_not_rerun and acting and exchange.attempts < constants.MAX_ATTEMPTS and now < exchange.expiry
        )
        if may_retry and self.attempt_budget.step(now=now, first=False):
            self.tally["tried-again"] += 1
            return commands + self._forward(now=now, exchange=exchange), []
        if isinstance(verdict, Good):
            return commands + self._finish(exchange=exchange, verdict=verdict), []
        code = 504 if getattr(verdict, "reason", "") == "timed-out" else 502
        refusal = Refusal(code=code if isinstance(verdict, Bad) else 503, reason="worker-failed", detail=verdict.reason)
        return [*commands, self._refuse(exchange=exchange, refusal=refusal)], []

    def _record_verdict(self, *, exchange: ProxiedRequest, verdict: object) -> bool:
        """Record the outcome of an attempt; True if the request is unsafe and may have run without a full response."""
        must_not_rerun = exchange.unsafe and isinstance(verdict, Bad)
        exchange.may_have_run = exchange.may_have_run or isinstance(verdict, (Bad, Good))
        if isinstance(verdict, Bad):
            self.shards_in_use.linger(exchange=exchange)
        if must_not_rerun:
            memory = self.claims.memory.by_digest.get(exchange.digest)
            if memory is not None:
                memory.state = "unknown"
        elif isinstance(verdict, (Unsent, WorkerRefused)):
            exchange.sent = exchange.may_have_run
        return must_not_rerun

    def _retry_elsewhere(self, *, exchange: ProxiedRequest, verdict: Good) -> bool:
        return (
            not exchange.unsafe
            and verdict.code in (502, 503, 504)
            and not exchange.answered
            and exchange.attempts < constants.MAX_ATTEMPTS
        )

    def _update_worker_health(self, *, now: float, exchange: ProxiedRequest, verdict: object) -> list[Command]:
        event = {"Unsent": "refused"}.get(type(verdict).__name__, "")
        if isinstance(verdict, Bad):
            event = "stranger" if verdict.stranger else "fail"
        commands = (
            self.load_balancer.routing_state.prober.mark(now=now, key=exchange.worker, event=event) if event else []
        )
        fields = {"exchange": exchange.name, "worker": exchange.worker, "reason": verdict.reason}
        return [*commands, LogEvent(event="forwarding-failed", fields=fields)]

    def _finish(self, *, exchange: ProxiedRequest, verdict: Good) -> list[Command]:
        commands = (
            self.claims.finish(exchange=exchange, code=verdict.code, headers=verdict.headers, body=verdict.body)
            if exchange.unsafe
            else []
        )
        if exchange.answered:
            return commands
        return [
            *commands,
            self._respond(exchange=exchange, code=verdict.code, headers=verdict.headers, body=verdict.body),
        ]

    def _respond(self, *, exchange: ProxiedRequest, code: int, headers: dict, body: bytes) -> Respond:
        self.tally["answered"] += 1
        exchange.answered = True
        self.live.pop(exchange.token, None)
        return Respond(token=exchange.token, code=code, body=body, headers=headers)

    def _refuse(
        self, *, exchange: ProxiedRequest, reason: str = "", detail: str = "", refusal: Refusal | None = None
    ) -> Respond:
        refusal = refusal or Refusal(code=503, reason=reason, detail=detail)
        self._count_refusal(reason=refusal.reason)
        if exchange.paid and exchange.attempts == 0:
            self.attempt_budget.refund(now=self.now, paid=exchange.paid, swells=refusal.code != 503)
            exchange.paid = ""
        if exchange.state == "waiting":
            self.queues.drop(item=exchange.token)
        if exchange.claim and not exchange.sent:
            self._mark_unsent(exchange=exchange)
        exchange.answered = True
        self.live.pop(exchange.token, None)
        is_not_run = not exchange.sent and (not exchange.unsafe or exchange.turn == 1) and not refusal.state
        return answer_refusal(token=exchange.token, refusal=refusal, not_run=is_not_run)

    def _mark_unsent(self, *, exchange: ProxiedRequest) -> None:
        memory = self.claims.memory.by_digest.get(exchange.digest)
        if memory is not None and memory.state == "running":
            memory.state = "unsent"

    def _count_refusal(self, *, reason: str) -> None:
        self.tally[f"refused-{reason}"] += 1

    def _dispatch_waiting(self, *, now: float, acting: bool) -> tuple[list, list]:
        commands, operations, blocked = [], [], set()
        while acting and len(self.sent) < constants.MAX_OPEN_EXCHANGES:
            queued = self.queues.take(blocked=blocked)
            if queued is None:
                break
            exchange = self.live.get(queued[1])
            if exchange is None:
                continue
            dispatched = self._dispatch(now=now, exchange=exchange)
            if dispatched is None:
                self.queues.put_back(name=queued[0], item=queued[1])
                blocked.add(queued[0])
                continue
            commands, operations = commands + dispatched[0], operations + dispatched[1]
        return commands, operations

    def _on_timer(self, *, now: float, acting: bool) -> list[Command]:
        commands: list[Command] = []
        for exchange in list(self.live.values()):
            if exchange.state == "waiting" and (not acting or now - exchange.arrived >= constants.QUEUE_TIMEOUT):
                reason = "no-room" if acting else "no-lease"
                commands.append(
                    self._refuse(
                        exchange=exchange,
                        reason=reason,
                        detail="every eligible worker is at its limit"
                        if acting
                        else "this proxy is cut off from the controllers",
                    )
                )
            elif now >= exchange.expiry:
                refusal = Refusal(code=504, reason="expired")
                commands.append(self._refuse(exchange=exchange, refusal=refusal))
        for token, deadline in list(self.calls.items()):
            if now >= deadline:
                # the end of the call was never reported; whether the request ran is unknown
                timed_out = CallFinished(token=token, code=0, headers={}, body=b"", fault="timed-out", sent=True)
                commands += self._on_call_finished(now=now, event=timed_out, acting=False)[0]
        return commands
