"""The list of workers as a controller holds it: by the platform's own pages, or by those of a platform's adapter."""

from __future__ import annotations

import json

from sailward.control.endpoints.endpoint_poller import Listing
from sailward.control.endpoints.incarnations import Incarnations
from sailward.discovery.endpoint_pages import ListReader, Pager
from sailward.discovery.peer_table import Roster
from sailward.events import Called, Command, Log, RefusedInput


class WorkerList:
    """Owner of the list. `step` takes a page, or None for time going on; `hear` the list that another controller read.

    `value` has the shape of a register's value, None until the first whole list; (`epoch`, `revision`) grows with each
    change.
    """

    def __init__(
        self,
        *,
        platform: str,
        post: str,
        start: int,
        reader: ListReader | None,
        rate: float,
        refused: RefusedInput,
    ) -> None:
        self.epoch, self.revision = -1, -1
        self.value: dict | None = None
        self._has_reader = reader is not None
        self._pager = Pager(platform=platform, reader=reader, rate=rate)
        self._listing = Listing(pager=self._pager, lives=Incarnations(post=post, number=start), refused=refused)

    def rows(self) -> list:
        """The workers of the list."""
        return json.loads(self.value["text"]) if self.value else []

    def step(self, *, now: float, event: Called | None, roster: Roster, is_wanted: bool) -> tuple[list[Command], bool]:
        """(commands, is the list news). `is_wanted`: does anyone read the list here?"""
        if not self._has_reader:
            return self._step_own(now=now, event=event)
        commands, is_news = self._listing.step(
            now=now,
            event=event,
            controllers=roster.alive(kind="controller"),
            own=roster.own_entry(),
            is_wanted=is_wanted,
        )
        self._take_lives()
        return commands, is_news

    def hear(self, *, now: float, body: dict) -> tuple[list[Command], bool]:
        """Take the list of the controller that reads it."""
        commands, is_news = self._listing.hear(now=now, body=body)
        self._take_lives()
        return commands, is_news

    def _step_own(self, *, now: float, event: Called | None) -> tuple[list[Command], bool]:
        commands, whole = self._pager.step(now=now, event=event)
        if whole is None or (whole.epoch, whole.revision) <= (self.epoch, self.revision):
            return commands, False
        rows = sorted(whole.workers, key=lambda row: row["id"])
        self.epoch, self.revision = whole.epoch, whole.revision
        self.value = {"number": whole.revision, "mark": str(whole.epoch), "trail": [], "text": json.dumps(rows)}
        commands.append(Log(event="list-news", fields={"revision": whole.revision, "workers": len(rows)}))
        return commands, True

    def _take_lives(self) -> None:
        lives = self._listing.lives
        self.epoch, self.revision, self.value = 0, lives.number, lives.value
