"""Operators' calls and their outcomes, independent of the API's format; and the native JSON API."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Protocol

from sailward import constants
from sailward.config.check import Fault, InvalidConfig, read_config
from sailward.config.patch import merge_patch
from sailward.events import RequestReceived, Respond
from sailward.routing.proxied_request import answer_json
from sailward.wire_types import RegisterValue

CONFIG_KINDS = ("put", "patch")


@dataclass(frozen=True, kw_only=True)
class Order:
    """One call of an operator.

    `kind`: get, put, patch, empty, refill, join or part. `argument`: the configuration or patch, the zone, or the
    controller. `expected`: the number (in a labelled dialect: the label) that must be current; None for any. `digest`:
    identifies a labelled change; it is the same when the change is sent again.
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
    """The outcome of a call.

    `kind`: accepted, sound (a dry run), shown, refused (permanently), unavailable (nothing was changed) or unknown.
    `code` and `reason` are those of the native API. `value`: the register's value to show. `extra`: further fields of
    the answer's body.
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
    """An operators' API. In a labelled dialect, each configuration has a growing version that operators choose.

    A labelled dialect's register holds the configuration as written, its label, and the history of the changes that led
    to it; the full form is derived from these.
    """

    is_labelled: bool

    def read(self, *, event: RequestReceived) -> Order | Outcome | None:
        """Decode a call; an Outcome if it is refused at once; None if it does not belong to this dialect."""

    def answer(self, *, token: str, order: Order | None, outcome: Outcome) -> Respond:
        """Encode the answer in the dialect's format."""

    def merge(self, *, written: dict, patch: dict) -> dict | InvalidConfig:
        """A configuration with a patch applied."""

    def expand(self, *, written: dict) -> dict | InvalidConfig:
        """The configuration in the native form, as input of the native check."""

    def label(self, *, written: dict) -> int:
        """The version in a configuration."""


class NativeDialect:
    """The native JSON API."""

    is_labelled = False

    def read(self, *, event: RequestReceived) -> Order | Outcome | None:
        """Decode a call; unknown calls are refused."""
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
        """Encode the answer as JSON."""
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
        """Apply a JSON merge patch."""
        return merge_patch(target=written, patch=patch)

    def expand(self, *, written: dict) -> dict | InvalidConfig:
        """The configuration itself: it is in the native form already."""
        return written

    def label(self, *, written: dict) -> int:
        """The operators' own version in a configuration, 0 if there is none."""
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


@dataclass(frozen=True, kw_only=True)
class TranslatedChange:
    """A change applied to the current configuration: as written, and in the native form as input of the check."""

    written: dict
    full: dict


@dataclass(frozen=True, kw_only=True)
class Untranslatable:
    """Why this version can't translate a call; nothing that an operator sends may end the process that reads it."""

    reason: str

    def as_invalid(self) -> InvalidConfig:
        """The faults of a configuration that can't be translated."""
        return InvalidConfig(faults=(Fault(path="", reason=f"can't be read: {self.reason}"),))


def read_call(*, dialect: Dialect, event: RequestReceived) -> Order | Outcome | Untranslatable | None:
    """Decode a call, like the dialect's `read`; never raises, whatever the call holds."""
    try:
        return dialect.read(event=event)
    except Exception as fault:  # noqa: BLE001 - external input of any shape
        return _untranslatable(fault=fault)


def translate_change(
    *, dialect: Dialect, order: Order, current: dict
) -> TranslatedChange | InvalidConfig | Untranslatable:
    """Apply a change to the `current` configuration as written; never raises, whatever the change holds."""
    try:
        written = order.argument
        if order.kind == "patch":
            written = dialect.merge(written=current, patch=written)
        full = written if isinstance(written, InvalidConfig) else dialect.expand(written=written)
    except Exception as fault:  # noqa: BLE001 - external input of any shape
        return _untranslatable(fault=fault)
    return full if isinstance(full, InvalidConfig) else TranslatedChange(written=written, full=full)


def _untranslatable(*, fault: Exception) -> Untranslatable:
    return Untranslatable(reason=f"{type(fault).__name__}: {fault}"[: constants.MAX_REFUSAL_REASON_LENGTH])


def refuse_invalid(*, invalid: InvalidConfig) -> Outcome:
    """Refuse a configuration that has faults."""
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
