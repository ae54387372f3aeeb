"""A controller's part in the keys of services that are divided by number.

Who acts, how fresh it is, and what it grants from.
"""

from __future__ import annotations

import json
from dataclasses import replace

from sailward import constants
from sailward.consensus.proposer import Begin
from sailward.control.endpoints.endpoint_list import WorkerList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.voter import Voter
from sailward.control.proxies.proxy_registry import Fleet
from sailward.control.proxies.subscribers import Subscribers
from sailward.control.shards.freshness import Freshness, newest_vote
from sailward.control.shards.grant_calls import GrantCodec
from sailward.control.shards.grant_targets import GrantScene
from sailward.control.shards.granting import Granting
from sailward.control.shards.shard_moves import Moves
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.peer_table import Roster
from sailward.discovery.rendezvous import choose_names
from sailward.events import Called, Command, Tell
from sailward.routing.routing_state import read_orders
from sailward.routing.shard_owners import PREFIX


class ShardLeases:
    """Owner of the grants of one controller. `step` takes a call's end, or None for time going on; `hear` a message."""

    def __init__(
        self,
        *,
        voter: Voter,
        roster: Roster,
        catch_up: CatchUp,
        moves: Moves,
        worker_list: WorkerList,
        fleet: Fleet,
        subscribers: Subscribers,
        codec: GrantCodec,
        hold_max: float,
        op_prefix: str,
    ) -> None:
        self._voter, self._roster, self._catch_up, self._moves = voter, roster, catch_up, moves
        self._worker_list, self._fleet, self._subscribers = worker_list, fleet, subscribers
        self._codec, self._hold_max, self._op_prefix = codec, hold_max, op_prefix
        self.freshness = Freshness()
        self.granting: dict[str, Granting] = {}
        self._listed: dict | None = None
        self._workers: dict[str, Worker] = {}
        self._cold: dict[str, float] = {}
        self._emptied: frozenset = frozenset()
        self._down: dict[str, float] = {}
        self._loads: dict[str, tuple[float, dict]] = {}
        self._ops = 0

    def hear(self, *, now: float, sender: str, body: dict) -> list:
        """Answer another controller's asking, or fold an answer."""
        voter = self._voter
        if body["kind"] == "confirm":
            known, held = voter.voters["number"], voter.held.held.get("voters")
            if voter.voting and body["voters"] < known and held is not None:
                return [
                    Tell(
                        to=sender,
                        body={"kind": "chosen", "register": "voters", "ballot": held.ballot, "value": held.value},
                    )
                ]
            if not voter.voting or body["voters"] != known:
                return []
            newest = {
                name: newest_vote(slots=voter.acceptor.slots, name=name)
                for name in body["registers"]
                if isinstance(name, str)
            }
            reply = Tell(
                to=sender, body={"kind": "confirmed", "seq": body["seq"], "identity": voter.identity, "newest": newest}
            )
            # a vote that is not synced yet may be lost: it is told behind the disk
            return voter.ledger.step(records=[], replies=[reply])
        for name, newest in body["newest"].items():
            if isinstance(newest, list) and newest and newest[0] > voter.held.number(name=name):
                # chosen or not, it is newer than what would be granted from
                self._catch_up.note_behind(now=now, name=name)
        return self.freshness.step(
            now=now,
            body=body,
            members=voter.voters["members"],
            number=voter.voters["number"],
            own=voter.identity,
            registers=[],
        )

    def step(self, *, now: float, event: Called | None) -> tuple[list[Command], list[Begin]]:
        """Step the grants of each divided service: (commands, operations to begin)."""
        voter = self._voter
        services = sorted(name for name, service in self._moves.plan.services.items() if service.ranged)
        if event is not None:
            services = [
                name for name in services if name in self.granting and self.granting[name].is_own(token=event.token)
            ]
        if not services or self._worker_list.value is None:
            return [], []
        self._look(now=now)
        well = {
            one["identity"]: one["post"]
            for one in [*self._roster.alive(kind="controller"), self._roster.own_entry()]
            if one["fit"]
        }
        leads = (
            {name: choose_names(key=PREFIX + name, names=set(well), count=1)[0] for name in services} if well else {}
        )
        acting = [name for name, lead in leads.items() if voter.voting and lead == voter.identity]
        if event is None:
            self._fleet.readers = frozenset(well[lead] for lead in leads.values())
        members = voter.voters["members"]
        commands = (
            self.freshness.step(
                now=now,
                body=None,
                members=members,
                number=voter.voters["number"],
                own=voter.identity,
                registers=[PREFIX + name for name in acting],
            )
            if event is None
            else []
        )
        begins = []
        for name in services:
            granting = self.granting.get(name)
            if granting is None:
                granting = self.granting[name] = Granting(service=name, own=self._op_prefix, codec=self._codec)
            held = voter.held.held.get(PREFIX + name)
            until = self.freshness.until(
                now=now,
                register=PREFIX + name,
                held=voter.held,
                members=members,
                own=voter.identity,
                slots=voter.acceptor.slots,
            )
            scene = GrantScene(
                value=held.value if held else {"number": 0, "text": ""},
                workers=self._workers,
                fresh_until=until,
                is_acting=name in acting,
                emptied=self._emptied,
                down=self._down,
                hold_max=self._hold_max,
                **self._loads_of(now=now, service=name, is_acting=name in acting),
            )
            more, changes = granting.step(now=now, event=event, scene=scene)
            commands += more
            for register, expected, text in changes:
                self._ops += 1
                begins.append(
                    Begin(
                        op=f"{self._op_prefix}/grant{self._ops}",
                        register=register,
                        expected=expected,
                        text=text,
                        wait=constants.GRANT_LEASE,
                    )
                )
        return commands, begins

    def _loads_of(self, *, now: float, service: str, is_acting: bool) -> dict:
        """Loads and paces for the one that acts, added up anew now and then."""
        if not is_acting:
            self._loads.pop(service, None)
            return {}
        at, found = self._loads.get(service, (-1e9, {}))
        if now - at >= constants.GRANT_LOOK:
            paces = {
                key: pace
                for key, pace in self._fleet.paces(now=now).items()
                if key in self._workers and self._workers[key].service == service
            }
            found = {"loads": self._fleet.loads(now=now, service=service), "paces": paces}
            self._loads[service] = now, found
        return found

    def _look(self, *, now: float) -> None:
        """Fold the list, the orders and what proxies call unreachable into what is granted from."""
        voter = self._voter
        orders = voter.held.held.get("orders")
        emptied = read_orders(value=orders.value) if orders else frozenset()
        if self._worker_list.value is not self._listed:
            self._listed = self._worker_list.value
            self._workers = {}
            for row in json.loads(self._listed["text"]):
                self._workers[row["id"]] = Worker(
                    name=row["id"],
                    generation=0,
                    service=row["service"],
                    address=row["address"],
                    hall=row["hall"],
                    leaving=row["leaving"],
                    capacity=row["capacity"],
                    cold=row["cold_s"],
                    is_life=True,
                )
                if row["cold_s"] > 0:
                    self._cold.setdefault(row["id"], now + row["cold_s"])
            self._cold = {key: at for key, at in self._cold.items() if key in self._workers}
        for hall in self._emptied - emptied:
            for key, worker in self._workers.items():
                service = self._moves.plan.services.get(worker.service)
                if worker.hall == hall and service is not None:
                    self._cold[key] = max(self._cold.get(key, 0.0), now + service.cold + constants.COLD_MARGIN)
        self._emptied = emptied
        self._workers = {
            key: replace(worker, cold=max(0.0, self._cold.get(key, now) - now)) for key, worker in self._workers.items()
        }
        said = self._fleet.down(now=now, proxies=self._subscribers.proxies())
        down = {key for key, (count, voices) in said.items() if 2 * count > voices}
        self._down = {key: self._down.get(key, now) for key in down}
