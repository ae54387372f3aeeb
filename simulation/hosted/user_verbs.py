"""Steps of scenarios by clients and operators."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from simulation.hosted.bad_configs import BODY_FAULTS, DOCUMENT_FAULTS
from simulation.hosted.choosing import ROLES, resolve_role
from simulation.hosted.operators import ANSWER_TIMEOUT, SendOptions

if TYPE_CHECKING:
    from simulation.hosted.world import World


class UserVerbs:
    """Steps by clients and operators."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_load(self, seconds: str, times: str = "1", *kinds: str) -> None:
        """Clients send requests at `times` the deployment's rates, of all kinds or some."""
        chosen = tuple(kind for kind in self._world.deployment.kinds if not kinds or kind.name in kinds)
        self._world.load(until=self._world.clock.now + float(seconds), times=float(times), kinds=chosen)

    def do_hot_key(self, seconds: str, times: str, key: str) -> None:
        """Clients send further requests for a single key of the sharded services."""
        sharded = {service.name for service in self._world.deployment.services if service.is_sharded}
        chosen = tuple(kind for kind in self._world.deployment.kinds if kind.service in sharded)
        self._world.load(until=self._world.clock.now + float(seconds), times=float(times), kinds=chosen, key=int(key))

    def do_eager(self, share: str, seconds: str = "") -> None:
        """A share of the clients retry immediately and more often than the others."""
        for index, client in enumerate(self._world.clients):
            client.is_aggressive = index < float(share) * len(self._world.clients)
        if seconds:
            self._world.clock.after(float(seconds), lambda: self.do_eager("0"))

    def do_give_up(self, share: str, within: str, seconds: str) -> None:
        """For some seconds, a share of the clients close each attempt within `within` s and don't retry."""
        leaving = self._world.clients[: round(float(share) * len(self._world.clients))]
        for client in leaving:
            client.gives_up_within = float(within)
            self._world.clock.after(float(seconds), lambda client=client: setattr(client, "gives_up_within", 0.0))

    def do_put(self, number: str, *words: str) -> None:
        """`put NUMBER [base=N] [at=MACHINE] [only] [again=S]`: send the whole configuration.

        `only`: send it to this machine alone until it responds; `again`: the first acknowledgement is lost, and the
        configuration is sent again S s later.
        """
        named = _named_words(words=words)
        self._world.operator.put(
            number=int(number),
            base=int(named["base"]) if "base" in named else None,
            options=self._send_options(named=named, words=words),
        )

    def do_patch(self, number: str, route: str, *words: str) -> None:
        """`patch NUMBER ROUTE SERVICE=WEIGHT ... [at=MACHINE] [only] [again=S]`: change one route."""
        named = _named_words(words=words)
        options = self._send_options(named=named, words=words)
        named = {name: weight for name, weight in named.items() if name not in ("at", "again")}
        self._world.operator.patch(
            number=int(number),
            route=route,
            weights={name: float(weight) for name, weight in named.items()},
            options=options,
        )

    def do_deadline(self, route: str, seconds: str) -> None:
        """Set the deadline of a route in the next whole configuration."""
        self._world.operator.wanted.deadlines = {**self._world.operator.wanted.deadlines, route: float(seconds)}

    def do_idle(self, seconds: str) -> None:
        """Set the idle time-out of connections in the next whole configuration."""
        self._world.operator.wanted.idle_timeout = float(seconds)

    def do_storm(self, number: str, count: str, gap: str) -> None:
        """Send `count` changes with consecutive numbers, one every `gap` s, or later if the one before hasn't ended.

        They come from another operator, who reads the configuration first: each change builds on the newest version
        that was acknowledged, even if that acknowledgement was lost.
        """
        world, operator = self._world, self._world.operator

        def send_next(turn: int) -> None:
            previous = int(number) + turn - 1
            if turn and any(
                version.number == previous and version.outcome == "open" for version in operator.versions.values()
            ):
                world.clock.after(float(gap), lambda: send_next(turn))
            elif turn < int(count):
                weights = {"notes": 1.0, "tracks": float(turn % 4)}
                operator.patch(number=previous + 1, route="notes-read", weights=weights, is_informed=True)
                world.clock.after(float(gap), lambda: send_next(turn + 1))

        send_next(0)

    def do_lose_acks(self, share: str, seconds: str = "") -> None:
        """Lose a share of the acknowledgements to the operator, for some seconds or from now on."""
        world = self._world
        world.operator.lost_ack_share = float(share)
        if seconds:
            world.record_trouble(names={"operator"}, seconds=float(seconds))
            world.clock.after(float(seconds), lambda: setattr(world.operator, "lost_ack_share", 0.0))

    def do_impatient(self, wait: str, seconds: str) -> None:
        """For some seconds, the operator waits only `wait` s for a response before it asks another controller."""
        world = self._world
        world.operator.answer_timeout = float(wait)
        world.record_trouble(names={"operator"}, seconds=float(seconds))
        world.clock.after(float(seconds), lambda: setattr(world.operator, "answer_timeout", ANSWER_TIMEOUT))

    def do_shift(self, zone: str, to_zone: str, share: str, seconds: str) -> None:
        """Move a share of a zone's clients to another zone, and back after some seconds."""
        world = self._world
        target = next(client.node for client in world.clients if client.node.zone == to_zone)
        movers = [client for client in world.clients if client.node.zone == zone]
        for mover in movers[: max(1, round(float(share) * len(movers)))]:
            origin = mover.node
            mover.node = dataclasses.replace(
                origin, zone=target.zone, region=target.region, names=target.names | {origin.name}
            )
            mover.addresses_until = 0.0
            world.clock.after(float(seconds), lambda mover=mover, origin=origin: setattr(mover, "node", origin))

    def do_read_config(self, machine: str = "") -> None:
        """The operator reads the newest configuration in the middle of a run."""
        self._world.operator.read_back(machine=machine, row_kind="read-config")

    def do_drop(self, route: str) -> None:
        """Omit this route from the next whole configuration."""
        self._world.operator.wanted.dropped_routes += (route,)

    def do_restore_routes(self) -> None:
        """Omit no route from the next whole configuration."""
        self._world.operator.wanted.dropped_routes = ()

    def do_drop_service(self, service: str) -> None:
        """Omit this service from the next whole configuration; its routes must lead elsewhere by then."""
        self._world.operator.wanted.dropped_services += (service,)

    def do_unshard(self, service: str) -> None:
        """Omit the setting `sharded` of this service from the next whole configuration."""
        self._world.operator.wanted.unsharded_services += (service,)

    def do_restore_services(self) -> None:
        """Omit no service, and no setting `sharded`, from the next whole configuration."""
        self._world.operator.wanted.dropped_services = self._world.operator.wanted.unsharded_services = ()

    def do_split(self, route: str, *words: str) -> None:
        """Split a route by these weights in the next whole configuration."""
        self._world.operator.wanted.weights = {
            **self._world.operator.wanted.weights,
            route: {name: float(weight) for name, weight in _named_words(words=words).items()},
        }

    def do_grow(self, routes: str) -> None:
        """Add this many further routes to the next whole configuration."""
        self._world.operator.wanted.extra_routes = int(routes)

    def do_put_invalid(self, number: str, mode: str) -> None:
        """Send an invalid configuration (see bad_configs.py), or with `stale` a valid one on an older version."""
        operator = self._world.operator
        if mode == "stale":
            operator.put(number=int(number), base=operator.older())
            return
        number = str(operator.newest()) if mode == "same" else number
        operator.put(number=int(number), spoil=DOCUMENT_FAULTS.get(mode), spoil_body=BODY_FAULTS.get(mode))

    def do_evacuate(self, zone: str, *words: str) -> None:
        """`evacuate ZONE [at=MACHINE]`: evacuate a zone."""
        self._world.operator.evacuate(zone=zone, first_machine=_named_words(words=words).get("at", ""))

    def do_take_back(self, zone: str, *words: str) -> None:
        """`take-back ZONE [at=MACHINE]`: end the evacuation of a zone."""
        self._world.operator.evacuate(zone=zone, is_refill=True, first_machine=_named_words(words=words).get("at", ""))

    def do_edit(self, *words: str) -> None:
        """`edit [at=MACHINE] [pause=S]`: read the configuration and change a route; `pause`: s before each retry."""
        named = _named_words(words=words)
        self._world.operator.edit(first_machine=named.get("at", ""), retry_pause=float(named.get("pause", 0)))

    def do_read_orders(self) -> None:
        """The operator reads which zones are evacuated."""
        self._world.operator.read_orders()

    def do_hang_up(self, seconds: str) -> None:
        """From now on, the operator waits only some seconds for a response before it asks another controller."""
        self._world.operator.answer_timeout = float(seconds)

    def do_read_back(self, machine: str = "") -> None:
        """The operator reads the newest configuration."""
        self._world.operator.read_back(machine=machine)

    def _send_options(self, *, named: dict, words: tuple) -> SendOptions:
        machine = named.get("at", "")
        return SendOptions(
            first_machine=resolve_role(world=self._world, word=machine) if machine in ROLES else machine,
            is_pinned="only" in words,
            resend_after=float(named.get("again", 0.0)),
        )


def _named_words(*, words: tuple) -> dict:
    return dict(word.split("=", 1) for word in words if "=" in word)
