"""The platform's list of workers in a controller: read by one controller, told to all others."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.control.endpoints.incarnations import Incarnations
from sailward.discovery.endpoint_pages import Pager
from sailward.discovery.endpoint_rows import UNREADABLE_LIST, is_life, read_workers
from sailward.discovery.rendezvous import choose_names
from sailward.events import Called, Log, RefusedInput, Tell


@dataclass(kw_only=True)
class Listing:
    """Owner of the list as this controller tells it.

    `step` takes a page, or None for time going on; `hear` another's list.

    The one of the living controllers that hashing names reads the platform's list. It tells the others of each pass,
    with rows only where they are new; who hears of none for LIST_SILENT, as after a cut, reads the list itself.
    """

    pager: Pager
    lives: Incarnations
    heard: float = -1e9
    told: dict = field(default_factory=dict)
    refused: RefusedInput = field(default_factory=RefusedInput)

    def step(
        self, *, now: float, event: Called | None, controllers: list[dict], own: dict, is_wanted: bool
    ) -> tuple[list, bool]:
        """(commands, is the list news).

        `controllers` are the others that live; `is_wanted`: does anyone read it here?
        """
        names = [own["id"], *(one["id"] for one in controllers)]
        is_reader = choose_names(key="list", names=names, count=1) == [own["id"]]
        if event is None and (not is_wanted or (not is_reader and now - self.heard < constants.LIST_SILENT)):
            return [], False
        self.pager.pollers = constants.LIST_READERS
        commands, whole = self.pager.step(now=now, event=event)
        if whole is None:
            return commands, False
        is_news = self.lives.step(now=now, rows=whole.workers)
        if is_news:
            commands.append(
                Log(event="list-news", fields={"revision": self.lives.number, "workers": len(whole.workers)})
            )
        if is_reader:
            posts = {one["post"] for one in controllers}
            self.told = {post: version for post, version in self.told.items() if post in posts}
            commands += [self._tell(to=one, rows=whole.workers) for one in controllers]
        return commands, is_news

    def hear(self, *, now: float, body: dict) -> tuple[list, bool]:
        """Take the reader's list."""
        self.heard = now
        if not body["rows"]:
            return [], False
        rows = read_workers(text=body["rows"], check=is_life)
        if rows is None:
            return self.refused.add(kind="list", reason=UNREADABLE_LIST), False
        is_news = self.lives.step(now=now, rows=rows)
        return (
            [Log(event="list-news", fields={"revision": self.lives.number, "workers": len(rows)})] if is_news else []
        ), is_news

    def _tell(self, *, to: dict, rows: list) -> Tell:
        version = (to["start"], self.lives.number)
        is_known = self.told.get(to["post"]) == version
        self.told[to["post"]] = version
        text = "" if is_known else json.dumps(rows, separators=(",", ":"))
        return Tell(to=to["post"], body={"kind": "list", "number": self.lives.number, "rows": text})
