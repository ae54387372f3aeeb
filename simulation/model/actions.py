"""The actions that a history consists of: which are possible in a state, and the effect of each."""

from __future__ import annotations

import json
from collections.abc import Iterator
from itertools import combinations

from sailward.consensus.proposer import StartOperation, fast_quorum_size, majority_size
from sailward.control.controller import Controller
from simulation.model.changes import make_change_text
from simulation.model.checks import record_outcome
from simulation.model.node import NEVER, Node, StepResult, boot, receive, run_step
from simulation.model.space import DATA, Bounds, State

OPERATION_KINDS = ("put", "read", "change")
MESSAGES: dict[str, tuple[str, str, dict]] = {}
"""Messages by name: (sender, receiver, body)."""


def successors(*, state: State, bounds: Bounds) -> Iterator[tuple[str, State]]:
    """Every action that is possible in the state, as text, with the state that it leads to."""
    for action in candidate_actions(state=state, bounds=bounds):
        after = apply(state=state, bounds=bounds, action=action)
        if after is not None:
            yield action, after


def apply(*, state: State, bounds: Bounds, action: str) -> State | None:
    """Returns the state after an action; None if the action is not possible or changes nothing."""
    verb, *rest = action.split()
    if verb in ("crash", "wipe"):
        return _canonicalize(state=_restart(state=state, name=rest[0], is_wiped=verb == "wipe"), bounds=bounds)
    if verb == "double":
        after = _deliver_request(state=state.replace(duplicates=state.duplicates + 1), message=rest[0], is_torn=False)
        return None if after is None else _canonicalize(state=after, bounds=bounds)
    thread = f"copy@{rest[0]}@{rest[1]}" if verb == "copy" else rest[0]
    before = state if thread == state.thread else _switch_thread(state=state, bounds=bounds, thread=thread)
    after = None if before is None else VERBS[verb](before, bounds, *rest)
    return None if after is None else _canonicalize(state=after, bounds=bounds)


def _switch_thread(*, state: State, bounds: Bounds, thread: str) -> State | None:
    """Switches to another thread; None if this would exceed the bound on returns to a thread."""
    returns = state.returns + (thread in state.left_threads)
    if returns > bounds.returns:
        return None
    left_threads = (state.left_threads | {state.thread} if state.thread else state.left_threads) - {thread}
    return state.replace(returns=returns, thread=thread, left_threads=left_threads, has_voted=False)


def candidate_actions(*, state: State, bounds: Bounds) -> Iterator[str]:
    """The texts of all actions that may be possible in the state; `apply` decides whether they are."""
    pending = sorted(operation for node in state.nodes for operation in node.facts.pending)
    may_return = state.returns < bounds.returns
    for op, phase, needed in pending:
        yield from _phase_actions(state=state, bounds=bounds, op=op, phase=phase, needed=needed)
    is_between_rounds = (
        any(op == state.thread and phase == "accept" for op, phase, _ in pending) and not state.has_voted
    )
    if is_between_rounds and not may_return:
        # abandoning a thread between its two rounds has the same effect as never having started it
        return
    for op in sorted({MESSAGES[request][2]["op"] for request in state.requests} - {op for op, _, _ in pending}):
        if op in state.left_threads:
            yield from _phase_actions(state=state, bounds=bounds, op=op, phase="accept", needed=0)
    for op in sorted({MESSAGES[vote][2]["op"] for vote in state.votes}):
        yield f"count {op}"
    if state.retries < bounds.retries:
        yield from sorted({f"retry {op}" for op, _, _ in pending})
    if state.duplicates < bounds.duplicates:
        yield from (f"double {message}" for message in state.delivered)
    yield from _node_actions(state=state, bounds=bounds)
    yield from _begin_actions(state=state, bounds=bounds)


def _node_actions(*, state: State, bounds: Bounds) -> Iterator[str]:
    numbers = sorted({node.facts.number for node in state.nodes})
    for node in state.nodes:
        yield from _copy_actions(state=state, node=node, numbers=numbers)
        if node.name in bounds.crashes and node.name not in state.crashed:
            yield f"crash {node.name}"
        if node.name in bounds.wipes and node.name not in state.wiped:
            yield f"wipe {node.name}"


def _begin_actions(*, state: State, bounds: Bounds) -> Iterator[str]:
    """Actions that start an operation under a set of voters and deliver its first round."""
    sets = {node.facts.number: node.facts.members for node in state.nodes}
    allowed = (bounds.puts, bounds.reads, bounds.changes)
    for kind, done, places in zip(OPERATION_KINDS, state.begun_counts, allowed, strict=True):
        if done >= len(places):
            continue
        name = places[done].at if kind == "change" else places[done]
        own = state.node(name).facts.number
        for number in sorted(sets):
            names = sorted(address.split(":")[0] for _, address in sets[number])
            uses_first_ballot = kind == "put" and bounds.uses_first_ballot
            needed = (fast_quorum_size if uses_first_ballot else majority_size)(members=dict(sets[number]))
            min_size = 1 if state.returns < bounds.returns else needed
            for size in range(min_size, needed + 1) if number >= own else ():
                for chosen in combinations(names, size):
                    yield f"begin {kind}{done + 1}@{name} {number} {' '.join(chosen)}"


def _phase_actions(*, state: State, bounds: Bounds, op: str, phase: str, needed: int) -> Iterator[str]:
    """Actions that deliver the requests of a round to a minimal set that completes it, or to a part of such a set.

    One of the voters may crash before its vote is synced.
    """
    bodies = {
        MESSAGES[request][1]: MESSAGES[request][2] for request in state.requests if MESSAGES[request][2]["op"] == op
    }
    names = sorted(name for name, body in bodies.items() if body["kind"] == phase)
    is_vote = phase == "accept"
    min_size = 1 if is_vote or state.returns < bounds.returns else needed
    for size in range(max(1, min_size), min(max(needed, 1), len(names)) + 1):
        for chosen in combinations(names, size):
            yield f"{'vote' if is_vote else phase} {op} {' '.join(chosen)}"
            if is_vote and size == needed:
                yield f"decide {op} {' '.join(chosen)}"
            for torn in chosen:
                if torn in bounds.crashes and torn not in state.crashed:
                    others = [name for name in chosen if name != torn]
                    yield f"{'vote' if is_vote else phase} {op} {' '.join([*others, torn + '!'])}"


def _copy_actions(*, state: State, node: Node, numbers: list[int]) -> Iterator[str]:
    """Actions that copy from a minimal sufficient set, under any set of voters that includes this node."""
    for number in numbers:
        members = next(dict(other.facts.members) for other in state.nodes if other.facts.number == number)
        if node.facts.identity not in members or number < node.facts.number:
            continue
        if number == node.facts.number and node.facts.is_voting:
            continue
        sources = _copy_sources(state=state, node=node, number=number)
        for size in range(1 if sources else 0, majority_size(members=dict.fromkeys(sources)) + 1):
            for chosen in combinations(sources, size):
                yield f"copy {node.name} {number} {' '.join(chosen)}"


def _copy_sources(*, state: State, node: Node, number: int) -> list[str]:
    """The nodes that may be copied from under a set of voters: its other members, and those of the previous set."""
    voters = json.loads(
        next(other.facts.voters_message for other in state.nodes if other.facts.number == number)["value"]["text"]
    )
    addresses = {*voters["members"].values(), *voters.get("before", voters)["members"].values()} - {node.address}
    return sorted(address.split(":")[0] for address in addresses)


def _begin(state: State, bounds: Bounds, op: str, number: str, *names: str) -> State | None:
    kind, name = op.split("@", maxsplit=1)[0].rstrip("0123456789"), op.split("@")[1]
    state = _learn_voters(state=state, name=name, number=int(number))
    kind_index = OPERATION_KINDS.index(kind)
    begun_counts = tuple(done + (index == kind_index) for index, done in enumerate(state.begun_counts))
    confirmed = max((number for number, _ in state.confirmed), default=0)
    if kind == "put":
        start = StartOperation(
            op=op, register=DATA, expected=confirmed, text=op, use_first_ballot=bounds.uses_first_ballot, timeout=NEVER
        )
    elif kind == "read":
        start = StartOperation(op=op, register=DATA, timeout=NEVER)
        state = state.replace(read_floors=(*state.read_floors, (op, confirmed)))
    else:
        text = make_change_text(state=state, change=bounds.changes[state.begun_counts[kind_index]])
        if not text:
            return None
        start = StartOperation(
            op=op, register="voters", expected=state.node(name).facts.number, text=text, timeout=NEVER
        )

    def call(controller: Controller) -> list:
        controller.catch_up._reads_in_flight[start.op] = start.register
        controller.catch_up._begun_at[start.op] = 0.0
        return controller.registers.begin(now=0.0, operations=[start])

    node = state.node(name)
    if not node.facts.members:
        return None
    state = _apply_step(
        state=state.replace(begun_counts=begun_counts), result=run_step(node=node, event_name=repr(start), call=call)
    )
    phase = next((phase for other, phase, _ in state.node(name).facts.pending if other == op), "")
    return _deliver_phase(state=state, bounds=bounds, op=op, phase=phase, names=names)


def _prepare(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    return _deliver_phase(state=state, bounds=bounds, op=op, phase="prepare", names=names)


def _read(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    return _deliver_phase(state=state, bounds=bounds, op=op, phase="read", names=names)


def _vote(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    """Voters vote; the proposer has not received the votes yet."""
    after = _deliver_phase(state=state, bounds=bounds, op=op, phase="accept", names=names)
    return None if after is None else after.replace(has_voted=True)


def _decide(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    """A majority votes, and the proposer receives the votes."""
    after = _vote(state, bounds, op, *names)
    return None if after is None else _count(after, bounds, op)


def _deliver_phase(*, state: State, bounds: Bounds, op: str, phase: str, names: tuple[str, ...]) -> State | None:
    for name in names:
        to, is_torn = name.rstrip("!"), name.endswith("!")
        matching = [
            request
            for request in state.requests
            if MESSAGES[request][2]["op"] == op and MESSAGES[request][2]["kind"] == phase and MESSAGES[request][1] == to
        ]
        if not matching:
            return None
        message = max(matching, key=lambda request: MESSAGES[request][2].get("ballot", []))
        remaining = tuple(request for request in state.requests if request != message)
        delivered = tuple(sorted({*state.delivered, message})) if bounds.duplicates else ()
        after = _deliver_request(
            state=state.replace(requests=remaining, delivered=delivered), message=message, is_torn=is_torn
        )
        if after is None:
            return None
        state = after
    return state


def _deliver_request(*, state: State, message: str, is_torn: bool) -> State | None:
    """Delivers a request to a voter that knows the set of voters it names.

    With `is_torn` the voter crashes before its disk has synced.
    """
    sender, to, body = MESSAGES[message]
    state = _learn_voters(state=state, name=to, number=body["voters"])
    node = state.node(to)
    result = receive(node=node, sender=sender, event_name=message, body=body, is_synced=not is_torn)
    is_refused = any(row.body["kind"] == "nack" and row.body["reason"] != "promised" for row in result.sent)
    if is_refused or (not result.sent and result.node.key == node.key):
        return None
    state = _apply_step(state=state, result=result)
    return _restart(state=state, name=to, is_wiped=False, disk=node.disk) if is_torn else state


def _count(state: State, bounds: Bounds, op: str) -> State | None:
    """All votes for an operation reach its proposer."""
    votes = [vote for vote in state.votes if MESSAGES[vote][2]["op"] == op]
    state = state.replace(votes=tuple(vote for vote in state.votes if vote not in votes))
    for vote in votes:
        sender, to, body = MESSAGES[vote]
        state = _apply_step(state=state, result=receive(node=state.node(to), sender=sender, event_name=vote, body=body))
    return state


def _retry(state: State, bounds: Bounds, op: str) -> State | None:
    """The retry timer of an operation fires: a new round, under the voters that are known now."""

    def call(controller: Controller) -> list:
        commands, _ = controller.proposer.step(now=NEVER / 2, voters=controller.voters, event=None)
        return commands

    result = run_step(node=state.node(op.split("@")[1]), event_name="retry", call=call)
    return _apply_step(state=state.replace(retries=state.retries + 1), result=result)


def _copy(state: State, bounds: Bounds, name: str, number: str, *sources: str) -> State | None:
    """A newcomer copies from these voters, and may act; None if that was not enough, or more than enough."""
    state = _learn_voters(state=state, name=name, number=int(number))
    if not sources:
        state = state.with_node(_step_copying(state=state, name=name).node)
    for source in sources:
        if state.node(name).facts.is_voting:
            return None
        state = _copy_from(state=state, name=name, source=source)
    return state if state.node(name).facts.is_voting else None


def _step_copying(*, state: State, name: str) -> StepResult:
    def call(controller: Controller) -> list:
        return controller.membership._step_copy(now=0.0, event=None)

    return run_step(node=state.node(name), event_name="ask", call=call)


def _copy_from(*, state: State, name: str, source: str) -> State:
    copy_step = _step_copying(state=state, name=name)
    state = state.with_node(copy_step.node)
    queue = [(name, command) for command in copy_step.sent if command.to == f"{source}:1"]
    while queue:
        sender, command = queue.pop(0)
        to = command.to.split(":")[0]
        result = receive(node=state.node(to), sender=sender, event_name=repr(command.body), body=command.body)
        state = _apply_step(state=state, result=result)
        queue += [(to, row) for row in result.sent if row.body["kind"] in ("copy", "copied")]
    return state


def _learn_voters(*, state: State, name: str, number: int) -> State:
    """A node with an older set of voters learns a newer one, if any node knows it."""
    informed = next((node for node in state.nodes if node.facts.number == number), None)
    if informed is None or state.node(name).facts.number >= number:
        return state
    body = informed.facts.voters_message
    return _apply_step(
        state=state,
        result=receive(node=state.node(name), sender=informed.name, event_name=f"chosen {number}", body=body),
    )


def _restart(*, state: State, name: str, is_wiped: bool, disk: tuple | None = None) -> State:
    node = state.node(name)
    records = () if is_wiped else node.disk if disk is None else disk
    state = state.with_node(boot(name=name, incarnation=node.incarnation + 1, disk=records))
    return state.replace(wiped=state.wiped | {name}) if is_wiped else state.replace(crashed=state.crashed | {name})


VERBS = {
    "begin": _begin,
    "prepare": _prepare,
    "read": _read,
    "vote": _vote,
    "decide": _decide,
    "count": _count,
    "retry": _retry,
    "copy": _copy,
}


def _apply_step(*, state: State, result: StepResult) -> State:
    """Applies the result of a step: its node, its messages, and the operations that its proposer finished."""
    state = state.with_node(result.node)
    for operation in result.finished:
        state = record_outcome(state=state, op=operation.op, register=operation.register, outcome=operation.outcome)
    requests, votes, answers = set(state.requests), set(state.votes), []
    for command in result.sent:
        to, kind = command.to.split(":")[0], command.body["kind"]
        if kind in ("promise", "told", "nack"):
            answers.append((to, command.body))
        elif kind == "voted":
            votes.add(_register_message(sender=result.node.name, to=to, body=command.body))
        elif kind in ("prepare", "accept", "read", "first"):
            requests.add(_register_message(sender=result.node.name, to=to, body=command.body))
    state = state.replace(requests=tuple(sorted(requests)), votes=tuple(sorted(votes)))
    for to, body in answers:
        answered = receive(node=state.node(to), sender=result.node.name, event_name=repr(body), body=body)
        state = _apply_step(state=state, result=answered)
    return state


def _register_message(*, sender: str, to: str, body: dict) -> str:
    ballot = body.get("ballot", [0, ""])
    mark = body["value"]["mark"] if "value" in body else ""
    name = f"{body['op']}>{to}/{body['kind']}/{body.get('voters', '')}/{ballot[0]}.{ballot[1]}/{mark}/{sender}"
    MESSAGES[name] = (sender, to, body)
    return name


def _canonicalize(*, state: State, bounds: Bounds) -> State:
    """Drops what can no longer have an effect, so that equivalent states compare equal."""
    known = {node.name: node.facts.number for node in state.nodes}
    pending = {(op, phase) for node in state.nodes for op, phase, _ in node.facts.pending}
    abandoned = state.left_threads if state.returns == bounds.returns else frozenset()
    known = dict.fromkeys(known, 0) if bounds.delivers_outdated else known
    requests = tuple(
        request
        for request in state.requests
        if _can_have_effect(request=request, known=known, pending=pending, abandoned=abandoned)
    )
    votes = tuple(
        vote
        for vote in state.votes
        if {(MESSAGES[vote][2]["op"], phase) for phase in ("accept", "first")} & pending
        and MESSAGES[vote][2]["op"] not in abandoned
    )
    delivered = tuple(
        request for request in state.delivered if MESSAGES[request][2]["voters"] >= known[MESSAGES[request][1]]
    )
    threads = {MESSAGES[request][2]["op"] for request in (*requests, *votes)}
    left_threads = frozenset(thread for thread in state.left_threads if thread in threads or thread.startswith("copy"))
    return state.replace(requests=requests, votes=votes, delivered=delivered, left_threads=left_threads)


def _can_have_effect(*, request: str, known: dict, pending: set, abandoned: frozenset) -> bool:
    _, to, body = MESSAGES[request]
    if body["voters"] < known[to] or body["op"] in abandoned:
        return False
    # a late vote may still count; a late promise can only forbid
    return body["kind"] in ("accept", "first") or (body["op"], body["kind"]) in pending
