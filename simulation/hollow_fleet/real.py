"""A few real processes on loopback, for comparison with the figures of the hollow fleet.

Also the program of one such process: real ROLE COUNTS_FILE, with the settings file that the platform would provide.
"""

from __future__ import annotations

import http.client
import http.server
import importlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import yaml

from sailward.programs import hosted as hosted_module
from sailward.transport import message_transport as transport_module

from .deployment import FOLDER, HOSTING, Size, list_pages, make_document, settings_of, zones_of

COUNT_INTERVAL = 0.2
START_TIMEOUT = 30.0


class CountedTransport(transport_module.MessageTransport):
    """A message transport that writes its counters into a file every `COUNT_INTERVAL` s."""

    file = ""

    def __init__(self, *, reactor, **arguments) -> None:
        super().__init__(reactor=reactor, **arguments)
        self._write(reactor=reactor)

    def _write(self, *, reactor) -> None:
        counts = {"at": time.monotonic(), "cpu": time.process_time(), **self.counts}
        Path(self.file + ".new").write_text(json.dumps(counts), "utf-8")
        os.replace(self.file + ".new", self.file)
        reactor.call_later(delay=COUNT_INTERVAL, callback=lambda: self._write(reactor=reactor))


def measure_real(*, size: Size, seconds: float, report_progress: Callable[[str], None]) -> dict:
    """Figures per second of each role in the steady state of a real fleet of this size.

    A thread serves the platform's list.
    """
    pages = list_pages(size=size)

    class ListHandler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            token = self.path.rpartition("=")[2] if "=" in self.path else "0"
            body = pages[int(token) // len(json.loads(pages[0])["instances"])]
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments) -> None:
            return None

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ListHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    with tempfile.TemporaryDirectory() as folder:
        processes: list = []
        try:
            return _measure(
                size=size,
                seconds=seconds,
                folder=Path(folder),
                api=f"127.0.0.1:{server.server_port}",
                processes=processes,
                report_progress=report_progress,
            )
        finally:
            for _, process, _ in processes:
                process.send_signal(signal.SIGKILL)
                process.wait()
            server.shutdown()


def _measure(
    *, size: Size, seconds: float, folder: Path, api: str, processes: list, report_progress: Callable[[str], None]
) -> dict:
    zones, port, net = zones_of(size=size), random.randrange(20000, 30000, 16), random.randrange(1, 250)
    settings: list[tuple[str, dict]] = []
    for role, count in (("controller", size.core), ("proxy", size.daemons)):
        for index in range(count):
            text = json.dumps(settings_of(size=size, role=role, index=index, zones=zones))
            text = (
                text.replace('"10.0.0.1:80"', f'"{api}"')
                .replace('"10.1.0.', f'"127.{net}.1.')
                .replace('"10.2.0.', f'"127.{net}.2.')
            )
            node_settings = json.loads(text)
            node_settings["inner_port_range"] = [port, port + 9]
            node_settings["seed_nodes"] = [seed.rpartition(":")[0] + f":{port}" for seed in node_settings["seed_nodes"]]
            node_settings["listen"] = {
                name: f"{node_settings['ip']}:{port + 10 + at}"
                for at, name in enumerate(sorted(node_settings["listen"]))
            }
            node_settings["data_dir"] = str(folder / node_settings["node_name"])
            settings.append((role, node_settings))
    started_at = time.monotonic()
    for role, node_settings in settings:
        processes.append(
            (
                role,
                _start_process(role=role, node_settings=node_settings, folder=folder),
                str(folder / f"{node_settings['node_name']}.counts"),
            )
        )
    _configure(size=size, address=settings[0][1]["listen"]["control_plane"])
    for role, node_settings in settings:
        while role == "proxy" and not _is_ready(address=node_settings["listen"]["readiness"]):
            if time.monotonic() - started_at > START_TIMEOUT:
                raise RuntimeError("the real fleet was not ready in time")
            time.sleep(0.05)
    report_progress(f"real: {len(settings)} processes ready after {time.monotonic() - started_at:.1f} s")
    time.sleep(4.0)
    before = [json.loads(Path(file).read_text("utf-8")) for _, _, file in processes]
    time.sleep(seconds)
    after = [json.loads(Path(file).read_text("utf-8")) for _, _, file in processes]
    roles: dict = {}
    for (role, process, _), start, last in zip(processes, before, after, strict=True):
        span = last["at"] - start["at"]
        row = roles.setdefault(role, [])
        row.append(
            {
                "cpu": (last["cpu"] - start["cpu"]) / span,
                "out": (last["sent-bytes"] - start["sent-bytes"]) / span,
                "messages_out": (last["sent"] - start["sent"]) / span,
                "rss_bytes": _resident_bytes(pid=process.pid),
            }
        )
    return {
        role: {name: round(sum(row[name] for row in rows) / len(rows), 6) for name in rows[0]}
        for role, rows in roles.items()
    }


def _start_process(*, role: str, node_settings: dict, folder: Path) -> subprocess.Popen:
    file = folder / f"{node_settings['node_name']}.yaml"
    file.write_text(yaml.safe_dump(node_settings), "utf-8")
    root = str(FOLDER.parent)
    env = {**os.environ, "SAILWARD_NODE_FILE": str(file), "PYTHONPATH": root}
    with (folder / f"{node_settings['node_name']}.log").open("wb") as log:
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "simulation.hollow_fleet.real",
                role,
                str(folder / f"{node_settings['node_name']}.counts"),
            ],
            cwd=root,
            env=env,
            stdout=log,
            stderr=log,
        )


def _configure(*, size: Size, address: str) -> None:
    body, started_at = json.dumps(make_document(size=size, version=1)), time.monotonic()
    while time.monotonic() - started_at < START_TIMEOUT:
        try:
            connection = http.client.HTTPConnection(address, timeout=5)
            connection.request("PUT", "/config", body=body, headers={"If-Match": "0"})
            if connection.getresponse().status == 200:
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise RuntimeError("the configuration was not accepted")


def _is_ready(*, address: str) -> bool:
    try:
        connection = http.client.HTTPConnection(address, timeout=2)
        connection.request("GET", "/")
        return connection.getresponse().status == 200
    except OSError:
        return False


def _resident_bytes(*, pid: int) -> int:
    text = Path(f"/proc/{pid}/statm").read_text("ascii")
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def main() -> None:
    """Run one daemon that counts its messages."""
    role, CountedTransport.file = sys.argv[1:]
    hosted_module.MessageTransport = CountedTransport
    settings = yaml.safe_load(Path(os.environ["SAILWARD_NODE_FILE"]).read_text("utf-8"))
    hosted = HOSTING.hosted_daemon_of(settings=settings, role=role)
    getattr(importlib.import_module(f"sailward.programs.hosted_{role}"), f"run_{role}")(hosted=hosted)


if __name__ == "__main__":
    main()
