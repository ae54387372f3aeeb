"""Paging the platform's list: a pass counts whole or not at all."""
from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.acts import Call, Called, Log

WORKER = {"id": str, "generation": int, "service": str, "address": str, "hall": str, "leaving": bool}


@dataclass(frozen=True, kw_only=True)
class WholeList:
    """One unbroken pass over the platform's list."""

    epoch: int
    revision: int
    workers: list


@dataclass(frozen=True, kw_only=True)
class BrokenPass:
    """A pass that failed, changed under way or was cut short."""

    reason: str


@dataclass(kw_only=True)
class Pager:
    """Owner of the passes. `step` gives (commands, WholeList or None)."""

    platform: str
    passes: int = 0
    next_at: float = 0.0
    token: str = ""
    pages: list = field(default_factory=list)
    failing: bool = False

    def step(self, *, now: float, event: Called | None) -> tuple[list, WholeList | None]:
        """Take a page, or None for time going on."""
        if event is not None:
            return self._take_page(event=event) if event.token == self.token else ([], None)
        if not self.platform or self.token or now < self.next_at:
            return [], None
        self.passes, self.pages, self.next_at = self.passes + 1, [], now + constants.LIST_EVERY
        return [self._ask(after="")], None

    def _ask(self, *, after: str) -> Call:
        self.token = f"list.{self.passes}.{len(self.pages)}"
        path = f"/workers?limit={constants.LIST_PAGE}&after={after}"
        return Call(token=self.token, owner="platform", address=self.platform, method="GET", path=path,
                    headers={}, body=b"", wait=constants.LIST_WAIT, fresh=False)

    def _take_page(self, *, event: Called) -> tuple[list, WholeList | None]:
        page = read_page(event=event)
        if isinstance(page, BrokenPass):
            return self._break_off(fault=page)
        self.pages.append(page)
        if page["next"]:
            return [self._ask(after=page["next"])], None
        self.token = ""
        whole = join_pages(pages=self.pages)
        if isinstance(whole, BrokenPass):
            return self._break_off(fault=whole)
        commands = [Log(event="list-read-again")] if self.failing else []
        self.failing = False
        return commands, whole

    def _break_off(self, *, fault: BrokenPass) -> tuple[list, None]:
        self.token = ""
        commands = [] if self.failing else [Log(event="list-pass-broken", fields={"reason": fault.reason})]
        self.failing = True
        return commands, None


def read_page(*, event: Called) -> dict | BrokenPass:
    """One page of the list, checked."""
    if event.code != 200:
        return BrokenPass(reason=event.fault or f"code:{event.code}")
    try:
        page = json.loads(event.body)
    except ValueError:
        return BrokenPass(reason="not-json")
    fields = {"epoch": int, "revision": int, "total": int, "next": str, "workers": list}
    if not isinstance(page, dict) or not all(isinstance(page.get(n), k) for n, k in fields.items()):
        return BrokenPass(reason="page-fields")
    for worker in page["workers"]:
        if not isinstance(worker, dict) or not all(isinstance(worker.get(n), k) for n, k in WORKER.items()):
            return BrokenPass(reason="worker-fields")
    return page


def join_pages(*, pages: list) -> WholeList | BrokenPass:
    """The whole list, if the pages are of one revision and count up."""
    first = pages[0]
    if any((page["epoch"], page["revision"]) != (first["epoch"], first["revision"]) for page in pages):
        return BrokenPass(reason="changed-under-way")
    workers = [worker for page in pages for worker in page["workers"]]
    if len(workers) != first["total"] or len({worker["id"] for worker in workers}) != len(workers):
        return BrokenPass(reason="cut-short")
    return WholeList(epoch=first["epoch"], revision=first["revision"], workers=workers)
