"""Idempotency claims: the claim on an unsafe request is won at a majority of voters before a byte is forwarded."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import CLAIM_PREFIX
from sailward.consensus.proposer import Accepted, OperationFinished, Refused, StartOperation
from sailward.events import SendMessage
from sailward.routing.idempotency_cache import CachedClaim, ClaimCache
from sailward.routing.proxied_request import ProxiedRequest, Refusal
from sailward.routing.result_replicas import Peer, ResultReplicas, may_store, replicate_result
from sailward.wire_types import Message, RegisterValue


@dataclass(frozen=True, kw_only=True)
class Won:
    """The request holds the claim: it may be forwarded, once."""

    request: ProxiedRequest


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The request may not be forwarded."""

    request: ProxiedRequest
    refusal: Refusal


@dataclass(frozen=True, kw_only=True)
class Replayed:
    """The request has already run: this is its stored result."""

    request: ProxiedRequest
    code: int
    headers: dict
    body: bytes


@dataclass(kw_only=True)
class PendingPeek:
    """A query to other proxies, the owner of an earlier claim among them, about what became of that claim."""

    request: ProxiedRequest
    number: int
    expires_at: float
    owner: str
    pending_peers: set
    state: str = "unknown"


@dataclass(kw_only=True)
class Claims:
    """Owns the claims in progress. `step` returns (commands, operations for the proposer to start, verdicts)."""

    identity: str
    post: str
    region: str
    zone: str
    replicas: ResultReplicas
    peers: list[Peer] = field(default_factory=list)
    cache: ClaimCache = field(default_factory=ClaimCache)
    claiming: dict = field(default_factory=dict)
    pending_peeks: dict = field(default_factory=dict)
    count: int = 0

    def step(
        self, *, now: float, event: ProxiedRequest | OperationFinished | tuple[str, Message] | None
    ) -> tuple[list, list[StartOperation], list]:
        """Process a request to claim, a finished operation, a (sender, message) of a peer, or None for a timer tick."""
        if isinstance(event, ProxiedRequest):
            return self._on_request(now=now, request=event)
        if isinstance(event, OperationFinished):
            return self._on_operation_finished(now=now, event=event)
        if event is None:
            return [], [], self._on_timer(now=now)
        sender, body = event
        if body["kind"] == "keep":
            self.replicas.step(now=now, event=body)
            return [], [], []
        if body["kind"] == "peek":
            copy = self.replicas.find(digest=body["key"], number=body["number"])
            reply = self.cache.peek_reply(token=body["token"], digest=body["key"], region=body["region"], copy=copy)
            return [SendMessage(to=sender, body=reply)], [], []
        return self._on_peek_reply(now=now, sender=sender, body=body)

    def finish(self, *, request: ProxiedRequest, code: int, headers: dict, body: bytes) -> list:
        """Store the result for retries: here, if the tenant's home regions allow it, and at one other proxy."""
        cached = self.cache.by_digest.get(request.digest)
        self.cache.finish(
            digest=request.digest,
            code=code,
            headers=headers,
            body=body,
            store=may_store(region=self.region, homes=request.tenant.homes),
        )
        return (
            replicate_result(
                request=request,
                number=cached.number,
                code=code,
                headers=headers,
                body=body,
                zone=self.zone,
                peers=self.peers,
            )
            if cached
            else []
        )

    def may_have_forwarded(self, *, request: ProxiedRequest) -> bool:
        """Is a claim on the key cached here that may have been used, so that no worker needs to be selected?"""
        cached = self.cache.by_digest.get(request.digest) if request.is_unsafe else None
        return cached is not None and cached.state != "unsent" and not request.has_claim

    def _on_request(self, *, now: float, request: ProxiedRequest) -> tuple[list, list[StartOperation], list]:
        cached = self.cache.by_digest.get(request.digest)
        if cached is None:
            return [], [self._start_claim(now=now, request=request, expected=0)], []
        if cached.fingerprint != request.fingerprint:
            return [], [], [_key_reused(request=request)]
        return self._decide_by_state(
            now=now,
            request=request,
            state=cached.state,
            number=cached.number,
            code=cached.code,
            headers=cached.headers,
            body=cached.body,
        )

    def _start_claim(self, *, now: float, request: ProxiedRequest, expected: int) -> StartOperation:
        self.count += 1
        self.cache.begin(
            now=now,
            digest=request.digest,
            fingerprint=request.fingerprint,
            homes=request.tenant.homes,
            count=self.count,
        )
        op = f"{self.identity}/claim{self.count}"
        self.claiming[op] = request
        # address and identity of this proxy, fingerprint of the request, count of the claim
        text = json.dumps({"o": self.post, "i": self.identity, "f": request.fingerprint, "n": self.count})
        timeout = min(constants.CLAIM_TIMEOUT, max(0.05, request.expires_at - now))
        return StartOperation(
            op=op,
            register=CLAIM_PREFIX + request.digest,
            expected=expected,
            text=text,
            use_first_ballot=expected == 0,
            timeout=timeout,
        )

    def _on_operation_finished(
        self, *, now: float, event: OperationFinished
    ) -> tuple[list, list[StartOperation], list]:
        request = self.claiming.pop(event.op, None)
        if request is None:
            return [], [], []
        cached, outcome = self.cache.by_digest.get(request.digest), event.outcome
        if isinstance(outcome, Accepted):
            if cached is None or outcome.value["number"] != outcome.number:
                return [], [], [Lost(request=request, refusal=Refusal(code=503, reason="claim-passed-on"))]
            cached.state, cached.number = "running", outcome.value["number"]
            return [], [], [Won(request=request)]
        if cached is not None:
            cached.state = "unsent"
        if isinstance(outcome, Refused) and outcome.reason == "number" and outcome.value["number"]:
            return self._on_claimed_by_other(now=now, request=request, value=outcome.value, cached=cached)
        refusal = Refusal(code=503, reason="claim-uncertain", detail="no majority of the core answered in time")
        return [], [], [Lost(request=request, refusal=refusal)]

    def _on_claimed_by_other(
        self, *, now: float, request: ProxiedRequest, value: RegisterValue, cached: CachedClaim | None
    ) -> tuple[list, list[StartOperation], list]:
        claim = json.loads(value["text"])
        if claim["i"] == self.identity:
            # this proxy's own claim: unsent if it is no older than the cached ones, else the request may have run
            is_unsent = cached is not None and claim["n"] >= cached.first_count and claim["f"] == request.fingerprint
            return self._decide_by_state(
                now=now, request=request, state="unsent" if is_unsent else "unknown", number=value["number"]
            )
        self.cache.by_digest.pop(request.digest, None)
        if claim["f"] != request.fingerprint:
            return [], [], [_key_reused(request=request)]
        copy = self.replicas.find(digest=request.digest, number=value["number"])
        if copy is not None:
            return [], [], [Replayed(request=request, code=copy.code, headers=copy.headers, body=copy.body)]
        self.count += 1
        token = f"{self.identity}/peek{self.count}"
        pending_peers = {
            address for address in (claim["o"], *(peer.post for peer in self.peers)) if address not in ("", self.post)
        }
        self.pending_peeks[token] = PendingPeek(
            request=request,
            number=value["number"],
            owner=claim["o"],
            pending_peers=pending_peers,
            expires_at=now + constants.ROUND_TIMEOUT * 2,
        )
        body = {
            "kind": "peek",
            "token": token,
            "key": request.digest,
            "number": value["number"],
            "region": self.region,
        }
        return [SendMessage(to=address, body=body) for address in sorted(pending_peers)], [], []

    def _on_peek_reply(self, *, now: float, sender: str, body: dict) -> tuple[list, list[StartOperation], list]:
        peek = self.pending_peeks.get(body["token"])
        if peek is None:
            return [], [], []
        peek.pending_peers.discard(sender)
        if sender == peek.owner:
            peek.state = body["state"]
        # the proxy that made the claim decides, unless it has lost the claim or may not store the result: then the
        # other peers are waited for
        if not body["code"] and peek.pending_peers and (sender != peek.owner or body["state"] in ("unknown", "done")):
            return [], [], []
        del self.pending_peeks[body["token"]]
        headers = body["headers"] if body["code"] else None
        body = body if headers is not None else {**body, "state": peek.state}
        return self._decide_by_state(
            now=now,
            request=peek.request,
            state=body["state"],
            number=peek.number,
            code=body["code"],
            headers=headers,
            body=bytes(body["body"]),
        )

    def _decide_by_state(
        self,
        *,
        now: float,
        request: ProxiedRequest,
        state: str,
        number: int,
        code: int = 0,
        headers: dict | None = None,
        body: bytes = b"",
    ) -> tuple[list, list[StartOperation], list]:
        if state == "unsent":
            return [], [self._start_claim(now=now, request=request, expected=number)], []
        if state == "done" and headers is not None:
            return [], [], [Replayed(request=request, code=code, headers=headers, body=body)]
        reported_state = "running" if state == "claiming" else state
        refusal = Refusal(code=409, reason="repeat", state=reported_state, detail="this key was sent on before")
        return [], [], [Lost(request=request, refusal=refusal)]

    def _on_timer(self, *, now: float) -> list:
        verdicts = []
        for token, peek in list(self.pending_peeks.items()):
            if now >= peek.expires_at:
                del self.pending_peeks[token]
                refusal = Refusal(
                    code=409,
                    reason="repeat",
                    state=peek.state,
                    detail="no proxy that can be reached has this key's result",
                )
                verdicts.append(Lost(request=peek.request, refusal=refusal))
        self.cache.step(now=now)
        self.replicas.step(now=now, event=None)
        return verdicts


def _key_reused(*, request: ProxiedRequest) -> Lost:
    return Lost(
        request=request,
        refusal=Refusal(code=422, reason="key-reused", detail="this key was given with another request"),
    )
