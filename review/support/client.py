"""Clients with kept connections: each sends one request at a time and records how it ended."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

HOST = "hulo84.example"


@dataclass(kw_only=True)
class Try:
    """One request: `end` is the status, or `closed` where the connection ended without a complete answer."""

    name: str
    front: str
    sent_at: float
    end: str = "open"
    ended_at: float = 0.0
    seal: str = ""


class KeptConnection:
    """One client on one kept connection, which it opens again after it was closed."""

    def __init__(self, *, front: str, name: str, method: str, paths: tuple, is_sharded: bool = False) -> None:
        self._front, self._name, self._method, self._paths, self._is_sharded = front, name, method, paths, is_sharded
        self._sock: socket.socket | None = None
        self._data = b""
        self._count = 0
        self._rng = random.Random(name)
        self.tries: list[Try] = []

    def run(self, *, until: Callable[[], bool], pause: float) -> None:
        """Send requests until the condition holds."""
        while not until():
            if self._sock is None and not self._open():
                time.sleep(0.1)
                continue
            self._send()
            if pause:
                time.sleep(pause)
        if self._sock is not None:
            self._sock.close()

    def _open(self) -> bool:
        host, _, port = self._front.rpartition(":")
        try:
            self._sock = socket.create_connection((host, int(port)), timeout=1.0)
        except OSError:
            return False
        self._sock.settimeout(8.0)
        self._data = b""
        return True

    def _send(self) -> None:
        self._count += 1
        name = f"{self._name}.{self._count}"
        one = Try(name=name, front=self._front, sent_at=time.monotonic())
        self.tries.append(one)
        lines = [
            f"{self._method} {self._paths[self._count % len(self._paths)]} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {name}",
            "Time-Budget: 5000",
            *(["Content-Length: 5"] if self._method == "POST" else []),
            *([f"Shard-Key: {self._rng.randrange(65536)}"] if self._is_sharded else []),
            "",
            "order" if self._method == "POST" else "",
        ]
        assert self._sock is not None
        is_closing = True
        try:
            self._sock.sendall("\r\n".join(lines).encode())
            is_closing = self._receive(one=one)
        except OSError:
            one.end = "closed"
        one.ended_at = time.monotonic()
        if is_closing:
            self._sock.close()
            self._sock = None

    def _receive(self, *, one: Try) -> bool:
        """Read one answer; returns whether the connection ends with it."""
        assert self._sock is not None
        while (at := self._data.find(b"\r\n\r\n")) < 0:
            piece = self._sock.recv(65536)
            if not piece:
                one.end = "closed"
                return True
            self._data += piece
        lines = self._data[:at].decode("latin-1").split("\r\n")
        headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines[1:])}
        end = at + 4 + int(headers.get("content-length", "0"))
        while len(self._data) < end:
            piece = self._sock.recv(65536)
            if not piece:
                one.end = "closed"
                return True
            self._data += piece
        self._data = self._data[end:]
        one.end, one.seal = lines[0].split(" ")[1], headers.get("server-seal", "")
        return headers.get("connection", "").lower() == "close"


def start_threads(targets: list[Callable[[], None]]) -> list[threading.Thread]:
    """Run each in a thread of its own."""
    threads = [threading.Thread(target=target, daemon=True) for target in targets]
    for thread in threads:
        thread.start()
    return threads
