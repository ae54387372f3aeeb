"""The format of the calls that grant key ranges to workers, implemented by a platform's adapter."""

from __future__ import annotations

from typing import Protocol


class GrantCodec(Protocol):
    """Encodes the calls, implemented by an adapter. A call is (method, path, headers, body)."""

    def grant(
        self, *, start: int, end: int, fencing_token: int, hold: float, handover: str, owner: str
    ) -> tuple[str, str, dict, bytes]:
        """The call that grants the keys from `start` to `end` to `owner`, which may hold them for `hold` s."""

    def release(self, *, start: int, end: int, fencing_token: int, owner: str) -> tuple[str, str, dict, bytes]:
        """The call that revokes the grant of these keys."""

    def handover(self, *, headers: dict) -> str:
        """The handover data that a worker returns on release, for the next owner, or ""."""
