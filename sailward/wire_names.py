"""Names of the headers that say things about an exchange.

The product's own by default, a platform's if it hands in others.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class WireNames:
    """Header names, all in lower case.

    exchange: the exchange's id, echoed by a worker's answer. within: ms left. expect: the identity that the worker must
    have. told: the identity that a health answer tells. not_run: says with `not_run_value` ("" for any value) that the
    worker did not run the exchange. cold: s that the worker is still cold. part: the key of a divided service.
    handover: a part's hand-over. seal: a header that every whole answer of a worker has ("" for none).
    """

    exchange: str = "sailward-exchange"
    within: str = "sailward-within"
    expect: str = "sailward-worker"
    answered_by: str = "sailward-worker"
    not_run: str = "sailward-ran"
    not_run_value: str = "not-run"
    slow_start: str = "sailward-cold"
    part: str = "sailward-key"
    handover: str = "sailward-handover"
    seal: str = ""


def names_another(*, asked: str, echoed: str) -> bool:
    """Whether an answer bears the id of another request than the one it would be given to.

    A request without an id (a health probe, a grant) takes only answers without one.
    """
    return echoed not in ("", asked)
