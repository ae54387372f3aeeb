"""The states that the explorer visits and the bounds that it keeps.

What is left out, and why nothing is lost by it:

- A message that is never delivered is a lost one, so loss needs no action of its own.
- Each operation, and each copy, is a thread of actions. A history may leave a thread for good at no cost, which
loses its other messages, or leave it and return to it, which delays them; `Bounds.returns` says how often.
- Answers to a prepare or a read reach the proposer with the delivery: what it does then shows only in its next
messages, and these are delivered when the history says so.
- A vote more than a majority, or a promise less than one, only makes it harder to break agreement: a thread delivers
the requests of a phase to a smallest set that is enough, or votes to a smaller one.
- Who is behind learns the voters just before it takes part under them. To learn them sooner only makes it refuse more.
"""

from __future__ import annotations

from dataclasses import dataclass

from simulation.model.node import Node, boot, found_group

DATA = "orders"
"""The register that is changed and read; any control register would do."""


@dataclass(frozen=True, kw_only=True)
class Change:
    """A change of the voters that one node may begin: `drop` a member, `add` a waiting node, or both.

    With `is_repair` the product's own rule judges: `drop` is lost to it, `add` waits, and what it chooses is proposed.
    """

    at: str
    drop: str = ""
    add: str = ""
    is_repair: bool = False


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """What the explorer may do in one history.

    `puts`, `reads` and `changes` say where operations may begin, each kind in its order. `crashes` and `wipes` name the
    nodes that may lose their memory, or their disk as well, each once and in any order. `retries` are new rounds,
    `doubles` second deliveries of one request. With `is_first`, puts try the shared first ballot. With `keeps_old`,
    requests under a set reach also those that know a newer one: the product refuses them.
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
    """An invariant that does not hold."""

    rule: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class State:
    """All nodes, the messages under way, and what has been seen so far.

    `requests` and `votes` are names of messages, `begun` how many operations of each kind there were, `left` the
    threads that were left, `chosen` each value that was seen to be chosen, `confirmed` what a caller was told, `wanted`
    what each read must give at least.
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
        """What makes two states equal."""
        return (
            tuple(node.key for node in self.nodes),
            (self.requests, self.delivered, self.votes),
            (self.begun_counts, self.retries, self.returns, self.duplicates),
            (self.crashed, self.wiped, self.thread, self.has_voted, self.left_threads),
            (self.chosen, self.confirmed, self.read_floors),
        )

    def replace(self, **changed: object) -> State:
        """This state with some fields changed: `dataclasses.replace`, three times as fast."""
        after = object.__new__(State)
        after.__dict__.update(self.__dict__)
        after.__dict__.update(changed)
        return after

    def node(self, name: str) -> Node:
        """A node by its name."""
        return next(node for node in self.nodes if node.name == name)

    def with_node(self, node: Node) -> State:
        """This state with a node in a new state."""
        return self.replace(nodes=tuple(node if other.name == node.name else other for other in self.nodes))


def begin(*, bounds: Bounds) -> State:
    """The core as it was founded."""
    nodes = [boot(name=name, incarnation=1, disk=()) for name in (*bounds.members, *bounds.spares)]
    members = {f"{name}#n1": f"{name}:1" for name in bounds.members}
    return State(
        nodes=tuple(found_group(node=node, members=members) if node.name in bounds.members else node for node in nodes)
    )
