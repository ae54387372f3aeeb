"""A fleet of daemons as the users' platform runs them: real processes on loopback, started through the adapter.

The caller provides the platform's list and the workers.
"""

from __future__ import annotations

import http.client
import http.server
import json
import os
import random
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import yaml

ROOT = Path(__file__).parent.parent.parent
WAIT_TIMEOUT = 60.0
"""s after which `wait_until` gives up."""
ZONES = {"north-a": "north", "south-a": "south", "north-b": "north"}


class EndpointListHandler(http.server.BaseHTTPRequestHandler):
    """Serves the platform's list: the server's `rows`, by zone."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Return the complete list as one page."""
        body = json.dumps({"instances": self.server.rows, "next_token": None}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments: object) -> None:
        """Log nothing."""


def send_request(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> tuple[int, dict, bytes]:
    """Send a request; code 0 if no answer came. Underscores in header names are sent as dashes."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(
            method, path, body=body or None, headers={name.replace("_", "-"): value for name, value in headers.items()}
        )
        answer = connection.getresponse()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def wait_until(condition: Callable[[], object], *, what: str = "it") -> object:
    """Poll the condition until it is true; returns its value."""
    end = time.monotonic() + WAIT_TIMEOUT
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"waited {WAIT_TIMEOUT} s for {what}")


def list_row(*, name: str, service: str, address: str) -> dict:
    """A worker's row in the platform's list."""
    return {
        "id": name,
        "service": service,
        "address": address,
        "generation": "v1",
        "capacity": 4,
        "state": "admitted",
        "cold_left_s": 0,
    }


class HostedFleet:
    """Three controllers and some proxies, each at an address of its own. It ends only processes that it started."""

    def __init__(self, *, folder: Path, list_address: str, proxies: int = 2) -> None:
        self.folder, self._list_address = folder, list_address
        self.subnet, self.port = random.randrange(2, 250), random.randrange(20000, 30000, 16)
        self.settings = {}
        for at, zone in enumerate(ZONES):
            self.settings[f"controller-{at}"] = self._make_settings(role="controller", index=at, zone=zone)
        zones = tuple(ZONES)
        for at in range(proxies):
            zone = zones[at % len(zones)]
            self.settings[f"proxy-{at}"] = self._make_settings(role="proxy", index=10 + at, zone=zone)
        self.running: dict[str, subprocess.Popen] = {}

    def names(self, *, role: str) -> list[str]:
        """The names of the daemons with a role."""
        return [name for name, settings in self.settings.items() if settings["role"] == role]

    def start(self, name: str) -> None:
        """Start a daemon with its settings; only its first start may found the control group."""
        file = self.folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(self.settings[name]), "utf-8")
        self.settings[name]["bootstrap"] = False
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "daemon.py"), self.settings[name]["role"]],
                cwd=ROOT,
                env={**os.environ, "SAILWARD_NODE_FILE": str(file)},
                stdout=log,
                stderr=log,
            )

    def address_of(self, name: str, listener: str) -> str:
        """The address of one of a daemon's listeners."""
        return self.settings[name]["listen"][listener]

    def end(self) -> None:
        """Kill all daemons."""
        for process in self.running.values():
            process.kill()
            process.wait()

    def _make_settings(self, *, role: str, index: int, zone: str) -> dict:
        address = f"127.{self.subnet}.1.{index + 1}"
        names = ["control_plane"] if role == "controller" else ["front", "readiness", "directory"]
        return {
            "role": role,
            "node_name": f"{role}-{index}",
            "ip": address,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {name: f"{address}:{self.port + 10 + offset}" for offset, name in enumerate(names)},
            "inner_port_range": [self.port, self.port + 8],
            "bootstrap": True,
            "fault_budget": {"machines": 1},
            "seed_nodes": [f"127.{self.subnet}.1.{index + 1}:{self.port + 10}" for index in range(3)],
            "data_dir": str(self.folder / f"{role}-{index}") if role == "controller" else "",
            "bounds": {"retry_slack": 60},
            "cloud_api": {"address": self._list_address, "rate_per_s": 40},
        }


def make_config(*, label: int, sharded: bool = True, deadline: float = 8) -> dict:
    """A configuration with a route to each of two services; `stock` is sharded by key unless `sharded` is false."""

    def make_rule(name: str, path: str, kind: str, service: str) -> dict:
        return {
            "name": name,
            "route_kind": kind,
            "target_s": 1,
            "priority": 1,
            "matcher": {"path_prefix": path},
            "verdict": {"service": service, "deadline_s": deadline, "max_tries": 2, "home_regions": []},
        }

    pool = {
        "health_path": "/health",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
        "cold_s": 3.0,
        "cold_rate_s": 5.0,
    }
    keys = {"sharded": True, "warm_s": 1.0, "grants": "direct_call"} if sharded else {}
    return {
        "generation": f"r{label}",
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_s": 3, "idle_timeout_s": 15},
        "listeners": [
            {
                "hostname": "shop",
                "ruleset": [
                    make_rule("stock", "/stock/", "idempotent", "stock"),
                    make_rule("order", "/order/", "nonidempotent", "orders"),
                ],
            }
        ],
        "pools": [{"name": "stock", **pool, **keys}, {"name": "orders", **pool}],
    }
