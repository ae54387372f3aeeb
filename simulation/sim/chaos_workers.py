"""Kinds of trouble of workers, callers and operators. Each says whether it could happen now."""

from __future__ import annotations

from simulation.sim.chaos_scene import Scene

MODES = ("lose", "lose-unrun", "wrong-bytes", "cut", "refuse", "other-exchange", "error")


def _worker_down(scene: Scene) -> bool:
    name = scene.worker()
    scene.do("worker-down", name)
    scene.later(1.0, 9.0, "worker-up", name)
    return True


def _worker_frozen(scene: Scene) -> bool:
    name = scene.worker()
    scene.do("worker-freeze", name)
    scene.later(0.5, 8.0, "worker-thaw", name)
    return True


def _worker_wrong(scene: Scene) -> bool:
    name = scene.worker()
    scene.do("worker-mode", scene.rng.choice(MODES), f"{scene.rng.uniform(0.1, 0.9):.2f}", name)
    scene.later(1.0, 6.0, "worker-mode", "well", "1", name)
    return True


def _release(scene: Scene) -> bool:
    """The workers of one service are replaced, one by one."""
    service = scene.rng.choice(sorted(scene.world.deployment.config["services"]))
    names = sorted(one.mind.name for one in scene.world.machines.values() if one.mind.service == service and one.up)
    for at, name in enumerate(names):
        scene.later(1.5 * at, 1.5 * at + 0.5, "worker-replace-if", name)
    return True


def _worker_moved(scene: Scene) -> bool:
    name = scene.worker()
    if name not in scene.world.platform.names():
        return False
    scene.do("worker-move", name, scene.next_index())
    return True


def _find_spare(scene: Scene) -> str:
    """A listed worker of the deployment's own that the fleet can do without, or nothing."""
    name = scene.worker()
    listed = scene.world.platform.names()
    return "" if name not in listed or len(listed) < 30 or name.count("-") > 3 else name


def _worker_removed(scene: Scene) -> bool:
    name = _find_spare(scene)
    if not name:
        return False
    scene.do("worker-leave", name)
    scene.later(2.0, 5.0, "worker-gone-if", name)
    return True


def _worker_gone(scene: Scene) -> bool:
    """Off the list at once, though it still answers."""
    name = _find_spare(scene)
    if not name:
        return False
    scene.do("worker-gone", name)
    return True


def _worker_added(scene: Scene) -> bool:
    service, hall, index = (
        scene.rng.choice(sorted(scene.world.deployment.config["services"])),
        scene.hall(),
        scene.next_index(),
    )
    scene.do("worker-add", f"{service}-{hall}-{index}", service, hall, index)
    return True


def _address_passed_on(scene: Scene) -> bool:
    name = scene.worker()
    if name not in scene.world.platform.names() or name.count("-") > 3 or "heir" in name:
        return False
    scene.do("readdress", name, scene.rng.choice(sorted(scene.world.deployment.config["services"])), scene.hall())
    return True


def _hot_key(scene: Scene) -> bool:
    kind = next(one for one in scene.world.deployment.callers if one.keys)
    scene.do("flood-key", kind.tenant, kind.path, "part0", "60")
    scene.later(2.0, 5.0, "flood", kind.tenant, kind.path, "0")
    return True


def _storm(scene: Scene) -> bool:
    scene.do("storm", "0.8")
    scene.do("worker-mode", "lose", "0.6", scene.hall())
    scene.later(2.0, 4.0, "worker-mode", "well", "1", "all")
    scene.later(3.0, 5.0, "storm", "0")
    return True


def _brand_floods(scene: Scene) -> bool:
    kind = next(one for one in scene.world.deployment.callers if not one.unsafe and not one.keys)
    scene.do("flood", kind.tenant, kind.path, "250")
    scene.later(2.0, 4.0, "flood", kind.tenant, kind.path, "0")
    return True


def _answers_lost(scene: Scene) -> bool:
    scene.do("lose-answers", "0.3")
    scene.later(1.0, 3.0, "lose-answers", "0")
    return True


def _orders_repeated(scene: Scene) -> bool:
    key = f"rep{scene.rng.randrange(10**6)}"
    tenant, path = scene.rng.choice([(one.tenant, one.path) for one in scene.world.deployment.callers if one.unsafe])
    name = scene.daemon("proxy")
    for turn in range(1, 5):
        if name:
            # a first sending is made once: those after it say that they are repeats
            scene.later(2.5 * (turn - 1), 2.5 * turn - 0.1, "order", tenant, path, key, name, str(turn - 1))
        name = scene.daemon("proxy")
    return True


def _operators_race(scene: Scene) -> bool:
    regions = sorted(set(scene.world.deployment.halls.values()))
    first, second = scene.daemon("controller"), scene.daemon("controller")
    if not first:
        return False
    scene.do("pin", scene.service(), scene.rng.choice(regions), first)
    scene.do("pin", scene.service(), scene.rng.choice(regions), second)
    scene.do("patch", f"services.{scene.service()}.result_bytes", str(scene.rng.randrange(10**5, 10**6)), first)
    scene.do("patch", "tenants.pins.share", str(scene.rng.randrange(1, 90)), second)
    scene.do("put-invalid", scene.rng.choice(["weights", "hall", "field", "text"]), first)
    scene.later(0.1, 3.0, "read-back")
    return True


def _config_burst(scene: Scene) -> bool:
    for at in range(8):
        scene.later(0.1 * at, 0.1 * at, "split", scene.service(), str(scene.rng.randrange(1, 100)), "50")
    scene.later(2.0, 4.0, "read-back")
    return True


def _config_large(scene: Scene) -> bool:
    scene.do("put-large", "300")
    scene.later(5.0, 6.0, "put")
    return True


def _orders_race_changes(scene: Scene) -> bool:
    if scene.emptied or not scene.core():
        return False
    hall = scene.emptied = scene.hall()
    scene.do("empty", hall, "confirm")
    scene.do("pin", scene.service(), scene.rng.choice(sorted(set(scene.world.deployment.halls.values()))))
    scene.later(8.0, 12.0, "refill", hall)
    scene.world.clock.after(13.0, lambda: setattr(scene, "emptied", ""))
    return True


def _platform_down(scene: Scene) -> bool:
    scene.do("platform-down")
    scene.later(1.0, 5.0, "platform-up")
    return True


WORKER_KINDS = {
    one.__name__.strip("_").replace("_", "-"): one
    for one in (
        _worker_down,
        _worker_frozen,
        _worker_wrong,
        _release,
        _worker_moved,
        _worker_removed,
        _worker_gone,
        _worker_added,
        _address_passed_on,
        _hot_key,
        _storm,
        _brand_floods,
        _answers_lost,
        _orders_repeated,
        _operators_race,
        _config_burst,
        _config_large,
        _orders_race_changes,
        _platform_down,
    )
}
