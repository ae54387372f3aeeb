"""What operators ask and are answered, in the product's terms; and the product's own words for it."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Protocol

from sailward import constants
from sailward.config.check import InvalidConfig, read_config
from sailward.config.patch import merge_patch
from sailward.events import RequestReceived, Respond
from sailward.routing.proxied_request import answer_json
from sailward.wire_types import RegisterValue

CONFIG_KINDS = ("put", "patch")


@dataclass(frozen=True, kw_only=True)
class Order:
    """One operators' call.

    `kind`: get, put, patch, empty, refill, join or part. `expected`: the number, or in a labelled dialect the label,
    that must be current; None for any. `digest`: what tells a labelled change from every other, and is the same when it
    is sent again.
    """

    kind: str
    register: str
    argument: Any = None
    expected: int | None = None
    is_confirmed: bool = False
    is_dry_run: bool = False
    digest: str = ""


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a call ended.

    `kind`: accepted, sound (a dry run), shown, refused (for ever), unavailable (nothing was changed) or unknown. `code`
    and `reason` are the product's; `value` the register's, of what is shown.
    """

    kind: str
    code: int = 200
    reason: str = ""
    detail: str = ""
    number: int | None = None
    value: RegisterValue = field(default_factory=lambda: RegisterValue(number=0, mark="", trail=[], text=""))
    faults: tuple = ()
    extra: dict = field(default_factory=dict)


class Dialect(Protocol):
    """An operators' language. In a labelled one each configuration bears the operators' own growing version.

    A labelled dialect's register holds what was written, its label, and which changes made it; the full form is made of
    it.
    """

    is_labelled: bool

    def read(self, *, event: RequestReceived) -> Order | Outcome | None:
        """What is asked; an Outcome if it is refused at once; None if these are not this dialect's words."""

    def answer(self, *, token: str, order: Order | None, outcome: Outcome) -> Respond:
        """The answer in the operators' words."""

    def merge(self, *, written: dict, patch: dict) -> dict | InvalidConfig:
        """A configuration with a patch laid over it."""

    def expand(self, *, written: dict) -> dict | InvalidConfig:
        """The configuration in the product's form, for the product's check."""

    def label(self, *, written: dict) -> int:
        """The version that a configuration bears."""


class NativeDialect:
    """The product's own JSON."""

    is_labelled = False

    def read(self, *, event: RequestReceived) -> Order | Outcome | None:
        """What is asked; what is not known is refused."""
        if event.body is None:
            return _refused(code=413, reason="too-large", detail=f"at most {constants.MAX_CONFIG_BYTES} bytes")
        parts = event.path.strip("/").split("/")
        if parts == ["config"] and event.method in ("GET", "PUT", "PATCH"):
            return self._read_config(event=event)
        if parts in (["orders"], ["voters"]) and event.method == "GET":
            return Order(kind="get", register=parts[0])
        if len(parts) == 3 and parts[0] == "voters" and parts[2] in ("join", "part") and event.method == "POST":
            return Order(kind=parts[2], register="voters", argument=parts[1])
        if len(parts) == 3 and parts[0] == "halls" and parts[2] in ("empty", "refill") and event.method == "POST":
            return Order(
                kind=parts[2], register="orders", argument=parts[1], is_confirmed=event.query.get("confirm") == "yes"
            )
        return _refused(code=404, reason="unknown", detail=f"{event.method} {event.path}"[:200])

    def answer(self, *, token: str, order: Order | None, outcome: Outcome) -> Respond:
        """The answer as JSON."""
        if outcome.kind == "shown":
            return _show(token=token, register=order.register, value=outcome.value)
        if outcome.kind == "sound":
            return answer_json(
                token=token, code=200, body={"outcome": "sound", "number": outcome.number, **outcome.extra}
            )
        if outcome.kind == "accepted":
            body = {"outcome": "accepted", "number": outcome.number, **outcome.extra}
            return answer_json(token=token, code=200, body=body, headers={"ETag": f'"{outcome.number}"'})
        body = {
            "outcome": "unknown" if outcome.kind == "unknown" else "refused",
            "error": outcome.reason,
            "detail": outcome.detail,
        }
        if outcome.faults:
            body["faults"] = [{"path": fault.path, "reason": fault.reason} for fault in outcome.faults]
        if outcome.number is not None:
            body["number"] = outcome.number
        headers = {"Retry-After": str(constants.RETRY_AFTER)} if outcome.code >= 500 else {}
        return answer_json(token=token, code=outcome.code, headers=headers, body={**body, **outcome.extra})

    def merge(self, *, written: dict, patch: dict) -> dict | InvalidConfig:
        """A JSON merge patch."""
        return merge_patch(target=written, patch=patch)

    def expand(self, *, written: dict) -> dict | InvalidConfig:
        """It is in the product's form."""
        return written

    def label(self, *, written: dict) -> int:
        """The operators' own version, 0 if it bears none."""
        label = written.get("label", 0)
        return label if isinstance(label, int) else 0

    def _read_config(self, *, event: RequestReceived) -> Order | Outcome:
        if event.method == "GET":
            return Order(kind="get", register="config")
        expected = event.headers.get("if-match")
        if expected is not None:
            expected = expected.strip().strip('"')
            if not (expected.isascii() and expected.isdigit() and len(expected) < 16):
                return _refused(code=400, reason="if-match", detail="If-Match is a number in quotes")
        argument = read_config(text=event.body)
        if isinstance(argument, InvalidConfig):
            return refuse_invalid(invalid=argument)
        return Order(
            kind=event.method.lower(),
            register="config",
            argument=argument,
            is_dry_run=event.query.get("dry") == "yes",
            expected=None if expected is None else int(expected),
        )


def refuse_invalid(*, invalid: InvalidConfig) -> Outcome:
    """The refusal of a configuration with faults."""
    return Outcome(
        kind="refused", code=422, reason="invalid", detail=f"{len(invalid.faults)} faults", faults=invalid.faults
    )


def _refused(*, code: int, reason: str, detail: str) -> Outcome:
    return Outcome(kind="refused", code=code, reason=reason, detail=detail)


def _show(*, token: str, register: str, value: RegisterValue) -> Respond:
    inner = json.loads(value["text"]) if value["text"] else {}
    body = (
        {"number": value["number"], "config": inner.get("written")}
        if register == "config"
        else {"number": value["number"], register: inner}
    )
    code = 200 if value["number"] or register == "orders" else 404
    return answer_json(token=token, code=code, body=body, headers={"ETag": f'"{value["number"]}"'})
