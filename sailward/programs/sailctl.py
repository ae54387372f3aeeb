"""sailctl: the operators' client of sailward.

Usage:
  sailctl [options] found
  sailctl [options] found-anew CONTROLLER... [--confirm]
  sailctl [options] get
  sailctl [options] put FILE
  sailctl [options] patch FILE
  sailctl [options] check FILE [--offline]
  sailctl [options] explain TENANT METHOD PATH --proxy=ADDRESS
  sailctl [options] empty HALL [--confirm]
  sailctl [options] refill HALL
  sailctl [options] join CONTROLLER
  sailctl [options] part CONTROLLER
  sailctl [options] voters
  sailctl [options] orders
  sailctl [options] status
  sailctl [options] workers
  sailctl (-h | --help | --version)

Options:
  --controllers LIST  IP:port of the controllers' operators' interfaces, with commas
                      [default: 127.0.0.1:7100].
  --if-match N        Change only the configuration that has this number.
  --offline           Check the file alone, not against the fleet as it is.
  --proxy=ADDRESS     IP:port of a proxy, to explain what it would do with an exchange, and why.
  --confirm           Empty the hall though a bound tenant is left without any place; or found the core anew: all
                      voters that are not named are gone for good and stay switched off.
  -h --help           Show this.
  --version           Show the version.

FILE is JSON, or - for standard input. `found` joins the named controllers, all new, into a core; `join` and
`part` take a controller, by name or identity, into the core or out of it, one at a time. `found-anew` goes on with the
named controllers alone when a majority of the core is lost for good.

Exit codes: 0 done; 1 the configuration has faults; 2 bad usage or file; 3 no controller answered, nothing changed;
4 refused, nothing changed; 6 unknown: the change may be in force, now or later, read it back.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import NoReturn
from urllib.parse import quote, urlencode

from sailward import constants
from sailward.client.client import Client, Reply, Unreachable, send_request
from sailward.client.forecast import Finding, forecast
from sailward.config.check import InvalidConfig, ValidConfig, check_config, read_config
from sailward.programs.common import read_flags


def main(argv: list[str] | None = None) -> None:
    """Carry out one operator command."""
    flags = read_flags(doc=__doc__, argv=argv)
    controllers = [address.strip() for address in flags["--controllers"].split(",") if address.strip()]
    if not controllers:
        _exit(code=constants.EXIT_USAGE, message="--controllers names no controller")
    client = Client(controllers=controllers)
    if flags["found"]:
        _found_core(controllers=controllers)
    elif flags["found-anew"]:
        _order_recovery(controllers=controllers, names=flags["CONTROLLER"], is_confirmed=flags["--confirm"])
    elif flags["put"] or flags["patch"]:
        _change(client=client, flags=flags)
    elif flags["check"]:
        _check(text=_read_file(path=flags["FILE"]), client=None if flags["--offline"] else client)
    elif flags["explain"]:
        query = urlencode({"tenant": flags["TENANT"], "method": flags["METHOD"], "path": flags["PATH"]})
        _print_reply(reply=send_request(address=flags["--proxy"], method="GET", path=f"/sailward/explain?{query}"))
    elif flags["join"] or flags["part"]:
        _print_reply(
            reply=client.step(
                method="POST",
                path=f"/voters/{quote(flags['CONTROLLER'][0], safe='')}/" + ("join" if flags["join"] else "part"),
            )
        )
    elif flags["empty"] or flags["refill"]:
        path = f"/halls/{quote(flags['HALL'], safe='')}/" + ("empty" if flags["empty"] else "refill")
        _print_reply(reply=client.step(method="POST", path=path + ("?confirm=yes" if flags["--confirm"] else "")))
    else:
        path = next(name for name in ("get", "orders", "voters", "status", "workers") if flags[name])
        _print_reply(reply=client.step(method="GET", path="/config" if path == "get" else f"/{path}"))


def _found_core(*, controllers: list[str]) -> None:
    members = {}
    for controller in controllers:
        reply = send_request(address=controller, method="GET", path="/status")
        if isinstance(reply, Unreachable) or "identity" not in reply.body:
            _exit(
                code=constants.EXIT_UNREACHABLE, message=f"every listed controller must answer; {controller} does not"
            )
        members[reply.body["identity"]] = reply.body["post"]
    if len(members) < len(controllers):
        _exit(code=constants.EXIT_USAGE, message="a controller is listed twice")
    for controller in controllers:
        body = json.dumps({"members": members}).encode()
        reply = send_request(address=controller, method="POST", path="/found", body=body)
        if isinstance(reply, Unreachable):
            _exit(code=constants.EXIT_UNKNOWN, message=f"{controller} did not answer: run the same command again")
        if reply.code != 200:
            _print_reply(reply=reply)
    print(json.dumps({"outcome": "founded", "members": members}, indent=2))


def _order_recovery(*, controllers: list[str], names: list[str], is_confirmed: bool) -> None:
    """Check that every survivor answers, then send the order to the first, which passes it on to the others."""
    answering: dict[str, str] = {}
    for controller in controllers:
        reply = send_request(address=controller, method="GET", path="/status")
        if isinstance(reply, Reply) and "identity" in reply.body:
            answering |= {reply.body["id"]: controller, reply.body["identity"]: controller}
    missing = [name for name in names if name not in answering]
    if missing:
        _exit(
            code=constants.EXIT_UNREACHABLE, message=f"no answer from {missing} at --controllers; nothing was changed"
        )
    body = json.dumps({"survivors": names}).encode()
    _print_reply(
        reply=send_request(
            address=answering[names[0]],
            method="POST",
            body=body,
            path="/found-anew" + ("?confirm=yes" if is_confirmed else ""),
        )
    )


def _change(*, client: Client, flags: dict) -> None:
    text = _read_file(path=flags["FILE"])
    headers = {}
    if flags["--if-match"] is not None:
        if not flags["--if-match"].isdigit():
            _exit(code=constants.EXIT_USAGE, message="--if-match must be a number")
        headers["If-Match"] = f'"{flags["--if-match"]}"'
    method = "PUT" if flags["put"] else "PATCH"
    _print_reply(reply=client.step(method=method, path="/config", body=text, headers=headers))


def _check(*, text: bytes, client: Client | None) -> None:
    config = read_config(text=text)
    verdict = config if isinstance(config, InvalidConfig) else check_config(config=config)
    if isinstance(verdict, InvalidConfig):
        for fault in verdict.faults:
            print(f"fault: {fault.path or '(whole)'}: {fault.reason}")
        sys.exit(1)
    findings = [Finding(kind="warning", path=fault.path, text=fault.reason) for fault in verdict.warnings]
    if client is not None:
        findings += _forecast_on_fleet(client=client, full=verdict.full)
    for kind in ("fault", "warning", "note"):
        for finding in findings:
            if finding.kind == kind:
                print(f"{kind}: {finding.path}: {finding.text}")
    faults = sum(finding.kind == "fault" for finding in findings)
    print(f"{faults} faults, {sum(finding.kind == 'warning' for finding in findings)} warnings")
    sys.exit(1 if faults else 0)


def _forecast_on_fleet(*, client: Client, full: dict) -> list[Finding]:
    config, workers, status = (_read_or_exit(client=client, path=path) for path in ("/config", "/workers", "/status"))
    current = check_config(config=config["config"]) if config.get("config") else None
    keys = [f"{worker['id']}/{worker['generation']}" for worker in workers["workers"]]
    states = {key: key in status["well"] for key in keys} if status["well"] else {}
    return forecast(
        full=full,
        current_full=current.full if isinstance(current, ValidConfig) else {},
        workers=workers["workers"],
        rates=status["rates"],
        states=states,
    )


def _read_or_exit(*, client: Client, path: str) -> dict:
    """The body of a controller's response; the process ends if no controller answers or the request is refused."""
    reply = client.step(method="GET", path=path)
    if isinstance(reply, Unreachable):
        _exit_unreachable(unreachable=reply)
    if reply.code not in (200, 404):
        message = f"{reply.controller}: {reply.body.get('error')}: {reply.body.get('detail')}"
        _exit(code=constants.EXIT_REFUSED, message=message)
    return reply.body


def _read_file(*, path: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as fault:
        _exit(code=constants.EXIT_USAGE, message=f"{path}: {fault.strerror}")


def _print_reply(*, reply: Reply | Unreachable) -> None:
    if isinstance(reply, Unreachable):
        _exit_unreachable(unreachable=reply)
    if reply.code < 300:
        print(json.dumps(reply.body, indent=2))
        return
    for fault in reply.body.get("faults", []):
        print(f"fault: {fault['path'] or '(whole)'}: {fault['reason']}", file=sys.stderr)
    message = f"{reply.body.get('outcome', 'refused')}: {reply.body.get('error')}: {reply.body.get('detail')}"
    for tenant in reply.body.get("tenants", []):
        print(f"tenant: {tenant}", file=sys.stderr)
    if reply.body.get("outcome") == "unknown":
        _exit(code=constants.EXIT_UNKNOWN, message=message)
    _exit(code=1 if reply.body.get("faults") else constants.EXIT_REFUSED, message=message)


def _exit_unreachable(*, unreachable: Unreachable) -> NoReturn:
    for reason in unreachable.reasons:
        print(reason, file=sys.stderr)
    if unreachable.sent:
        _exit(code=constants.EXIT_UNKNOWN, message="unknown: the change may be in force, now or later; read it back")
    _exit(code=constants.EXIT_UNREACHABLE, message="no controller answered; nothing was changed")


def _exit(*, code: int, message: str) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
