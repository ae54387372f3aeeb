"""HTTP server for clients and operators, with threads that wait for the owner's answers."""

from __future__ import annotations

import contextlib
import itertools
import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from http import HTTPStatus

from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request

import sailward
from sailward import constants
from sailward.events import ClientDisconnected, RequestReceived, Respond
from sailward.routing.proxied_request import Refusal, answer_refusal, may_promise_not_run
from sailward.runtime.logs import write_log
from sailward.transport.address import split_address


class Handler(WSGIRequestHandler):
    """HTTP/1.1 with keep-alive, no access log, and its own errors in JSON."""

    protocol_version = "HTTP/1.1"
    timeout = constants.HTTP_SERVER_IDLE_TIMEOUT
    disable_nagle_algorithm = True
    wbufsize = -1
    server: PoolServer

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Log nothing: the owner logs requests."""

    def log(self, type: str, message: str, *args: object) -> None:
        """Log a connection's fault in this project's log format."""
        write_log(event="http-fault", fields={"detail": message % args if args else message}, level="debug")

    def version_string(self) -> str:
        """The Server header."""
        return f"sailward/{sailward.__version__}"

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answer a malformed request, of which nothing was run."""
        body = json.dumps({"error": "malformed", "detail": message or "", "ran": "not-run"}).encode() + b"\n"
        self.close_connection = True
        # otherwise a request line without a version gets a response without headers
        self.request_version = self.protocol_version
        self.send_response(code)
        for name, value in (
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Sailward-Ran", "not-run"),
            ("Connection", "close"),
        ):
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def run_wsgi(self) -> None:
        """Serve the request whose head has been read, until its answer is written."""
        with self.server.count_exchange():
            super().run_wsgi()


class PoolServer(BaseWSGIServer):
    """A WSGI server whose connections are served by a bounded pool of threads."""

    multithread = True
    request_queue_size = 256

    def __init__(self, *, host: str, port: int, app: Callable, threads: ThreadPoolExecutor) -> None:
        self._threads = threads
        self._capacity = threading.BoundedSemaphore(constants.HTTP_SERVER_THREADS)
        self._lock = threading.Lock()
        self.open_exchanges = 0
        super().__init__(host, port, app, handler=Handler)

    @contextlib.contextmanager
    def count_exchange(self) -> Iterator[None]:
        """Count a request as open while it is served."""
        with self._lock:
            self.open_exchanges += 1
        try:
            yield
        finally:
            with self._lock:
                self.open_exchanges -= 1

    def process_request(self, request, client_address) -> None:
        """Serve a connection on a thread of the pool, or close it at once if no thread is free."""
        if not self._capacity.acquire(blocking=False):
            self.shutdown_request(request)
            return
        self._threads.submit(self._serve, request, client_address)

    def _serve(self, request, client_address) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:  # noqa: BLE001 - one connection's fault is not the server's
            self.handle_error(request, client_address)
        finally:
            self.shutdown_request(request)
            self._capacity.release()


class WsgiServer:
    """Task that owns the HTTP listener. Each request is delivered to the owner and waits for its answer."""

    def __init__(
        self, *, address: str, max_body_bytes: int, deliver: Callable[[object], None], threads: ThreadPoolExecutor
    ) -> None:
        self._deliver, self._max_body_bytes = deliver, max_body_bytes
        self._waiting: dict[str, Future[Respond]] = {}
        self._count = itertools.count(1)
        self._is_refusing = False
        host, port = split_address(address=address)
        self._server = PoolServer(host=host, port=port, app=self._serve, threads=threads)

    def run(self) -> None:
        """Accept connections forever."""
        self._server.serve_forever(poll_interval=0.2)

    def answer(self, *, command: Respond) -> None:
        """Answer a waiting request."""
        future = self._waiting.pop(command.token, None)
        if future is not None:
            future.set_result(command)

    def refuse_requests(self) -> None:
        """Answer each request that becomes complete from now on without the owner, which has ended."""
        self._is_refusing = True

    def abandon_requests(self) -> None:
        """Answer the requests that wait for the owner, which has ended: they may have run."""
        for token in list(self._waiting):
            refusal = Refusal(code=502, reason="stopping", detail="this process has ended")
            self.answer(command=answer_refusal(token=token, refusal=refusal, is_not_run=False))

    def open_count(self) -> int:
        """Requests whose head has been read and whose answer is not written."""
        return self._server.open_exchanges

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        request = Request(environ)
        request.max_content_length = self._max_body_bytes
        token = f"http {next(self._count)}"
        try:
            body: bytes | None = request.get_data(cache=False)
        except RequestEntityTooLarge:
            body = None
        except (HTTPException, OSError) as error:
            raise ConnectionError("the client disconnected before its request was complete") from error
        received = RequestReceived(
            token=token,
            method=request.method,
            path=request.path,
            query=request.args.to_dict(),
            headers={name.lower(): value for name, value in request.headers.items()},
            body=body,
        )
        answer = self._ask_owner(event=received, sock=environ.get("werkzeug.socket"))
        response_headers = [(name, value) for name, value in answer.headers.items() if name.lower() != "content-length"]
        response_headers.append(("Content-Length", str(len(answer.body))))
        if body is None:
            response_headers.append(("Connection", "close"))
        start_response(f"{answer.code} {_phrase(code=answer.code)}", response_headers)
        return [b"" if request.method == "HEAD" else answer.body]

    def _ask_owner(self, *, event: RequestReceived, sock: socket.socket | None) -> Respond:
        if self._is_refusing:
            refusal = Refusal(code=503, reason="stopping", detail="this process is stopping: ask another one")
            return answer_refusal(token=event.token, refusal=refusal, is_not_run=may_promise_not_run(event=event))
        future: Future[Respond] = Future()
        self._waiting[event.token] = future
        self._deliver(event)
        try:
            return self._wait_for_answer(future=future, token=event.token, sock=sock)
        except FutureTimeoutError:
            self._waiting.pop(event.token, None)
            text = json.dumps({"error": "no-answer", "detail": "the owner gave none", "ran": "unknown"}).encode()
            return Respond(token=event.token, code=500, body=text, headers={"Sailward-Ran": "unknown"})

    def _wait_for_answer(self, *, future: Future[Respond], token: str, sock: socket.socket | None) -> Respond:
        """Wait for the owner's answer; the owner is notified once if the client closes its connection meanwhile.

        Raises concurrent.futures.TimeoutError if there is none after WSGI_RESPONSE_TIMEOUT.
        """
        end = time.monotonic() + constants.WSGI_RESPONSE_TIMEOUT
        while sock is not None and time.monotonic() < end:
            try:
                return future.result(timeout=constants.CLIENT_DISCONNECT_CHECK_INTERVAL)
            except FutureTimeoutError:
                if _is_closed(sock=sock):
                    self._deliver(ClientDisconnected(token=token))
                    break
        return future.result(timeout=max(0.0, end - time.monotonic()))


def _is_closed(*, sock: socket.socket) -> bool:
    """Whether the peer has closed or reset the connection, even if unread bytes remain."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def _phrase(*, code: int) -> str:
    try:
        return HTTPStatus(code).phrase
    except ValueError:
        return "Other"
