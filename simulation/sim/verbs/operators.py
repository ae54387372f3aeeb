"""Scenario steps of operators."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from simulation.sim.operators import Operators

if TYPE_CHECKING:
    from simulation.sim.world import World


class OperatorVerbs:
    """Steps on configurations, orders and voters. `step` runs another scenario step."""

    def __init__(self, *, world: World, operators: Operators, step: Callable) -> None:
        self._world, self.operators, self.step = world, operators, step

    def do_on_accept(self, verb: str, *words: str) -> None:
        """Run a step at the moment when the operator learns that a configuration was accepted."""
        self.operators.on_accept.append(lambda: self.step(verb=verb, words=list(words)))

    def do_on_accept_soon(self, verb: str, *words: str) -> None:
        """The same, if a configuration is accepted within 4 s."""
        until = self._world.clock.now + 4.0
        self.operators.on_accept.append(
            lambda: self.step(verb=verb, words=list(words)) if self._world.clock.now < until else None
        )

    def do_ready(self, rate: str = "0") -> None:
        """Start all daemons, found the controller group, send the configuration; callers start 8 s later."""
        world = self._world
        for node in world.nodes.values():
            world.clock.after(world.rng.uniform(0.0, 0.5), node.start)
        controllers = [node.location.name for node in world.nodes.values() if node.location.kind == "controller"]
        world.clock.after(1.5, lambda: self.operators.found_group(controllers=controllers))
        world.clock.after(2.5, self.do_put)
        world.clock.after(8.0, lambda: self.step(verb="load", words=[rate]))
        self._note_config()
        self.operators.record_rate_bounds(config=self.operators.config, begun=world.clock.now)

    def _note_config(self) -> None:
        world, config = self._world, self.operators.config
        homes = {name: tenant["homes"] for name, tenant in config["tenants"].items() if tenant.get("homes")}
        world.history.add(t=world.clock.now, k="homes", homes=homes)

    def do_put(self, controller: str = "", if_match: str = "") -> None:
        """Send the full configuration."""
        self.operators.put(config=copy.deepcopy(self.operators.config), controller=controller, if_match=if_match)

    def do_split(self, service: str, first: str, second: str, controller: str = "", if_match: str = "") -> None:
        """Change the weights of a service and send the full configuration."""
        for match in self.operators.config["matches"]:
            if match["path"] == f"/{service}":
                match["pools"][0]["weight"], match["pools"][1]["weight"] = int(first), int(second)
        self.do_put(controller, if_match)

    def do_pin(self, service: str, region: str, controller: str = "", if_match: str = "") -> None:
        """Restrict a service to one region and send the full configuration.

        A request that runs elsewhere later was routed by an older configuration.
        """
        config, zones = copy.deepcopy(self.operators.config), self._world.deployment.zones
        zones_in_region = [zone for zone, zone_region in zones.items() if zone_region == region]
        homed = [name for name, tenant in config["tenants"].items() if tenant.get("homes")]
        unhomed = [name for name in config["tenants"] if name not in homed]
        config["pools"][f"{service}-pin"] = {"service": service, "preferred": zones_in_region, "fallback": []}
        for match in list(config["matches"]):
            if match["path"] == f"/{service}":
                match["tenants"] = homed
                config["matches"].append(
                    {"path": match["path"], "tenants": unhomed, "pools": [{"pool": f"{service}-pin", "weight": 1}]}
                )
        config["tenants"].setdefault("pins", {"share": 1 + len(self._world.history.of(k="put")) % 90})
        self.operators.put(config=config, controller=controller, if_match=if_match)

    def do_patch(self, path: str, value: str, controller: str = "", if_match: str = "") -> None:
        """Send a patch of one field, given by its dotted path; the value is a number, a word, a,list or null."""
        patch: dict = {}
        target = patch
        *names, last = path.split(".")
        for name in names:
            target = target.setdefault(name, {})
        target[last] = _read_value(text=value)
        self.operators.put(config=patch, controller=controller, if_match=if_match, is_patch=True)

    def do_put_stamped(self, *zones: str) -> None:
        """Send the configuration with one tenant's route made from a template whose parameter is these zones."""
        config = copy.deepcopy(self.operators.config)
        shape = {
            "pools": {"${stamp}": {"service": "notes", "preferred": "${halls}"}},
            "matches": [{"path": "/notes", "tenants": ["hotels"], "pools": [{"pool": "${stamp}", "weight": 1}]}],
        }
        config["templates"] = {"route": {"parameters": {"halls": {"type": "list"}}, "shape": shape}}
        config["stamps"] = {"hotels-notes": {"template": "route", "parameters": {"halls": list(zones)}}}
        self.operators.put(config=config)

    def do_put_large(self, tenants: str, controller: str = "") -> None:
        """Send the configuration with `tenants` more tenants, each made from one template."""
        config = copy.deepcopy(self.operators.config)
        config["templates"] = {
            "guest": {
                "parameters": {"share": {"type": "integer", "default": 1}},
                "shape": {"tenants": {"${stamp}": {"share": "${share}"}}},
            }
        }
        config["stamps"] = {
            f"guest-{number}": {"template": "guest", "parameters": {"share": 1 + number % 9}}
            for number in range(int(tenants))
        }
        self.operators.put(config=config, controller=controller)

    def do_put_invalid(self, kind: str, controller: str = "") -> None:
        """Send an invalid configuration; `kind` names the error."""
        config: object = copy.deepcopy(self.operators.config)
        if kind == "weights":
            for share in config["matches"][0]["pools"]:
                share["weight"] = 0
        elif kind == "hall":
            next(iter(config["pools"].values()))["preferred"].append("nowhere")
        elif kind == "field":
            config["speed"] = 3
        else:
            config = [kind]
        self.operators.put(config=config, controller=controller, invalid=True)

    def do_read_back(self, controller: str = "") -> None:
        """Read the configuration."""
        self.operators.read_back(controller=controller)

    def do_read_orders(self) -> None:
        """Read which zones are emptied by an order."""
        self.operators.read_orders()

    def do_empty(self, zone: str, confirm: str = "") -> None:
        """Order a zone to be emptied."""
        self.operators.order(zone=zone, empty=True, confirm=confirm == "confirm")

    def do_refill(self, zone: str) -> None:
        """End the order that empties a zone."""
        self.operators.order(zone=zone, empty=False)

    def do_found_anew(self, *words: str) -> None:
        """`found-anew CONTROLLER SURVIVOR ... [confirm]`: order that controller to found the group anew."""
        controller, *names = [word for word in words if word != "confirm"]

        def on_answer(answer) -> None:
            code = answer.code if answer else 0
            reply = json.loads(answer.body) if answer else {}
            self._world.history.add(
                t=self._world.clock.now,
                k="anew-order",
                code=code,
                error=reply.get("error", ""),
                claims=reply.get("claims", ""),
            )
            if code == 200:
                self._world.history.add(t=self._world.clock.now, k="founded-anew")

        self.operators.send_request(
            method="POST",
            path="/found-anew",
            body={"survivors": names},
            controller=controller,
            on_answer=on_answer,
            query={"confirm": "yes"} if "confirm" in words else {},
        )

    def do_part(self, name: str) -> None:
        """Remove a voter from the controller group."""
        self._change_voters(name=name, verb="part")

    def do_join(self, name: str) -> None:
        """Add a voter to the controller group."""
        self._change_voters(name=name, verb="join")

    def _change_voters(self, *, name: str, verb: str) -> None:
        def on_answer(answer) -> None:
            self._world.history.add(
                t=self._world.clock.now, k="voters", verb=verb, name=name, code=answer.code if answer else 0
            )

        self.operators.send_request(method="POST", path=f"/voters/{name}/{verb}", on_answer=on_answer)


def _read_value(*, text: str) -> object:
    if text == "null":
        return None
    if "," in text:
        return [item for item in text.split(",") if item]
    if text in ("true", "false"):
        return text == "true"
    return int(text) if text.lstrip("-").isdigit() else text
