"""Is a worker's answer whole, its own, and this request's? By what the edge and the headers tell."""

from __future__ import annotations

from dataclasses import dataclass

from sailward.events import CallFinished
from sailward.routing.request import Request
from sailward.wire_names import WireNames, has_other_exchange_id

PROMISES = frozenset({408, 421, 429, 503})
"""Codes that tell a caller: it did not run and never will."""


@dataclass(frozen=True, kw_only=True)
class CompleteResponse:
    """The worker's own answer, whole; it may be given to the caller. `is_failure`: another worker may do better."""

    code: int
    headers: dict
    body: bytes
    is_failure: bool


@dataclass(frozen=True, kw_only=True)
class WorkerRejected:
    """The worker says that it did not run it.

    `full`, `stranger` (not the worker that was meant), `not-owner`, `refused`.
    """

    code: int
    why: str


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of it left."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Broken:
    """Nothing that may be given to a caller; it may have run."""

    reason: str


def judge_reply(
    *, request: Request, worker: str, event: CallFinished, names: WireNames
) -> CompleteResponse | WorkerRejected | NotSent | Broken:
    """Judge the end of one sending-on."""
    if event.code == 0:
        return Broken(reason=event.fault) if event.sent else NotSent(reason=event.fault)
    headers = event.headers
    if has_other_exchange_id(request_id=request.name, response_id=headers.get(names.exchange_id, "")):
        return Broken(reason="another-exchange")
    if names.not_run in headers and names.not_run_value in ("", headers[names.not_run]):
        if event.code == 421:
            is_other = headers.get(names.answered_by, worker) != worker
            return WorkerRejected(
                code=421, why="stranger" if is_other or not request.service.is_ranged else "not-owner"
            )
        return WorkerRejected(code=event.code, why="full" if event.code in (429, 503) else "refused")
    if event.code == 421 and headers.get(names.answered_by, worker) != worker:
        return WorkerRejected(code=421, why="stranger")
    if headers.get(names.exchange_id, "") != request.name:
        # it names no request: only what says that nothing ran is believed without that
        return Broken(reason="another-exchange")
    if 200 <= event.code < 300 and names.response_marker and names.response_marker not in headers:
        return Broken(reason="unsealed")
    if event.code in PROMISES:
        # without its mark the worker promises nothing, so neither may we
        return Broken(reason=f"code:{event.code}")
    return CompleteResponse(code=event.code, headers=headers, body=event.body, is_failure=event.code >= 500)
