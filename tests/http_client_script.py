"""An HTTP client on simulated sockets that are driven by a script.

The script decides every byte, truncation, reset and time, without threads or real time.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable
from types import SimpleNamespace
from unittest import mock

from sailward import constants
from sailward.events import CallFinished, StartCall
from sailward.routing.worker_response import Broken, CompleteResponse, NotSent, WorkerRejected, judge_reply
from sailward.runtime.reactor import Alarm
from sailward.transport import http_client
from sailward.wire_names import WireNames

NAMES = WireNames(
    exchange_id="x-id", answered_by="x-who", not_run="x-not-run", not_run_value="", response_marker="x-seal"
)
FIN, RESET = "fin", "reset"
NAMELESS_REFUSAL, NAMED_REFUSAL = 8, 9
"""The forms of a response that says that its request did not run, without and with the exchange id."""
REQUEST_END = b"\r\n\r\n"


class ScriptedReactor:
    """The interface of the reactor, advanced explicitly."""

    def __init__(self) -> None:
        self.now = 100.0
        self.watched: dict = {}
        self.waiting: deque = deque()
        self.alarms: list[tuple[float, Alarm]] = []

    def clock(self) -> float:
        return self.now

    def watch(
        self, *, sock: ScriptedSocket, readable: Callable | None = None, writable: Callable | None = None
    ) -> None:
        if readable or writable:
            self.watched[sock] = (readable, writable)
        else:
            self.watched.pop(sock, None)

    def call_later(self, *, delay: float, callback: Callable) -> Alarm:
        alarm = Alarm(callback=callback)
        self.alarms.append((self.now + delay, alarm))
        return alarm

    def call_soon(self, *, callback: Callable) -> None:
        self.waiting.append(callback)

    def run_soon(self) -> None:
        while self.waiting:
            self.waiting.popleft()()

    def pass_time(self, *, seconds: float) -> None:
        self.now += seconds
        due = [alarm for at, alarm in self.alarms if at <= self.now]
        self.alarms = [(at, alarm) for at, alarm in self.alarms if at > self.now]
        for alarm in due:
            if alarm.callback is not None:
                alarm.callback()
        self.run_soon()


class ScriptedSocket:
    """One connection: the bytes that the client sent, and those that wait to be read."""

    def __init__(self, *, accepts: int) -> None:
        self.sent = b""
        self.inbound: deque = deque()
        self.is_connected = self.is_closed = self.is_reset = False
        self.answers = 0
        self._accepts = accepts

    def connect_ex(self, address: tuple) -> int:
        return errno.EINPROGRESS

    def getsockopt(self, *names: int) -> int:
        return 0

    def setsockopt(self, *names: object) -> None:
        pass

    def setblocking(self, flag: bool) -> None:
        pass

    def send(self, data: memoryview) -> int:
        if self.is_reset:
            raise ConnectionResetError
        if not self._accepts:
            raise BlockingIOError
        accepted = bytes(data[: self._accepts])
        self.sent += accepted
        self._accepts -= len(accepted)
        return len(accepted)

    def drain(self) -> None:
        """The operating system accepts more bytes."""
        self._accepts = 1 << 20

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self.inbound:
            raise BlockingIOError
        first = self.inbound[0]
        if first == RESET:
            raise ConnectionResetError
        if first == FIN:
            return b""
        if flags & socket.MSG_PEEK:
            return first[:size]
        return self.inbound.popleft()

    def close(self) -> None:
        self.is_closed = True

    def requests(self) -> list[bytes]:
        """The exchange ids of the complete requests received, in order."""
        found, rest = [], self.sent
        while REQUEST_END in rest:
            head, _, rest = rest.partition(REQUEST_END)
            lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            size = int(lines.get(b"content-length", b"0"))
            if len(rest) < size:
                break
            rest = rest[size:]
            found.append(lines[b"x-id"])
        return found


class ClientScript:
    """Plays steps against an HttpClient.

    Checks after each that no call got another call's response and no request was sent twice.
    """

    def __init__(self) -> None:
        self.reactor = ScriptedReactor()
        self.sockets: list[ScriptedSocket] = []
        self.calls: dict[str, StartCall] = {}
        self.cancelled: set[str] = set()
        self.finished: dict[str, CallFinished] = {}
        self.refused: set[str] = set()
        self.accepts = 1 << 20
        self.http_client = http_client.HttpClient(reactor=self.reactor, deliver=self._on_finished, names=NAMES)

    def play(self, *, steps: list[tuple]) -> None:
        """Play all steps, then let all time-outs pass."""
        patches = (
            mock.patch.object(http_client.socket, "socket", self._open),
            mock.patch.object(http_client, "_resolve", lambda *, address: (0, (address, 0))),
        )
        with patches[0], patches[1]:
            for name, *numbers in steps:
                getattr(self, f"do_{name}")(*numbers)
                self.reactor.run_soon()
                self.check()
            for _ in range(4):
                self.reactor.pass_time(seconds=30.0)
            self.check()
            assert set(self.finished) | self.cancelled == set(self.calls), "a call that never finished"
            assert self.http_client.counts()["calls"] == 0

    def do_give(self, owner: int, is_once: int, accepts: int) -> None:
        """Start a call; `accepts` selects how many bytes the operating system accepts at first."""
        token = f"t{len(self.calls)}"
        self.accepts = (1 << 20, 7, 60, 1 << 20)[accepts % 4]
        call = StartCall(
            token=token,
            owner=f"w{owner % 2}",
            address=f"w{owner % 2}:80",
            method="POST" if is_once % 2 else ("GET", "HEAD")[is_once // 2 % 2],
            path="/a",
            headers={"x-id": f"id-{token}"},
            body=b"once" if is_once % 2 else b"",
            timeout=20.0,
            fresh=bool(is_once % 2),
        )
        self.calls[token] = call
        self.http_client.start(call=call)

    def do_round(self, owner: int, is_once: int, form: int) -> None:
        """A complete call, from its start to its response."""
        token, sock = self._begin(owner=owner, is_once=is_once)
        if sock is not None:
            self._put_answer(sock=sock, name=f"id-{token}", form=form)
            self._let_read(sock=sock, token=token)

    def do_late_round(self, owner: int, which: int, form: int) -> None:
        """A call whose connection first receives a response to an earlier request on it, if there was one."""
        token, sock = self._begin(owner=owner, is_once=0)
        if sock is not None:
            names = sock.requests()
            self._put_answer(sock=sock, name=names[-1 - which % len(names)].decode(), form=form)
            self._let_read(sock=sock, token=token)

    def do_cancelled_round(self, owner: int, is_once: int, form: int) -> None:
        """A call is cancelled; the next one starts, and the response to the first arrives."""
        token, sock = self._begin(owner=owner, is_once=is_once)
        if sock is None:
            return
        self.cancelled.add(token)
        self.http_client.cancel(token=token)
        following, _ = self._begin(owner=owner, is_once=0)
        self._put_answer(sock=sock, name=f"id-{token}", form=form)
        self._let_read(sock=sock, token=following)

    def do_reset_round(self, owner: int, is_once: int, way: int) -> None:
        """A call whose connection ends before its response; every connection opened then is established."""
        token, sock = self._begin(owner=owner, is_once=is_once)
        if sock is None:
            return
        sock.inbound.append(FIN if way % 2 else RESET)
        sock.is_reset = True
        self._let_read(sock=sock, token=token)
        self.reactor.run_soon()
        for other in self.sockets:
            if not other.is_connected and not other.is_closed:
                other.is_connected = True
                self._call(sock=other, which=1)

    def _begin(self, *, owner: int, is_once: int) -> tuple[str, ScriptedSocket | None]:
        """Start a call and send all its bytes; returns its token, and its connection if it has one."""
        self.do_give(owner, is_once, 0)
        self.reactor.run_soon()
        token = list(self.calls)[-1]
        sock = next((candidate for candidate in self.sockets if self._carries_call(sock=candidate, token=token)), None)
        if sock is not None and not sock.is_connected:
            sock.is_connected = True
            self._call(sock=sock, which=1)
        return token, sock if sock is not None and sock.requests() else None

    def _let_read(self, *, sock: ScriptedSocket, token: str) -> None:
        while sock.inbound and not sock.is_closed and token not in self.finished:
            before = len(sock.inbound)
            self._call(sock=sock, which=0)
            if len(sock.inbound) == before:
                return

    def do_connect(self, at: int, _: int, __: int) -> None:
        """A connection is established."""
        for sock in self._open_sockets(at):
            if not sock.is_connected:
                sock.is_connected = True
                self._call(sock=sock, which=1)

    def do_writable(self, at: int, _: int, __: int) -> None:
        """The operating system accepts all bytes left to send."""
        for sock in self._open_sockets(at):
            if sock.is_connected:
                sock.drain()
                self._call(sock=sock, which=1)

    def do_answer(self, at: int, which: int, form: int) -> None:
        """The peer answers one of the requests received on a connection.

        That is the last one (0) or an earlier one, whose response is then late or a duplicate.
        """
        for sock in self._open_sockets(at):
            names = sock.requests()
            if names:
                name = names[-1 - which % len(names)].decode()
                self._put_answer(sock=sock, name=name, form=form)

    def do_end(self, at: int, way: int, _: int) -> None:
        """The peer closes or resets a connection."""
        for sock in self._open_sockets(at):
            if way % 2:
                sock.inbound.append(FIN)
            else:
                sock.inbound.clear()
                sock.inbound.append(RESET)
                sock.is_reset = True

    def do_deliver(self, at: int, pieces: int, _: int) -> None:
        """The client reads at most `pieces` + 1 of the pieces that have arrived."""
        for sock in self._open_sockets(at):
            for _piece in range(1 + pieces):
                if sock.inbound and sock.is_connected and not sock.is_closed:
                    self._call(sock=sock, which=0)

    def do_cancel(self, at: int, _: int, __: int) -> None:
        """The owner cancels a call."""
        under_way = [token for token in self.calls if token not in self.finished and token not in self.cancelled]
        if under_way:
            token = under_way[at % len(under_way)]
            self.cancelled.add(token)
            self.http_client.cancel(token=token)

    def do_hang_up(self, owner: int, _: int, __: int) -> None:
        """The owner closes its connections because its worker is gone."""
        self.http_client.close_connections(owner=f"w{owner % 2}")

    def do_wait(self, ticks: int, _: int, __: int) -> None:
        """Time passes."""
        self.reactor.pass_time(seconds=0.1 + ticks)

    def check(self) -> None:
        """The invariants after each step."""
        sent = [name.decode() for sock in self.sockets for name in sock.requests()]
        duplicates = {name for name in sent if sent.count(name) > 1}
        assert not duplicates, f"sent twice: {duplicates}"
        for token, result in self.finished.items():
            call = self.calls[token]
            assert result.sent or not any(f"x-id: id-{token}\r".encode() in sock.sent for sock in self.sockets)
            verdict = judge_reply(
                request=SimpleNamespace(exchange_id=call.headers["x-id"], service=SimpleNamespace(ranged=False)),
                worker=call.owner,
                event=result,
                names=NAMES,
            )
            if isinstance(verdict, CompleteResponse):
                body = b"" if call.method == "HEAD" else f"body of id-{token}".encode()
                assert verdict.body == body, f"{token} got {verdict.body!r}"
                assert verdict.headers["x-id"] == f"id-{token}"
            elif isinstance(verdict, WorkerRejected):
                assert not call.fresh or f"id-{token}" in self.refused, f"{token} was refused by another's answer"
            else:
                assert isinstance(verdict, (Broken, NotSent))

    def _on_finished(self, result: CallFinished) -> None:
        assert result.token not in self.finished, "finished twice"
        assert result.token not in self.cancelled, "finished after it was cancelled"
        self.finished[result.token] = result

    def _open(self, *kind: int) -> ScriptedSocket:
        self.sockets.append(ScriptedSocket(accepts=self.accepts))
        return self.sockets[-1]

    def _open_sockets(self, at: int) -> list[ScriptedSocket]:
        open_sockets = [sock for sock in self.sockets if not sock.is_closed]
        return [open_sockets[at % len(open_sockets)]] if open_sockets else []

    def _carries_call(self, *, sock: ScriptedSocket, token: str) -> bool:
        running = self.http_client._running.get(token)
        return running is not None and running.connection is not None and running.connection.sock is sock

    def _call(self, *, sock: ScriptedSocket, which: int) -> None:
        callback = self.reactor.watched.get(sock, (None, None))[which]
        if callback is not None:
            callback()

    def _put_answer(self, *, sock: ScriptedSocket, name: str, form: int) -> None:
        is_only_one = not sock.answers and len(sock.requests()) == 1
        if form == NAMED_REFUSAL or (form == NAMELESS_REFUSAL and is_only_one):
            # the first response on a connection that carried one request belongs to it, with or without its exchange id
            self.refused.add(name)
        sock.answers += 1
        sock.inbound.extend(self._answer(name=name, form=form))

    def _answer(self, *, name: str, form: int) -> list:
        body, head = f"body of {name}".encode(), f"HTTP/1.1 200 OK\r\nX-Id: {name}\r\nX-Seal: s\r\n".encode()
        whole = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
        return (
            [whole],
            [whole[:20], whole[20:70], whole[70:]],
            [chunked[: len(chunked) // 2], chunked[len(chunked) // 2 :]],
            [b"HTTP/1.1 103 Early\r\nX-Id: other\r\n\r\n", whole],
            [whole + whole],
            [whole[:-3], FIN],
            [chunked[:-5], FIN],
            [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoone"],
            [b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"],
            [f"HTTP/1.1 503 Full\r\nX-Id: {name}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode()],
            [b"\x00\xffnoise\r\n\r\n"],
            [head + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body],
            [head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"],
            [head + b"X: " + b"y" * constants.HTTP_CLIENT_MAX_HEAD_BYTES, b"\r\nContent-Length: 0\r\n\r\n"],
        )[form % 14]
