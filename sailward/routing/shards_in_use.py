"""The shards in which something that was sent on from this proxy may still run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sailward.routing.proxied_request import ProxiedRequest


@dataclass(kw_only=True)
class ShardsInUse:
    """Owner of the moments until which unheard runs may last, by shard."""

    until: dict[str, float] = field(default_factory=dict)

    def linger(self, *, exchange: ProxiedRequest) -> None:
        """Its worker may run on, though nobody hears of it."""
        if exchange.slot >= 0:
            self.until[_label(exchange=exchange)] = exchange.sent_at + exchange.service.expiry

    def labels(self, *, now: float, sent: Iterable[ProxiedRequest]) -> list[str]:
        """The shards of what is sent and of what may still run unheard."""
        self.until = {label: end for label, end in self.until.items() if now < end}
        return sorted({*(_label(exchange=exchange) for exchange in sent if exchange.slot >= 0), *self.until})


def _label(*, exchange: ProxiedRequest) -> str:
    return f"{exchange.service.name}|{exchange.space}/{exchange.slot}"
