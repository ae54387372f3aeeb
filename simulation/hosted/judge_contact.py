"""CONTACT: what a controller that is cut off from a majority of the voters may push to proxies and answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sailward.consensus.voter_set import VoterSet
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.process import Machine
    from simulation.hosted.world import World

NOTICED_WITHIN = 2.3
"""s after which a controller that was cut off must know it: the validity of its contact, a timer's interval, and the
delay of a message."""
ANSWERED_WITHIN = 0.95
"""s within which a controller that is being cut off must answer an operator; later the operator turns to another."""
STALE_AFTER = 3.2
"""s after a register's value first came into force anywhere, from which on no controller pushes an older one as
current: NOTICED_WITHIN, the wait for a vote to be chosen, and a round trip between regions."""
HEARTBEAT_REGISTERS = ("config", "orders")
"""The registers whose numbers voters report in their heartbeats."""
PROXY_SEARCH_TIME = 4.0
"""s within which a proxy finds a controller with contact, if it can reach one all the time."""
LARGE_ORDER_BYTES = 100_000
"""bytes; operators wait longer for orders above this size."""
DEFINITE_CODES = (200, 404, 409, 412, 422)
"""Codes that reveal the state: confirmed, shown, or finally refused."""


def judge_contact(*, world: World):
    """Check pushes and answers to operators by controllers that are cut off, and answers that come too late."""
    links, in_force = Links(world=world), in_force_times(world=world)
    for row in world.history.of(k="push"):
        machine = world.machines[row["machine"]]
        newer = [number for number, t in in_force.get(row["name"], {}).items() if t < row["t"] - STALE_AFTER]
        if row["contact"] and max(newer, default=0) > row["number"]:
            detail = (
                f"{row['machine']} pushed {row['name']} {row['number']} as current, after {max(newer)} was in force"
            )
            yield Violation(rule="CONTACT", t=row["t"], detail=detail)
        if not links.is_cut_off(machine=machine, since=row["t"] - NOTICED_WITHIN, until=row["t"]):
            continue
        if row["contact"]:
            detail = f"{row['machine']}, cut off, pushed {row['name']} {row['number']} to {row['to']} as current"
            yield Violation(rule="CONTACT", t=row["t"], detail=detail)
        elif links.can_reach_another(
            proxy=world.machines[row["to"]], since=row["t"] - PROXY_SEARCH_TIME, until=row["t"]
        ):
            detail = (
                f"{row['to']} took {row['name']} {row['number']} from {row['machine']}, cut off, "
                "though it could reach another"
            )
            yield Violation(rule="CONTACT", t=row["t"], detail=detail)
    for row in world.history.of(k="desk"):
        machine = world.machines[row["machine"]]
        if row["code"] in DEFINITE_CODES and links.is_cut_off(
            machine=machine, since=row["t"] - NOTICED_WITHIN, until=row["ended"]
        ):
            detail = f"{row['machine']}, cut off, answered {row['method']} {row['path']} with {row['code']}"
            yield Violation(rule="CONTACT", t=row["ended"], detail=detail)
        is_late = (
            row["ended"] - row["t"] > ANSWERED_WITHIN
            and row["size"] <= LARGE_ORDER_BYTES
            and row["t"] + ANSWERED_WITHIN < world.end
        )
        if (
            is_late
            and links.is_cut_off(machine=machine, since=row["t"], until=row["t"] + ANSWERED_WITHIN)
            and row["code"] != 0
        ):
            detail = f"{row['machine']}, cut off, kept {row['method']} {row['path']} waiting"
            yield Violation(rule="CONTACT", t=row["t"] + ANSWERED_WITHIN, detail=detail)


class Links:
    """Which machines could reach each other, by the partitions of the run.

    Other faults than partitions are not considered; they can only hide breaches of this rule.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._voters = voters_of(world=world)
        self._up_rows = [row for row in world.history.of(k="up") if row["role"] == "controller"]

    def is_cut_off(self, *, machine: Machine, since: float, until: float) -> bool:
        """Whether this controller could not exchange messages with a majority of the voters throughout this span."""
        voters = self._voters
        unreachable = [
            voter for voter in voters if self._are_cut_throughout(a=machine, b=voter, since=since, until=until)
        ]
        return 2 * (len(voters) - len(unreachable)) <= len(voters) and bool(unreachable)

    def can_reach_another(self, *, proxy: Machine, since: float, until: float) -> bool:
        """Whether this proxy could reach one controller with contact throughout this span.

        That controller must also have run all the time.
        """
        started_at = {row["machine"]: row["t"] for row in self._up_rows if row["t"] <= until}
        return any(
            started_at.get(voter.node.name, float("inf")) <= since
            and self._has_majority(machine=voter, since=since, until=until)
            and not self._is_cut_at_times(a=proxy, b=voter, since=since, until=until)
            for voter in self._voters
            if voter.processes["controller"].owner is not None
        )

    def _has_majority(self, *, machine: Machine, since: float, until: float) -> bool:
        voters = self._voters
        reachable = [
            voter for voter in voters if not self._is_cut_at_times(a=machine, b=voter, since=since, until=until)
        ]
        return 2 * len(reachable) > len(voters)

    def _are_cut_throughout(self, *, a: Machine, b: Machine, since: float, until: float) -> bool:
        return any(
            cut.begin <= since and until <= cut.end and cut.separates(a=a.node, b=b.node)
            for cut in self._world.network.cuts
        )

    def _is_cut_at_times(self, *, a: Machine, b: Machine, since: float, until: float) -> bool:
        """Whether a partition separated these at any time in this span."""
        return any(
            cut.begin <= until and since <= cut.end and cut.separates(a=a.node, b=b.node)
            for cut in self._world.network.cuts
        )


def in_force_times(*, world: World) -> dict[str, dict[int, float]]:
    """{register: {number: time at which it first came into force at any controller}}."""
    times: dict[str, dict[int, float]] = {}
    for process in world.controllers():
        for t, event, fields in process.logs:
            if event == "in-force" and fields["register"] in HEARTBEAT_REGISTERS:
                numbers = times.setdefault(fields["register"], {})
                numbers[fields["number"]] = min(t, numbers.get(fields["number"], t))
    return times


def voters_of(*, world: World) -> list[Machine]:
    """The machines of the newest voter set that any controller holds at the end of the run."""
    owners = [controller.owner for controller in world.controllers() if controller.owner is not None]
    newest = max((owner.voters for owner in owners), key=lambda voters: voters.number, default=VoterSet())
    return [world.by_inner_address[post].machine for post in newest.members.values()]
