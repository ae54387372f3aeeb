"""CONTACT: what a controller that is cut off from a majority of the voters hands out and answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sailward.consensus.voter_set import VoterSet
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.process import Machine
    from simulation.hosted.world import World

BOUND = 2.3
"""s after it was cut off by when a controller must know it: the life of its contact, an alarm, and a message's way."""
ANSWER = 0.95
"""s in which a controller that is being cut off answers an operator: before he turns to another."""
STALE = 3.2
"""s after a value of a register was first in force anywhere, by when no controller hands out an older one as
current: BOUND, the wait for a vote to be chosen, a round between regions."""
SERVED = ("config", "orders")
"""The registers whose values voters tell with their heartbeats."""
SEARCH = 4.0
"""s in which a proxy finds a controller with contact if it can reach one all the time."""
LARGE = 100_000
"""bytes of an order that operators wait longer for."""
DEFINITE = (200, 404, 409, 412, 422)
"""codes that tell of the state: confirmed, shown, or refused for good."""


def judge_contact(*, world: World):
    """Pushes and operators' answers of controllers that had been cut off for BOUND, and answers that came late."""
    links, chosen = Links(world=world), chosen_at(world=world)
    for row in world.history.of(k="push"):
        machine = world.machines[row["machine"]]
        newer = [number for number, t in chosen.get(row["name"], {}).items() if t < row["t"] - STALE]
        if row["contact"] and max(newer, default=0) > row["number"]:
            detail = (
                f"{row['machine']} pushed {row['name']} {row['number']} as current, after {max(newer)} was in force"
            )
            yield Violation(rule="CONTACT", t=row["t"], detail=detail)
        if not links.is_cut_off(machine=machine, since=row["t"] - BOUND, until=row["t"]):
            continue
        if row["contact"]:
            detail = f"{row['machine']}, cut off, pushed {row['name']} {row['number']} to {row['to']} as current"
            yield Violation(rule="CONTACT", t=row["t"], detail=detail)
        elif links.reaches_other(proxy=world.machines[row["to"]], since=row["t"] - SEARCH, until=row["t"]):
            detail = f"{row['to']} took {row['name']} {row['number']} from {row['machine']}, cut off, beside others"
            yield Violation(rule="CONTACT", t=row["t"], detail=detail)
    for row in world.history.of(k="desk"):
        machine = world.machines[row["machine"]]
        if row["code"] in DEFINITE and links.is_cut_off(machine=machine, since=row["t"] - BOUND, until=row["ended"]):
            detail = f"{row['machine']}, cut off, answered {row['method']} {row['path']} with {row['code']}"
            yield Violation(rule="CONTACT", t=row["ended"], detail=detail)
        late = row["ended"] - row["t"] > ANSWER and row["size"] <= LARGE and row["t"] + ANSWER < world.end
        if late and links.is_cut_off(machine=machine, since=row["t"], until=row["t"] + ANSWER) and row["code"] != 0:
            detail = f"{row['machine']}, cut off, kept {row['method']} {row['path']} waiting"
            yield Violation(rule="CONTACT", t=row["t"] + ANSWER, detail=detail)


class Links:
    """Who could reach whom, by the cuts of the day.

    Only cuts are looked at: other troubles make fewer breaches of this rule.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._voters = voters_of(world=world)
        self._up_rows = [row for row in world.history.of(k="up") if row["role"] == "controller"]

    def is_cut_off(self, *, machine: Machine, since: float, until: float) -> bool:
        """Could this controller reach no majority of the voters, both ways, in all of this span?"""
        voters = self._voters
        apart = [voter for voter in voters if self._are_parted(a=machine, b=voter, since=since, until=until)]
        return 2 * (len(voters) - len(apart)) <= len(voters) and bool(apart)

    def reaches_other(self, *, proxy: Machine, since: float, until: float) -> bool:
        """Was there a way from this proxy's machine to one controller with contact in all of this span.

        Which ran all the time?
        """
        ups = {row["machine"]: row["t"] for row in self._up_rows if row["t"] <= until}
        return any(
            ups.get(voter.spot.name, float("inf")) <= since
            and self._has_majority(machine=voter, since=since, until=until)
            and not self._is_touched(a=proxy, b=voter, since=since, until=until)
            for voter in self._voters
            if voter.processes["controller"].owner is not None
        )

    def _has_majority(self, *, machine: Machine, since: float, until: float) -> bool:
        voters = self._voters
        near = [voter for voter in voters if not self._is_touched(a=machine, b=voter, since=since, until=until)]
        return 2 * len(near) > len(voters)

    def _are_parted(self, *, a: Machine, b: Machine, since: float, until: float) -> bool:
        return any(
            cut.begin <= since and until <= cut.end and cut.parts(a=a.spot, b=b.spot)
            for cut in self._world.network.cuts
        )

    def _is_touched(self, *, a: Machine, b: Machine, since: float, until: float) -> bool:
        """Did any cut lie between these in this span?"""
        return any(
            cut.begin <= until and since <= cut.end and cut.parts(a=a.spot, b=b.spot)
            for cut in self._world.network.cuts
        )


def chosen_at(*, world: World) -> dict[str, dict[int, float]]:
    """{register: {number: when it was first in force at any controller}}."""
    found: dict[str, dict[int, float]] = {}
    for process in world.controllers():
        for t, event, fields in process.logs:
            if event == "in-force" and fields["register"] in SERVED:
                numbers = found.setdefault(fields["register"], {})
                numbers[fields["number"]] = min(t, numbers.get(fields["number"], t))
    return found


def voters_of(*, world: World) -> list[Machine]:
    """The machines of the newest set of voters that any controller holds at the end of the day."""
    owners = [controller.owner for controller in world.controllers() if controller.owner is not None]
    newest = max((owner.voters for owner in owners), key=lambda voters: voters.number, default=VoterSet())
    return [world.by_post[post].machine for post in newest.members.values()]
