"""The words of the calls that grant key ranges to workers; a platform's adapter sets them."""

from __future__ import annotations

from typing import Protocol


class GrantCodec(Protocol):
    """The words of the calls, which an adapter sets. A call is (method, path, headers, body)."""

    def grant(
        self, *, start: int, end: int, fencing_token: int, hold: float, handover: str, owner: str
    ) -> tuple[str, str, dict, bytes]:
        """The call that grants the keys from `start` to `end` to `owner` for `hold` s."""

    def release(self, *, start: int, end: int, fencing_token: int, owner: str) -> tuple[str, str, dict, bytes]:
        """The call that takes these keys back."""

    def handover(self, *, headers: dict) -> str:
        """What a worker that released keys hands over to the next owner, or ""."""
