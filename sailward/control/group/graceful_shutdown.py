"""Graceful shutdown: a voter that is told to stop hands over its membership first, within a grace period."""

from __future__ import annotations

from sailward import constants
from sailward.control.group.repair import may_join
from sailward.control.group.voter import Voter
from sailward.discovery.peer_table import PeerTable
from sailward.events import Command, ExitProcess, LogEvent, SendMessage

NEVER = -1e9


class GracefulShutdown:
    """Owner of the shutdown. `begin` takes the order to stop, `step` ends the process when it may exit.

    The process announces to the other controllers that it is leaving, and meanwhile keeps voting and serving copies.
    It exits when another controller has replaced it and finished its copy, when none can, or after
    VOTER_HANDOVER_TIMEOUT. `is_enabled` is false where operators change the voters.
    """

    def __init__(self, *, voter: Voter, peer_table: PeerTable, is_enabled: bool) -> None:
        self._voter, self._peer_table, self._is_enabled = voter, peer_table, is_enabled
        self._begun_at: float | None = None
        self._announced_at = NEVER

    def begin(self, *, now: float) -> list[Command]:
        """Begin the shutdown; a repeated order has no effect."""
        if self._begun_at is None:
            self._begun_at, self._peer_table.is_leaving = now, True
        return self.step(now=now)

    def step(self, *, now: float) -> list[Command]:
        """Repeat the announcement, and exit when it is time."""
        if self._begun_at is None:
            return []
        commands = self._announce_departure(now=now) if now - self._announced_at >= self._peer_table.interval else []
        if now - self._begun_at < constants.VOTER_HANDOVER_TIMEOUT and self._must_stay():
            return commands
        log = LogEvent(
            event="left", fields={"handed-over": not self._voter.is_member, "after": round(now - self._begun_at, 2)}
        )
        return [*commands, log, ExitProcess(code=0)]

    def _announce_departure(self, *, now: float) -> list[Command]:
        self._announced_at, peer_table = now, self._peer_table
        peer_table.heartbeat += 1
        body = {"kind": "gossip", "entries": [peer_table.own_entry()], "reply": True}
        return [SendMessage(to=peer["post"], body=body) for peer in peer_table.alive(kind="controller")]

    def _must_stay(self) -> bool:
        """Can another controller replace this one, or may a newcomer still be copying from it?"""
        voter, peers = self._voter, {peer["identity"]: peer for peer in self._peer_table.alive(kind="controller")}
        members = voter.voters.members
        if not self._is_enabled or not voter.write_ahead.has_copied or not voter.write_ahead.is_usable:
            return False
        if not voter.is_member:
            return voter.is_copy_source and any(name in peers and not peers[name]["fit"] for name in members)
        return voter.is_voting and any(may_join(entry=other, members=members) for other in peers.values())
