"""Scenario steps that act on callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.deployments import CallerKind
from simulation.sim.callers import Callers

if TYPE_CHECKING:
    from simulation.sim.world import World


class CallerVerbs:
    """Steps that change what callers send."""

    def __init__(self, *, world: World, callers: Callers) -> None:
        self._world, self.callers = world, callers
        self._made: dict[str, float] = {}

    def do_load(self, rate: str) -> None:
        """Callers send `rate` new requests per second from now on."""
        self.callers.set_rate(rate=float(rate))

    def do_flood(self, tenant: str, path: str, rate: str, shard_key: str = "") -> None:
        """One kind of caller sends `rate` more requests per second, all with the shard key if one is given."""
        kind = next(
            caller for caller in self._world.deployment.callers if (caller.tenant, caller.path) == (tenant, path)
        )
        self.callers.flood(kind=kind, shard_key=shard_key, rate=float(rate))

    def do_flood_key(self, tenant: str, path: str, shard_key: str, rate: str) -> None:
        """A flood of requests with one shard key."""
        self.do_flood(tenant, path, rate, shard_key)

    def do_lose_answers(self, share: str) -> None:
        """Lose this share of the answers on the way back to the callers."""
        self.callers.lost_answer_share = float(share)

    def do_order_timed(
        self, tenant: str, path: str, name: str, proxy: str, try_number: str = "0", ahead: str = "0"
    ) -> None:
        """An order whose idempotency key (UUIDv7) holds its first sending time, by a clock `ahead` seconds fast."""
        made = self._made.setdefault(name, self._world.wall() + float(ahead))
        bits = f"{int(made * 1000):012x}"
        key = f"{bits[:8]}-{bits[8:]}-7000-8000-{int.from_bytes(name.encode()[:6], 'big'):012x}"
        kind = CallerKind(tenant=tenant, path=path, unsafe=True, traffic_share=0.0, region="", shard_keys=0)
        self.callers.order(
            kind=kind,
            key=key,
            proxy=self._world.nodes[proxy].location.http,
            try_number=int(try_number),
            nonce=f"by-{name}",
            max_tries=1,
        )

    def do_storm(self, share: str) -> None:
        """This share of the callers whose try failed retries at once."""
        self.callers.immediate_retry_share = float(share)

    def do_order(self, tenant: str, path: str, key: str, proxy: str, try_number: str = "0") -> None:
        """One unsafe request with this idempotency key, sent once, to this proxy."""
        kinds = [caller for caller in self._world.deployment.callers if caller.path == path]
        kind = CallerKind(
            tenant=tenant,
            path=path,
            unsafe=True,
            traffic_share=0.0,
            region="",
            shard_keys=kinds[0].shard_keys if kinds else 0,
        )
        address = self._world.nodes[proxy].location.http
        self.callers.order(
            kind=kind, key=key, proxy=address, try_number=int(try_number), nonce=f"by-{key}", max_tries=1
        )
