"""Names of the headers that say things about an exchange.

The product's own by default, a platform's if it hands in others.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class WireNames:
    """Header names, all in lower case.

    exchange_id: the exchange's id, echoed by a worker's answer. time_budget: ms left. expected_worker: the identity
    that the worker must have. answered_by: the identity that a health answer tells. not_run: says with `not_run_value`
    ("" for any value) that the worker did not run the exchange. slow_start: s that the worker is still cold. shard_key:
    the key of a divided service. handover: a part's hand-over. response_marker: a header that every whole answer of a
    worker has ("" for none).
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
    """Whether an answer bears the id of another request than the one it would be given to.

    A request without an id (a health probe, a grant) takes only answers without one.
    """
    return response_id not in ("", request_id)
