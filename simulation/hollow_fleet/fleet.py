"""The phases of a hollow fleet: start, steady state, changes, killed proxies, the loss of a zone, a partition."""

from __future__ import annotations

import gc
import json
import random
import resource
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from sailward.control.controller import Controller
from sailward.events import LogEvent
from sailward.proxy.proxy import Proxy

from .deployment import Size, hosted_of, list_pages, make_document, make_patch, zones_of
from .network import LINKS, Member, Network, send_operator_request

PHASE_TIMEOUT = 90.0
"""s of virtual time that a phase waits for its condition."""


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The phases to run. `seconds` is the steady state; `zone_down` and `cut` are in s, 0 to skip the phase."""

    seconds: float = 10.0
    changes: int = 3
    failures: int = 3
    zone_down: float = 4.0
    cut: float = 0.0
    delays: tuple = (0.0002, 0.0014, 0.055)
    spread: float = 2.0
    seed: int = 1


@dataclass(kw_only=True)
class Counters:
    """A snapshot of all counters, to be subtracted from a later one."""

    at: float
    messages: Counter
    bytes: Counter
    disk: Counter
    calls: Counter
    lost: Counter
    steps: dict
    costs: dict
    sent: dict
    received: dict


@dataclass(kw_only=True)
class HollowFleet:
    """A fleet of one size. `step` runs the plan and returns the figures."""

    size: Size
    plan: Plan
    report_progress: Callable[[str], None] = lambda text: None
    network: Network = None
    controllers: list = field(default_factory=list)
    proxies: list = field(default_factory=list)
    in_force: dict = field(default_factory=dict)
    version: int = 0

    def step(self) -> dict:
        """Run all phases."""
        gc.collect()
        gc.disable()
        started_at, before = time.process_time(), _rss()
        rng = random.Random(self.plan.seed)
        self._build(rng=rng)
        figures = {"size": {**vars(self.size), "controllers": self.size.core}, "rise": self._start_up(rng=rng)}
        for name, run_phase in (
            ("quiet", self._stay_quiet),
            ("changes", self._change_config),
            ("failures", self._kill_proxies),
            ("zone", self._lose_zone),
            ("cut", self._cut_region),
        ):
            gc.collect()
            figures[name] = run_phase()
            self.report_progress(f"{name}: {_summary(figures[name])}")
        figures["rss_bytes_each"] = (_rss() - before) / (self.size.daemons + self.size.core)
        figures["took_s"] = round(time.process_time() - started_at, 1)
        gc.enable()
        return figures

    def _build(self, *, rng: random.Random) -> None:
        size, zones = self.size, zones_of(size=self.size)
        self.network = Network(delays=self.plan.delays, pages=list_pages(size=size))
        self.network.on_log = self._on_log

        def make(member: Member, now: float, hosted) -> object:
            start, nonce = int(1e12 + now * 1e6), f"{rng.getrandbits(48):012x}"
            if member.role == "controller":
                return Controller(
                    location=hosted.location,
                    platform=hosted.platform,
                    nonce=nonce,
                    start=start,
                    rng=random.Random(nonce),
                    records=list(member.records),
                    now=now,
                    options=hosted.options,
                )
            return Proxy(location=hosted.location, start=start, rng=random.Random(nonce), options=hosted.options)

        for role, count, members in (
            ("controller", size.core, self.controllers),
            ("proxy", size.daemons, self.proxies),
        ):
            for index in range(count):
                hosted = hosted_of(size=size, role=role, index=index, zones=zones)
                location = hosted.location
                member = Member(
                    name=location.name,
                    role=role,
                    zone=location.zone,
                    region=location.region,
                    post=location.post,
                    make=lambda member, now, hosted=hosted: make(member, now, hosted),
                )
                self.network.add(member=member)
                members.append(member)

    def _on_log(self, member: Member, log: LogEvent) -> None:
        if log.event == "in-force" and log.fields.get("register") == "config" and member.role == "proxy":
            self.in_force[member.post] = (log.fields["number"], self.network.now)

    def _start_up(self, *, rng: random.Random) -> dict:
        network = self.network
        for member in self.controllers:
            network.start(member=member, delay=rng.random() * 0.2)
        is_core_up = network.run(seconds=PHASE_TIMEOUT, condition=self._is_core_up)
        core_s = network.now
        network.run(seconds=1.0)
        accepted = self._send_change(method="PUT", document=make_document(size=self.size, version=1), if_match="0")
        started_at, before = network.now, self._snapshot()
        for member in self.proxies:
            network.start(member=member, delay=rng.random() * self.plan.spread)
        is_ready = network.run(seconds=PHASE_TIMEOUT, condition=self._all_ready)
        ready_s = network.now - started_at
        network.run(seconds=5.0)
        figures = {
            "core_s": round(core_s, 2),
            "core_up": is_core_up,
            "accepted_s": accepted,
            "all_ready": is_ready,
            "ready_s": round(ready_s, 2),
            **self._rates_since(before=before),
        }
        self.report_progress(f"rise: {_summary(figures)}")
        return figures

    def _stay_quiet(self) -> dict:
        before = self._snapshot()
        self.network.run(seconds=self.plan.seconds)
        return self._rates_since(before=before)

    def _change_config(self) -> dict:
        before, durations, accepted = self._snapshot(), [], []
        for _ in range(self.plan.changes):
            number = max((number for number, _ in self.in_force.values()), default=0)
            started_at = self.network.now
            patch = make_patch(size=self.size, version=self.version + 1)
            accepted.append(self._send_change(method="PATCH", document=patch, if_match=f"r{self.version}"))
            is_done = self.network.run(
                seconds=PHASE_TIMEOUT, condition=lambda number=number: self._all_in_force(number=number + 1)
            )
            durations.append(
                round(max((at for _, at in self.in_force.values()), default=started_at) - started_at, 3)
                if is_done
                else None
            )
            self.network.run(seconds=max(0.0, 2.0 - (self.network.now - started_at)))
        return (
            {"accepted_s": accepted, "in_force_s": durations, **self._rates_since(before=before)}
            if self.plan.changes
            else {}
        )

    def _kill_proxies(self) -> dict:
        if not self.plan.failures:
            return {}
        before, durations = self._snapshot(), []
        for at in range(self.plan.failures):
            killed, started_at = self.proxies[(at * 7 + 1) % len(self.proxies)], self.network.now
            self.network.kill(member=killed)
            is_known = self.network.run(
                seconds=PHASE_TIMEOUT, condition=lambda killed=killed: not self._is_listed(killed=killed)
            )
            durations.append(round(self.network.now - started_at, 2) if is_known else None)
            self.network.start(member=killed)
            self.network.run(seconds=4.0)
        return {"known_s": durations, **self._rates_since(before=before)}

    def _lose_zone(self) -> dict:
        if not self.plan.zone_down or self.size.zones < 2:
            return {}
        zone = self.controllers[-1].zone
        lost = [controller for controller in (*self.controllers, *self.proxies) if controller.zone == zone]
        before = self._snapshot()
        for member in lost:
            self.network.kill(member=member)
        self.network.run(seconds=self.plan.zone_down)
        down = self._rates_since(before=before)
        before, started_at = self._snapshot(), self.network.now
        for at, member in enumerate(lost):
            self.network.start(member=member, delay=at / max(1, len(lost)) * 0.5)
        is_ready = self.network.run(seconds=PHASE_TIMEOUT, condition=self._all_ready)
        ready = self.network.now - started_at
        self.network.run(seconds=max(0.0, 5.0 - ready))
        return {
            "lost": len(lost),
            "ready": is_ready,
            "ready_s": round(ready, 2),
            "down": down,
            "return": self._rates_since(before=before),
        }

    def _cut_region(self) -> dict:
        if not self.plan.cut or self.size.regions < 2:
            return {}
        region = f"region-{self.size.regions - 1}"
        self.network.cut_regions = {region}
        self.network.run(seconds=min(2.0, self.plan.cut))
        number = max((number for number, _ in self.in_force.values()), default=0)
        accepted = self._send_change(
            method="PATCH", document=make_patch(size=self.size, version=self.version + 1), if_match=f"r{self.version}"
        )
        self.network.run(seconds=self.plan.cut)
        self.network.cut_regions = set()
        before, started_at = self._snapshot(), self.network.now
        has_recovered = self.network.run(seconds=PHASE_TIMEOUT, condition=lambda: self._all_in_force(number=number + 1))
        recovery_s = self.network.now - started_at
        self.network.run(seconds=max(0.0, 5.0 - recovery_s))
        return {
            "accepted_s": accepted,
            "healed": has_recovered,
            "healed_s": round(recovery_s, 2),
            **self._rates_since(before=before),
        }

    def _send_change(self, *, method: str, document: dict, if_match: str) -> float | None:
        """Seconds until an operator's change was accepted, None if it was not."""
        started_at, body = self.network.now, json.dumps(document, separators=(",", ":")).encode()
        for attempt in range(5):
            token = f"desk {method} {self.version + 1} {attempt} {started_at}"
            send_operator_request(
                network=self.network,
                member=self.controllers[0],
                token=token,
                method=method,
                path="/config",
                body=body,
                if_match=if_match,
            )
            self.network.run(seconds=12.0, condition=lambda token=token: token in self.network.answers)
            answer = self.network.answers.pop(token, None)
            if answer is not None and answer.code == 200:
                self.version += 1
                return round(self.network.now - started_at, 3)
            if answer is not None and answer.code != 503:
                self.report_progress(f"the change was refused: {answer.code} {answer.body[:200]!r}")
                return None
        return None

    def _is_core_up(self) -> bool:
        return sum(
            controller.owner is not None and controller.owner.is_voting for controller in self.controllers
        ) >= min(3, len(self.controllers))

    def _all_ready(self) -> bool:
        return all(proxy.owner is not None and proxy.owner.is_ready for proxy in self.proxies)

    def _all_in_force(self, *, number: int) -> bool:
        return all(
            self.in_force.get(proxy.post, (0, 0))[0] >= number for proxy in self.proxies if proxy.owner is not None
        )

    def _is_listed(self, *, killed: Member) -> bool:
        return any(killed.name in proxy.owner.context.peers for proxy in self.proxies if proxy.owner is not None)

    def _snapshot(self) -> Counters:
        network, members = self.network, [*self.controllers, *self.proxies]
        return Counters(
            at=network.now,
            messages=network.messages.copy(),
            bytes=network.bytes.copy(),
            disk=network.disk.copy(),
            calls=network.calls.copy(),
            lost=network.lost.copy(),
            steps={key: tuple(row) for key, row in network.steps.items()},
            costs={member.post: member.cost.copy() for member in members},
            sent={member.post: member.sent.copy() for member in members},
            received={member.post: member.received.copy() for member in members},
        )

    def _rates_since(self, *, before: Counters) -> dict:
        """All figures since the snapshot, per second."""
        after, span = self._snapshot(), max(1e-9, self.network.now - before.at)
        kinds: dict = {}
        for (kind, link), count in (after.messages - before.messages).items():
            row = kinds.setdefault(kind, {})
            row[link] = [
                round(count / span, 2),
                round((after.bytes[(kind, link)] - before.bytes[(kind, link)]) / span, 1),
            ]
        links = {
            link: [round(sum(row.get(link, [0, 0])[at] for row in kinds.values()), 1) for at in (0, 1)]
            for link in LINKS
        }
        steps = {
            f"{role} {what}": [
                round((row[0] - before.steps.get((role, what), (0, 0))[0]) / span, 2),
                round((row[1] - before.steps.get((role, what), (0, 0.0))[1]) / span, 5),
            ]
            for (role, what), row in after.steps.items()
            if row[0] > before.steps.get((role, what), (0, 0))[0]
        }
        roles = {}
        for role, members in (("controller", self.controllers), ("proxy", self.proxies)):
            cpu = [sum((after.costs[member.post] - before.costs[member.post]).values()) / span for member in members]
            out = [(after.sent[member.post]["bytes"] - before.sent[member.post]["bytes"]) / span for member in members]
            into = [
                (after.received[member.post]["bytes"] - before.received[member.post]["bytes"]) / span
                for member in members
            ]
            parts = {
                part: sum(after.costs[member.post][part] - before.costs[member.post][part] for member in members)
                / span
                / len(members)
                for part in ("step", "pack", "unpack", "check")
            }
            messages = sum(
                after.sent[member.post]["messages"] - before.sent[member.post]["messages"] for member in members
            )
            roles[role] = {
                "cpu": _spread(values=cpu),
                "out": _spread(values=out),
                "in": _spread(values=into),
                "cpu_parts": {name: round(value, 6) for name, value in parts.items()},
                "messages_out": round(messages / span / len(members), 2),
            }
        return {
            "span_s": round(span, 2),
            "roles": roles,
            "links": links,
            "kinds": kinds,
            "steps": steps,
            "lost": dict(after.lost - before.lost),
            "syncs": round((after.disk["syncs"] - before.disk["syncs"]) / span, 3),
            "disk_bytes": round((after.disk["bytes"] - before.disk["bytes"]) / span, 1),
            "calls": {name: round(count / span, 2) for name, count in (after.calls - before.calls).items()},
        }


def _spread(*, values: list) -> list:
    """Mean, minimum, maximum."""
    return [round(sum(values) / len(values), 6), round(min(values), 6), round(max(values), 6)]


def _rss() -> int:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def _summary(figures: dict) -> str:
    shown = {name: value for name, value in figures.items() if name.endswith("_s") and name != "span_s"}
    inner = figures.get("return", figures)
    if "roles" in inner:
        shown |= {f"{role} cpu": inner["roles"][role]["cpu"][0] for role in inner["roles"]}
        shown |= {
            f"{role} bytes": inner["roles"][role]["out"][0] + inner["roles"][role]["in"][0] for role in inner["roles"]
        }
    return " ".join(f"{name}={value}" for name, value in shown.items())
