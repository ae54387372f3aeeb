"""A controller's list of workers, read from the platform's own pages or through an adapter for another platform."""

from __future__ import annotations

import json

from sailward.control.endpoints.endpoint_poller import EndpointPoller
from sailward.control.endpoints.incarnations import Incarnations
from sailward.discovery.endpoint_pages import ListReader, Pager
from sailward.discovery.peer_table import PeerTable
from sailward.events import CallFinished, Command, LogEvent, RefusedInput
from sailward.wire_types import Message, RegisterValue


class EndpointList:
    """Maintains the list. `step` takes a page, or None for a timer tick; `receive` another controller's list.

    `value` has the form of a register's value and is None until the first complete list; (`epoch`, `revision`) grows
    with each change.
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
        self.value: RegisterValue | None = None
        self._has_reader = reader is not None
        self._pager = Pager(platform=platform, reader=reader, rate=rate)
        self._poller = EndpointPoller(
            pager=self._pager, incarnations=Incarnations(post=post, number=start), refused=refused
        )

    def rows(self) -> list:
        """The workers of the list."""
        return json.loads(self.value["text"]) if self.value else []

    def step(
        self, *, now: float, event: CallFinished | None, peer_table: PeerTable, is_needed: bool
    ) -> tuple[list[Command], bool]:
        """Returns (commands, has the list changed). `is_needed`: does anyone read the list from this controller?"""
        if not self._has_reader:
            return self._step_platform_list(now=now, event=event)
        commands, is_newer = self._poller.step(
            now=now,
            event=event,
            controllers=peer_table.alive(kind="controller"),
            own=peer_table.own_entry(),
            is_needed=is_needed,
        )
        self._adopt_incarnations()
        return commands, is_newer

    def receive(self, *, now: float, body: Message) -> tuple[list[Command], bool]:
        """Adopt the list sent by the controller that reads it from the platform."""
        commands, is_newer = self._poller.receive(now=now, body=body)
        self._adopt_incarnations()
        return commands, is_newer

    def _step_platform_list(self, *, now: float, event: CallFinished | None) -> tuple[list[Command], bool]:
        commands, complete_list = self._pager.step(now=now, event=event)
        if complete_list is None or (complete_list.epoch, complete_list.revision) <= (self.epoch, self.revision):
            return commands, False
        rows = sorted(complete_list.workers, key=lambda row: row["id"])
        self.epoch, self.revision = complete_list.epoch, complete_list.revision
        self.value = {
            "number": complete_list.revision,
            "mark": str(complete_list.epoch),
            "trail": [],
            "text": json.dumps(rows),
        }
        commands.append(
            LogEvent(event="endpoint-list-updated", fields={"revision": complete_list.revision, "workers": len(rows)})
        )
        return commands, True

    def _adopt_incarnations(self) -> None:
        incarnations = self._poller.incarnations
        self.epoch, self.revision, self.value = 0, incarnations.number, incarnations.value
