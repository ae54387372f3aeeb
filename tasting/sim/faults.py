"""What a scenario's steps do to the simulated fleet."""
from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from tasting.deployments import CallerKind
from tasting.sim.callers import Callers
from tasting.sim.chaos import Chaos
from tasting.sim.operators import Operators

if TYPE_CHECKING:
    from tasting.sim.node import Node
    from tasting.sim.world import World


class Faults:
    """Carries out the steps. `step` takes a verb and its words."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self.callers = Callers(world=world)
        self.operators = Operators(world=world)
        self._cuts: dict[str, tuple] = {}

    def step(self, *, verb: str, words: list[str]) -> None:
        """Carry out one step."""
        getattr(self, "_do_" + verb.replace("-", "_"))(*words)

    def note_stored(self) -> None:
        """Write down which tenants' results each proxy keeps."""
        world = self._world
        tenants = {row["nonce"]: row["tenant"] for row in world.history.of(k="sent")}
        for node in world.nodes.values():
            if node.place.kind != "sommelier" or node.owner is None:
                continue
            for memory in node.owner.claims.kept.memories.values():
                for nonce, tenant in tenants.items():
                    if memory.body and f'"nonce": "{nonce}"'.encode() in memory.body:
                        world.history.add(t=world.clock.now, k="stored", tenant=tenant, region=node.place.region,
                                          where=node.place.name)

    def _nodes(self, names: tuple) -> list[Node]:
        nodes = [node for node in self._world.nodes.values() if "all" in names or node.names & set(names)]
        if not nodes:
            raise ValueError(f"no daemon is called {names}")
        return nodes

    def _do_on_accept(self, verb: str, *words: str) -> None:
        """The step is carried out at the very moment that a configuration is told to be accepted."""
        self.operators.on_accept.append(lambda: self.step(verb=verb, words=list(words)))

    def _do_ready(self, rate: str = "0") -> None:
        """Start all, found, configure; callers from 8 s later."""
        world = self._world
        for node in world.nodes.values():
            world.clock.after(world.rng.uniform(0.0, 0.5), node.start)
        cellars = [node.place.name for node in world.nodes.values() if node.place.kind == "cellar"]
        world.clock.after(1.5, lambda: self.operators.found(cellars=cellars))
        world.clock.after(2.5, lambda: self._do_put())
        world.clock.after(8.0, lambda: self._do_load(rate))
        self._note_config()

    def _note_config(self) -> None:
        world, config = self._world, self.operators.config
        homes = {name: one["homes"] for name, one in config["tenants"].items() if one.get("homes")}
        world.history.add(t=world.clock.now, k="homes", homes=homes)

    def _do_cold_bounds(self) -> None:
        for name, one in self.operators.config["services"].items():
            self._world.history.add(t=self._world.clock.now, k="cold-bound", service=name, cold=one["cold_rate"],
                                    rate=one["rate"], ramp=one["cold_ramp_s"], after=self._world.clock.now)

    def _do_load(self, rate: str) -> None:
        self.callers.set_rate(rate=float(rate))

    def _do_flood(self, tenant: str, path: str, rate: str, hot: str = "") -> None:
        kind = next(one for one in self._world.deployment.callers if (one.tenant, one.path) == (tenant, path))
        self.callers.flood(kind=kind, hot=hot, rate=float(rate))

    def _do_flood_key(self, tenant: str, path: str, hot: str, rate: str) -> None:
        self._do_flood(tenant, path, rate, hot)

    def _do_storm(self, share: str) -> None:
        self.callers.storm = float(share)

    def _do_put(self, cellar: str = "", if_match: str = "") -> None:
        self.operators.put(config=copy.deepcopy(self.operators.config), cellar=cellar, if_match=if_match)

    def _do_split(self, service: str, first: str, second: str, cellar: str = "", if_match: str = "") -> None:
        """Change a service's weights and send the whole."""
        for match in self.operators.config["matches"]:
            if match["path"] == f"/{service}":
                match["pools"][0]["weight"], match["pools"][1]["weight"] = int(first), int(second)
        self._do_put(cellar, if_match)

    def _do_pin(self, service: str, region: str, cellar: str = "", if_match: str = "") -> None:
        """Let a service run in one region only and send the whole: what ran elsewhere shows an older number."""
        config, halls = copy.deepcopy(self.operators.config), self._world.deployment.halls
        places = [hall for hall, one in halls.items() if one == region]
        bound = [name for name, one in config["tenants"].items() if one.get("homes")]
        free = [name for name in config["tenants"] if name not in bound]
        config["pools"][f"{service}-pin"] = {"service": service, "preferred": places, "fallback": []}
        for match in list(config["matches"]):
            if match["path"] == f"/{service}":
                match["tenants"] = bound
                config["matches"].append({"path": match["path"], "tenants": free,
                                          "pools": [{"pool": f"{service}-pin", "weight": 1}]})
        config["tenants"].setdefault("pins", {"share": 1 + len(self._world.history.of(k="put")) % 90})
        self.operators.put(config=config, cellar=cellar, if_match=if_match)

    def _do_patch_rate(self, service: str, rate: str) -> None:
        patch = {"services": {service: {"rate": float(rate)}}}
        self.operators.config["services"][service]["rate"] = float(rate)
        self.operators.put(config=copy.deepcopy(self.operators.config), patch=patch)

    def _do_put_invalid(self, kind: str, cellar: str = "") -> None:
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
        self.operators.put(config=config, cellar=cellar, invalid=True)

    def _do_read_back(self, cellar: str = "") -> None:
        self.operators.read_back(cellar=cellar)

    def _do_empty(self, hall: str, confirm: str = "") -> None:
        self.operators.order(hall=hall, empty=True, confirm=confirm == "confirm")

    def _do_refill(self, hall: str) -> None:
        self.operators.order(hall=hall, empty=False)

    def _do_part(self, name: str) -> None:
        self._change_voters(name=name, verb="part")

    def _do_join(self, name: str) -> None:
        self._change_voters(name=name, verb="join")

    def _change_voters(self, *, name: str, verb: str) -> None:
        def then(answer) -> None:
            self._world.history.add(t=self._world.clock.now, k="voters", verb=verb, name=name,
                                    code=answer.code if answer else 0)
        self.operators.ask(method="POST", path=f"/voters/{name}/{verb}", then=then)

    def _do_start(self, *names: str) -> None:
        for node in self._nodes(names):
            node.start()

    def _do_kill(self, *names: str) -> None:
        for node in self._nodes(names):
            node.kill()

    def _do_power_off(self, *names: str) -> None:
        for node in self._nodes(names):
            node.lose_power()

    def _do_freeze(self, *names: str) -> None:
        for node in self._nodes(names):
            node.freeze()

    def _do_thaw(self, *names: str) -> None:
        for node in self._nodes(names):
            node.thaw()

    def _do_stop(self, *names: str) -> None:
        world = self._world
        for node in self._nodes(names):
            world.history.add(t=world.clock.now, k="planned-stop", daemon=node.place.name)
            node.stop()
            self._watch_stop(node=node)

    def _watch_stop(self, *, node: Node) -> None:
        if node.owner is None:
            self._world.history.add(t=self._world.clock.now, k="stopped", daemon=node.place.name)
        else:
            self._world.clock.after(0.01, lambda: self._watch_stop(node=node))

    def _do_wipe(self, *names: str) -> None:
        for node in self._nodes(names):
            node.lose_power()
            node.disk.wipe()

    def _do_damage(self, *names: str) -> None:
        for node in self._nodes(names):
            node.kill()
            node.disk.damage()

    def _do_fill_disk(self, *names: str) -> None:
        for node in self._nodes(names):
            node.disk.is_full = True

    def _do_free_disk(self, *names: str) -> None:
        for node in self._nodes(names):
            node.disk.is_full = False

    def _do_machine_new(self, name: str, kind: str, hall: str, index: str) -> None:
        """A new, empty machine at an address of its own."""
        seeds = next(iter(self._world.nodes.values())).place.seeds
        self._world.add_node(name=name, kind=kind, hall=hall, index=int(index), seeds=seeds).start()

    def _do_clock_jump(self, seconds: str, *names: str) -> None:
        """The wall clocks jump; monotonic ones never do."""
        for node in self._nodes(names):
            node.skew += float(seconds)

    def _do_slow_disk(self, factor: str, *names: str) -> None:
        for node in self._nodes(names):
            node.disk.slow = float(factor)

    def _do_fail_sync(self, *names: str) -> None:
        for node in self._nodes(names):
            node.disk.sync_fails = True

    def _do_mend_sync(self, *names: str) -> None:
        for node in self._nodes(names):
            node.disk.sync_fails = False

    def _do_cut(self, *words: str) -> None:
        """cut A B / C D: no message between the two sides."""
        at = words.index("/")
        cut = (frozenset(words[:at]), frozenset(words[at + 1:]))
        self._world.network.cuts.append(cut)

    def _do_heal(self) -> None:
        self._world.network.cuts.clear()

    def _do_lossy(self, loss: str, double: str = "0") -> None:
        self._world.network.loss, self._world.network.double = float(loss), float(double)

    def _do_slow(self, factor: str) -> None:
        self._world.network.slow = float(factor)

    def _do_service_time(self, low: str, high: str) -> None:
        self._world.service_time = (float(low), float(high))

    def _machines(self, names: tuple) -> list:
        machines = [one for one in self._world.machines.values()
                    if "all" in names or one.names & set(names) or one.mind.service in names]
        if not machines:
            raise ValueError(f"no worker is called {names}")
        return machines

    def _end_runs(self, *, key: str) -> None:
        """What a dead process was running has ended."""
        now = self._world.clock.now
        for row in reversed(self._world.history.rows):
            if row["t"] < now - 10:
                return
            if row["k"] == "run" and row["worker"] == key:
                row["until"] = min(row["until"], now)

    def _do_worker_down(self, *names: str) -> None:
        for machine in self._machines(names):
            machine.up = False
            self._end_runs(key=machine.mind.key)

    def _do_worker_up(self, *names: str) -> None:
        """The process is back, of the same generation: cold all the same."""
        for machine in self._machines(names):
            machine.up = True
            self._world.history.add(t=self._world.clock.now, k="worker-started", worker=machine.mind.key,
                                    hall=machine.mind.hall)

    def _do_worker_freeze(self, *names: str) -> None:
        for machine in self._machines(names):
            machine.frozen = True

    def _do_worker_thaw(self, *names: str) -> None:
        for machine in self._machines(names):
            machine.frozen = False
            held, machine.thaws = machine.thaws, []
            for act in held:
                act()

    def _do_worker_mode(self, mode: str, chance: str, *names: str) -> None:
        for machine in self._machines(names):
            machine.mind.mode, machine.mind.chance = mode, float(chance)

    def _do_worker_replace(self, *names: str) -> None:
        """The worker stops and a new generation of it starts at the same address, cold."""
        world = self._world
        for address, machine in list(world.machines.items()):
            if machine in self._machines(names):
                mind = machine.mind
                machine.up = False
                self._end_runs(key=mind.key)
                world.add_worker(name=mind.name, service=mind.service, hall=mind.hall, address=address,
                                 generation=mind.generation + 1)

    def _do_worker_leave(self, *names: str) -> None:
        for machine in self._machines(names):
            self._world.platform.mark_leaving(name=machine.mind.name)

    def _do_worker_gone(self, *names: str) -> None:
        """Off the list, though it still answers: only the list can keep exchanges away."""
        for machine in self._machines(names):
            self._world.platform.unlist(name=machine.mind.name)

    def _do_worker_gone_if(self, name: str) -> None:
        if name in self._world.platform.names():
            self._do_worker_gone(name)

    def _do_chaos(self, seconds: str) -> None:
        """Seeded faults of every kind for so long."""
        chaos = Chaos(world=self._world, faults=self)
        chaos.step(until=self._world.clock.now + float(seconds))

    def _do_worker_add(self, name: str, service: str, hall: str, index: str) -> None:
        self._world.add_worker(name=name, service=service, hall=hall, address=f"10.1.9.{index}:80")

    def _do_readdress(self, name: str, service: str, hall: str) -> None:
        """A worker is taken off, and its address passes to a new one of another service."""
        address, _ = self._world.machine_of(name=name)
        self._world.platform.unlist(name=name)
        self._world.add_worker(name=f"{name}-heir", service=service, hall=hall, address=address)

    def _do_platform_down(self) -> None:
        self._world.platform.up = False

    def _do_platform_up(self) -> None:
        self._world.platform.up = True

    def _do_order(self, tenant: str, path: str, key: str, proxy: str, turn: str = "0") -> None:
        """One unsafe exchange with this key, sent once to this proxy."""
        kinds = [one for one in self._world.deployment.callers if one.path == path]
        kind = CallerKind(tenant=tenant, path=path, unsafe=True, part=0.0, region="", keys=kinds[0].keys if kinds else 0)
        address = self._world.nodes[proxy].place.http
        self.callers.order(kind=kind, key=key, proxy=address, turn=int(turn), nonce=f"by-{key}", most=1)
