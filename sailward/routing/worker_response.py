"""Checks by connection state and headers that a response is complete, from the intended worker, to this request."""

from __future__ import annotations

from dataclasses import dataclass

from sailward.events import CallFinished
from sailward.routing.request import Request
from sailward.wire_names import WireNames, has_other_exchange_id

NOT_RUN_CODES = frozenset({408, 421, 429, 503})
"""Status codes that tell a client that the request did not run and never will."""


@dataclass(frozen=True, kw_only=True)
class CompleteResponse:
    """A complete response that may be returned to the client. `is_failure`: another worker may succeed."""

    code: int
    headers: dict
    body: bytes
    is_failure: bool


@dataclass(frozen=True, kw_only=True)
class WorkerRejected:
    """The worker states that it did not run the request.

    `why` is `full`, `stranger` (another worker than the intended one), `unidentified` (it may be another one, or the
    intended one, which does not hold the request's key), `not-owner` or `refused`.
    """

    code: int
    why: str


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request was sent."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Broken:
    """No response that may be returned to the client; the request may have run."""

    reason: str


def judge_reply(
    *, request: Request, worker: str, event: CallFinished, names: WireNames
) -> CompleteResponse | WorkerRejected | NotSent | Broken:
    """Judge the outcome of one attempt."""
    if event.code == 0:
        return Broken(reason=event.fault) if event.sent else NotSent(reason=event.fault)
    headers = event.headers
    if has_other_exchange_id(request_id=request.exchange_id, response_id=headers.get(names.exchange_id, "")):
        return Broken(reason="another-exchange")
    if names.not_run in headers and names.not_run_value in ("", headers[names.not_run]):
        if event.code == 421:
            answered_by = headers.get(names.answered_by)
            return WorkerRejected(
                code=421, why=_why_misdirected(request=request, worker=worker, answered_by=answered_by)
            )
        return WorkerRejected(code=event.code, why="full" if event.code in (429, 503) else "refused")
    if event.code == 421 and headers.get(names.answered_by, worker) != worker:
        return WorkerRejected(code=421, why="stranger")
    if headers.get(names.exchange_id, "") != request.exchange_id:
        # the response names no request: only the statement that nothing ran is accepted without that
        return Broken(reason="another-exchange")
    if 200 <= event.code < 300 and names.response_marker and names.response_marker not in headers:
        return Broken(reason="unsealed")
    if event.code in NOT_RUN_CODES:
        # without the not-run header the worker makes no such promise, so the proxy must not make it either
        return Broken(reason=f"code:{event.code}")
    return CompleteResponse(code=event.code, headers=headers, body=event.body, is_failure=event.code >= 500)


def _why_misdirected(*, request: Request, worker: str, answered_by: str | None) -> str:
    """Why a worker that says that the request is not for it says so, by the identity that it gives, if any.

    Only that identity is final. Whether its service is sharded is the operators' word, and may change or be wrong.
    """
    if answered_by is None:
        return "not-owner" if request.service.is_ranged else "unidentified"
    return "not-owner" if answered_by == worker else "stranger"
