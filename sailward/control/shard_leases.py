"""A controller's part in the keys of services that are divided by number.

Who acts, how fresh it is, and what it grants from.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING

from sailward import constants
from sailward.consensus.proposer import Begin
from sailward.control.freshness import Freshness, newest_vote
from sailward.control.grant_calls import GrantCodec
from sailward.control.grant_targets import GrantScene
from sailward.control.granting import Granting
from sailward.discovery.rendezvous import choose_names
from sailward.discovery.workers import Worker
from sailward.events import Called, Tell
from sailward.routing.slots import PREFIX
from sailward.routing.world import read_orders

if TYPE_CHECKING:
    from sailward.control.controller import Controller


class ShardLeases:
    """Owner of the grants of one controller. `step` takes a call's end, or None for time going on; `hear` a message."""

    def __init__(self, *, controller: Controller, codec: GrantCodec, hold_max: float) -> None:
        self._controller, self._codec, self._hold_max = controller, codec, hold_max
        self.freshness = Freshness()
        self.granting: dict[str, Granting] = {}
        self._listed: object = None
        self._workers: dict[str, Worker] = {}
        self._cold: dict[str, float] = {}
        self._emptied: frozenset = frozenset()
        self._down: dict[str, float] = {}
        self._loads: dict[str, tuple[float, dict]] = {}
        self._ops = 0

    def hear(self, *, now: float, sender: str, body: dict) -> list:
        """Answer another controller's asking, or fold an answer."""
        controller = self._controller
        if body["kind"] == "confirm":
            known, held = controller.voters["number"], controller.held.held.get("voters")
            if controller.voting and body["voters"] < known and held is not None:
                return [
                    Tell(
                        to=sender,
                        body={"kind": "chosen", "register": "voters", "ballot": held.ballot, "value": held.value},
                    )
                ]
            if not controller.voting or body["voters"] != known:
                return []
            newest = {
                name: newest_vote(slots=controller.acceptor.slots, name=name)
                for name in body["registers"]
                if isinstance(name, str)
            }
            reply = Tell(
                to=sender,
                body={"kind": "confirmed", "seq": body["seq"], "identity": controller.identity, "newest": newest},
            )
            # a vote that is not synced yet may be lost: it is told behind the disk
            return controller.ledger.step(records=[], replies=[reply])
        for name, newest in body["newest"].items():
            if isinstance(newest, list) and newest and newest[0] > controller.held.number(name=name):
                # chosen or not, it is newer than what would be granted from
                controller.note_behind(now=now, name=name)
        return self.freshness.step(
            now=now,
            body=body,
            members=controller.voters["members"],
            number=controller.voters["number"],
            own=controller.identity,
            registers=[],
        )

    def step(self, *, now: float, event: Called | None) -> list:
        """Step the grants of each divided service."""
        controller = self._controller
        services = sorted(name for name, service in controller.moves.plan.services.items() if service.ranged)
        if event is not None:
            services = [
                name for name in services if name in self.granting and self.granting[name].is_own(token=event.token)
            ]
        if not services or controller.workers[2] is None:
            return []
        self._look(now=now)
        well = {
            one["identity"]: one["post"]
            for one in [*controller.roster.alive(kind="controller"), controller.roster.own_entry()]
            if one["fit"]
        }
        leads = (
            {name: choose_names(key=PREFIX + name, names=set(well), count=1)[0] for name in services} if well else {}
        )
        acting = [name for name, lead in leads.items() if controller.voting and lead == controller.identity]
        if event is None:
            controller.fleet.readers = frozenset(well[lead] for lead in leads.values())
        members = controller.voters["members"]
        commands = (
            self.freshness.step(
                now=now,
                body=None,
                members=members,
                number=controller.voters["number"],
                own=controller.identity,
                registers=[PREFIX + name for name in acting],
            )
            if event is None
            else []
        )
        begins = []
        for name in services:
            granting = self.granting.get(name)
            if granting is None:
                granting = self.granting[name] = Granting(
                    service=name, own=controller.proposer.identity, codec=self._codec
                )
            held = controller.held.held.get(PREFIX + name)
            until = self.freshness.until(
                now=now,
                register=PREFIX + name,
                held=controller.held,
                members=members,
                own=controller.identity,
                slots=controller.acceptor.slots,
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
                        op=f"{controller.proposer.identity}/grant{self._ops}",
                        register=register,
                        expected=expected,
                        text=text,
                        wait=constants.GRANT_LEASE,
                    )
                )
        return commands + controller.begin(now=now, begins=begins)

    def _loads_of(self, *, now: float, service: str, is_acting: bool) -> dict:
        """Loads and paces for the one that acts, added up anew now and then."""
        if not is_acting:
            self._loads.pop(service, None)
            return {}
        at, found = self._loads.get(service, (-1e9, {}))
        if now - at >= constants.GRANT_LOOK:
            paces = {
                key: pace
                for key, pace in self._controller.fleet.paces(now=now).items()
                if key in self._workers and self._workers[key].service == service
            }
            found = {"loads": self._controller.fleet.loads(now=now, service=service), "paces": paces}
            self._loads[service] = now, found
        return found

    def _look(self, *, now: float) -> None:
        """Fold the list, the orders and what proxies call unreachable into what is granted from."""
        controller = self._controller
        orders = controller.held.held.get("orders")
        emptied = read_orders(value=orders.value) if orders else frozenset()
        if controller.workers[2] is not self._listed:
            self._listed = controller.workers[2]
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
                service = controller.moves.plan.services.get(worker.service)
                if worker.hall == hall and service is not None:
                    self._cold[key] = max(self._cold.get(key, 0.0), now + service.cold + constants.COLD_MARGIN)
        self._emptied = emptied
        self._workers = {
            key: replace(worker, cold=max(0.0, self._cold.get(key, now) - now)) for key, worker in self._workers.items()
        }
        said = controller.fleet.down(now=now, proxies=controller.subscribers.proxies())
        down = {key for key, (count, voices) in said.items() if 2 * count > voices}
        self._down = {key: self._down.get(key, now) for key in down}
