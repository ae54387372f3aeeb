"""Types of register values, ballots, messages and records, in the form in which they are sent and stored."""

from __future__ import annotations

from typing import Any, TypeAlias, TypedDict


class RegisterValue(TypedDict):
    """A register's value: the number of its changes, the id of the last one, the ids of earlier ones, and its text."""

    number: int
    mark: str
    trail: list[str]
    text: str


Ballot: TypeAlias = list[Any]
"""[round, proposer]: the order of attempts on one register. A list, as in messages and records."""
Message: TypeAlias = dict[str, Any]
"""The fields of a message between daemons by name, as `check_message` accepts them; `kind` is the kind of message."""
Record: TypeAlias = dict[str, Any]
"""The fields of a record on the disk by name; `k` is the kind of record."""
PeerEntry: TypeAlias = dict[str, Any]
"""What a daemon reports of itself in gossip, under the names of `ENTRY_FIELDS` in `discovery/peer_table.py`."""
