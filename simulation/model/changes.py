"""What a change of the voters proposes: by the product's own rule of repair, or as an operator orders it."""

from __future__ import annotations

import json

from sailward.control.group.repair import Repair, change_members, keeps_majority
from simulation.model.space import Change, State


def text_of(*, state: State, change: Change) -> str:
    """The register's next text; "" if the change is not possible now."""
    acting = state.node(change.at)
    if not acting.facts.is_voting:
        return ""
    text = acting.open().learner.values["voters"].value["text"]
    members = dict(acting.facts.members)
    lost = next((one for one, post in members.items() if post == f"{change.drop}:1"), "")
    if change.drop and not lost:
        return ""
    newcomer = state.node(change.add) if change.add else None
    if newcomer is not None and newcomer.facts.identity in members:
        return ""
    healthy = {node.facts.identity for node in state.nodes if node.facts.is_voting}
    if change.is_repair:
        return _text_of_repair(state=state, change=change, lost=lost, text=text, members=members)
    add = (newcomer.facts.identity, newcomer.post) if newcomer else None
    made = change_members(text=text, number=acting.facts.number, add=add, drop=lost)
    if add is None or not lost:
        # an operator's order sets the size as well
        made = json.dumps({**json.loads(made), "size": len(json.loads(made)["members"])}, sort_keys=True)
    return made if keeps_majority(text=made, healthy=healthy) else ""


def _text_of_repair(*, state: State, change: Change, lost: str, text: str, members: dict) -> str:
    alive = {
        node.facts.identity: {
            "identity": node.facts.identity,
            "post": node.post,
            "hall": "h",
            "region": "r",
            "beat": 9,
            "fit": node.facts.is_voting,
        }
        for node in state.nodes
        if node.facts.identity != lost and (node.facts.identity in members or node.name == change.add)
    }
    number = state.node(change.at).facts.number
    repair = Repair(is_self_managed=True, replace_after=0.0, last_seen_at=dict.fromkeys(members, -1.0))
    repair.last_voting_at = dict.fromkeys(members, 0.0)
    healthy = [name for name in members if name in alive and alive[name]["fit"]]
    # the product's rule, judged at one moment
    return repair._choose_change(now=0.0, number=number, text=text, members=members, alive=alive, healthy=healthy)
