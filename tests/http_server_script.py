"""An HTTP server on simulated sockets that are driven by a script.

Clients' bytes are split anywhere and answers are given in any order, without threads or real time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from unittest import mock

from sailward.events import ClientDisconnected, RequestReceived, Respond
from sailward.routing.plan import Limits
from sailward.transport import http_server
from tests.http_client_script import FIN, RESET, ScriptedReactor, ScriptedSocket

LIMITS = Limits(head_bytes=600, body_bytes=100, head_wait=3.0, idle_wait=15.0)
CALLERS = 3
SEND_CAPACITIES = (1 << 20, 1 << 20, 30, 200)
"""Bytes that the operating system accepts for each client before the script drains its socket."""
LAST_FORM, FIRST_REFUSED, CONTINUE_FORM = 4, 5, 9
"""Forms of requests: LAST_FORM ends its connection; from FIRST_REFUSED to before CONTINUE_FORM all are refused."""


class ScriptedListener:
    """A listener that accepts the scripted client connections."""

    def __init__(self) -> None:
        self.waiting: deque = deque()

    def accept(self) -> tuple:
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.popleft(), ("caller", 0)

    def getsockname(self) -> tuple:
        return ("front", 80)

    def setsockopt(self, *names: object) -> None:
        pass

    def setblocking(self, flag: bool) -> None:
        pass

    def bind(self, index: tuple) -> None:
        pass

    def listen(self, backlog: int) -> None:
        pass


class CallerSocket(ScriptedSocket):
    """A client's connection, as the server sees it."""

    def shutdown(self, how: int) -> None:
        pass


@dataclass(kw_only=True, eq=False)
class Caller:
    """One client: its unread bytes, the forms of its requests, and the tokens of those delivered."""

    number: int
    sock: CallerSocket
    stream: bytes = b""
    forms: list = field(default_factory=list)
    delivered: list = field(default_factory=list)
    has_closed: bool = False
    is_half_closed: bool = False


class ServerScript:
    """Plays steps against an HttpServer and checks after each that every client reads its own answers.

    They must be complete and in order.
    """

    def __init__(self) -> None:
        self.reactor = ScriptedReactor()
        self.listener = ScriptedListener()
        self.requests: dict[str, tuple[Caller, int]] = {}
        self.answered: set[str] = set()
        self.disconnected: set[str] = set()
        with mock.patch.object(http_server.socket, "socket", lambda *kind: self.listener):
            self.server = http_server.HttpServer(
                reactor=self.reactor, address="127.0.0.1:0", name="front", deliver=self._on_event, limits=lambda: LIMITS
            )
        self.callers = [self._connect(number=number) for number in range(CALLERS)]

    def play(self, *, steps: list[tuple]) -> None:
        """Play all steps, then disconnect all clients."""
        for name, *numbers in steps:
            getattr(self, f"do_{name}")(*numbers)
            self.reactor.run_soon()
            self.check()
        self._answer_half_closed()
        for caller in self.callers:
            self._reset(caller=caller)
        self.reactor.pass_time(seconds=1.0)
        self.reactor.pass_time(seconds=20.0)
        for caller in self.callers:
            self._reset(caller=caller)
        self.check()
        unanswered = set(self.requests) - self.answered
        assert unanswered <= self.disconnected, "a request of a disconnected client was not reported"
        reported_and_answered = self.disconnected - unanswered
        assert all(self.requests[token][0].is_half_closed for token in reported_and_answered), (
            "a disconnect of a client that stayed was reported"
        )
        assert self.server.open_count() == 0 and self.server.connection_count() == 0

    def do_send(self, at: int, form: int) -> None:
        """A client sends a further request."""
        caller = self.callers[at % CALLERS]
        caller.stream += self._request(name=f"{caller.number}/{len(caller.forms)}", form=form)
        caller.forms.append(form)

    def do_pair(self, at: int, form: int) -> None:
        """A client sends two requests in succession, and the server reads both."""
        self.do_send(at, form)
        self.do_send(at, 0)
        self.do_read(at, 1 << 16)

    def do_read(self, at: int, size: int) -> None:
        """The server reads this many bytes that a client sent."""
        caller = self.callers[at % CALLERS]
        piece, caller.stream = caller.stream[:size], caller.stream[size:]
        if piece and not caller.has_closed:
            caller.sock.inbound.append(piece)
        self._let_read(caller=caller)

    def _waiting(self) -> list[str]:
        return [
            token
            for token, (caller, _) in self.requests.items()
            if token not in self.answered and (token not in self.disconnected or caller.is_half_closed)
        ]

    def _answer_half_closed(self) -> None:
        """A half-closed client still reads its answers, although it was reported as disconnected."""
        for token in self._waiting():
            if self.requests[token][0].is_half_closed:
                self._answer(token=token, code=200)

    def do_answer(self, at: int, code: int) -> None:
        """The owner answers any of the requests delivered to it."""
        waiting = self._waiting()
        if waiting:
            self._answer(token=waiting[at % len(waiting)], code=(200, 200, 500, 503, 200, 201)[code])

    def _answer(self, *, token: str, code: int) -> None:
        caller, index = self.requests[token]
        name = f"{caller.number}/{index}"
        self.answered.add(token)
        answer = Respond(token=token, code=code, body=name.encode(), headers={"X-For": name})
        assert self.server.answer(command=answer) or caller.sock.is_closed, "an answer to a connected client was lost"

    def do_leave(self, at: int, way: int) -> None:
        """A client resets its connection, or closes only its sending side."""
        caller = self.callers[at % CALLERS]
        if way % 2:
            self._reset(caller=caller)
        elif not caller.has_closed:
            caller.has_closed = caller.is_half_closed = True
            caller.sock.inbound.append(FIN)
            self._let_read(caller=caller)

    def do_drain(self, at: int, _: int) -> None:
        """A client reads what was written to it."""
        sock = self.callers[at % CALLERS].sock
        sock.drain()
        self._call(sock=sock, which=1)

    def do_wait(self, seconds: int, _: int) -> None:
        """Time passes."""
        self.reactor.pass_time(seconds=float(seconds))

    def do_stop(self, _: int, __: int) -> None:
        """The server begins to drain."""
        self.server.drain()

    def check(self) -> None:
        """Each client has read complete answers to its requests, in order; the last may still be incomplete."""
        for caller in self.callers:
            self._check_caller(caller=caller)
            if caller.is_half_closed:
                self._check_reported(caller=caller)

    def _check_reported(self, *, caller: Caller) -> None:
        """A client's EOF is reported at once for each of its unanswered requests."""
        has_read_all = list(caller.sock.inbound)[:1] == [FIN]
        if has_read_all and not caller.sock.is_closed:
            unanswered = set(caller.delivered) - self.answered
            assert unanswered <= self.disconnected, "a request of a disconnected client was not reported"

    def _check_caller(self, *, caller: Caller) -> None:
        rest, index = caller.sock.sent, 0
        while b"\r\n\r\n" in rest:
            head, _, remainder = rest.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            code, headers = int(first.split()[1]), dict(line.split(": ", 1) for line in lines)
            if code == 100:
                assert caller.forms[index] == CONTINUE_FORM
                rest = remainder
                continue
            assert index < len(caller.forms), "an answer without a request"
            form = caller.forms[index]
            # a head that never arrived completely has no known method, so its refusal has a body
            size = 0 if form == 3 and "X-For" in headers else int(headers["Content-Length"])
            if len(remainder) < size:
                return
            if "X-For" in headers:
                name = f"{caller.number}/{index}"
                assert headers["X-For"] == name, f"{name} got the answer to {headers['X-For']}"
                assert form == 3 or remainder[:size] == name.encode()
                assert not FIRST_REFUSED <= form < CONTINUE_FORM
            else:
                assert code in (400, 408, 413, 431) and headers["Connection"] == "close"
                assert code == 408 or FIRST_REFUSED <= form < CONTINUE_FORM, f"{code} for a proper request"
                assert not remainder[size:], "bytes after the answer that closes the connection"
            rest, index = remainder[size:], index + 1

    def _on_event(self, event: object) -> None:
        if isinstance(event, ClientDisconnected):
            assert event.token in self.requests and event.token not in self.disconnected | self.answered
            self.disconnected.add(event.token)
            return
        assert isinstance(event, RequestReceived) and event.token not in self.requests, "a token that was used before"
        number, index = (int(part) for part in event.path.strip("/").split("/"))
        caller = self.callers[number]
        form = caller.forms[index]
        assert index == len(caller.delivered), "delivered out of order, or after one that was not delivered"
        assert LAST_FORM not in caller.forms[:index], "read after a request that ends its connection"
        assert event.body == (f"body {number}/{index}".encode() if form in (1, 2, CONTINUE_FORM) else b"")
        caller.delivered.append(event.token)
        self.requests[event.token] = (caller, index)

    def _connect(self, *, number: int) -> Caller:
        sock = CallerSocket(accepts=SEND_CAPACITIES[number])
        self.listener.waiting.append(sock)
        self._call(sock=self.listener, which=0)
        return Caller(number=number, sock=sock)

    def _reset(self, *, caller: Caller) -> None:
        caller.has_closed = caller.sock.is_reset = True
        caller.sock.inbound.clear()
        caller.sock.inbound.append(RESET)
        self._let_read(caller=caller)
        self._call(sock=caller.sock, which=1)
        self.reactor.run_soon()

    def _let_read(self, *, caller: Caller) -> None:
        sock = caller.sock
        for _ in range(len(sock.inbound)):
            if sock.inbound and not sock.is_closed:
                self._call(sock=sock, which=0)

    def _call(self, *, sock: object, which: int) -> None:
        callback = self.reactor.watched.get(sock, (None, None))[which]
        if callback is not None:
            callback()

    def _request(self, *, name: str, form: int) -> bytes:
        body = f"body {name}".encode()
        length = f"Content-Length: {len(body)}\r\n"
        chunked = b"3\r\n" + body[:3] + b"\r\n%x\r\n" % len(body[3:]) + body[3:] + b"\r\n0\r\n\r\n"
        head = {
            1: ("POST", length, body),
            2: ("POST", "Transfer-Encoding: chunked\r\n", chunked),
            3: ("HEAD", "", b""),
            4: ("GET", "Connection: close\r\n", b""),
            5: ("GET", "Bad\x01: x\r\n", b""),
            6: ("POST", length + "Transfer-Encoding: chunked\r\n", chunked),
            7: ("POST", "Content-Length: 101\r\n", b"x" * 101),
            8: ("GET", f"X: {'y' * 600}\r\n", b""),
            9: ("POST", length + "Expect: 100-continue\r\n", body),
        }
        method, more, sent = head.get(form, ("GET", "", b""))
        return f"{method} /{name} HTTP/1.1\r\nHost: a\r\n{more}\r\n".encode() + sent
