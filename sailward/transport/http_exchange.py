"""One HTTP/1.1 exchange as a client sees it: the request as bytes, and the answer read strictly. No sockets here."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

from sailward import constants
from sailward.events import StartCall
from sailward.wire_names import names_another

BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))
OWN_HEADERS = frozenset(("host", "content-length", "transfer-encoding", "upgrade", "expect"))
KEEP_ALIVE = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?(\d{1,9})", re.IGNORECASE)


@dataclass(frozen=True, kw_only=True)
class CompleteResponse:
    """A whole answer. `idle` is how many s its connection may be kept idle, 0 if it must be closed.

    It must be closed behind an answer that doesn't bear the id of its request: that may have been a surplus one, and
    the request's own would then be taken for the next one's.
    """

    code: int
    headers: dict
    body: bytes
    idle: float


@dataclass(frozen=True, kw_only=True)
class Broken:
    """No whole, well-formed answer to this exchange will come on this connection."""

    fault: str


class Exchange:
    """A request's bytes and the reader of its answer. Making one raises ValueError if the call can't be a request."""

    def __init__(self, *, call: StartCall, exchange_name: str) -> None:
        self._method = call.method
        self._exchange_name = exchange_name
        self._parser = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=constants.HTTP_CLIENT_MAX_HEAD_BYTES
        )
        self._code = 0
        self._headers: dict = {}
        self._parts: list[bytes] = []
        self._size = 0
        self._echoes_exchange_id = False
        self.is_received = False
        call_headers = {name.lower(): value for name, value in call.headers.items()}
        self._exchange_id = call_headers.get(exchange_name, "") if exchange_name else ""
        headers = [("host", call_headers.get("host") or call.address)]
        headers += [(name, value) for name, value in call_headers.items() if name not in OWN_HEADERS and value != ""]
        if call.body or call.method in BODY_METHODS:
            headers.append(("content-length", str(len(call.body))))
        try:
            head = self._parser.send(
                h11.Request(
                    method=call.method,
                    target=call.path,
                    headers=[(name, value.encode("latin-1")) for name, value in headers],
                )
            )
            body = self._parser.send(h11.Data(data=call.body)) if call.body else b""
            self._parser.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise ValueError("not a request") from error
        self.request = head + body

    def feed(self, *, data: bytes) -> CompleteResponse | Broken | None:
        """Read what came; `data` is never empty. None while the answer is unfinished."""
        self.is_received = True
        try:
            self._parser.receive_data(data)
            while True:
                event = self._parser.next_event()
                if isinstance(event, h11.Response):
                    fault = self._on_head(response=event)
                elif isinstance(event, h11.Data):
                    fault = self._on_body(data=event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return self._finish()
                elif isinstance(event, h11.InformationalResponse):
                    fault = ""
                elif event is h11.NEED_DATA:
                    return None
                else:
                    return Broken(fault="malformed")
                if fault:
                    return Broken(fault=fault)
        except h11.RemoteProtocolError:
            return Broken(fault="malformed")

    def end(self) -> Broken:
        """The connection ended before the answer was whole."""
        return Broken(fault="cut-short" if self.is_received else "connection-lost")

    def _on_head(self, *, response: h11.Response) -> str:
        self._code = response.status_code
        size = 0
        for raw_name, raw_value in response.headers:
            name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
            size += len(name) + len(value) + 4
            self._headers[name] = f"{self._headers[name]}, {value}" if name in self._headers else value
        echoed = self._headers.get(self._exchange_name, "") if self._exchange_name else ""
        if names_another(asked=self._exchange_id, echoed=echoed):
            return "another-exchange"
        self._echoes_exchange_id = echoed == self._exchange_id
        length = self._headers.get("content-length")
        is_chunked = "transfer-encoding" in self._headers
        if size > constants.HTTP_CLIENT_MAX_HEAD_BYTES or (length is not None and is_chunked):
            return "malformed"
        if self._method == "HEAD" or self._code in (204, 304):
            return ""
        if length is None and not is_chunked:
            # framed by the connection's end alone: a cut would look like the whole
            return "cut-short"
        # one length: the library refuses several that differ
        return "too-large" if length is not None and int(length.split(",")[0]) > constants.MAX_RESULT_BYTES else ""

    def _on_body(self, *, data: bytes) -> str:
        self._size += len(data)
        self._parts.append(data)
        return "too-large" if self._size > constants.MAX_RESULT_BYTES else ""

    def _finish(self) -> CompleteResponse:
        is_kept_alive = (
            self._parser.their_state is h11.DONE
            and self._parser.our_state is h11.DONE
            and not self._parser.trailing_data[0]
            and self._echoes_exchange_id
        )
        return CompleteResponse(
            code=self._code,
            headers=self._headers,
            body=b"".join(self._parts),
            idle=_read_idle(keep_alive=self._headers.get("keep-alive", "")) if is_kept_alive else 0.0,
        )


def _read_idle(*, keep_alive: str) -> float:
    timeout = KEEP_ALIVE.search(keep_alive)
    if timeout is None:
        return constants.HTTP_CLIENT_IDLE_TIMEOUT
    seconds = int(timeout.group(1))
    if seconds == 0:
        return 0.0
    return min(
        constants.HTTP_CLIENT_IDLE_TIMEOUT,
        max(constants.HTTP_CLIENT_MIN_IDLE_TIMEOUT, seconds - constants.HTTP_CLIENT_IDLE_MARGIN),
    )
