"""Faults of the daemons' machines and network. Each function returns whether the fault was possible now.

The name of a function, with hyphens, is the name of its kind in histories and scenarios.
"""

from __future__ import annotations

from simulation.sim.chaos_context import ChaosContext


def _proxy_lost(context: ChaosContext) -> bool:
    name = context.pick_daemon("proxy", "directory")
    if name:
        context.do(context.rng.choice(["kill", "power-off", "stop"]), name)
        context.do_later(7.0, 9.0, "start", name)
    return bool(name)


def _controller_lost(context: ChaosContext) -> bool:
    if not context.may_lose_controller(seconds=8.0):
        return False
    name = context.pick_daemon("controller")
    context.do(context.rng.choice(["kill", "power-off", "stop"]), name)
    context.do_later(0.5, 5.0, "start", name)
    return True


def _disk_wiped(context: ChaosContext) -> bool:
    if not context.may_lose_disk():
        return False
    name = context.pick_daemon("controller")
    context.do("wipe", name)
    context.do_later(0.5, 4.0, "start", name)
    return True


def _machine_replaced(context: ChaosContext) -> bool:
    if not context.may_lose_disk():
        return False
    name = context.pick_daemon("controller")
    context.do("wipe", name)
    index = context.next_index()
    context.do_later(
        0.5, 3.0, "machine-new", f"controller-{index}", "controller", context.world.nodes[name].location.zone, index
    )
    return True


def _disk_full(context: ChaosContext) -> bool:
    if not context.may_lose_controller(seconds=10.0):
        return False
    name = context.pick_daemon("controller")
    context.do("fill-disk", name)
    context.do_later(3.0, 8.0, "free-disk", name)
    return True


def _sync_fails(context: ChaosContext) -> bool:
    if not context.may_lose_controller(seconds=10.0):
        return False
    name = context.pick_daemon("controller")
    context.do("fail-sync", name)
    context.do_later(3.0, 4.0, "mend-sync", name)
    context.do_later(4.5, 6.0, "start", name)
    return True


def _disk_slow(context: ChaosContext) -> bool:
    name = context.pick_daemon("controller")
    if not name:
        return False
    context.do("slow-disk", str(context.rng.choice([5, 20])), name)
    context.do_later(2.0, 6.0, "slow-disk", "1", name)
    return True


def _clock_jumps(context: ChaosContext) -> bool:
    name = context.pick_daemon("controller", "proxy", "directory")
    if context.world.nodes[name].location.kind == "controller" and not context.may_lose_controller(seconds=6.0):
        return False
    context.do("clock-jump", str(context.rng.choice([-7200, -60, 60, 7200])), name)
    context.do("kill", name)
    context.do_later(0.5, 2.0, "start", name)
    return True


def _many_killed(context: ChaosContext) -> bool:
    if not context.may_lose_controller(seconds=8.0):
        return False
    names = [name for name, node in context.world.nodes.items() if node.is_up and context.rng.random() < 0.5]
    for name in names:
        context.do("kill", name)
        context.do_later(1.0, 4.0, "start", name)
    return bool(names)


def _confirmed_then_dark(context: ChaosContext) -> bool:
    """Power or a disk is lost at the moment when a change is acknowledged."""
    is_wiped = context.rng.random() < 0.3
    if not (context.may_lose_disk() if is_wiped else context.may_lose_controller(seconds=8.0)):
        return False
    name = context.pick_daemon("controller")
    context.do("on-accept-soon", "wipe" if is_wiped else "power-off", *([name] if is_wiped else ["controller"]))
    context.do(
        "pin", context.pick_service(), context.rng.choice(sorted(set(context.world.deployment.zones.values()))), name
    )
    context.do_later(4.0, 6.0, "start", "controller")
    return True


def _isolated(context: ChaosContext) -> bool:
    name = context.pick_daemon("controller", "proxy", "directory")
    context.do("cut", name, "/", "controller", "proxy", "directory", "worker", "platform")
    context.do_later(1.0, 7.0, "heal")
    return True


def _cut(context: ChaosContext) -> bool:
    name, other = (
        context.pick_daemon("proxy", "controller"),
        context.rng.choice(["controller", "platform", "worker", context.pick_zone()]),
    )
    context.do("cut", name, "/", other)
    context.do_later(1.0, 7.0, "heal")
    return True


def _core_halved(context: ChaosContext) -> bool:
    zones = list(context.world.deployment.zones)
    context.do("cut", *zones[:2], "/", *zones[2:])
    context.do_later(1.0, 7.0, "heal")
    return True


def _core_cut_off(context: ChaosContext) -> bool:
    context.do("cut", "controller", "/", "proxy", "directory")
    context.do_later(1.0, 5.0, "heal")
    return True


def _network_bad(context: ChaosContext) -> bool:
    context.do("lossy", f"{context.rng.uniform(0.0, 0.1):.3f}", f"{context.rng.uniform(0.0, 0.1):.3f}")
    context.do("slow", str(context.rng.choice([1, 3])))
    context.do_later(2.0, 6.0, "lossy", "0", "0")
    context.do_later(2.0, 6.0, "slow", "1")
    return True


def _frozen(context: ChaosContext) -> bool:
    name = context.pick_daemon("proxy", "directory", "controller")
    if context.world.nodes[name].location.kind == "controller" and not context.may_lose_controller(seconds=8.0):
        return False
    context.do("freeze", name)
    context.do_later(0.5, 6.0, "thaw", name)
    return True


def _hall_dark(context: ChaosContext) -> bool:
    if not context.may_lose_controller(seconds=12.0):
        return False
    zone = context.pick_zone()
    context.do("power-off", zone)
    context.do("worker-down", zone)
    context.do_later(3.0, 8.0, "start", zone)
    context.do_later(3.0, 8.0, "worker-up", zone)
    return True


def _rolled(context: ChaosContext) -> bool:
    """Rolling restart of three machines."""
    names = [name for name, node in context.world.nodes.items() if node.is_up and node.location.kind != "controller"]
    context.rng.shuffle(names)
    for index, name in enumerate(names[:3]):
        context.do_later(index * 8.0, index * 8.0, "stop", name)
        context.do_later(index * 8.0 + 6.5, index * 8.0 + 7.0, "start", name)
    return True


MACHINE_KINDS = {
    kind.__name__.strip("_").replace("_", "-"): kind
    for kind in (
        _proxy_lost,
        _controller_lost,
        _disk_wiped,
        _machine_replaced,
        _disk_full,
        _sync_fails,
        _disk_slow,
        _clock_jumps,
        _many_killed,
        _confirmed_then_dark,
        _isolated,
        _cut,
        _core_halved,
        _core_cut_off,
        _network_bad,
        _frozen,
        _hall_dark,
        _rolled,
    )
}
