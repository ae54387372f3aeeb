"""Paging through the platform's list of workers: a pass is used only if it completes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import quote

from sailward import constants
from sailward.discovery.endpoint_rows import is_generation_row, is_incarnation_row
from sailward.events import CallFinished, LogEvent, StartCall
from sailward.json_text import BadJson, load_json
from sailward.shapes import is_anything, is_integer, is_text, list_of, record_of

ROW_FIELDS = {
    "id": str,
    "generation": int,
    "service": str,
    "address": str,
    "hall": str,
    "leaving": bool,
    "capacity": int,
    "cold_s": float,
}
"""The fields of a row of a reader's page. `generation` is 0, as each start of a worker has its own id."""


@dataclass(frozen=True, kw_only=True)
class CompleteList:
    """The result of one complete pass over the platform's list."""

    epoch: int
    revision: int
    workers: list


@dataclass(frozen=True, kw_only=True)
class FailedPass:
    """A pass that failed, was truncated, or during which the list changed."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class ListPage:
    """One page as decoded by a reader: rows with the fields ROW_FIELDS, and the next page's token ("" on the last)."""

    rows: list
    next: str


class ListReader(Protocol):
    """Adapter for the API of a platform whose list has no revision numbers."""

    def path(self, *, token: str) -> str:
        """The path and query of a page; an empty token means the first page."""

    def read(self, *, body: bytes) -> ListPage | FailedPass:
        """Decode a page."""


@dataclass(kw_only=True)
class Pager:
    """Owner of the passes. `step` returns (commands, CompleteList or None).

    With a `reader`, lists have no revision numbers of the platform: each CompleteList gets this pager's next number,
    even if nothing changed. `rate`: the platform's limit in calls/s for all pollers together, 0 if no limit is known.
    `pollers`: the number of daemons that poll at present. `failed_passes` counts failures in a row. `missing_once`: ids
    that were kept although the last pass lacked them.
    """

    platform: str
    pass_count: int = 0
    next_at: float = 0.0
    token: str = ""
    pages: list = field(default_factory=list)
    is_failing: bool = False
    reader: ListReader | None = None
    rate: float = 0.0
    pollers: int = 1
    failed_passes: int = 0
    _page_count: int = 1
    rows: dict = field(default_factory=dict)
    missing_once: set = field(default_factory=set)

    def step(self, *, now: float, event: CallFinished | None) -> tuple[list, CompleteList | None]:
        """Process a page, or None for a timer tick."""
        if event is not None:
            if event.token != self.token:
                return [], None
            return (
                self._take_reader_page(now=now, event=event) if self.reader else self._take_numbered_page(event=event)
            )
        if not self.platform or self.token or now < self.next_at:
            return [], None
        interval = self._backoff() if self.reader else constants.ENDPOINT_LIST_INTERVAL
        self.pass_count, self.pages, self.next_at = self.pass_count + 1, [], now + interval
        return [self._request_page(after="")], None

    def _backoff(self) -> float:
        """Seconds between passes: all pollers together stay under ENDPOINT_LIST_RATE_RATIO of the platform's rate."""
        calls = max(1, self._page_count) * max(1, self.pollers)
        interval = constants.ENDPOINT_LIST_INTERVAL + constants.ENDPOINT_LIST_PAGE_DELAY * (
            max(1, self._page_count) - 1
        )
        return max(interval, calls / (constants.ENDPOINT_LIST_RATE_RATIO * self.rate) if self.rate > 0 else 0.0)

    def _take_reader_page(self, *, now: float, event: CallFinished) -> tuple[list, CompleteList | None]:
        page = (
            FailedPass(reason=event.fault or f"code:{event.code}")
            if event.code != 200
            else _check_rows(page=self.reader.read(body=event.body))
        )
        if isinstance(page, FailedPass):
            self.failed_passes += 1
            # exponential backoff: each further failed pass doubles the pause, up to a limit
            self.next_at = now + min(
                self._backoff() * 2 ** min(self.failed_passes - 1, 8), constants.ENDPOINT_LIST_MAX_BACKOFF
            )
            return self._fail_pass(fault=page)
        self.pages.append(page)
        if page.next:
            if len(self.pages) >= constants.ENDPOINT_LIST_MAX_PAGES:
                return self._fail_pass(fault=FailedPass(reason="endless"))
            return [self._request_page(after=page.next)], None
        self.token, self.failed_passes, self._page_count = "", 0, len(self.pages)
        commands = [LogEvent(event="endpoint-list-reread")] if self.is_failing else []
        self.is_failing = False
        return commands, CompleteList(epoch=0, revision=self.pass_count, workers=self._merge_rows())

    def _merge_rows(self) -> list:
        """The rows of a pass; of rows with the same id, the later wins.

        If the list has several pages, a row that one pass lacks is kept once, as paging can skip rows.
        """
        rows = {row["id"]: row for page in self.pages for row in page.rows}
        missing = set(self.rows) - set(rows)
        still_missing = missing - self.missing_once if len(self.pages) > 1 else set()
        self.rows = {**rows, **{name: self.rows[name] for name in still_missing}}
        self.missing_once = still_missing
        return [self.rows[name] for name in sorted(self.rows)]

    def _request_page(self, *, after: str) -> StartCall:
        self.token = f"list.{self.pass_count}.{len(self.pages)}"
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

    def _take_numbered_page(self, *, event: CallFinished) -> tuple[list, CompleteList | None]:
        page = read_page(event=event)
        if isinstance(page, FailedPass):
            return self._fail_pass(fault=page)
        self.pages.append(page)
        if page["next"]:
            if len(self.pages) >= constants.ENDPOINT_LIST_MAX_PAGES:
                return self._fail_pass(fault=FailedPass(reason="endless"))
            return [self._request_page(after=page["next"])], None
        self.token = ""
        complete_list = join_pages(pages=self.pages)
        if isinstance(complete_list, FailedPass):
            return self._fail_pass(fault=complete_list)
        commands = [LogEvent(event="endpoint-list-reread")] if self.is_failing else []
        self.is_failing = False
        return commands, complete_list

    def _fail_pass(self, *, fault: FailedPass) -> tuple[list, None]:
        self.token = ""
        commands = (
            [] if self.is_failing else [LogEvent(event="endpoint-list-pass-failed", fields={"reason": fault.reason})]
        )
        self.is_failing = True
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


def _check_rows(*, page: ListPage | FailedPass) -> ListPage | FailedPass:
    """A reader's page if its rows are valid and so can be passed on to other daemons unchanged."""
    if isinstance(page, ListPage) and not all(map(is_incarnation_row, page.rows)):
        return FailedPass(reason="worker-fields")
    return page


def read_page(*, event: CallFinished) -> dict | FailedPass:
    """Decode and check one page of the list."""
    if event.code != 200:
        return FailedPass(reason=event.fault or f"code:{event.code}")
    try:
        page = load_json(text=event.body)
    except BadJson:
        return FailedPass(reason="not-json")
    if not _is_page(page):
        return FailedPass(reason="page-fields")
    return page if all(map(is_generation_row, page["workers"])) else FailedPass(reason="worker-fields")


def join_pages(*, pages: list) -> CompleteList | FailedPass:
    """The complete list, if all pages are of one revision and contain the announced number of workers."""
    first = pages[0]
    if any((page["epoch"], page["revision"]) != (first["epoch"], first["revision"]) for page in pages):
        return FailedPass(reason="changed-under-way")
    workers = [worker for page in pages for worker in page["workers"]]
    if len(workers) != first["total"] or len({worker["id"] for worker in workers}) != len(workers):
        return FailedPass(reason="cut-short")
    return CompleteList(epoch=first["epoch"], revision=first["revision"], workers=workers)
