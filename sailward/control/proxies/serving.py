"""A controller's answers to the daemons that poll it.

It grants leases, sends the numbers of the newest values, and pushes new values.
"""

from __future__ import annotations

from sailward import constants
from sailward.consensus.learner import is_control_register
from sailward.control.controller_options import ControllerOptions
from sailward.control.endpoints.endpoint_list import EndpointList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.membership import Membership
from sailward.control.group.redirect import other_controllers
from sailward.control.group.voter import Voter
from sailward.control.proxies.aggregated_health import AggregatedHealth
from sailward.control.proxies.proxy_registry import ProxyRegistry
from sailward.control.proxies.subscribers import Subscribers
from sailward.discovery.peer_table import PeerTable, kind_of
from sailward.events import Command, SendMessage
from sailward.wire_types import Message, PeerEntry


class Serving:
    """Serves the daemons that poll this controller.

    `answer` grants leases, `acknowledge` records an acknowledgement, `push` sends new values.

    `wall_offset`: s to add to this process's monotonic clock to get the machine's wall clock, set with each tick.
    """

    def __init__(
        self,
        *,
        voter: Voter,
        peer_table: PeerTable,
        membership: Membership,
        catch_up: CatchUp,
        contact_watch: ContactWatch,
        subscribers: Subscribers,
        endpoint_list: EndpointList,
        aggregated_health: AggregatedHealth,
        proxy_registry: ProxyRegistry,
        options: ControllerOptions,
    ) -> None:
        self._voter, self._peer_table, self._membership, self._catch_up = voter, peer_table, membership, catch_up
        self._subscribers, self._endpoint_list, self._aggregated_health, self._proxy_registry = (
            subscribers,
            endpoint_list,
            aggregated_health,
            proxy_registry,
        )
        self._contact_watch = contact_watch
        self._publishes_proxy_list, self._is_bootstrapped = options.publishes_proxy_list, options.bootstrap is not None
        self.wall_offset = 0.0

    def answer(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Answer one `ask`: push the values that the sender lacks, and grant a lease."""
        if self._publishes_proxy_list and kind_of(entry=body["daemon"]) != "controller":
            return self._answer_proxy(now=now, sender=sender, body=body)
        commands: list[Command] = [*self._subscribers.step(now=now, event=(sender, body), updates=self.updates())]
        # read before the joining controller is recorded: the grant reflects what was known when it asked
        newest = self._voter.newest_votes()
        if self._is_bootstrapped:
            commands += self._on_joiner(now=now, sender=sender, daemon=body["daemon"])
            learned = self._voter.learner.values.get("voters")
            if learned is not None and learned.value["number"] > newest.get("voters", [0])[0]:
                # a grant of a voter that already knows the next set of voters does not count under the previous set
                newest["voters"] = [learned.value["number"], learned.value["mark"], learned.ballot]
        commands += self._record_versions(now=now, sender=sender, have=body["have"])
        return [*commands, self._grant(now=now, sender=sender, body=body, newest=newest)]

    def acknowledge(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Record one `ack` of a push."""
        return [*self._subscribers.step(now=now, event=(sender, body), updates={})]

    def push(self, *, now: float) -> list[Command]:
        """Push to each daemon the values that it lacks, unless this controller may not serve."""
        updates = self.updates() if self._contact_watch.may_serve(now=now) else {}
        return [*self._subscribers.step(now=now, event=None, updates=updates)]

    def updates(self) -> dict[str, tuple]:
        """{name: (number, ballot, value)} of all values that are pushed."""
        updates = {
            name: (learned.value["number"], learned.ballot, learned.value)
            for name, learned in self._voter.learner.values.items()
            if learned.value["number"]
        }
        workers = self._endpoint_list
        if workers.value is not None:
            updates["workers"] = (workers.revision, [workers.epoch, ""], workers.value)
        fleet = self._proxy_registry.value() if self._publishes_proxy_list else None
        if fleet is not None:
            updates["fleet"] = (fleet["number"], [0, ""], fleet)
        return updates

    def _answer_proxy(self, *, now: float, sender: str, body: Message) -> list[Command]:
        """Push the values that a proxy lacks.

        Without contact with a majority, values are pushed only to a proxy that finds no other controller, and marked
        as such.
        """
        may_serve = self._contact_watch.may_serve(now=now)
        is_last_resort = body["report"].get("last_resort") is True
        updates = self.updates() if may_serve or is_last_resort else {}
        pushes = self._subscribers.step(now=now, event=(sender, body), updates=updates)
        if not may_serve:
            pushes = [SendMessage(to=push.to, body={**push.body, "contact": False}) for push in pushes]
        commands: list[Command] = [*pushes]
        commands += self._record_versions(now=now, sender=sender, have=body["have"])
        return [*commands, self._presence_answer(sender=sender, body=body, may_serve=may_serve)]

    def _presence_answer(self, *, sender: str, body: Message, may_serve: bool) -> SendMessage:
        """Answer without a lease: this controller's presence, its location, and whether it has contact with a majority.

        An answer without the field `contact` means that it has. One without contact names other controllers to ask.
        """
        location = self._voter.location
        grant = {
            "kind": "grant",
            "seq": body["seq"],
            "newest": {},
            "identity": "",
            "voting": self._voter.is_voting,
            "proxies": 0,
            "view": {"place": [location.zone, location.region]},
        }
        if not may_serve:
            grant["contact"] = False
            members = self._voter.voters.members
            grant["controllers"] = other_controllers(peer_table=self._peer_table, members=members, own=location.post)
        return SendMessage(to=sender, body=grant)

    def _grant(self, *, now: float, sender: str, body: Message, newest: dict) -> SendMessage:
        is_new_subscriber = now - self._subscribers.members[sender].first_seen_at < constants.SLOW_START_REPORT_DURATION
        return SendMessage(
            to=sender,
            body={
                "kind": "grant",
                "seq": body["seq"],
                "newest": newest,
                "identity": self._voter.identity,
                "voting": self._voter.is_voting,
                "proxies": len(self._subscribers.proxies()),
                "view": {
                    **self._aggregated_health.view(include_healthy_durations=is_new_subscriber),
                    "doubt": self._membership.has_unknown_outcomes(now=now),
                    "wall": self.wall_offset + now,
                },
            },
        )

    def _record_versions(self, *, now: float, sender: str, have: dict) -> list[Command]:
        """Where the sender has newer values than this controller, start to read them at once."""
        commands: list[Command] = []
        for name, newest in have.items():
            is_newer = isinstance(newest, list) and newest[0] > self._voter.learner.number(name=name)
            if is_control_register(name=name) and is_newer:
                self._catch_up.record_stale(now=now, name=name)
                if self._voter.is_recovering:
                    commands.append(SendMessage(to=sender, body={"kind": "want", "register": name}))
        return commands

    def _on_joiner(self, *, now: float, sender: str, daemon: PeerEntry) -> list[Command]:
        if kind_of(entry=daemon) != "controller":
            return []
        return self._peer_table.step(now=now, event=(sender, {"entries": [daemon], "reply": True}))
