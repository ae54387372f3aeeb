"""A proxy's cache of its claims on unsafe requests and of their results."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sailward import constants
from sailward.routing.result_replicas import Copy, may_keep


@dataclass(kw_only=True)
class Memory:
    """One claim of this proxy; its `state` is claiming, unsent, running, done or unknown."""

    state: str
    fingerprint: str
    at: float
    homes: frozenset
    first: int
    number: int = 0
    code: int = 0
    headers: dict | None = None
    body: bytes = b""


class ClaimMemory:
    """Owns the cached claims by the digest of their key, bounded by age and bytes. `step` evicts old ones."""

    def __init__(self) -> None:
        self.by_digest: OrderedDict[str, Memory] = OrderedDict()
        self._bytes = 0

    def step(self, *, now: float) -> None:
        """Evict claims older than CLAIM_TTL, and the oldest results while they exceed RESULT_CACHE_BYTES."""
        while self.by_digest:
            digest, memory = next(iter(self.by_digest.items()))
            if now - memory.at < constants.CLAIM_TTL:
                break
            del self.by_digest[digest]
            self._bytes -= len(memory.body)
        for memory in self.by_digest.values():
            if self._bytes <= constants.RESULT_CACHE_BYTES:
                return
            self._bytes -= len(memory.body)
            memory.body, memory.headers = b"", None

    def begin(self, *, now: float, digest: str, fingerprint: str, homes: frozenset, count: int) -> Memory:
        """Record a claim in progress, with its count; `first` is the count of the key's first cached claim."""
        previous = self.by_digest.pop(digest, None)
        memory = Memory(
            state="claiming", fingerprint=fingerprint, at=now, homes=homes, first=previous.first if previous else count
        )
        if previous is not None:
            self._bytes -= len(previous.body)
        self.by_digest[digest] = memory
        return memory

    def finish(self, *, digest: str, code: int, headers: dict, body: bytes, store: bool) -> None:
        """Record the result; headers and body only if this region may `store` them."""
        memory = self.by_digest.get(digest)
        if memory is None:
            return
        memory.state, memory.code = "done", code
        if store:
            memory.headers, memory.body = headers, body
            self._bytes += len(body)

    def peeked(self, *, token: str, digest: str, region: str, copy: Copy | None) -> dict:
        """The reply to a peek of a proxy in this `region`, from an own claim or else from `copy`."""
        memory = self.by_digest.get(digest)
        state = memory.state if memory else "unknown"
        body = {
            "kind": "peeked",
            "token": token,
            "state": "running" if state == "claiming" else state,
            "code": 0,
            "headers": {},
            "body": b"",
        }
        result = memory if memory and memory.headers is not None else copy
        if result is not None and may_keep(region=region, homes=result.homes):
            body |= {"state": "done", "code": result.code, "headers": result.headers, "body": result.body}
        return body
