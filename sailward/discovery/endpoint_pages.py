"""Paging the platform's list: a pass counts whole or not at all."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import quote

from sailward import constants
from sailward.discovery.endpoint_rows import is_generation, is_incarnation
from sailward.events import CallFinished, LogEvent, StartCall
from sailward.json_text import BadJson, load_json
from sailward.shapes import is_anything, is_integer, is_text, list_of, record_of

TTL = {
    "id": str,
    "generation": int,
    "service": str,
    "address": str,
    "hall": str,
    "leaving": bool,
    "capacity": int,
    "cold_s": float,
}
"""What a row of a reader's page has; `generation` is 0, as each start of a worker has an id of its own."""


@dataclass(frozen=True, kw_only=True)
class CompleteList:
    """One unbroken pass over the platform's list."""

    epoch: int
    revision: int
    workers: list


@dataclass(frozen=True, kw_only=True)
class BrokenPass:
    """A pass that failed, changed under way or was cut short."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class ListPage:
    """One page as a reader understands it: rows of LIFE's fields, and the token of the next page, "" on the last."""

    rows: list
    next: str


class ListReader(Protocol):
    """The words of a platform whose list has no numbers."""

    def path(self, *, token: str) -> str:
        """The path and query of a page: of the first one if the token is empty."""

    def read(self, *, body: bytes) -> ListPage | BrokenPass:
        """The page in these bytes."""


@dataclass(kw_only=True)
class Pager:
    """Owner of the passes. `step` gives (commands, CompleteList or None).

    With a `reader` lists have no numbers of the platform's: each CompleteList has the next number of this pager, also
    if nothing changed. `rate`: calls/s that the platform bears from all together, 0 if no bound is known; `pollers`:
    how many daemons poll now.
    """

    platform: str
    passes: int = 0
    next_at: float = 0.0
    token: str = ""
    pages: list = field(default_factory=list)
    failing: bool = False
    reader: ListReader | None = None
    rate: float = 0.0
    pollers: int = 1
    broken: int = 0
    _page_count: int = 1
    rows: dict = field(default_factory=dict)
    missed: set = field(default_factory=set)

    def step(self, *, now: float, event: CallFinished | None) -> tuple[list, CompleteList | None]:
        """Take a page, or None for time going on."""
        if event is not None:
            if event.token != self.token:
                return [], None
            return self._take_words(now=now, event=event) if self.reader else self._take_page(event=event)
        if not self.platform or self.token or now < self.next_at:
            return [], None
        every = self._backoff() if self.reader else constants.ENDPOINT_LIST_INTERVAL
        self.passes, self.pages, self.next_at = self.passes + 1, [], now + every
        return [self._request_page(after="")], None

    def _backoff(self) -> float:
        """The time between passes: all pollers together stay under ENDPOINT_LIST_RATE_RATIO of the platform's rate."""
        calls = max(1, self._page_count) * max(1, self.pollers)
        every = constants.ENDPOINT_LIST_INTERVAL + constants.ENDPOINT_LIST_PAGE_DELAY * (max(1, self._page_count) - 1)
        return max(every, calls / (constants.ENDPOINT_LIST_RATE_RATIO * self.rate) if self.rate > 0 else 0.0)

    def _take_words(self, *, now: float, event: CallFinished) -> tuple[list, CompleteList | None]:
        page = (
            BrokenPass(reason=event.fault or f"code:{event.code}")
            if event.code != 200
            else _check_rows(page=self.reader.read(body=event.body))
        )
        if isinstance(page, BrokenPass):
            self.broken += 1
            # each further broken pass doubles the pause, to a bound
            self.next_at = now + min(
                self._backoff() * 2 ** min(self.broken - 1, 8), constants.ENDPOINT_LIST_MAX_BACKOFF
            )
            return self._break_off(fault=page)
        self.pages.append(page)
        if page.next:
            if len(self.pages) >= constants.ENDPOINT_LIST_MAX_PAGES:
                return self._break_off(fault=BrokenPass(reason="endless"))
            return [self._request_page(after=page.next)], None
        self.token, self.broken, self._page_count = "", 0, len(self.pages)
        commands = [LogEvent(event="endpoint-list-reread")] if self.failing else []
        self.failing = False
        return commands, CompleteList(epoch=0, revision=self.passes, workers=self._join())

    def _join(self) -> list:
        """The rows of a pass: a later one wins; in a list of many pages one that is missing once is kept."""
        rows = {row["id"]: row for page in self.pages for row in page.rows}
        missing = set(self.rows) - set(rows)
        still_missing = missing - self.missed if len(self.pages) > 1 else set()
        self.rows = {**rows, **{name: self.rows[name] for name in still_missing}}
        self.missed = still_missing
        return [self.rows[name] for name in sorted(self.rows)]

    def _request_page(self, *, after: str) -> StartCall:
        self.token = f"list.{self.passes}.{len(self.pages)}"
        path = (
            self.reader.path(token=after)
            if self.reader
            else f"/workers?limit={constants.ENDPOINT_LIST_PAGE_SIZE}&after={quote(after)}"
        )
        return StartCall(
            token=self.token,
            owner="platform",
            address=self.platform,
            method="GET",
            path=path,
            headers={},
            body=b"",
            timeout=constants.ENDPOINT_LIST_PAGE_TIMEOUT,
            fresh=False,
        )

    def _take_page(self, *, event: CallFinished) -> tuple[list, CompleteList | None]:
        page = read_page(event=event)
        if isinstance(page, BrokenPass):
            return self._break_off(fault=page)
        self.pages.append(page)
        if page["next"]:
            if len(self.pages) >= constants.ENDPOINT_LIST_MAX_PAGES:
                return self._break_off(fault=BrokenPass(reason="endless"))
            return [self._request_page(after=page["next"])], None
        self.token = ""
        complete_list = join_pages(pages=self.pages)
        if isinstance(complete_list, BrokenPass):
            return self._break_off(fault=complete_list)
        commands = [LogEvent(event="endpoint-list-reread")] if self.failing else []
        self.failing = False
        return commands, complete_list

    def _break_off(self, *, fault: BrokenPass) -> tuple[list, None]:
        self.token = ""
        commands = (
            [] if self.failing else [LogEvent(event="endpoint-list-pass-failed", fields={"reason": fault.reason})]
        )
        self.failing = True
        return commands, None


_is_page = record_of(
    required={
        "epoch": is_integer,
        "revision": is_integer,
        "total": is_integer,
        "next": is_text,
        "workers": list_of(is_anything),
    }
)


def _check_rows(*, page: ListPage | BrokenPass) -> ListPage | BrokenPass:
    """A reader's page, if it can be told to others as it is."""
    if isinstance(page, ListPage) and not all(map(is_incarnation, page.rows)):
        return BrokenPass(reason="worker-fields")
    return page


def read_page(*, event: CallFinished) -> dict | BrokenPass:
    """One page of the list, checked."""
    if event.code != 200:
        return BrokenPass(reason=event.fault or f"code:{event.code}")
    try:
        page = load_json(text=event.body)
    except BadJson:
        return BrokenPass(reason="not-json")
    if not _is_page(page):
        return BrokenPass(reason="page-fields")
    return page if all(map(is_generation, page["workers"])) else BrokenPass(reason="worker-fields")


def join_pages(*, pages: list) -> CompleteList | BrokenPass:
    """The whole list, if the pages are of one revision and count up."""
    first = pages[0]
    if any((page["epoch"], page["revision"]) != (first["epoch"], first["revision"]) for page in pages):
        return BrokenPass(reason="changed-under-way")
    workers = [worker for page in pages for worker in page["workers"]]
    if len(workers) != first["total"] or len({worker["id"] for worker in workers}) != len(workers):
        return BrokenPass(reason="cut-short")
    return CompleteList(epoch=first["epoch"], revision=first["revision"], workers=workers)
