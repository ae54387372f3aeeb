"""The fleet as the core tells it: the proxies that ask any cellar, where the cellars are, and what proxies report of workers."""
from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.acts import Tell
from sailward.house.subscribers import Subscriber

SAME = ["same"]
"""Rows that are as the receiver has them."""


@dataclass(kw_only=True)
class Told:
    """What one other cellar said last of its own proxies."""

    at: float
    number: int
    rows: list
    down: dict
    loads: dict


@dataclass(kw_only=True)
class Fleet:
    """Owner of the fleet's view. `step` folds another cellar's word, or tells the others what is new here."""

    post: str
    hall: str
    region: str
    others: dict = field(default_factory=dict)
    last: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)
    number: int = 0
    text: str = ""
    told_at: float = -1e9
    own: list = field(default_factory=list)
    own_number: int = 0
    own_down: dict = field(default_factory=dict)
    told_to: dict = field(default_factory=dict)
    rates: dict = field(default_factory=dict)

    def step(self, *, now: float, event: tuple | None, proxies: list[Subscriber], cellars: list[dict]) -> list:
        """A (sender, body) of kind fleet or want, or None for time going on; `cellars` are those of the roster that are not lost."""
        if event is not None:
            sender, body = event
            if body["kind"] == "want":
                return self._tell_again(to=sender)
            old = self.others.get(sender)
            is_same, is_known = body["rows"] == SAME, old is not None and old.number == body["number"]
            rows = body["rows"] if not is_same else old.rows if old is not None else []
            number = body["number"] if is_known or not is_same else -1
            self.others[sender] = Told(at=now, number=number, rows=rows, down=body["down"], loads=body["loads"])
            # a telling was lost: the rows are wanted, and the old ones stand until they come
            return [Tell(to=sender, body={"kind": "want", "register": "fleet"})] if is_same and not is_known else []
        self._note_loads(now=now, proxies=proxies)
        own = self._own_rows(now=now, proxies=proxies)
        self._compose(now=now, own=own, cellars=cellars, down=self._agreed(now=now, proxies=proxies))
        down = self._own_down(proxies=proxies)
        changed = own != self.own or down != self.own_down
        if now - self.told_at < (constants.FLEET_LEAST if changed else constants.FLEET_EVERY):
            return []
        self.own_number += own != self.own
        self.told_at, self.own, self.own_down = now, own, down
        loads = self._own_loads()
        return [self._tell(to=one, loads=loads) for one in cellars if one["post"] != self.post]

    def _tell(self, *, to: dict, loads: dict) -> Tell:
        version = (to["start"], self.own_number)
        is_known = self.told_to.get(to["post"]) == version
        self.told_to[to["post"]] = version
        return Tell(to=to["post"], body={"kind": "fleet", "number": self.own_number, "rows": SAME if is_known else self.own, "loads": loads,
                                         "down": self.own_down})

    def _tell_again(self, *, to: str) -> list:
        """Tell the rows to a cellar that lacks them."""
        self.told_to.pop(to, None)
        return [Tell(to=to, body={"kind": "fleet", "number": self.own_number, "rows": self.own, "loads": self._own_loads(), "down": self.own_down})]

    def value(self) -> dict | None:
        """The fleet as a push carries it."""
        return {"number": self.number, "mark": self.post, "trail": [], "text": self.text} if self.text else None

    def down(self, *, now: float, proxies: list[Subscriber]) -> dict:
        """{worker: (proxies that call it unreachable, proxies that report)}."""
        counts = self._own_down(proxies=proxies)
        voices = len(proxies)
        for told in self._fresh(now=now):
            for key, count in told.down.items():
                counts[key] = counts.get(key, 0) + count
            voices += len(told.rows)
        return {key: (count, voices) for key, count in counts.items()}

    def loads(self, *, now: float, service: str) -> dict:
        """Requests/s by bucket of a divided service, over the whole fleet."""
        whole = dict(self.rates.get(service, {}))
        for told in self._fresh(now=now):
            flat = told.loads.get(service, [])
            for bucket, tenths in zip(flat[::2], flat[1::2]):
                whole[bucket] = whole.get(bucket, 0.0) + tenths / 10
        return whole

    def _fresh(self, *, now: float) -> list[Told]:
        return [told for told in self.others.values() if now - told.at < constants.FLEET_LIFE]

    def _own_rows(self, *, now: float, proxies: list[Subscriber]) -> list:
        return sorted([one.entry["id"], one.entry["http"], one.entry["hall"], one.entry["region"], bool(one.entry["fit"])]
                      for one in proxies if now - one.seen < constants.PROXY_SILENT)

    def _own_down(self, *, proxies: list[Subscriber]) -> dict:
        counts: dict = {}
        for one in proxies:
            for key in one.report.get("down", ()):
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _own_loads(self) -> dict:
        """{service: [bucket, tenths of a request a second, ...]}, the busiest."""
        told = {}
        for service, rates in self.rates.items():
            busiest = sorted(rates, key=rates.get, reverse=True)[:constants.LOADS_TOLD]
            told[service] = [number for bucket in sorted(busiest) if rates[bucket] >= constants.LOAD_LEAST
                             for number in (bucket, round(rates[bucket] * 10))]
        return told

    def _note_loads(self, *, now: float, proxies: list[Subscriber]) -> None:
        for one in proxies:
            key = (one.entry["id"], one.report.get("turn"))
            if one.report.get("turn") is None or self.seen.get(one.entry["id"]) == key[1]:
                continue
            self.seen[one.entry["id"]] = key[1]
            if one.report.get("lead") != self.post:
                continue
            for service, buckets in one.report.get("loads", {}).items():
                rates = self.rates.setdefault(service, {})
                for bucket, count in buckets.items():
                    rates[int(bucket)] = rates.get(int(bucket), 0.0) + count / constants.LOAD_SPAN
        elapsed = now - self.last.get("decay", now)
        self.last["decay"] = now
        keep = max(0.0, 1.0 - elapsed / constants.LOAD_SPAN)
        for rates in self.rates.values():
            for bucket in list(rates):
                rates[bucket] *= keep
                if rates[bucket] < constants.LOAD_LEAST / 4:
                    del rates[bucket]

    def _agreed(self, *, now: float, proxies: list[Subscriber]) -> list:
        """The workers that several proxies call unreachable, and so many that one alone can't be wrong for all."""
        return sorted(key for key, (count, voices) in self.down(now=now, proxies=proxies).items()
                      if count >= max(constants.DOWN_LEAST, constants.DOWN_SHARE * voices))

    def _compose(self, *, now: float, own: list, cellars: list[dict], down: list) -> None:
        rows = {row[0]: row for told in self.others.values() if now - told.at < constants.FLEET_LIFE for row in told.rows}
        rows |= {row[0]: row for row in own}
        posts = sorted([one["post"], one["hall"], one["region"]] for one in cellars)
        text = json.dumps({"proxies": [rows[name] for name in sorted(rows)], "cellars": posts, "down": down}, separators=(",", ":"))
        # what is down is told again while it lasts, as it is believed for a moment only
        is_due = bool(down) and now - self.last.get("composed", now) >= constants.HINT_LIFE / 2
        if text != self.text or is_due:
            self.last["composed"] = now
            self.text, self.number = text, self.number + 1
