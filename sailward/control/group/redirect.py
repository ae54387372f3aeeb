"""Replies of a controller without contact with a majority: redirects, and refusals that may be retried."""

from __future__ import annotations

from collections.abc import Mapping

from sailward import constants
from sailward.config.dialect import Dialect, Outcome
from sailward.discovery.peer_table import PeerTable, kind_of
from sailward.events import RequestReceived, Respond
from sailward.routing.proxied_request import answer_json


def other_controllers(*, peer_table: PeerTable, members: Mapping[str, str], own: str) -> list[list[str]]:
    """[[address, zone, region], ...] of the controllers known here, including those that are unreachable from here."""
    locations = {
        known.entry["post"]: [known.entry["post"], known.entry["hall"], known.entry["region"]]
        for known in peer_table.peers.values()
        if kind_of(entry=known.entry) == "controller"
    }
    for post in members.values():
        locations.setdefault(post, [post, "", ""])
    locations.pop(own, None)
    return [locations[post] for post in sorted(locations)[: constants.MAX_REDIRECT_CONTROLLERS]]


def redirect_or_reject(*, now: float, event: RequestReceived, dialect: Dialect, peer_table: PeerTable) -> Respond:
    """307 to a controller that recently announced contact, or 503 with Retry-After; nothing was read or changed."""
    candidates = [
        known.entry
        for known in peer_table.peers.values()
        if kind_of(entry=known.entry) == "controller"
        and now - known.last_seen_at <= constants.QUORUM_CONTACT_REPORT_TTL
        and known.entry["fit"]
        and known.has_contact
    ]
    if candidates:
        location = peer_table.location
        nearest = min(
            candidates,
            key=lambda entry: (entry["region"] != location.region, entry["hall"] != location.zone, entry["id"]),
        )
        headers = {"Location": f"http://{nearest['http']}{event.target or event.path}"}
        body = {"outcome": "elsewhere", "detail": "this controller has no contact with a majority of the voters"}
        return answer_json(token=event.token, code=307, body=body, headers=headers)
    outcome = Outcome(
        kind="unavailable",
        code=503,
        reason="no-contact",
        detail="this controller has no contact with a majority of the voters; nothing was read or changed",
    )
    return dialect.answer(token=event.token, order=None, outcome=outcome)
