"""The worker stand-in's mind: what it does with one exchange. Shared by the simulator and the real process."""

from __future__ import annotations

import base64
import hashlib
import json
import random
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Reply:
    """What goes back. `cut` bytes are sent of the body; `lost` means that the connection just closes."""

    code: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    cut: int | None = None
    lost: bool = False
    ran: bool = False


@dataclass(kw_only=True)
class Mind:
    """One worker. `mode` is its trouble of the moment, met by each exchange with `chance`."""

    name: str
    generation: int
    service: str
    zone: str
    rng: random.Random
    mode: str = "well"
    chance: float = 1.0
    runs: int = 0
    born: float = 0.0
    terms: dict = field(default_factory=dict)
    is_careless: bool = False

    @property
    def key(self) -> str:
        """Its identity."""
        return f"{self.name}/{self.generation}"

    def step(self, *, method: str, path: str, headers: dict) -> Reply:
        """Judge one exchange."""
        own = {"sailward-worker": self.key}
        if path == "/status":
            return Reply(code=503 if self.mode == "unwell" else 200, headers=own, body=b"{}")
        meant = headers.get("sailward-worker", self.key)
        if meant != self.key and not self.is_careless:
            return Reply(code=503, headers={**own, "sailward-ran": "not-run"}, body=b"{}")
        troubled = self.mode != "well" and self.rng.random() < self.chance
        own["sailward-exchange"] = headers.get("sailward-exchange", "")
        if troubled and self.mode == "lose-unrun":
            return Reply(lost=True)
        if (troubled and self.mode == "refuse") or not self._takes_term(headers=headers):
            return Reply(code=503, headers={**own, "sailward-ran": "not-run"}, body=b"{}")
        self.runs += 1
        return self._answer(method=method, headers=headers, own=own, mode=self.mode if troubled else "well")

    def _takes_term(self, *, headers: dict) -> bool:
        """Is the request of no slot, or of no older term than one that was seen before?"""
        if "sailward-slot" not in headers:
            return True
        slot, term = headers["sailward-slot"], int(headers["sailward-term"])
        if term < self.terms.get(slot, 0):
            return False
        self.terms[slot] = term
        return True

    def _answer(self, *, method: str, headers: dict, own: dict, mode: str) -> Reply:
        """The answer to a request that was run; `own` are the headers that every answer has."""
        if mode == "lose":
            return Reply(lost=True, ran=True)
        body = json.dumps(
            {
                "worker": self.key,
                "hall": self.zone,
                "service": self.service,
                "nonce": headers.get("x-caller", ""),
                "method": method,
            }
        ).encode()
        digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
        own |= {
            "content-type": "application/json",
            "content-digest": f"sha-256=:{digest}:",
            "content-length": str(len(body)),
        }
        if mode == "wrong-bytes":
            return Reply(headers=own, body=body[:-9] + b"#" + body[-8:], ran=True)
        if mode == "cut":
            return Reply(headers=own, body=body, cut=len(body) // 2, ran=True)
        if mode == "other-exchange":
            return Reply(headers={**own, "sailward-exchange": "someone-else"}, body=body, ran=True)
        if mode == "error":
            return Reply(code=500, headers=own, body=body, ran=True)
        return Reply(headers=own, body=body, ran=True)


def judge_body(*, code: int, body: bytes, nonce: str, path: str) -> str:
    """What a caller makes of a result: good, or what is wrong with it."""
    if code >= 400:
        return ""
    try:
        seen = json.loads(body)
    except ValueError:
        return "not-json"
    if not isinstance(seen, dict) or seen.get("nonce") != nonce or seen.get("service") != path.strip("/"):
        return "not-mine"
    return "good"
