"""The controller: builds its parts and dispatches each event to the part that handles it."""

from __future__ import annotations

import random

from sailward import constants
from sailward.config.dialect import NativeDialect
from sailward.consensus.proposer import Proposer, StartOperation
from sailward.consensus.voter_set import VoterSet
from sailward.control.administration.admin_api import AdminApi
from sailward.control.administration.status_sources import StatusSources
from sailward.control.controller_options import ControllerOptions
from sailward.control.endpoints.endpoint_list import EndpointList
from sailward.control.grant_codec import GrantCodec
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.graceful_shutdown import GracefulShutdown
from sailward.control.group.membership import Membership
from sailward.control.group.quorum_contact import QuorumContact
from sailward.control.group.voter import Voter
from sailward.control.message_handlers import MessageHandlers
from sailward.control.operator_requests import OperatorRequests
from sailward.control.proxies.aggregated_health import AggregatedHealth
from sailward.control.proxies.proxy_registry import ProxyRegistry
from sailward.control.proxies.serving import Serving
from sailward.control.proxies.subscribers import Subscribers
from sailward.control.registers import Registers
from sailward.control.shards.shard_leases import ShardLeases
from sailward.control.shards.shard_moves import ShardMoves
from sailward.discovery.peer_table import Location, PeerTable
from sailward.events import (
    CallFinished,
    ClientDisconnected,
    Command,
    ConfigValidated,
    DiskWriteFailed,
    Event,
    MessageReceived,
    RecordsSynced,
    RefusedInput,
    RequestReceived,
    ShutdownRequested,
    TimerFired,
    UnexpectedEvents,
)
from sailward.wire_types import Record

NEVER = -1e9


class Controller:
    """Owner of a controller process. `step` takes one event and returns commands.

    It only wires the parts together and dispatches events. Each part receives its dependencies by keyword, and none
    depends on the controller.
    """

    def __init__(
        self,
        *,
        location: Location,
        platform: str,
        nonce: str,
        start: int,
        rng: random.Random,
        records: list[Record],
        now: float,
        options: ControllerOptions | None = None,
    ) -> None:
        self.options = options or ControllerOptions()
        self.location, self.start = location, start
        self.unexpected, self.refused = UnexpectedEvents(), RefusedInput()
        self._operation_prefix = f"{location.name}#{nonce}"
        self._build_voter(nonce=nonce, rng=rng, records=records, now=now)
        self._build_membership(now=now)
        self._build_administration()
        self._build_contact(now=now)
        self._build_endpoints(platform=platform)
        self._build_proxies()
        self._build_shards()
        self._build_dispatch()
        self._move_count = 0
        self._startup_commands = self.voter.startup_commands
        self._health_updated_at, self._rewrite_tried_at = NEVER, NEVER

    def _build_voter(self, *, nonce: str, rng: random.Random, records: list[Record], now: float) -> None:
        """Votes, learned values, records on disk, and the proposer of operations on registers."""
        self.voter = Voter(
            location=self.location, nonce=nonce, records=records, now=now, bootstrap=self.options.bootstrap
        )
        self.learner, self.acceptor, self.write_ahead = self.voter.learner, self.voter.acceptor, self.voter.write_ahead
        self.proposer = Proposer(identity=self._operation_prefix, rng=rng)

    def _build_membership(self, *, now: float) -> None:
        """The peers known by gossip, and which of them vote."""
        options = self.options
        self.peer_table = PeerTable(
            location=self.location,
            start=self.start,
            identity=self.voter.identity,
            interval=options.gossip_interval,
            timeout=options.suspect_after,
            is_mesh=options.is_mesh,
            has_disk=options.has_disk,
        )
        self.membership = Membership(
            voter=self.voter,
            peer_table=self.peer_table,
            options=options,
            op_prefix=self._operation_prefix,
            now=now,
        )
        self.graceful_shutdown = GracefulShutdown(
            voter=self.voter, peer_table=self.peer_table, is_enabled=options.bootstrap is not None
        )

    def _build_administration(self) -> None:
        """The operators' requests in flight."""
        self.admin_api = AdminApi(
            identity=self._operation_prefix,
            dialect=self.options.dialect or NativeDialect(),
            timeout=self.options.operation_timeout,
            zones=frozenset(zone for zone, _ in self.options.zones),
            refused=self.refused,
        )

    def _build_contact(self, *, now: float) -> None:
        """Contact with a majority, and reads of stale registers."""
        contact = QuorumContact(started_at=now)
        self._required_contact = contact if self.options.is_mesh else None
        self.catch_up = CatchUp(
            voter=self.voter,
            op_prefix=self._operation_prefix,
            read_interval_s=self.options.read_interval,
            contact=self._required_contact,
        )
        self.contact_watch = ContactWatch(
            contact=contact,
            voter=self.voter,
            peer_table=self.peer_table,
            catch_up=self.catch_up,
            pending_orders=self.admin_api,
            is_required=self.options.is_mesh,
        )

    def _build_endpoints(self, *, platform: str) -> None:
        """The platform's list of workers."""
        self.endpoint_list = EndpointList(
            platform=platform,
            post=self.location.post,
            start=self.start,
            reader=self.options.reader,
            rate=self.options.list_rate,
            refused=self.refused,
        )

    def _build_proxies(self) -> None:
        """The proxies' subscriptions, their reports, and the registry of proxies."""
        self.subscribers = Subscribers(post=self.location.post if self.options.reader else "")
        self.aggregated_health = AggregatedHealth()
        self.proxy_registry = ProxyRegistry(
            post=self.location.post, zone=self.location.zone, region=self.location.region
        )
        self.serving = Serving(
            voter=self.voter,
            peer_table=self.peer_table,
            membership=self.membership,
            catch_up=self.catch_up,
            contact_watch=self.contact_watch,
            subscribers=self.subscribers,
            endpoint_list=self.endpoint_list,
            aggregated_health=self.aggregated_health,
            proxy_registry=self.proxy_registry,
            options=self.options,
        )

    def _build_shards(self) -> None:
        """Moves of shards, and leases on key ranges if the platform's workers support them."""
        self.shard_moves = ShardMoves()
        self.shard_leases = self._make_shard_leases(codec=self.options.grants) if self.options.grants else None

    def _build_dispatch(self) -> None:
        """The dispatchers over the parts: operations on registers, messages by kind, operators' requests and status."""
        self.registers = Registers(
            voter=self.voter,
            proposer=self.proposer,
            contact=self._required_contact,
            admin_api=self.admin_api,
            peer_table=self.peer_table,
            membership=self.membership,
            catch_up=self.catch_up,
            shard_moves=self.shard_moves,
            serving=self.serving,
            shard_leases=self.shard_leases,
            expand=self.options.expand,
            refused=self.refused,
        )
        self.messages = MessageHandlers(
            voter=self.voter,
            peer_table=self.peer_table,
            registers=self.registers,
            membership=self.membership,
            catch_up=self.catch_up,
            contact_watch=self.contact_watch,
            serving=self.serving,
            endpoint_list=self.endpoint_list,
            proxy_registry=self.proxy_registry,
            shard_leases=self.shard_leases,
            options=self.options,
        )
        status = StatusSources(
            voter=self.voter,
            peer_table=self.peer_table,
            membership=self.membership,
            contact_watch=self.contact_watch,
            subscribers=self.subscribers,
            aggregated_health=self.aggregated_health,
            endpoint_list=self.endpoint_list,
            unexpected=self.unexpected,
            refused=self.refused,
            catch_up=self.catch_up,
            admin_api=self.admin_api,
        )
        self.operator_requests = OperatorRequests(
            admin_api=self.admin_api,
            contact_watch=self.contact_watch,
            peer_table=self.peer_table,
            membership=self.membership,
            registers=self.registers,
            endpoint_list=self.endpoint_list,
            write_ahead=self.write_ahead,
            status=status,
        )

    def step(self, *, now: float, event: Event) -> list[Command]:
        """Handle one event; returns commands."""
        commands, self._startup_commands = self._startup_commands, []
        return commands + self._dispatch(now=now, event=event)

    @property
    def identity(self) -> str:
        """The identity under which this process votes; a new one after it was removed from the voters."""
        return self.voter.identity

    @property
    def voters(self) -> VoterSet:
        """The voter set under which this process acts."""
        return self.voter.voters

    @property
    def is_voting(self) -> bool:
        """May this process vote and grant?"""
        return self.voter.is_voting

    def _dispatch(self, *, now: float, event: Event) -> list[Command]:
        match event:
            case MessageReceived():
                return self.messages.step(now=now, sender=event.sender, body=event.body)
            case RequestReceived():
                return self.operator_requests.step(now=now, event=event)
            case ClientDisconnected():
                return self._drop_order(now=now, event=event)
            case CallFinished():
                return self._on_call_finished(now=now, event=event)
            case RecordsSynced() | DiskWriteFailed():
                return self.write_ahead.receive(event=event)
            case ConfigValidated():
                commands, operations = self.admin_api.step(event=event)
                return commands + self.registers.begin(now=now, operations=operations)
            case ShutdownRequested():
                return self.graceful_shutdown.begin(now=now)
            case TimerFired():
                return self._tick(now=now, event=event)
            case _:
                return self.unexpected.add_unknown(event=event)

    def _drop_order(self, *, now: float, event: ClientDisconnected) -> list[Command]:
        """Drop a zone order that has not begun: its client is gone and has probably retried at another controller."""
        self.admin_api.on_client_disconnected(token=event.token)
        return []

    # calls to the platform's list of workers and to workers

    def _on_call_finished(self, *, now: float, event: CallFinished) -> list[Command]:
        if event.token.startswith(("grant ", "release ")):
            return self.registers.step_shard_leases(now=now, event=event)
        return self._step_endpoint_list(now=now, event=event)

    def _step_endpoint_list(self, *, now: float, event: CallFinished | None) -> list[Command]:
        # a controller that is not a voter reads the list only if proxies subscribe to it
        is_needed = not self.voters.members or self.is_voting or self.subscribers.has_followers()
        commands, is_newer = self.endpoint_list.step(
            now=now, event=event, peer_table=self.peer_table, is_needed=is_needed
        )
        return commands + (self.serving.push(now=now) if is_newer else [])

    def _make_shard_leases(self, *, codec: GrantCodec) -> ShardLeases:
        return ShardLeases(
            voter=self.voter,
            peer_table=self.peer_table,
            catch_up=self.catch_up,
            shard_moves=self.shard_moves,
            endpoint_list=self.endpoint_list,
            proxy_registry=self.proxy_registry,
            subscribers=self.subscribers,
            codec=codec,
            lease_max=self.options.lease_max,
            op_prefix=self._operation_prefix,
        )

    # periodic work

    def _tick(self, *, now: float, event: TimerFired) -> list[Command]:
        self.serving.wall_offset = event.wall - now
        commands = self.contact_watch.step(now=now)
        commands += self.registers.tick(now=now)
        commands += self.contact_watch.send_heartbeats(now=now)
        commands += self._step_endpoint_list(now=now, event=None)
        commands += self._move_slots(now=now)
        commands += self._step_proxy_registry(now=now)
        commands += self.registers.step_shard_leases(now=now, event=None)
        commands += self.registers.begin(now=now, operations=self.catch_up.step(now=now))
        commands += self.voter.drop_expired_claims(now=now)
        commands += self._step_membership(now=now)
        self._update_own_entry(now=now)
        commands += self._update_aggregated_health(now=now) + self.graceful_shutdown.step(now=now)
        return commands + self._repair_disk(now=now)

    def _step_proxy_registry(self, *, now: float) -> list[Command]:
        if not self.options.publishes_proxy_list:
            return []
        controllers = [*self.peer_table.alive(kind="controller"), self.peer_table.own_entry()]
        return self.proxy_registry.step(
            now=now, event=None, proxies=self.subscribers.proxies(), controllers=controllers
        )

    def _step_membership(self, *, now: float) -> list[Command]:
        commands, operations = self.membership.step(now=now)
        self.admin_api.controllers = self.membership.controllers
        return commands + self.registers.begin(now=now, operations=operations)

    def _update_own_entry(self, *, now: float) -> None:
        """Update what the peer table announces about this process."""
        self.peer_table.is_fit = self.is_voting
        self.peer_table.active_proxies = "" if self.options.is_mesh else self.subscribers.active_proxy_names(now=now)
        if self.options.bootstrap:
            # without a disk to write to, a controller that is no voter announces no identity, so that it is not added
            may_act = (self.write_ahead.is_usable and self.options.has_disk) or self.voter.is_member
            self.peer_table.identity = self.identity if may_act else ""

    def _update_aggregated_health(self, *, now: float) -> list[Command]:
        if now - self._health_updated_at < constants.HEALTH_AGGREGATION_INTERVAL:
            return []
        self._health_updated_at = now
        return self.serving.push(now=now) + self.aggregated_health.step(now=now, proxies=self.subscribers.proxies())

    def _repair_disk(self, *, now: float) -> list[Command]:
        """Retry a rewrite of the file while the disk can't be written."""
        if (
            self.write_ahead.is_usable
            or self.write_ahead.rewrite_seq
            or now - self._rewrite_tried_at <= constants.REPAIR_INTERVAL
        ):
            return []
        self._rewrite_tried_at = now
        return [self.write_ahead.rewrite()]

    def _move_slots(self, *, now: float) -> list[Command]:
        if not self.is_voting:
            return []
        changes = self.shard_moves.step(
            now=now,
            own=self.identity,
            controllers=[*self.peer_table.alive(kind="controller"), self.peer_table.own_entry()],
            learner=self.learner,
            aggregated_health=self.aggregated_health,
            workers=self.endpoint_list.value,
            epoch=self.endpoint_list.epoch,
            proxies=self.subscribers.proxies(),
        )
        operations = []
        for name, number, text in changes:
            self._move_count += 1
            op = f"{self._operation_prefix}/move{self._move_count}"
            operations.append(
                StartOperation(op=op, register=name, expected=number, text=text, timeout=constants.ROUND_TIMEOUT * 3)
            )
        return self.registers.begin(now=now, operations=operations)
