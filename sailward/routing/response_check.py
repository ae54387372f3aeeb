"""Checks that a response is complete, from the intended worker, and to this request."""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import dataclass

from sailward.events import CallFinished
from sailward.routing.proxied_request import HOP_BY_HOP, ProxiedRequest


@dataclass(frozen=True, kw_only=True)
class Good:
    """A complete response of the intended worker."""

    code: int
    headers: dict
    body: bytes


@dataclass(frozen=True, kw_only=True)
class WorkerRefused:
    """The worker states that it did not run the request."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Unsent:
    """No byte of the request left this process."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Bad:
    """No response that may be returned to the client; the request may have run."""

    reason: str
    is_stranger: bool = False


def judge_result(*, request: ProxiedRequest, event: CallFinished) -> Good | WorkerRefused | Unsent | Bad:
    """Judge the outcome of one attempt."""
    if event.code == 0:
        return Bad(reason=event.fault) if event.sent else Unsent(reason=event.fault)
    headers = event.headers
    if headers.get("sailward-worker") != request.worker:
        return Bad(reason="another-worker", is_stranger=True)
    if headers.get("sailward-exchange") != request.exchange_id:
        return Bad(reason="another-exchange")
    if event.code in (429, 503) and headers.get("sailward-ran") == "not-run":
        return WorkerRefused(reason=f"code:{event.code}")
    fault = _find_fault(request=request, event=event)
    if fault:
        return Bad(reason=fault)
    end_to_end_headers = {
        name: value for name, value in headers.items() if name not in HOP_BY_HOP and not name.startswith("sailward-")
    }
    return Good(code=event.code, headers=end_to_end_headers, body=event.body)


def _find_fault(*, request: ProxiedRequest, event: CallFinished) -> str:
    headers, body = event.headers, event.body
    if event.code < 200:
        return "code"
    if request.method == "HEAD" or event.code in (204, 304):
        return ""
    if "content-length" not in headers and headers.get("transfer-encoding", "").lower() != "chunked":
        return "unframed"
    if "content-length" in headers and headers["content-length"] != str(len(body)):
        return "cut-short"
    if len(body) > request.service.result_bytes:
        return "too-large"
    digest = headers.get("content-digest", "")
    if digest or request.service.requires_digest:
        expected = "sha-256=:" + base64.b64encode(hashlib.sha256(body).digest()).decode() + ":"
        if expected not in [part.strip() for part in digest.split(",")]:
            return "wrong-bytes"
    if headers.get("content-type", "").split(";")[0].strip() == "application/json":
        try:
            json.loads(body)
        except ValueError:
            return "not-json"
    return ""
