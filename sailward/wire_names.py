"""Names of the headers that carry information about an exchange.

sailward's own names are the default; an adapter may hand in those of its platform.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class WireNames:
    """Header names, all in lower case.

    - exchange_id: the id of the exchange, echoed by the worker's answer
    - time_budget: the ms left for the exchange
    - expected_worker: the identity that the worker must have
    - answered_by: the identity of the worker that answered
    - not_run: with `not_run_value` ("" for any value), it says that the worker did not run the exchange
    - slow_start: the s for which the worker is still cold
    - shard_key: the key of a sharded service
    - handover: the hand-over of a shard
    - response_marker: a header that every complete answer of a worker has ("" for none)
    """

    exchange_id: str = "sailward-exchange"
    time_budget: str = "sailward-within"
    expected_worker: str = "sailward-worker"
    answered_by: str = "sailward-worker"
    not_run: str = "sailward-ran"
    not_run_value: str = "not-run"
    slow_start: str = "sailward-cold"
    shard_key: str = "sailward-key"
    handover: str = "sailward-handover"
    response_marker: str = ""


def has_other_exchange_id(*, request_id: str, response_id: str) -> bool:
    """Whether an answer carries the id of a request other than the one that it was received for.

    A request without an id (a health probe, a grant) takes only answers without one.
    """
    return response_id not in ("", request_id)
