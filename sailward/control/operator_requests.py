"""Operators' requests to a controller: status and metrics at any time, orders only in contact with a majority."""

from __future__ import annotations

from sailward.control.administration.admin_api import AdminApi
from sailward.control.administration.metrics import answer_metrics
from sailward.control.administration.status_report import show_status
from sailward.control.administration.status_sources import StatusSources
from sailward.control.endpoints.endpoint_list import EndpointList
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.disaster_recovery import log_recovery_order
from sailward.control.group.membership import Membership
from sailward.control.group.redirect import redirect_or_reject
from sailward.control.group.write_ahead import WriteAhead
from sailward.control.registers import Registers
from sailward.discovery.peer_table import PeerTable
from sailward.events import Command, RequestReceived, Respond
from sailward.routing.proxied_request import answer_json


class OperatorRequests:
    """Dispatches each request to the part that answers it. `step` takes one request and returns commands."""

    def __init__(
        self,
        *,
        admin_api: AdminApi,
        contact_watch: ContactWatch,
        peer_table: PeerTable,
        membership: Membership,
        registers: Registers,
        endpoint_list: EndpointList,
        write_ahead: WriteAhead,
        status: StatusSources,
    ) -> None:
        self._admin_api, self._contact_watch, self._peer_table = admin_api, contact_watch, peer_table
        self._membership, self._registers, self._endpoint_list = membership, registers, endpoint_list
        self._write_ahead, self._status = write_ahead, status

    def step(self, *, now: float, event: RequestReceived) -> list[Command]:
        """Answer a request; without contact an order is refused or redirected to another controller."""
        match (event.method, event.path):
            case ("GET", "/status"):
                return [answer_json(token=event.token, code=200, body=show_status(sources=self._status, now=now))]
            case ("GET", "/metrics"):
                return [answer_metrics(token=event.token, sources=self._status, now=now)]
            case ("POST", "/found"):
                return self._membership.found(now=now, event=event)
            case ("POST", "/found-anew"):
                return self._order_recovery(now=now, event=event)
        if not self._contact_watch.may_attempt(now=now):
            return [
                redirect_or_reject(now=now, event=event, dialect=self._admin_api.dialect, peer_table=self._peer_table)
            ]
        if (event.method, event.path) == ("GET", "/workers"):
            return [self._show_workers(event=event)]
        commands, operations = self._admin_api.step(event=event)
        return commands + self._registers.begin(now=now, operations=operations)

    def _show_workers(self, *, event: RequestReceived) -> Respond:
        workers = self._endpoint_list
        body = {"epoch": workers.epoch, "revision": workers.revision, "workers": workers.rows()}
        return answer_json(token=event.token, code=200, body=body)

    def _order_recovery(self, *, now: float, event: RequestReceived) -> list[Command]:
        order = self._membership.order_recovery(now=now, event=event)
        if isinstance(order, Respond):
            return [order]
        commands = self._registers.learn(now=now, name="voters", ballot=order.ballot, value=order.value, announce=True)
        # announced only after the record is synced
        replies = [log_recovery_order(value=order.value), *commands, order.answer]
        return self._write_ahead.step(records=[order.record], replies=replies)
