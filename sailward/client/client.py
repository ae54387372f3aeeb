"""HTTP client of the controllers: uses the first controller that answers."""

from __future__ import annotations

import io
import json
from dataclasses import dataclass, field

import pycurl

from sailward import constants


@dataclass(frozen=True, kw_only=True)
class Reply:
    """The answer of a controller."""

    code: int
    body: dict
    controller: str


@dataclass(frozen=True, kw_only=True)
class Unreachable:
    """No controller answered. `sent`: the request may have reached one."""

    reasons: tuple
    sent: bool


@dataclass(kw_only=True)
class Client:
    """Tries the controllers in turn."""

    controllers: list
    headers: dict = field(default_factory=dict)

    def step(self, *, method: str, path: str, body: bytes = b"", headers: dict | None = None) -> Reply | Unreachable:
        """Send one request. A change that may have reached a controller is not sent to another."""
        reasons: list[str] = []
        for controller in self.controllers:
            reply = send_request(address=controller, method=method, path=path, body=body, headers=headers or {})
            if isinstance(reply, Reply):
                return reply
            reasons += reply.reasons
            if reply.sent and method != "GET":
                return Unreachable(reasons=tuple(reasons), sent=True)
        return Unreachable(reasons=tuple(reasons), sent=False)


def send_request(
    *, address: str, method: str, path: str, body: bytes = b"", headers: dict | None = None
) -> Reply | Unreachable:
    """Send one request to one daemon."""
    handle, output = pycurl.Curl(), io.BytesIO()
    handle.setopt(pycurl.URL, f"http://{address}{path}")
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(constants.CONNECT_TIMEOUT * 2000))
    handle.setopt(pycurl.TIMEOUT_MS, int(constants.SAILCTL_TIMEOUT * 1000))
    header_lines = [f"{name}: {value}" for name, value in (headers or {}).items()]
    handle.setopt(pycurl.HTTPHEADER, ["Expect:", "Content-Type: application/json", *header_lines])
    if method != "GET":
        handle.setopt(pycurl.POSTFIELDS, body)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.WRITEDATA, output)
    try:
        handle.perform()
    except pycurl.error as fault:
        return Unreachable(reasons=(f"{address}: {fault.args[1]}",), sent=fault.args[0] != pycurl.E_COULDNT_CONNECT)
    code = handle.getinfo(pycurl.RESPONSE_CODE)
    try:
        answer = json.loads(output.getvalue())
    except ValueError:
        return Unreachable(reasons=(f"{address}: not a sailward daemon",), sent=True)
    return Reply(code=code, body=answer, controller=address)
