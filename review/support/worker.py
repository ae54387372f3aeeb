"""A worker as a process: keeps the rules of the page PROTOCOL, and writes what it ran to standard output.

Usage: worker.py ADDRESS ID SERVICE WORK_MS SHARDED(0|1) [silent] [far]

`silent`: records no runs and grants. `far`: takes grants and releases 110 ms late, as from another region.

After SIGUSR1 it says that it is well and answers each request at once with a 500 of its own, until SIGUSR2.
"""

from __future__ import annotations

import json
import signal
import socket
import sys
import threading
import time


class Worker:
    """The state of one worker."""

    def __init__(self, *, name: str, service: str, work: float, is_sharded: bool, options: set) -> None:
        self.name, self.service, self.work, self.is_sharded, self.options = name, service, work, is_sharded, options
        self.holds: list[list] = []
        self.is_failing = False
        self._lock = threading.Lock()

    def write(self, **row: object) -> None:
        """Record an event."""
        line = json.dumps({"t": round(time.monotonic(), 4), "worker": self.name, **row}) + "\n"
        with self._lock:
            sys.stdout.write(line)
            sys.stdout.flush()

    def holds_key(self, key: int) -> bool:
        """Does it hold this key now?"""
        now = time.monotonic()
        return any(first <= key <= last and now < until for first, last, _, until in self.holds)

    def grant(self, body: dict) -> int:
        """Take a grant: 200, or 409 where a higher fence was seen on one of these keys."""
        first, last, fence = body["from_rev"], body["target_version"], body["fence_token"]
        if any(f <= last and first <= e and seen > fence for f, e, seen, _ in self.holds):
            return 409
        self._cut(first=first, last=last)
        self.holds.append([first, last, fence, time.monotonic() + body["hold_s"]])
        return 200

    def release(self, body: dict) -> None:
        """Give these keys back."""
        first, last, fence = body["from_rev"], body["target_version"], body["fence_token"]
        self._cut(first=first, last=last)
        self.holds.append([first, last, fence, 0.0])

    def _cut(self, *, first: int, last: int) -> None:
        kept = []
        for start, end, fence, until in self.holds:
            if end < first or start > last:
                kept.append([start, end, fence, until])
                continue
            if start < first:
                kept.append([start, first - 1, fence, until])
            if end > last:
                kept.append([last + 1, end, fence, until])
        self.holds = kept


class Connection:
    """One connection: a single request at a time."""

    def __init__(self, *, worker: Worker, sock: socket.socket) -> None:
        self._worker, self._sock, self._data = worker, sock, b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Answer requests until the caller closes."""
        try:
            while self._read_request():
                pass
        except OSError:
            pass
        finally:
            self._sock.close()

    def _read_request(self) -> bool:
        while (at := self._data.find(b"\r\n\r\n")) < 0:
            if not self._receive():
                return False
        lines = self._data[:at].decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        end = at + 4 + int(headers.get("content-length", "0"))
        pieces, size = [self._data], len(self._data)
        while size < end:
            piece = self._sock.recv(1 << 20)
            if not piece:
                return False
            pieces.append(piece)
            size += len(piece)
        whole = b"".join(pieces)
        body, self._data = whole[at + 4 : end], whole[end:]
        method, target, _ = lines[0].split(" ")
        self._serve(method=method, target=target, headers=headers, body=body)
        return True

    def _receive(self) -> bool:
        piece = self._sock.recv(65536)
        self._data += piece
        return bool(piece)

    def _serve(self, *, method: str, target: str, headers: dict, body: bytes) -> None:
        worker = self._worker
        name = headers.get("attempt-id", "")
        if headers.get("expect-instance", worker.name) != worker.name:
            self._answer(code=421, headers={"Not-Executed": "1", "Attempt-Id": name})
        elif target == "/health":
            self._answer(code=200, headers={"Instance-Id": worker.name})
        elif method == "POST" and target in ("/grant", "/release"):
            self._take_keys(target=target, given=json.loads(body))
        elif worker.is_sharded and not worker.holds_key(int(headers.get("shard-key", "-1"))):
            self._answer(code=421, headers={"Not-Executed": "1", "Attempt-Id": name})
        elif worker.is_failing:
            self._answer(code=500, headers={"Attempt-Id": name, "Server-Seal": f"seal.{name}"}, body=b"failed")
        else:
            if worker.work:
                time.sleep(worker.work)
            if "silent" not in worker.options:
                worker.write(event="ran", id=name, method=method, target=target, size=len(body))
            seal = {"Attempt-Id": name, "Server-Seal": f"seal.{name}"}
            self._answer(code=200, headers=seal, body=f"ran {name}".encode())

    def _take_keys(self, *, target: str, given: dict) -> None:
        if "far" in self._worker.options:
            # both ways between two regions of the site
            time.sleep(0.11)
        if target == "/grant":
            code, headers = self._worker.grant(given), {}
        else:
            self._worker.release(given)
            code, headers = 200, {"Handover": "5c0e7a21d94b36f8"}
        self._answer(code=code, headers=headers)
        if "silent" not in self._worker.options:
            self._worker.write(event=target[1:], code=code, **given)

    def _answer(self, *, code: int, headers: dict, body: bytes = b"") -> None:
        head = [f"HTTP/1.1 {code} Status", f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        self._sock.sendall("\r\n".join([*head, "", ""]).encode("latin-1") + body)


def main(argv: list[str]) -> None:
    """Serve until killed."""
    address, name, service, work_ms, is_sharded, *options = argv
    worker = Worker(
        name=name, service=service, work=float(work_ms) / 1000, is_sharded=is_sharded == "1", options=set(options)
    )
    signal.signal(signal.SIGUSR1, lambda *_: setattr(worker, "is_failing", True))
    signal.signal(signal.SIGUSR2, lambda *_: setattr(worker, "is_failing", False))
    host, _, port = address.rpartition(":")
    server = socket.create_server((host, int(port)), backlog=128)
    while True:
        sock, _ = server.accept()
        threading.Thread(target=Connection(worker=worker, sock=sock).run, daemon=True).start()


if __name__ == "__main__":
    main(sys.argv[1:])
