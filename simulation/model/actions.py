"""The actions of a history: which are possible in a state, and what each does."""

from __future__ import annotations

import json
from collections.abc import Iterator
from itertools import combinations

from sailward.consensus.proposer import StartOperation, fast_quorum_size, majority_size
from sailward.control.controller import Controller
from simulation.model.changes import text_of
from simulation.model.checks import note_outcome
from simulation.model.node import NEVER, Node, Stepped, act, boot, receive
from simulation.model.space import DATA, Bounds, State

KINDS = ("put", "read", "change")
MESSAGES: dict[str, tuple[str, str, dict]] = {}
"""Messages by their names: (sender, receiver, body)."""


def actions(*, state: State, bounds: Bounds) -> Iterator[tuple[str, State]]:
    """Every action that is possible here, by its words, and the state after it."""
    for words in possible(state=state, bounds=bounds):
        after = apply(state=state, bounds=bounds, words=words)
        if after is not None:
            yield words, after


def apply(*, state: State, bounds: Bounds, words: str) -> State | None:
    """The state after an action; None if it is not possible or changes nothing."""
    verb, *rest = words.split()
    if verb in ("crash", "wipe"):
        return _tidy(state=_restart(state=state, name=rest[0], is_wiped=verb == "wipe"), bounds=bounds)
    if verb == "double":
        after = _hand_over(state=state.but(doubles=state.doubles + 1), message=rest[0], is_torn=False)
        return None if after is None else _tidy(state=after, bounds=bounds)
    thread = f"copy@{rest[0]}@{rest[1]}" if verb == "copy" else rest[0]
    before = state if thread == state.thread else _switch(state=state, bounds=bounds, thread=thread)
    after = None if before is None else VERBS[verb](before, bounds, *rest)
    return None if after is None else _tidy(state=after, bounds=bounds)


def _switch(*, state: State, bounds: Bounds, thread: str) -> State | None:
    """Go on with another thread."""
    returns = state.returns + (thread in state.left)
    if returns > bounds.returns:
        return None
    left = (state.left | {state.thread} if state.thread else state.left) - {thread}
    return state.but(returns=returns, thread=thread, left=left, has_voted=False)


def possible(*, state: State, bounds: Bounds) -> Iterator[str]:
    """The words of all actions that may be possible here."""
    live = sorted(one for node in state.nodes for one in node.facts.live)
    may_return = state.returns < bounds.returns
    for op, phase, need in live:
        yield from _words_of_phase(state=state, bounds=bounds, op=op, phase=phase, need=need)
    is_between_rounds = any(op == state.thread and phase == "accept" for op, phase, _ in live) and not state.has_voted
    if is_between_rounds and not may_return:
        # to leave a thread for good between its two rounds is to have begun it in vain
        return
    for op in sorted({MESSAGES[request][2]["op"] for request in state.requests} - {op for op, _, _ in live}):
        if op in state.left:
            yield from _words_of_phase(state=state, bounds=bounds, op=op, phase="accept", need=0)
    for op in sorted({MESSAGES[vote][2]["op"] for vote in state.votes}):
        yield f"count {op}"
    if state.retries < bounds.retries:
        yield from sorted({f"retry {op}" for op, _, _ in live})
    if state.doubles < bounds.doubles:
        yield from (f"double {one}" for one in state.delivered)
    yield from _words_of_nodes(state=state, bounds=bounds)
    yield from _words_of_begin(state=state, bounds=bounds)


def _words_of_nodes(*, state: State, bounds: Bounds) -> Iterator[str]:
    numbers = sorted({node.facts.number for node in state.nodes})
    for node in state.nodes:
        yield from _words_of_copy(state=state, node=node, numbers=numbers)
        if node.name in bounds.crashes and node.name not in state.crashed:
            yield f"crash {node.name}"
        if node.name in bounds.wipes and node.name not in state.wiped:
            yield f"wipe {node.name}"


def _words_of_begin(*, state: State, bounds: Bounds) -> Iterator[str]:
    """Begin an operation under a set of voters, and deliver its first round."""
    sets = {node.facts.number: node.facts.members for node in state.nodes}
    given = (bounds.puts, bounds.reads, bounds.changes)
    for kind, done, places in zip(KINDS, state.begun, given, strict=True):
        if done >= len(places):
            continue
        name = places[done].at if kind == "change" else places[done]
        own = state.node(name).facts.number
        for number in sorted(sets):
            names = sorted(post.split(":")[0] for _, post in sets[number])
            is_first = kind == "put" and bounds.is_first
            need = (fast_quorum_size if is_first else majority_size)(members=dict(sets[number]))
            least = 1 if state.returns < bounds.returns else need
            for size in range(least, need + 1) if number >= own else ():
                for chosen in combinations(names, size):
                    yield f"begin {kind}{done + 1}@{name} {number} {' '.join(chosen)}"


def _words_of_phase(*, state: State, bounds: Bounds, op: str, phase: str, need: int) -> Iterator[str]:
    """Deliver the requests of a round to a smallest set that ends it, or to a part; a vote may end with a torn sync."""
    bodies = {
        MESSAGES[request][1]: MESSAGES[request][2] for request in state.requests if MESSAGES[request][2]["op"] == op
    }
    names = sorted(name for name, body in bodies.items() if body["kind"] == phase)
    is_vote = phase == "accept"
    least = 1 if is_vote or state.returns < bounds.returns else need
    for size in range(max(1, least), min(max(need, 1), len(names)) + 1):
        for chosen in combinations(names, size):
            yield f"{'vote' if is_vote else phase} {op} {' '.join(chosen)}"
            if is_vote and size == need:
                yield f"decide {op} {' '.join(chosen)}"
            for torn in chosen:
                if torn in bounds.crashes and torn not in state.crashed:
                    others = [one for one in chosen if one != torn]
                    yield f"{'vote' if is_vote else phase} {op} {' '.join([*others, torn + '!'])}"


def _words_of_copy(*, state: State, node: Node, numbers: list[int]) -> Iterator[str]:
    """Copy from a smallest set that is enough, under any set of voters that has this node in it."""
    for number in numbers:
        members = next(dict(one.facts.members) for one in state.nodes if one.facts.number == number)
        if node.facts.identity not in members or number < node.facts.number:
            continue
        if number == node.facts.number and node.facts.is_voting:
            continue
        old = _sources(state=state, node=node, number=number)
        for size in range(1 if old else 0, majority_size(members=dict.fromkeys(old)) + 1):
            for chosen in combinations(old, size):
                yield f"copy {node.name} {number} {' '.join(chosen)}"


def _sources(*, state: State, node: Node, number: int) -> list[str]:
    """Who may be copied from under a set: its other members, and those of the set before."""
    said = json.loads(next(one.facts.told for one in state.nodes if one.facts.number == number)["value"]["text"])
    posts = {*said["members"].values(), *said.get("before", said)["members"].values()} - {node.post}
    return sorted(post.split(":")[0] for post in posts)


def _begin(state: State, bounds: Bounds, op: str, number: str, *names: str) -> State | None:
    kind, name = op.split("@", maxsplit=1)[0].rstrip("0123456789"), op.split("@")[1]
    state = _learn(state=state, name=name, number=int(number))
    at = KINDS.index(kind)
    begun = tuple(done + (index == at) for index, done in enumerate(state.begun))
    confirmed = max((one for one, _ in state.confirmed), default=0)
    if kind == "put":
        start = StartOperation(
            op=op, register=DATA, expected=confirmed, text=op, use_first_ballot=bounds.is_first, timeout=NEVER
        )
    elif kind == "read":
        start = StartOperation(op=op, register=DATA, timeout=NEVER)
        state = state.but(wanted=(*state.wanted, (op, confirmed)))
    else:
        text = text_of(state=state, change=bounds.changes[state.begun[at]])
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
    state = _after(state=state.but(begun=begun), stepped=act(node=node, word=repr(start), call=call))
    phase = next((phase for one, phase, _ in state.node(name).facts.live if one == op), "")
    return _deliver(state=state, bounds=bounds, op=op, phase=phase, names=names)


def _prepare(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    return _deliver(state=state, bounds=bounds, op=op, phase="prepare", names=names)


def _read(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    return _deliver(state=state, bounds=bounds, op=op, phase="read", names=names)


def _vote(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    """Voters vote, and the proposer does not hear of it yet."""
    after = _deliver(state=state, bounds=bounds, op=op, phase="accept", names=names)
    return None if after is None else after.but(has_voted=True)


def _decide(state: State, bounds: Bounds, op: str, *names: str) -> State | None:
    """A majority votes, and the proposer learns it."""
    after = _vote(state, bounds, op, *names)
    return None if after is None else _count(after, bounds, op)


def _deliver(*, state: State, bounds: Bounds, op: str, phase: str, names: tuple[str, ...]) -> State | None:
    for name in names:
        to, is_torn = name.rstrip("!"), name.endswith("!")
        found = [
            one
            for one in state.requests
            if MESSAGES[one][2]["op"] == op and MESSAGES[one][2]["kind"] == phase and MESSAGES[one][1] == to
        ]
        if not found:
            return None
        message = max(found, key=lambda one: MESSAGES[one][2].get("ballot", []))
        left = tuple(request for request in state.requests if request != message)
        delivered = tuple(sorted({*state.delivered, message})) if bounds.doubles else ()
        after = _hand_over(state=state.but(requests=left, delivered=delivered), message=message, is_torn=is_torn)
        if after is None:
            return None
        state = after
    return state


def _hand_over(*, state: State, message: str, is_torn: bool) -> State | None:
    """Let a voter judge a request under the voters that it names; torn: it crashes before its disk has synced."""
    sender, to, body = MESSAGES[message]
    state = _learn(state=state, name=to, number=body["voters"])
    node = state.node(to)
    stepped = receive(node=node, sender=sender, word=message, body=body, is_synced=not is_torn)
    is_refused = any(row.body["kind"] == "nack" and row.body["reason"] != "promised" for row in stepped.sent)
    if is_refused or (not stepped.sent and stepped.node.key == node.key):
        return None
    state = _after(state=state, stepped=stepped)
    return _restart(state=state, name=to, is_wiped=False, disk=node.disk) if is_torn else state


def _count(state: State, bounds: Bounds, op: str) -> State | None:
    """All votes for an operation reach its proposer."""
    votes = [one for one in state.votes if MESSAGES[one][2]["op"] == op]
    state = state.but(votes=tuple(one for one in state.votes if one not in votes))
    for vote in votes:
        sender, to, body = MESSAGES[vote]
        state = _after(state=state, stepped=receive(node=state.node(to), sender=sender, word=vote, body=body))
    return state


def _retry(state: State, bounds: Bounds, op: str) -> State | None:
    """The alarm of an operation: a new round, under the voters that are known now."""

    def call(controller: Controller) -> list:
        commands, _ = controller.proposer.step(now=NEVER / 2, voters=controller.voters, event=None)
        return commands

    stepped = act(node=state.node(op.split("@")[1]), word="retry", call=call)
    return _after(state=state.but(retries=state.retries + 1), stepped=stepped)


def _copy(state: State, bounds: Bounds, name: str, number: str, *sources: str) -> State | None:
    """A newcomer copies from these voters, and may act; None if that was not enough, or more than enough."""
    state = _learn(state=state, name=name, number=int(number))
    if not sources:
        state = state.put(_ask(state=state, name=name).node)
    for source in sources:
        if state.node(name).facts.is_voting:
            return None
        state = _copy_from(state=state, name=name, source=source)
    return state if state.node(name).facts.is_voting else None


def _ask(*, state: State, name: str) -> Stepped:
    def ask(controller: Controller) -> list:
        return controller.membership._step_copy(now=0.0, event=None)

    return act(node=state.node(name), word="ask", call=ask)


def _copy_from(*, state: State, name: str, source: str) -> State:
    asked = _ask(state=state, name=name)
    state = state.put(asked.node)
    line = [(name, one) for one in asked.sent if one.to == f"{source}:1"]
    while line:
        sender, deliver = line.pop(0)
        to = deliver.to.split(":")[0]
        stepped = receive(node=state.node(to), sender=sender, word=repr(deliver.body), body=deliver.body)
        state = _after(state=state, stepped=stepped)
        line += [(to, row) for row in stepped.sent if row.body["kind"] in ("copy", "copied")]
    return state


def _learn(*, state: State, name: str, number: int) -> State:
    """A node that is behind hears of a set of voters, if anyone knows it."""
    teller = next((node for node in state.nodes if node.facts.number == number), None)
    if teller is None or state.node(name).facts.number >= number:
        return state
    body = teller.facts.told
    return _after(
        state=state, stepped=receive(node=state.node(name), sender=teller.name, word=f"chosen {number}", body=body)
    )


def _restart(*, state: State, name: str, is_wiped: bool, disk: tuple | None = None) -> State:
    node = state.node(name)
    kept = () if is_wiped else node.disk if disk is None else disk
    state = state.put(boot(name=name, starts=node.starts + 1, disk=kept))
    return state.but(wiped=state.wiped | {name}) if is_wiped else state.but(crashed=state.crashed | {name})


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


def _after(*, state: State, stepped: Stepped) -> State:
    """Fold what a step did: its node, its messages, and what its proposer settled."""
    state = state.put(stepped.node)
    for operation in stepped.finished:
        state = note_outcome(state=state, op=operation.op, register=operation.register, outcome=operation.outcome)
    requests, votes, answers = set(state.requests), set(state.votes), []
    for deliver in stepped.sent:
        to, kind = deliver.to.split(":")[0], deliver.body["kind"]
        if kind in ("promise", "told", "nack"):
            answers.append((to, deliver.body))
        elif kind == "voted":
            votes.add(_name(sender=stepped.node.name, to=to, body=deliver.body))
        elif kind in ("prepare", "accept", "read", "first"):
            requests.add(_name(sender=stepped.node.name, to=to, body=deliver.body))
    state = state.but(requests=tuple(sorted(requests)), votes=tuple(sorted(votes)))
    for to, body in answers:
        heard = receive(node=state.node(to), sender=stepped.node.name, word=repr(body), body=body)
        state = _after(state=state, stepped=heard)
    return state


def _name(*, sender: str, to: str, body: dict) -> str:
    ballot = body.get("ballot", [0, ""])
    mark = body["value"]["mark"] if "value" in body else ""
    name = f"{body['op']}>{to}/{body['kind']}/{body.get('voters', '')}/{ballot[0]}.{ballot[1]}/{mark}/{sender}"
    MESSAGES[name] = (sender, to, body)
    return name


def _tidy(*, state: State, bounds: Bounds) -> State:
    """Leave out what can have no effect any more, so that equal states look equal."""
    known = {node.name: node.facts.number for node in state.nodes}
    live = {(op, phase) for node in state.nodes for op, phase, _ in node.facts.live}
    lost = state.left if state.returns == bounds.returns else frozenset()
    known = dict.fromkeys(known, 0) if bounds.keeps_old else known
    requests = tuple(one for one in state.requests if _matters(request=one, known=known, live=live, lost=lost))
    votes = tuple(
        vote
        for vote in state.votes
        if {(MESSAGES[vote][2]["op"], phase) for phase in ("accept", "first")} & live
        and MESSAGES[vote][2]["op"] not in lost
    )
    delivered = tuple(one for one in state.delivered if MESSAGES[one][2]["voters"] >= known[MESSAGES[one][1]])
    threads = {MESSAGES[request][2]["op"] for request in (*requests, *votes)}
    left = frozenset(one for one in state.left if one in threads or one.startswith("copy"))
    return state.but(requests=requests, votes=votes, delivered=delivered, left=left)


def _matters(*, request: str, known: dict, live: set, lost: frozenset) -> bool:
    _, to, body = MESSAGES[request]
    if body["voters"] < known[to] or body["op"] in lost:
        return False
    # a late vote may still count; a late promise only forbids
    return body["kind"] in ("accept", "first") or (body["op"], body["kind"]) in live
