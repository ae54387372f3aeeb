"""A directory process: serves the addresses of proxies that are fit to serve, nearest first."""

from __future__ import annotations

import random

from sailward import constants
from sailward.discovery.peer_table import Location, PeerTable, kind_of
from sailward.discovery.rendezvous import score_pair
from sailward.events import (
    CallFinished,
    ClientDisconnected,
    Command,
    ConfigValidated,
    DiskWriteFailed,
    Event,
    ExitProcess,
    LogEvent,
    MessageReceived,
    RecordsSynced,
    RequestReceived,
    Respond,
    ShutdownRequested,
    TimerFired,
    UnexpectedEvents,
)
from sailward.routing.proxied_request import answer_json


class DirectoryServer:
    """The state machine of a directory. It decides no failover: it lists the proxies that report themselves as fit."""

    def __init__(self, *, location: Location, start: int, rng: random.Random) -> None:
        self.location = location
        self.peer_table = PeerTable(location=location, start=start, is_fit=True)
        self.unexpected = UnexpectedEvents()
        self._rng = rng

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Handle one event; returns the commands to execute."""
        match event:
            case MessageReceived():
                if event.body["kind"] == "gossip":
                    return self.peer_table.step(now=now, event=(event.sender, event.body))
                return [LogEvent(event="message-unexpected", fields={"kind": event.body["kind"], "from": event.sender})]
            case RequestReceived():
                return [self._on_request(event=event)]
            case ShutdownRequested():
                return [ExitProcess(code=0)]
            case TimerFired():
                return self.peer_table.step(now=now, event=None)
            case ClientDisconnected():
                # requests are answered at once: nothing is in flight for a client that has disconnected
                return []
            case CallFinished() | RecordsSynced() | DiskWriteFailed() | ConfigValidated():
                # a directory makes no calls, has no disk, and validates no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    def _on_request(self, *, event: RequestReceived) -> Respond:
        if event.method != "GET" or event.path not in ("/proxies", "/status"):
            return answer_json(token=event.token, code=404, body={"error": "unknown", "detail": "GET /proxies"})
        if event.path == "/status":
            daemons = [
                {**known.entry, "kind": kind_of(entry=known.entry), "lost": known.is_lost}
                for known in self.peer_table.peers.values()
            ]
            return answer_json(token=event.token, code=200, body={"id": self.location.name, "daemons": daemons})
        zone = event.query.get("hall", self.location.zone)
        region = event.query.get("region", self.location.region)
        fit = [entry for entry in self.peer_table.alive(kind="proxy") if entry["fit"]]
        # nearest first; the order of equally near proxies is fixed for a client and differs between clients
        client = event.query.get("caller", event.token)
        fit.sort(
            key=lambda entry: (
                entry["hall"] != zone,
                entry["region"] != region,
                score_pair(key=client, name=entry["id"]),
            )
        )
        proxies = [
            {"id": entry["id"], "address": entry["http"], "hall": entry["hall"], "region": entry["region"]}
            for entry in fit
        ]
        if not proxies:
            return answer_json(
                token=event.token,
                code=503,
                body={"error": "no-proxy", "proxies": []},
                headers={"Retry-After": str(constants.RETRY_AFTER)},
            )
        return answer_json(token=event.token, code=200, body={"proxies": proxies})
