"""A planned end: a voter that is told to stop hands its place over before it goes, as long as its grace lasts."""

from __future__ import annotations

from sailward import constants
from sailward.control.group.repair import is_waiting
from sailward.control.group.voter import Voter
from sailward.discovery.peer_table import PeerTable
from sailward.events import Command, ExitProcess, LogEvent, SendMessage

NEVER = -1e9


class GracefulShutdown:
    """Owner of the end. `begin` takes the order to stop, `step` says when this process may go.

    It tells the other controllers that it leaves, votes on, and is copied from. It goes when another has taken its
    place and has copied, when none can, or when VOTER_HANDOVER_TIMEOUT s are over. `is_enabled` is false where
    operators change the voters.
    """

    def __init__(self, *, voter: Voter, peer_table: PeerTable, is_enabled: bool) -> None:
        self._voter, self._peer_table, self._is_enabled = voter, peer_table, is_enabled
        self._begun: float | None = None
        self._announced_at = NEVER

    def begin(self, *, now: float) -> list[Command]:
        """Begin to leave; an order that comes again changes nothing."""
        if self._begun is None:
            self._begun, self._peer_table.is_leaving = now, True
        return self.step(now=now)

    def step(self, *, now: float) -> list[Command]:
        """Tell the others again, and end when it is time."""
        if self._begun is None:
            return []
        commands = self._announce_departure(now=now) if now - self._announced_at >= self._peer_table.interval else []
        if now - self._begun < constants.VOTER_HANDOVER_TIMEOUT and self._is_of_use():
            return commands
        log = LogEvent(
            event="left", fields={"handed-over": not self._voter.is_member, "after": round(now - self._begun, 2)}
        )
        return [*commands, log, ExitProcess(code=0)]

    def _announce_departure(self, *, now: float) -> list[Command]:
        self._announced_at, peer_table = now, self._peer_table
        peer_table.heartbeat += 1
        body = {"kind": "gossip", "entries": [peer_table.own_entry()], "reply": True}
        return [SendMessage(to=peer["post"], body=body) for peer in peer_table.alive(kind="controller")]

    def _is_of_use(self) -> bool:
        """Can another take this one's place, or is it still copying from this one?"""
        voter, others = self._voter, {peer["identity"]: peer for peer in self._peer_table.alive(kind="controller")}
        members = voter.voters.members
        if not self._is_enabled or not voter.write_ahead.copied or not voter.write_ahead.usable:
            return False
        if not voter.is_member:
            return voter.is_copy_source and any(name in others and not others[name]["fit"] for name in members)
        return voter.voting and any(is_waiting(entry=other, members=members) for other in others.values())
