"""A proxy's lease on its copy of the control state."""

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
    """The latest grant of one voter, and until when it is valid."""

    requested_at: float
    newest: dict
    valid_until: float = -1e9


class Lease:
    """Owns the lease. `step` takes a grant (sender, body), or None for a timer tick."""

    def __init__(self, *, learner: Learner) -> None:
        self._learner = learner
        self.state = CHART.initial
        self.outdated_since: dict[str, float] = {}
        self._requested_at: dict[int, float] = {}
        self._grants: dict[str, Grant] = {}
        self._seq = 0
        self._next_request_at = -1e9

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
        """Record a grant, update the state of the lease, and request a new one when that is due."""
        if event is not None:
            self._record_grant(body=event[1], voters=voters)
        commands = self._update_state(now=now, voters=voters)
        if event is None and now >= self._next_request_at:
            commands += self._request_lease(now=now, addresses=addresses, report=report, daemon=daemon, have=have)
        return commands

    def reevaluate(self) -> None:
        """Reevaluate the grants after a newer value has been learned."""
        for grant in self._grants.values():
            grant.valid_until = max(grant.valid_until, self._valid_until(grant=grant))

    def expires_at(self, *, voters: VoterSet) -> float:
        """When the lease expires (s); until then, every majority includes a voter whose grant is still valid."""
        members = voters.members
        expiries = sorted((grant.valid_until for name, grant in self._grants.items() if name in members), reverse=True)
        size = blocking_size(members=members)
        return expiries[size - 1] if members and len(expiries) >= size else -1e9

    def is_valid(self, *, now: float, voters: VoterSet) -> bool:
        """May the proxy act now: is the lease valid, and are the configuration and the voter set known?"""
        return now < self.expires_at(voters=voters) and all(
            self._learner.number(name=name) for name in ("config", "voters")
        )

    def _request_lease(self, *, now: float, addresses: list, report: dict, daemon: dict, have: dict) -> list[Command]:
        self._seq, self._next_request_at = self._seq + 1, now + constants.LEASE_REQUEST_INTERVAL
        self._requested_at[self._seq] = now
        self._requested_at.pop(self._seq - 50, None)
        body = {"kind": "ask", "seq": self._seq, "have": have, "report": report, "daemon": daemon}
        return [SendMessage(to=address, body=body) for address in addresses]

    def _record_grant(self, *, body: dict, voters: VoterSet) -> None:
        requested_at = self._requested_at.get(body["seq"])
        if requested_at is None or not body["voting"] or body["identity"] not in voters.members:
            return
        grant = self._grants.setdefault(body["identity"], Grant(requested_at=requested_at, newest={}))
        if requested_at < grant.requested_at:
            return
        grant.requested_at, grant.newest = requested_at, body["newest"]
        grant.valid_until = max(grant.valid_until, self._valid_until(grant=grant))

    def _outdated_names(self, *, grant: Grant) -> list[str]:
        return [name for name, newest in grant.newest.items() if not self._learner.covers(name=name, newest=newest)]

    def _valid_until(self, *, grant: Grant) -> float:
        return -1e9 if self._outdated_names(grant=grant) else grant.requested_at + constants.LEASE_DURATION

    def _update_state(self, *, now: float, voters: VoterSet) -> list[Command]:
        recent = [grant for grant in self._grants.values() if now - grant.requested_at < constants.LEASE_DURATION]
        outdated = {name for grant in recent for name in self._outdated_names(grant=grant)}
        self.outdated_since = {name: self.outdated_since.get(name, now) for name in outdated}
        previous = self.state
        self.state = CHART.step(state=previous, event="granted" if self.is_valid(now=now, voters=voters) else "run_out")
        if previous == self.state:
            return []
        return [LogEvent(event=f"lease-{self.state}", fields={"behind": ",".join(self.outdated_since) or "none"})]
