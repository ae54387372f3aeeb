"""A stand-in worker that speaks what the pages say: it runs requests, and answers health checks."""

from __future__ import annotations

import http.server
import threading
import time

from common.fleet import LoopbackServer, Record


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def _serve(self) -> None:
        worker: Worker = self.server
        body = self._read_body()
        if self.path == "/health":
            self._send(code=200, headers={"Instance-Id": worker.name}, body=b"")
            return
        attempt = self.headers.get("Attempt-Id", "")
        if self.headers.get("Expect-Instance", worker.name) != worker.name:
            self._send(code=421, headers={"Attempt-Id": attempt, "Not-Executed": "1"}, body=b"")
            return
        worker.record.add(
            "run", worker=worker.name, attempt=attempt, method=self.command, path=self.path, size=len(body)
        )
        time.sleep(worker.work_s)
        headers = {"Attempt-Id": attempt, "Server-Seal": f"{worker.name}.{attempt}"}
        self._send(code=200, headers=headers, body=worker.answer)

    do_GET = do_POST = do_PUT = _serve  # noqa: N815 - the names are given by http.server

    def _read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def _send(self, *, code: int, headers: dict, body: bytes) -> None:
        self.send_response(code)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def log_message(self, *arguments: object) -> None:
        pass


class Worker(LoopbackServer):
    """One worker; `work_s` is the time that a request takes, `answer` the body of each answer."""

    def __init__(self, *, host: str, name: str, record: Record, work_s: float = 0.05, answer: bytes = b"done") -> None:
        super().__init__((host, 0), _Handler)
        self.name, self.record, self.work_s, self.answer = name, record, work_s, answer
        self.address = f"{host}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *arguments: object) -> None:
        """A connection that the caller broke off needs no trace."""
