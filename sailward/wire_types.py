"""What a register holds, and the order of the attempts to change it, as they stand in messages and records."""

from __future__ import annotations

from typing import Any, TypeAlias, TypedDict


class RegisterValue(TypedDict):
    """A register's value: the number of its changes, the id of the last one, ids of those before it, and its text."""

    number: int
    mark: str
    trail: list[str]
    text: str


Ballot: TypeAlias = list[Any]
"""[round, proposer]: the order of attempts on one register. A list, as it stands so in messages and records."""
Message: TypeAlias = dict[str, Any]
"""The fields of a message between daemons by name, as `check_message` lets them through; `kind` says which it is."""
Record: TypeAlias = dict[str, Any]
"""The fields of a record on the disk by name; `k` says which it is."""
PeerEntry: TypeAlias = dict[str, Any]
"""What a daemon says of itself in gossip, by the names of `ENTRY_FIELDS` in `discovery/peer_table.py`."""
