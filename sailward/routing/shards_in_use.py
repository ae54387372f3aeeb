"""The shards in which a request forwarded by this proxy may still be running."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sailward.routing.proxied_request import ProxiedRequest


@dataclass(kw_only=True)
class ShardsInUse:
    """Keeps, by shard, the time until which requests without a response may still be running."""

    busy_until: dict[str, float] = field(default_factory=dict)

    def record_abandoned(self, *, request: ProxiedRequest) -> None:
        """Keep the shard of an abandoned request in use: its worker may go on until the service's expiry."""
        if request.slot >= 0:
            self.busy_until[_label(request=request)] = request.sent_at + request.service.expiry

    def labels(self, *, now: float, in_flight: Iterable[ProxiedRequest]) -> list[str]:
        """The labels (service|space/slot) of the shards in which requests are in flight or may still be running."""
        self.busy_until = {label: end for label, end in self.busy_until.items() if now < end}
        return sorted({*(_label(request=request) for request in in_flight if request.slot >= 0), *self.busy_until})


def _label(*, request: ProxiedRequest) -> str:
    return f"{request.service.name}|{request.space}/{request.slot}"
