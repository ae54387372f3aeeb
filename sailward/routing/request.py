"""One client request on its way through a proxy, with the route that it matched."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailward import constants
from sailward.events import RequestReceived, Respond
from sailward.routing.plan import Match, Plan, Pool, Service
from sailward.routing.proxied_request import Refusal, answer_json
from sailward.routing.weighted_draw import draw_pool
from sailward.wire_names import WireNames

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "accept-encoding",
    }
)


@dataclass(kw_only=True)
class Attempt:
    """One attempt to run a request at a worker."""

    worker: str
    started_at: float
    overtaken_count: int = 0


@dataclass(kw_only=True)
class Request:
    """One request in flight; all times in s of the owner's clock.

    `match`, `pool` and `service` are those of the configuration in force when it arrived. All its attempts follow them:
    a later configuration may lack them.
    """

    token: str
    exchange_id: str
    method: str
    target: str
    headers: dict
    body: bytes
    match: Match
    pool: Pool
    service: Service
    arrived_at: float
    expires_at: float
    key: int = -1
    attempts_sent: int = 0
    attempts_unsent: int = 0
    may_have_run: bool = False
    is_client_gone: bool = False
    waiting_since: float = -1.0
    hedge_at: float = float("inf")
    attempts: dict = field(default_factory=dict)
    tried_workers: set = field(default_factory=set)
    rejected_by: set = field(default_factory=set)

    @property
    def max_attempts(self) -> int:
        """Maximum number of workers to which it may be sent."""
        return self.match.max_attempts or constants.MAX_ATTEMPTS


def build_request(
    *, event: RequestReceived, plan: Plan, now: float, names: WireNames, rng: random.Random
) -> Request | Refusal:
    """Build the request that a client sent, with its pool drawn; or the refusal if it can't be accepted."""
    if not plan.number:
        return Refusal(code=503, reason="no-configuration")
    host = event.headers.get("host", "").rsplit(":", 1)[0].lower()
    match = plan.match(path=event.path, method=event.method, tenant="", host=host)
    if match is None:
        return Refusal(code=404, reason="unmatched")
    # drawn by weight before health is considered; retries stay with the drawn pool
    pool = plan.pools[draw_pool(match=match, rng=rng) if len(match.shares) > 1 else match.shares[0][0]]
    timeout_text = event.headers.get(names.time_budget, "")
    timeout = (
        int(timeout_text) / 1000
        if timeout_text.isascii() and timeout_text.isdigit() and len(timeout_text) < 10
        else constants.DEFAULT_REQUEST_TIMEOUT
    )
    key_text = event.headers.get(names.shard_key, "")
    key = (
        int(key_text)
        if key_text.isascii() and key_text.isdigit() and len(key_text) < 6 and int(key_text) <= constants.MAX_SHARD_KEY
        else -1
    )
    return Request(
        token=event.token,
        exchange_id=event.headers.get(names.exchange_id, ""),
        method=event.method,
        target=event.target,
        headers=event.headers,
        body=event.body or b"",
        match=match,
        pool=pool,
        service=plan.services[pool.service],
        arrived_at=now,
        key=key,
        expires_at=now + max(0.0, min(timeout, match.expiry or constants.DEFAULT_REQUEST_TIMEOUT)),
    )


def headers_to_worker(*, request: Request, worker: str, time_left: float, names: WireNames) -> dict:
    """The client's headers without the hop-by-hop ones, plus the time left and the intended worker."""
    headers = {name: value for name, value in request.headers.items() if name not in HOP_BY_HOP}
    return {**headers, names.time_budget: str(max(1, int(time_left * 1000))), names.expected_worker: worker}


def headers_to_caller(*, headers: dict) -> dict:
    """The worker's headers without the hop-by-hop ones."""
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP}


def refusal_response(*, token: str, refusal: Refusal) -> Respond:
    """The final answer to a request that is given up; one that did not run says when to come back."""
    retry_after = constants.RETRY_AFTER_BY_REASON.get(refusal.reason, constants.RETRY_AFTER_BY_REASON[""])
    headers = {"Retry-After": str(retry_after)} if refusal.code in (429, 503) else {}
    return answer_json(
        token=token, code=refusal.code, body={"error": refusal.reason, "detail": refusal.detail}, headers=headers
    )
