"""A stand-in client: resolves proxies, and sends requests one after the other on a connection of its own."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlencode

from common.fleet import Fleet, Record, call

HOST = "shop.example"
READ_BYTES = 65536


@dataclass(kw_only=True)
class Outcome:
    """What a client saw of one request.

    `last_byte_at`: when its last byte was sent, 0 if not all were; `ended_at`: when the answer was complete, or the
    connection over; `end`: `answered`, `closed` (an orderly close, so the other side had read all bytes), `reset`,
    `refused` or `silent`.
    """

    attempt: str
    proxy: str = ""
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    end: str = ""
    code: int = 0
    headers: dict = field(default_factory=dict)
    body_bytes: int = 0


def resolve(fleet: Fleet, *, directory: str, zone: str, region: str) -> list[str]:
    """The addresses of proxies that a directory names."""
    query = urlencode({"name": HOST, "region": region, "zone": zone})
    code, _, body = call(fleet.address(directory, "directory"), "GET", f"/resolve?{query}", timeout=1.0)
    return json.loads(body)["addresses"] if code == 200 else []


class Connection:
    """One connection of a client to a proxy, kept from request to request until it ends."""

    def __init__(self, *, record: Record, address: str) -> None:
        self._record, self._address = record, address
        host, port = address.rsplit(":", 1)
        self._sock: socket.socket | None = socket.socket()
        self._sock.settimeout(1.0)
        try:
            self._sock.connect((host, int(port)))
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def send(
        self,
        *,
        method: str,
        path: str,
        attempt: str,
        body: bytes = b"",
        pieces: int = 1,
        upload_s: float = 0.0,
        budget_ms: int = 5000,
    ) -> Outcome:
        """Send one request and read its answer; the body goes in equal pieces over `upload_s` seconds."""
        outcome = Outcome(attempt=attempt, proxy=self._address)
        if self._sock is None:
            outcome.end = "refused"
        else:
            self._sock.settimeout(budget_ms / 1000 + 1)
            self._record.add("sent-head", attempt=attempt, to=self._address, method=method, path=path, size=len(body))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                f"Time-Budget: {budget_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            try:
                self._exchange(outcome=outcome, head=head.encode(), body=body, pieces=pieces, upload_s=upload_s)
            except TimeoutError:
                outcome.end = "silent"
            except OSError:
                outcome.end = "reset"
        outcome.ended_at = self._record.now()
        if outcome.end != "answered" or outcome.headers.get("connection", "").lower() == "close":
            self.close()
        self._record.add("client", **vars(outcome))
        return outcome

    def _exchange(self, *, outcome: Outcome, head: bytes, body: bytes, pieces: int, upload_s: float) -> None:
        self._sock.sendall(head)
        begun = time.monotonic()
        for number in range(pieces if body else 0):
            time.sleep(max(0.0, begun + upload_s * (number + 1) / pieces - time.monotonic()))
            self._sock.sendall(body[len(body) * number // pieces : len(body) * (number + 1) // pieces])
        outcome.last_byte_at = self._record.now()
        self._record.add("sent-last-byte", attempt=outcome.attempt)
        self._read_answer(outcome=outcome)

    def _read_answer(self, *, outcome: Outcome) -> None:
        data, length = bytearray(), None
        while length is None or len(data) < length:
            chunk = self._sock.recv(READ_BYTES)
            if not chunk:
                outcome.end = "closed"
                return
            data += chunk
            if length is None and b"\r\n\r\n" in data:
                head, _, rest = bytes(data).partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                outcome.code = int(lines[0].split(" ")[1])
                fields = (line.partition(": ") for line in lines[1:])
                outcome.headers = {name.lower(): value for name, _, value in fields}
                length, data = int(outcome.headers.get("content-length", "0")), bytearray(rest)
            outcome.body_bytes = len(data) if length is not None else 0
        outcome.end = "answered"


def run_together(tasks: list[Callable[[], list[Outcome]]]) -> list[Outcome]:
    """Run the tasks at once, each on a thread of its own; returns all their outcomes when the last task is over."""
    outcomes: list[Outcome] = []
    threads = [threading.Thread(target=lambda task=task: outcomes.extend(task()), daemon=True) for task in tasks]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes
