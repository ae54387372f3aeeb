"""The parts of a controller that its status and metrics are read from."""

from __future__ import annotations

from dataclasses import dataclass

from sailward.control.administration.admin_api import AdminApi
from sailward.control.endpoints.endpoint_list import EndpointList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.membership import Membership
from sailward.control.group.voter import Voter
from sailward.control.proxies.aggregated_health import AggregatedHealth
from sailward.control.proxies.subscribers import Subscribers
from sailward.discovery.peer_table import PeerTable
from sailward.events import RefusedInput, UnexpectedEvents


@dataclass(frozen=True, kw_only=True)
class StatusSources:
    """The parts of a controller that its status is read from."""

    voter: Voter
    peer_table: PeerTable
    membership: Membership
    contact_watch: ContactWatch
    subscribers: Subscribers
    aggregated_health: AggregatedHealth
    endpoint_list: EndpointList
    unexpected: UnexpectedEvents
    refused: RefusedInput
    catch_up: CatchUp
    admin_api: AdminApi
