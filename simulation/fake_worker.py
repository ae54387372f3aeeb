"""The behaviour of a fake worker, shared by the simulator and by the worker process of real fleets."""

from __future__ import annotations

import base64
import hashlib
import json
import random
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Reply:
    """The answer. `sent_bytes`: the body is truncated to so many; `did_run`: the request was executed."""

    code: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    sent_bytes: int | None = None
    is_connection_closed: bool = False
    did_run: bool = False


@dataclass(kw_only=True)
class FakeWorker:
    """One worker. `mode` is its current fault, which affects each request with probability `chance`.

    `terms` are the newest terms seen, by slot.
    """

    name: str
    generation: int
    service: str
    zone: str
    rng: random.Random
    mode: str = "well"
    chance: float = 1.0
    runs: int = 0
    started_at: float = 0.0
    terms: dict = field(default_factory=dict)
    ignores_identity: bool = False

    @property
    def key(self) -> str:
        """The identity of this start of the worker."""
        return f"{self.name}/{self.generation}"

    def step(self, *, method: str, path: str, headers: dict) -> Reply:
        """Answer one request."""
        answer_headers = {"sailward-worker": self.key}
        if path == "/status":
            return Reply(code=503 if self.mode == "unwell" else 200, headers=answer_headers, body=b"{}")
        intended_worker = headers.get("sailward-worker", self.key)
        if intended_worker != self.key and not self.ignores_identity:
            return Reply(code=503, headers={**answer_headers, "sailward-ran": "not-run"}, body=b"{}")
        is_faulty = self.mode != "well" and self.rng.random() < self.chance
        answer_headers["sailward-exchange"] = headers.get("sailward-exchange", "")
        if is_faulty and self.mode == "lose-unrun":
            return Reply(is_connection_closed=True)
        if (is_faulty and self.mode == "refuse") or not self._accepts_term(headers=headers):
            return Reply(code=503, headers={**answer_headers, "sailward-ran": "not-run"}, body=b"{}")
        self.runs += 1
        return self._answer(
            method=method, headers=headers, answer_headers=answer_headers, mode=self.mode if is_faulty else "well"
        )

    def _accepts_term(self, *, headers: dict) -> bool:
        """Whether the request has no slot, or a term at least as new as any seen for its slot."""
        if "sailward-slot" not in headers:
            return True
        slot, term = headers["sailward-slot"], int(headers["sailward-term"])
        if term < self.terms.get(slot, 0):
            return False
        self.terms[slot] = term
        return True

    def _answer(self, *, method: str, headers: dict, answer_headers: dict, mode: str) -> Reply:
        """The answer to an executed request; `answer_headers` are those of every answer."""
        if mode == "lose":
            return Reply(is_connection_closed=True, did_run=True)
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
        answer_headers |= {
            "content-type": "application/json",
            "content-digest": f"sha-256=:{digest}:",
            "content-length": str(len(body)),
        }
        if mode == "wrong-bytes":
            return Reply(headers=answer_headers, body=body[:-9] + b"#" + body[-8:], did_run=True)
        if mode == "cut":
            return Reply(headers=answer_headers, body=body, sent_bytes=len(body) // 2, did_run=True)
        if mode == "other-exchange":
            return Reply(headers={**answer_headers, "sailward-exchange": "someone-else"}, body=body, did_run=True)
        if mode == "error":
            return Reply(code=500, headers=answer_headers, body=body, did_run=True)
        return Reply(headers=answer_headers, body=body, did_run=True)


def judge_body(*, code: int, body: bytes, nonce: str, path: str) -> str:
    """A caller's verdict on a result: "good" or the error; "" for a refusal."""
    if code >= 400:
        return ""
    try:
        result = json.loads(body)
    except ValueError:
        return "not-json"
    if not isinstance(result, dict) or result.get("nonce") != nonce or result.get("service") != path.strip("/"):
        return "not-mine"
    return "good"
