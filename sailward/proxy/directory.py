"""The directory: the addresses of proxies that are fit to serve, nearest first, as received from controllers."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.peer_table import Location
from sailward.events import RequestReceived, Respond
from sailward.routing.proxied_request import answer_json


@dataclass(kw_only=True)
class Directory:
    """Keeps the list of proxies. `step` answers a request for their addresses."""

    location: Location
    proxies: list = field(default_factory=list)
    number: int = -1

    def update_proxies(self, *, proxies: list) -> None:
        """Replace the list of proxies: [[name, address, zone, region, is_fit], ...]."""
        self.proxies = proxies

    def step(self, *, event: RequestReceived, is_ready: bool) -> Respond:
        """Answer with the fit proxies of the client's region, or with all fit proxies if that region has none."""
        if event.method != "GET" or event.path != "/proxies":
            return answer_json(token=event.token, code=404, body={"error": "unknown", "detail": "GET /proxies"})
        zone, region = event.query.get("hall", self.location.zone), event.query.get("region", self.location.region)
        fit = [row for row in self.proxies if row[4] and row[0] != self.location.name]
        if is_ready:
            fit.append([self.location.name, self.location.http, self.location.zone, self.location.region, True])
        nearby = [row for row in fit if row[3] == region] or fit
        nearby.sort(key=lambda row: (row[2] != zone, row[0]))
        proxies = [{"id": row[0], "address": row[1], "hall": row[2], "region": row[3]} for row in nearby]
        if not proxies:
            return answer_json(
                token=event.token,
                code=503,
                body={"error": "no-proxy", "proxies": []},
                headers={"Retry-After": str(constants.RETRY_AFTER)},
            )
        return answer_json(token=event.token, code=200, body={"proxies": proxies})
