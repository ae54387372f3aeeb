"""The HTTP/1.1 server of a process: reads ahead on client connections and answers their requests in order."""

from __future__ import annotations

import functools
import itertools
import socket
from collections.abc import Callable
from dataclasses import replace

from sailward import constants
from sailward.events import ClientDisconnected, Respond
from sailward.routing.plan import Limits
from sailward.runtime.logs import write_log
from sailward.runtime.reactor import Reactor
from sailward.transport.http_server_departures import DepartureCounts, check_departures
from sailward.transport.http_server_head import ABANDONED, STOPPING, Refused, refusal_answer, write_response
from sailward.transport.http_server_listener import Listener
from sailward.transport.http_server_state import Connection, Exchange
from sailward.transport.http_server_states import count_states
from sailward.transport.http_server_timing import SLOW_REQUEST_REASONS, TimeoutVerdict, check_timeouts

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpServer:
    """Listens at `address` ("ip:port", port 0 for any free port); runs on the reactor's thread.

    Delivers RequestReceived and ClientDisconnected. Raises OSError if it can't listen at the address. `limits` is
    called again for each request.

    EOF from a client counts as its departure, because most clients that close have given up and a half-close looks the
    same from here: ClientDisconnected is delivered for each unanswered request. Such a request still awaits its
    `answer`, which reaches a client that closed only its sending side; the connection is closed after it.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        name: str,
        deliver: Callable[[object], None],
        limits: Callable[[], Limits],
    ) -> None:
        self._reactor = reactor
        self._name = name
        self._deliver = deliver
        self._limits = limits
        self._numbers = itertools.count(1)
        self._connections: set[Connection] = set()
        self._pending: dict[str, tuple[Connection, Exchange]] = {}
        self._open = 0
        self._is_draining = self._closes_idle = self._is_refusing = False
        self.departures = DepartureCounts()
        self._departures_logged = DepartureCounts()
        self._listener = Listener(reactor=reactor, address=address, on_accepted=self._accept)
        self.port = self._listener.port
        self._reactor.call_later(delay=constants.HTTP_SERVER_SWEEP_INTERVAL, callback=self._sweep)

    def answer(self, *, command: Respond) -> bool:
        """Answer a delivered request; False if its connection is closed or it has already been answered."""
        connection, exchange = self._pending.pop(command.token, (None, None))
        if connection is None:
            return False
        exchange.answer = command
        if command.close or exchange.is_last:
            exchange.is_last = connection.is_ending = True
            self._discard_later_exchanges(connection=connection, exchange=exchange)
        self._flush(connection=connection)
        return not connection.is_closed

    def drain(self, *, close_idle: bool = True) -> None:
        """Close each connection after the requests delivered from it are answered; with `close_idle`, idle ones now.

        New connections are still accepted.
        """
        self._is_draining, self._closes_idle = True, close_idle
        for connection in list(self._connections):
            delivered = [exchange for exchange in connection.exchanges if exchange is not connection.reading]
            if delivered:
                connection.is_ending = True
                self._discard_unfinished_request(connection=connection)
                self._update(connection=connection)
            elif connection.reading is not None:
                connection.reading.is_last = True
            elif close_idle and connection.is_idle() and connection.has_requested:
                self._reactor.call_soon(callback=functools.partial(self._close_idle, connection=connection))

    def close_listener(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def refuse_requests(self) -> None:
        """Answer 503 to each request that becomes complete from now on."""
        self._is_refusing = True

    def abandon_requests(self) -> None:
        """Answer each request that was delivered and not answered: there is no owner any more."""
        for token in list(self._pending):
            self.answer(command=replace(refusal_answer(refused=ABANDONED), token=token))

    def refuse_unfinished(self) -> None:
        """Answer 503 to each request that is not complete by now, and close connections without a request."""
        for connection in list(self._connections):
            self._read(connection=connection)
            if connection.is_idle():
                self._close(connection=connection)
            elif connection.is_receiving() and not connection.is_ending:
                self._refuse(connection=connection, refused=STOPPING)
            connection.is_ending = True

    def open_count(self) -> int:
        """Requests whose head has been read and whose response is not completely written."""
        return self._open

    def connection_count(self) -> int:
        """Open connections, including those that are being drained."""
        return len(self._connections)

    def states(self) -> dict[str, int]:
        """The number of connections in each state."""
        return count_states(connections=self._connections)

    def _accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= constants.HTTP_SERVER_MAX_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = self._reactor.clock()
        connection = Connection(sock=sock, accepted_at=now, active_at=now)
        connection.readable = functools.partial(self._read, connection=connection)
        connection.writable = functools.partial(self._write, connection=connection)
        self._connections.add(connection)
        self._update(connection=connection)

    def _read(self, *, connection: Connection) -> None:
        """Read the available bytes, so that a client's close is noticed before its requests are forwarded."""
        for _ in range(constants.HTTP_SERVER_MAX_READS):
            if connection.is_closed or not connection.may_read():
                return
            try:
                data = connection.sock.recv(constants.HTTP_SERVER_READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._close(connection=connection)
                return
            if not data:
                self._on_eof(connection=connection)
                return
            if not connection.is_ending:
                self._on_bytes(connection=connection, data=data)

    def _on_bytes(self, *, connection: Connection, data: bytes) -> None:
        if not connection.reader.has_bytes or connection.reading is not None:
            connection.active_at = self._reactor.clock()
        connection.reader.feed(data=data)
        self._advance(connection=connection)

    def _on_eof(self, *, connection: Connection) -> None:
        connection.is_eof = connection.is_ending = True
        if connection.linger_until is not None:
            self._close(connection=connection)
            return
        self._discard_unfinished_request(connection=connection)
        unanswered = [exchange for exchange in connection.exchanges if exchange.token in self._pending]
        self.departures.closed += len(unanswered)
        for exchange in unanswered:
            # immediately: a call that this request has just caused must not start first
            self._report_disconnect(exchange=exchange, deliver=self._deliver)
        self._flush(connection=connection)

    def _report_disconnect(self, *, exchange: Exchange, deliver: Callable[[object], None]) -> None:
        if not exchange.is_reported:
            exchange.is_reported = True
            self.departures.reported += 1
            deliver(ClientDisconnected(token=exchange.token))

    def _deliver_soon(self, event: object) -> None:
        self._reactor.call_soon(callback=functools.partial(self._deliver, event))

    def _advance(self, *, connection: Connection) -> None:
        if connection.is_advancing or connection.is_closed:
            return
        connection.is_advancing = True
        try:
            while connection.reader.has_bytes and not (connection.is_closed or connection.is_ending):
                if not self._read_next_part(connection=connection):
                    break
        except Refused as refused:
            self._refuse(connection=connection, refused=refused)
        finally:
            connection.is_advancing = False
        self._update(connection=connection)

    def _read_next_part(self, *, connection: Connection) -> bool:
        """Read a request head or the body that follows it; False if it has to wait."""
        is_new = connection.reading is None
        if is_new and (connection.is_full() or not self._read_head(connection=connection)):
            return False
        body = connection.reader.read_body()
        if body is not None:
            self._deliver_request(connection=connection, body=body)
            return True
        if is_new:
            self._send_continue(connection=connection)
            self._write(connection=connection)
        else:
            connection.awaits_continue = False
        return False

    def _read_head(self, *, connection: Connection) -> bool:
        limits = self._limits()
        head = connection.reader.read_head(limits=limits)
        if head is None:
            return False
        connection.has_requested, connection.active_at = True, self._reactor.clock()
        connection.reading = Exchange(head=head, is_last=head.is_last or self._is_draining)
        connection.exchanges.append(connection.reading)
        self._open += 1
        connection.reader.begin_body(head=head, limits=limits)
        connection.awaits_continue = head.awaits_continue and not connection.reader.has_bytes
        return True

    def _deliver_request(self, *, connection: Connection, body: bytes) -> None:
        if self._is_refusing:
            self._refuse(connection=connection, refused=STOPPING)
            return
        exchange, connection.reading = connection.reading, None
        connection.awaits_continue = False
        head, exchange.head.parser = exchange.head, None
        exchange.token = f"{self._name} {next(self._numbers)}"
        connection.active_at = self._reactor.clock()
        if exchange.is_last:
            connection.is_ending = True
            connection.reader.clear()
        self._pending[exchange.token] = (connection, exchange)
        self._deliver(exchange.received(head=head, body=body))

    def _refuse(self, *, connection: Connection, refused: Refused) -> None:
        if connection.is_closed:
            return
        exchange, connection.reading = connection.reading, None
        if exchange is None:
            exchange = Exchange()
            connection.exchanges.append(exchange)
            self._open += 1
        exchange.answer = refusal_answer(refused=refused)
        exchange.is_last = connection.is_ending = True
        connection.awaits_continue = False
        connection.reader.clear()
        self._flush(connection=connection)

    def _flush(self, *, connection: Connection) -> None:
        exchanges, idle_wait = connection.exchanges, self._limits().idle_wait
        while exchanges and exchanges[0].answer is not None:
            exchange = exchanges.popleft()
            answer, head = exchange.answer, exchange.head
            data = write_response(
                code=answer.code,
                headers=answer.headers,
                body=answer.body,
                is_closing=exchange.is_last or (connection.is_ending and not exchanges),
                is_head=head is not None and head.method == "HEAD",
                idle_wait=idle_wait,
            )
            connection.announced_idle_wait = idle_wait
            self._send(connection=connection, data=data, count=1)
        self._send_continue(connection=connection)
        self._write(connection=connection)

    def _send_continue(self, *, connection: Connection) -> None:
        if connection.awaits_continue and connection.exchanges and connection.exchanges[0] is connection.reading:
            connection.awaits_continue = False
            self._send(connection=connection, data=_CONTINUE, count=0)

    def _send(self, *, connection: Connection, data: bytes, count: int) -> None:
        if not connection.outgoing:
            connection.written_at = self._reactor.clock()
        connection.outgoing.append((memoryview(data), count))

    def _write(self, *, connection: Connection) -> None:
        if connection.is_closed or connection.linger_until is not None:
            return
        outgoing = connection.outgoing
        while outgoing:
            view, count = outgoing[0]
            try:
                size = connection.sock.send(view)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                self._close(connection=connection)
                return
            connection.written_at = self._reactor.clock()
            if size < len(view):
                outgoing[0] = (view[size:], count)
                continue
            outgoing.popleft()
            self._open -= count
            if not connection.reader.has_bytes:
                connection.active_at = connection.written_at
        if connection.is_ending and not outgoing and not connection.exchanges:
            self._finish(connection=connection)
        elif connection.may_advance():
            self._reactor.call_soon(callback=functools.partial(self._advance, connection=connection))
        self._update(connection=connection)

    def _finish(self, *, connection: Connection) -> None:
        if connection.is_eof:
            self._close(connection=connection)
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(connection=connection)
            return
        connection.linger_until = self._reactor.clock() + constants.HTTP_SERVER_LINGER_TIMEOUT

    def _update(self, *, connection: Connection) -> None:
        if connection.is_closed:
            return
        is_paused = connection.is_full() and connection.reading is None and not connection.is_ending
        if connection.is_paused and not is_paused:
            # reading was paused by this server: the pause does not count as silence of the client
            connection.active_at = self._reactor.clock()
        connection.is_paused = is_paused
        interest = (connection.may_read(), bool(connection.outgoing))
        if interest == connection.watched_events:
            return
        connection.watched_events = interest
        self._reactor.watch(
            sock=connection.sock,
            readable=connection.readable if interest[0] else None,
            writable=connection.writable if interest[1] else None,
        )

    def _discard_unfinished_request(self, *, connection: Connection) -> None:
        connection.reader.clear()
        connection.awaits_continue = False
        if connection.reading is not None:
            connection.exchanges.remove(connection.reading)
            connection.reading = None
            self._open -= 1

    def _discard_later_exchanges(self, *, connection: Connection, exchange: Exchange) -> None:
        self._discard_unfinished_request(connection=connection)
        while connection.exchanges[-1] is not exchange:
            self._discard_exchange(exchange=connection.exchanges.pop())

    def _discard_exchange(self, *, exchange: Exchange) -> None:
        self._open -= 1
        if self._pending.pop(exchange.token, None) is not None:
            self.departures.reset += not exchange.is_reported
            self._report_disconnect(exchange=exchange, deliver=self._deliver_soon)

    def _close(self, *, connection: Connection) -> None:
        if connection.is_closed:
            return
        connection.is_closed = True
        self._connections.discard(connection)
        self._reactor.watch(sock=connection.sock)
        connection.sock.close()
        for exchange in connection.exchanges:
            self._discard_exchange(exchange=exchange)
        self._open -= sum(count for _, count in connection.outgoing)
        connection.exchanges.clear()
        connection.outgoing.clear()

    def _close_idle(self, *, connection: Connection) -> None:
        if not connection.is_closed and connection.is_idle():
            self._read(connection=connection)
        if not connection.is_closed and connection.is_idle():
            self._close(connection=connection)

    def _sweep(self) -> None:
        self._reactor.call_later(delay=constants.HTTP_SERVER_SWEEP_INTERVAL, callback=self._sweep)
        self._log_departures()
        now, limits = self._reactor.clock(), self._limits()
        for connection in list(self._connections):
            self._check_invariants(connection=connection)
            verdict = check_timeouts(connection=connection, now=now, limits=limits, is_draining=self._closes_idle)
            if verdict is TimeoutVerdict.CLOSE:
                self._close(connection=connection)
            elif verdict is TimeoutVerdict.CLOSE_IDLE:
                self._close_idle(connection=connection)
            elif verdict is not TimeoutVerdict.KEEP:
                self._refuse(connection=connection, refused=Refused(code=408, reason=SLOW_REQUEST_REASONS[verdict]))

    def _log_departures(self) -> None:
        changes = self.departures.take_changes(logged=self._departures_logged)
        if changes:
            write_log(event="callers-left", fields={"edge": self._name, **changes})

    def _check_invariants(self, *, connection: Connection) -> None:
        for log in check_departures(connection=connection, pending=self._pending):
            write_log(event=log.event, fields={"edge": self._name, **log.fields}, level="error")
