"""The fleet as controllers publish it.

The proxies that poll any controller, the addresses of the controllers, and what proxies report about workers.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.control.proxies.key_loads import KeyLoads, WorkerLatencies, has_shifted, read_rates, write_rates
from sailward.control.proxies.subscribers import Subscriber
from sailward.events import Command, SendMessage
from sailward.wire_types import PeerEntry

SAME = ["same"]
"""Sent in place of rows that the receiver already has."""


@dataclass(kw_only=True)
class PeerSnapshot:
    """The latest report of another controller about its own proxies."""

    at: float
    number: int
    rows: list
    down: dict
    loads: dict


@dataclass(kw_only=True)
class ProxyRegistry:
    """Maintains the view of the fleet. `step` takes another controller's report, or sends its own.

    `load_readers` are the addresses of the controllers that assign key ranges to workers: only these are sent the
    request rates of keys (all controllers if it is None).
    """

    post: str
    zone: str
    region: str
    snapshots: dict = field(default_factory=dict)
    last_done_at: dict = field(default_factory=dict)
    last_report_turns: dict = field(default_factory=dict)
    number: int = 0
    text: str = ""
    sent_at: float = -1e9
    sent_rows: list = field(default_factory=list)
    rows_number: int = 0
    sent_down: dict = field(default_factory=dict)
    sent_versions: dict = field(default_factory=dict)
    load_readers: frozenset | None = None
    key_loads: KeyLoads = field(default_factory=KeyLoads)
    worker_latencies: WorkerLatencies = field(default_factory=WorkerLatencies)
    rates: dict = field(default_factory=dict)
    sent_rates: dict = field(default_factory=dict)
    loads_sent_at: float = -1e9

    def step(
        self, *, now: float, event: tuple | None, proxies: list[Subscriber], controllers: list[PeerEntry]
    ) -> list[Command]:
        """Handle a (sender, body) of kind fleet or want; on a timer tick (None) send the others what has changed here.

        `controllers` are those of the peer table that are not lost.
        """
        if event is not None:
            sender, body = event
            if body["kind"] == "want":
                return self._resend(now=now, to=sender)
            old = self.snapshots.get(sender)
            is_same, is_known = body["rows"] == SAME, old is not None and old.number == body["number"]
            rows = body["rows"] if not is_same else old.rows if old is not None else []
            number = body["number"] if is_known or not is_same else -1
            self.snapshots[sender] = PeerSnapshot(
                at=now, number=number, rows=rows, down=body["down"], loads=read_loads(report=body["loads"])
            )
            # an earlier report was lost: request the rows, and keep the old ones until they arrive
            return (
                [SendMessage(to=sender, body={"kind": "want", "register": "fleet"})] if is_same and not is_known else []
            )
        self._record_loads(now=now, proxies=proxies)
        if now - self.last_done_at.get("checked", -1e9) < constants.PROXY_CHECK_INTERVAL:
            return []
        self.last_done_at["checked"] = now
        self._drop_gone_controllers(now=now, posts={controller["post"] for controller in controllers})
        own = self._own_rows(now=now, proxies=proxies)
        self._publish(now=now, own=own, controllers=controllers, down=self._confirmed_down(now=now, proxies=proxies))
        down = self._own_down(proxies=proxies)
        changed = own != self.sent_rows or down != self.sent_down
        others = [controller for controller in controllers if controller["post"] != self.post]
        if now - self.sent_at < (constants.PROXY_REPORT_MIN_INTERVAL if changed else constants.PROXY_REPORT_INTERVAL):
            load_readers = [other for other in others if self._is_load_reader(to=other)]
            return self._send_to_all(now=now, to=load_readers) if load_readers and self._is_load_due(now=now) else []
        self.rows_number += own != self.sent_rows
        self.sent_at, self.sent_rows, self.sent_down = now, own, down
        return self._send_to_all(now=now, to=others)

    def _drop_gone_controllers(self, *, now: float, posts: set) -> None:
        """Drop the state kept for controllers that are gone.

        As machines are replaced, it would otherwise grow without bound.
        """
        self.snapshots = {
            post: snapshot for post, snapshot in self.snapshots.items() if now - snapshot.at < constants.PEER_TTL
        }
        # a controller that returns is sent all rows again
        self.sent_versions = {post: version for post, version in self.sent_versions.items() if post in posts}

    def _is_load_reader(self, *, to: dict) -> bool:
        return self.load_readers is None or to["post"] in self.load_readers

    def _is_load_due(self, *, now: float) -> bool:
        elapsed = now - self.loads_sent_at
        if elapsed < constants.KEY_LOAD_REPORT_MIN_INTERVAL or not (self.rates or self.sent_rates):
            return False
        return elapsed >= constants.KEY_LOAD_REPORT_INTERVAL or any(
            has_shifted(before=self.sent_rates.get(service, {}), after=rates)
            for service, rates in self.rates.items()
            if self.rates is not self.sent_rates
        )

    def _send_to_all(self, *, now: float, to: list[dict]) -> list[Command]:
        loads = self._own_loads(now=now)
        self.loads_sent_at, self.sent_rates = now, self.rates
        return [
            self._send_snapshot(to=controller, loads=loads if self._is_load_reader(to=controller) else {})
            for controller in to
        ]

    def _send_snapshot(self, *, to: dict, loads: dict) -> SendMessage:
        version = (to["start"], self.rows_number)
        is_known = self.sent_versions.get(to["post"]) == version
        self.sent_versions[to["post"]] = version
        return SendMessage(
            to=to["post"],
            body={
                "kind": "fleet",
                "number": self.rows_number,
                "rows": SAME if is_known else self.sent_rows,
                "loads": loads,
                "down": self.sent_down,
            },
        )

    def _resend(self, *, now: float, to: str) -> list:
        """Send all rows to a controller that lacks them."""
        self.sent_versions.pop(to, None)
        loads = self._own_loads(now=now) if self._is_load_reader(to={"post": to}) else {}
        return [
            SendMessage(
                to=to,
                body={
                    "kind": "fleet",
                    "number": self.rows_number,
                    "rows": self.sent_rows,
                    "loads": loads,
                    "down": self.sent_down,
                },
            )
        ]

    def value(self) -> dict | None:
        """The fleet as sent in a push."""
        return {"number": self.number, "mark": self.post, "trail": [], "text": self.text} if self.text else None

    def down(self, *, now: float, proxies: list[Subscriber]) -> dict:
        """{worker: (proxies that report it unreachable, proxies that report at all)}."""
        counts = self._own_down(proxies=proxies)
        reporting = len(proxies)
        for snapshot in self._recent_snapshots(now=now):
            for key, count in snapshot.down.items():
                counts[key] = counts.get(key, 0) + count
            reporting += len(snapshot.rows)
        return {key: (count, reporting) for key, count in counts.items()}

    def loads(self, *, now: float, service: str) -> dict:
        """Requests/s by bucket of a sharded service, over the whole fleet."""
        total = dict(self.rates.get(service, {}))
        for snapshot in self._recent_snapshots(now=now):
            for bucket, rate in snapshot.loads.get("rates", {}).get(service, {}).items():
                total[bucket] = total.get(bucket, 0.0) + rate
        return total

    def latencies(self, *, now: float) -> dict:
        """{worker: (latency in s, number of samples)} of the workers of sharded services, over the fleet."""
        total: dict = {}
        for latencies in [
            self.worker_latencies.latencies(now=now),
            *(snapshot.loads.get("paces", {}) for snapshot in self._recent_snapshots(now=now)),
        ]:
            for key, (latency, count) in latencies.items():
                before, counted = total.get(key, (0.0, 0))
                total[key] = (before * counted + latency / 1000 * count) / (counted + count), counted + count
        return total

    def _recent_snapshots(self, *, now: float) -> list[PeerSnapshot]:
        return [snapshot for snapshot in self.snapshots.values() if now - snapshot.at < constants.PROXY_REPORT_TTL]

    def _own_rows(self, *, now: float, proxies: list[Subscriber]) -> list:
        return sorted(
            [
                proxy.entry["id"],
                proxy.entry["http"],
                proxy.entry["hall"],
                proxy.entry["region"],
                bool(proxy.entry["fit"]),
            ]
            for proxy in proxies
            if now - proxy.last_seen_at < constants.PROXY_TIMEOUT
        )

    def _own_down(self, *, proxies: list[Subscriber]) -> dict:
        counts: dict = {}
        for proxy in proxies:
            for key in proxy.report.get("down", ()):
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _own_loads(self, *, now: float) -> dict:
        if not self.rates:
            return {}
        return {
            "rates": {service: write_rates(rates=rates) for service, rates in self.rates.items()},
            "paces": self.worker_latencies.latencies(now=now),
        }

    def _record_loads(self, *, now: float, proxies: list[Subscriber]) -> None:
        is_new = False
        names = {proxy.entry["id"] for proxy in proxies}
        self.last_report_turns = {name: turn for name, turn in self.last_report_turns.items() if name in names}
        for proxy in proxies:
            turn = proxy.report.get("turn")
            if turn is None or self.last_report_turns.get(proxy.entry["id"]) == turn:
                continue
            self.last_report_turns[proxy.entry["id"]] = turn
            if proxy.report.get("lead") != self.post:
                continue
            is_new = True
            for service, buckets in proxy.report.get("loads", {}).items():
                self.key_loads.step(now=now, service=service, buckets=buckets)
            self.worker_latencies.step(now=now, times=proxy.report.get("paces", {}))
        if is_new or now - self.last_done_at.get("rates", now) >= constants.KEY_LOAD_REPORT_INTERVAL:
            self.rates = self.key_loads.rates(now=now)
            self.last_done_at["rates"] = now
        self.last_done_at.setdefault("rates", now)

    def _confirmed_down(self, *, now: float, proxies: list[Subscriber]) -> list:
        """The workers that enough proxies report unreachable: a single faulty proxy must not decide for all."""
        return sorted(
            key
            for key, (count, reporting) in self.down(now=now, proxies=proxies).items()
            if count >= max(constants.UNREACHABLE_MIN_REPORTS, constants.UNREACHABLE_MIN_RATIO * reporting)
        )

    def _publish(self, *, now: float, own: list, controllers: list[PeerEntry], down: list) -> None:
        rows = {
            row[0]: row
            for snapshot in self.snapshots.values()
            if now - snapshot.at < constants.PROXY_REPORT_TTL
            for row in snapshot.rows
        }
        rows |= {row[0]: row for row in own}
        posts = sorted([controller["post"], controller["hall"], controller["region"]] for controller in controllers)
        text = json.dumps(
            {"proxies": [rows[name] for name in sorted(rows)], "cellars": posts, "down": down}, separators=(",", ":")
        )
        # unreachable workers are published again while they remain so, as the hints expire at receivers
        is_due = bool(down) and now - self.last_done_at.get("published", now) >= constants.UNREACHABLE_HINT_TTL / 2
        if text != self.text or is_due:
            self.last_done_at["published"] = now
            self.text, self.number = text, self.number + 1


def read_loads(*, report: dict) -> dict:
    """Decode another controller's report of key loads and of workers' latencies."""
    return {
        "rates": {service: read_rates(row=rates) for service, rates in report.get("rates", {}).items()},
        "paces": report.get("paces", {}),
    }
