"""Kinds of trouble of our own machines and of their network. Each says whether it could happen now."""

from __future__ import annotations

from simulation.sim.chaos_scene import Scene


def _proxy_lost(scene: Scene) -> bool:
    name = scene.daemon("proxy", "directory")
    if name:
        scene.do(scene.rng.choice(["kill", "power-off", "stop"]), name)
        scene.later(7.0, 9.0, "start", name)
    return bool(name)


def _controller_lost(scene: Scene) -> bool:
    if not scene.may_lose_controller(seconds=8.0):
        return False
    name = scene.daemon("controller")
    scene.do(scene.rng.choice(["kill", "power-off", "stop"]), name)
    scene.later(0.5, 5.0, "start", name)
    return True


def _disk_wiped(scene: Scene) -> bool:
    if not scene.may_lose_disk():
        return False
    name = scene.daemon("controller")
    scene.do("wipe", name)
    scene.later(0.5, 4.0, "start", name)
    return True


def _machine_replaced(scene: Scene) -> bool:
    if not scene.may_lose_disk():
        return False
    name = scene.daemon("controller")
    scene.do("wipe", name)
    index = scene.next_index()
    scene.later(0.5, 3.0, "machine-new", f"controller-{index}", "controller", scene.world.nodes[name].place.hall, index)
    return True


def _disk_full(scene: Scene) -> bool:
    if not scene.may_lose_controller(seconds=10.0):
        return False
    name = scene.daemon("controller")
    scene.do("fill-disk", name)
    scene.later(3.0, 8.0, "free-disk", name)
    return True


def _sync_fails(scene: Scene) -> bool:
    if not scene.may_lose_controller(seconds=10.0):
        return False
    name = scene.daemon("controller")
    scene.do("fail-sync", name)
    scene.later(3.0, 4.0, "mend-sync", name)
    scene.later(4.5, 6.0, "start", name)
    return True


def _disk_slow(scene: Scene) -> bool:
    name = scene.daemon("controller")
    if not name:
        return False
    scene.do("slow-disk", str(scene.rng.choice([5, 20])), name)
    scene.later(2.0, 6.0, "slow-disk", "1", name)
    return True


def _clock_jumps(scene: Scene) -> bool:
    name = scene.daemon("controller", "proxy", "directory")
    if scene.world.nodes[name].place.kind == "controller" and not scene.may_lose_controller(seconds=6.0):
        return False
    scene.do("clock-jump", str(scene.rng.choice([-7200, -60, 60, 7200])), name)
    scene.do("kill", name)
    scene.later(0.5, 2.0, "start", name)
    return True


def _many_killed(scene: Scene) -> bool:
    if not scene.may_lose_controller(seconds=8.0):
        return False
    names = [name for name, node in scene.world.nodes.items() if node.up and scene.rng.random() < 0.5]
    for name in names:
        scene.do("kill", name)
        scene.later(1.0, 4.0, "start", name)
    return bool(names)


def _confirmed_then_dark(scene: Scene) -> bool:
    """Power, or a disk, is lost at the very moment of a confirmation."""
    is_wiped = scene.rng.random() < 0.3
    if not (scene.may_lose_disk() if is_wiped else scene.may_lose_controller(seconds=8.0)):
        return False
    name = scene.daemon("controller")
    scene.do("on-accept-soon", "wipe" if is_wiped else "power-off", *([name] if is_wiped else ["controller"]))
    scene.do("pin", scene.service(), scene.rng.choice(sorted(set(scene.world.deployment.halls.values()))), name)
    scene.later(4.0, 6.0, "start", "controller")
    return True


def _isolated(scene: Scene) -> bool:
    name = scene.daemon("controller", "proxy", "directory")
    scene.do("cut", name, "/", "controller", "proxy", "directory", "worker", "platform")
    scene.later(1.0, 7.0, "heal")
    return True


def _cut(scene: Scene) -> bool:
    name, other = (
        scene.daemon("proxy", "controller"),
        scene.rng.choice(["controller", "platform", "worker", scene.hall()]),
    )
    scene.do("cut", name, "/", other)
    scene.later(1.0, 7.0, "heal")
    return True


def _core_halved(scene: Scene) -> bool:
    halls = list(scene.world.deployment.halls)
    scene.do("cut", *halls[:2], "/", *halls[2:])
    scene.later(1.0, 7.0, "heal")
    return True


def _core_cut_off(scene: Scene) -> bool:
    scene.do("cut", "controller", "/", "proxy", "directory")
    scene.later(1.0, 5.0, "heal")
    return True


def _network_bad(scene: Scene) -> bool:
    scene.do("lossy", f"{scene.rng.uniform(0.0, 0.1):.3f}", f"{scene.rng.uniform(0.0, 0.1):.3f}")
    scene.do("slow", str(scene.rng.choice([1, 3])))
    scene.later(2.0, 6.0, "lossy", "0", "0")
    scene.later(2.0, 6.0, "slow", "1")
    return True


def _frozen(scene: Scene) -> bool:
    name = scene.daemon("proxy", "directory", "controller")
    if scene.world.nodes[name].place.kind == "controller" and not scene.may_lose_controller(seconds=8.0):
        return False
    scene.do("freeze", name)
    scene.later(0.5, 6.0, "thaw", name)
    return True


def _hall_dark(scene: Scene) -> bool:
    if not scene.may_lose_controller(seconds=12.0):
        return False
    hall = scene.hall()
    scene.do("power-off", hall)
    scene.do("worker-down", hall)
    scene.later(3.0, 8.0, "start", hall)
    scene.later(3.0, 8.0, "worker-up", hall)
    return True


def _rolled(scene: Scene) -> bool:
    """Three machines are stopped and started, one after the other."""
    names = [name for name, node in scene.world.nodes.items() if node.up and node.place.kind != "controller"]
    scene.rng.shuffle(names)
    for at, name in enumerate(names[:3]):
        scene.later(at * 8.0, at * 8.0, "stop", name)
        scene.later(at * 8.0 + 6.5, at * 8.0 + 7.0, "start", name)
    return True


MACHINE_KINDS = {
    one.__name__.strip("_").replace("_", "-"): one
    for one in (
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
