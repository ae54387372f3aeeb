"""The states that the explorer visits and the bounds of a search.

The following reductions keep the search small without hiding a violation:

- A message that is never delivered is a lost message, so loss needs no action of its own.
- Each operation, and each copy, is a thread of actions. A history may abandon a thread at no cost, which loses its
remaining messages, or leave it and return to it later, which delays them; `Bounds.returns` limits the returns.
- Answers to a prepare or a read reach the proposer together with the delivery: their effect shows only in the
proposer's next messages, and the history decides when these are delivered.
- Votes beyond a majority, or promises short of one, only make it harder to violate agreement: a thread delivers the
requests of a phase to a minimal sufficient set, and votes also to a smaller one.
- A node with an older set of voters learns a newer one just before it takes part under it. Learning it sooner would
only make the node refuse more requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from simulation.model.node import Node, boot, found_group

DATA = "orders"
"""The register that is written and read; any control register would do."""


@dataclass(frozen=True, kw_only=True)
class Change:
    """A change of the voters that one node may start: remove the member `drop`, add the spare node `add`, or both.

    With `is_repair` the product's own repair rule decides: it sees `drop` as lost and `add` as a spare, and what it
    chooses is proposed.
    """

    at: str
    drop: str = ""
    add: str = ""
    is_repair: bool = False


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """What may happen in one history.

    `puts`, `reads` and `changes` name the nodes where operations may start, each kind in its order. `crashes` and
    `wipes` name the nodes that may restart, without or with loss of their disk, each once and in any order. `retries`
    bounds the new rounds, `duplicates` the second deliveries of a request. With `uses_first_ballot`, puts try the
    shared first ballot. With `delivers_outdated`, requests under a set of voters also reach nodes that know a newer
    set; the product must refuse them.
    """

    members: tuple[str, ...]
    spares: tuple[str, ...] = ()
    puts: tuple[str, ...] = ()
    reads: tuple[str, ...] = ()
    changes: tuple[Change, ...] = ()
    retries: int = 0
    returns: int = 0
    crashes: tuple[str, ...] = ()
    wipes: tuple[str, ...] = ()
    duplicates: int = 0
    uses_first_ballot: bool = False
    delivers_outdated: bool = False


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A violated invariant."""

    rule: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class State:
    """All nodes, the messages in flight, and what has been observed so far.

    `requests` and `votes` are names of messages, `begun_counts` the number of operations of each kind so far,
    `left_threads` the threads that were left, `chosen` each value that was observed as chosen, `confirmed` the writes
    that were acknowledged, `read_floors` the least number that each read must return.
    """

    nodes: tuple[Node, ...]
    requests: tuple[str, ...] = ()
    delivered: tuple[str, ...] = ()
    votes: tuple[str, ...] = ()
    begun_counts: tuple[int, int, int] = (0, 0, 0)
    retries: int = 0
    returns: int = 0
    duplicates: int = 0
    crashed: frozenset[str] = frozenset()
    wiped: frozenset[str] = frozenset()
    thread: str = ""
    has_voted: bool = False
    left_threads: frozenset[str] = frozenset()
    chosen: tuple[tuple[str, int, str], ...] = ()
    confirmed: tuple[tuple[int, str], ...] = ()
    read_floors: tuple[tuple[str, int], ...] = ()
    violation: Violation | None = None

    def key(self) -> tuple:
        """The key by which states are compared."""
        return (
            tuple(node.key for node in self.nodes),
            (self.requests, self.delivered, self.votes),
            (self.begun_counts, self.retries, self.returns, self.duplicates),
            (self.crashed, self.wiped, self.thread, self.has_voted, self.left_threads),
            (self.chosen, self.confirmed, self.read_floors),
        )

    def replace(self, **changed: object) -> State:
        """This state with some fields changed; three times as fast as `dataclasses.replace`."""
        after = object.__new__(State)
        after.__dict__.update(self.__dict__)
        after.__dict__.update(changed)
        return after

    def node(self, name: str) -> Node:
        """Finds a node by name."""
        return next(node for node in self.nodes if node.name == name)

    def with_node(self, node: Node) -> State:
        """This state with one node replaced."""
        return self.replace(nodes=tuple(node if other.name == node.name else other for other in self.nodes))


def begin(*, bounds: Bounds) -> State:
    """The initial state: the control group has just been founded."""
    nodes = [boot(name=name, incarnation=1, disk=()) for name in (*bounds.members, *bounds.spares)]
    members = {f"{name}#n1": f"{name}:1" for name in bounds.members}
    return State(
        nodes=tuple(found_group(node=node, members=members) if node.name in bounds.members else node for node in nodes)
    )
