"""The peer table: daemons gossip heartbeats to a few peers each, until every daemon knows all others."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.rendezvous import choose_names
from sailward.events import Command, LogEvent, SendMessage
from sailward.wire_types import Message, PeerEntry

ENTRY_FIELDS = {
    "id": str,
    "kind": str,
    "hall": str,
    "region": str,
    "post": str,
    "http": str,
    "start": int,
    "beat": int,
    "fit": bool,
    "version": str,
    "identity": str,
    "asks": str,
}

KINDS_ON_WIRE = {"controller": "cellar", "proxy": "sommelier", "directory": "concierge"}
"""A daemon's kind as written in entries: versions up to 0.2.0 know only these words. Both forms are read."""
KINDS = {wire_kind: kind for kind, wire_kind in KINDS_ON_WIRE.items()}


def kind_of(*, entry: PeerEntry) -> str:
    """The kind of the daemon that an entry describes, whichever version wrote it; "" if the entry gives none."""
    wire_kind = str(entry.get("kind", ""))
    return KINDS.get(wire_kind, wire_kind)


@dataclass(frozen=True, kw_only=True)
class Location:
    """A daemon's name, kind, zone, region and addresses."""

    name: str
    kind: str
    zone: str
    region: str
    post: str
    http: str
    seeds: tuple = ()
    version: str = ""


@dataclass(kw_only=True)
class PeerState:
    """What is known of one other daemon.

    `echoed_heartbeat` is the echo number of the last heartbeat received directly from it, 0 for none. `has_contact`:
    that heartbeat said that the daemon has contact with a majority of the voters.
    """

    entry: PeerEntry
    last_seen_at: float
    is_lost: bool = False
    echoed_heartbeat: int = 0
    has_contact: bool = False


@dataclass(kw_only=True)
class PeerTable:
    """Owner of the known daemons. `step` processes a gossip message, or None for a timer tick.

    `is_fit`: the daemon is able to serve in its role (a controller: it is a voter). `active_proxies`: a controller's
    comma-separated list of proxies that have recently asked it for a lease. `voted_numbers`: value numbers of its
    newest votes. `interval`: s between heartbeats. `timeout`: s without a heartbeat after which a peer counts as lost.
    """

    location: Location
    start: int
    is_fit: bool = False
    identity: str = ""
    active_proxies: str = ""
    heartbeat: int = 0
    has_contact: bool = True
    voted_numbers: list = field(default_factory=list)
    peers: dict = field(default_factory=dict)
    announced_at: float = -1e9
    is_mesh: bool = False
    has_disk: bool = True
    is_leaving: bool = False
    interval: float = field(default_factory=lambda: constants.GOSSIP_INTERVAL)
    timeout: float = field(default_factory=lambda: constants.HEARTBEAT_TIMEOUT)

    def step(self, *, now: float, event: tuple | None) -> list[Command]:
        """Process (sender, body), or send the next heartbeat when it is due."""
        if event is not None and event[1].get("kind") == "beat":
            return self._apply_heartbeat(now=now, sender=event[0], body=event[1])
        if event is not None:
            sender, body = event
            commands = self._merge_entries(now=now, entries=body["entries"], sender=sender)
            if not body["reply"]:
                reply = {"kind": "gossip", "entries": self._entries(now=now), "reply": True}
                commands.append(SendMessage(to=sender, body=reply))
            return commands
        commands = self._expire_peers(now=now)
        if now - self.announced_at >= self.interval:
            self.announced_at, self.heartbeat = now, self.heartbeat + 1
            if self.is_mesh:
                return commands + self._send_to_mesh(now=now)
            body = {"kind": "gossip", "entries": self._entries(now=now), "reply": False}
            commands += [SendMessage(to=address, body=body) for address in self._gossip_addresses()]
        return commands

    def _send_to_mesh(self, *, now: float) -> list[Command]:
        """Send a heartbeat to every peer that is alive, and to one lost peer in turn.

        From time to time the whole peer table is sent to the seeds.
        """
        alive = [peer for peer in self.peers.values() if not peer.is_lost]
        body = {
            "kind": "beat",
            "id": self.location.name,
            "start": self.start,
            "beat": self.heartbeat,
            "fit": self.is_fit,
            "identity": self.identity,
            **({} if self.has_contact else {"contact": False}),
        }
        commands: list[Command] = [
            SendMessage(to=peer.entry["post"], body=self._with_echo(body=body, peer=peer)) for peer in alive
        ]
        lost = sorted(peer.entry["post"] for peer in self.peers.values() if peer.is_lost)
        if lost:
            # one lost peer per heartbeat, in turn: both sides of a healed partition find each other soon
            commands.append(SendMessage(to=lost[self.heartbeat % len(lost)], body=body))
        if (
            not alive
            or self.heartbeat <= constants.GOSSIP_STARTUP_HEARTBEATS
            or self.heartbeat % constants.GOSSIP_SEED_HEARTBEATS == 0
        ):
            addresses = {peer.entry["post"] for peer in alive}
            announcement = {"kind": "gossip", "entries": self._entries(now=now), "reply": False}
            commands += [
                SendMessage(to=seed, body=announcement)
                for seed in self.location.seeds
                if seed != self.location.post and seed not in addresses
            ]
        return commands

    def echo_number(self) -> int:
        """The number by which answers to this daemon's latest heartbeat are recognized."""
        return echo_number(start=self.start, heartbeat=self.heartbeat)

    def _with_echo(self, *, body: Message, peer: PeerState) -> dict:
        """A voter's heartbeat echoes the last one received directly from its recipient.

        It also gives the value numbers that the voter has voted for.
        """
        return (
            {**body, "echo": [peer.echoed_heartbeat, *self.voted_numbers]}
            if self.is_fit and peer.echoed_heartbeat
            else body
        )

    def _apply_heartbeat(self, *, now: float, sender: str, body: Message) -> list[Command]:
        peer = self.peers.get(body["id"])
        if peer is None or peer.entry["start"] != body["start"] or peer.entry["post"] != sender:
            # a restarted or unknown peer: sending our entry makes it reply with its whole entry
            return [SendMessage(to=sender, body={"kind": "gossip", "entries": [self.own_entry()], "reply": False})]
        if body["beat"] <= peer.entry["beat"]:
            return []
        entry = {**peer.entry, "beat": body["beat"], "fit": body["fit"], "identity": body["identity"]}
        commands: list[Command] = (
            [LogEvent(event="daemon-found", fields={"daemon": body["id"], "at": sender})] if peer.is_lost else []
        )
        self.peers[body["id"]] = PeerState(
            entry=entry,
            last_seen_at=now,
            echoed_heartbeat=echo_number(start=body["start"], heartbeat=body["beat"]),
            has_contact=body.get("contact") is not False,
        )
        return commands

    def own_entry(self) -> dict:
        """This daemon's own entry."""
        location = self.location
        return {
            "id": location.name,
            "kind": KINDS_ON_WIRE.get(location.kind, location.kind),
            "hall": location.zone,
            "region": location.region,
            "post": location.post,
            "http": location.http,
            "start": self.start,
            "beat": self.heartbeat,
            "fit": self.is_fit,
            "version": location.version,
            "identity": self.identity,
            "asks": self.active_proxies,
            **({} if self.has_disk else {"disk": False}),
            **({"leaving": True} if self.is_leaving else {}),
        }

    def alive(self, *, kind: str) -> list[dict]:
        """The entries of the peers of this kind that are not lost."""
        return [peer.entry for peer in self.peers.values() if kind_of(entry=peer.entry) == kind and not peer.is_lost]

    def _gossip_addresses(self) -> list[str]:
        others = {peer.entry["id"]: peer.entry["post"] for peer in self.peers.values()}
        names = choose_names(key=self.location.name, names=others, count=constants.GOSSIP_FANOUT)
        addresses = [others[name] for name in names]
        alive = sum(not peer.is_lost for peer in self.peers.values())
        if alive < constants.GOSSIP_FANOUT or self.heartbeat % 10 == 0:
            addresses += [seed for seed in self.location.seeds if seed not in addresses]
        return [address for address in addresses if address != self.location.post]

    def _entries(self, *, now: float) -> list[dict]:
        fresh = [peer.entry for peer in self.peers.values() if not peer.is_lost]
        return [self.own_entry(), *fresh]

    def _merge_entries(self, *, now: float, entries: list, sender: str) -> list[Command]:
        commands: list[Command] = []
        for entry in entries:
            if not is_entry(given=entry) or entry["id"] == self.location.name:
                continue
            peer = self.peers.get(entry["id"])
            if peer and not _is_newer(entry=entry, peer=peer):
                continue
            if peer is None or peer.is_lost:
                commands.append(LogEvent(event="daemon-found", fields={"daemon": entry["id"], "at": entry["post"]}))
            echoed_heartbeat = peer.echoed_heartbeat if peer else 0
            if entry["post"] == sender:
                echoed_heartbeat = echo_number(start=entry["start"], heartbeat=entry["beat"])
            self.peers[entry["id"]] = PeerState(entry=entry, last_seen_at=now, echoed_heartbeat=echoed_heartbeat)
        return commands

    def _expire_peers(self, *, now: float) -> list[Command]:
        commands: list[Command] = []
        for name, peer in list(self.peers.items()):
            if not peer.is_lost and now - peer.last_seen_at > self.timeout:
                peer.is_lost = True
                commands.append(LogEvent(event="daemon-lost", fields={"daemon": name}))
            if now - peer.last_seen_at > constants.PEER_TTL:
                del self.peers[name]
        return commands


def echo_number(*, start: int, heartbeat: int) -> int:
    """The number by which an answer refers to a heartbeat, never 0.

    The probability that two starts share a number is one in HEARTBEAT_ECHO_MODULUS.
    """
    return (start + heartbeat) % constants.HEARTBEAT_ECHO_MODULUS + 1


def _is_newer(*, entry: PeerEntry, peer: PeerState) -> bool:
    if peer.is_lost and entry["start"] != peer.entry["start"]:
        # a start is a wall-clock time: after the clock was set back, the new start is the lower number
        return True
    return (entry["start"], entry["beat"]) > (peer.entry["start"], peer.entry["beat"])


def is_entry(*, given: object) -> bool:
    """Is this a daemon's entry with all its fields?"""
    return isinstance(given, dict) and all(isinstance(given.get(name), kind) for name, kind in ENTRY_FIELDS.items())
