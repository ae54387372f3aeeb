"""Reading of the platform's list of workers: one controller polls it and sends it to all others."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from sailward import constants
from sailward.control.endpoints.incarnations import Incarnations
from sailward.discovery.endpoint_pages import Pager
from sailward.discovery.endpoint_rows import UNREADABLE_LIST, is_incarnation_row, read_workers
from sailward.discovery.rendezvous import choose_names
from sailward.events import CallFinished, LogEvent, RefusedInput, SendMessage
from sailward.wire_types import Message, PeerEntry


@dataclass(kw_only=True)
class EndpointPoller:
    """Polls the list of workers, or follows the controller that does.

    `step` takes a page, or None for a timer tick; `receive` another controller's list.

    Hashing chooses one live controller, which reads the platform's list. It informs the others of each pass, and sends
    the rows only if they are new; a controller that hears of no pass for ENDPOINT_LIST_READER_TIMEOUT, as after a
    network partition, reads the list itself.
    """

    pager: Pager
    incarnations: Incarnations
    last_update_at: float = -1e9
    sent_versions: dict = field(default_factory=dict)
    refused: RefusedInput = field(default_factory=RefusedInput)

    def step(
        self, *, now: float, event: CallFinished | None, controllers: list[PeerEntry], own: PeerEntry, is_needed: bool
    ) -> tuple[list, bool]:
        """Returns (commands, has the list changed).

        `controllers` are the other live ones; `is_needed`: does anyone read the list from this controller?
        """
        names = [own["id"], *(controller["id"] for controller in controllers)]
        is_reader = choose_names(key="list", names=names, count=1) == [own["id"]]
        if event is None and (
            not is_needed or (not is_reader and now - self.last_update_at < constants.ENDPOINT_LIST_READER_TIMEOUT)
        ):
            return [], False
        self.pager.pollers = constants.ENDPOINT_LIST_READERS
        commands, complete_list = self.pager.step(now=now, event=event)
        if complete_list is None:
            return commands, False
        is_newer = self.incarnations.step(now=now, rows=complete_list.workers)
        if is_newer:
            commands.append(
                LogEvent(
                    event="endpoint-list-updated",
                    fields={"revision": self.incarnations.number, "workers": len(complete_list.workers)},
                )
            )
        if is_reader:
            posts = {controller["post"] for controller in controllers}
            self.sent_versions = {post: version for post, version in self.sent_versions.items() if post in posts}
            commands += [self._send_list(to=controller, rows=complete_list.workers) for controller in controllers]
        return commands, is_newer

    def receive(self, *, now: float, body: Message) -> tuple[list, bool]:
        """Adopt the list sent by the controller that reads it from the platform."""
        self.last_update_at = now
        if not body["rows"]:
            return [], False
        rows = read_workers(text=body["rows"], check=is_incarnation_row)
        if rows is None:
            return self.refused.add(kind="list", reason=UNREADABLE_LIST), False
        is_newer = self.incarnations.step(now=now, rows=rows)
        return (
            [
                LogEvent(
                    event="endpoint-list-updated", fields={"revision": self.incarnations.number, "workers": len(rows)}
                )
            ]
            if is_newer
            else []
        ), is_newer

    def _send_list(self, *, to: dict, rows: list) -> SendMessage:
        version = (to["start"], self.incarnations.number)
        is_known = self.sent_versions.get(to["post"]) == version
        self.sent_versions[to["post"]] = version
        text = "" if is_known else json.dumps(rows, separators=(",", ":"))
        return SendMessage(to=to["post"], body={"kind": "list", "number": self.incarnations.number, "rows": text})
