"""A complete fleet as real processes on loopback."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from sailward.discovery.peer_table import KINDS_ON_WIRE
from simulation.deployments import Deployment
from simulation.history import History, read_history
from simulation.real.callers import send_request
from simulation.real.platform import Platform


def free_addresses(*, count: int) -> list[str]:
    """Loopback addresses that are free at the moment."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{server.getsockname()[1]}" for server in sockets]
    for server in sockets:
        server.close()
    return addresses


class Fleet:
    """Starts, disturbs and ends the processes of one deployment. It ends only processes that it started."""

    def __init__(
        self, *, deployment: Deployment, folder: Path, python: str = sys.executable, other_checkout: str = ""
    ) -> None:
        self.deployment, self.folder, self._python = deployment, folder, python
        # another checkout of this project, whose code some daemons may run
        self.other_checkout, self.names_on_other_checkout = other_checkout, set()
        self.history = History()
        folder.mkdir(parents=True, exist_ok=True)
        names = [name for _, name, _ in deployment.daemons]
        addresses = free_addresses(count=2 * len(names) + len(deployment.workers) + 1)
        self.message_addresses = dict(zip(names, addresses, strict=False))
        self.http_addresses = dict(zip(names, addresses[len(names) :], strict=False))
        self._worker_addresses = addresses[2 * len(names) : -1]
        self.platform_address = addresses[-1]
        self.platform = Platform(address=self.platform_address, history=self.history, clock=time.monotonic)
        self.processes: dict[str, subprocess.Popen] = {}
        self.workers: dict[str, dict] = {}
        self.kinds = {name: kind for kind, name, _ in deployment.daemons}
        for (name, service, zone), address in zip(deployment.workers, self._worker_addresses, strict=False):
            self.workers[name] = {
                "id": name,
                "generation": 1,
                "service": service,
                "address": address,
                "hall": zone,
                "leaving": False,
            }

    def names_of(self, *, kind: str) -> list[str]:
        """The daemons of one kind."""
        return [name for name, daemon_kind in self.kinds.items() if daemon_kind == kind]

    def start_all(self) -> None:
        """Start workers and daemons and wait until they answer."""
        for name in self.workers:
            self.start_worker(name=name)
        for name in self.kinds:
            self.start_daemon(name=name)
        for name in self.workers:
            self.wait_for(check=lambda name=name: self._is_worker_up(name=name), what=name)
        for name in self.kinds:
            self.wait_for(check=lambda name=name: self._is_daemon_up(name=name), what=name)

    def start_daemon(self, *, name: str) -> None:
        """Start one daemon with its settings file."""
        kind, zone = self.kinds[name], next(zone for _, daemon, zone in self.deployment.daemons if daemon == name)
        seeds = [self.message_addresses[seed] for seed in [*list(self.kinds)[:2], self.names_of(kind="proxy")[0]]]
        settings = {
            "name": name,
            "hall": zone,
            "region": self.deployment.zones[zone],
            "post": self.message_addresses[name],
            "http": self.http_addresses[name],
            "seeds": seeds,
        }
        if kind == "controller":
            settings |= {"platform": self.platform_address, "data": str(self.folder / name)}
        path = self.folder / f"{name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()), "utf-8")
        self._start_process(name=name, arguments=["-m", self._program(name=name, kind=kind), "--settings", str(path)])
        self._record_event(name=name, k="daemon-up")

    def _program(self, *, name: str, kind: str) -> str:
        """The module of a daemon's program in the checkout that it runs from."""
        programs = Path(self.other_checkout if name in self.names_on_other_checkout else "") / "sailward" / "programs"
        is_older = name in self.names_on_other_checkout and not (programs / f"{kind}.py").exists()
        return f"sailward.programs.{KINDS_ON_WIRE[kind] if is_older else kind}"

    def start_worker(self, *, name: str) -> None:
        """Start one worker and add it to the platform's list."""
        row = self.workers[name]
        self._start_process(
            name=name,
            arguments=[
                "-m",
                "simulation.real.worker",
                "--name",
                name,
                "--generation",
                str(row["generation"]),
                "--service",
                row["service"],
                "--hall",
                row["hall"],
                "--region",
                self.deployment.zones[row["hall"]],
                "--address",
                row["address"],
                "--history",
                str(self.folder / f"runs-{name}.jsonl"),
            ],
        )
        self.platform.set_worker(row=dict(row))

    def replace_worker(self, *, name: str) -> None:
        """Kill a worker and start its next generation."""
        self.kill(name=name)
        self.workers[name]["generation"] += 1
        self.start_worker(name=name)

    def kill(self, *, name: str) -> None:
        """Kill one process."""
        process = self.processes.pop(name)
        self._record_event(name=name, k="daemon-down")
        process.kill()
        process.wait()

    def stop(self, *, name: str) -> int:
        """Stop one process gracefully; returns its exit code."""
        process = self.processes.pop(name)
        self.history.add(t=time.monotonic(), k="planned-stop", daemon=self.http_addresses.get(name, name))
        process.terminate()
        code = process.wait(timeout=15)
        self.history.add(t=time.monotonic(), k="stopped", daemon=self.http_addresses.get(name, name))
        return code

    def freeze(self, *, name: str) -> None:
        """Suspend a process."""
        self._record_event(name=name, k="daemon-frozen")
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def thaw(self, *, name: str) -> None:
        """Resume a suspended process."""
        self._record_event(name=name, k="daemon-thawed")
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def end(self) -> None:
        """Kill all processes of the fleet."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.platform.server.shutdown()

    def sailctl(self, *arguments: str, text: bytes = b"") -> subprocess.CompletedProcess:
        """Run sailctl, the operators' client."""
        controllers = ",".join(self.http_addresses[name] for name in self.names_of(kind="controller"))
        return subprocess.run(
            [self._python, "-m", "sailward.programs.sailctl", "--controllers", controllers, *arguments],
            input=text,
            capture_output=True,
            timeout=60,
            check=False,
        )

    def status_of(self, *, name: str) -> dict:
        """A daemon's own status: used only to wait for it, never by the checker."""
        path = "/sailward/status" if self.kinds[name] == "proxy" else "/status"
        try:
            return json.loads(send_request(address=self.http_addresses[name], method="GET", path=path, timeout=2.0)[2])
        except (OSError, ValueError):
            return {}

    def wait_for(self, *, check, what: str, seconds: float = 60.0) -> None:
        """Wait until a check holds."""
        end = time.monotonic() + seconds
        while not check():
            if time.monotonic() > end:
                raise TimeoutError(f"waited {seconds} s for {what}")
            time.sleep(0.05)

    def merged_history(self) -> History:
        """The merged history of callers, platform and workers."""
        merged = read_history(paths=sorted(self.folder.glob("runs-*.jsonl")))
        merged.rows += list(self.history.rows)
        homes = {
            name: tenant["homes"] for name, tenant in self.deployment.config["tenants"].items() if tenant.get("homes")
        }
        merged.add(t=0.0, k="homes", homes=homes)
        return merged

    def _record_event(self, *, name: str, k: str) -> None:
        """Record an event with address and name: callers use the address, the rule on losses uses the name."""
        if name in self.kinds:
            self.history.add(t=time.monotonic(), k=k, daemon=self.http_addresses[name], name=name)

    def _is_daemon_up(self, *, name: str) -> bool:
        return bool(self.status_of(name=name))

    def _is_worker_up(self, *, name: str) -> bool:
        try:
            return (
                send_request(address=self.workers[name]["address"], method="GET", path="/status", timeout=2.0)[0] == 200
            )
        except OSError:
            return False

    def _start_process(self, *, name: str, arguments: list[str]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [self._python, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                **(
                    {"cwd": self.other_checkout, "env": {**os.environ, "PYTHONPATH": self.other_checkout}}
                    if name in self.names_on_other_checkout
                    else {}
                ),
            )
