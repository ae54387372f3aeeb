"""Replacing a permanently lost voter: the new one is added first, then the lost one is removed, one change at a time.

A quorum group that founded itself swaps the two in a single change. This is safe because a newcomer votes only after it
has copied from a majority of the previous set, and each of these voters stores the new set before it sends its votes:
the old set then has no majority left that could choose anything more, and the newcomer has everything that the old set
chose. A majority of the new set without the newcomer is also a majority of the old set, as both sets have the same
size. As the lost voter's place is filled at once, a newcomer that dies before it has copied can itself be replaced. A
set that shrinks loses holders of chosen values, so its members copy from the previous set, too. A voter that leaves on
request is replaced while it still votes, and remains a source to copy from.
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
    """Owner of the decision. `step` returns the next text of the voters register, or "".

    `is_self_managed`: the quorum group founded itself; it grows and swaps voters on its own, and its voters take turns
    at proposing. `pending_since` is the number of the voter set that needs a change, and since when; `last_proposed`
    the number of the set for which this voter last proposed a change, and when; `replaced_at` when a voter that was
    still alive was replaced.
    """

    last_seen_at: dict = field(default_factory=dict)
    last_check_at: float = -1e9
    replace_after: float = field(default_factory=lambda: constants.VOTER_REPLACEMENT_DELAY)
    check_interval_s: float = field(default_factory=lambda: constants.REPAIR_INTERVAL)
    is_self_managed: bool = False
    last_voting_at: dict = field(default_factory=dict)
    replaced_at: dict = field(default_factory=dict)
    pending_since: tuple = (-1, 0.0)
    last_proposed: tuple = (-1, 0.0)

    def step(self, *, now: float, own: str, voters: VoterSet, text: str, controllers: list[PeerEntry]) -> str:
        """Decide from the live `controllers`; only one voter, chosen by rendezvous hashing, proposes the change."""
        if now - self.last_check_at < self.check_interval_s or not text:
            return ""
        self.last_check_at = now
        members, number = voters.members, voters.number
        alive = {entry["identity"]: entry for entry in controllers}
        if self.is_self_managed:
            return self._step_self_managed(now=now, own=own, number=number, text=text, members=members, alive=alive)
        self.last_seen_at = {name: now if name in alive else self.last_seen_at.get(name, now) for name in members}
        healthy = [name for name in members if name in alive and alive[name]["fit"]]
        if choose_names(key=f"repair{number}", names=healthy, count=1) != [own]:
            return ""
        to_replace = self._lost_voters(now=now, members=members, alive=alive)
        joining = [name for name in members if name in alive and not alive[name]["fit"]]
        size = json.loads(text).get("size", len(members))
        waiting = sorted(name for name in alive if may_join(entry=alive[name], members=members))
        if waiting and len(members) < size and not joining:
            # after a disaster recovery the quorum group grows back to its configured size
            return change_members(text=text, number=number, add=(waiting[0], alive[waiting[0]]["post"]))
        if not to_replace:
            return ""
        if len(members) > size:
            # the newcomer must have copied everything before the lost voter may be removed
            text = change_members(text=text, number=number, drop=to_replace[0])
            return "" if joining or not keeps_majority(text=text, healthy=set(healthy)) else text
        if waiting:
            return change_members(text=text, number=number, add=(waiting[0], alive[waiting[0]]["post"]))
        return ""

    def _lost_voters(self, *, now: float, members: Mapping[str, str], alive: dict) -> list[str]:
        """Voters whose machine came back without its data, or that have been lost for longer than `replace_after`."""
        identity_by_name = {entry["id"]: name for name, entry in alive.items()}
        return sorted(
            name
            for name in members
            if name not in alive
            and (
                identity_by_name.get(name.split("#")[0], name) != name
                or now - self.last_seen_at[name] > self.replace_after
            )
        )

    def _step_self_managed(
        self, *, now: float, own: str, number: int, text: str, members: Mapping[str, str], alive: dict
    ) -> str:
        healthy = [name for name in members if name in alive and alive[name]["fit"]]
        self.last_seen_at = {name: now if name in alive else self.last_seen_at.get(name, now) for name in members}
        self.last_voting_at = {name: now if name in healthy else self.last_voting_at.get(name, now) for name in members}
        change = (
            self._choose_change(now=now, number=number, text=text, members=members, alive=alive, healthy=healthy)
            if own in healthy
            else ""
        )
        if not change:
            self.pending_since = (-1, now)
            return ""
        if self.pending_since[0] != number:
            self.pending_since = (number, now)
        rank = choose_names(key=f"repair{number}", names=healthy, count=len(healthy)).index(own)
        is_already_proposed = (
            self.last_proposed[0] == number and now - self.last_proposed[1] < constants.REPAIR_RETRY_INTERVAL
        )
        if is_already_proposed or now - self.pending_since[1] < rank * constants.REPAIR_STAGGER_DELAY:
            return ""
        self.last_proposed = (number, now)
        return change

    def _choose_change(
        self, *, now: float, number: int, text: str, members: Mapping[str, str], alive: dict, healthy: list
    ) -> str:
        """The next change of the voters: one member added, removed or swapped; "" if none is needed."""
        size = json.loads(text).get("size", len(members))
        to_replace = self._voters_to_replace(now=now, members=members, alive=alive)
        if any(name in alive and name not in healthy and name not in to_replace for name in members):
            # one newcomer at a time: one is still copying
            return ""
        remaining = [name for name in members if name not in to_replace[:1]]
        newcomer = self._choose_newcomer(
            now=now,
            waiting=[name for name in alive if may_join(entry=alive[name], members=members)],
            remaining=remaining,
            alive=alive,
        )
        add = (newcomer, alive[newcomer]["post"]) if newcomer else None
        if to_replace and (add or len(members) > size):
            grows = len(members) % 2 == 0 and len(members) < size
            swaps = add is not None and not grows
            new_text = change_members(
                text=text, number=number, add=add if grows or swaps else None, drop="" if grows else to_replace[0]
            )
            if to_replace[0] in alive:
                self.replaced_at[to_replace[0]] = now
            return new_text if keeps_majority(text=new_text, healthy=set(healthy)) else ""
        if add and not to_replace and len(members) < size:
            new_text = change_members(text=text, number=number, add=add)
            return new_text if len(members) < 3 or keeps_majority(text=new_text, healthy=set(healthy)) else ""
        return ""

    def _voters_to_replace(self, *, now: float, members: Mapping[str, str], alive: dict) -> list[str]:
        """Voters to replace, in order of urgency.

        Wiped (back on an empty disk); lost, or not voting within VOTER_JOIN_TIMEOUT; leaving; without a disk.
        """
        identity_by_address = {entry["post"]: name for name, entry in alive.items() if name}
        wiped = {name for name in members if name not in alive and identity_by_address.get(members[name], name) != name}
        lost = {name for name in members if name not in alive and now - self.last_seen_at[name] > self.replace_after}
        leaving = {name for name in members if name in alive and alive[name].get("leaving")}
        not_voting = {
            name for name in members if name in alive and now - self.last_voting_at[name] > constants.VOTER_JOIN_TIMEOUT
        }
        diskless = {name for name in members if name in alive and alive[name].get("disk") is False}
        order = (wiped, lost | not_voting, leaving, diskless)
        return list(dict.fromkeys(name for group in order for name in sorted(group)))

    def _choose_newcomer(self, *, now: float, waiting: list, remaining: list, alive: dict) -> str:
        """The waiting controller that spreads the voters best over zones and regions.

        Among equals, the one with the longest uptime.
        """
        zones = [alive[name]["hall"] for name in remaining if name in alive]
        regions = [alive[name]["region"] for name in remaining if name in alive]
        self.replaced_at = {name: at for name, at in self.replaced_at.items() if now - at < constants.PEER_TTL}
        return min(
            waiting,
            default="",
            key=lambda name: (
                name in self.replaced_at,
                zones.count(alive[name]["hall"]),
                regions.count(alive[name]["region"]),
                -min(alive[name]["beat"], 40),
                name,
            ),
        )


def change_members(*, text: str, number: int, add: tuple[str, str] | None = None, drop: str = "") -> str:
    """The text of the voters register after `number`, with one member added, removed or swapped.

    A newcomer must copy under the new set or a later one before it votes, even if it was a member before and does not
    know yet that it was removed. A smaller set has fewer holders of the chosen values, so all its members copy.
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


def may_join(*, entry: PeerEntry, members: Mapping[str, str]) -> bool:
    """May this controller be added? Not if it reports that it votes: it does not know yet that it was removed."""
    return bool(entry["identity"]) and entry["identity"] not in members and not (entry["fit"] or entry.get("leaving"))


def count_voting_members(*, members: Mapping[str, str], controllers: list[PeerEntry]) -> dict:
    """How many voters are alive and voting, how many a majority needs, and which are missing."""
    healthy = {entry["identity"] for entry in controllers if entry["fit"]} & set(members)
    return {"voting": len(healthy), "needed": majority_size(members=members), "missing": sorted(set(members) - healthy)}


def keeps_majority(*, text: str, healthy: set) -> bool:
    """Are the healthy members a majority of this set?"""
    members = json.loads(text)["members"]
    return len(healthy & set(members)) >= majority_size(members=members)
