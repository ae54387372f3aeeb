"""The whole of a directory: the addresses of proxies fit to serve, nearest first."""

from __future__ import annotations

import random

from sailward import constants
from sailward.discovery.peer_table import Place, Roster, kind_of
from sailward.discovery.rendezvous import score_pair
from sailward.events import (
    Answer,
    Asked,
    Called,
    CallerLeft,
    Checked,
    Command,
    DiskFailed,
    Event,
    Heard,
    Log,
    Stop,
    StopAsked,
    Synced,
    Ticked,
    UnexpectedEvents,
)
from sailward.routing.proxied_request import answer_json


class DirectoryServer:
    """Owner of a directory process. It decides no failover: it names who says of itself that it is fit."""

    def __init__(self, *, place: Place, start: int, rng: random.Random) -> None:
        self.place = place
        self.roster = Roster(place=place, start=start, fit=True)
        self.unexpected = UnexpectedEvents()
        self._rng = rng

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Answer one event with commands."""
        match event:
            case Heard():
                if event.body["kind"] == "gossip":
                    return self.roster.step(now=now, event=(event.sender, event.body))
                return [Log(event="message-unexpected", fields={"kind": event.body["kind"], "from": event.sender})]
            case Asked():
                return [self._ask(event=event)]
            case StopAsked():
                return [Stop(code=0)]
            case Ticked():
                return self.roster.step(now=now, event=None)
            case CallerLeft():
                # each request is answered as it comes: nothing is under way for one who left
                return []
            case Called() | Synced() | DiskFailed() | Checked():
                # a directory calls nobody, has no disk, and checks no configuration
                return self.unexpected.add(event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    def _ask(self, *, event: Asked) -> Answer:
        if event.method != "GET" or event.path not in ("/proxies", "/status"):
            return answer_json(token=event.token, code=404, body={"error": "unknown", "detail": "GET /proxies"})
        if event.path == "/status":
            daemons = [
                {**known.entry, "kind": kind_of(entry=known.entry), "lost": known.lost}
                for known in self.roster.known.values()
            ]
            return answer_json(token=event.token, code=200, body={"id": self.place.name, "daemons": daemons})
        hall = event.query.get("hall", self.place.hall)
        region = event.query.get("region", self.place.region)
        fit = [entry for entry in self.roster.alive(kind="proxy") if entry["fit"]]
        # nearest first; among the equally near, one caller keeps its order and callers differ
        who = event.query.get("caller", event.token)
        fit.sort(
            key=lambda entry: (entry["hall"] != hall, entry["region"] != region, score_pair(key=who, name=entry["id"]))
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
