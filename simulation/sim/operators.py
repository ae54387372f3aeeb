"""Simulated operators: send configurations and orders, read them back, and record the answers."""

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
    """All operators of one fleet. `on_accept` holds actions to run when a change is acknowledged, the last first."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._count = itertools.count(1)
        self.on_accept: list = []
        self.config = copy.deepcopy(world.deployment.config)

    def send_request(
        self,
        *,
        method: str,
        path: str,
        body: object = None,
        controller: str = "",
        headers: dict | None = None,
        query: dict | None = None,
        on_answer=None,
    ) -> None:
        """Send one request to the named controller, or to the first that is up; `on_answer` gets None after 9 s."""
        world = self._world
        nodes = [
            node
            for node in world.nodes.values()
            if node.location.kind == "controller" and (node.is_up or node.location.name == controller)
        ]
        node = world.nodes[controller] if controller else (nodes[0] if nodes else None)
        if node is None:
            if on_answer:
                on_answer(None)
            return
        encoded = body if isinstance(body, bytes) else (b"" if body is None else json.dumps(body).encode())
        event = RequestReceived(
            token=f"op {next(self._count)}",
            method=method,
            path=path,
            query=query or {},
            headers=headers or {},
            body=encoded,
        )
        finished = []

        def receive_answer(answer: Respond | None) -> None:
            if not finished:
                finished.append(1)
                if on_answer:
                    on_answer(answer)

        node.receive_request(event=event, answer=receive_answer)
        world.clock.after(9.0, lambda: receive_answer(None))

    def found_group(self, *, controllers: list[str]) -> None:
        """Found the controller group."""
        nodes = [self._world.nodes[name] for name in controllers]
        members = {node.owner.identity: node.location.post for node in nodes}
        for node in nodes:
            self.send_request(method="POST", path="/found", body={"members": members}, controller=node.location.name)

    def record_rate_bounds(self, *, config: dict, begun: float) -> None:
        """Record the rate bounds of each service's workers, as the operator wrote them."""
        for name, settings in (config.get("services") or {}).items():
            if isinstance(settings, dict) and "rate" in settings:
                self._world.history.add(
                    t=self._world.clock.now,
                    k="cold-bound",
                    service=name,
                    cold=settings.get("cold_rate", 5.0),
                    rate=settings["rate"],
                    ramp=settings.get("cold_ramp_s", 20.0),
                    begun=begun,
                )

    def put(
        self, *, config: object, controller: str = "", if_match: str = "", invalid: bool = False, is_patch: bool = False
    ) -> None:
        """Send a full configuration or a patch."""
        world, begun = self._world, self._world.clock.now
        headers = {"if-match": f'"{if_match}"'} if if_match else {}

        def on_answer(answer: Respond | None) -> None:
            reply = json.loads(answer.body) if answer else {}
            outcome = reply.get("outcome", "unknown") if answer else "unknown"
            world.history.add(
                t=world.clock.now,
                k="put",
                begun=begun,
                outcome=outcome,
                number=reply.get("number", 0),
                code=answer.code if answer else 0,
                invalid=invalid,
                digest=content_digest(config=config),
                given=config,
                patch=is_patch,
                error=reply.get("error", ""),
                controller=controller,
                expected=int(if_match) if if_match else None,
            )
            if outcome == "accepted":
                if isinstance(config, dict):
                    self.record_rate_bounds(config=config, begun=begun)
                if self.on_accept:
                    self.on_accept.pop()()

        self.send_request(
            method="PATCH" if is_patch else "PUT",
            path="/config",
            body=config,
            controller=controller,
            headers=headers,
            on_answer=on_answer,
        )

    def read_back(self, *, controller: str = "") -> None:
        """Read the configuration."""
        world, begun = self._world, self._world.clock.now

        def on_answer(answer: Respond | None) -> None:
            if answer is None or answer.code != 200:
                world.history.add(t=world.clock.now, k="read-failed", code=answer.code if answer else 0)
                return
            reply = json.loads(answer.body)
            world.history.add(
                t=world.clock.now,
                k="read-back",
                begun=begun,
                number=reply["number"],
                digest=content_digest(config=reply["config"]),
                config=reply["config"],
                controller=controller,
            )

        self.send_request(method="GET", path="/config", controller=controller, on_answer=on_answer)

    def read_orders(self) -> None:
        """Read which zones are emptied by an order."""
        world, begun = self._world, self._world.clock.now

        def on_answer(answer: Respond | None) -> None:
            if answer is not None and answer.code == 200:
                emptied = json.loads(answer.body)["orders"].get("emptied", [])
                world.history.add(t=world.clock.now, k="orders-read", begun=begun, emptied=emptied)

        self.send_request(method="GET", path="/orders", on_answer=on_answer)

    def order(self, *, zone: str, empty: bool, confirm: bool = False, controller: str = "") -> None:
        """Order a zone to be emptied or refilled."""
        world, begun = self._world, self._world.clock.now

        def on_answer(answer: Respond | None) -> None:
            if answer is not None and answer.code == 200:
                world.history.add(t=world.clock.now, k="emptied" if empty else "refilled", hall=zone, begun=begun)
            else:
                reply = json.loads(answer.body) if answer else {}
                world.history.add(
                    t=world.clock.now,
                    k="order-refused",
                    hall=zone,
                    empty=empty,
                    begun=begun,
                    code=answer.code if answer else 0,
                    error=reply.get("error", ""),
                )

        self.send_request(
            method="POST",
            path=f"/halls/{zone}/{'empty' if empty else 'refill'}",
            query={"confirm": "yes"} if confirm else {},
            controller=controller,
            on_answer=on_answer,
        )


def content_digest(*, config: object) -> str:
    """A digest of the content, independent of key order."""
    return hashlib.blake2b(json.dumps(config, sort_keys=True, default=repr).encode(), digest_size=8).hexdigest()
