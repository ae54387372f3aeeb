"""The lease of a proxy on the control state that it holds."""

from __future__ import annotations

from dataclasses import dataclass

from sailward import constants
from sailward.consensus.learner import Learner
from sailward.consensus.proposer import blocking_size
from sailward.consensus.voter_set import VoterSet
from sailward.events import Command, LogEvent, SendMessage
from sailward.state_machines import Chart

CHART = Chart(name="lease")


@dataclass(kw_only=True)
class Grant:
    """The last thing one voter said, and until when its consent holds."""

    requested_at: float
    newest: dict
    until: float = -1e9


class Lease:
    """Owner of the lease. `step` takes a grant (sender, body), or None for time going on."""

    def __init__(self, *, learner: Learner) -> None:
        self._learner = learner
        self.state = CHART.initial
        self.behind: dict[str, float] = {}
        self._requested_at: dict[int, float] = {}
        self._grants: dict[str, Grant] = {}
        self._seq = 0
        self._next = -1e9

    def step(
        self,
        *,
        now: float,
        event: tuple | None,
        voters: VoterSet,
        addresses: list,
        report: dict,
        daemon: dict,
        have: dict,
    ) -> list[Command]:
        """Fold what came, judge the lease, ask again when it is time."""
        if event is not None:
            self._take_grant(body=event[1], voters=voters)
        commands = self._judge(now=now, voters=voters)
        if event is None and now >= self._next:
            commands += self._request_lease(now=now, addresses=addresses, report=report, daemon=daemon, have=have)
        return commands

    def review(self) -> None:
        """Judge the grants again after a newer value is held."""
        for grant in self._grants.values():
            grant.until = max(grant.until, self._end_of(grant=grant))

    def until(self, *, voters: VoterSet) -> float:
        """When the lease runs out."""
        members = voters.members
        ends = sorted((grant.until for name, grant in self._grants.items() if name in members), reverse=True)
        need = blocking_size(members=members)
        return ends[need - 1] if members and len(ends) >= need else -1e9

    def is_valid(self, *, now: float, voters: VoterSet) -> bool:
        """May the proxy act now?"""
        return now < self.until(voters=voters) and all(self._learner.number(name=name) for name in ("config", "voters"))

    def _request_lease(self, *, now: float, addresses: list, report: dict, daemon: dict, have: dict) -> list[Command]:
        self._seq, self._next = self._seq + 1, now + constants.LEASE_REQUEST_INTERVAL
        self._requested_at[self._seq] = now
        self._requested_at.pop(self._seq - 50, None)
        body = {"kind": "ask", "seq": self._seq, "have": have, "report": report, "daemon": daemon}
        return [SendMessage(to=address, body=body) for address in addresses]

    def _take_grant(self, *, body: dict, voters: VoterSet) -> None:
        requested_at = self._requested_at.get(body["seq"])
        if requested_at is None or not body["voting"] or body["identity"] not in voters.members:
            return
        grant = self._grants.setdefault(body["identity"], Grant(requested_at=requested_at, newest={}))
        if requested_at < grant.requested_at:
            return
        grant.requested_at, grant.newest = requested_at, body["newest"]
        grant.until = max(grant.until, self._end_of(grant=grant))

    def _behind_in(self, *, grant: Grant) -> list[str]:
        return [name for name, newest in grant.newest.items() if not self._learner.covers(name=name, newest=newest)]

    def _end_of(self, *, grant: Grant) -> float:
        return -1e9 if self._behind_in(grant=grant) else grant.requested_at + constants.LEASE_DURATION

    def _judge(self, *, now: float, voters: VoterSet) -> list[Command]:
        live = [grant for grant in self._grants.values() if now - grant.requested_at < constants.LEASE_DURATION]
        names = {name for grant in live for name in self._behind_in(grant=grant)}
        self.behind = {name: self.behind.get(name, now) for name in names}
        before = self.state
        self.state = CHART.step(state=before, event="granted" if self.is_valid(now=now, voters=voters) else "run_out")
        if before == self.state:
            return []
        return [LogEvent(event=f"lease-{self.state}", fields={"behind": ",".join(self.behind) or "none"})]
