"""The whole of a directory: the addresses of proxies fit to serve, nearest first."""

from __future__ import annotations

import random

from sailward import constants
from sailward.discovery.gossip import Place, Roster, kind_of
from sailward.discovery.rendezvous import score_pair
from sailward.events import Asked, Heard, Log, Stop, StopAsked
from sailward.routing.exchange import answer_json


class DirectoryServer:
    """Owner of a directory process. It decides no failover: it names who says of itself that it is fit."""

    def __init__(self, *, place: Place, start: int, rng: random.Random) -> None:
        self.place = place
        self.roster = Roster(place=place, start=start, fit=True)
        self._rng = rng

    def step(self, *, now: float, event: object) -> list:
        """Answer one event with commands."""
        if isinstance(event, Heard):
            if event.body["kind"] == "gossip":
                return self.roster.step(now=now, event=(event.sender, event.body))
            return [Log(event="message-unexpected", fields={"kind": event.body["kind"], "from": event.sender})]
        if isinstance(event, Asked):
            return [self._ask(event=event)]
        if isinstance(event, StopAsked):
            return [Stop(code=0)]
        return self.roster.step(now=now, event=None)

    def _ask(self, *, event: Asked):
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
