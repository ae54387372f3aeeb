"""A proxy's cache of its claims on unsafe requests and of their results."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sailward import constants
from sailward.routing.result_replicas import ResultCopy, may_store


@dataclass(kw_only=True)
class CachedClaim:
    """One claim of this proxy; its `state` is claiming, unsent, running, done or unknown."""

    state: str
    fingerprint: str
    claimed_at: float
    homes: frozenset
    first_count: int
    number: int = 0
    code: int = 0
    headers: dict | None = None
    body: bytes = b""


class ClaimCache:
    """Owns the cached claims by the digest of their key, bounded by age and bytes. `step` evicts old ones."""

    def __init__(self) -> None:
        self.by_digest: OrderedDict[str, CachedClaim] = OrderedDict()
        self._bytes = 0

    def step(self, *, now: float) -> None:
        """Evict claims older than CLAIM_TTL, and the oldest results while they exceed RESULT_CACHE_BYTES."""
        while self.by_digest:
            digest, cached = next(iter(self.by_digest.items()))
            if now - cached.claimed_at < constants.CLAIM_TTL:
                break
            del self.by_digest[digest]
            self._bytes -= len(cached.body)
        for cached in self.by_digest.values():
            if self._bytes <= constants.RESULT_CACHE_BYTES:
                return
            self._bytes -= len(cached.body)
            cached.body, cached.headers = b"", None

    def begin(self, *, now: float, digest: str, fingerprint: str, homes: frozenset, count: int) -> CachedClaim:
        """Record a claim in progress, with its count; `first_count` is the count of the key's first cached claim."""
        previous = self.by_digest.pop(digest, None)
        cached = CachedClaim(
            state="claiming",
            fingerprint=fingerprint,
            claimed_at=now,
            homes=homes,
            first_count=previous.first_count if previous else count,
        )
        if previous is not None:
            self._bytes -= len(previous.body)
        self.by_digest[digest] = cached
        return cached

    def finish(self, *, digest: str, code: int, headers: dict, body: bytes, store: bool) -> None:
        """Record the result; headers and body only if this region may `store` them."""
        cached = self.by_digest.get(digest)
        if cached is None:
            return
        cached.state, cached.code = "done", code
        if store:
            cached.headers, cached.body = headers, body
            self._bytes += len(body)

    def peek_reply(self, *, token: str, digest: str, region: str, copy: ResultCopy | None) -> dict:
        """The reply to a peek of a proxy in this `region`, from an own claim or else from `copy`."""
        cached = self.by_digest.get(digest)
        state = cached.state if cached else "unknown"
        body = {
            "kind": "peeked",
            "token": token,
            "state": "running" if state == "claiming" else state,
            "code": 0,
            "headers": {},
            "body": b"",
        }
        result = cached if cached and cached.headers is not None else copy
        if result is not None and may_store(region=region, homes=result.homes):
            body |= {"state": "done", "code": result.code, "headers": result.headers, "body": result.body}
        return body
