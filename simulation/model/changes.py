"""The set of voters that a change proposes: by the product's own repair rule, or as an operator orders it."""

from __future__ import annotations

import json

from sailward.control.group.repair import Repair, change_members, keeps_majority
from simulation.model.space import Change, State


def make_change_text(*, state: State, change: Change) -> str:
    """The next text of the voters register; "" if the change is not possible now."""
    proposer = state.node(change.at)
    if not proposer.facts.is_voting:
        return ""
    text = proposer.open().learner.values["voters"].value["text"]
    members = dict(proposer.facts.members)
    dropped = next((identity for identity, post in members.items() if post == f"{change.drop}:1"), "")
    if change.drop and not dropped:
        return ""
    added = state.node(change.add) if change.add else None
    if added is not None and added.facts.identity in members:
        return ""
    healthy = {node.facts.identity for node in state.nodes if node.facts.is_voting}
    if change.is_repair:
        return _make_repair_text(state=state, change=change, dropped=dropped, text=text, members=members)
    add = (added.facts.identity, added.address) if added else None
    proposed = change_members(text=text, number=proposer.facts.number, add=add, drop=dropped)
    if add is None or not dropped:
        # an operator's order also sets the size of the group
        proposed = json.dumps({**json.loads(proposed), "size": len(json.loads(proposed)["members"])}, sort_keys=True)
    return proposed if keeps_majority(text=proposed, healthy=healthy) else ""


def _make_repair_text(*, state: State, change: Change, dropped: str, text: str, members: dict) -> str:
    alive = {
        node.facts.identity: {
            "identity": node.facts.identity,
            "post": node.address,
            "hall": "h",
            "region": "r",
            "beat": 9,
            "fit": node.facts.is_voting,
        }
        for node in state.nodes
        if node.facts.identity != dropped and (node.facts.identity in members or node.name == change.add)
    }
    number = state.node(change.at).facts.number
    repair = Repair(is_self_managed=True, replace_after=0.0, last_seen_at=dict.fromkeys(members, -1.0))
    repair.last_voting_at = dict.fromkeys(members, 0.0)
    healthy = [name for name in members if name in alive and alive[name]["fit"]]
    # the product's own rule, evaluated at a single moment
    return repair._choose_change(now=0.0, number=number, text=text, members=members, alive=alive, healthy=healthy)
