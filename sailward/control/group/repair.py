"""Replacing a voter that is lost for good: first the new one in, then the old one out, one at a time.

A core that founded itself exchanges the two in one change. It is safe because a newcomer acts only when it has copied
from a majority of the set before, each of which keeps the new set before it tells: that leaves the old set no majority
that could choose more, and the newcomer with all that it chose. A majority of the new set without the newcomer is one
of the old set too, as the sizes are alike. As the lost one's place is taken at once, a newcomer that dies before it has
copied can be exchanged in its turn. A set that grows smaller loses holders of what was chosen, so its members copy from
the set before, too. One that leaves on request is exchanged while it still acts, and stays as one to copy from.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from sailward import constants
from sailward.consensus.proposer import majority_size
from sailward.consensus.voter_set import VoterSet
from sailward.discovery.rendezvous import choose_names
from sailward.wire_types import PeerEntry


@dataclass(kw_only=True)
class Repair:
    """Owner of the decision. `step` gives the next text of the voters register, or nothing.

    `is_brisk`: the core founded itself, and grows, exchanges voters and takes turns by itself.
    """

    seen: dict = field(default_factory=dict)
    last_check_at: float = -1e9
    replace_after: float = field(default_factory=lambda: constants.VOTER_REPLACEMENT_DELAY)
    every: float = field(default_factory=lambda: constants.REPAIR_INTERVAL)
    is_brisk: bool = False
    well_at: dict = field(default_factory=dict)
    failed: dict = field(default_factory=dict)
    due: tuple = (-1, 0.0)
    tried: tuple = (-1, 0.0)

    def step(self, *, now: float, own: str, voters: VoterSet, text: str, controllers: list[PeerEntry]) -> str:
        """Judge by the peer table's living `controllers`; only one of the voters, named by hashing, acts."""
        if now - self.last_check_at < self.every or not text:
            return ""
        self.last_check_at = now
        members, number = voters.members, voters.number
        alive = {entry["identity"]: entry for entry in controllers}
        if self.is_brisk:
            return self._step_brisk(now=now, own=own, number=number, text=text, members=members, alive=alive)
        self.seen = {name: now if name in alive else self.seen.get(name, now) for name in members}
        well = [name for name in members if name in alive and alive[name]["fit"]]
        if choose_names(key=f"repair{number}", names=well, count=1) != [own]:
            return ""
        gone = self._gone(now=now, members=members, alive=alive)
        joining = [name for name in members if name in alive and not alive[name]["fit"]]
        size = json.loads(text).get("size", len(members))
        waiting = sorted(name for name in alive if is_waiting(entry=alive[name], members=members))
        if waiting and len(members) < size and not joining:
            # a core founded anew is brought back to its size
            return change_members(text=text, number=number, add=(waiting[0], alive[waiting[0]]["post"]))
        if not gone:
            return ""
        if len(members) > size:
            # the newcomer must have copied everything before the lost one's part in it may go
            text = change_members(text=text, number=number, drop=gone[0])
            return "" if joining or not keeps_majority(text=text, well=set(well)) else text
        if waiting:
            return change_members(text=text, number=number, add=(waiting[0], alive[waiting[0]]["post"]))
        return ""

    def _gone(self, *, now: float, members: Mapping[str, str], alive: dict) -> list[str]:
        """Voters whose machine is back without their data, or that have been lost for long."""
        names = {entry["id"]: name for name, entry in alive.items()}
        return sorted(
            name
            for name in members
            if name not in alive
            and (names.get(name.split("#")[0], name) != name or now - self.seen[name] > self.replace_after)
        )

    def _step_brisk(
        self, *, now: float, own: str, number: int, text: str, members: Mapping[str, str], alive: dict
    ) -> str:
        well = [name for name in members if name in alive and alive[name]["fit"]]
        self.seen = {name: now if name in alive else self.seen.get(name, now) for name in members}
        self.well_at = {name: now if name in well else self.well_at.get(name, now) for name in members}
        change = (
            self._choose(now=now, number=number, text=text, members=members, alive=alive, well=well)
            if own in well
            else ""
        )
        if not change:
            self.due = (-1, now)
            return ""
        if self.due[0] != number:
            self.due = (number, now)
        turn = choose_names(key=f"repair{number}", names=well, count=len(well)).index(own)
        is_tried = self.tried[0] == number and now - self.tried[1] < constants.REPAIR_RETRY_INTERVAL
        if is_tried or now - self.due[1] < turn * constants.REPAIR_STAGGER_DELAY:
            return ""
        self.tried = (number, now)
        return change

    def _choose(
        self, *, now: float, number: int, text: str, members: Mapping[str, str], alive: dict, well: list
    ) -> str:
        """The next change of the voters, one member added, dropped or exchanged; "" if there is none to make."""
        size = json.loads(text).get("size", len(members))
        gone = self._gone_brisk(now=now, members=members, alive=alive)
        if any(name in alive and name not in well and name not in gone for name in members):
            # one newcomer at a time: it copies now
            return ""
        rest = [name for name in members if name not in gone[:1]]
        best = self._best(
            now=now,
            waiting=[name for name in alive if is_waiting(entry=alive[name], members=members)],
            rest=rest,
            alive=alive,
        )
        add = (best, alive[best]["post"]) if best else None
        if gone and (add or len(members) > size):
            grows = len(members) % 2 == 0 and len(members) < size
            swaps = add is not None and not grows
            made = change_members(
                text=text, number=number, add=add if grows or swaps else None, drop="" if grows else gone[0]
            )
            if gone[0] in alive:
                self.failed[gone[0]] = now
            return made if keeps_majority(text=made, well=set(well)) else ""
        if add and not gone and len(members) < size:
            made = change_members(text=text, number=number, add=add)
            return made if len(members) < 3 or keeps_majority(text=made, well=set(well)) else ""
        return ""

    def _gone_brisk(self, *, now: float, members: Mapping[str, str], alive: dict) -> list[str]:
        """Voters that are lost, back on an empty disk, that don't come to act, that leave, or have no disk.

        In this order.
        """
        posts = {entry["post"]: name for name, entry in alive.items() if name}
        wiped = {name for name in members if name not in alive and posts.get(members[name], name) != name}
        lost = {name for name in members if name not in alive and now - self.seen[name] > self.replace_after}
        leaving = {name for name in members if name in alive and alive[name].get("leaving")}
        stuck = {name for name in members if name in alive and now - self.well_at[name] > constants.VOTER_JOIN_TIMEOUT}
        bare = {name for name in members if name in alive and alive[name].get("disk") is False}
        order = (wiped, lost | stuck, leaving, bare)
        return list(dict.fromkeys(name for kind in order for name in sorted(kind)))

    def _best(self, *, now: float, waiting: list, rest: list, alive: dict) -> str:
        """The waiting controller that spreads the voters most over zones and regions.

        Of equal ones that which is up for longest.
        """
        zones = [alive[name]["hall"] for name in rest if name in alive]
        regions = [alive[name]["region"] for name in rest if name in alive]
        self.failed = {name: at for name, at in self.failed.items() if now - at < constants.PEER_TTL}
        return min(
            waiting,
            default="",
            key=lambda name: (
                name in self.failed,
                zones.count(alive[name]["hall"]),
                regions.count(alive[name]["region"]),
                -min(alive[name]["beat"], 40),
                name,
            ),
        )


def change_members(*, text: str, number: int, add: tuple[str, str] | None = None, drop: str = "") -> str:
    """The text of the voters register after `number`, with one member more, one less, or one for another.

    A newcomer must copy under the new set or a later one before it acts, also if it was a member before and has not
    heard that it was taken out. A smaller set has fewer that hold what was chosen: all its members copy.
    """
    value = json.loads(text)
    members, joined = dict(value["members"]), value.get("joined", {})
    before = {"members": value["members"], "joined": joined}
    if add:
        members[add[0]] = add[1]
        joined = {**joined, add[0]: number + 1}
    members.pop(drop, None)
    if drop and not add:
        joined = dict.fromkeys(members, number + 1)
    joined = {name: at for name, at in joined.items() if name in members}
    return json.dumps({**value, "members": members, "joined": joined, "before": before}, sort_keys=True)


def is_waiting(*, entry: PeerEntry, members: Mapping[str, str]) -> bool:
    """May this controller be brought in? Not one that says that it acts: it has not heard yet that it was taken out."""
    return bool(entry["identity"]) and entry["identity"] not in members and not (entry["fit"] or entry.get("leaving"))


def count_core(*, members: Mapping[str, str], controllers: list[PeerEntry]) -> dict:
    """How many voters are heard of as voting, how many a majority needs, and who is missing."""
    well = {entry["identity"] for entry in controllers if entry["fit"]} & set(members)
    return {"voting": len(well), "needed": majority_size(members=members), "missing": sorted(set(members) - well)}


def keeps_majority(*, text: str, well: set) -> bool:
    """Would the members that are well be a majority of this set?"""
    members = json.loads(text)["members"]
    return len(well & set(members)) >= majority_size(members=members)
