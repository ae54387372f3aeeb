"""A fake platform that serves the list of workers over HTTP, inside the fleet runner."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from simulation.history import History


class Platform:
    """Holds the list of workers and serves it in pages."""

    def __init__(self, *, address: str, history: History, clock) -> None:
        self._rows: dict[str, dict] = {}
        self._lock = threading.Lock()
        self._history, self._clock = history, clock
        self.revision = 0
        host, port = address.rsplit(":", 1)
        self.server = ThreadingHTTPServer((host, int(port)), self._make_handler())
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def set_worker(self, *, row: dict) -> None:
        """Add a worker to the list, or replace its row."""
        with self._lock:
            previous = self._rows.get(row["id"])
            self._rows[row["id"]] = row
            self.revision += 1
            key = f"{row['id']}/{row['generation']}"
            if row["leaving"]:
                self._history.add(t=self._clock(), k="leaving", worker=key, revision=self.revision)
            if previous and previous["generation"] != row["generation"]:
                removed = f"{previous['id']}/{previous['generation']}"
                self._history.add(t=self._clock(), k="gone", worker=removed, revision=self.revision)

    def unlist(self, *, name: str) -> None:
        """Remove a worker from the list."""
        with self._lock:
            row = self._rows.pop(name)
            self.revision += 1
            self._history.add(t=self._clock(), k="gone", worker=f"{name}/{row['generation']}", revision=self.revision)

    def _page(self, *, after: str, limit: int) -> dict:
        with self._lock:
            names = sorted(name for name in self._rows if name > after)
            rows = [self._rows[name] for name in names[:limit]]
            self._history.add(t=self._clock(), k="list-read", revision=self.revision)
            return {
                "epoch": 1,
                "revision": self.revision,
                "total": len(self._rows),
                "workers": rows,
                "next": rows[-1]["id"] if len(names) > limit else "",
            }

    def _make_handler(self):
        page = self._page

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, *_: object) -> None:
                """Log nothing."""

            def do_GET(self) -> None:
                """Return one page of the list."""
                query = {name: values[0] for name, values in parse_qs(urlsplit(self.path).query).items()}
                body = json.dumps(page(after=query.get("after", ""), limit=int(query.get("limit", "20")))).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        return Handler
