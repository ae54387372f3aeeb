"""The operators' stand-in: sends configurations and orders, reads back, keeps what it was told."""

from __future__ import annotations

import copy
import hashlib
import itertools
import json
from typing import TYPE_CHECKING

from sailward.events import RequestReceived, Respond

if TYPE_CHECKING:
    from simulation.sim.world import World


class Operators:
    """All operators of one fleet."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._count = itertools.count(1)
        self.on_accept: list = []
        self.config = copy.deepcopy(world.deployment.config)

    def ask(
        self,
        *,
        method: str,
        path: str,
        body: object = None,
        controller: str = "",
        headers: dict | None = None,
        query: dict | None = None,
        then=None,
    ) -> None:
        """One exchange with a controller: the named one, or the first that is up."""
        world = self._world
        nodes = [
            node
            for node in world.nodes.values()
            if node.location.kind == "controller" and (node.up or node.location.name == controller)
        ]
        node = world.nodes[controller] if controller else (nodes[0] if nodes else None)
        if node is None:
            if then:
                then(None)
            return
        text = body if isinstance(body, bytes) else (b"" if body is None else json.dumps(body).encode())
        event = RequestReceived(
            token=f"op {next(self._count)}",
            method=method,
            path=path,
            query=query or {},
            headers=headers or {},
            body=text,
        )
        ended = []

        def got(answer: Respond | None) -> None:
            if not ended:
                ended.append(1)
                if then:
                    then(answer)

        node.ask(event=event, answer=got)
        world.clock.after(9.0, lambda: got(None))

    def found(self, *, controllers: list[str]) -> None:
        """Join the controllers into a core."""
        nodes = [self._world.nodes[name] for name in controllers]
        members = {node.owner.identity: node.location.post for node in nodes}
        for node in nodes:
            self.ask(method="POST", path="/found", body={"members": members}, controller=node.location.name)

    def note_bounds(self, *, config: dict, begun: float) -> None:
        """Write down what each service's workers bear, as the operator wrote it."""
        for name, one in (config.get("services") or {}).items():
            if isinstance(one, dict) and "rate" in one:
                self._world.history.add(
                    t=self._world.clock.now,
                    k="cold-bound",
                    service=name,
                    cold=one.get("cold_rate", 5.0),
                    rate=one["rate"],
                    ramp=one.get("cold_ramp_s", 20.0),
                    begun=begun,
                )

    def put(
        self, *, config: object, controller: str = "", if_match: str = "", invalid: bool = False, is_patch: bool = False
    ) -> None:
        """Send a configuration, whole or as a patch."""
        world, begun = self._world, self._world.clock.now
        headers = {"if-match": f'"{if_match}"'} if if_match else {}

        def then(answer: Respond | None) -> None:
            seen = json.loads(answer.body) if answer else {}
            outcome = seen.get("outcome", "unknown") if answer else "unknown"
            world.history.add(
                t=world.clock.now,
                k="put",
                begun=begun,
                outcome=outcome,
                number=seen.get("number", 0),
                code=answer.code if answer else 0,
                invalid=invalid,
                digest=digest_of(config=config),
                given=config,
                patch=is_patch,
                error=seen.get("error", ""),
                controller=controller,
                expected=int(if_match) if if_match else None,
            )
            if outcome == "accepted":
                if isinstance(config, dict):
                    self.note_bounds(config=config, begun=begun)
                if self.on_accept:
                    self.on_accept.pop()()

        self.ask(
            method="PATCH" if is_patch else "PUT",
            path="/config",
            body=config,
            controller=controller,
            headers=headers,
            then=then,
        )

    def read_back(self, *, controller: str = "") -> None:
        """Read the configuration."""
        world, begun = self._world, self._world.clock.now

        def then(answer: Respond | None) -> None:
            if answer is None or answer.code != 200:
                world.history.add(t=world.clock.now, k="read-failed", code=answer.code if answer else 0)
                return
            seen = json.loads(answer.body)
            world.history.add(
                t=world.clock.now,
                k="read-back",
                begun=begun,
                number=seen["number"],
                digest=digest_of(config=seen["config"]),
                config=seen["config"],
                controller=controller,
            )

        self.ask(method="GET", path="/config", controller=controller, then=then)

    def read_orders(self) -> None:
        """Read which zones are emptied."""
        world, begun = self._world, self._world.clock.now

        def then(answer: Respond | None) -> None:
            if answer is not None and answer.code == 200:
                emptied = json.loads(answer.body)["orders"].get("emptied", [])
                world.history.add(t=world.clock.now, k="orders-read", begun=begun, emptied=emptied)

        self.ask(method="GET", path="/orders", then=then)

    def order(self, *, zone: str, empty: bool, confirm: bool = False, controller: str = "") -> None:
        """Empty a zone, or take it back."""
        world, begun = self._world, self._world.clock.now

        def then(answer: Respond | None) -> None:
            if answer is not None and answer.code == 200:
                world.history.add(t=world.clock.now, k="emptied" if empty else "refilled", hall=zone, begun=begun)
            else:
                seen = json.loads(answer.body) if answer else {}
                world.history.add(
                    t=world.clock.now,
                    k="order-refused",
                    hall=zone,
                    empty=empty,
                    begun=begun,
                    code=answer.code if answer else 0,
                    error=seen.get("error", ""),
                )

        self.ask(
            method="POST",
            path=f"/halls/{zone}/{'empty' if empty else 'refill'}",
            query={"confirm": "yes"} if confirm else {},
            controller=controller,
            then=then,
        )


def digest_of(*, config: object) -> str:
    """The same for the same content."""
    return hashlib.blake2b(json.dumps(config, sort_keys=True, default=repr).encode(), digest_size=8).hexdigest()
