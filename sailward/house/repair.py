"""Replacing a voter that is lost for good: first the new one in, then the old one out, one at a time."""
from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.cask.proposer import majority_of
from sailward.roster.rendezvous import choose_names


@dataclass(kw_only=True)
class Repair:
    """Owner of the decision. `step` gives the next text of the voters register, or nothing."""

    seen: dict = field(default_factory=dict)
    looked: float = -1e9

    def step(self, *, now: float, own: str, voters: dict, text: str, cellars: list[dict]) -> str:
        """Judge by the roster's living `cellars`; only one of the voters, named by hashing, acts."""
        if now - self.looked < constants.REPAIR_EVERY or not text:
            return ""
        self.looked = now
        members = voters["members"]
        alive = {entry["identity"]: entry for entry in cellars}
        for name in members:
            if name in alive:
                self.seen[name] = now
            self.seen.setdefault(name, now)
        well = [name for name in members if name in alive and alive[name]["fit"]]
        if choose_names(key=f"repair{voters['number']}", names=well, count=1) != [own]:
            return ""
        gone = self._gone(now=now, members=members, alive=alive)
        joining = [name for name in members if name in alive and not alive[name]["fit"]]
        size = json.loads(text).get("size", len(members))
        waiting = sorted(name for name in alive if name not in members)
        if waiting and len(members) < size and not joining:
            # a core founded anew is brought back to its size
            return change_members(text=text, add=(waiting[0], alive[waiting[0]]["post"]))
        if not gone:
            return ""
        if len(members) > size:
            # the newcomer must have copied everything before the lost one's part in it may go
            text = change_members(text=text, drop=gone[0])
            return "" if joining or not keeps_majority(text=text, well=set(well)) else text
        if waiting:
            return change_members(text=text, add=(waiting[0], alive[waiting[0]]["post"]))
        return ""

    def _gone(self, *, now: float, members: dict, alive: dict) -> list[str]:
        """Voters whose machine is back without their data, or that have been lost for long."""
        names = {entry["id"]: name for name, entry in alive.items()}
        return sorted(name for name in members if name not in alive and (
            names.get(name.split("#")[0], name) != name or now - self.seen[name] > constants.REPLACE_AFTER))


def change_members(*, text: str, add: tuple[str, str] | None = None, drop: str = "") -> str:
    """The register's text with one member more, or one less."""
    value = json.loads(text)
    members = dict(value["members"])
    if add:
        members[add[0]] = add[1]
    members.pop(drop, None)
    return json.dumps({**value, "members": members}, sort_keys=True)


def count_core(*, members: dict, cellars: list[dict]) -> dict:
    """How many voters are heard of as voting, how many a majority needs, and who is missing."""
    well = {entry["identity"] for entry in cellars if entry["fit"]} & set(members)
    return {"voting": len(well), "needed": majority_of(members=members), "missing": sorted(set(members) - well)}


def keeps_majority(*, text: str, well: set) -> bool:
    """Would the members that are well be a majority of this set?"""
    members = json.loads(text)["members"]
    return len(well & set(members)) >= majority_of(members=members)
