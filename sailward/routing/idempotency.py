"""The claim on an unsafe exchange: won at a majority before a byte is sent on."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.acceptor import CLAIM_PREFIX
from sailward.consensus.proposer import Accepted, OperationFinished, Refused, StartOperation
from sailward.events import SendMessage
from sailward.routing.idempotency_cache import ClaimMemory, Memory
from sailward.routing.proxied_request import ProxiedRequest, Refusal
from sailward.routing.result_replicas import Peer, ResultReplicas, may_keep, spread_copy
from sailward.wire_types import Message, RegisterValue


@dataclass(frozen=True, kw_only=True)
class Won:
    """The claim is this exchange's: it may be sent on, once."""

    exchange: ProxiedRequest


@dataclass(frozen=True, kw_only=True)
class Lost:
    """It may not be sent on."""

    exchange: ProxiedRequest
    refusal: Refusal


@dataclass(frozen=True, kw_only=True)
class Replayed:
    """It ran already: this is its kept result."""

    exchange: ProxiedRequest
    code: int
    headers: dict
    body: bytes


@dataclass(kw_only=True)
class Peeking:
    """Waiting for the owner of an earlier claim to tell what became of it."""

    exchange: ProxiedRequest
    number: int
    expiry: float
    owner: str
    pending_peers: set
    state: str = "unknown"


@dataclass(kw_only=True)
class Claims:
    """Owner of the claims under way. `step` gives (commands, proposer's begins, verdicts)."""

    identity: str
    post: str
    region: str
    zone: str
    replicas: ResultReplicas
    peers: list[Peer] = field(default_factory=list)
    memory: ClaimMemory = field(default_factory=ClaimMemory)
    claiming: dict = field(default_factory=dict)
    peeking: dict = field(default_factory=dict)
    count: int = 0

    def step(
        self, *, now: float, event: ProxiedRequest | OperationFinished | tuple[str, Message] | None
    ) -> tuple[list, list[StartOperation], list]:
        """Take a request to claim, the end of an operation, a (sender, peek or peeked), or None."""
        if isinstance(event, ProxiedRequest):
            return self._begin(now=now, exchange=event)
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
            reply = self.memory.peeked(token=body["token"], digest=body["key"], region=body["region"], copy=copy)
            return [SendMessage(to=sender, body=reply)], [], []
        return self._take_peeked(now=now, sender=sender, body=body)

    def finish(self, *, exchange: ProxiedRequest, code: int, headers: dict, body: bytes) -> list:
        """Keep the result for repeats, here if this place may, and with one proxy more."""
        memory = self.memory.by_digest.get(exchange.digest)
        self.memory.finish(
            digest=exchange.digest,
            code=code,
            headers=headers,
            body=body,
            store=may_keep(region=self.region, homes=exchange.tenant.homes),
        )
        return (
            spread_copy(
                exchange=exchange,
                number=memory.number,
                code=code,
                headers=headers,
                body=body,
                zone=self.zone,
                peers=self.peers,
            )
            if memory
            else []
        )

    def remembers(self, *, exchange: ProxiedRequest) -> bool:
        """Is the key known here as sent on before, so that no worker is needed?"""
        memory = self.memory.by_digest.get(exchange.digest) if exchange.unsafe else None
        return memory is not None and memory.state != "unsent" and not exchange.claim

    def _begin(self, *, now: float, exchange: ProxiedRequest) -> tuple[list, list[StartOperation], list]:
        memory = self.memory.by_digest.get(exchange.digest)
        if memory is None:
            return [], [self._claim(now=now, exchange=exchange, expected=0)], []
        if memory.fingerprint != exchange.fingerprint:
            return [], [], [_lost_to_other(exchange=exchange)]
        return self._judge_state(
            now=now,
            exchange=exchange,
            state=memory.state,
            number=memory.number,
            code=memory.code,
            headers=memory.headers,
            body=memory.body,
        )

    def _claim(self, *, now: float, exchange: ProxiedRequest, expected: int) -> StartOperation:
        self.count += 1
        self.memory.begin(
            now=now,
            digest=exchange.digest,
            fingerprint=exchange.fingerprint,
            homes=exchange.tenant.homes,
            count=self.count,
        )
        op = f"{self.identity}/claim{self.count}"
        self.claiming[op] = exchange
        text = json.dumps({"o": self.post, "i": self.identity, "f": exchange.fingerprint, "n": self.count})
        timeout = min(constants.CLAIM_TIMEOUT, max(0.05, exchange.expiry - now))
        return StartOperation(
            op=op,
            register=CLAIM_PREFIX + exchange.digest,
            expected=expected,
            text=text,
            use_first_ballot=expected == 0,
            timeout=timeout,
        )

    def _on_operation_finished(
        self, *, now: float, event: OperationFinished
    ) -> tuple[list, list[StartOperation], list]:
        exchange = self.claiming.pop(event.op, None)
        if exchange is None:
            return [], [], []
        memory, outcome = self.memory.by_digest.get(exchange.digest), event.outcome
        if isinstance(outcome, Accepted):
            if memory is None or outcome.value["number"] != outcome.number:
                return [], [], [Lost(exchange=exchange, refusal=Refusal(code=503, reason="claim-passed-on"))]
            memory.state, memory.number = "running", outcome.value["number"]
            return [], [], [Won(exchange=exchange)]
        if memory is not None:
            memory.state = "unsent"
        if isinstance(outcome, Refused) and outcome.reason == "number" and outcome.value["number"]:
            return self._take_other(now=now, exchange=exchange, value=outcome.value, memory=memory)
        refusal = Refusal(code=503, reason="claim-uncertain", detail="no majority of the core answered in time")
        return [], [], [Lost(exchange=exchange, refusal=refusal)]

    def _take_other(
        self, *, now: float, exchange: ProxiedRequest, value: RegisterValue, memory: Memory | None
    ) -> tuple[list, list[StartOperation], list]:
        claim = json.loads(value["text"])
        if claim["i"] == self.identity:
            # ours: unsent if it is no older than what is remembered, else it may have run
            known = memory is not None and claim["n"] >= memory.first and claim["f"] == exchange.fingerprint
            return self._judge_state(
                now=now, exchange=exchange, state="unsent" if known else "unknown", number=value["number"]
            )
        self.memory.by_digest.pop(exchange.digest, None)
        if claim["f"] != exchange.fingerprint:
            return [], [], [_lost_to_other(exchange=exchange)]
        copy = self.replicas.find(digest=exchange.digest, number=value["number"])
        if copy is not None:
            return [], [], [Replayed(exchange=exchange, code=copy.code, headers=copy.headers, body=copy.body)]
        self.count += 1
        token = f"{self.identity}/peek{self.count}"
        pending_peers = {
            address for address in (claim["o"], *(peer.post for peer in self.peers)) if address not in ("", self.post)
        }
        self.peeking[token] = Peeking(
            exchange=exchange,
            number=value["number"],
            owner=claim["o"],
            pending_peers=pending_peers,
            expiry=now + constants.ROUND_TIMEOUT * 2,
        )
        body = {
            "kind": "peek",
            "token": token,
            "key": exchange.digest,
            "number": value["number"],
            "region": self.region,
        }
        return [SendMessage(to=address, body=body) for address in sorted(pending_peers)], [], []

    def _take_peeked(self, *, now: float, sender: str, body: dict) -> tuple[list, list[StartOperation], list]:
        peeking = self.peeking.get(body["token"])
        if peeking is None:
            return [], [], []
        peeking.pending_peers.discard(sender)
        if sender == peeking.owner:
            peeking.state = body["state"]
        # the claim's own proxy knows; one that only lost its memory, or may not keep the result, leaves it to the
        # others
        if (
            not body["code"]
            and peeking.pending_peers
            and (sender != peeking.owner or body["state"] in ("unknown", "done"))
        ):
            return [], [], []
        del self.peeking[body["token"]]
        headers = body["headers"] if body["code"] else None
        body = body if headers is not None else {**body, "state": peeking.state}
        return self._judge_state(
            now=now,
            exchange=peeking.exchange,
            state=body["state"],
            number=peeking.number,
            code=body["code"],
            headers=headers,
            body=bytes(body["body"]),
        )

    def _judge_state(
        self,
        *,
        now: float,
        exchange: ProxiedRequest,
        state: str,
        number: int,
        code: int = 0,
        headers: dict | None = None,
        body: bytes = b"",
    ) -> tuple[list, list[StartOperation], list]:
        if state == "unsent":
            return [], [self._claim(now=now, exchange=exchange, expected=number)], []
        if state == "done" and headers is not None:
            return [], [], [Replayed(exchange=exchange, code=code, headers=headers, body=body)]
        shown = "running" if state == "claiming" else state
        refusal = Refusal(code=409, reason="repeat", state=shown, detail="this key was sent on before")
        return [], [], [Lost(exchange=exchange, refusal=refusal)]

    def _on_timer(self, *, now: float) -> list:
        verdicts = []
        for token, peeking in list(self.peeking.items()):
            if now >= peeking.expiry:
                del self.peeking[token]
                refusal = Refusal(
                    code=409,
                    reason="repeat",
                    state=peeking.state,
                    detail="no proxy that can be reached has this key's result",
                )
                verdicts.append(Lost(exchange=peeking.exchange, refusal=refusal))
        self.memory.step(now=now)
        self.replicas.step(now=now, event=None)
        return verdicts


def _lost_to_other(*, exchange: ProxiedRequest) -> Lost:
    return Lost(
        exchange=exchange,
        refusal=Refusal(code=422, reason="key-reused", detail="this key was given with another request"),
    )
