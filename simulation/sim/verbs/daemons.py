"""Scenario steps that act on the daemons, their machines, disks, clocks and network."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.sim.node import Node
    from simulation.sim.world import World


class DaemonVerbs:
    """Steps that inject or end faults of the daemons' machines."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._cut_since = 0.0

    def _nodes(self, names: tuple) -> list[Node]:
        nodes = [node for node in self._world.nodes.values() if "all" in names or node.names & set(names)]
        if not nodes:
            raise ValueError(f"no daemon is called {names}")
        return nodes

    def do_start(self, *names: str) -> None:
        """Start the processes."""
        for node in self._nodes(names):
            node.start()

    def do_kill(self, *names: str) -> None:
        """Kill the processes; their disks keep all that was synced and part of what was only written."""
        for node in self._nodes(names):
            node.kill()

    def do_power_off(self, *names: str) -> None:
        """Cut the power: what was not synced may be lost or torn."""
        for node in self._nodes(names):
            node.lose_power()

    def do_freeze(self, *names: str) -> None:
        """Suspend the processes."""
        for node in self._nodes(names):
            node.freeze()

    def do_thaw(self, *names: str) -> None:
        """Resume frozen processes."""
        for node in self._nodes(names):
            node.thaw()

    def do_stop(self, *names: str) -> None:
        """Request a graceful shutdown of the processes."""
        world = self._world
        for node in self._nodes(names):
            world.history.add(t=world.clock.now, k="planned-stop", daemon=node.location.name)
            node.stop()
            self._watch_stop(node=node)

    def _watch_stop(self, *, node: Node) -> None:
        if node.owner is None:
            self._world.history.add(t=self._world.clock.now, k="stopped", daemon=node.location.name)
        else:
            self._world.clock.after(0.01, lambda: self._watch_stop(node=node))

    def do_wipe(self, *names: str) -> None:
        """Cut the power and wipe the disks."""
        for node in self._nodes(names):
            node.lose_power()
            node.disk.wipe()

    def do_damage(self, *names: str) -> None:
        """Kill the processes and corrupt one byte on each disk."""
        for node in self._nodes(names):
            node.kill()
            node.disk.damage()

    def do_fill_disk(self, *names: str) -> None:
        """Fill the disks: only the reserve remains for writes."""
        for node in self._nodes(names):
            node.disk.is_full = True

    def do_free_disk(self, *names: str) -> None:
        """End the shortage of space on full disks."""
        for node in self._nodes(names):
            node.disk.is_full = False

    def do_machine_new(self, name: str, kind: str, zone: str, index: str) -> None:
        """Start a new machine with an empty disk at a new address."""
        seeds = next(iter(self._world.nodes.values())).location.seeds
        self._world.add_node(name=name, kind=kind, zone=zone, index=int(index), seeds=seeds).start()

    def do_clock_jump(self, seconds: str, *names: str) -> None:
        """Shift the wall clocks; monotonic clocks are not affected."""
        for node in self._nodes(names):
            node.clock_skew += float(seconds)

    def do_slow_disk(self, factor: str, *names: str) -> None:
        """Set the factor by which syncs of the disks are slower."""
        for node in self._nodes(names):
            node.disk.delay_factor = float(factor)

    def do_fail_sync(self, *names: str) -> None:
        """Make every sync of the disks fail."""
        for node in self._nodes(names):
            node.disk.sync_fails = True

    def do_mend_sync(self, *names: str) -> None:
        """End the failure of syncs."""
        for node in self._nodes(names):
            node.disk.sync_fails = False

    def do_cut(self, *words: str) -> None:
        """`cut A B / C D`: block all traffic between the two sides."""
        separator = words.index("/")
        cut = (frozenset(words[:separator]), frozenset(words[separator + 1 :]))
        self._world.network.cuts.append(cut)
        self._cut_since = self._cut_since or self._world.clock.now

    def do_heal(self) -> None:
        """Remove all network cuts."""
        world = self._world
        for machine in world.machines.values():
            cut = [
                node
                for node in world.nodes.values()
                if node.location.kind == "proxy" and world.network.is_cut(a=node.names, b=machine.names)
            ]
            if cut:
                # it counts as absent only if no proxy could reach it
                proxies = [node for node in world.nodes.values() if node.location.kind == "proxy"]
                absence_s = world.clock.now - self._cut_since if len(cut) == len(proxies) else 0.0
                world.history.add(t=world.clock.now, k="worker-back", worker=machine.worker.key, away=absence_s)
        world.network.heal(now=world.clock.now)
        self._cut_since = 0.0

    def do_lossy(self, loss: str, duplication: str = "0") -> None:
        """Lose and duplicate these shares of the messages."""
        self._world.network.loss, self._world.network.duplication = float(loss), float(duplication)

    def do_slow(self, factor: str) -> None:
        """Set the factor by which all messages are delayed."""
        self._world.network.delay_factor = float(factor)
