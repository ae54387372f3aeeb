"""The proxies that a controller pushes to, and what each has acknowledged."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.discovery.peer_table import kind_of
from sailward.events import SendMessage
from sailward.wire_types import Ballot, Message, PeerEntry, RegisterValue

ENDPOINT_LIST = "workers"
"""The name under which the list of workers is pushed."""
LOCALLY_NUMBERED = (ENDPOINT_LIST, "fleet")
"""Values that each controller numbers by itself."""
LARGE_VALUE = "config"
"""The register whose value is large."""


@dataclass(kw_only=True)
class Subscriber:
    """One daemon that polls this controller."""

    entry: PeerEntry
    first_seen_at: float
    last_seen_at: float
    have: dict = field(default_factory=dict)
    report: dict = field(default_factory=dict)
    pushed: dict = field(default_factory=dict)
    acked: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class Subscribers:
    """Pushes values to subscribers. `step` handles an ask or an acknowledgement, or pushes what is due.

    With a `post` (its own address), this controller numbers its lists by itself: they are pushed only to subscribers
    that name it, or no controller, as the source of the list that they follow.
    """

    members: dict[str, Subscriber] = field(default_factory=dict)
    seq: int = 0
    active_proxies: dict = field(default_factory=dict)
    post: str = ""

    def step(self, *, now: float, event: tuple | None, updates: dict) -> list[SendMessage]:
        """`updates` is {name: (number, ballot, value)}; `event` is a (sender, ask or ack) or None."""
        if event is not None:
            self._record(now=now, sender=event[0], body=event[1])
        for address, member in list(self.members.items()):
            if now - member.last_seen_at > constants.SUBSCRIBER_TTL:
                del self.members[address]
        commands = []
        # a subscriber that asks is pushed the values that it lacks, whichever controller it follows; new values here
        # are pushed only to subscribers that follow this controller
        requester = event[0] if event is not None else ""
        for address, member in self.members.items():
            if not (self.post and event is not None and address != requester):
                for name, (number, ballot, value) in updates.items():
                    commands += self._push(
                        now=now,
                        address=address,
                        member=member,
                        name=name,
                        number=number,
                        ballot=ballot,
                        value=value,
                        is_requested=address == requester,
                    )
        return commands

    def has_followers(self) -> bool:
        """Does any proxy follow this controller's list of workers, or no list yet?"""
        return any((proxy.have.get(ENDPOINT_LIST) or [-1, ""])[1] in ("", self.post) for proxy in self.proxies())

    def proxies(self) -> list[Subscriber]:
        """The proxies that have asked recently."""
        return [member for member in self.members.values() if kind_of(entry=member.entry) == "proxy"]

    def active_proxy_names(self, *, now: float) -> str:
        """The incarnations of proxies whose forwarded requests may still run: those that asked recently enough."""
        self._drop_inactive(now=now)
        return ",".join(sorted(self.active_proxies))

    def _drop_inactive(self, *, now: float) -> None:
        self.active_proxies = {
            name: at for name, at in self.active_proxies.items() if now - at < constants.PROXY_ACTIVITY_TTL
        }

    def _record(self, *, now: float, sender: str, body: Message) -> None:
        member = self.members.get(sender)
        if body["kind"] == "ack":
            if member is not None:
                member.acked[body["name"]] = max(body["number"], member.acked.get(body["name"], -1))
            return
        start = body["daemon"].get("start")
        if member is None or member.entry.get("start") != start:
            member = self.members[sender] = Subscriber(entry=body["daemon"], first_seen_at=now, last_seen_at=now)
            self._drop_inactive(now=now)
        member.entry, member.last_seen_at = body["daemon"], now
        if kind_of(entry=member.entry) == "proxy":
            self.active_proxies[f"{member.entry.get('id')}#{start}"] = now
        member.have, member.report = body["have"], body["report"]

    def _push(
        self,
        *,
        now: float,
        address: str,
        member: Subscriber,
        name: str,
        number: int,
        ballot: Ballot,
        value: RegisterValue,
        is_requested: bool = False,
    ) -> list[SendMessage]:
        reported_version = member.have.get(name)
        if self.post and kind_of(entry=member.entry) == "controller" and name in LOCALLY_NUMBERED:
            # a controller follows no other controller's lists
            return []
        if self.post and not is_requested and name == LARGE_VALUE and member.report.get("lead", self.post) != self.post:
            # only the controller that the proxy follows pushes the large value; small ones come from both controllers
            # that it polls, as one may be gone
            return []
        if self.post and name in LOCALLY_NUMBERED:
            return self._push_own(
                now=now,
                address=address,
                member=member,
                name=name,
                reported_version=reported_version,
                number=number,
                value=value,
            )
        known_version = (_epoch_of(reported_version=reported_version), reported_version[0] if reported_version else -1)
        if name != "workers":
            known_version = (0, known_version[1])
        version = (ballot[0], number) if name == "workers" else (0, number)
        acked = name != "workers" and member.acked.get(name, -1) >= number
        if known_version >= version or acked:
            return []
        return self._send(
            now=now, address=address, member=member, name=name, version=version, ballot=ballot, value=value
        )

    def _push_own(
        self,
        *,
        now: float,
        address: str,
        member: Subscriber,
        name: str,
        reported_version: list | None,
        number: int,
        value: RegisterValue,
    ) -> list[SendMessage]:
        source = reported_version[1] if reported_version else ""
        if source not in ("", self.post) or (source == self.post and reported_version[0] == number):
            return []
        pushed = member.pushed.get(name)
        if pushed and pushed[0] == (0, number) and member.last_seen_at - pushed[1] < constants.PUSH_RETRY_INTERVAL:
            # the subscriber has not asked since then, so nothing shows that the push was lost
            return []
        return self._send(
            now=now, address=address, member=member, name=name, version=(0, number), ballot=[0, ""], value=value
        )

    def _send(
        self,
        *,
        now: float,
        address: str,
        member: Subscriber,
        name: str,
        version: tuple,
        ballot: Ballot,
        value: RegisterValue,
    ) -> list[SendMessage]:
        pushed = member.pushed.get(name)
        if pushed and pushed[0] == version and now - pushed[1] < constants.PUSH_RETRY_INTERVAL:
            return []
        self.seq += 1
        member.pushed[name] = (version, now)
        body = {"kind": "push", "seq": self.seq, "name": name, "number": version[1], "ballot": ballot, "value": value}
        return [SendMessage(to=address, body=body)]


def _epoch_of(*, reported_version: list | None) -> int:
    """The epoch in the [number, mark, ballot] of an ask; 0 if it holds fewer items."""
    return reported_version[2][0] if reported_version is not None and len(reported_version) > 2 else 0
