"""A whole fleet as real processes on loopback."""

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
from simulation.real.callers import ask
from simulation.real.platform import Platform


def free_addresses(*, count: int) -> list[str]:
    """Addresses that the system says are free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return addresses


class Fleet:
    """Starts, breaks and ends the processes of one deployment. It ends only what it started."""

    def __init__(self, *, deployment: Deployment, folder: Path, python: str = sys.executable, other: str = "") -> None:
        self.deployment, self.folder, self._python = deployment, folder, python
        # another checkout of this project, whose code some daemons may run
        self.other, self.on_other = other, set()
        self.history = History()
        folder.mkdir(parents=True, exist_ok=True)
        names = [name for _, name, _ in deployment.daemons]
        addresses = free_addresses(count=2 * len(names) + len(deployment.workers) + 1)
        self.posts = dict(zip(names, addresses, strict=False))
        self.https = dict(zip(names, addresses[len(names) :], strict=False))
        self._spare = addresses[2 * len(names) : -1]
        self.platform_address = addresses[-1]
        self.platform = Platform(address=self.platform_address, history=self.history, clock=time.monotonic)
        self.processes: dict[str, subprocess.Popen] = {}
        self.workers: dict[str, dict] = {}
        self.kinds = {name: kind for kind, name, _ in deployment.daemons}
        for (name, service, zone), address in zip(deployment.workers, self._spare, strict=False):
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
        return [name for name, one in self.kinds.items() if one == kind]

    def start_all(self) -> None:
        """Start workers and daemons, wait until they answer."""
        for name in self.workers:
            self.start_worker(name=name)
        for name in self.kinds:
            self.start_daemon(name=name)
        for name in self.workers:
            self.wait_for(check=lambda name=name: self._works(name=name), what=name)
        for name in self.kinds:
            self.wait_for(check=lambda name=name: self._answers(name=name), what=name)

    def start_daemon(self, *, name: str) -> None:
        """Start one daemon with its settings file."""
        kind, zone = self.kinds[name], next(zone for _, one, zone in self.deployment.daemons if one == name)
        seeds = [self.posts[one] for one in [*list(self.kinds)[:2], self.names_of(kind="proxy")[0]]]
        settings = {
            "name": name,
            "hall": zone,
            "region": self.deployment.zones[zone],
            "post": self.posts[name],
            "http": self.https[name],
            "seeds": seeds,
        }
        if kind == "controller":
            settings |= {"platform": self.platform_address, "data": str(self.folder / name)}
        path = self.folder / f"{name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()), "utf-8")
        self._start(name=name, words=["-m", self._program(name=name, kind=kind), "--settings", str(path)])
        self._record(name=name, k="daemon-up")

    def _program(self, *, name: str, kind: str) -> str:
        """The module of a daemon's program in the checkout that it runs from."""
        programs = Path(self.other if name in self.on_other else "") / "sailward" / "programs"
        is_older = name in self.on_other and not (programs / f"{kind}.py").exists()
        return f"sailward.programs.{KINDS_ON_WIRE[kind] if is_older else kind}"

    def start_worker(self, *, name: str) -> None:
        """Start one worker and list it."""
        row = self.workers[name]
        self._start(
            name=name,
            words=[
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
        """End one process at once."""
        process = self.processes.pop(name)
        self._record(name=name, k="daemon-down")
        process.kill()
        process.wait()

    def stop(self, *, name: str) -> int:
        """A planned stop; gives the exit code."""
        process = self.processes.pop(name)
        self.history.add(t=time.monotonic(), k="planned-stop", daemon=self.https.get(name, name))
        process.terminate()
        code = process.wait(timeout=15)
        self.history.add(t=time.monotonic(), k="stopped", daemon=self.https.get(name, name))
        return code

    def freeze(self, *, name: str) -> None:
        """Let a process stand still."""
        self._record(name=name, k="daemon-frozen")
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def thaw(self, *, name: str) -> None:
        """Let it go on."""
        self._record(name=name, k="daemon-thawed")
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def end(self) -> None:
        """End all that was started here."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.platform.server.shutdown()

    def sailctl(self, *words: str, text: bytes = b"") -> subprocess.CompletedProcess:
        """Run the operators' client."""
        controllers = ",".join(self.https[name] for name in self.names_of(kind="controller"))
        return subprocess.run(
            [self._python, "-m", "sailward.programs.sailctl", "--controllers", controllers, *words],
            input=text,
            capture_output=True,
            timeout=60,
            check=False,
        )

    def status_of(self, *, name: str) -> dict:
        """What a daemon says of itself: for waiting only, never for judging."""
        path = "/sailward/status" if self.kinds[name] == "proxy" else "/status"
        try:
            return json.loads(ask(address=self.https[name], method="GET", path=path, wait=2.0)[2])
        except (OSError, ValueError):
            return {}

    def wait_for(self, *, check, what: str, seconds: float = 60.0) -> None:
        """Wait until a check holds."""
        end = time.monotonic() + seconds
        while not check():
            if time.monotonic() > end:
                raise TimeoutError(f"waited {seconds} s for {what}")
            time.sleep(0.05)

    def whole_history(self) -> History:
        """What all stand-ins wrote, together."""
        whole = read_history(paths=sorted(self.folder.glob("runs-*.jsonl")))
        whole.rows += list(self.history.rows)
        homes = {name: one["homes"] for name, one in self.deployment.config["tenants"].items() if one.get("homes")}
        whole.add(t=0.0, k="homes", homes=homes)
        return whole

    def _record(self, *, name: str, k: str) -> None:
        """Callers know a daemon by its address, the judge of losses by its name."""
        if name in self.kinds:
            self.history.add(t=time.monotonic(), k=k, daemon=self.https[name], name=name)

    def _answers(self, *, name: str) -> bool:
        return bool(self.status_of(name=name))

    def _works(self, *, name: str) -> bool:
        try:
            return ask(address=self.workers[name]["address"], method="GET", path="/status", wait=2.0)[0] == 200
        except OSError:
            return False

    def _start(self, *, name: str, words: list[str]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [self._python, *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                **(
                    {"cwd": self.other, "env": {**os.environ, "PYTHONPATH": self.other}}
                    if name in self.on_other
                    else {}
                ),
            )
