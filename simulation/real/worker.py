"""A fake worker as a process.

Usage:
  worker --name=NAME --generation=N --service=NAME --hall=HALL --region=REGION --address=ADDRESS --history=FILE
"""

from __future__ import annotations

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import urlsplit

from docopt import docopt

from sailward.transport.address import split_address
from simulation.fake_worker import FakeWorker


class Server(ThreadingHTTPServer):
    """Holds the fake worker."""

    daemon_threads = True
    request_queue_size = 128
    worker: FakeWorker
    rows: object
    location: dict
    lock = threading.Lock()


class Handler(BaseHTTPRequestHandler):
    """Answers forwarded requests, health checks and the test's own commands."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: Server

    def log_message(self, *_: object) -> None:
        """Log nothing."""

    def _serve(self) -> None:
        length = int(self.headers.get("content-length") or 0)
        body = self.rfile.read(length)
        headers = {name.lower(): value for name, value in self.headers.items()}
        path = urlsplit(self.path).path
        if path == "/simulation/mode":
            request = json.loads(body)
            self.server.worker.mode, self.server.worker.chance = request["mode"], request["chance"]
            self._send(code=200, headers={}, body=b"{}")
            return
        with self.server.lock:
            reply = self.server.worker.step(method=self.command, path=path, headers=headers)
            if reply.did_run:
                self._write_run(headers=headers)
        if path != "/status":
            time.sleep(random.uniform(0.002, 0.01))
        if reply.is_connection_closed:
            self.close_connection = True
            return
        self._send(code=reply.code, headers=reply.headers, body=reply.body, cut=reply.sent_bytes)

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = _serve

    def _send(self, *, code: int, headers: dict, body: bytes, cut: int | None = None) -> None:
        self.send_response(code)
        headers = {**headers, "content-length": str(len(body))}
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body if cut is None else body[:cut])
        self.wfile.flush()
        self.close_connection = self.close_connection or cut is not None

    def _write_run(self, *, headers: dict) -> None:
        worker, now = self.server.worker, time.monotonic()
        row = {
            "t": now,
            "k": "run",
            "worker": worker.key,
            "service": worker.service,
            "hall": worker.zone,
            "region": self.server.location["region"],
            "asked": headers.get("sailward-service", ""),
            "key": headers.get("idempotency-key", ""),
            "tenant": headers.get("sailward-tenant", ""),
            "nonce": headers.get("x-caller", ""),
            "turn": int(headers.get("x-caller-try", "0")),
            "path": self.path,
            "unsafe": self.command not in ("GET", "HEAD"),
            "proxy": "",
            "until": now,
            "slot_key": headers.get("sailward-key", ""),
        }
        self.server.rows.write(json.dumps(row) + "\n")
        self.server.rows.flush()


def main() -> None:
    """Serve until killed."""
    flags = docopt(__doc__)
    server = Server(split_address(address=flags["--address"]), Handler)
    server.worker = FakeWorker(
        name=flags["--name"],
        generation=int(flags["--generation"]),
        service=flags["--service"],
        zone=flags["--hall"],
        rng=random.Random(flags["--name"]),
    )
    server.location = {"region": flags["--region"]}
    with open(flags["--history"], "a", encoding="utf-8") as rows:
        server.rows = rows
        server.serve_forever(poll_interval=0.5)


if __name__ == "__main__":
    main()
