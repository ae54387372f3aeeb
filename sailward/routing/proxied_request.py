"""One tenant request: how it is read, refused without a false promise that it did not run, and forwarded."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from urllib.parse import quote, urlencode

from sailward import constants
from sailward.discovery.endpoint_table import Worker
from sailward.events import RequestReceived, Respond
from sailward.routing.idempotency_key_time import judge_key
from sailward.routing.plan import Match, Plan, Service, Tenant

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
KNOWN_METHODS = SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request is not served. `state` tells a retry what became of the first try."""

    code: int
    reason: str
    detail: str = ""
    state: str = ""


@dataclass(kw_only=True)
class ProxiedRequest:
    """One request in flight."""

    token: str
    exchange_id: str
    tenant: Tenant
    method: str
    path: str
    headers: dict
    body: bytes
    match: Match
    service: Service
    key: str
    try_number: int
    arrived_at: float
    expires_at: float
    raw_path: str = ""
    plan_number: int = 0
    pool: str = ""
    state: str = "arrived"
    worker: str = ""
    attempts: int = 0
    tried_workers: set = field(default_factory=set)
    is_sent: bool = False
    may_have_run: bool = False
    sent_at: float = 0.0
    has_claim: bool = False
    selected_worker: Worker | None = None
    is_answered: bool = False
    charged_to: str = ""
    shard_key: str = ""
    slot: int = -1
    space: str = ""
    term: int = 0

    @property
    def is_unsafe(self) -> bool:
        """May running it twice do harm?"""
        return self.method not in SAFE_METHODS

    @property
    def queue_name(self) -> str:
        """Name of the queue in which it waits for capacity."""
        return f"{self.tenant.name}|{self.service.name}"

    @property
    def digest(self) -> str:
        """Key under which the claim is stored: a hash, so that it reveals no tenant data."""
        return digest_key(tenant=self.tenant.name, key=self.key)

    @property
    def fingerprint(self) -> str:
        """Hash of the method, path and body."""
        content = f"{self.method} {self.path}\0".encode() + self.body
        return hashlib.blake2b(content, digest_size=12).hexdigest()


def digest_key(*, tenant: str, key: str) -> str:
    """Hash of a tenant's idempotency key."""
    return hashlib.blake2b(f"{tenant}\0{key}".encode(), digest_size=16).hexdigest()


def build_proxied_request(
    *, event: RequestReceived, plan: Plan, now: float, exchange_id: str, wall_time: float | None = None
) -> ProxiedRequest | Refusal:
    """Build the request that a client sent, or the refusal if it can't be accepted."""
    if event.body is None:
        return Refusal(code=413, reason="too-large", detail=f"at most {constants.MAX_BODY_BYTES} bytes")
    head = _read_head(event=event, plan=plan)
    if isinstance(head, Refusal):
        return head
    match, key = head.match, head.key
    service = plan.services[plan.pools[match.shares[0][0]].service]
    key_fault = (
        judge_key(key=key, wall_time=wall_time, is_required=service.requires_timed_keys)
        if event.method not in SAFE_METHODS
        else None
    )
    if key_fault is not None:
        return Refusal(code=key_fault[0], reason=key_fault[1], detail=key_fault[2])
    shard_key = _read_shard_key(headers=event.headers, path=event.path, match=match, service=service)
    if service.slots and not shard_key:
        return Refusal(code=400, reason="part-missing", detail="this service is divided: give the key in the path")
    query = "?" + urlencode(event.query, doseq=True) if event.query else ""
    return ProxiedRequest(
        token=event.token,
        exchange_id=exchange_id,
        tenant=head.tenant,
        method=event.method,
        path=quote(event.path, safe="/%:@!$&'()*+,;=~-._") + query,
        headers=event.headers,
        body=event.body,
        match=match,
        service=service,
        key=key,
        try_number=head.try_number,
        shard_key=shard_key,
        raw_path=event.path,
        plan_number=plan.number,
        arrived_at=now,
        expires_at=now + constants.QUEUE_TIMEOUT + service.expiry,
    )


@dataclass(frozen=True, kw_only=True)
class _RequestHead:
    """What the head of a request says: tenant, number of the client's try, idempotency key and route."""

    tenant: Tenant
    try_number: int
    key: str
    match: Match


def _read_head(*, event: RequestReceived, plan: Plan) -> _RequestHead | Refusal:
    """Read the tenant, number of the try, idempotency key and route; a refusal if one is missing or invalid."""
    if event.method not in KNOWN_METHODS:
        return Refusal(code=405, reason="method-unknown", detail=event.method[:40])
    tenant = plan.tenants.get(event.headers.get("sailward-tenant", ""))
    if tenant is None:
        return Refusal(code=400, reason="tenant-unknown", detail="give Sailward-Tenant, a tenant's name")
    try_number = _read_try_number(text=event.headers.get("sailward-try", ""))
    if try_number is None:
        return Refusal(code=400, reason="try-ill-formed", detail="Sailward-Try is a number from 1")
    key = event.headers.get("idempotency-key", "")
    if len(key) > 255:
        return Refusal(code=400, reason="key-too-long", detail="Idempotency-Key has 255 characters at most")
    match = plan.match(path=event.path, method=event.method, tenant=tenant.name)
    if match is None:
        return Refusal(code=404, reason="unmatched", detail=event.path[:200])
    if event.method not in SAFE_METHODS and not key:
        return Refusal(code=428, reason="key-missing", detail="an unsafe exchange needs an Idempotency-Key")
    return _RequestHead(tenant=tenant, try_number=try_number, key=key, match=match)


def shard_key_of(*, path: str, match: Match) -> str:
    """The key of a sharded service in a path: the first segment after the matched prefix."""
    return path[len(match.path.rstrip("/")) :].strip("/").split("/")[0]


def _read_shard_key(*, headers: dict[str, str], path: str, match: Match, service: Service) -> str:
    """The key that the client names, or else the one in the path; empty if the service is not sharded by slot."""
    if not service.slots:
        return ""
    return headers.get("sailward-key", "") or shard_key_of(path=path, match=match)


def rematch_request(*, request: ProxiedRequest, plan: Plan) -> Refusal | None:
    """Match again under the configuration in force, which may have changed since the request was received.

    Only while no attempt is in flight: its shard is looked up anew.
    """
    if request.plan_number == plan.number:
        return None
    tenant = plan.tenants.get(request.tenant.name)
    match = plan.match(path=request.raw_path, method=request.method, tenant=request.tenant.name)
    if tenant is None or match is None:
        return Refusal(code=404, reason="unmatched", detail="the configuration changed meanwhile")
    service = plan.services[plan.pools[match.shares[0][0]].service]
    shard_key = _read_shard_key(headers=request.headers, path=request.raw_path, match=match, service=service)
    if service.slots and not shard_key:
        return Refusal(code=400, reason="part-missing", detail="the service is divided now")
    request.tenant, request.match, request.service, request.plan_number = tenant, match, service, plan.number
    request.shard_key, request.slot, request.space, request.term = shard_key, -1, "", 0
    if request.pool not in {name for name, weight in match.shares if weight}:
        request.pool = ""
    return None


def may_promise_not_run(*, event: RequestReceived) -> bool:
    """May the client be told `not-run` for a request that this proxy did not forward?

    Always for a safe request, or one without an idempotency key. For another one only if the client states that it is
    the first try: an earlier try may be running, or have run, through another proxy.
    """
    return (
        event.method in SAFE_METHODS
        or event.headers.get("sailward-try", "") == "1"
        or not event.headers.get("idempotency-key", "")
    )


def answer_refusal(*, token: str, refusal: Refusal, is_not_run: bool) -> Respond:
    """The final response to a request that is given up: whether it ran, and when to retry."""
    body = {"error": refusal.reason, "detail": refusal.detail, "ran": "not-run" if is_not_run else "unknown"}
    if refusal.state:
        body["state"] = refusal.state
    headers = {"Sailward-Ran": body["ran"]}
    if refusal.code in (409, 429, 502, 503, 504):
        headers["Retry-After"] = str(constants.RETRY_AFTER)
    return answer_json(token=token, code=refusal.code, body=body, headers=headers)


def answer_json(*, token: str, code: int, body: object, headers: dict | None = None) -> Respond:
    """A JSON response."""
    return Respond(
        token=token,
        code=code,
        body=json.dumps(body).encode() + b"\n",
        headers={"Content-Type": "application/json", **(headers or {})},
    )


def headers_to_worker(*, request: ProxiedRequest, worker: str, timeout: float) -> dict:
    """The headers sent to the worker, which has `timeout` seconds to start and finish."""
    headers = {
        name: value
        for name, value in request.headers.items()
        if name not in HOP_BY_HOP and not name.startswith("sailward-")
    }
    headers |= {
        "sailward-exchange": request.exchange_id,
        "sailward-worker": worker,
        "sailward-tenant": request.tenant.name,
        "sailward-service": request.service.name,
        "sailward-within": str(int(timeout * 1000)),
    }
    if request.slot >= 0:
        headers |= {
            "sailward-key": request.shard_key,
            "sailward-slot": f"{request.space}/{request.slot}",
            "sailward-term": str(request.term),
        }
    return headers


def _read_try_number(*, text: str) -> int | None:
    if text == "":
        return 0
    return int(text) if text.isascii() and text.isdigit() and int(text[:9]) > 0 and len(text) < 9 else None
