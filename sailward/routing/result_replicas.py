"""Replicas of other proxies' results: a client that retries gets its result even if the first proxy is gone."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.rendezvous import choose_names
from sailward.events import Command, SendMessage
from sailward.routing.proxied_request import ProxiedRequest


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another proxy that can store replicas of results."""

    name: str
    post: str
    region: str
    zone: str


@dataclass(frozen=True, kw_only=True)
class ResultCopy:
    """One result of another proxy, with the number of its claim."""

    stored_at: float
    number: int
    fingerprint: str
    homes: frozenset
    code: int
    headers: dict
    body: bytes


@dataclass(kw_only=True)
class ResultReplicas:
    """Owns the replicas, bounded by age and bytes. `step` takes a replica's message, or None for a timer tick."""

    region: str
    replicas: OrderedDict = field(default_factory=OrderedDict)
    stored_bytes: int = 0

    def step(self, *, now: float, event: dict | None) -> None:
        """Store a replica if this region may, and evict old ones."""
        if event is not None and may_store(region=self.region, homes=frozenset(event["homes"])):
            self._drop(digest=event["key"])
            self.replicas[event["key"]] = ResultCopy(
                stored_at=now,
                number=event["number"],
                fingerprint=event["print"],
                code=event["code"],
                homes=frozenset(event["homes"]),
                headers=event["headers"],
                body=bytes(event["body"]),
            )
            self.stored_bytes += len(event["body"])
        while self.replicas:
            digest, oldest = next(iter(self.replicas.items()))
            if (
                now - oldest.stored_at < constants.CLAIM_TTL
                and self.stored_bytes <= constants.RESULT_REPLICA_CACHE_BYTES
            ):
                break
            self._drop(digest=digest)

    def find(self, *, digest: str, number: int) -> ResultCopy | None:
        """The result of exactly this claim, if it is stored here."""
        copy = self.replicas.get(digest)
        return copy if copy is not None and copy.number == number else None

    def _drop(self, *, digest: str) -> None:
        replica = self.replicas.pop(digest, None)
        self.stored_bytes -= len(replica.body) if replica else 0


def may_store(*, region: str, homes: frozenset) -> bool:
    """May results of a tenant with these home regions be stored in this region?"""
    return not homes or region in homes


def replicate_result(
    *, request: ProxiedRequest, number: int, code: int, headers: dict, body: bytes, zone: str, peers: list[Peer]
) -> list[Command]:
    """Send the result to one proxy by rendezvous hashing, in a home region and if possible in another zone."""
    homes = request.tenant.homes
    eligible = [peer for peer in peers if may_store(region=peer.region, homes=homes)]
    eligible = [peer for peer in eligible if peer.zone != zone] or eligible
    if not eligible or len(body) > constants.MAX_REPLICATED_RESULT_BYTES:
        return []
    addresses = {peer.name: peer.post for peer in eligible}
    name = choose_names(key=request.digest, names=addresses, count=1)[0]
    return [
        SendMessage(
            to=addresses[name],
            body={
                "kind": "keep",
                "key": request.digest,
                "number": number,
                "print": request.fingerprint,
                "homes": sorted(homes),
                "code": code,
                "headers": headers,
                "body": body,
            },
        )
    ]
